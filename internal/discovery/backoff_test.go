package discovery

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"shaleyard/routing"
)

// platformConfig are those of the platform.
func platformConfig(n, me int) BackoffConfig {
	return BackoffConfig{Directors: n, DirectorIndex: me, ApplyWithin: 2 * time.Second, ApplyPurgeWithin: 500 * time.Millisecond, StartWindow: 1500 * time.Millisecond, NotifiedAfter: 7 * time.Second,
		SilenceTimeout: 1300 * time.Millisecond, CallDuration: 500 * time.Millisecond, MinWait: 100 * time.Millisecond}
}

// peakToMean is the busiest 100 ms of calls over their mean in the span.
func peakToMean(calls []routing.Time, from, span routing.Time) float64 {
	const step = 100 * time.Millisecond
	bins := make([]int, int(span/step)+1)
	most := 0
	for _, at := range calls {
		i := int((at - from) / step)
		bins[i]++
		most = max(most, bins[i])
	}
	return float64(most) / (float64(len(calls)) / (float64(span) / float64(step)))
}

// Directors that start at one moment, and that lose a good stream at one moment, must not call at one moment.
// Every one is back within the time that the rule on drains leaves.
func TestFleetSpreadsItsCalls(t *testing.T) {
	for _, n := range []int{24, 60, 300} {
		for seed := range uint64(5) {
			var starts, backs []routing.Time
			const begin, loss = 100 * time.Second, 200 * time.Second
			for me := range n {
				c := NewBackoff(platformConfig(n, me), seed<<32|uint64(me))
				at := c.FirstCall(begin)
				starts = append(starts, at)
				c.RecordUsableLine(at)
				c.RecordUsableLine(loss - time.Millisecond)
				back := c.NextCall(loss, EndBroken)
				backs = append(backs, back)
				if back-loss > 400*time.Millisecond {
					t.Errorf("%d directors: number %d is back after %v", n, me, back-loss)
				}
			}
			pace := NewBackoff(platformConfig(n, 0), 0)
			if p := peakToMean(starts, begin, pace.StartWindow()); p > 2 {
				t.Errorf("%d directors, seed %d: the busiest 100 ms of the start has %.2f times the mean", n, seed, p)
			}
			if p := peakToMean(backs, loss, pace.ReturnWindow()); p > 2 {
				t.Errorf("%d directors, seed %d: the busiest 100 ms of the return has %.2f times the mean", n, seed, p)
			}
		}
	}
}

// Who takes work from the first moment on has no more time for its first call than for its return.
func TestStartWithoutASpanIsAReturn(t *testing.T) {
	for me := range 300 {
		b := platformConfig(300, me)
		b.StartWindow = 0
		if at := NewBackoff(b, uint64(me)).FirstCall(time.Hour) - time.Hour; at > 400*time.Millisecond {
			t.Fatalf("number %d calls after %v", me, at)
		}
	}
}

// One director alone has nobody to spread from.
func TestLoneDirectorCallsAtOnce(t *testing.T) {
	c := NewBackoff(platformConfig(1, 0), 1)
	if at := c.FirstCall(time.Second); at != time.Second {
		t.Errorf("first call at %v", at)
	}
	c.RecordUsableLine(time.Second)
	if at := c.NextCall(10*time.Second, EndBroken); at != 10*time.Second {
		t.Errorf("back at %v", at)
	}
}

// Silence has used up most of the time for the news.
func TestSilenceLeavesLessTime(t *testing.T) {
	for me := range 300 {
		c := NewBackoff(platformConfig(300, me), uint64(me))
		at := c.FirstCall(0)
		c.RecordUsableLine(at)
		if wait := c.NextCall(at+10*time.Second, EndSilent) - (at + 10*time.Second); wait > 200*time.Millisecond {
			t.Fatalf("number %d waits %v behind a silence", me, wait)
		}
	}
}

// A service that is down is asked again soon; one that is overloaded ever more seldom.
func TestWaitsGrowByWhatFailed(t *testing.T) {
	mean := func(e WatchEnd, failures int) (sum time.Duration) {
		for seed := range uint64(200) {
			c := NewBackoff(platformConfig(300, 7), seed)
			now := c.FirstCall(0)
			var wait time.Duration
			for range failures {
				next := c.NextCall(now, e)
				wait, now = next-now, next
			}
			sum += wait / 200
		}
		return sum
	}
	if first, late := mean(EndRefused, 1), mean(EndRefused, 8); first > 300*time.Millisecond || late > 1600*time.Millisecond {
		t.Errorf("refused: %v at first, %v later", first, late)
	}
	first, second, late := mean(EndTimedOut, 1), mean(EndTimedOut, 2), mean(EndTimedOut, 8)
	if first < 700*time.Millisecond || second < first*3/2 || late < 4*time.Second {
		t.Errorf("timed out: %v, %v, later %v", first, second, late)
	}
	if u := mean(EndUnusable, 8); u < 1000*time.Millisecond || u > 1600*time.Millisecond {
		t.Errorf("unfit: later %v", u)
	}
}

// Whatever the service does, no wait is longer than the news may be late, and calls keep to the budget: in any
// span there are no more than what was saved and one for each 1.5 s of it.
func TestPaceKeepsItsBoundsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "directors")
		c := NewBackoff(platformConfig(n, rapid.IntRange(0, n-1).Draw(t, "me")), rapid.Uint64().Draw(t, "seed"))
		now := rapid.Custom(func(t *rapid.T) routing.Time { return routing.Time(rapid.Int64Range(0, 1e12).Draw(t, "ns")) }).Draw(t, "begin")
		due := c.FirstCall(now)
		calls := []routing.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if due < now {
				t.Fatalf("a call at %v, which has passed at %v", due, now)
			}
			now = due
			calls = append(calls, now)
			served := time.Duration(0)
			if rapid.Bool().Draw(t, "served") {
				c.RecordUsableLine(now)
				served = time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(t, "for"))
				now += served
				c.RecordUsableLine(now)
			}
			e := WatchEnd(rapid.IntRange(0, int(EndSilent)).Draw(t, "end"))
			if rapid.IntRange(0, 9).Draw(t, "moved") == 0 {
				due = c.RedirectCall(now)
			} else {
				due = c.NextCall(now, e)
			}
			if wait := due - now; wait > 6500*time.Millisecond || (e != EndTimedOut && e != EndSilent && wait > 3*time.Second) {
				t.Fatalf("waits %v after %v, served for %v", wait, e, served)
			}
			if served >= settleTime && due-now > 400*time.Millisecond {
				t.Fatalf("waits %v behind a stream that was good for %v", due-now, served)
			}
			if tokens := c.tokens; tokens < 0 || tokens > maxSavedCalls {
				t.Fatalf("%v calls saved", tokens)
			}
		}
		for i := range calls {
			for j := i; j < len(calls); j++ {
				if most := maxSavedCalls + 1e-6 + float64(calls[j]-calls[i])/float64(1500*time.Millisecond); float64(j-i+1) > most+1 {
					t.Fatalf("%d calls in %v", j-i+1, calls[j]-calls[i])
				}
			}
		}
	})
}

// A good stream that settles clears what failed before; a flapping one does not.
func TestOnlyASettledStreamForgives(t *testing.T) {
	c := NewBackoff(platformConfig(300, 0), 1)
	now := c.FirstCall(0)
	for range 3 {
		c.RecordUsableLine(now)
		now = c.NextCall(now+100*time.Millisecond, EndBroken)
	}
	if c.Failures() != 3 {
		t.Errorf("%d failures after three streams of 0.1 s, want 3", c.Failures())
	}
	c.RecordUsableLine(now)
	c.RecordUsableLine(now + settleTime)
	if c.Failures() != 0 {
		t.Errorf("%d failures after a settled stream", c.Failures())
	}
}

// A stream that was good for a moment and falls silent is a break, not a call that the service had no time for: drains
// must be heard within Heed, and a window that grows with each failure goes past that.
func TestYoungStreamsThatFallSilentAreNoTimeOuts(t *testing.T) {
	for seed := range uint64(50) {
		c := NewBackoff(platformConfig(300, int(seed)), seed)
		now := c.FirstCall(1000 * time.Second)
		for i := range 3 {
			c.RecordUsableLine(now + 10*time.Millisecond)
			now += 2 * time.Second
			next := c.NextCall(now, EndSilent)
			if wait := next - now; wait > 1500*time.Millisecond {
				t.Errorf("seed %d: %v after silence %d of a young stream", seed, wait, i+1)
			}
			now = next
		}
	}
}

// A stream that breaks soon after it was opened leaves purges unheard as one that was good for long does, and is replaced
// as soon, also when it does so again: what it has cut off counts as told when the service is asked again. But a service
// that flaps costs no more than the budget: what was saved up, and one call in soon.
func TestBreaksOfYoungStreamsAreMendedSoonWithinTheBudget(t *testing.T) {
	const budget = 4 // calls at once; one more in 1.5 s
	for _, n := range []int{1, 12, 300} {
		for seed := range uint64(50) {
			c := NewBackoff(platformConfig(n, int(seed)%n), seed)
			now := c.FirstCall(1000 * time.Second)
			calls := []routing.Time{now}
			for i := range 40 {
				c.RecordUsableLine(now + 10*time.Millisecond)
				now += 20 * time.Millisecond
				next := c.NextCall(now, EndBroken)
				wait, least, most := next-now, 750*time.Millisecond, 1500*time.Millisecond
				switch {
				case i == 0:
					least, most = 0, 400*time.Millisecond
				case i < budget-2: // the first call was one, and one is kept
					least, most = 100*time.Millisecond, 400*time.Millisecond
				}
				if wait < least || wait > most {
					t.Errorf("%d directors, seed %d: %v after break %d of a young stream, want %v to %v", n, seed, wait, i+1, least, most)
				}
				now = next
				calls = append(calls, now)
			}
			for i := range calls {
				for j := i; j < len(calls); j++ {
					if most := budget + 1e-6 + float64(calls[j]-calls[i])/float64(1500*time.Millisecond); float64(j-i+1) > most {
						t.Fatalf("%d directors, seed %d: %d calls in %v", n, seed, j-i+1, calls[j]-calls[i])
					}
				}
			}
		}
	}
}

// A fleet whose young streams break at one moment, and again, comes back in an even stream each time.
func TestFleetSpreadsItsReturnToAServiceThatFlaps(t *testing.T) {
	const n = 300
	for seed := range uint64(5) {
		paces := make([]*Backoff, n)
		for me := range paces {
			paces[me] = NewBackoff(platformConfig(n, me), seed<<32|uint64(me))
			paces[me].FirstCall(100 * time.Second)
		}
		now := 101 * time.Second
		for i := range 2 { // the next one is at random, as the budget is nearly spent
			var backs []routing.Time
			for _, c := range paces {
				c.RecordUsableLine(now)
				back := c.NextCall(now, EndBroken)
				if back-now > 400*time.Millisecond {
					t.Fatalf("seed %d: back %v after break %d", seed, back-now, i+1)
				}
				backs = append(backs, back)
			}
			if p := peakToMean(backs, now, paces[0].ReturnWindow()); p > 2 {
				t.Errorf("seed %d, break %d: the busiest 100 ms of the return has %.2f times the mean", seed, i+1, p)
			}
			now += 600 * time.Millisecond
		}
	}
}

// Streams that break are no overload: a call that times out behind them is followed as the first one in a row is. Calls
// that time out one after the other are followed ever later.
func TestBreaksDoNotMakeATimeOutLonger(t *testing.T) {
	for seed := range uint64(50) {
		c := NewBackoff(platformConfig(300, int(seed)), seed)
		now := c.FirstCall(1000 * time.Second)
		for range 6 {
			c.RecordUsableLine(now + 10*time.Millisecond)
			now = c.NextCall(now+500*time.Millisecond, EndBroken)
		}
		for i, most := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
			now += time.Second
			next := c.NextCall(now, EndTimedOut)
			if wait := next - now; wait > most || wait < most/2 {
				t.Errorf("seed %d: %v after time-out %d behind young streams, want %v to %v", seed, wait, i+1, most/2, most)
			}
			now = next
		}
	}
}

// What was published right behind a call that is not served counts as told after Late. However many time-outs in a row
// there were, and however long the call took, the next one is made in time to be served when that is due.
func TestTheWaitBehindATimeOutLeavesTheTimeOfItsCall(t *testing.T) {
	for seed := range uint64(50) {
		b := platformConfig(300, int(seed))
		c := NewBackoff(b, seed)
		now := c.FirstCall(1000 * time.Second)
		for _, took := range []time.Duration{0, time.Second, b.SilenceTimeout, time.Second + b.SilenceTimeout} {
			for range 8 {
				next := c.NextCall(now+took, EndTimedOut)
				if next-now > b.NotifiedAfter+b.ApplyPurgeWithin-b.CallDuration {
					t.Errorf("seed %d: the next call is made %v behind one that took %v", seed, next-now, took)
				}
				now = next
			}
		}
	}
}
