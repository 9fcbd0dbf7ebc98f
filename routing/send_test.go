package routing

import (
	"testing"
	"time"

	"shaleyard/internal/overload"
)

func TestEffects(t *testing.T) {
	for _, tc := range []struct {
		class  int
		result Result
		sends  int
		refuse bool
	}{
		{2, Reset, 1, false}, // the only host of the zone is the origin: it may be asked again in its zone
		{3, Reset, 1, false},
		{3, Errored, 1, false},
	} {
		env := newSimpleEnv(t, nil)
		env.answer = always(tc.result, FillStatusUnknown, 10*ms)
		request := env.submitRead(1, 42, tc.class)
		env.run(3 * time.Second)
		if !request.ended {
			t.Errorf("class %d: not ended", tc.class)
		}
		env.assertNoViolation()
	}
}

// Once a second copy may not be out, and what must not run twice does not: break each check of the gate and this
// test fails.
func TestGateRefuses(t *testing.T) {
	env := newSimpleEnv(t, nil)
	request := &requestState{Request: Request{ID: 1, Deadline: env.now + time.Second}, location: &contentLocation{}}
	env.router.requests[1] = request
	edge, parent, origin := env.router.servers[hostEdge], env.router.servers[hostParent], env.router.servers[hostOrigin]
	env.router.now = env.now
	for name, apply := range map[string]func() func(){
		"drain of target":  func() func() { edge.State = Draining; return func() { edge.State = Ready } },
		"drain of source":  func() func() { parent.State = Draining; return func() { parent.State = Ready } },
		"gone source":      func() func() { parent.listed = false; return func() { parent.listed = true } },
		"second copy":      func() func() { request.inFlight = 1; return func() { request.inFlight = 0 } },
		"over":             func() func() { request.Deadline = env.now; return func() { request.Deadline += time.Second } },
		"stream":           func() func() { request.streaming = true; return func() { request.streaming = false } },
		"attempts used up": func() func() { request.attempts = make([]*attemptState, 5); return func() { request.attempts = nil } },
		"unsafe may have run": func() func() {
			request.Class, request.attempts = 3, []*attemptState{{target: origin, mayHaveExecuted: true}}
			return func() { request.Class, request.attempts = 0, nil }
		},
		"keyed beyond its window": func() func() {
			request.Class, request.attempts = 2, []*attemptState{{target: edge, mayHaveExecuted: true, sentAt: env.now - time.Second}}
			return func() { request.Class, request.attempts = 0, nil }
		},
		"keyed beyond its group": func() func() {
			request.Class, request.attempts = 2, []*attemptState{{target: origin, mayHaveExecuted: true, sentAt: env.now}}
			return func() { request.Class, request.attempts = 0, nil }
		},
		"cold target": func() func() {
			edge.warmingUpSince, edge.slowStartBucket = env.now, exhaustedBucket(env.now)
			return func() { edge.warmingUpSince, edge.slowStartBucket = 0, overload.TokenBucket{} }
		},
		"cold source": func() func() {
			parent.warmingUpSince, parent.slowStartBucket = env.now, exhaustedBucket(env.now)
			return func() { parent.warmingUpSince, parent.slowStartBucket = 0, overload.TokenBucket{} }
		},
	} {
		undo := apply()
		if env.router.send(request, edge, parent) {
			t.Errorf("%s: an attempt left", name)
			request.attempts, request.inFlight = nil, 0
		}
		undo()
	}
	if !env.router.send(request, edge, parent) {
		t.Error("a permitted attempt did not leave")
	}
}

// A repeat of a keyed request must have been written, with room for the way, before the window of the first attempt that
// may have run has ended; the window is counted from that attempt, not from a later one, and not from one that
// provably never ran.
func TestRepeatIsBoundToTheFirstWindow(t *testing.T) {
	env := newSimpleEnv(t, nil)
	edge, origin := env.router.servers[hostEdge], env.router.servers[hostOrigin]
	request := &requestState{Request: Request{ID: 1, Class: 2, Deadline: env.now + 2*time.Second}, uncacheable: true, location: &contentLocation{},
		attempts: []*attemptState{{target: edge, sentAt: env.now - 900*ms},
			{target: edge, sentAt: env.now - 300*ms, mayHaveExecuted: true}, {target: edge, sentAt: env.now - 100*ms, mayHaveExecuted: true}}}
	env.router.requests[1], env.router.now, env.router.actions = request, env.now, nil
	if !env.router.send(request, edge, origin) {
		t.Fatal("a repeat inside its window did not leave")
	}
	var before Time
	for _, action := range env.router.actions {
		if fetch, ok := action.(Fetch); ok {
			before = fetch.IdempotencyWindowEnd
		}
	}
	if want := env.now + 650*ms; before != want {
		t.Errorf("to be written within %v, want %v", before-env.now, want-env.now)
	}
	env.router.now = before
	if env.router.maySend(request, edge) {
		t.Error("a repeat may leave with no room for the way")
	}
	request.Class, request.attempts = 0, nil
	if env.router.maySend(request, edge); request.idempotencyWindowEnd != 0 {
		t.Error("a read is bound to a window")
	}
}

// exhaustedBucket is a cold budget of which much more has been spent than it has.
func exhaustedBucket(now Time) (bucket overload.TokenBucket) {
	bucket.Spent(now, 0)
	bucket.Spend(1e3)
	return bucket
}
