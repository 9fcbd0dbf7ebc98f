package routing

import (
	"testing"
	"time"
)

// A refusal that says nothing of a wait brings the client back at once, into the same jam. Where all of the site is
// lost, nothing is gained before the next look there.
func TestRefusalTellsWhenToComeBack(t *testing.T) {
	for name, tc := range map[string]struct {
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
		env := newSimpleEnv(t, func(settings *Settings) {
			settings.SiteLimits.RetryAfterAllowed, settings.SiteLimits.MaxRetryAfter = tc.allowed, tc.longest
		})
		env.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
			return Rejected, FillStatusUnknown, 5 * ms
		}
		if tc.lost {
			env.updateEndpoints(UpdateFull) // nobody is left to ask
			env.runUntil(env.now + 100*ms)
		}
		if request := env.submitRead(1, 7, 0); tc.lost && !request.ended {
			t.Errorf("%s: held, though it can only fail", name)
		}
		env.runUntil(env.now + 4*time.Second)
		got := -1 * ms
		for _, action := range env.actions {
			if reject, ok := action.(Reject); ok {
				got = reject.RetryAfter
			}
		}
		if got < tc.least || got > tc.most {
			t.Errorf("%s: told to stay away %v, want %v to %v", name, got, tc.least, tc.most)
		}
	}
}

// A request that is bound to be given up must not be held on: its answer is owed at once.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		env := newTestEnv(t, testSettings(), seed)
		env.updateEndpoints(UpdateCached, testEndpoints(4)...)
		env.updateEndpoints(UpdateFull)
		request := env.submitRead(1, 7, 0)
		limit := env.settings.Classes[0].LatencyObjective/2 + minPostponement
		env.runUntil(env.now + limit)
		if !request.ended {
			t.Fatalf("seed %d: still held %v after it came", seed, limit)
		}
	}
}
