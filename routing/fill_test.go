package routing

import (
	"testing"
	"time"
)

// When every source is at its concurrency limit, as with a slow origin, a miss cannot be filled, but hits must still be
// served. The router must therefore ask the cache for a cached copy only.
func TestSourcesAtLimitStillAllowCachedCopies(t *testing.T) {
	env := newSimpleEnv(t, nil)
	for _, upstream := range env.router.upstreams {
		env.setLoad(&upstream.asSource, 1e-9, 0)
	}
	env.answer = func(_ *testEnv, request *openRequest, _ int) (Result, FillStatus, time.Duration) {
		if request.Object == 42 {
			return OK, FillStatusHit, 10 * ms
		}
		return Miss, FillStatusCoalesced, ms
	}
	env.submitObject(1, 42, classBig)
	if fetch := env.fetches[0]; fetch.Source != fetch.Host {
		t.Errorf("got a fill beyond the limit of its source: %+v", fetch)
	}
	missing := env.submitObject(2, 43, classBig)
	env.run(5 * ms)
	if len(env.fetches) != 2 || missing.ended {
		t.Errorf("got %d fetches and ended = %v, want 2 fetches and a postponed request",
			len(env.fetches), missing.ended)
	}
	env.assertNoViolation()
}

// When hundreds of directors have a few fills each queued at the origin, all these fills are late by seconds. One late
// answer of the origin must therefore keep most fills away from the origin at once, whichever parent they go through.
// Copies that parents have cached are still served, and uncacheable requests still reach the origin.
func TestOverloadedOriginIsShielded(t *testing.T) {
	env := newSimpleEnv(t, func(settings *Settings) { settings.Directors = 300 })
	env.answer = always(OK, FillStatusFilledByOrigin, 100*ms)
	env.router.originShield.RecordAnswer(env.now, env.now, true)
	for id := uint32(2); id < 202; id++ {
		env.submitObject(id, uint64(id), classSmall)
	}
	onlyIfCached := 0
	for _, fetch := range env.fetches {
		if fetch.Flags&OnlyIfCached != 0 {
			onlyIfCached++
		}
		if env.endpoints[fetch.Source].Kind != kindParent {
			t.Fatalf("got a fill that does not go through a parent: %+v", fetch)
		}
	}
	fills := len(env.fetches)
	if fills != 200 || onlyIfCached < 110 || onlyIfCached > 170 { // the origin shield admits 3 in 10 fills
		t.Errorf("got %d fills and %d of them with OnlyIfCached, want 200 and 110 to 170", fills, onlyIfCached)
	}

	env.run(200 * ms)
	env.router.originShield.RecordAnswer(env.now, env.now, true)
	env.answer = always(Miss, FillStatusSourceMiss, 10*ms)
	rejected, stale := 0, 0
	for id := uint32(301); id <= 500; id++ {
		class := int(id) % 2 // classBig or classSmall; only classSmall has a stale window
		request := env.submitObject(id, uint64(id), class)
		env.run(25 * ms)
		if !request.ended {
			continue
		}
		last := env.lastFetch(id)
		if last.Source == last.Host && last.MaxAge == 18*time.Second { // freshness lifetime plus stale window
			stale++
		} else if class == classSmall {
			t.Errorf("request %d was rejected without a request for a stale copy; last fetch %+v", id, last)
		}
		if len(request.attempts) == 1+class { // one at the parent, one more for a stale copy, no postponement
			rejected++
		}
	}
	if rejected < 100 || rejected > 180 || stale < 50 || stale > 90 {
		t.Errorf("200 requests that only the origin can fill: got %d rejected at once, want 100 to 180; "+
			"got %d after a request for a stale copy, want 50 to 90", rejected, stale)
	}

	before := len(env.actions)
	env.submit(Request{ID: 999, Class: classUnsafe, Object: 7, Deadline: env.now + time.Second})
	if _, ok := env.actions[before].(Forward); !ok {
		t.Errorf("got %+v for an uncacheable request, want a Forward to the origin", env.actions[before])
	}
	env.assertNoViolation()
}

// lastFetch returns the last Fetch of a request, or the zero Fetch if there is none.
func (e *testEnv) lastFetch(id uint32) (last Fetch) {
	for _, fetch := range e.fetches {
		if fetch.ID == id {
			last = fetch
		}
	}
	return last
}

// Where caches do not coalesce fills, each request that misses during a fill starts another fill of the same object.
// The router therefore asks a cache that warms up for a cached copy first. If a fill is under way, the request waits
// for it; if none is, the next attempt names a source at once.
func TestProbeBeforeFill(t *testing.T) {
	coalescing := func(settings *Settings) { settings.Tiers.CoalescesFills = true }
	notReported := func(settings *Settings) { settings.Tiers.FillStatusReported = FillStatusReportedOff }
	for _, tc := range []struct {
		name          string
		change        func(*Settings)
		warmingUp     bool
		fillUnderWay  bool // in the cache, for another request
		probes, fills int  // probes is a minimum (0: none), as waiting for the slow-start budget adds probes
	}{
		{"no fill under way", nil, true, false, 1, 1},
		{"fill under way", nil, true, true, 2, 0},
		{"warm cache", nil, false, false, 0, 1},
		{"caches coalesce fills", coalescing, true, false, 0, 1},
		{"caches report no fill status", notReported, true, false, 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newSimpleEnv(t, func(settings *Settings) {
				settings.Tiers.CoalescesFills = false
				if tc.change != nil {
					tc.change(settings)
				}
			})
			env.submitObject(1, 41, classBig) // starts the 2 s after a director's start in which it always probes
			env.run(10 * time.Second)
			if tc.warmingUp {
				env.restartCaches()
			}
			before, fillDone := len(env.fetches), env.now+60*ms
			env.answer = func(env *testEnv, request *openRequest, attempt int) (Result, FillStatus, time.Duration) {
				isProbe := request.attempts[attempt].source == request.attempts[attempt].host
				switch {
				case isProbe && tc.fillUnderWay && env.now >= fillDone:
					return OK, FillStatusHit, ms
				case isProbe && tc.fillUnderWay:
					return Miss, FillStatusCoalesced, ms
				case isProbe:
					return Miss, FillStatusUnknown, ms
				}
				return OK, FillStatusFilled, 40 * ms
			}
			request := env.submitObject(2, 42, classBig)
			env.run(300 * ms)
			probes, fills := 0, 0
			for _, fetch := range env.fetches[before:] {
				if fetch.Source == fetch.Host {
					probes++
				} else {
					fills++
				}
			}
			tooMany := tc.probes == 0 && probes > 0
			if probes < tc.probes || tooMany || fills != tc.fills || !request.ended {
				t.Errorf("got %d probes and %d fills, want at least %d (none if 0) and %d; ended = %v",
					probes, fills, tc.probes, tc.fills, request.ended)
			}
			env.assertNoViolation()
		})
	}
}

// restartCaches gives all edge caches a new incarnation that starts now, so that they warm up.
func (e *testEnv) restartCaches() {
	list := testEndpoints(4)
	for i := range list {
		if list[i].Kind == kindEdge {
			list[i].Started = e.now
		}
	}
	e.updateEndpoints(UpdateFull, list...)
}
