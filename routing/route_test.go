package routing

import (
	"slices"
	"testing"
	"time"

	"shaleyard/internal/overload"
)

func TestOrdinaryPathFillsFromHubParent(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitRead(1, 42, 0)
	first := env.fetches[0]
	if env.endpoints[first.Host].Kind != 0 || env.endpoints[first.Source].Kind != 1 || first.Flags&OnlyIfCached != 0 {
		t.Fatalf("first attempt %+v", first)
	}
	env.run(time.Second)
	env.submitRead(2, 42, 0)
	if second := env.fetches[1]; second.Host != first.Host || second.Source != first.Source {
		t.Errorf("same object went to %+v, before to %+v", second, first)
	}
	env.assertNoViolation()
}

// A pick that drains moves to the next cache; until then known holders of the location are the source. A
// sibling that lacks the object sends the retry to the parent.
func TestSiblingFillThenUpATier(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitRead(1, 42, 0)
	first := env.fetches[0].Host
	endpoint := env.endpoints[first]
	env.run(100 * ms)
	back := endpoint
	back.Weight = 0.0001 // the pick moves away from the holder, which stays in use
	env.updateEndpoints(UpdateDelta, back)
	env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
		if n == 0 {
			return Miss, FillStatusSourceMiss, 10 * ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	env.submitRead(2, 42, 0)
	env.run(100 * ms)
	if len(env.fetches) != 3 {
		t.Fatalf("sent %+v", env.fetches)
	}
	if s := env.fetches[1]; s.Source != first || s.Flags&OnlyIfCached == 0 {
		t.Errorf("no sibling fill from %d: %+v", first, s)
	}
	if p := env.fetches[2]; env.endpoints[p.Source].Kind != 1 || p.Host != env.fetches[1].Host {
		t.Errorf("the miss did not move up a tier: %+v", p)
	}
	env.assertNoViolation()
}

// Locations with one cache, no parent or no cache at all are legal.
func TestThinLocations(t *testing.T) {
	for name, list := range map[string][]Endpoint{
		"one cache, no parent": {testEndpoints(1)[0], testEndpoints(1)[3]},
		"only the origin":      testEndpoints(0)[:1],
		"nothing":              nil,
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, testSettings(), 1)
			env.updateEndpoints(UpdateCached, list...)
			for id := uint32(1); id < 40; id++ {
				env.submitRead(id, uint64(id), int(id%2))
			}
			env.run(6 * time.Second)
			env.assertNoViolation()
			if len(list) > 0 && !env.requests[1].ended {
				t.Error("not ended")
			}
		})
	}
}

// Found at full size: limits were kept at caches, though the parent was what was late.
func TestParentAtItsLimitIsPassedOver(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitRead(1, 42, 0)
	first := env.router.servers[env.fetches[0].Source]
	first.asSource.concurrencyLimit, first.asSource.inFlightWork = overload.NewConcurrencyLimit(env.router.now, 1), 1
	env.purge(Purge{Object: 42}) // so that it is a likely fill again
	env.submitRead(2, 42, 0)
	if fetch := env.fetches[1]; fetch.Source == first.Host || env.endpoints[fetch.Source].Kind != 1 || fetch.Host != env.fetches[0].Host {
		t.Errorf("not filled from the next parent: %+v", fetch)
	}
	env.assertNoViolation()
}

// Found on ageing days: requests waited for slow caches though links and parents had room. Nothing goes straight where
// the site does not allow it.
func TestFullCacheIsBypassed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		env := newSimpleEnv(t, func(settings *Settings) { settings.Tiers.BypassAllowed = allowed })
		for _, cache := range env.router.localCaches {
			cache.asTarget.concurrencyLimit, cache.asTarget.inFlightWork = overload.NewConcurrencyLimit(env.router.now, 1), 1
		}
		env.submitRead(1, 42, 0)
		if straight := len(env.fetches) == 1 && env.endpoints[env.fetches[0].Host].Kind == 1; straight != allowed {
			t.Errorf("allowed %v: sent %+v", allowed, env.fetches)
		}
		for _, cache := range env.router.localCaches {
			cache.ejected, cache.probeAfter = true, env.now+time.Hour
		}
		n := len(env.fetches)
		env.submitRead(2, 43, 0)
		if left := len(env.fetches) > n; left != allowed {
			t.Errorf("all out, allowed %v: sent %+v", allowed, env.fetches[n:])
		}
		env.assertNoViolation()
	}
}

// Found on the day garble+fleet: a cache that had become eight times slower was at its limit, and what the hash gave
// to it was refused beside another cache at a third of its link. The next in rank takes it, but only with room.
func TestNextCacheTakesWhatTheFirstHasNoRoomFor(t *testing.T) {
	for _, tc := range []struct {
		load float64 // of the next cache, against a limit of 8
		want bool
	}{{0, true}, {4.7, true}, {4.9, false}, {7, false}} {
		env := newSimpleEnv(t, func(settings *Settings) { settings.Tiers.BypassAllowed = false })
		env.router.rank(env.router.localCaches, 42)
		first, next := env.router.localCaches[0], env.router.localCaches[1]
		for i, cache := range env.router.localCaches {
			cache.asTarget.concurrencyLimit = overload.NewConcurrencyLimit(env.router.now, 8)
			if cache.asTarget.inFlightWork = 8; i == 1 {
				cache.asTarget.inFlightWork = tc.load
			}
		}
		n := len(env.actions)
		env.submitRead(1, 42, 1)
		sent := false
		for _, action := range env.actions[n:] {
			if fetch, ok := action.(Fetch); ok {
				sent = true
				if fetch.Host != next.Host {
					t.Errorf("load %v: sent to %x, want %x, the next behind %x", tc.load, fetch.Host, next.Host, first.Host)
				}
			}
		}
		if sent != tc.want {
			t.Errorf("load %v: sent %v, want %v", tc.load, sent, tc.want)
		}
	}
}

// Found on the day fleet: of 33 fills from a sibling that had become slow, 13 timed out and 20 took fifteen times
// as long as their size asked. It goes on serving hits at its own pace, but is no source; a parent is.
func TestSlowSiblingFillsNothing(t *testing.T) {
	for _, slow := range []bool{false, true} {
		env := newSimpleEnv(t, nil)
		env.router.rank(env.router.localCaches, 42)
		other := env.router.localCaches[1]
		request := &requestState{Request: Request{Object: 42, Group: 2}, location: &contentLocation{}}
		request.location.hints[0] = locationHint{other, env.router.now}
		if slow {
			other.logLatencyRatio = env.router.baselineLogLatencyRatio + latencyRatioTolerance + 0.1
		}
		if got := env.router.siblingSource(request, env.router.localCaches[0]); (got == nil) != slow {
			t.Errorf("slow: %v, and the sibling is %v", slow, got)
		}
	}
}

// Found on the day fleet and in the simulator's crowds: the cache that the hash picks had more out than its link can
// send in time, beside others with room. The next takes it, unless that is slow, or hardly better off.
func TestSwampedCacheLeavesTheRestToOthers(t *testing.T) {
	for _, tc := range []struct {
		name        string
		first, next float64 // parts of what the link can send in time that are out
		slow        bool
		want        int // place in rank of the cache that is asked
	}{
		{"room at the first", 0.9, 0, false, 0},
		{"first swamped", 1.1, 0.3, false, 1},
		{"both swamped", 1.2, 1.1, false, 0},
		{"next hardly better off", 1.1, 0.7, false, 0},
		{"next slow", 1.1, 0, true, 0},
	} {
		env := newSimpleEnv(t, nil)
		env.router.rank(env.router.localCaches, 42)
		caches := slices.Clone(env.router.localCaches)
		class := &env.settings.Classes[1]
		probe := &requestState{Request: Request{Class: 1}}
		for i, cache := range caches {
			cache.weightIsCapacity, cache.Weight, cache.logLatencyRatio = true, 10, 0
			part := 2.0
			if i < 2 {
				part = []float64{tc.first, tc.next}[i]
			}
			work := env.router.transferWork(probe)
			cache.totalInFlightWork = part*cache.Weight/cache.sharingDirectors*(class.LatencyObjective.Seconds()+class.LatencyObjectivePerSize*work) - work
		}
		if tc.slow {
			caches[1].logLatencyRatio = env.router.baselineLogLatencyRatio + latencyRatioTolerance + 0.01
		}
		n := len(env.actions)
		env.submitRead(1, 42, 1)
		for _, action := range env.actions[n:] {
			if fetch, ok := action.(Fetch); ok && fetch.Host != caches[tc.want].Host {
				t.Errorf("%s: %x was asked, want %x", tc.name, fetch.Host, caches[tc.want].Host)
			}
		}
		if len(env.actions) == n {
			t.Errorf("%s: none was asked", tc.name)
		}
	}
}
