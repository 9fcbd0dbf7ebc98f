package routing

import (
	"fmt"
	"testing"
	"time"

	"shaleyard/internal/overload"
)

// A request that must not be repeated freely must get a final answer when its attempts fail, and no repeat that the
// idempotency of its class forbids.
func TestRepeatsFollowIdempotency(t *testing.T) {
	for _, tc := range []struct {
		class  int
		result Result
	}{
		{classKeyed, Reset}, // sent to the origin; a repeat must stay in the origin's zone
		{classUnsafe, Reset},
		{classUnsafe, Errored},
	} {
		t.Run(fmt.Sprintf("class %d, %v", tc.class, tc.result), func(t *testing.T) {
			env := newSimpleEnv(t, nil)
			env.answer = always(tc.result, FillStatusUnknown, 10*ms)
			request := env.submitObject(1, 42, tc.class)
			env.run(3 * time.Second)
			if !request.ended {
				t.Error("request has not ended")
			}
			env.assertNoViolation()
		})
	}
}

// send must refuse an attempt that breaks any of the rules for all attempts. Each case breaks one rule, so that this
// test fails if any check is missing from send.
func TestSendEnforcesRules(t *testing.T) {
	for name, breakRule := range map[string]func(env *testEnv, request *requestState, target, source *serverState){
		"target draining": func(_ *testEnv, _ *requestState, target, _ *serverState) { target.State = Draining },
		"source draining": func(_ *testEnv, _ *requestState, _, source *serverState) { source.State = Draining },
		"source gone":     func(_ *testEnv, _ *requestState, _, source *serverState) { source.listed = false },
		"hedge disabled":  func(_ *testEnv, request *requestState, _, _ *serverState) { request.inFlight = 1 },
		"deadline":        func(env *testEnv, request *requestState, _, _ *serverState) { request.Deadline = env.now },
		"streaming":       func(_ *testEnv, request *requestState, _, _ *serverState) { request.streaming = true },
		"attempts exhausted": func(_ *testEnv, request *requestState, _, _ *serverState) {
			request.attempts = make([]*attemptState, 5)
		},
		"non-idempotent, may have executed": func(env *testEnv, request *requestState, _, _ *serverState) {
			request.Class = classUnsafe
			request.attempts = []*attemptState{{target: env.router.servers[hostOrigin], mayHaveExecuted: true}}
		},
		"keyed after its window": func(env *testEnv, request *requestState, target, _ *serverState) {
			request.Class = classKeyed
			window := env.settings.Classes[classKeyed].DedupWindow
			request.attempts = []*attemptState{{target: target, mayHaveExecuted: true, sentAt: env.now - window}}
		},
		"keyed outside its scope": func(env *testEnv, request *requestState, _, _ *serverState) {
			request.Class = classKeyed
			origin := env.router.servers[hostOrigin]
			request.attempts = []*attemptState{{target: origin, mayHaveExecuted: true, sentAt: env.now}}
		},
		"target warming up": func(env *testEnv, _ *requestState, target, _ *serverState) {
			target.warmingUpSince, target.slowStartBucket = env.now, exhaustedBucket(env.now)
		},
		"source warming up": func(env *testEnv, _ *requestState, _, source *serverState) {
			source.warmingUpSince, source.slowStartBucket = env.now, exhaustedBucket(env.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			env, request := newSendEnv(t)
			target, source := env.router.servers[hostEdge], env.router.servers[hostParent]
			breakRule(env, request, target, source)
			if env.router.send(request, target, source) {
				t.Error("an attempt that breaks a rule was sent")
			}
		})
	}
	t.Run("no rule broken", func(t *testing.T) {
		env, request := newSendEnv(t)
		if !env.router.send(request, env.router.servers[hostEdge], env.router.servers[hostParent]) {
			t.Error("a permitted attempt was not sent")
		}
	})
}

// newSendEnv returns an environment and a request that is registered with its router and has no attempts.
func newSendEnv(t *testing.T) (*testEnv, *requestState) {
	t.Helper()
	env := newSimpleEnv(t, nil)
	request := &requestState{
		Request:  Request{ID: 1, Deadline: env.now + time.Second},
		location: &contentLocation{},
	}
	env.router.requests[1] = request
	env.router.now = env.now
	return env, request
}

// A repeat of a keyed request must be written before the deduplication window of the first attempt that may have
// executed ends, less a margin for network delay. Neither a later attempt nor one that provably never executed starts
// the window.
func TestRepeatMustFitFirstDedupWindow(t *testing.T) {
	env := newSimpleEnv(t, nil)
	router := env.router
	edge, origin := router.servers[hostEdge], router.servers[hostOrigin]
	request := &requestState{
		Request:     Request{ID: 1, Class: classKeyed, Deadline: env.now + 2*time.Second},
		uncacheable: true,
		location:    &contentLocation{},
		attempts: []*attemptState{
			{target: edge, sentAt: env.now - 900*ms},
			{target: edge, sentAt: env.now - 300*ms, mayHaveExecuted: true},
			{target: edge, sentAt: env.now - 100*ms, mayHaveExecuted: true},
		},
	}
	router.requests[1], router.now, router.actions = request, env.now, nil
	if !router.send(request, edge, origin) {
		t.Fatal("a repeat within the window was not sent")
	}
	var windowEnd Time
	for _, fetch := range actionsOf[Fetch](router.actions) {
		windowEnd = fetch.IdempotencyWindowEnd
	}
	if want := env.now + 650*ms; windowEnd != want {
		t.Errorf("got an idempotency window that ends in %v, want %v", windowEnd-env.now, want-env.now)
	}
	router.now = windowEnd
	if router.maySend(request, edge) {
		t.Error("maySend = true at the end of the window, want false")
	}
	request.Class, request.attempts = classBig, nil
	router.maySend(request, edge)
	if request.idempotencyWindowEnd != 0 {
		t.Error("a read-like request has an idempotency window")
	}
}

// exhaustedBucket returns a token bucket with 1000 s of work spent, far more than any slow-start budget.
func exhaustedBucket(now Time) (bucket overload.TokenBucket) {
	bucket.Spent(now, 0)
	bucket.Spend(1e3)
	return bucket
}
