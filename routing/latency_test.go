package routing

import (
	"testing"
	"time"
)

// A cache that stops answering must lose its requests because of its latency alone, and get requests again once it
// answers.
func TestUnresponsiveCacheIsAvoided(t *testing.T) {
	env := newSimpleEnv(t, nil)
	unresponsive := Host(0)
	env.answer = func(_ *testEnv, request *openRequest, attempt int) (Result, FillStatus, time.Duration) {
		if request.attempts[attempt].host == unresponsive {
			return OK, FillStatusHit, time.Hour
		}
		return OK, FillStatusHit, 40 * ms
	}
	id := uint32(0)
	submit := func(count int) {
		for range count {
			id++
			env.submitObject(id, uint64(id%50), classSmall)
			env.run(20 * ms)
		}
	}
	countTo := func(host Host, count int) (sent int) {
		before := len(env.fetches)
		submit(count)
		for _, fetch := range env.fetches[before:] {
			if fetch.Host == host {
				sent++
			}
		}
		return sent
	}
	submit(200)
	unresponsive = hostEdge
	submit(150)
	if sent := countTo(unresponsive, 100); sent > 5 {
		t.Errorf("unresponsive cache got %d of 100 requests, want at most 5", sent)
	}
	unresponsive = 0
	submit(600)
	if sent := countTo(hostEdge, 100); sent < 10 {
		t.Errorf("cache that answers again got %d of 100 requests, want at least 10", sent)
	}
	env.assertNoViolation()
}

// The slower a cache is compared with the other caches of its zone, the fewer objects it must get.
func TestSlowCacheLosesObjectsGradually(t *testing.T) {
	for _, tc := range []struct {
		name            string
		slowdown        int // factor on the latency of the other caches
		atLeast, atMost int // of 400 requests; an even share is 100
	}{
		{"same latency", 1, 50, 160},
		{"4 times slower", 4, 1, 60},
		{"20 times slower", 20, 0, 30},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newSimpleEnv(t, nil)
			env.answer = func(_ *testEnv, request *openRequest, attempt int) (Result, FillStatus, time.Duration) {
				if request.attempts[attempt].host == hostEdge {
					return OK, FillStatusHit, time.Duration(40*tc.slowdown) * ms
				}
				return OK, FillStatusHit, 40 * ms
			}
			sent := 0
			for id := uint32(1); id <= 800; id++ {
				next := len(env.fetches)
				env.submitObject(id, uint64(id%101), classSmall)
				if id > 400 && env.fetches[next].Host == hostEdge {
					sent++
				}
				env.run(20 * ms)
			}
			if sent < tc.atLeast || sent > tc.atMost {
				t.Errorf("cache got %d of 400 requests, want %d to %d", sent, tc.atLeast, tc.atMost)
			}
			env.assertNoViolation()
		})
	}
}

// A slowdown of all caches, for example by a slow origin, must not move objects between caches for long: 6 s after it
// begins, every object must be at its earlier cache.
func TestUniformSlownessMovesNoObjects(t *testing.T) {
	env := newSimpleEnv(t, nil)
	latency := 40 * ms
	env.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
		return OK, FillStatusHit, latency
	}
	hosts := map[uint64]Host{}
	for id := uint32(1); id <= 800; id++ {
		if id == 400 {
			latency = 200 * ms
		}
		object, next := uint64(id%40), len(env.fetches)
		env.submitObject(id, object, classSmall)
		host := env.fetches[next].Host
		if before := hosts[object]; id > 700 && before != host {
			t.Errorf("object %d moved from %d to %d", object, before, host)
		}
		if id > 300 && id < 400 {
			hosts[object] = host
		}
		env.run(20 * ms)
	}
	env.assertNoViolation()
}
