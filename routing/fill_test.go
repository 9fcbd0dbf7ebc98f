package routing

import (
	"testing"
	"time"
)

// Where no source may be asked for a fill, hits must still be served: the cache is asked for a cached copy only. Found
// on days with a slow origin.
func TestSourcesAtTheirLimitsLeaveCachedCopies(t *testing.T) {
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
	env.submitRead(1, 42, classBig)
	if fetch := env.fetches[0]; fetch.Source != fetch.Host {
		t.Errorf("a fill beyond the limit: %+v", fetch)
	}
	missing := env.submitRead(2, 43, classBig)
	env.run(5 * ms)
	if len(env.fetches) != 2 || missing.ended {
		t.Errorf("%d attempts, ended %v: a fill beyond the limit must wait", len(env.fetches), missing.ended)
	}
	env.assertNoViolation()
}

// With the few fills of each director queued at the origin, all were late for seconds. So a long wait there keeps most
// fills from it, at once and through all parents. What parents have cached still comes, and what must not be cached
// goes to the origin as ever.
func TestOverloadedOriginIsShielded(t *testing.T) {
	env := newSimpleEnv(t, func(settings *Settings) { settings.Directors = 300 })
	env.answer = always(OK, FillStatusFilledByOrigin, 100*ms)
	env.router.originShield.RecordAnswer(env.now, env.now, true)
	for id := uint32(2); id < 202; id++ {
		env.submitRead(id, uint64(id), classSmall)
	}
	onlyIfCached := 0
	for _, fetch := range env.fetches {
		if fetch.Flags&OnlyIfCached != 0 {
			onlyIfCached++
		}
		if env.endpoints[fetch.Source].Kind != kindParent {
			t.Fatalf("a fill past the parents: %+v", fetch)
		}
	}
	fills := len(env.fetches)
	if fills != 200 || onlyIfCached < 110 || onlyIfCached > 170 { // seven in ten
		t.Errorf("%d of %d fills ask parents only for what they have cached", onlyIfCached, fills)
	}

	env.run(200 * ms)
	env.router.originShield.RecordAnswer(env.now, env.now, true)
	env.answer = always(Miss, FillStatusSourceMiss, 10*ms)
	rejected, stale := 0, 0
	for id := uint32(301); id <= 500; id++ {
		class := int(id) % 2 // copies of the second class may be served stale
		request := env.submitRead(id, uint64(id), class)
		env.run(25 * ms)
		if !request.ended {
			continue
		}
		last := env.lastFetch(id)
		if last.Source == last.Host && last.MaxAge == 18*time.Second {
			stale++
		} else if class == classSmall {
			t.Errorf("%d: rejected without a request for a stale copy: %+v", id, last)
		}
		if len(request.attempts) == 1+class { // one at the parent, and no wait
			rejected++
		}
	}
	if rejected < 100 || rejected > 180 || stale < 50 || stale > 90 {
		t.Errorf("of 200 that only the origin has, %d were rejected at once, %d after a request for a stale copy",
			rejected, stale)
	}

	before := len(env.actions)
	env.submit(Request{ID: 999, Class: classUnsafe, Object: 7, Deadline: env.now + time.Second})
	if _, ok := env.actions[before].(Forward); !ok {
		t.Errorf("a write was kept from the origin: %+v", env.actions[before])
	}
	env.assertNoViolation()
}

// lastFetch is the last attempt of a request.
func (e *testEnv) lastFetch(id uint32) (last Fetch) {
	for _, fetch := range e.fetches {
		if fetch.ID == id {
			last = fetch
		}
	}
	return last
}

// Where caches don't coalesce fills, each request that misses during a fill begins another. A cache that warms up is
// asked for a cached copy first. If a fill is under way, the request waits for that; if none is, it brings a source at
// once.
func TestProbeBeforeFill(t *testing.T) {
	coalescing := func(settings *Settings) { settings.Tiers.CoalescesFills = true }
	silent := func(settings *Settings) { settings.Tiers.FillStatusReported = FillStatusReportedOff }
	for _, tc := range []struct {
		name          string
		change        func(*Settings)
		warmingUp     bool
		busy          bool // a fill of another request is under way in the cache
		probes, fills int  // probes: at least, as the slow-start budget has them wait, too
	}{
		{"none under way", nil, true, false, 1, 1},
		{"one under way", nil, true, true, 2, 0},
		{"warm cache", nil, false, false, 0, 1},
		{"caches coalesce fills", coalescing, true, false, 0, 1},
		{"caches report no fill status", silent, true, false, 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newSimpleEnv(t, func(settings *Settings) {
				settings.Tiers.CoalescesFills = false
				if tc.change != nil {
					tc.change(settings)
				}
			})
			env.submitRead(1, 41, classBig) // the first request begins the director's own first seconds
			env.run(10 * time.Second)
			if tc.warmingUp {
				env.restartCaches()
			}
			before, fillDone := len(env.fetches), env.now+60*ms
			env.answer = func(env *testEnv, request *openRequest, attempt int) (Result, FillStatus, time.Duration) {
				isProbe := request.attempts[attempt].source == request.attempts[attempt].host
				switch {
				case isProbe && tc.busy && env.now >= fillDone:
					return OK, FillStatusHit, ms
				case isProbe && tc.busy:
					return Miss, FillStatusCoalesced, ms
				case isProbe:
					return Miss, FillStatusUnknown, ms
				}
				return OK, FillStatusFilled, 40 * ms
			}
			request := env.submitRead(2, 42, classBig)
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
				t.Errorf("%d probes and %d fills, want %d at least and %d; ended: %v",
					probes, fills, tc.probes, tc.fills, request.ended)
			}
			env.assertNoViolation()
		})
	}
}

// restartCaches starts all caches anew, now.
func (e *testEnv) restartCaches() {
	list := testEndpoints(4)
	for i := range list {
		if list[i].Kind == kindEdge {
			list[i].Started = e.now
		}
	}
	e.updateEndpoints(UpdateFull, list...)
}
