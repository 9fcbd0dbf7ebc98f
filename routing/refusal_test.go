package routing

import (
	"testing"
	"time"
)

// A refusal that says nothing of a wait brings the client back at once, into the same jam. Where all of the site is
// lost, nothing is gained before the next look there.
func TestRefusalTellsWhenToComeBack(t *testing.T) {
	for name, c := range map[string]struct {
		lost        bool
		allowed     bool
		longest     time.Duration
		least, most time.Duration
	}{
		"allowed":     {false, true, 500 * ms, 50 * ms, 100 * ms},
		"cut short":   {false, true, 20 * ms, 15 * ms, 20 * ms},
		"not allowed": {false, false, 500 * ms, 0, 0},
		"site lost":   {true, true, 5 * time.Second, 250 * ms, 500 * ms},
	} {
		w := newSimpleEnv(t, func(s *Settings) {
			s.SiteLimits.RetryAfterAllowed, s.SiteLimits.MaxRetryAfter = c.allowed, c.longest
		})
		w.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
			return Rejected, FillStatusUnknown, 5 * ms
		}
		if c.lost {
			w.updateEndpoints(UpdateFull) // nobody is left to ask
			w.runUntil(w.now + 100*ms)
		}
		if o := w.submitRead(1, 7, 0); c.lost && !o.ended {
			t.Errorf("%s: held, though it can only fail", name)
		}
		w.runUntil(w.now + 4*time.Second)
		got := -1 * ms
		for _, a := range w.actions {
			if r, ok := a.(Reject); ok {
				got = r.RetryAfter
			}
		}
		if got < c.least || got > c.most {
			t.Errorf("%s: told to stay away %v, want %v to %v", name, got, c.least, c.most)
		}
	}
}

// A request that is bound to be given up must not be held on: its answer is owed at once.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		w := newTestEnv(t, testSettings(), seed)
		w.updateEndpoints(UpdateCached, testEndpoints(4)...)
		w.updateEndpoints(UpdateFull)
		o := w.submitRead(1, 7, 0)
		limit := w.settings.Classes[0].LatencyObjective/2 + minPostponement
		w.runUntil(w.now + limit)
		if !o.ended {
			t.Fatalf("seed %d: still held %v after it came", seed, limit)
		}
	}
}
