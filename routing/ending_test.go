package routing

import (
	"testing"
	"time"
)

// A client that is rejected without a Retry-After retries at once, into the same overload. While the director's whole
// site is lost, no recovery starts before the end of the branch's holdoff. Retry-After must then be at least the rest
// of the holdoff and at least 250 ms, half of sitehealth's probeInterval. The case "site lost" wants 250 to 500 ms.
func TestRejectCarriesRetryAfter(t *testing.T) {
	for name, tc := range map[string]struct {
		siteLost        bool
		allowed         bool
		maxRetryAfter   time.Duration
		atLeast, atMost time.Duration
	}{
		"allowed":                  {false, true, 500 * ms, 50 * ms, 100 * ms},
		"limited by MaxRetryAfter": {false, true, 20 * ms, 15 * ms, 20 * ms},
		"not allowed":              {false, false, 500 * ms, 0, 0},
		"site lost":                {true, true, 5 * time.Second, 250 * ms, 500 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			env := newSimpleEnv(t, func(settings *Settings) {
				settings.SiteLimits.RetryAfterAllowed = tc.allowed
				settings.SiteLimits.MaxRetryAfter = tc.maxRetryAfter
			})
			env.answer = always(Rejected, FillStatusUnknown, 5*ms)
			if tc.siteLost {
				env.updateEndpoints(UpdateFull) // an empty list: no server is left
				env.run(100 * ms)
			}
			request := env.submitObject(1, 7, classBig)
			if tc.siteLost && !request.ended {
				t.Error("request was postponed although the site is lost")
			}
			env.run(4 * time.Second)
			got := -1 * ms
			for _, reject := range actionsOf[Reject](env.actions) {
				got = reject.RetryAfter
			}
			if got < tc.atLeast || got > tc.atMost {
				t.Errorf("got Retry-After %v, want %v to %v", got, tc.atLeast, tc.atMost)
			}
		})
	}
}

// A request that finds no server is rejected once half its latency objective has passed. A postponement must not end
// more than minPostponement after that time, so that the rejection is not delayed further.
func TestPostponementDoesNotDelayRejection(t *testing.T) {
	for seed := range uint64(20) {
		env := newTestEnv(t, testSettings(), seed)
		env.updateEndpoints(UpdateCached, testEndpoints(4)...)
		env.updateEndpoints(UpdateFull)
		request := env.submitObject(1, 7, classBig)
		limit := env.settings.Classes[classBig].LatencyObjective/2 + minPostponement
		env.run(limit)
		if !request.ended {
			t.Fatalf("seed %d: request has not ended %v after its arrival", seed, limit)
		}
	}
}
