package routing

import (
	"testing"
	"time"
)

// Found in the first incidents: a crowded link ends many transfers late and at once; its caches were ejected as
// silent though they were only busy. No cache is ejected for being late.
func TestBusyIsNotSilent(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
		return OK, FillStatusHit, 400 * ms
	}
	for id := uint32(1); id <= 400; id++ {
		env.submitRead(id, uint64(id), 0)
		if id%40 == 0 { // forty at once, all answered 700 ms later, nothing in between
			env.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
				return OK, FillStatusFilled, 700 * ms
			}
			env.runUntil(env.now + 800*ms)
		}
	}
	env.runUntil(env.now + time.Second)
	for _, action := range env.actions {
		if line, ok := action.(Log); ok {
			t.Errorf("log: %s", line.Message)
		}
	}
	env.assertNoViolation()
}

// Found by reading: a parent once ejected was never readmitted as a source.
func TestEjectedParentIsLookedAtAndReadmitted(t *testing.T) {
	env := newSimpleEnv(t, func(settings *Settings) { settings.Tiers.BypassAllowed = false })
	down := true
	env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
		source := request.attempts[n].source
		switch {
		case source == hostParent && down:
			return Rejected, FillStatusSourceUnreachable, 300 * ms
		case env.fetches[len(env.fetches)-1].Flags&OnlyIfCached != 0:
			return Miss, FillStatusSourceMiss, 5 * ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	id := uint32(0)
	step := func(n int) {
		for range n {
			id++
			env.submitRead(id, uint64(id)*7919, 0)
			env.runUntil(env.now + 20*ms)
		}
	}
	step(100)
	if !env.router.servers[hostParent].ejected {
		t.Fatal("an unreachable parent was not ejected")
	}
	down = false
	step(500)
	if env.router.servers[hostParent].ejected {
		t.Error("a parent that is back was not readmitted")
	}
	env.assertNoViolation()
}

// Found on a day at full size: a crowded parent's fills ran out of time, it was ejected, its load crowded the next, and so
// on. A failure that comes quickly ejects at once, a slow one only at the third in a row.
func TestSlowFailuresDoNotEjectAtOnce(t *testing.T) {
	for _, tc := range []struct {
		waited time.Duration
		fails  int
		want   bool
	}{{time.Millisecond, 1, true}, {2 * time.Second, 1, false}, {2 * time.Second, 2, false}, {2 * time.Second, 3, true}} {
		env := newSimpleEnv(t, nil)
		parent := env.router.servers[hostParent]
		for range tc.fails {
			env.router.recordHealth(&attemptState{target: env.router.servers[hostEdge], source: parent},
				Outcome{Result: Rejected, FillStatus: FillStatusSourceUnreachable, SourceWait: tc.waited})
		}
		if parent.ejected != tc.want {
			t.Errorf("%d failures after %v: ejected %v", tc.fails, tc.waited, parent.ejected)
		}
	}
}

// Found on sockets: one answer in a hundred arrives spoilt and ends its connection. Ejecting the cache for it
// crowded the others of its location, and so did taking some in a row for its death on a day on which idle
// connections are reset under requests. A dead one refuses the next connection.
func TestResetsDoNotEject(t *testing.T) {
	env := newSimpleEnv(t, nil)
	cache := env.router.servers[hostEdge]
	for range 10 {
		env.router.recordHealth(&attemptState{target: cache}, Outcome{Result: Reset})
	}
	if cache.ejected {
		t.Error("ejected for resets")
	}
	env.router.recordHealth(&attemptState{target: cache}, Outcome{Result: ConnectFailed})
	if !cache.ejected {
		t.Error("not ejected for a connect that failed")
	}
	backoff := cache.ejectionBackoff
	env.now, env.router.now = cache.probeAfter, cache.probeAfter
	env.router.recordHealth(&attemptState{target: cache, halfOpenProbe: true}, Outcome{Result: Reset})
	if cache.ejectionBackoff <= backoff {
		t.Error("a look that was reset does not keep it out for longer")
	}
}
