package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestMissIsFilledFromAParentOfTheHub(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitObject(1, 42, classBig)
	first := env.fetches[0]
	target, source := env.endpoints[first.Host], env.endpoints[first.Source]
	if target.Kind != kindEdge || source.Kind != kindParent || first.Flags&OnlyIfCached != 0 {
		t.Fatalf("got first fetch %+v, want a cache that fills from a parent", first)
	}
	env.run(time.Second)
	env.submitObject(2, 42, classBig)
	if second := env.fetches[1]; second.Host != first.Host || second.Source != first.Source {
		t.Errorf("got fetch %+v for the same object, want the cache and the source of %+v", second, first)
	}
	env.assertNoViolation()
}

// A cache that gets an object for the first time must fill it from another cache of the zone that likely holds a copy.
// If that cache has no copy, the retry must fill from a parent.
func TestSiblingIsAskedBeforeParent(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitObject(1, 42, classBig)
	holder := env.fetches[0].Host
	env.run(100 * ms)
	env.setWeight(holder, negligibleWeight) // another cache ranks first now; the holder stays in use
	env.answer = func(_ *testEnv, _ *openRequest, attempt int) (Result, FillStatus, time.Duration) {
		if attempt == 0 {
			return Miss, FillStatusSourceMiss, 10 * ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	env.submitObject(2, 42, classBig)
	env.run(100 * ms)
	if len(env.fetches) != 3 {
		t.Fatalf("got fetches %+v, want 3", env.fetches)
	}
	fromSibling, fromParent := env.fetches[1], env.fetches[2]
	if fromSibling.Source != holder || fromSibling.Flags&OnlyIfCached == 0 {
		t.Errorf("want a fill from sibling %d with OnlyIfCached, got %+v", holder, fromSibling)
	}
	if env.endpoints[fromParent.Source].Kind != kindParent || fromParent.Host != fromSibling.Host {
		t.Errorf("got %+v after the miss, want a fill of the same cache from a parent", fromParent)
	}
	env.assertNoViolation()
}

// Zones with a single cache, without a parent or without any server are valid, and their requests must be answered.
func TestZonesWithFewServers(t *testing.T) {
	for name, list := range map[string][]Endpoint{
		"one cache, no parent": {testEndpoints(1)[0], testEndpoints(1)[3]},
		"only the origin":      testEndpoints(0)[:1],
		"no server":            nil,
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, testSettings(), 1)
			env.updateEndpoints(UpdateCached, list...)
			for id := uint32(1); id < 40; id++ {
				env.submitObject(id, uint64(id), int(id%2))
			}
			env.run(6 * time.Second)
			env.assertNoViolation()
			if len(list) > 0 && !env.requests[1].ended {
				t.Error("request 1 has not ended")
			}
		})
	}
}

// A parent at its concurrency limit must not be the source of another fill; the next parent must be the source instead.
func TestParentAtItsLimitIsSkipped(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitObject(1, 42, classBig)
	first := env.fetches[0]
	env.setLoad(&env.router.servers[first.Source].asSource, 1, 1)
	env.purge(Purge{Object: 42}) // the next request for the object is a likely fill again
	env.submitObject(2, 42, classBig)
	second := env.fetches[1]
	isParent := env.endpoints[second.Source].Kind == kindParent
	if second.Source == first.Source || !isParent || second.Host != first.Host {
		t.Errorf("not filled from the next parent: %+v", second)
	}
	env.assertNoViolation()
}

// When all local caches are at their concurrency limits or ejected, requests must go to a parent or to the origin
// directly, if the deployment allows bypassing. Otherwise requests wait for slow caches although links and parents have
// capacity.
func TestFullCacheIsBypassed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		t.Run(fmt.Sprintf("allowed %v", allowed), func(t *testing.T) {
			env := newSimpleEnv(t, func(settings *Settings) { settings.Tiers.BypassAllowed = allowed })
			for _, cache := range env.router.localCaches {
				env.setLoad(&cache.asTarget, 1, 1)
			}
			env.submitObject(1, 42, classBig)
			bypassed := len(env.fetches) == 1 && env.endpoints[env.fetches[0].Host].Kind == kindParent
			if bypassed != allowed {
				t.Errorf("all caches at their limits: got fetches %+v, want a bypass = %v", env.fetches, allowed)
			}
			for _, cache := range env.router.localCaches {
				cache.ejected, cache.probeAfter = true, env.now+time.Hour
			}
			before := len(env.fetches)
			env.submitObject(2, 43, classBig)
			if sent := len(env.fetches) > before; sent != allowed {
				t.Errorf("all caches ejected: got fetches %+v, want a bypass = %v", env.fetches[before:], allowed)
			}
			env.assertNoViolation()
		})
	}
}

// When the cache that ranks first is at its concurrency limit, the next cache must take the object, but only if it is
// loaded to at most spilloverLoadFraction of its own limit. Without spillover, the objects of a cache that has become
// eight times slower are rejected although the next cache uses only a third of its link.
func TestSpilloverNeedsCapacity(t *testing.T) {
	for _, tc := range []struct {
		load float64 // work in flight at the next cache, whose limit is 8 s
		want bool
	}{
		{0, true},
		{4.7, true},
		{4.9, false},
		{7, false},
	} {
		t.Run(fmt.Sprintf("load %v", tc.load), func(t *testing.T) {
			env := newSimpleEnv(t, func(settings *Settings) { settings.Tiers.BypassAllowed = false })
			env.router.rank(env.router.localCaches, 42)
			first, next := env.router.localCaches[0], env.router.localCaches[1]
			for _, cache := range env.router.localCaches {
				env.setLoad(&cache.asTarget, 8, 8)
			}
			next.asTarget.inFlightWork = tc.load
			before := len(env.actions)
			env.submitObject(1, 42, classSmall)
			sent := actionsOf[Fetch](env.actions[before:])
			for _, fetch := range sent {
				if fetch.Host != next.Host {
					t.Errorf("sent to %x, want %x, the next after %x", fetch.Host, next.Host, first.Host)
				}
			}
			if (len(sent) > 0) != tc.want {
				t.Errorf("got fetches %v, want spillover = %v", sent, tc.want)
			}
		})
	}
}

// A cache that has become slow may serve hits but must not be the source of another cache's fill. Fills from a slow
// sibling time out, or take fifteen times as long as their size explains.
func TestSlowSiblingIsNoSource(t *testing.T) {
	for _, slow := range []bool{false, true} {
		t.Run(fmt.Sprintf("slow %v", slow), func(t *testing.T) {
			env := newSimpleEnv(t, nil)
			router := env.router
			router.rank(router.localCaches, 42)
			target, sibling := router.localCaches[0], router.localCaches[1]
			request := &requestState{Request: Request{Object: 42, Group: 2}, location: &contentLocation{}}
			request.location.hints[0] = locationHint{sibling, router.now}
			if slow {
				sibling.logLatencyRatio = router.baselineLogLatencyRatio + latencyRatioTolerance + 0.1
			}
			if got := router.siblingSource(request, target); (got == nil) != slow {
				t.Errorf("got source %v from a sibling with slow = %v", got, slow)
			}
		})
	}
}

// When the cache that ranks first has more work in flight than its link can send within the latency objective, the next
// cache must take the object, unless the next cache is slow or has little capacity to spare itself.
func TestSaturatedCacheSpillsOver(t *testing.T) {
	for _, tc := range []struct {
		name        string
		first, next float64 // work in flight, as a multiple of what the link can send in time
		nextSlow    bool
		want        int // rank of the cache that gets the request, from 0
	}{
		{"first has room", 0.9, 0, false, 0},
		{"first saturated", 1.1, 0.3, false, 1},
		{"both saturated", 1.2, 1.1, false, 0},
		{"next above the spillover fraction", 1.1, 0.7, false, 0},
		{"next slow", 1.1, 0, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newSimpleEnv(t, nil)
			router := env.router
			router.rank(router.localCaches, 42)
			caches := slices.Clone(router.localCaches)
			for _, cache := range caches {
				env.setLinkLoad(cache, 2)
			}
			env.setLinkLoad(caches[0], tc.first)
			env.setLinkLoad(caches[1], tc.next)
			if tc.nextSlow {
				caches[1].logLatencyRatio = router.baselineLogLatencyRatio + latencyRatioTolerance + 0.01
			}
			before := len(env.actions)
			env.submitObject(1, 42, classSmall)
			for _, fetch := range actionsOf[Fetch](env.actions[before:]) {
				if fetch.Host != caches[tc.want].Host {
					t.Errorf("sent to %x, want %x", fetch.Host, caches[tc.want].Host)
				}
			}
			if len(env.actions) == before {
				t.Error("got no action for the request")
			}
		})
	}
}

// setLinkLoad sets the work in flight at a cache so that, with one more request of classSmall, it is the given multiple
// of what the cache's link can send within the latency objective.
func (e *testEnv) setLinkLoad(cache *serverState, multiple float64) {
	class := &e.settings.Classes[classSmall]
	work := e.router.transferWork(&requestState{Request: Request{Class: classSmall}})
	cache.weightIsCapacity, cache.Weight, cache.logLatencyRatio = true, 10, 0
	objective := class.LatencyObjective.Seconds() + class.LatencyObjectivePerSize*work
	cache.totalInFlightWork = multiple*cache.Weight/cache.sharingDirectors*objective - work
}
