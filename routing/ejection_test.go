package routing

import (
	"testing"
	"time"
)

// A saturated link makes many transfers end late and at the same time. The caches behind it are busy but still respond,
// so late answers must not eject a cache.
func TestLateAnswersDoNotEject(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = always(OK, FillStatusHit, 400*ms)
	for id := uint32(1); id <= 400; id++ {
		env.submitObject(id, uint64(id), classBig)
		// 40 requests are sent at once. From the second batch on, all are answered after 700 ms, and no answer arrives
		// before, so that for 700 ms the cache looks unresponsive.
		if id%40 == 0 {
			env.answer = always(OK, FillStatusFilled, 700*ms)
			env.run(800 * ms)
		}
	}
	env.run(time.Second)
	for _, line := range actionsOf[Log](env.actions) {
		t.Errorf("got log message %q, want none", line.Message)
	}
	env.assertNoViolation()
}

// A parent that was ejected as a source must be probed as a source and readmitted once it answers again.
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
			env.submitObject(id, uint64(id)*7919, classBig)
			env.run(20 * ms)
		}
	}
	submit(100)
	if !env.router.servers[hostParent].ejected {
		t.Fatal("unreachable parent was not ejected")
	}
	down = false
	submit(500)
	if env.router.servers[hostParent].ejected {
		t.Error("parent that answers again was not readmitted")
	}
	env.assertNoViolation()
}

// An overloaded parent lets fills time out. Ejecting the parent moves its load to the next parent, and the overload can
// spread from parent to parent through the whole deployment. A failure therefore ejects a source at once only if it
// comes within fastFailureThreshold. Slower failures eject the source only at the third in a row (slowFailureLimit).
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
				t.Errorf("after %d failures with a source wait of %v: ejected = %v, want %v",
					tc.failures, tc.wait, parent.ejected, tc.want)
			}
		})
	}
}

// A reset connection is weak evidence about a server: the answer may have arrived damaged, or an idle connection may
// have been reset just as a request used it. Ejecting a cache for one reset, or for several in a row, would overload
// the other caches. A cache that is down refuses the next connection, and that refusal ejects it.
func TestResetsDoNotEject(t *testing.T) {
	env := newSimpleEnv(t, nil)
	cache := env.router.servers[hostEdge]
	for range 10 {
		env.router.recordHealth(&attemptState{target: cache}, Outcome{Result: Reset})
	}
	if cache.ejected {
		t.Error("cache was ejected for resets")
	}
	env.router.recordHealth(&attemptState{target: cache}, Outcome{Result: ConnectFailed})
	if !cache.ejected {
		t.Error("cache was not ejected for a failed connect")
	}
	backoff := cache.ejectionBackoff
	env.now, env.router.now = cache.probeAfter, cache.probeAfter
	env.router.recordHealth(&attemptState{target: cache, halfOpenProbe: true}, Outcome{Result: Reset})
	if cache.ejectionBackoff <= backoff {
		t.Error("a reset half-open probe did not lengthen the ejection")
	}
}
