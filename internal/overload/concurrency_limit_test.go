package overload

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// constantDraw returns a source of random numbers that always returns number.
func constantDraw(number float64) func() float64 { return func() float64 { return number } }

// TestConcurrencyLimitGrowsWithAge guards against a limit that keeps requests from a server long after its overload has
// ended. A director that sends no work gets no results that could raise the limit, so the limit must grow with age.
func TestConcurrencyLimitGrowsWithAge(t *testing.T) {
	limit := NewConcurrencyLimit(time.Minute, 2)
	for _, tc := range []struct {
		after time.Duration
		full  bool
	}{
		{after: 0, full: true},
		{after: 2 * time.Second, full: true},
		{after: limitTimeConstant, full: false},
		{after: time.Hour, full: false},
	} {
		now := time.Minute + tc.after
		if got := limit.Full(now, 2, 1, constantDraw(0.5)); got != tc.full {
			t.Errorf("after %v: got full %v, want %v (limit %v)", tc.after, got, tc.full, limit.Value(now))
		}
	}
	// A decrease applies to the limit as it has grown until now.
	now := time.Minute + limitTimeConstant
	limit.Decrease(now, 100, 0, 0.1)
	if got, want := limit.Value(now), 2*math.E*(1-limitStep); math.Abs(got-want) > 1e-9 {
		t.Errorf("limit after a decrease: got %v, want %v", got, want)
	}
}

// TestSmallConcurrencyLimitAdmitsAtRandom guards against hundreds of directors that each send one piece of work to a
// server that cannot do that many. Under a limit smaller than one piece of work, pieces must pass at random and one at
// a time.
func TestSmallConcurrencyLimitAdmitsAtRandom(t *testing.T) {
	limit := NewConcurrencyLimit(0, 0.25)
	if limit.Full(0, 0, 1, constantDraw(0.2)) ||
		!limit.Full(0, 0, 1, constantDraw(0.3)) ||
		!limit.Full(0, 1, 1, constantDraw(0.1)) {
		t.Error("want a quarter of the pieces to pass, and none while another one is in flight")
	}
	var unlimited ConcurrencyLimit
	if unlimited.Full(0, 1e9, 1e9, constantDraw(1)) {
		t.Error("the zero value rejects work, want no limit")
	}
}

// TestConcurrencyLimitKeepsItsBounds guards against a limit that leaves its bounds after some sequence of results: it
// must not fall below its floor, and must not grow by more than its age and the work done in time account for.
func TestConcurrencyLimitKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var limit ConcurrencyLimit
		now, floor := Time(0), rapid.Float64Range(0.01, 1).Draw(t, "floor")
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			gap := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "gap"))
			before := limit.Value(now)
			now += gap
			aged := limit.Value(now)
			growth := math.Exp(gap.Seconds() / limitTimeConstant.Seconds())
			if aged < before || aged > before*growth*(1+1e-9) {
				t.Fatalf("limit went from %v to %v within %v, want growth by at most %v", before, aged, gap, growth)
			}
			inFlight := rapid.Float64Range(0, 10).Draw(t, "in flight")
			work := rapid.Float64Range(0.01, 1).Draw(t, "work")
			if rapid.Bool().Draw(t, "late") {
				limit.Decrease(now, 10, rapid.Float64Range(0, 10).Draw(t, "fit"), floor)
				if got := limit.Value(now); got < floor || got > max(floor, aged) {
					t.Fatalf("Decrease changed the limit from %v to %v, floor %v", aged, got, floor)
				}
				continue
			}
			limit.Increase(now, inFlight, work)
			if got := limit.Value(now); got < aged || got > aged+work*limitStep+1e-9 {
				t.Fatalf("Increase changed the limit from %v to %v for work of %v", aged, got, work)
			}
		}
	})
}
