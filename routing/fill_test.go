package routing

import (
	"testing"
	"time"

	"shaleyard/internal/overload"
)

// Found on slow-origin days: hits that other routers' traffic had made were refused with the fills.
func TestBeyondTheFillLimitAsksForWhatIsHeld(t *testing.T) {
	env := newSimpleEnv(t, nil)
	for _, upstream := range env.router.upstreams {
		upstream.asSource.concurrencyLimit = overload.NewConcurrencyLimit(env.router.now, 1e-9)
	}
	env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
		if request.Object == 42 {
			return OK, FillStatusHit, 10 * ms
		}
		return Miss, FillStatusCoalesced, ms
	}
	env.submitRead(1, 42, 0)
	if fetch := env.fetches[0]; fetch.Source != fetch.Host {
		t.Errorf("a fill beyond the limit: %+v", fetch)
	}
	held := env.submitRead(2, 43, 0)
	env.runUntil(env.now + 5*ms)
	if len(env.fetches) != 2 || held.ended {
		t.Errorf("%d attempts, ended %v: a fill beyond the limit must wait", len(env.fetches), held.ended)
	}
	env.assertNoViolation()
}

// Found on join+mass: with each director's few fills queued at the origin, all were late for seconds. A long wait
// there keeps most fills from it, at once and for all parents; what parents hold still comes, and what must not be
// kept goes to the origin as ever.
func TestCrowdedOriginIsAskedBySome(t *testing.T) {
	env := newSimpleEnv(t, func(settings *Settings) { settings.Directors = 300 })
	env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
		return OK, FillStatusFilledByOrigin, 100 * ms
	}
	env.router.originShield.RecordAnswer(env.now, env.now, true)
	for id := uint32(2); id < 202; id++ {
		env.submitRead(id, uint64(id), 1)
	}
	peeks := 0
	for _, fetch := range env.fetches {
		if fetch.Flags&OnlyIfCached != 0 {
			peeks++
		}
		if env.endpoints[fetch.Source].Kind != 1 {
			t.Fatalf("a fill past the parents: %+v", fetch)
		}
	}
	if n := len(env.fetches); n != 200 || peeks < 110 || peeks > 170 { // seven in ten
		t.Errorf("%d of %d fills ask parents only for what they hold", peeks, n)
	}
	env.runUntil(env.now + 200*ms)
	env.router.originShield.RecordAnswer(env.now, env.now, true)
	env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
		return Miss, FillStatusSourceMiss, 10 * ms
	}
	refused, stale := 0, 0
	for id := uint32(301); id <= 500; id++ {
		class := int(id) % 2 // of these, the second's copies may be served past their fresh time
		request := env.submitRead(id, uint64(id), class)
		env.runUntil(env.now + 25*ms)
		if !request.ended {
			continue
		}
		var last Fetch
		for _, fetch := range env.fetches {
			if fetch.ID == id {
				last = fetch
			}
		}
		if last.Source == last.Host && last.MaxAge == 18*time.Second {
			stale++
		} else if class == 1 {
			t.Errorf("%d: refused without a look for a copy in its grace: %+v", id, last)
		}
		if len(request.attempts) == 1+class { // with one look at the parent, and no wait
			refused++
		}
	}
	if refused < 100 || refused > 180 || stale < 50 || stale > 90 {
		t.Errorf("%d of 200 that only the origin has were refused at once, %d behind a look for a stale copy", refused, stale)
	}
	pay := len(env.actions)
	env.submit(Request{ID: 999, Class: 3, Object: 7, Deadline: env.now + time.Second})
	if _, ok := env.actions[pay].(Forward); !ok {
		t.Errorf("a write was kept from the origin: %+v", env.actions[pay])
	}
	env.assertNoViolation()
}

// Where caches don't join fills, each request that misses during a fill begins another. A cold cache is asked what it
// holds first; told that a fill is under way the request waits for that, told that none is it brings a source at once.
func TestFirstFillsLookBeforeTheyFill(t *testing.T) {
	for _, tc := range []struct {
		name         string
		change       func(*Settings)
		cold, busy   bool // the cache has just started; another's fill is under way in it
		looks, fills int  // looks: at least, as the cold budget has them wait, too
	}{
		{"none under way", nil, true, false, 1, 1},
		{"one under way", nil, true, true, 2, 0},
		{"warm cache", nil, false, false, 0, 1},
		{"caches join fills", func(settings *Settings) { settings.Tiers.CoalescesFills = true }, true, false, 0, 1},
		{"caches tell nothing", func(settings *Settings) { settings.Tiers.FillStatusReported = "off" }, true, false, 0, 1},
	} {
		env := newSimpleEnv(t, func(settings *Settings) {
			settings.Tiers.CoalescesFills = false
			if tc.change != nil {
				tc.change(settings)
			}
		})
		env.submitRead(1, 41, 0) // the first request begins the director's own first seconds
		env.runUntil(env.now + 10*time.Second)
		if tc.cold {
			list := testEndpoints(4)
			for i := range list {
				if list[i].Kind == 0 {
					list[i].Started = env.now
				}
			}
			env.updateEndpoints(UpdateFull, list...)
		}
		before, done := len(env.fetches), env.now+60*ms
		env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
			switch looks := request.attempts[n].source == request.attempts[n].host; {
			case looks && tc.busy && env.now >= done:
				return OK, FillStatusHit, ms
			case looks && tc.busy:
				return Miss, FillStatusCoalesced, ms
			case looks:
				return Miss, FillStatusUnknown, ms
			}
			return OK, FillStatusFilled, 40 * ms
		}
		env.submitRead(2, 42, 0)
		env.runUntil(env.now + 300*ms)
		looks, fills := 0, 0
		for _, fetch := range env.fetches[before:] {
			if fetch.Source == fetch.Host {
				looks++
			} else {
				fills++
			}
		}
		if looks < tc.looks || (tc.looks == 0 && looks > 0) || fills != tc.fills || !env.requests[2].ended {
			t.Errorf("%s: %d looks and %d fills, want %d at least and %d; ended: %v", tc.name, looks, fills, tc.looks, tc.fills, env.requests[2].ended)
		}
		env.assertNoViolation()
	}
}
