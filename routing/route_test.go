package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestMissIsFilledFromAParentOfTheHub(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitRead(1, 42, classBig)
	first := env.fetches[0]
	target, source := env.endpoints[first.Host], env.endpoints[first.Source]
	if target.Kind != kindEdge || source.Kind != kindParent || first.Flags&OnlyIfCached != 0 {
		t.Fatalf("first attempt %+v", first)
	}
	env.run(time.Second)
	env.submitRead(2, 42, classBig)
	if second := env.fetches[1]; second.Host != first.Host || second.Source != first.Source {
		t.Errorf("same object went to %+v, before to %+v", second, first)
	}
	env.assertNoViolation()
}

// A cache that gets an object for the first time fills it from another cache of the zone that holds it. If that one
// lacks it, the retry fills from a parent.
func TestSiblingIsAskedBeforeParent(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitRead(1, 42, classBig)
	holder := env.fetches[0].Host
	env.run(100 * ms)
	env.setWeight(holder, negligibleWeight) // the object moves on, and the holder stays in use
	env.answer = func(_ *testEnv, _ *openRequest, attempt int) (Result, FillStatus, time.Duration) {
		if attempt == 0 {
			return Miss, FillStatusSourceMiss, 10 * ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	env.submitRead(2, 42, classBig)
	env.run(100 * ms)
	if len(env.fetches) != 3 {
		t.Fatalf("sent %+v", env.fetches)
	}
	fromSibling, fromParent := env.fetches[1], env.fetches[2]
	if fromSibling.Source != holder || fromSibling.Flags&OnlyIfCached == 0 {
		t.Errorf("no sibling fill from %d: %+v", holder, fromSibling)
	}
	if env.endpoints[fromParent.Source].Kind != kindParent || fromParent.Host != fromSibling.Host {
		t.Errorf("the miss did not move up a tier: %+v", fromParent)
	}
	env.assertNoViolation()
}

// Zones with one cache, no parent or no cache at all are legal.
func TestZonesWithFewServers(t *testing.T) {
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

// Limits are kept at the source of fills: past a parent at its limit, the next one is the source.
func TestParentAtItsLimitIsSkipped(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitRead(1, 42, classBig)
	first := env.fetches[0]
	env.setLoad(&env.router.servers[first.Source].asSource, 1, 1)
	env.purge(Purge{Object: 42}) // so that it is a likely fill again
	env.submitRead(2, 42, classBig)
	second := env.fetches[1]
	isParent := env.endpoints[second.Source].Kind == kindParent
	if second.Source == first.Source || !isParent || second.Host != first.Host {
		t.Errorf("not filled from the next parent: %+v", second)
	}
	env.assertNoViolation()
}

// Where all caches are at their limits or ejected, requests go straight to parents and the origin, if the site allows
// it. Found with slow caches, for which requests waited though links and parents had capacity.
func TestFullCacheIsBypassed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		t.Run(fmt.Sprintf("allowed %v", allowed), func(t *testing.T) {
			env := newSimpleEnv(t, func(settings *Settings) { settings.Tiers.BypassAllowed = allowed })
			for _, cache := range env.router.localCaches {
				env.setLoad(&cache.asTarget, 1, 1)
			}
			env.submitRead(1, 42, classBig)
			bypassed := len(env.fetches) == 1 && env.endpoints[env.fetches[0].Host].Kind == kindParent
			if bypassed != allowed {
				t.Errorf("all at their limits: sent %+v", env.fetches)
			}
			for _, cache := range env.router.localCaches {
				cache.ejected, cache.probeAfter = true, env.now+time.Hour
			}
			before := len(env.fetches)
			env.submitRead(2, 43, classBig)
			if sent := len(env.fetches) > before; sent != allowed {
				t.Errorf("all ejected: sent %+v", env.fetches[before:])
			}
			env.assertNoViolation()
		})
	}
}

// Past a cache at its limit the next in rank takes the object, but only with capacity to spare. Found with a cache that
// had become eight times slower: its objects were rejected beside a cache at a third of its link.
func TestSpilloverNeedsCapacity(t *testing.T) {
	for _, tc := range []struct {
		load float64 // of the next cache, against a limit of 8
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
			env.submitRead(1, 42, classSmall)
			sent := actionsOf[Fetch](env.actions[before:])
			for _, fetch := range sent {
				if fetch.Host != next.Host {
					t.Errorf("sent to %x, want %x, the next after %x", fetch.Host, next.Host, first.Host)
				}
			}
			if (len(sent) > 0) != tc.want {
				t.Errorf("sent %v, want %v", sent, tc.want)
			}
		})
	}
}

// A cache that has become slow still serves hits, but is no source for other caches; a parent is. Found with a slow
// sibling: its fills timed out, or took fifteen times as long as their size explains.
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
				t.Errorf("the sibling is %v", got)
			}
		})
	}
}

// Where the cache that ranks first has more work in flight than its link can send in time, the next one takes the
// object, unless that one is slow or hardly better off.
func TestSaturatedCacheSpillsOver(t *testing.T) {
	for _, tc := range []struct {
		name        string
		first, next float64 // work in flight, over what the link can send in time
		nextSlow    bool
		want        int // rank of the cache that is asked
	}{
		{"room at the first", 0.9, 0, false, 0},
		{"first saturated", 1.1, 0.3, false, 1},
		{"both saturated", 1.2, 1.1, false, 0},
		{"next hardly better off", 1.1, 0.7, false, 0},
		{"next slow", 1.1, 0, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newSimpleEnv(t, nil)
			router := env.router
			router.rank(router.localCaches, 42)
			caches := slices.Clone(router.localCaches)
			for _, cache := range caches {
				env.saturate(cache, 2)
			}
			env.saturate(caches[0], tc.first)
			env.saturate(caches[1], tc.next)
			if tc.nextSlow {
				caches[1].logLatencyRatio = router.baselineLogLatencyRatio + latencyRatioTolerance + 0.01
			}
			before := len(env.actions)
			env.submitRead(1, 42, classSmall)
			for _, fetch := range actionsOf[Fetch](env.actions[before:]) {
				if fetch.Host != caches[tc.want].Host {
					t.Errorf("%x was asked, want %x", fetch.Host, caches[tc.want].Host)
				}
			}
			if len(env.actions) == before {
				t.Error("none was asked")
			}
		})
	}
}

// saturate gives a cache so much work in flight that, with one more small request, it is this multiple of what its link
// can send in time.
func (e *testEnv) saturate(cache *serverState, multiple float64) {
	class := &e.settings.Classes[classSmall]
	work := e.router.transferWork(&requestState{Request: Request{Class: classSmall}})
	cache.weightIsCapacity, cache.Weight, cache.logLatencyRatio = true, 10, 0
	objective := class.LatencyObjective.Seconds() + class.LatencyObjectivePerSize*work
	cache.totalInFlightWork = multiple*cache.Weight/cache.sharingDirectors*objective - work
}
