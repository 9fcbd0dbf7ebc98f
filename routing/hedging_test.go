package routing

import (
	"math"
	"testing"
	"time"
)

// When caches lose requests, for example four of six caches a third of all requests for 10 s, an attempt whose answer
// seems lost must be sent to its cache again, for a cached copy only. There must be no hedge before the attempt takes
// longer than its size explains, beyond maxHedgesPerRequest, for a request that must not execute twice, under overload,
// without hedge tokens, or while no later attempt has been answered.
func TestLostAnswerIsHedged(t *testing.T) {
	unchanged := func(*testEnv, *requestState) {}
	for _, tc := range []struct {
		name   string
		change func(*testEnv, *requestState)
		class  int
		want   int
	}{
		{"lost", unchanged, classBig, maxHedgesPerRequest},
		{"no later attempt answered", func(_ *testEnv, request *requestState) {
			attributedLoad(request).lastTimelySentAt = 0
		}, classBig, 0},
		{"overload", func(env *testEnv, request *requestState) {
			load := &request.attempts[0].target.asTarget
			env.setLoad(load, 1e-6, load.inFlightWork)
		}, classBig, 0},
		{"no tokens", func(env *testEnv, _ *requestState) { env.router.hedgeTokens = 0 }, classBig, 0},
		{"non-idempotent", unchanged, classUnsafe, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newHedgingEnv(t)
			request := env.submitWithLostAnswer(tc.class)
			router, first := env.router, request.attempts[0]
			router.hedgeTokens = maxHedgeTokens
			tc.change(env, request)
			router.now += 10 * ms
			router.actions = router.actions[:0]
			router.hedge(first)
			if len(router.actions) > 0 {
				t.Errorf("got a hedge before the attempt was overdue: %v", router.actions)
			}
			for range maxHedgesPerRequest + 2 {
				router.now += 10 * time.Second
				last := request.attempts[len(request.attempts)-1]
				if last.number > 0 {
					last.target.asTarget.lastTimelySentAt = last.sentAt + 1
				}
				for range 2 { // a tick checks every attempt in flight
					for _, attempt := range request.attempts {
						router.hedge(attempt)
					}
				}
			}
			if got := len(router.actions); got != tc.want {
				t.Errorf("got %d hedges, want %d: %v", got, tc.want, router.actions)
			}
			for _, action := range router.actions {
				fetch, ok := action.(Fetch)
				if !ok || fetch.Source != fetch.Host || fetch.Host != first.target.Host {
					t.Errorf("got hedge %v, want a Fetch from the same cache for a cached copy only", action)
				}
			}
		})
	}
}

func newHedgingEnv(t *testing.T) *testEnv {
	t.Helper()
	return newSimpleEnv(t, func(settings *Settings) {
		settings.SiteLimits.HedgingAllowed = true
		settings.Tiers.BypassAllowed = false
	})
}

// submitWithLostAnswer submits request 1, and records that an attempt which was sent later was answered in time by the
// same server in the same role, so that the answer to request 1 seems lost.
func (e *testEnv) submitWithLostAnswer(class int) *requestState {
	e.submitObject(1, 42, class)
	request := e.router.requests[1]
	request.Deadline = e.router.now + time.Minute
	attributedLoad(request).lastTimelySentAt = request.attempts[0].sentAt + 1
	return request
}

// attributedLoad returns the load of the server and role whose work in flight includes a request's first attempt.
func attributedLoad(request *requestState) *roleLoad {
	_, load := attributedTo(request.attempts[0])
	return load
}

// A hedge that brings the answer earns more tokens than it cost, so that hedging goes on while answers are lost. A
// hedge that is answered after the original attempt earns nothing, so that hedging ends under overload.
func TestHedgesThatWinEarnTokens(t *testing.T) {
	for _, tc := range []struct {
		name  string
		first int // number of the attempt that is answered first
		want  float64
	}{
		{"original wins", 0, maxHedgeTokens - 2},
		{"hedge wins", 1, maxHedgeTokens - 2 + hedgeTokensPerWin},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newHedgingEnv(t)
			request := env.submitWithLostAnswer(classBig)
			router := env.router
			router.hedgeTokens = maxHedgeTokens - 1
			router.now += 10 * time.Second
			router.hedge(request.attempts[0])
			if len(request.attempts) != 2 {
				t.Fatal("not hedged")
			}
			router.handleOutcome(Outcome{ID: 1, Attempt: tc.first, Result: OK, RequestDone: true})
			router.handleOutcome(Outcome{ID: 1, Attempt: 1 - tc.first, Result: OK, RequestDone: true})
			if router.hedgeTokens != tc.want {
				t.Errorf("attempt %d was answered first: got %v tokens, want %v",
					tc.first, router.hedgeTokens, tc.want)
			}
		})
	}
}

// A lost answer is one that is missing while a later attempt was answered in time. It is no sign of overload and must
// not lower a concurrency limit; otherwise losses lower the limits until hits are rejected although a cache has room. A
// timeout without a later timely answer must lower a limit.
func TestLostAnswerDoesNotLowerLimit(t *testing.T) {
	for name, lost := range map[string]bool{"lost": true, "late": false} {
		t.Run(name, func(t *testing.T) {
			env := newSimpleEnv(t, nil)
			env.submitObject(1, 42, classBig)
			request := env.router.requests[1]
			if lost {
				attributedLoad(request).lastTimelySentAt = request.attempts[0].sentAt + 1
			}
			env.router.now += 10 * time.Second
			env.router.adjustLimit(request.attempts[0], Outcome{Result: TimedOut, Elapsed: 10 * time.Second})
			lowered := 0
			for _, server := range env.router.orderedServers {
				for _, load := range []*roleLoad{&server.asTarget, &server.asSource} {
					if !math.IsInf(load.concurrencyLimit.Value(env.router.now), 1) {
						lowered++
					}
				}
			}
			if (lowered > 0) == lost {
				t.Errorf("lost = %v: got %d lowered limits, want lowered limits only if it is false", lost, lowered)
			}
		})
	}
}
