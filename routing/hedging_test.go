package routing

import (
	"math"
	"testing"
	"time"

	"shaleyard/internal/overload"
)

// Found on the day wide: four of six caches lost a third of all requests for 10 s and answered the others as ever.
// What is lost is asked for again, for what the cache holds only: no sooner than its size explains, not more
// often than copiesEach, nor what must not run twice, nor in a crowd, nor where nothing sent later has come.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*testEnv, *requestState)
		class  int
		want   int
	}{
		{"lost", func(*testEnv, *requestState) {}, 0, maxHedgesPerRequest},
		{"silent way", func(_ *testEnv, request *requestState) { attributedLoad(request).lastTimelySentAt = 0 }, 0, 0},
		{"crowd", func(env *testEnv, request *requestState) {
			request.attempts[0].target.asTarget.concurrencyLimit = overload.NewConcurrencyLimit(env.router.now, 1e-6)
		}, 0, 0},
		{"none saved up", func(env *testEnv, _ *requestState) { env.router.hedgeTokens = 0 }, 0, 0},
		{"unsafe", func(*testEnv, *requestState) {}, 3, 0},
	} {
		env := newSimpleEnv(t, func(settings *Settings) {
			settings.SiteLimits.HedgingAllowed, settings.Tiers.BypassAllowed = true, false
		})
		env.submitRead(1, 42, tc.class)
		request := env.router.requests[1]
		env.router.hedgeTokens = maxHedgeTokens
		request.Deadline = env.router.now + time.Minute
		attributedLoad(request).lastTimelySentAt = request.attempts[0].sentAt + 1
		tc.change(env, request)
		env.router.now += 10 * ms
		env.router.actions = env.router.actions[:0]
		env.router.hedge(request.attempts[0])
		if len(env.router.actions) > 0 {
			t.Errorf("%s: asked again when not overdue: %v", tc.name, env.router.actions)
		}
		for range maxHedgesPerRequest + 2 {
			env.router.now += 10 * time.Second
			last := request.attempts[len(request.attempts)-1]
			if last.number > 0 {
				last.target.asTarget.lastTimelySentAt = last.sentAt + 1
			}
			for range 2 { // a tick sees all that is out
				for _, attempt := range request.attempts {
					env.router.hedge(attempt)
				}
			}
		}
		if got := len(env.router.actions); got != tc.want {
			t.Errorf("%s: %d copies, want %d: %v", tc.name, got, tc.want, env.router.actions)
		}
		for _, action := range env.router.actions {
			if fetch, ok := action.(Fetch); !ok || fetch.Source != fetch.Host || fetch.Host != request.attempts[0].target.Host {
				t.Errorf("%s: asked again as %v, want the same cache for what it holds", tc.name, action)
			}
		}
	}
}

// attributedLoad is the side that a request's first attempt counts on.
func attributedLoad(request *requestState) *roleLoad {
	_, load := attributedTo(request.attempts[0])
	return load
}

// A copy that brings the answer earns more than it cost, so that losses pay for their own copies; one that comes
// behind the first answer earns nothing, so that a crowd ends them.
func TestCopiesThatBringTheAnswerEarnTheNext(t *testing.T) {
	for first, want := range map[int]float64{0: maxHedgeTokens - 2, 1: maxHedgeTokens - 2 + hedgeTokensPerWin} {
		env := newSimpleEnv(t, func(settings *Settings) {
			settings.SiteLimits.HedgingAllowed, settings.Tiers.BypassAllowed = true, false
		})
		env.submitRead(1, 42, 0)
		request := env.router.requests[1]
		request.Deadline = env.router.now + time.Minute
		attributedLoad(request).lastTimelySentAt = request.attempts[0].sentAt + 1
		env.router.hedgeTokens = maxHedgeTokens - 1
		env.router.now += 10 * time.Second
		env.router.hedge(request.attempts[0])
		if len(request.attempts) != 2 {
			t.Fatal("not asked again")
		}
		env.router.handleOutcome(Outcome{ID: 1, Attempt: first, Result: OK, RequestDone: true})
		env.router.handleOutcome(Outcome{ID: 1, Attempt: 1 - first, Result: OK, RequestDone: true})
		if env.router.hedgeTokens != want {
			t.Errorf("the answer came with attempt %d: %v copies left, want %v", first, env.router.hedgeTokens, want)
		}
	}
}

// Found on the day wide: each answer that was lost took a fifth off a limit, until hits were refused beside a cache
// that had room. What is lost is no crowd; what is late with all the others is.
func TestNoLimitComesDownForWhatIsLost(t *testing.T) {
	for _, lost := range []bool{true, false} {
		env := newSimpleEnv(t, nil)
		env.submitRead(1, 42, 0)
		request := env.router.requests[1]
		if lost {
			attributedLoad(request).lastTimelySentAt = request.attempts[0].sentAt + 1
		}
		env.router.now += 10 * time.Second
		env.router.adjustLimit(request.attempts[0], Outcome{Result: TimedOut, Elapsed: 10 * time.Second})
		limits := 0
		for _, server := range env.router.orderedServers {
			for _, load := range []*roleLoad{&server.asTarget, &server.asSource} {
				if !math.IsInf(load.concurrencyLimit.Value(env.router.now), 1) {
					limits++
				}
			}
		}
		if (limits > 0) == lost {
			t.Errorf("lost: %v, and %d limits came down", lost, limits)
		}
	}
}
