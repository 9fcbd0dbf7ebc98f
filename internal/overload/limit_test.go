package overload

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func constantDraw(x float64) func() float64 { return func() float64 { return x } }

// A limit that was set long ago says little of now: it rises with age, and by and by stops nothing.
func TestLimitCountsLessWithAge(t *testing.T) {
	l := NewConcurrencyLimit(time.Minute, 2)
	for _, tc := range []struct {
		after time.Duration
		full  bool
	}{{0, true}, {2 * time.Second, true}, {limitTimeConstant, false}, {time.Hour, false}} {
		if got := l.Full(time.Minute+tc.after, 2, 1, constantDraw(0.5)); got != tc.full {
			t.Errorf("after %v: full %v, want %v (limit %v)", tc.after, got, tc.full, l.Value(time.Minute+tc.after))
		}
	}
	// New evidence counts from now on, by what is left of the old.
	now := time.Minute + limitTimeConstant
	l.Decrease(now, 100, 0, 0.1)
	if got, want := l.Value(now), 2*math.E*(1-limitStep); math.Abs(got-want) > 1e-9 {
		t.Errorf("lowered to %v, want %v", got, want)
	}
}

// Under a limit that is less than one piece of work, pieces pass by chance and one at a time.
func TestPiecesPassASmallLimitByChance(t *testing.T) {
	l := NewConcurrencyLimit(0, 0.25)
	if l.Full(0, 0, 1, constantDraw(0.2)) || !l.Full(0, 0, 1, constantDraw(0.3)) || !l.Full(0, 1, 1, constantDraw(0.1)) {
		t.Error("want a quarter of the pieces to pass, beside nothing that is out")
	}
	if free := (ConcurrencyLimit{}); free.Full(0, 1e9, 1e9, constantDraw(1)) {
		t.Error("no limit, and yet full")
	}
}

// Whatever comes in whatever order, a limit stays above its least and below what age and work in time explain.
func TestLimitStaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l ConcurrencyLimit
		now, least := Time(0), rapid.Float64Range(0.01, 1).Draw(t, "least")
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			gap := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "gap"))
			before := l.Value(now)
			now += gap
			aged := l.Value(now)
			if aged < before || aged > before*math.Exp(gap.Seconds()/limitTimeConstant.Seconds())*(1+1e-9) {
				t.Fatalf("%v became %v within %v", before, aged, gap)
			}
			out, work := rapid.Float64Range(0, 10).Draw(t, "out"), rapid.Float64Range(0.01, 1).Draw(t, "work")
			if rapid.Bool().Draw(t, "late") {
				l.Decrease(now, 10, rapid.Float64Range(0, 10).Draw(t, "fit"), least)
				if got := l.Value(now); got < least || got > max(least, aged) {
					t.Fatalf("lowered from %v to %v, least %v", aged, got, least)
				}
				continue
			}
			l.Increase(now, out, work)
			if got := l.Value(now); got < aged || got > aged+work*limitStep+1e-9 {
				t.Fatalf("raised from %v to %v by work of %v", aged, got, work)
			}
		}
	})
}
