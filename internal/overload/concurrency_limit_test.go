package overload

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// constantDraw is a source of random numbers that returns one number.
func constantDraw(number float64) func() float64 { return func() float64 { return number } }

// A limit that was set long ago says little of now: it rises with age, and by and by stops nothing.
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
			t.Errorf("after %v: full %v, want %v (limit %v)", tc.after, got, tc.full, limit.Value(now))
		}
	}
	// New evidence counts from now on, by what is left of the old.
	now := time.Minute + limitTimeConstant
	limit.Decrease(now, 100, 0, 0.1)
	if got, want := limit.Value(now), 2*math.E*(1-limitStep); math.Abs(got-want) > 1e-9 {
		t.Errorf("lowered to %v, want %v", got, want)
	}
}

// Under a limit that is less than one piece of work, pieces pass by chance and one at a time.
func TestSmallLimitAdmitsAtRandom(t *testing.T) {
	limit := NewConcurrencyLimit(0, 0.25)
	if limit.Full(0, 0, 1, constantDraw(0.2)) ||
		!limit.Full(0, 0, 1, constantDraw(0.3)) ||
		!limit.Full(0, 1, 1, constantDraw(0.1)) {
		t.Error("want a quarter of the pieces to pass, beside nothing that is in flight")
	}
	var unlimited ConcurrencyLimit
	if unlimited.Full(0, 1e9, 1e9, constantDraw(1)) {
		t.Error("no limit, and yet full")
	}
}

// Whatever comes in whatever order, a limit stays above its floor and below what age and work in time explain.
func TestLimitStaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var limit ConcurrencyLimit
		now, floor := Time(0), rapid.Float64Range(0.01, 1).Draw(t, "least")
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			gap := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "gap"))
			before := limit.Value(now)
			now += gap
			aged := limit.Value(now)
			growth := math.Exp(gap.Seconds() / limitTimeConstant.Seconds())
			if aged < before || aged > before*growth*(1+1e-9) {
				t.Fatalf("%v became %v within %v", before, aged, gap)
			}
			inFlight := rapid.Float64Range(0, 10).Draw(t, "out")
			work := rapid.Float64Range(0.01, 1).Draw(t, "work")
			if rapid.Bool().Draw(t, "late") {
				limit.Decrease(now, 10, rapid.Float64Range(0, 10).Draw(t, "fit"), floor)
				if got := limit.Value(now); got < floor || got > max(floor, aged) {
					t.Fatalf("lowered from %v to %v, floor %v", aged, got, floor)
				}
				continue
			}
			limit.Increase(now, inFlight, work)
			if got := limit.Value(now); got < aged || got > aged+work*limitStep+1e-9 {
				t.Fatalf("raised from %v to %v by work of %v", aged, got, work)
			}
		}
	})
}
