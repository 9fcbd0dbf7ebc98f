package routing

import (
	"testing"
	"time"
)

// A cache that has fallen silent is left for others by its pace alone, and used again once it answers.
func TestSilentCacheIsShunned(t *testing.T) {
	env := newSimpleEnv(t, nil)
	silent := Host(0)
	env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
		if request.attempts[n].host == silent {
			return OK, FillStatusHit, time.Hour
		}
		return OK, FillStatusHit, 40 * ms
	}
	id := uint32(0)
	step := func(n int) {
		for range n {
			id++
			env.submitRead(id, uint64(id%50), 1)
			env.runUntil(env.now + 20*ms)
		}
	}
	step(200)
	silent = hostEdge
	step(150)
	before := len(env.fetches)
	step(100)
	to := 0
	for _, fetch := range env.fetches[before:] {
		if fetch.Host == silent {
			to++
		}
	}
	if to > 5 {
		t.Errorf("a silent cache still got %d of 100 requests", to)
	}
	silent = 0
	step(600)
	before = len(env.fetches)
	step(100)
	to = 0
	for _, fetch := range env.fetches[before:] {
		if fetch.Host == hostEdge {
			to++
		}
	}
	if to < 10 {
		t.Errorf("a cache that answers again got only %d of 100 requests", to)
	}
	env.assertNoViolation()
}

// Found in ageing and slow hosts: nothing compared a cache with its neighbours, so it kept its objects to the end.
func TestSlowCacheLosesItsObjectsByDegrees(t *testing.T) {
	for _, tc := range []struct {
		slower   int
		min, max int // of 400 requests, a quarter is its part
	}{{1, 50, 160}, {4, 1, 60}, {20, 0, 30}} {
		env := newSimpleEnv(t, nil)
		env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
			if request.attempts[n].host == hostEdge {
				return OK, FillStatusHit, time.Duration(40*tc.slower) * ms
			}
			return OK, FillStatusHit, 40 * ms
		}
		to := 0
		for id := uint32(1); id <= 800; id++ {
			n := len(env.fetches)
			env.submitRead(id, uint64(id%101), 1)
			if id > 400 && env.fetches[n].Host == hostEdge {
				to++
			}
			env.runUntil(env.now + 20*ms)
		}
		if to < tc.min || to > tc.max {
			t.Errorf("%d times slower: %d of 400 requests, want %d to %d", tc.slower, to, tc.min, tc.max)
		}
		env.assertNoViolation()
	}
}

// What all caches share, such as a slow origin, moves no object for long.
func TestSharedSlownessMovesNothing(t *testing.T) {
	env := newSimpleEnv(t, nil)
	took := 40 * ms
	env.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) { return OK, FillStatusHit, took }
	picks := map[uint64]Host{}
	for id := uint32(1); id <= 800; id++ {
		if id == 400 {
			took = 200 * ms
		}
		n := len(env.fetches)
		env.submitRead(id, uint64(id%40), 1)
		if was := picks[uint64(id%40)]; id > 700 && was != env.fetches[n].Host {
			t.Errorf("object %d moved from %d to %d", id%40, was, env.fetches[n].Host)
		}
		if id > 300 && id < 400 {
			picks[uint64(id%40)] = env.fetches[n].Host
		}
		env.runUntil(env.now + 20*ms)
	}
	env.assertNoViolation()
}
