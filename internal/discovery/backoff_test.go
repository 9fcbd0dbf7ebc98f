package discovery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shaleyard/routing"
)

// platformConfig is the configuration that the platform's pages lead to, for one director of a fleet.
func platformConfig(directors, index int) BackoffConfig {
	return BackoffConfig{
		Directors:        directors,
		DirectorIndex:    index,
		ApplyWithin:      2 * time.Second,
		ApplyPurgeWithin: 500 * time.Millisecond,
		StartWindow:      1500 * time.Millisecond,
		NotifiedAfter:    7 * time.Second,
		SilenceTimeout:   1300 * time.Millisecond,
		CallDuration:     500 * time.Millisecond,
		MinWait:          100 * time.Millisecond,
	}
}

// earnTime is the time in which the budget of platformConfig earns a call.
const earnTime = 1500 * time.Millisecond

// peakToMean is the busiest 100 ms of calls over their mean in the span.
func peakToMean(calls []routing.Time, from, span routing.Time) float64 {
	const step = 100 * time.Millisecond
	bins := make([]int, int(span/step)+1)
	busiest := 0
	for _, at := range calls {
		bin := int((at - from) / step)
		bins[bin]++
		busiest = max(busiest, bins[bin])
	}
	return float64(busiest) / (float64(len(calls)) / (float64(span) / float64(step)))
}

// checkBudget returns an error if any span has more calls than a number that is saved up and what is earned in the
// span.
func checkBudget(calls []routing.Time, saved float64) error {
	for i := range calls {
		for j := i; j < len(calls); j++ {
			span := calls[j] - calls[i]
			if most := saved + 1e-6 + float64(span)/float64(earnTime); float64(j-i+1) > most {
				return fmt.Errorf("%d calls in %v", j-i+1, span)
			}
		}
	}
	return nil
}

// Directors that start at one moment, and that lose a healthy watch at one moment, must not call at one moment.
// Every one is back within the time that the rule on drains leaves.
func TestFleetSpreadsItsCalls(t *testing.T) {
	for _, directors := range []int{24, 60, 300} {
		for seed := range uint64(5) {
			starts := make([]routing.Time, 0, directors)
			returns := make([]routing.Time, 0, directors)
			const begin, loss = 100 * time.Second, 200 * time.Second
			for index := range directors {
				backoff := NewBackoff(platformConfig(directors, index), seed<<32|uint64(index))
				at := backoff.FirstCall(begin)
				starts = append(starts, at)
				backoff.RecordUsableLine(at)
				backoff.RecordUsableLine(loss - time.Millisecond)
				back := backoff.NextCall(loss, EndBroken)
				returns = append(returns, back)
				if back-loss > 400*time.Millisecond {
					t.Errorf("%d directors: number %d is back after %v", directors, index, back-loss)
				}
			}
			backoff := NewBackoff(platformConfig(directors, 0), 0)
			if peak := peakToMean(starts, begin, backoff.StartWindow()); peak > 2 {
				t.Errorf("%d directors, seed %d: the busiest 100 ms of the start has %.2f times the mean",
					directors, seed, peak)
			}
			if peak := peakToMean(returns, loss, backoff.ReturnWindow()); peak > 2 {
				t.Errorf("%d directors, seed %d: the busiest 100 ms of the return has %.2f times the mean",
					directors, seed, peak)
			}
		}
	}
}

// A director that takes requests from the first moment on has no more time for its first call than for its return.
func TestFirstCallUsesReturnWindowByDefault(t *testing.T) {
	for index := range 300 {
		config := platformConfig(300, index)
		config.StartWindow = 0
		if wait := NewBackoff(config, uint64(index)).FirstCall(time.Hour) - time.Hour; wait > 400*time.Millisecond {
			t.Fatalf("number %d calls after %v", index, wait)
		}
	}
}

// One director alone has nobody to spread from.
func TestSingleDirectorCallsImmediately(t *testing.T) {
	backoff := NewBackoff(platformConfig(1, 0), 1)
	if at := backoff.FirstCall(time.Second); at != time.Second {
		t.Errorf("first call at %v", at)
	}
	backoff.RecordUsableLine(time.Second)
	if at := backoff.NextCall(10*time.Second, EndBroken); at != 10*time.Second {
		t.Errorf("back at %v", at)
	}
}

// Silence has used up most of the time in which events must be applied.
func TestReturnWindowIsShorterAfterSilence(t *testing.T) {
	for index := range 300 {
		backoff := NewBackoff(platformConfig(300, index), uint64(index))
		at := backoff.FirstCall(0)
		backoff.RecordUsableLine(at)
		ended := at + 10*time.Second
		if wait := backoff.NextCall(ended, EndSilent) - ended; wait > 200*time.Millisecond {
			t.Fatalf("number %d waits %v after a silence", index, wait)
		}
	}
}

// A service that is down is called again soon; one that is overloaded, ever less often.
func TestBackoffDependsOnKindOfFailure(t *testing.T) {
	meanWait := func(end WatchEnd, failures int) (mean time.Duration) {
		for seed := range uint64(200) {
			backoff := NewBackoff(platformConfig(300, 7), seed)
			now := backoff.FirstCall(0)
			var wait time.Duration
			for range failures {
				next := backoff.NextCall(now, end)
				wait = next - now
				now = next
			}
			mean += wait / 200
		}
		return mean
	}
	first, late := meanWait(EndRefused, 1), meanWait(EndRefused, 8)
	if first > 300*time.Millisecond || late > 1600*time.Millisecond {
		t.Errorf("refused: %v at first, %v later", first, late)
	}
	first, late = meanWait(EndTimedOut, 1), meanWait(EndTimedOut, 8)
	second := meanWait(EndTimedOut, 2)
	if first < 700*time.Millisecond || second < first*3/2 || late < 4*time.Second {
		t.Errorf("timed out: %v, %v, later %v", first, second, late)
	}
	if late := meanWait(EndUnusable, 8); late < 1000*time.Millisecond || late > 1600*time.Millisecond {
		t.Errorf("unusable: later %v", late)
	}
}

// Whatever the service does, no wait is longer than events may be late, and calls keep to the budget: in any span there
// are no more than what was saved and one for each 1.5 s of it.
func TestWaitsAndCallBudgetAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		directors := rapid.IntRange(1, 400).Draw(t, "directors")
		index := rapid.IntRange(0, directors-1).Draw(t, "me")
		backoff := NewBackoff(platformConfig(directors, index), rapid.Uint64().Draw(t, "seed"))
		nanoseconds := rapid.Custom(func(t *rapid.T) routing.Time {
			return routing.Time(rapid.Int64Range(0, 1e12).Draw(t, "ns"))
		})
		now := nanoseconds.Draw(t, "begin")
		due := backoff.FirstCall(now)
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		calls := make([]routing.Time, 0, steps)
		for range steps {
			if due < now {
				t.Fatalf("a call at %v, which has passed at %v", due, now)
			}
			now = due
			calls = append(calls, now)
			served := time.Duration(0)
			if rapid.Bool().Draw(t, "served") {
				backoff.RecordUsableLine(now)
				served = time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(t, "for"))
				now += served
				backoff.RecordUsableLine(now)
			}
			end := WatchEnd(rapid.IntRange(0, int(EndSilent)).Draw(t, "end"))
			if rapid.IntRange(0, 9).Draw(t, "moved") == 0 {
				due = backoff.RedirectCall(now)
			} else {
				due = backoff.NextCall(now, end)
			}
			wait := due - now
			if wait > 6500*time.Millisecond || (end != EndTimedOut && end != EndSilent && wait > 3*time.Second) {
				t.Fatalf("waits %v after %v, served for %v", wait, end, served)
			}
			if served >= settleTime && wait > 400*time.Millisecond {
				t.Fatalf("waits %v after a watch that was usable for %v", wait, served)
			}
			if tokens := backoff.tokens; tokens < 0 || tokens > maxSavedCalls {
				t.Fatalf("%v calls saved", tokens)
			}
		}
		if err := checkBudget(calls, maxSavedCalls+1); err != nil {
			t.Fatal(err)
		}
	})
}

// A watch that settles clears what failed before; a flapping one does not.
func TestOnlyStableWatchResetsFailures(t *testing.T) {
	backoff := NewBackoff(platformConfig(300, 0), 1)
	now := backoff.FirstCall(0)
	for range 3 {
		backoff.RecordUsableLine(now)
		now = backoff.NextCall(now+100*time.Millisecond, EndBroken)
	}
	if backoff.Failures() != 3 {
		t.Errorf("%d failures after three watches of 0.1 s, want 3", backoff.Failures())
	}
	backoff.RecordUsableLine(now)
	backoff.RecordUsableLine(now + settleTime)
	if backoff.Failures() != 0 {
		t.Errorf("%d failures after a settled watch", backoff.Failures())
	}
}

// A watch that was usable for a moment and falls silent is a break, not a call that the service had no time for: drains
// must be applied within ApplyWithin, and a window that grows with each failure goes past that.
func TestSilenceOfShortWatchIsNotATimeout(t *testing.T) {
	for seed := range uint64(50) {
		backoff := NewBackoff(platformConfig(300, int(seed)), seed)
		now := backoff.FirstCall(1000 * time.Second)
		for i := range 3 {
			backoff.RecordUsableLine(now + 10*time.Millisecond)
			now += 2 * time.Second
			next := backoff.NextCall(now, EndSilent)
			if wait := next - now; wait > earnTime {
				t.Errorf("seed %d: %v after silence %d of a young watch", seed, wait, i+1)
			}
			now = next
		}
	}
}

// A watch that breaks soon after it was opened leaves purges unheard as one that was usable for long does, and is
// replaced as soon, also when it does so again: what it has cut off counts as notified when the service is called
// again. But a service that flaps costs no more than the budget: what was saved up, and one call in each earnTime.
func TestBrokenShortWatchesAreReplacedWithinBudget(t *testing.T) {
	const budget = 4 // calls at once
	for _, directors := range []int{1, 12, 300} {
		for seed := range uint64(50) {
			backoff := NewBackoff(platformConfig(directors, int(seed)%directors), seed)
			now := backoff.FirstCall(1000 * time.Second)
			const breaks = 40
			calls := make([]routing.Time, 0, breaks+1)
			calls = append(calls, now)
			for i := range breaks {
				backoff.RecordUsableLine(now + 10*time.Millisecond)
				now += 20 * time.Millisecond
				next := backoff.NextCall(now, EndBroken)
				wait, least, most := next-now, 750*time.Millisecond, 1500*time.Millisecond
				switch {
				case i == 0:
					least, most = 0, 400*time.Millisecond
				case i < budget-2: // the first call was one, and one is kept
					least, most = 100*time.Millisecond, 400*time.Millisecond
				}
				if wait < least || wait > most {
					t.Errorf("%d directors, seed %d: %v after break %d of a young watch, want %v to %v",
						directors, seed, wait, i+1, least, most)
				}
				now = next
				calls = append(calls, now)
			}
			if err := checkBudget(calls, budget); err != nil {
				t.Fatalf("%d directors, seed %d: %v", directors, seed, err)
			}
		}
	}
}

// A fleet whose young watches break at one moment, and again, comes back in an even stream each time.
func TestFleetSpreadsReconnectsToFlappingService(t *testing.T) {
	const directors = 300
	for seed := range uint64(5) {
		fleet := make([]*Backoff, directors)
		for index := range fleet {
			fleet[index] = NewBackoff(platformConfig(directors, index), seed<<32|uint64(index))
			fleet[index].FirstCall(100 * time.Second)
		}
		now := 101 * time.Second
		for i := range 2 { // the next one is at random, as the budget is nearly spent
			returns := make([]routing.Time, 0, len(fleet))
			for _, backoff := range fleet {
				backoff.RecordUsableLine(now)
				back := backoff.NextCall(now, EndBroken)
				if back-now > 400*time.Millisecond {
					t.Fatalf("seed %d: back %v after break %d", seed, back-now, i+1)
				}
				returns = append(returns, back)
			}
			if peak := peakToMean(returns, now, fleet[0].ReturnWindow()); peak > 2 {
				t.Errorf("seed %d, break %d: the busiest 100 ms of the return has %.2f times the mean", seed, i+1, peak)
			}
			now += 600 * time.Millisecond
		}
	}
}

// Watches that break are no overload: a call that times out after them is followed as the first one in a row is. Calls
// that time out one after the other are followed ever later.
func TestBrokenWatchesDoNotExtendTimeoutBackoff(t *testing.T) {
	for seed := range uint64(50) {
		backoff := NewBackoff(platformConfig(300, int(seed)), seed)
		now := backoff.FirstCall(1000 * time.Second)
		for range 6 {
			backoff.RecordUsableLine(now + 10*time.Millisecond)
			now = backoff.NextCall(now+500*time.Millisecond, EndBroken)
		}
		for i, most := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
			now += time.Second
			next := backoff.NextCall(now, EndTimedOut)
			if wait := next - now; wait > most || wait < most/2 {
				t.Errorf("seed %d: %v after timeout %d behind young watches, want %v to %v",
					seed, wait, i+1, most/2, most)
			}
			now = next
		}
	}
}

// What was published right behind a call that is not served counts as notified after NotifiedAfter. However many
// timeouts in a row there were, and however long the call took, the next one is made in time to be served when that is
// due.
func TestWaitAfterTimeoutLeavesTimeForNextCall(t *testing.T) {
	for seed := range uint64(50) {
		config := platformConfig(300, int(seed))
		backoff := NewBackoff(config, seed)
		now := backoff.FirstCall(1000 * time.Second)
		durations := []time.Duration{0, time.Second, config.SilenceTimeout, time.Second + config.SilenceTimeout}
		for _, duration := range durations {
			for range 8 {
				next := backoff.NextCall(now+duration, EndTimedOut)
				if next-now > config.NotifiedAfter+config.ApplyPurgeWithin-config.CallDuration {
					t.Errorf("seed %d: the next call is made %v behind one that took %v", seed, next-now, duration)
				}
				now = next
			}
		}
	}
}
