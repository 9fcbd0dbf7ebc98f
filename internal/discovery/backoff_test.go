package discovery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shaleyard/routing"
)

// platformConfig returns backoff parameters for one director of a fleet. ApplyWithin, ApplyPurgeWithin and
// NotifiedAfter are those that the platform's documentation specifies. SilenceTimeout, CallDuration and MinWait are the
// director's own limits. StartWindow is a value for the tests; in operation it is 0 unless the operator sets start_ms.
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

// tokenInterval is the time in which the call budget of platformConfig gains one token.
const tokenInterval = 1500 * time.Millisecond

// peakToMean returns the number of calls in the busiest 100 ms, divided by the mean number per 100 ms of the span.
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

// checkBudget returns an error if any time span has more calls than the bucket's capacity plus the tokens that are
// added during the span.
func checkBudget(calls []routing.Time, capacity float64) error {
	for i := range calls {
		for j := i; j < len(calls); j++ {
			span := calls[j] - calls[i]
			if most := capacity + 1e-6 + float64(span)/float64(tokenInterval); float64(j-i+1) > most {
				return fmt.Errorf("got %d calls in %v, want at most %.2f", j-i+1, span, most)
			}
		}
	}
	return nil
}

// Directors that start at the same moment, or lose a healthy watch at the same moment, must not call at the same
// moment. After the loss every director reconnects within 0.4 s, which leaves time to apply purges.
func TestFleetSpreadsItsCalls(t *testing.T) {
	for _, directors := range []int{24, 60, 300} {
		for seed := range uint64(5) {
			starts := make([]routing.Time, 0, directors)
			returns := make([]routing.Time, 0, directors)
			const begin, loss = 100 * time.Second, 200 * time.Second
			for index := range directors {
				backoff := NewBackoff(platformConfig(directors, index), seed<<32|uint64(index))
				at := backoff.FirstCall(begin)
				backoff.RecordCall(at)
				starts = append(starts, at)
				backoff.RecordUsableLine(at)
				backoff.RecordUsableLine(loss - time.Millisecond)
				back := backoff.NextCall(loss, EndBroken)
				returns = append(returns, back)
				if back-loss > 400*time.Millisecond {
					t.Errorf("%d directors, index %d: got a wait of %v, want at most 400ms",
						directors, index, back-loss)
				}
			}
			backoff := NewBackoff(platformConfig(directors, 0), 0)
			if peak := peakToMean(starts, begin, backoff.StartWindow()); peak > 2 {
				t.Errorf("%d directors, seed %d: got %.2f times the mean in 100 ms of the start, want at most 2",
					directors, seed, peak)
			}
			if peak := peakToMean(returns, loss, backoff.ReturnWindow()); peak > 2 {
				t.Errorf("%d directors, seed %d: got %.2f times the mean in 100 ms of the return, want at most 2",
					directors, seed, peak)
			}
		}
	}
}

// Without a StartWindow, as for a director that accepts requests immediately after its start, the first call is made
// within the return window.
func TestFirstCallUsesReturnWindowByDefault(t *testing.T) {
	for index := range 300 {
		config := platformConfig(300, index)
		config.StartWindow = 0
		if wait := NewBackoff(config, uint64(index)).FirstCall(time.Hour) - time.Hour; wait > 400*time.Millisecond {
			t.Fatalf("index %d: got a wait of %v, want at most 400ms", index, wait)
		}
	}
}

// A single director can't overload the service, so it makes its first call and reconnects without a wait.
func TestSingleDirectorCallsImmediately(t *testing.T) {
	backoff := NewBackoff(platformConfig(1, 0), 1)
	if at := backoff.FirstCall(time.Second); at != time.Second {
		t.Errorf("got the first call at %v, want 1s", at)
	}
	backoff.RecordCall(time.Second)
	backoff.RecordUsableLine(time.Second)
	if at := backoff.NextCall(10*time.Second, EndBroken); at != 10*time.Second {
		t.Errorf("got the next call at %v, want 10s", at)
	}
}

// A watch is silent for SilenceTimeout before it ends, which is most of the time within which events must be applied.
// The wait after it is therefore shorter, at most 0.2 s.
func TestReturnWindowIsShorterAfterSilence(t *testing.T) {
	for index := range 300 {
		backoff := NewBackoff(platformConfig(300, index), uint64(index))
		at := backoff.FirstCall(0)
		backoff.RecordCall(at)
		backoff.RecordUsableLine(at)
		ended := at + 10*time.Second
		if wait := backoff.NextCall(ended, EndSilent) - ended; wait > 200*time.Millisecond {
			t.Fatalf("index %d: got a wait of %v after a silence, want at most 200ms", index, wait)
		}
	}
}

// A service that refuses connections is called again soon, after a mean wait of at most 1.6 s. The waits after
// consecutive timeouts grow, because the service may be overloaded. The waits after unusable watches stay bounded.
func TestBackoffDependsOnKindOfFailure(t *testing.T) {
	meanWait := func(end WatchEnd, failures int) (mean time.Duration) {
		for seed := range uint64(200) {
			backoff := NewBackoff(platformConfig(300, 7), seed)
			now := backoff.FirstCall(0)
			var wait time.Duration
			for range failures {
				backoff.RecordCall(now)
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
		t.Errorf("refused: got mean waits %v first and %v later, want at most 300ms and 1.6s", first, late)
	}
	first, late = meanWait(EndTimedOut, 1), meanWait(EndTimedOut, 8)
	second := meanWait(EndTimedOut, 2)
	if first < 700*time.Millisecond || second < first*3/2 || late < 4*time.Second {
		t.Errorf("timed out: got mean waits %v, %v and later %v, want at least 700ms, 1.5 times the first, and 4s",
			first, second, late)
	}
	for _, end := range []WatchEnd{EndUnusable, EndBehind} {
		if late := meanWait(end, 8); late < 1000*time.Millisecond || late > 1600*time.Millisecond {
			t.Errorf("%v: got a later mean wait of %v, want 1s to 1.6s", end, late)
		}
	}
	if second := meanWait(EndBehind, 2); second < 1000*time.Millisecond {
		t.Errorf("behind: got a second mean wait of %v, want at least 1s", second)
	}
}

// For any sequence of ends, no wait exceeds the time within which events must be applied, and the calls stay within the
// budget: any time span has at most the bucket's capacity of calls plus one call per 1.5 s.
func TestWaitsAndCallBudgetAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		directors := rapid.IntRange(1, 400).Draw(t, "directors")
		index := rapid.IntRange(0, directors-1).Draw(t, "index")
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
				t.Fatalf("got a call at %v, want none before the current time %v", due, now)
			}
			now = due
			backoff.RecordCall(now)
			calls = append(calls, now)
			served := time.Duration(0)
			if rapid.Bool().Draw(t, "served") {
				backoff.RecordUsableLine(now)
				served = time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(t, "for"))
				now += served
				backoff.RecordUsableLine(now)
			}
			end := WatchEnd(rapid.IntRange(0, numWatchEnds-1).Draw(t, "end"))
			if rapid.IntRange(0, 9).Draw(t, "redirected") == 0 {
				due = backoff.RedirectCall(now)
			} else {
				due = backoff.NextCall(now, end)
			}
			wait := due - now
			if wait > 6500*time.Millisecond || (end != EndTimedOut && end != EndSilent && wait > 3*time.Second) {
				t.Fatalf("got a wait of %v after %v, want at most 6.5s (timed out, silent) or 3s; usable for %v",
					wait, end, served)
			}
			if served >= minStableTime && wait > 400*time.Millisecond {
				t.Fatalf("got a wait of %v after a watch that was usable for %v, want at most 400ms", wait, served)
			}
			if tokens := backoff.tokens; tokens < 0 || tokens > maxTokens {
				t.Fatalf("got %v tokens, want 0 to %d", tokens, maxTokens)
			}
		}
		if err := checkBudget(calls, maxTokens+1); err != nil {
			t.Fatal(err)
		}
	})
}

// A watch that was usable for minStableTime resets the count of failures; short watches of a flapping service do not.
func TestOnlyStableWatchResetsFailures(t *testing.T) {
	backoff := NewBackoff(platformConfig(300, 0), 1)
	now := backoff.FirstCall(0)
	for range 3 {
		backoff.RecordCall(now)
		backoff.RecordUsableLine(now)
		now = backoff.NextCall(now+100*time.Millisecond, EndBroken)
	}
	if backoff.Failures() != 3 {
		t.Errorf("got %d failures after three watches of 0.1 s, want 3", backoff.Failures())
	}
	backoff.RecordUsableLine(now)
	backoff.RecordUsableLine(now + minStableTime)
	if backoff.Failures() != 0 {
		t.Errorf("got %d failures after a stable watch, want 0", backoff.Failures())
	}
}

// A watch that was usable for a moment and then receives no lines counts as broken, not as timed out. The backoff
// window of timeouts grows past ApplyWithin, within which drains must be applied.
func TestSilenceOfShortWatchIsNotATimeout(t *testing.T) {
	for seed := range uint64(50) {
		backoff := NewBackoff(platformConfig(300, int(seed)), seed)
		now := backoff.FirstCall(1000 * time.Second)
		for i := range 3 {
			backoff.RecordCall(now)
			backoff.RecordUsableLine(now + 10*time.Millisecond)
			now += 2 * time.Second
			next := backoff.NextCall(now, EndSilent)
			if wait := next - now; wait > tokenInterval {
				t.Errorf("seed %d: got a wait of %v after silence %d of a short watch, want at most %v",
					seed, wait, i+1, tokenInterval)
			}
			now = next
		}
	}
}

// A watch that breaks soon after it was opened misses purges just like a long one, and is replaced as soon, also
// repeatedly: the missed purges count as notified when the service is called again. A flapping service still receives
// no more calls than the budget allows: the bucket's capacity, and one call per tokenInterval.
func TestBrokenShortWatchesAreReplacedWithinBudget(t *testing.T) {
	const budget = 4 // capacity of the token bucket
	for _, directors := range []int{1, 12, 300} {
		for seed := range uint64(50) {
			backoff := NewBackoff(platformConfig(directors, int(seed)%directors), seed)
			now := backoff.FirstCall(1000 * time.Second)
			const breaks = 40
			calls := make([]routing.Time, 0, breaks+1)
			calls = append(calls, now)
			for i := range breaks {
				backoff.RecordCall(now)
				backoff.RecordUsableLine(now + 10*time.Millisecond)
				now += 20 * time.Millisecond
				next := backoff.NextCall(now, EndBroken)
				wait, least, most := next-now, 750*time.Millisecond, 1500*time.Millisecond
				switch {
				case i == 0:
					least, most = 0, 400*time.Millisecond
				case i < budget-2: // the first call took a token, and the last one is not spent this soon
					least, most = 100*time.Millisecond, 400*time.Millisecond
				}
				if wait < least || wait > most {
					t.Errorf("%d directors, seed %d: got a wait of %v after break %d of a short watch, want %v to %v",
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

// Purged copies were served after a service that was stopped closed its watches twice: the second call had brought
// nothing, and the wait after it was 0.75 to 1.5 s although the service was well again. Such watches are replaced as
// soon as others that break, while two calls are left in the budget.
func TestWatchesClosedWithoutLineAreReplacedWithinBudget(t *testing.T) {
	for _, directors := range []int{1, 12, 300} {
		for seed := range uint64(50) {
			backoff := NewBackoff(platformConfig(directors, int(seed)%directors), seed)
			now := backoff.FirstCall(1000 * time.Second)
			const ends = 40
			calls := make([]routing.Time, 0, ends)
			for i := range ends {
				backoff.RecordCall(now)
				calls = append(calls, now)
				now += 20 * time.Millisecond
				next := backoff.NextCall(now, EndUnusable)
				wait, least, most := next-now, 750*time.Millisecond, 1500*time.Millisecond
				if i < maxTokens-2 {
					least, most = 200*time.Millisecond, 400*time.Millisecond
				}
				if wait < least || wait > most {
					t.Errorf("%d directors, seed %d: got a wait of %v after watch %d without a line, want %v to %v",
						directors, seed, wait, i+1, least, most)
				}
				now = next
			}
			if err := checkBudget(calls, maxTokens); err != nil {
				t.Fatalf("%d directors, seed %d: %v", directors, seed, err)
			}
		}
	}
}

// If the short watches of a whole fleet break at the same moment, twice in a row, the reconnects are evenly spread each
// time.
func TestFleetSpreadsReconnectsToFlappingService(t *testing.T) {
	const directors = 300
	for seed := range uint64(5) {
		fleet := make([]*Backoff, directors)
		for index := range fleet {
			fleet[index] = NewBackoff(platformConfig(directors, index), seed<<32|uint64(index))
			fleet[index].RecordCall(fleet[index].FirstCall(100 * time.Second))
		}
		now := 101 * time.Second
		for i := range 2 { // after a third break the wait is random, because the budget is nearly spent
			returns := make([]routing.Time, 0, len(fleet))
			for _, backoff := range fleet {
				backoff.RecordUsableLine(now)
				back := backoff.NextCall(now, EndBroken)
				backoff.RecordCall(back)
				if back-now > 400*time.Millisecond {
					t.Fatalf("seed %d: got a wait of %v after break %d, want at most 400ms", seed, back-now, i+1)
				}
				returns = append(returns, back)
			}
			if peak := peakToMean(returns, now, fleet[0].ReturnWindow()); peak > 2 {
				t.Errorf("seed %d, break %d: got %.2f times the mean in 100 ms of the return, want at most 2",
					seed, i+1, peak)
			}
			now += 600 * time.Millisecond
		}
	}
}

// Broken watches are no evidence of an overloaded service, so the wait after a first timeout that follows them is that
// of a first failure. The waits after consecutive timeouts grow.
func TestBrokenWatchesDoNotExtendTimeoutBackoff(t *testing.T) {
	for seed := range uint64(50) {
		backoff := NewBackoff(platformConfig(300, int(seed)), seed)
		now := backoff.FirstCall(1000 * time.Second)
		for range 6 {
			backoff.RecordCall(now)
			backoff.RecordUsableLine(now + 10*time.Millisecond)
			now = backoff.NextCall(now+500*time.Millisecond, EndBroken)
		}
		for i, most := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
			backoff.RecordCall(now)
			now += time.Second
			next := backoff.NextCall(now, EndTimedOut)
			if wait := next - now; wait > most || wait < most/2 {
				t.Errorf("seed %d: got a wait of %v after timeout %d following short watches, want %v to %v",
					seed, wait, i+1, most/2, most)
			}
			now = next
		}
	}
}

// An event that was published right after a call that timed out counts as notified NotifiedAfter later. For any number
// of consecutive timeouts and any duration of the call, the next call is made early enough to complete before that
// event must be applied.
func TestWaitAfterTimeoutLeavesTimeForNextCall(t *testing.T) {
	for seed := range uint64(50) {
		config := platformConfig(300, int(seed))
		backoff := NewBackoff(config, seed)
		now := backoff.FirstCall(1000 * time.Second)
		durations := []time.Duration{0, time.Second, config.SilenceTimeout, time.Second + config.SilenceTimeout}
		for _, duration := range durations {
			for range 8 {
				backoff.RecordCall(now)
				next := backoff.NextCall(now+duration, EndTimedOut)
				if next-now > config.NotifiedAfter+config.ApplyPurgeWithin-config.CallDuration {
					t.Errorf("seed %d: got the next call %v after one that took %v, want at most %v",
						seed, next-now, duration, config.NotifiedAfter+config.ApplyPurgeWithin-config.CallDuration)
				}
				now = next
			}
		}
	}
}
