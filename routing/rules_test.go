package routing

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"shaleyard/internal/overload"
)

func newSimpleEnv(t *testing.T, change func(*Settings)) *testEnv {
	settings := testSettings()
	if change != nil {
		change(&settings)
	}
	env := newTestEnv(t, settings, 1)
	env.updateEndpoints(UpdateCached, testEndpoints(4)...)
	return env
}

func (e *testEnv) submitRead(id uint32, object uint64, class int) *openRequest {
	return e.submit(Request{ID: id, Class: class, Object: object, Group: int(object % 8),
		Deadline: e.now + e.settings.Classes[class].Timeout})
}

func (e *testEnv) assertNoViolation() {
	e.t.Helper()
	if e.violation != "" {
		e.t.Fatal(e.violation)
	}
}

func TestNewNamesTheField(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"services":             func(settings *Settings) { settings.Classes = nil },
		"zone":                 func(settings *Settings) { settings.Zone = 3 },
		"ceilings.maxAttempts": func(settings *Settings) { settings.SiteLimits.MaxAttempts = 0 },
		"guarantees":           func(settings *Settings) { settings.Guarantees.OverloadWindow = -1 },
		"seatsByZone":          func(settings *Settings) { settings.Tiers.DirectorsByZone = []int{1} },
		"classFresh":           func(settings *Settings) { settings.Tiers.FreshnessLifetime = settings.Tiers.FreshnessLifetime[:1] },
		"services[1]":          func(settings *Settings) { settings.Classes[1].LatencyObjective = 0 },
		"familyInfo":           func(settings *Settings) { settings.Tiers.PurgePropagation = -1 },
	} {
		settings := testSettings()
		change(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
	settings := testSettings()
	settings.Tiers = TierSettings{ParentKind: -1, OriginKind: 2}
	if _, err := New(settings, 1); err != nil {
		t.Errorf("optional lists left out: %v", err)
	}
}

func TestUnknownEventIsPassedOver(t *testing.T) {
	env := newSimpleEnv(t, nil)
	for _, event := range []Event{nil, 7, Outcome{ID: 99}, RequestClosed{ID: 99}, TimerFired{Token: 1<<32 | 99}, StreamStarted{ID: 99},
		PeerMessage{From: 1, Data: []byte("junk")}, ProbeResult{}, EndpointUpdate{Kind: UpdateFull}} {
		if got := env.router.Handle(env.now, event); len(got) != 0 {
			t.Errorf("%T: actions %v", event, got)
		}
	}
}

func TestOrdinaryPathFillsFromHubParent(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitRead(1, 42, 0)
	first := env.fetches[0]
	if env.endpoints[first.Host].Kind != 0 || env.endpoints[first.Source].Kind != 1 || first.Flags&OnlyIfCached != 0 {
		t.Fatalf("first attempt %+v", first)
	}
	env.runUntil(env.now + time.Second)
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
	env.runUntil(env.now + 100*ms)
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
	env.runUntil(env.now + 100*ms)
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

func TestHolderAgesOut(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitRead(1, 42, 0)
	first := env.fetches[0].Host
	env.runUntil(env.now + siblingHintLifetime + 200*ms)
	endpoint := env.endpoints[first]
	endpoint.Weight = 0.0001
	env.updateEndpoints(UpdateDelta, endpoint)
	env.submitRead(2, 42, 0)
	if s := env.fetches[1]; s.Source == first {
		t.Errorf("a holder older than %v was still believed: %+v", siblingHintLifetime, s)
	}
}

func TestDrainBoundsTargetAndSource(t *testing.T) {
	env := newSimpleEnv(t, nil)
	for id := uint32(1); id <= 40; id++ {
		env.submitRead(id, uint64(id), 0)
	}
	env.runUntil(env.now + 500*ms)
	for _, host := range []Host{hostEdge, hostParent} {
		endpoint := env.endpoints[host]
		endpoint.State = Draining
		env.updateEndpoints(UpdateDelta, endpoint)
	}
	for id := uint32(101); id <= 140; id++ {
		env.submitRead(id, uint64(id-100), 0)
	}
	env.runUntil(env.now + time.Second)
	env.assertNoViolation()
}

func TestPurgeBoundsAge(t *testing.T) {
	for _, tc := range []struct {
		name  string
		purge Purge
		class int
		wait  time.Duration
		want  time.Duration // 0: the class's own age
	}{
		{"object", Purge{Age: 300 * ms, Object: 42}, 0, 0, 300 * ms},
		{"whole group", Purge{Age: 300 * ms, Group: 2}, 0, time.Second, 1300 * ms},
		{"never wider than fresh", Purge{Age: 7900 * ms, Object: 42}, 1, 500 * ms, 8 * time.Second},
		{"at least 1 ns", Purge{Object: 42}, 0, 0, 1},
		{"other group", Purge{Age: 300 * ms, Group: 3}, 0, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newSimpleEnv(t, nil)
			env.purge(tc.purge)
			env.runUntil(env.now + tc.wait)
			env.submitRead(1, 42, tc.class)
			if got := env.fetches[0].MaxAge; got != tc.want {
				t.Errorf("age %v, want %v", got, tc.want)
			}
			env.assertNoViolation()
		})
	}
}

func TestPurgeVoidsHolder(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.submitRead(1, 42, 0)
	first := env.fetches[0].Host
	env.runUntil(env.now + 100*ms)
	env.purge(Purge{Object: 42, Age: 10 * ms})
	endpoint := env.endpoints[first]
	endpoint.Weight = 0.0001
	env.updateEndpoints(UpdateDelta, endpoint)
	env.submitRead(2, 42, 0)
	if s := env.fetches[1]; s.Source == first {
		t.Errorf("a voided holder was named as source: %+v", s)
	}
}

func TestEffects(t *testing.T) {
	for _, tc := range []struct {
		class  int
		result Result
		sends  int
		refuse bool
	}{
		{2, Reset, 1, false}, // the only host of the zone is the origin: it may be asked again in its zone
		{3, Reset, 1, false},
		{3, Errored, 1, false},
	} {
		env := newSimpleEnv(t, nil)
		env.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
			return tc.result, FillStatusUnknown, 10 * ms
		}
		request := env.submitRead(1, 42, tc.class)
		env.runUntil(env.now + 3*time.Second)
		if !request.ended {
			t.Errorf("class %d: not ended", tc.class)
		}
		env.assertNoViolation()
	}
}

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

func TestMemoryIsBounded(t *testing.T) {
	env := newSimpleEnv(t, nil)
	for i := range 3 * maxTableEntries {
		id := uint32(i + 1)
		env.submitRead(id, uint64(i), 1)
		env.runUntil(env.now + 100*time.Microsecond)
		env.router.Handle(env.now, Purge{Object: uint64(i + 1)})
		delete(env.requests, id-5000)
	}
	env.runUntil(env.now + 5*time.Second)
	for i := range 1000 {
		env.updateEndpoints(UpdateFull, append(testEndpoints(4), Endpoint{Host: Host(10000 + i), Zone: 1, State: Ready, Weight: 1})...)
	}
	if n := len(env.router.currentLocations) + len(env.router.previousLocations); n > 2*maxTableEntries {
		t.Errorf("%d table entries", n)
	}
	if n := len(env.router.purges); n > maxTableEntries {
		t.Errorf("%d purges", n)
	}
	if n := len(env.router.servers); n > 20 {
		t.Errorf("%d servers kept", n)
	}
	if len(env.router.requests) != 0 || len(env.router.attempts) != 0 {
		t.Errorf("%d requests and %d attempts left over", len(env.router.requests), len(env.router.attempts))
	}
}

// TestRulesHold drives routers with seeded legal sequences under varied settings and asserts the five rules.
func TestRulesHold(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			env := runRandomSequence(t, seed)
			env.assertNoViolation()
			if len(env.fetches) < 200 {
				t.Fatalf("only %d attempts", len(env.fetches))
			}
		})
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(4) {
		if first, second := runRandomSequence(t, seed), runRandomSequence(t, seed); !reflect.DeepEqual(first.actions, second.actions) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

// runRandomSequence plays a minute of random requests, answers, purges, drains and restarts.
func runRandomSequence(t *testing.T, seed uint64) *testEnv {
	settings := testSettings()
	settings.SiteLimits.HedgingAllowed = seed%2 == 0
	settings.SiteLimits.CancelAllowed = seed%3 != 0
	settings.Tiers.BypassAllowed = seed%5 != 0
	settings.Tiers.CoalescesFills = seed%4 != 0
	settings.Tiers.FillStatusReported = []string{"all", "hit", "off"}[seed%3]
	settings.Tiers.SiblingFills = []string{"off", "location", "any"}[seed/3%3]
	settings.Classes[2].DedupScope = []string{"all", "zone", "cell"}[seed%3]
	env := newTestEnv(t, settings, seed)
	rng := env.rng
	list := testEndpoints(4)
	env.updateEndpoints(UpdateCached, list...)
	sick := Host(0)
	env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
		attempt := request.attempts[n]
		if attempt.host == sick || attempt.source == sick {
			return OK, FillStatusFilled, time.Hour
		}
		after := time.Duration(rng.ExpFloat64()*60) * ms
		switch draw := rng.IntN(20); {
		case draw < 13:
			return OK, FillStatusHit, after
		case draw < 15:
			return OK, FillStatusFilled, 2 * after
		case draw == 15:
			return Miss, FillStatusSourceMiss, after
		case draw == 16:
			return Rejected, []FillStatus{FillStatusUnknown, FillStatusSourceRejected, FillStatusSourceUnreachable, FillStatusNoFillSlot}[rng.IntN(4)], after
		case draw == 17:
			return []Result{Errored, ConnectFailed, Reset}[rng.IntN(3)], FillStatusUnknown, after
		}
		return OK, FillStatusHit, 20 * after
	}
	for id := uint32(1); id <= 3000; id++ {
		class := []int{0, 1, 0, 1, 1, 2, 3}[rng.IntN(7)]
		object := uint64(rng.ExpFloat64() * 40)
		timeout := time.Duration(float64(settings.Classes[class].Timeout) * (0.3 + 0.7*rng.Float64()))
		env.submit(Request{ID: id, Class: class, Object: object + 1, Group: int(object % 8), Deadline: env.now + timeout})
		env.runUntil(env.now + time.Duration(rng.ExpFloat64()*20)*ms)
		switch draw := rng.IntN(300); {
		case draw < 4:
			env.purge(Purge{Object: object + 1, Group: int(object % 8), Age: time.Duration(rng.IntN(400)) * ms})
		case draw == 4:
			env.purge(Purge{Group: rng.IntN(8), Age: time.Duration(rng.IntN(400)) * ms})
		case draw < 8:
			endpoint := list[1+rng.IntN(6)]
			endpoint.State = []State{Draining, Gone, Ready}[rng.IntN(3)]
			env.updateEndpoints(UpdateDelta, endpoint)
		case draw < 10:
			endpoint := list[1+rng.IntN(6)]
			endpoint.Started, endpoint.State = env.now-time.Duration(rng.IntN(2000))*ms, Ready
			env.updateEndpoints(UpdateDelta, endpoint)
		case draw == 10:
			sick = list[rng.IntN(7)].Host
		case draw == 11:
			sick = 0
		case draw == 12:
			env.updateEndpoints(UpdateFull, list...)
		case draw == 13:
			env.handle(EndpointUpdate{Kind: UpdateFailed})
		case draw == 14 && !env.requests[id].ended:
			env.requests[id].ended = true
			env.handle(RequestClosed{ID: id})
		}
	}
	env.runUntil(env.now + 10*time.Second)
	return env
}

// Found in the first incidents: requests turned away as full went on at once to the next cache, which doubled
// fills and load in a jam. They must wait, and come back to the same cache.
func TestFullMakesTheRequestWait(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
		if n == 0 {
			return Rejected, FillStatusNoFillSlot, ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	env.submitRead(1, 42, 0)
	env.runUntil(env.now + 20*ms)
	if len(env.fetches) != 1 {
		t.Fatalf("sent again at once: %+v", env.fetches)
	}
	env.runUntil(env.now + time.Second)
	if len(env.fetches) != 2 || env.fetches[1].Host != env.fetches[0].Host {
		t.Errorf("sent %+v", env.fetches)
	}
	env.assertNoViolation()
}

// Found in the first incidents: a crowded link ends many transfers late and at once; its caches were ejected as
// silent though they were only busy. No cache is ejected for being late.
func TestBusyIsNotSilent(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
		return OK, FillStatusHit, 400 * ms
	}
	for id := uint32(1); id <= 400; id++ {
		env.submitRead(id, uint64(id), 0)
		if id%40 == 0 { // forty at once, all answered 700 ms later, nothing in between
			env.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
				return OK, FillStatusFilled, 700 * ms
			}
			env.runUntil(env.now + 800*ms)
		}
	}
	env.runUntil(env.now + time.Second)
	for _, action := range env.actions {
		if line, ok := action.(Log); ok {
			t.Errorf("log: %s", line.Message)
		}
	}
	env.assertNoViolation()
}

// Found in the first incidents: in overload all answers came late. The excess must wait and be refused early.
func TestLateAnswersLowerTheCrowd(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
		return OK, FillStatusHit, 1900 * ms
	}
	most := 0
	for id := uint32(1); id <= 3000; id++ {
		env.submitRead(id, uint64(id%40), 1)
		env.runUntil(env.now + 4*ms)
		if out := len(env.router.attempts); id > 2000 {
			most = max(most, out)
		}
	}
	if most > 200 { // without limits, 1.9 s of 250 requests a second are out
		t.Errorf("%d attempts out though all answers are late", most)
	}
	refused := 0
	for _, action := range env.actions {
		if _, ok := action.(Reject); ok {
			refused++
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
	env.assertNoViolation()
}

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

// Found after flushes: holders voided by a purge were still counted as holders, so fills passed for hits.
func TestPurgedHolderIsNoHolder(t *testing.T) {
	env := newSimpleEnv(t, nil)
	o := env.submitRead(1, 42, 0)
	env.runUntil(env.now + 100*ms)
	target := env.router.servers[env.fetches[0].Host]
	request := &requestState{Request: o.Request, location: env.router.recordUse(objectKey{o.Object, o.Part})}
	if env.router.isLikelyFill(request, target) {
		t.Error("a holder counts as none")
	}
	env.purge(Purge{Group: int(o.Group), Age: ms})
	if !env.router.isLikelyFill(request, target) {
		t.Error("a purged holder counts as holder")
	}
}

// Found by reading: a parent once ejected was never readmitted as a source.
func TestEjectedParentIsLookedAtAndReadmitted(t *testing.T) {
	env := newSimpleEnv(t, func(settings *Settings) { settings.Tiers.BypassAllowed = false })
	down := true
	env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
		source := request.attempts[n].source
		switch {
		case source == hostParent && down:
			return Rejected, FillStatusSourceUnreachable, 300 * ms
		case env.fetches[len(env.fetches)-1].Flags&OnlyIfCached != 0:
			return Miss, FillStatusSourceMiss, 5 * ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	id := uint32(0)
	step := func(n int) {
		for range n {
			id++
			env.submitRead(id, uint64(id)*7919, 0)
			env.runUntil(env.now + 20*ms)
		}
	}
	step(100)
	if !env.router.servers[hostParent].ejected {
		t.Fatal("an unreachable parent was not ejected")
	}
	down = false
	step(500)
	if env.router.servers[hostParent].ejected {
		t.Error("a parent that is back was not readmitted")
	}
	env.assertNoViolation()
}

// Far masters are asked only when no parent is up, peers may talk and caches elsewhere may be sources.
func TestFarMasters(t *testing.T) {
	allowPeers := func(settings *Settings) {
		settings.SiteLimits.PeerMessagesAllowed, settings.Tiers.SiblingFills = true, "any"
	}
	env := newSimpleEnv(t, allowPeers)
	env.submitRead(1, 42, 0)
	if len(env.fetches) != 1 {
		t.Fatal("masters were asked though parents are up")
	}
	for _, parent := range []Host{hostParent, hostParent + 1} {
		endpoint := env.endpoints[parent]
		endpoint.State = Draining
		env.updateEndpoints(UpdateDelta, endpoint)
	}
	env.actions = nil
	env.submitRead(2, 43, 0)
	var query []byte
	for _, action := range env.actions {
		if message, ok := action.(SendPeerMessage); ok {
			query = message.Data
		}
	}
	if len(query) == 0 || len(query) > 256 || len(env.fetches) != 1 {
		t.Fatalf("actions %v", env.actions)
	}
	for i := range query {
		env.handle(PeerMessage{From: 1, Data: query[:i]}) // garbage is passed over
	}
	key := objectKey{43, 0}
	env.handle(PeerMessage{From: 1, Data: locationMessage{locationReply, 2, key, 700}.encode()})
	if fetch := env.fetches[1]; fetch.Source != 700 || fetch.Flags&OnlyIfCached == 0 {
		t.Errorf("not filled from the far cache: %+v", fetch)
	}
	env.submitRead(3, 44, 0) // nobody answers: after the aim, the origin
	env.runUntil(env.now + 600*ms)
	if fetch := env.fetches[2]; fetch.Source != hostOrigin {
		t.Errorf("not filled from the origin: %+v", fetch)
	}

	answering := newSimpleEnv(t, allowPeers)
	answering.submitRead(1, 43, 0)
	answering.runUntil(answering.now + 100*ms)
	answering.actions = nil
	answering.handle(PeerMessage{From: 1, Data: locationMessage{locationQuery, 2, key, 0}.encode()})
	want := SendPeerMessage{To: 1, Data: locationMessage{locationReply, 1, key, answering.fetches[0].Host}.encode()}
	if !reflect.DeepEqual(answering.actions, []Action{want}) {
		t.Errorf("answered %v, want %v", answering.actions, want)
	}
	env.assertNoViolation()
}

// Where discovery must be asked, a router subscribes at its start and again after a failure.
func TestSubscribesAgainAfterFailure(t *testing.T) {
	env := newSimpleEnv(t, func(settings *Settings) { settings.DiscoveryMode = "subscribe" })
	count := func() (n int) {
		for _, action := range env.actions {
			if subscribe, ok := action.(Subscribe); ok && subscribe.Enabled {
				n++
			}
		}
		return n
	}
	if count() != 1 {
		t.Fatalf("%d subscriptions at the start", count())
	}
	env.handle(EndpointUpdate{Kind: UpdateFailed})
	env.runUntil(env.now + env.settings.Guarantees.PollWithin/2)
	if count() != 2 {
		t.Errorf("%d subscriptions after a failure, want 2", count())
	}
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
			env.runUntil(env.now + 6*time.Second)
			env.assertNoViolation()
			if len(list) > 0 && !env.requests[1].ended {
				t.Error("not ended")
			}
		})
	}
}

// Once a second copy may not be out, and what must not run twice does not: break each check of the gate and this
// test fails.
func TestGateRefuses(t *testing.T) {
	env := newSimpleEnv(t, nil)
	request := &requestState{Request: Request{ID: 1, Deadline: env.now + time.Second}, location: &contentLocation{}}
	env.router.requests[1] = request
	edge, parent, origin := env.router.servers[hostEdge], env.router.servers[hostParent], env.router.servers[hostOrigin]
	env.router.now = env.now
	for name, apply := range map[string]func() func(){
		"drain of target":  func() func() { edge.State = Draining; return func() { edge.State = Ready } },
		"drain of source":  func() func() { parent.State = Draining; return func() { parent.State = Ready } },
		"gone source":      func() func() { parent.listed = false; return func() { parent.listed = true } },
		"second copy":      func() func() { request.inFlight = 1; return func() { request.inFlight = 0 } },
		"over":             func() func() { request.Deadline = env.now; return func() { request.Deadline += time.Second } },
		"stream":           func() func() { request.streaming = true; return func() { request.streaming = false } },
		"attempts used up": func() func() { request.attempts = make([]*attemptState, 5); return func() { request.attempts = nil } },
		"unsafe may have run": func() func() {
			request.Class, request.attempts = 3, []*attemptState{{target: origin, mayHaveExecuted: true}}
			return func() { request.Class, request.attempts = 0, nil }
		},
		"keyed beyond its window": func() func() {
			request.Class, request.attempts = 2, []*attemptState{{target: edge, mayHaveExecuted: true, sentAt: env.now - time.Second}}
			return func() { request.Class, request.attempts = 0, nil }
		},
		"keyed beyond its group": func() func() {
			request.Class, request.attempts = 2, []*attemptState{{target: origin, mayHaveExecuted: true, sentAt: env.now}}
			return func() { request.Class, request.attempts = 0, nil }
		},
		"cold target": func() func() {
			edge.warmingUpSince, edge.slowStartBucket = env.now, exhaustedBucket(env.now)
			return func() { edge.warmingUpSince, edge.slowStartBucket = 0, overload.TokenBucket{} }
		},
		"cold source": func() func() {
			parent.warmingUpSince, parent.slowStartBucket = env.now, exhaustedBucket(env.now)
			return func() { parent.warmingUpSince, parent.slowStartBucket = 0, overload.TokenBucket{} }
		},
	} {
		undo := apply()
		if env.router.send(request, edge, parent) {
			t.Errorf("%s: an attempt left", name)
			request.attempts, request.inFlight = nil, 0
		}
		undo()
	}
	if !env.router.send(request, edge, parent) {
		t.Error("a permitted attempt did not leave")
	}
}

// Directors that are started anew know of a cold cache from their list, and nothing of what they sent it before, nor of
// how long an object takes: all of them together must not begin their shares again. What reaches the cache in the time
// of a fall stays within its budget of N calls and chance, where N is far smaller than the number of directors.
func TestRestartedRoutersDoNotBeginTheirSharesAgain(t *testing.T) {
	for _, seats := range []int{30, 300} {
		for seed := range uint64(5) {
			settings := testSettings()
			settings.Directors, settings.Tiers.DirectorsByZone, settings.Tiers.TransferKBPerSecond = seats, []int{0, seats, 0}, 1000
			settings.Classes[0].LatencyObjective, settings.Classes[1].LatencyObjective = 400*ms, 250*ms
			const size, weight = 500.0, 20.0 // an object takes 0.5 s, about as long as the aim
			start := 100 * time.Second
			now := start + time.Second
			var routers []*Router
			for i := range uint64(seats) {
				router, err := New(settings, seed*1000+i)
				if err != nil {
					t.Fatal(err)
				}
				list := testEndpoints(3)
				for j := range list {
					if list[j].Host == hostEdge {
						list[j].Started, list[j].Weight = start, weight
					}
				}
				router.Handle(now, EndpointUpdate{Kind: UpdateCached, Endpoints: list})
				routers = append(routers, router)
			}
			var calls []Time
			for step := range 60 {
				for i, router := range routers {
					id := uint32(step*seats + i + 1)
					for _, action := range router.Handle(now, Request{ID: id, Object: uint64(id), Deadline: now + 4*time.Second, SizeKB: size}) {
						if fetch, ok := action.(Fetch); ok && fetch.Host == hostEdge {
							calls = append(calls, now)
						}
					}
				}
				now += settings.Guarantees.OverloadWindow / 10
			}
			worst := 0.0
			for i, at := range calls {
				n := 0
				for _, b := range calls[i:] {
					if b < at+settings.Guarantees.OverloadWindow {
						n++
					}
				}
				guarantees := settings.Guarantees
				share := guarantees.SlowStartFraction + (1-guarantees.SlowStartFraction)*float64(at-start)/float64(guarantees.SlowStartDuration)
				allowed := guarantees.OverloadMultiple * share * weight * guarantees.OverloadWindow.Seconds() / (size / 1000)
				worst = max(worst, float64(n)/(allowed+2*math.Sqrt(allowed)+2))
			}
			t.Logf("%d directors, seed %d: %d calls, %.2f of what may come by chance", seats, seed, len(calls), worst)
			if worst > 1 || len(calls) < 10 {
				t.Errorf("%d directors, seed %d: %d calls, %.2f times what may come by chance in a span", seats, seed, len(calls), worst)
			}
		}
	}
}

// Found on zone+brink of map-tiles, where no second copies are allowed: an attempt that is called off is out until its
// cache hears of that, and the next one, over another connection, came there before. It waits for a moment; where second
// copies are allowed, and behind an answer, it leaves at once.
func TestNextAttemptDoesNotOvertakeTheStop(t *testing.T) {
	for _, tc := range []struct {
		copies bool
		result Result
		atOnce bool
	}{{false, Cancelled, false}, {false, Reset, false}, {false, TimedOut, false}, {true, Cancelled, true}, {true, Reset, true},
		{false, ConnectFailed, true}, {false, Abandoned, true}, {false, Errored, true}, {true, Unreachable, true}, {true, LocalResourcesExhausted, false}} {
		env := newSimpleEnv(t, func(settings *Settings) { settings.SiteLimits.HedgingAllowed = tc.copies })
		env.router.Handle(env.now, Request{ID: 900, Object: 42, Deadline: env.now + 4*time.Second})
		attempt := env.router.requests[900].attempts[0]
		left := func(actions []Action) bool {
			return slices.ContainsFunc(actions, func(action Action) bool { _, ok := action.(Fetch); return ok })
		}
		env.now += 20 * ms
		if got := left(env.router.Handle(env.now, Outcome{ID: 900, Host: attempt.target.Host, Result: tc.result, Elapsed: 20 * ms})); got != tc.atOnce {
			t.Errorf("second copies %v, %v: the next attempt left at once %v, want %v", tc.copies, tc.result, got, tc.atOnce)
		}
		if tc.atOnce {
			continue
		}
		env.now += 2 * minPostponement
		if !left(env.router.Handle(env.now, TimerFired{Token: requestTimer | 900})) {
			t.Errorf("second copies %v, %v: no further attempt", tc.copies, tc.result)
		}
	}
}

// A repeat of a keyed request must have been written, with room for the way, before the window of the first attempt that
// may have run has ended; the window is counted from that attempt, not from a later one, and not from one that
// provably never ran.
func TestRepeatIsBoundToTheFirstWindow(t *testing.T) {
	env := newSimpleEnv(t, nil)
	edge, origin := env.router.servers[hostEdge], env.router.servers[hostOrigin]
	request := &requestState{Request: Request{ID: 1, Class: 2, Deadline: env.now + 2*time.Second}, uncacheable: true, location: &contentLocation{},
		attempts: []*attemptState{{target: edge, sentAt: env.now - 900*ms},
			{target: edge, sentAt: env.now - 300*ms, mayHaveExecuted: true}, {target: edge, sentAt: env.now - 100*ms, mayHaveExecuted: true}}}
	env.router.requests[1], env.router.now, env.router.actions = request, env.now, nil
	if !env.router.send(request, edge, origin) {
		t.Fatal("a repeat inside its window did not leave")
	}
	var before Time
	for _, action := range env.router.actions {
		if fetch, ok := action.(Fetch); ok {
			before = fetch.IdempotencyWindowEnd
		}
	}
	if want := env.now + 650*ms; before != want {
		t.Errorf("to be written within %v, want %v", before-env.now, want-env.now)
	}
	env.router.now = before
	if env.router.maySend(request, edge) {
		t.Error("a repeat may leave with no room for the way")
	}
	request.Class, request.attempts = 0, nil
	if env.router.maySend(request, edge); request.idempotencyWindowEnd != 0 {
		t.Error("a read is bound to a window")
	}
}

// Found by hunt on a slow-origin day: fills that hang filled the cache's limit and shut out hits.
func TestHangingFillsDoNotShutOutHits(t *testing.T) {
	env := newSimpleEnv(t, func(settings *Settings) { settings.Tiers.BypassAllowed = false })
	env.submitRead(1, 42, 0)
	env.runUntil(env.now + 100*ms) // a holder of 42 is known
	cache := env.router.servers[env.fetches[0].Host]
	env.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
		return OK, FillStatusFilled, 3 * time.Second
	}
	for id := uint32(10); id < 30; id++ {
		env.submitRead(id, uint64(id), 0)
	}
	if cache.asTarget.inFlightWork > 1e-9 {
		t.Errorf("%.1f s of fills count on the cache", cache.asTarget.inFlightWork)
	}
	cache.asTarget.concurrencyLimit, cache.asTarget.inFlightWork = overload.NewConcurrencyLimit(env.router.now, 4), 4
	n := len(env.fetches)
	if env.submitRead(2, 42, 0); len(env.fetches) != n+1 || env.fetches[n].Host != cache.Host {
		t.Errorf("a hit was held back: %+v", env.fetches[n:])
	}
	for id, n := uint32(130), len(env.fetches); id < 160; id++ {
		if env.submitRead(id, uint64(id), 0); len(env.fetches) > n && env.fetches[len(env.fetches)-1].Host == cache.Host {
			t.Fatalf("a fill went to a cache at its limit: %+v", env.fetches[len(env.fetches)-1])
		}
	}
}

// Found on a drawn day at full size: told of a start at once, every router of the location sent its first large
// request to the cold cache in the same second, and it fell over. The sum over all of them must stay in the budget.
func TestManyRoutersSpareAColdCache(t *testing.T) {
	const seats = 40
	for seed := range uint64(5) {
		settings := testSettings()
		settings.Directors, settings.Tiers.DirectorsByZone, settings.SiteLimits.MaxAttempts = seats, []int{0, seats, 0}, 1
		now, sum, start := 100*time.Second, 0.0, 100*time.Second
		var routers []*Router
		for i := range uint64(seats) {
			router, err := New(settings, seed*1000+i)
			if err != nil {
				t.Fatal(err)
			}
			list := testEndpoints(4)
			for j := range list {
				if list[j].Host >= hostEdge && list[j].Host < hostEdge+4 {
					list[j].Started = start
				}
			}
			router.Handle(now, EndpointUpdate{Kind: UpdateCached, Endpoints: list})
			routers = append(routers, router)
		}
		work := routers[0].classes[0].work.Value
		for step := range 10 {
			for i, router := range routers {
				id := uint32(step*seats + i + 1)
				for _, action := range router.Handle(now, Request{ID: id, Object: uint64(id), Deadline: now + 4*time.Second}) {
					if fetch, ok := action.(Fetch); ok && fetch.Host == hostEdge {
						sum += work
					}
				}
			}
			now += settings.Guarantees.OverloadWindow / 10
		}
		share := settings.Guarantees.SlowStartFraction
		if allowed := settings.Guarantees.OverloadMultiple * share * 6 * settings.Guarantees.OverloadWindow.Seconds(); sum > allowed {
			t.Errorf("seed %d: %.1f s of work reach a cold cache in its span, %.1f allowed", seed, sum, allowed)
		}
		if sum == 0 {
			t.Errorf("seed %d: nothing was sent", seed)
		}
	}
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

// Found on a day at full size: a crowded parent's fills ran out of time, it was ejected, its load crowded the next, and so
// on. A failure that comes quickly ejects at once, a slow one only at the third in a row.
func TestSlowFailuresDoNotEjectAtOnce(t *testing.T) {
	for _, tc := range []struct {
		waited time.Duration
		fails  int
		want   bool
	}{{time.Millisecond, 1, true}, {2 * time.Second, 1, false}, {2 * time.Second, 2, false}, {2 * time.Second, 3, true}} {
		env := newSimpleEnv(t, nil)
		parent := env.router.servers[hostParent]
		for range tc.fails {
			env.router.recordHealth(&attemptState{target: env.router.servers[hostEdge], source: parent},
				Outcome{Result: Rejected, FillStatus: FillStatusSourceUnreachable, SourceWait: tc.waited})
		}
		if parent.ejected != tc.want {
			t.Errorf("%d failures after %v: ejected %v", tc.fails, tc.waited, parent.ejected)
		}
	}
}

// Found on sockets: one answer in a hundred arrives spoilt and ends its connection. Ejecting the cache for it
// crowded the others of its location, and so did taking some in a row for its death on a day on which idle
// connections are reset under requests. A dead one refuses the next connection.
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
		t.Error("a look that was reset does not keep it out for longer")
	}
}

// Found on sockets: the origin stopped for seconds, and fills that were taken for hits ran out of time with it. The
// caches' limits came down for that, and healthy caches refused hits. Who has answered since is not to blame.
func TestTimeOutBlamesWhoIsSilent(t *testing.T) {
	for _, speaks := range []bool{true, false} {
		env := newSimpleEnv(t, nil)
		cache, source := env.router.servers[hostEdge], env.router.servers[hostParent]
		if speaks {
			cache.lastAnswerAsTarget = 20
		}
		env.router.adjustLimit(&attemptState{target: cache, source: source, sentAt: 10, work: 0.1}, Outcome{Result: TimedOut})
		if blamed := !math.IsInf(cache.asTarget.concurrencyLimit.Value(env.router.now), 1); blamed == speaks {
			t.Errorf("the cache speaks: %v, and is blamed: %v", speaks, blamed)
		}
		if blamed := !math.IsInf(source.asSource.concurrencyLimit.Value(env.router.now), 1); blamed != speaks {
			t.Errorf("the cache speaks: %v, and its source is blamed: %v", speaks, blamed)
		}
	}
}

// Found on the day wide: four of six caches lost a third of all requests for 10 s and answered the others as ever.
// What is lost is asked for again, for what the cache holds only: no sooner than its size explains, not more
// often than copiesEach, nor what must not run twice, nor in a crowd, nor where nothing sent later has come.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*testEnv, *requestState)
		class  int
		want   int
	}{
		{"lost", func(*testEnv, *requestState) {}, 0, maxHedgesPerRequest},
		{"silent way", func(_ *testEnv, request *requestState) { attributedLoad(request).lastTimelySentAt = 0 }, 0, 0},
		{"crowd", func(env *testEnv, request *requestState) {
			request.attempts[0].target.asTarget.concurrencyLimit = overload.NewConcurrencyLimit(env.router.now, 1e-6)
		}, 0, 0},
		{"none saved up", func(env *testEnv, _ *requestState) { env.router.hedgeTokens = 0 }, 0, 0},
		{"unsafe", func(*testEnv, *requestState) {}, 3, 0},
	} {
		env := newSimpleEnv(t, func(settings *Settings) {
			settings.SiteLimits.HedgingAllowed, settings.Tiers.BypassAllowed = true, false
		})
		env.submitRead(1, 42, tc.class)
		request := env.router.requests[1]
		env.router.hedgeTokens = maxHedgeTokens
		request.Deadline = env.router.now + time.Minute
		attributedLoad(request).lastTimelySentAt = request.attempts[0].sentAt + 1
		tc.change(env, request)
		env.router.now += 10 * ms
		env.router.actions = env.router.actions[:0]
		env.router.hedge(request.attempts[0])
		if len(env.router.actions) > 0 {
			t.Errorf("%s: asked again when not overdue: %v", tc.name, env.router.actions)
		}
		for range maxHedgesPerRequest + 2 {
			env.router.now += 10 * time.Second
			last := request.attempts[len(request.attempts)-1]
			if last.number > 0 {
				last.target.asTarget.lastTimelySentAt = last.sentAt + 1
			}
			for range 2 { // a tick sees all that is out
				for _, attempt := range request.attempts {
					env.router.hedge(attempt)
				}
			}
		}
		if got := len(env.router.actions); got != tc.want {
			t.Errorf("%s: %d copies, want %d: %v", tc.name, got, tc.want, env.router.actions)
		}
		for _, action := range env.router.actions {
			if fetch, ok := action.(Fetch); !ok || fetch.Source != fetch.Host || fetch.Host != request.attempts[0].target.Host {
				t.Errorf("%s: asked again as %v, want the same cache for what it holds", tc.name, action)
			}
		}
	}
}

// attributedLoad is the side that a request's first attempt counts on.
func attributedLoad(request *requestState) *roleLoad {
	_, load := attributedTo(request.attempts[0])
	return load
}

// A copy that brings the answer earns more than it cost, so that losses pay for their own copies; one that comes
// behind the first answer earns nothing, so that a crowd ends them.
func TestCopiesThatBringTheAnswerEarnTheNext(t *testing.T) {
	for first, want := range map[int]float64{0: maxHedgeTokens - 2, 1: maxHedgeTokens - 2 + hedgeTokensPerWin} {
		env := newSimpleEnv(t, func(settings *Settings) {
			settings.SiteLimits.HedgingAllowed, settings.Tiers.BypassAllowed = true, false
		})
		env.submitRead(1, 42, 0)
		request := env.router.requests[1]
		request.Deadline = env.router.now + time.Minute
		attributedLoad(request).lastTimelySentAt = request.attempts[0].sentAt + 1
		env.router.hedgeTokens = maxHedgeTokens - 1
		env.router.now += 10 * time.Second
		env.router.hedge(request.attempts[0])
		if len(request.attempts) != 2 {
			t.Fatal("not asked again")
		}
		env.router.handleOutcome(Outcome{ID: 1, Attempt: first, Result: OK, RequestDone: true})
		env.router.handleOutcome(Outcome{ID: 1, Attempt: 1 - first, Result: OK, RequestDone: true})
		if env.router.hedgeTokens != want {
			t.Errorf("the answer came with attempt %d: %v copies left, want %v", first, env.router.hedgeTokens, want)
		}
	}
}

// Found on the day wide: each answer that was lost took a fifth off a limit, until hits were refused beside a cache
// that had room. What is lost is no crowd; what is late with all the others is.
func TestNoLimitComesDownForWhatIsLost(t *testing.T) {
	for _, lost := range []bool{true, false} {
		env := newSimpleEnv(t, nil)
		env.submitRead(1, 42, 0)
		request := env.router.requests[1]
		if lost {
			attributedLoad(request).lastTimelySentAt = request.attempts[0].sentAt + 1
		}
		env.router.now += 10 * time.Second
		env.router.adjustLimit(request.attempts[0], Outcome{Result: TimedOut, Elapsed: 10 * time.Second})
		limits := 0
		for _, server := range env.router.orderedServers {
			for _, load := range []*roleLoad{&server.asTarget, &server.asSource} {
				if !math.IsInf(load.concurrencyLimit.Value(env.router.now), 1) {
					limits++
				}
			}
		}
		if (limits > 0) == lost {
			t.Errorf("lost: %v, and %d limits came down", lost, limits)
		}
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

// Found on the day garble+fleet: fills through a crowded cache were late, and the limits of all their sources came
// down until nothing was filled at all. A late fill is the cache's fault where hits are late too and the source
// kept it waiting for no time that matters.
func TestLateFillBlamesWhoMadeItLate(t *testing.T) {
	for _, tc := range []struct {
		name      string
		hitsAfter time.Duration // how long the cache's latest hit took
		waited    time.Duration // for the source, of the fill's 10 s
		cache     bool
	}{
		{"crowded cache", 10 * time.Second, 10 * ms, true},
		{"slow source", 10 * time.Second, 9990 * ms, false},
		{"narrow source", 10 * ms, 10 * ms, false},
	} {
		env := newSimpleEnv(t, nil)
		cache, source := env.router.servers[hostEdge], env.router.servers[hostParent]
		env.router.adjustLimit(&attemptState{target: cache, work: 0.1, latencyObjective: 650 * ms}, Outcome{Result: OK, FillStatus: FillStatusHit, Elapsed: tc.hitsAfter})
		before := cache.asTarget.concurrencyLimit.Value(env.router.now)
		env.router.adjustLimit(&attemptState{target: cache, source: source, likelyFill: true, work: 0.1, latencyObjective: 650 * ms},
			Outcome{Result: OK, FillStatus: FillStatusFilledByOrigin, Elapsed: 10 * time.Second, SourceWait: tc.waited})
		if down := cache.asTarget.concurrencyLimit.Value(env.router.now) < before; down != tc.cache {
			t.Errorf("%s: cache blamed: %v, want %v", tc.name, down, tc.cache)
		}
		if down := !math.IsInf(source.asSource.concurrencyLimit.Value(env.router.now), 1); down == tc.cache {
			t.Errorf("%s: source blamed: %v, want %v", tc.name, down, !tc.cache)
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

// Found on the day fleet: a crowd of a hundred late answers took a fifth off a limit each, so that a healthy cache got
// 14 requests a second instead of 70 until its limit had grown again. A crowd lowers it to a part of the load beside
// which its answers would have been in time; one that is still late at that load lowers it further.
func TestOneCrowdDoesNotShutACache(t *testing.T) {
	env := newSimpleEnv(t, nil)
	cache := env.router.servers[hostEdge]
	class := &env.settings.Classes[0]
	late := func(load, work float64) {
		aim := class.LatencyObjective + seconds(class.LatencyObjectivePerSize*work)
		for range 100 {
			env.router.adjustLimit(&attemptState{target: cache, work: work, inFlightWorkAtSend: load, latencyObjective: aim}, Outcome{Result: OK, FillStatus: FillStatusHit, Elapsed: 4 * aim})
		}
	}
	work := 2 * env.router.largestMeanWork()
	for _, load := range []float64{400 * work, 200 * work} {
		late(load, work)
		if want := limitFitFraction * load / 4; math.Abs(cache.asTarget.concurrencyLimit.Value(env.router.now)-want) > 1e-9 {
			t.Errorf("after a crowd of %v: limit %v, want %v", load, cache.asTarget.concurrencyLimit.Value(env.router.now), want)
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

// Found on docs days: what only the origin can do was held by its limit with the fills. It must go through
// though the limit is reached.
func TestLimitsSpareWhatOnlyTheOriginCanDo(t *testing.T) {
	env := newSimpleEnv(t, nil)
	origin := env.router.servers[hostOrigin]
	origin.asSource.concurrencyLimit, origin.asSource.inFlightWork = overload.NewConcurrencyLimit(env.router.now, 0.1), 5
	n := len(env.actions)
	env.submitRead(1, 42, 2)
	for _, action := range env.actions[n:] {
		if forward, ok := action.(Forward); ok && forward.Host == hostOrigin {
			return
		}
	}
	t.Errorf("held back: %v", env.actions[n:])
}

// exhaustedBucket is a cold budget of which much more has been spent than it has.
func exhaustedBucket(now Time) (bucket overload.TokenBucket) {
	bucket.Spent(now, 0)
	bucket.Spend(1e3)
	return bucket
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

// Seen on join+mass: attempts for a request rose to 2.4 while caches refused, and stayed there. In a crowd the budget
// ends, and what is over is refused at once; a repayment that provably never ran is tried on.
func TestFurtherAttemptsHaveABudget(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
		return Rejected, rejectionStatus(request), 5 * ms
	}
	for id := uint32(1); id <= 60; id++ {
		env.submitRead(id, uint64(id), 0)
		env.runUntil(env.now + 20*ms)
	}
	env.runUntil(env.now + 10*time.Second)
	tries := 0
	for id := uint32(31); id <= 60; id++ {
		tries += len(env.requests[id].attempts)
		if !env.requests[id].ended {
			t.Errorf("request %d not ended", id)
		}
	}
	if tries > 45 {
		t.Errorf("%d attempts for 30 requests while all are refused", tries)
	}
	pay := env.submitRead(100, 100, 3)
	env.runUntil(env.now + 2*time.Second)
	if len(pay.attempts) < 3 {
		t.Errorf("a repayment that never ran got %d attempts", len(pay.attempts))
	}
	env.assertNoViolation()
}

// rejectionStatus is what a cache tells with a refusal: fills find no slot.
func rejectionStatus(request *openRequest) FillStatus {
	if request.Class == 3 {
		return FillStatusUnknown
	}
	return FillStatusNoFillSlot
}
