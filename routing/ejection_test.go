package routing

import (
	"testing"
	"time"
)

// A saturated link ends many transfers late and at once. Its caches are busy, not silent: no cache is ejected for
// being late. Found in the first incidents.
func TestLateAnswersDoNotEject(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = always(OK, FillStatusHit, 400*ms)
	for id := uint32(1); id <= 400; id++ {
		env.submitRead(id, uint64(id), classBig)
		if id%40 == 0 { // forty at once, all answered 700 ms later, nothing in between
			env.answer = always(OK, FillStatusFilled, 700*ms)
			env.run(800 * ms)
		}
	}
	env.run(time.Second)
	for _, line := range actionsOf[Log](env.actions) {
		t.Errorf("log: %s", line.Message)
	}
	env.assertNoViolation()
}

// An ejected parent is probed as a source, too, and readmitted when it is back.
func TestEjectedParentIsProbedAndReadmitted(t *testing.T) {
	env := newSimpleEnv(t, func(settings *Settings) { settings.Tiers.BypassAllowed = false })
	down := true
	env.answer = func(env *testEnv, request *openRequest, attempt int) (Result, FillStatus, time.Duration) {
		source := request.attempts[attempt].source
		latest := env.fetches[len(env.fetches)-1]
		switch {
		case source == hostParent && down:
			return Rejected, FillStatusSourceUnreachable, 300 * ms
		case latest.Flags&OnlyIfCached != 0:
			return Miss, FillStatusSourceMiss, 5 * ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	id := uint32(0)
	submit := func(count int) {
		for range count {
			id++
			env.submitRead(id, uint64(id)*7919, classBig)
			env.run(20 * ms)
		}
	}
	submit(100)
	if !env.router.servers[hostParent].ejected {
		t.Fatal("an unreachable parent was not ejected")
	}
	down = false
	submit(500)
	if env.router.servers[hostParent].ejected {
		t.Error("a parent that is back was not readmitted")
	}
	env.assertNoViolation()
}

// An overloaded parent lets fills time out. To eject it would overload the next one, and so on; so a failure ejects at
// once only if it comes quickly, and else at the third in a row. Found in an incident of the whole site.
func TestSlowFailuresDoNotEjectAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name     string
		wait     time.Duration
		failures int
		want     bool
	}{
		{"one quick failure", time.Millisecond, 1, true},
		{"one slow failure", 2 * time.Second, 1, false},
		{"two slow failures", 2 * time.Second, 2, false},
		{"three slow failures", 2 * time.Second, 3, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newSimpleEnv(t, nil)
			cache, parent := env.router.servers[hostEdge], env.router.servers[hostParent]
			for range tc.failures {
				env.router.recordHealth(&attemptState{target: cache, source: parent},
					Outcome{Result: Rejected, FillStatus: FillStatusSourceUnreachable, SourceWait: tc.wait})
			}
			if parent.ejected != tc.want {
				t.Errorf("%d failures after %v: ejected %v", tc.failures, tc.wait, parent.ejected)
			}
		})
	}
}

// A reset connection says little: an answer may arrive damaged, and idle connections are reset under requests. To eject
// for it, or for several in a row, overloads the other caches. A cache that is down refuses the next connection.
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
		t.Error("a probe that was reset does not lengthen the ejection")
	}
}
