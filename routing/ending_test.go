package routing

import (
	"testing"
	"time"
)

// A rejection without a Retry-After brings the client back at once, into the same overload. Where all of the site is
// lost, nothing is gained before the next probe there.
func TestRefusalTellsWhenToComeBack(t *testing.T) {
	for name, tc := range map[string]struct {
		siteLost        bool
		allowed         bool
		maxRetryAfter   time.Duration
		atLeast, atMost time.Duration
	}{
		"allowed":     {false, true, 500 * ms, 50 * ms, 100 * ms},
		"cut short":   {false, true, 20 * ms, 15 * ms, 20 * ms},
		"not allowed": {false, false, 500 * ms, 0, 0},
		"site lost":   {true, true, 5 * time.Second, 250 * ms, 500 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			env := newSimpleEnv(t, func(settings *Settings) {
				settings.SiteLimits.RetryAfterAllowed = tc.allowed
				settings.SiteLimits.MaxRetryAfter = tc.maxRetryAfter
			})
			env.answer = always(Rejected, FillStatusUnknown, 5*ms)
			if tc.siteLost {
				env.updateEndpoints(UpdateFull) // no server is left
				env.run(100 * ms)
			}
			request := env.submitRead(1, 7, classBig)
			if tc.siteLost && !request.ended {
				t.Error("postponed, though it can only fail")
			}
			env.run(4 * time.Second)
			got := -1 * ms
			for _, reject := range actionsOf[Reject](env.actions) {
				got = reject.RetryAfter
			}
			if got < tc.atLeast || got > tc.atMost {
				t.Errorf("Retry-After %v, want %v to %v", got, tc.atLeast, tc.atMost)
			}
		})
	}
}

// A request that is bound to be rejected must not be postponed further: its answer is owed at once.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		env := newTestEnv(t, testSettings(), seed)
		env.updateEndpoints(UpdateCached, testEndpoints(4)...)
		env.updateEndpoints(UpdateFull)
		request := env.submitRead(1, 7, classBig)
		limit := env.settings.Classes[classBig].LatencyObjective/2 + minPostponement
		env.run(limit)
		if !request.ended {
			t.Fatalf("seed %d: still not ended %v after it came", seed, limit)
		}
	}
}
