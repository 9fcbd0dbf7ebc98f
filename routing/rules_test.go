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
	s := testSettings()
	if change != nil {
		change(&s)
	}
	w := newTestEnv(t, s, 1)
	w.updateEndpoints(UpdateCached, testEndpoints(4)...)
	return w
}

func (w *testEnv) submitRead(id uint32, object uint64, class int) *openRequest {
	return w.submit(Request{ID: id, Class: class, Object: object, Group: int(object % 8),
		Deadline: w.now + w.settings.Classes[class].Timeout})
}

func (w *testEnv) assertNoViolation() {
	w.t.Helper()
	if w.violation != "" {
		w.t.Fatal(w.violation)
	}
}

func TestNewNamesTheField(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"services":             func(s *Settings) { s.Classes = nil },
		"zone":                 func(s *Settings) { s.Zone = 3 },
		"ceilings.maxAttempts": func(s *Settings) { s.SiteLimits.MaxAttempts = 0 },
		"guarantees":           func(s *Settings) { s.Guarantees.OverloadWindow = -1 },
		"seatsByZone":          func(s *Settings) { s.Tiers.DirectorsByZone = []int{1} },
		"classFresh":           func(s *Settings) { s.Tiers.FreshnessLifetime = s.Tiers.FreshnessLifetime[:1] },
		"services[1]":          func(s *Settings) { s.Classes[1].LatencyObjective = 0 },
		"familyInfo":           func(s *Settings) { s.Tiers.PurgePropagation = -1 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
	s := testSettings()
	s.Tiers = TierSettings{ParentKind: -1, OriginKind: 2}
	if _, err := New(s, 1); err != nil {
		t.Errorf("optional lists left out: %v", err)
	}
}

func TestUnknownEventIsPassedOver(t *testing.T) {
	w := newSimpleEnv(t, nil)
	for _, ev := range []Event{nil, 7, Outcome{ID: 99}, RequestClosed{ID: 99}, TimerFired{Token: 1<<32 | 99}, StreamStarted{ID: 99},
		PeerMessage{From: 1, Data: []byte("junk")}, ProbeResult{}, EndpointUpdate{Kind: UpdateFull}} {
		if got := w.router.Handle(w.now, ev); len(got) != 0 {
			t.Errorf("%T: actions %v", ev, got)
		}
	}
}

func TestOrdinaryPathFillsFromHubParent(t *testing.T) {
	w := newSimpleEnv(t, nil)
	w.submitRead(1, 42, 0)
	f := w.fetches[0]
	if w.endpoints[f.Host].Kind != 0 || w.endpoints[f.Source].Kind != 1 || f.Flags&OnlyIfCached != 0 {
		t.Fatalf("first attempt %+v", f)
	}
	w.runUntil(w.now + time.Second)
	w.submitRead(2, 42, 0)
	if g := w.fetches[1]; g.Host != f.Host || g.Source != f.Source {
		t.Errorf("same object went to %+v, before to %+v", g, f)
	}
	w.assertNoViolation()
}

// A pick that drains moves to the next cache; until then known holders of the location are the source. A
// sibling that lacks the object sends the retry to the parent.
func TestSiblingFillThenUpATier(t *testing.T) {
	w := newSimpleEnv(t, nil)
	w.submitRead(1, 42, 0)
	first := w.fetches[0].Host
	m := w.endpoints[first]
	w.runUntil(w.now + 100*ms)
	back := m
	back.Weight = 0.0001 // the pick moves away from the holder, which stays in use
	w.updateEndpoints(UpdateDelta, back)
	w.answer = func(w *testEnv, o *openRequest, n int) (Result, FillStatus, time.Duration) {
		if n == 0 {
			return Miss, FillStatusSourceMiss, 10 * ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	w.submitRead(2, 42, 0)
	w.runUntil(w.now + 100*ms)
	if len(w.fetches) != 3 {
		t.Fatalf("sent %+v", w.fetches)
	}
	if s := w.fetches[1]; s.Source != first || s.Flags&OnlyIfCached == 0 {
		t.Errorf("no sibling fill from %d: %+v", first, s)
	}
	if p := w.fetches[2]; w.endpoints[p.Source].Kind != 1 || p.Host != w.fetches[1].Host {
		t.Errorf("the miss did not move up a tier: %+v", p)
	}
	w.assertNoViolation()
}

func TestHolderAgesOut(t *testing.T) {
	w := newSimpleEnv(t, nil)
	w.submitRead(1, 42, 0)
	first := w.fetches[0].Host
	w.runUntil(w.now + siblingHintLifetime + 200*ms)
	m := w.endpoints[first]
	m.Weight = 0.0001
	w.updateEndpoints(UpdateDelta, m)
	w.submitRead(2, 42, 0)
	if s := w.fetches[1]; s.Source == first {
		t.Errorf("a holder older than %v was still believed: %+v", siblingHintLifetime, s)
	}
}

func TestDrainBoundsTargetAndSource(t *testing.T) {
	w := newSimpleEnv(t, nil)
	for id := uint32(1); id <= 40; id++ {
		w.submitRead(id, uint64(id), 0)
	}
	w.runUntil(w.now + 500*ms)
	for _, h := range []Host{hostEdge, hostParent} {
		m := w.endpoints[h]
		m.State = Draining
		w.updateEndpoints(UpdateDelta, m)
	}
	for id := uint32(101); id <= 140; id++ {
		w.submitRead(id, uint64(id-100), 0)
	}
	w.runUntil(w.now + time.Second)
	w.assertNoViolation()
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
			w := newSimpleEnv(t, nil)
			w.purge(tc.purge)
			w.runUntil(w.now + tc.wait)
			w.submitRead(1, 42, tc.class)
			if got := w.fetches[0].MaxAge; got != tc.want {
				t.Errorf("age %v, want %v", got, tc.want)
			}
			w.assertNoViolation()
		})
	}
}

func TestPurgeVoidsHolder(t *testing.T) {
	w := newSimpleEnv(t, nil)
	w.submitRead(1, 42, 0)
	first := w.fetches[0].Host
	w.runUntil(w.now + 100*ms)
	w.purge(Purge{Object: 42, Age: 10 * ms})
	m := w.endpoints[first]
	m.Weight = 0.0001
	w.updateEndpoints(UpdateDelta, m)
	w.submitRead(2, 42, 0)
	if s := w.fetches[1]; s.Source == first {
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
		w := newSimpleEnv(t, nil)
		w.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
			return tc.result, FillStatusUnknown, 10 * ms
		}
		o := w.submitRead(1, 42, tc.class)
		w.runUntil(w.now + 3*time.Second)
		if !o.ended {
			t.Errorf("class %d: not ended", tc.class)
		}
		w.assertNoViolation()
	}
}

// A cache that has fallen silent is left for others by its pace alone, and used again once it answers.
func TestSilentCacheIsShunned(t *testing.T) {
	w := newSimpleEnv(t, nil)
	silent := Host(0)
	w.answer = func(w *testEnv, o *openRequest, n int) (Result, FillStatus, time.Duration) {
		if o.attempts[n].host == silent {
			return OK, FillStatusHit, time.Hour
		}
		return OK, FillStatusHit, 40 * ms
	}
	id := uint32(0)
	step := func(n int) {
		for range n {
			id++
			w.submitRead(id, uint64(id%50), 1)
			w.runUntil(w.now + 20*ms)
		}
	}
	step(200)
	silent = hostEdge
	step(150)
	before := len(w.fetches)
	step(100)
	to := 0
	for _, f := range w.fetches[before:] {
		if f.Host == silent {
			to++
		}
	}
	if to > 5 {
		t.Errorf("a silent cache still got %d of 100 requests", to)
	}
	silent = 0
	step(600)
	before = len(w.fetches)
	step(100)
	to = 0
	for _, f := range w.fetches[before:] {
		if f.Host == hostEdge {
			to++
		}
	}
	if to < 10 {
		t.Errorf("a cache that answers again got only %d of 100 requests", to)
	}
	w.assertNoViolation()
}

func TestMemoryIsBounded(t *testing.T) {
	w := newSimpleEnv(t, nil)
	for i := range 3 * maxTableEntries {
		id := uint32(i + 1)
		w.submitRead(id, uint64(i), 1)
		w.runUntil(w.now + 100*time.Microsecond)
		w.router.Handle(w.now, Purge{Object: uint64(i + 1)})
		delete(w.requests, id-5000)
	}
	w.runUntil(w.now + 5*time.Second)
	for i := range 1000 {
		w.updateEndpoints(UpdateFull, append(testEndpoints(4), Endpoint{Host: Host(10000 + i), Zone: 1, State: Ready, Weight: 1})...)
	}
	if n := len(w.router.currentLocations) + len(w.router.previousLocations); n > 2*maxTableEntries {
		t.Errorf("%d table entries", n)
	}
	if n := len(w.router.purges); n > maxTableEntries {
		t.Errorf("%d purges", n)
	}
	if n := len(w.router.servers); n > 20 {
		t.Errorf("%d servers kept", n)
	}
	if len(w.router.requests) != 0 || len(w.router.attempts) != 0 {
		t.Errorf("%d requests and %d attempts left over", len(w.router.requests), len(w.router.attempts))
	}
}

// TestRulesHold drives routers with seeded legal sequences under varied settings and asserts the five rules.
func TestRulesHold(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := runRandomSequence(t, seed)
			w.assertNoViolation()
			if len(w.fetches) < 200 {
				t.Fatalf("only %d attempts", len(w.fetches))
			}
		})
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(4) {
		if a, b := runRandomSequence(t, seed), runRandomSequence(t, seed); !reflect.DeepEqual(a.actions, b.actions) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

// runRandomSequence plays a minute of random requests, answers, purges, drains and restarts.
func runRandomSequence(t *testing.T, seed uint64) *testEnv {
	s := testSettings()
	s.SiteLimits.HedgingAllowed = seed%2 == 0
	s.SiteLimits.CancelAllowed = seed%3 != 0
	s.Tiers.BypassAllowed = seed%5 != 0
	s.Tiers.CoalescesFills = seed%4 != 0
	s.Tiers.FillStatusReported = []string{"all", "hit", "off"}[seed%3]
	s.Tiers.SiblingFills = []string{"off", "location", "any"}[seed/3%3]
	s.Classes[2].DedupScope = []string{"all", "zone", "cell"}[seed%3]
	w := newTestEnv(t, s, seed)
	rng := w.rng
	list := testEndpoints(4)
	w.updateEndpoints(UpdateCached, list...)
	sick := Host(0)
	w.answer = func(w *testEnv, o *openRequest, n int) (Result, FillStatus, time.Duration) {
		a := o.attempts[n]
		if a.host == sick || a.source == sick {
			return OK, FillStatusFilled, time.Hour
		}
		after := time.Duration(rng.ExpFloat64()*60) * ms
		switch k := rng.IntN(20); {
		case k < 13:
			return OK, FillStatusHit, after
		case k < 15:
			return OK, FillStatusFilled, 2 * after
		case k == 15:
			return Miss, FillStatusSourceMiss, after
		case k == 16:
			return Rejected, []FillStatus{FillStatusUnknown, FillStatusSourceRejected, FillStatusSourceUnreachable, FillStatusNoFillSlot}[rng.IntN(4)], after
		case k == 17:
			return []Result{Errored, ConnectFailed, Reset}[rng.IntN(3)], FillStatusUnknown, after
		}
		return OK, FillStatusHit, 20 * after
	}
	for id := uint32(1); id <= 3000; id++ {
		class := []int{0, 1, 0, 1, 1, 2, 3}[rng.IntN(7)]
		object := uint64(rng.ExpFloat64() * 40)
		give := time.Duration(float64(s.Classes[class].Timeout) * (0.3 + 0.7*rng.Float64()))
		w.submit(Request{ID: id, Class: class, Object: object + 1, Group: int(object % 8), Deadline: w.now + give})
		w.runUntil(w.now + time.Duration(rng.ExpFloat64()*20)*ms)
		switch k := rng.IntN(300); {
		case k < 4:
			w.purge(Purge{Object: object + 1, Group: int(object % 8), Age: time.Duration(rng.IntN(400)) * ms})
		case k == 4:
			w.purge(Purge{Group: rng.IntN(8), Age: time.Duration(rng.IntN(400)) * ms})
		case k < 8:
			m := list[1+rng.IntN(6)]
			m.State = []State{Draining, Gone, Ready}[rng.IntN(3)]
			w.updateEndpoints(UpdateDelta, m)
		case k < 10:
			m := list[1+rng.IntN(6)]
			m.Started, m.State = w.now-time.Duration(rng.IntN(2000))*ms, Ready
			w.updateEndpoints(UpdateDelta, m)
		case k == 10:
			sick = list[rng.IntN(7)].Host
		case k == 11:
			sick = 0
		case k == 12:
			w.updateEndpoints(UpdateFull, list...)
		case k == 13:
			w.handle(EndpointUpdate{Kind: UpdateFailed})
		case k == 14 && !w.requests[id].ended:
			w.requests[id].ended = true
			w.handle(RequestClosed{ID: id})
		}
	}
	w.runUntil(w.now + 10*time.Second)
	return w
}

// Found in the first incidents: requests turned away as full went on at once to the next cache, which doubled
// fills and load in a jam. They must wait, and come back to the same cache.
func TestFullMakesTheRequestWait(t *testing.T) {
	w := newSimpleEnv(t, nil)
	w.answer = func(w *testEnv, o *openRequest, n int) (Result, FillStatus, time.Duration) {
		if n == 0 {
			return Rejected, FillStatusNoFillSlot, ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	w.submitRead(1, 42, 0)
	w.runUntil(w.now + 20*ms)
	if len(w.fetches) != 1 {
		t.Fatalf("sent again at once: %+v", w.fetches)
	}
	w.runUntil(w.now + time.Second)
	if len(w.fetches) != 2 || w.fetches[1].Host != w.fetches[0].Host {
		t.Errorf("sent %+v", w.fetches)
	}
	w.assertNoViolation()
}

// Found in the first incidents: a crowded link ends many transfers late and at once; its caches were ejected as
// silent though they were only busy. No cache is ejected for being late.
func TestBusyIsNotSilent(t *testing.T) {
	w := newSimpleEnv(t, nil)
	w.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
		return OK, FillStatusHit, 400 * ms
	}
	for id := uint32(1); id <= 400; id++ {
		w.submitRead(id, uint64(id), 0)
		if id%40 == 0 { // forty at once, all answered 700 ms later, nothing in between
			w.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
				return OK, FillStatusFilled, 700 * ms
			}
			w.runUntil(w.now + 800*ms)
		}
	}
	w.runUntil(w.now + time.Second)
	for _, a := range w.actions {
		if l, ok := a.(Log); ok {
			t.Errorf("log: %s", l.Message)
		}
	}
	w.assertNoViolation()
}

// Found in the first incidents: in overload all answers came late. The excess must wait and be refused early.
func TestLateAnswersLowerTheCrowd(t *testing.T) {
	w := newSimpleEnv(t, nil)
	w.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
		return OK, FillStatusHit, 1900 * ms
	}
	most := 0
	for id := uint32(1); id <= 3000; id++ {
		w.submitRead(id, uint64(id%40), 1)
		w.runUntil(w.now + 4*ms)
		if out := len(w.router.attempts); id > 2000 {
			most = max(most, out)
		}
	}
	if most > 200 { // without limits, 1.9 s of 250 requests a second are out
		t.Errorf("%d attempts out though all answers are late", most)
	}
	refused := 0
	for _, a := range w.actions {
		if _, ok := a.(Reject); ok {
			refused++
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
	w.assertNoViolation()
}

// Found on slow-origin days: hits that other routers' traffic had made were refused with the fills.
func TestBeyondTheFillLimitAsksForWhatIsHeld(t *testing.T) {
	w := newSimpleEnv(t, nil)
	for _, s := range w.router.upstreams {
		s.asSource.concurrencyLimit = overload.NewConcurrencyLimit(w.router.now, 1e-9)
	}
	w.answer = func(w *testEnv, o *openRequest, n int) (Result, FillStatus, time.Duration) {
		if o.Object == 42 {
			return OK, FillStatusHit, 10 * ms
		}
		return Miss, FillStatusCoalesced, ms
	}
	w.submitRead(1, 42, 0)
	if f := w.fetches[0]; f.Source != f.Host {
		t.Errorf("a fill beyond the limit: %+v", f)
	}
	held := w.submitRead(2, 43, 0)
	w.runUntil(w.now + 5*ms)
	if len(w.fetches) != 2 || held.ended {
		t.Errorf("%d attempts, ended %v: a fill beyond the limit must wait", len(w.fetches), held.ended)
	}
	w.assertNoViolation()
}

// Found on join+mass: with each director's few fills queued at the origin, all were late for seconds. A long wait
// there keeps most fills from it, at once and for all parents; what parents hold still comes, and what must not be
// kept goes to the origin as ever.
func TestCrowdedOriginIsAskedBySome(t *testing.T) {
	w := newSimpleEnv(t, func(s *Settings) { s.Directors = 300 })
	w.answer = func(w *testEnv, o *openRequest, n int) (Result, FillStatus, time.Duration) {
		return OK, FillStatusFilledByOrigin, 100 * ms
	}
	w.router.originShield.RecordAnswer(w.now, w.now, true)
	for id := uint32(2); id < 202; id++ {
		w.submitRead(id, uint64(id), 1)
	}
	peeks := 0
	for _, f := range w.fetches {
		if f.Flags&OnlyIfCached != 0 {
			peeks++
		}
		if w.endpoints[f.Source].Kind != 1 {
			t.Fatalf("a fill past the parents: %+v", f)
		}
	}
	if n := len(w.fetches); n != 200 || peeks < 110 || peeks > 170 { // seven in ten
		t.Errorf("%d of %d fills ask parents only for what they hold", peeks, n)
	}
	w.runUntil(w.now + 200*ms)
	w.router.originShield.RecordAnswer(w.now, w.now, true)
	w.answer = func(w *testEnv, o *openRequest, n int) (Result, FillStatus, time.Duration) {
		return Miss, FillStatusSourceMiss, 10 * ms
	}
	refused, stale := 0, 0
	for id := uint32(301); id <= 500; id++ {
		class := int(id) % 2 // of these, the second's copies may be served past their fresh time
		o := w.submitRead(id, uint64(id), class)
		w.runUntil(w.now + 25*ms)
		if !o.ended {
			continue
		}
		var last Fetch
		for _, f := range w.fetches {
			if f.ID == id {
				last = f
			}
		}
		if last.Source == last.Host && last.MaxAge == 18*time.Second {
			stale++
		} else if class == 1 {
			t.Errorf("%d: refused without a look for a copy in its grace: %+v", id, last)
		}
		if len(o.attempts) == 1+class { // with one look at the parent, and no wait
			refused++
		}
	}
	if refused < 100 || refused > 180 || stale < 50 || stale > 90 {
		t.Errorf("%d of 200 that only the origin has were refused at once, %d behind a look for a stale copy", refused, stale)
	}
	pay := len(w.actions)
	w.submit(Request{ID: 999, Class: 3, Object: 7, Deadline: w.now + time.Second})
	if _, ok := w.actions[pay].(Forward); !ok {
		t.Errorf("a write was kept from the origin: %+v", w.actions[pay])
	}
	w.assertNoViolation()
}

// Found after flushes: holders voided by a purge were still counted as holders, so fills passed for hits.
func TestPurgedHolderIsNoHolder(t *testing.T) {
	w := newSimpleEnv(t, nil)
	o := w.submitRead(1, 42, 0)
	w.runUntil(w.now + 100*ms)
	target := w.router.servers[w.fetches[0].Host]
	r := &requestState{Request: o.Request, location: w.router.recordUse(objectKey{o.Object, o.Part})}
	if w.router.isLikelyFill(r, target) {
		t.Error("a holder counts as none")
	}
	w.purge(Purge{Group: int(o.Group), Age: ms})
	if !w.router.isLikelyFill(r, target) {
		t.Error("a purged holder counts as holder")
	}
}

// Found by reading: a parent once ejected was never readmitted as a source.
func TestEjectedParentIsLookedAtAndReadmitted(t *testing.T) {
	w := newSimpleEnv(t, func(s *Settings) { s.Tiers.BypassAllowed = false })
	down := true
	w.answer = func(w *testEnv, o *openRequest, n int) (Result, FillStatus, time.Duration) {
		src := o.attempts[n].source
		switch {
		case src == hostParent && down:
			return Rejected, FillStatusSourceUnreachable, 300 * ms
		case w.fetches[len(w.fetches)-1].Flags&OnlyIfCached != 0:
			return Miss, FillStatusSourceMiss, 5 * ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	id := uint32(0)
	step := func(n int) {
		for range n {
			id++
			w.submitRead(id, uint64(id)*7919, 0)
			w.runUntil(w.now + 20*ms)
		}
	}
	step(100)
	if !w.router.servers[hostParent].ejected {
		t.Fatal("an unreachable parent was not ejected")
	}
	down = false
	step(500)
	if w.router.servers[hostParent].ejected {
		t.Error("a parent that is back was not readmitted")
	}
	w.assertNoViolation()
}

// Far masters are asked only when no parent is up, peers may talk and caches elsewhere may be sources.
func TestFarMasters(t *testing.T) {
	far := func(s *Settings) { s.SiteLimits.PeerMessagesAllowed, s.Tiers.SiblingFills = true, "any" }
	w := newSimpleEnv(t, far)
	w.submitRead(1, 42, 0)
	if len(w.fetches) != 1 {
		t.Fatal("masters were asked though parents are up")
	}
	for _, p := range []Host{hostParent, hostParent + 1} {
		m := w.endpoints[p]
		m.State = Draining
		w.updateEndpoints(UpdateDelta, m)
	}
	w.actions = nil
	w.submitRead(2, 43, 0)
	var query []byte
	for _, a := range w.actions {
		if m, ok := a.(SendPeerMessage); ok {
			query = m.Data
		}
	}
	if len(query) == 0 || len(query) > 256 || len(w.fetches) != 1 {
		t.Fatalf("actions %v", w.actions)
	}
	for i := range query {
		w.handle(PeerMessage{From: 1, Data: query[:i]}) // garbage is passed over
	}
	key := objectKey{43, 0}
	w.handle(PeerMessage{From: 1, Data: locationMessage{locationReply, 2, key, 700}.encode()})
	if f := w.fetches[1]; f.Source != 700 || f.Flags&OnlyIfCached == 0 {
		t.Errorf("not filled from the far cache: %+v", f)
	}
	w.submitRead(3, 44, 0) // nobody answers: after the aim, the origin
	w.runUntil(w.now + 600*ms)
	if f := w.fetches[2]; f.Source != hostOrigin {
		t.Errorf("not filled from the origin: %+v", f)
	}

	m := newSimpleEnv(t, far)
	m.submitRead(1, 43, 0)
	m.runUntil(m.now + 100*ms)
	m.actions = nil
	m.handle(PeerMessage{From: 1, Data: locationMessage{locationQuery, 2, key, 0}.encode()})
	want := SendPeerMessage{To: 1, Data: locationMessage{locationReply, 1, key, m.fetches[0].Host}.encode()}
	if !reflect.DeepEqual(m.actions, []Action{want}) {
		t.Errorf("answered %v, want %v", m.actions, want)
	}
	w.assertNoViolation()
}

// Where discovery must be asked, a router subscribes at its start and again after a failure.
func TestSubscribesAgainAfterFailure(t *testing.T) {
	w := newSimpleEnv(t, func(s *Settings) { s.DiscoveryMode = "subscribe" })
	count := func() (n int) {
		for _, a := range w.actions {
			if s, ok := a.(Subscribe); ok && s.Enabled {
				n++
			}
		}
		return n
	}
	if count() != 1 {
		t.Fatalf("%d subscriptions at the start", count())
	}
	w.handle(EndpointUpdate{Kind: UpdateFailed})
	w.runUntil(w.now + w.settings.Guarantees.PollWithin/2)
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
			w := newTestEnv(t, testSettings(), 1)
			w.updateEndpoints(UpdateCached, list...)
			for id := uint32(1); id < 40; id++ {
				w.submitRead(id, uint64(id), int(id%2))
			}
			w.runUntil(w.now + 6*time.Second)
			w.assertNoViolation()
			if len(list) > 0 && !w.requests[1].ended {
				t.Error("not ended")
			}
		})
	}
}

// Once a second copy may not be out, and what must not run twice does not: break each check of the gate and this
// test fails.
func TestGateRefuses(t *testing.T) {
	w := newSimpleEnv(t, nil)
	r := &requestState{Request: Request{ID: 1, Deadline: w.now + time.Second}, location: &contentLocation{}}
	w.router.requests[1] = r
	edgeA, par, org := w.router.servers[hostEdge], w.router.servers[hostParent], w.router.servers[hostOrigin]
	w.router.now = w.now
	for name, f := range map[string]func() func(){
		"drain of target":  func() func() { edgeA.State = Draining; return func() { edgeA.State = Ready } },
		"drain of source":  func() func() { par.State = Draining; return func() { par.State = Ready } },
		"gone source":      func() func() { par.listed = false; return func() { par.listed = true } },
		"second copy":      func() func() { r.inFlight = 1; return func() { r.inFlight = 0 } },
		"over":             func() func() { r.Deadline = w.now; return func() { r.Deadline += time.Second } },
		"stream":           func() func() { r.streaming = true; return func() { r.streaming = false } },
		"attempts used up": func() func() { r.attempts = make([]*attemptState, 5); return func() { r.attempts = nil } },
		"unsafe may have run": func() func() {
			r.Class, r.attempts = 3, []*attemptState{{target: org, mayHaveExecuted: true}}
			return func() { r.Class, r.attempts = 0, nil }
		},
		"keyed beyond its window": func() func() {
			r.Class, r.attempts = 2, []*attemptState{{target: edgeA, mayHaveExecuted: true, sentAt: w.now - time.Second}}
			return func() { r.Class, r.attempts = 0, nil }
		},
		"keyed beyond its group": func() func() {
			r.Class, r.attempts = 2, []*attemptState{{target: org, mayHaveExecuted: true, sentAt: w.now}}
			return func() { r.Class, r.attempts = 0, nil }
		},
		"cold target": func() func() {
			edgeA.warmingUpSince, edgeA.slowStartBucket = w.now, exhaustedBucket(w.now)
			return func() { edgeA.warmingUpSince, edgeA.slowStartBucket = 0, overload.TokenBucket{} }
		},
		"cold source": func() func() {
			par.warmingUpSince, par.slowStartBucket = w.now, exhaustedBucket(w.now)
			return func() { par.warmingUpSince, par.slowStartBucket = 0, overload.TokenBucket{} }
		},
	} {
		undo := f()
		if w.router.send(r, edgeA, par) {
			t.Errorf("%s: an attempt left", name)
			r.attempts, r.inFlight = nil, 0
		}
		undo()
	}
	if !w.router.send(r, edgeA, par) {
		t.Error("a permitted attempt did not leave")
	}
}

// Directors that are started anew know of a cold cache from their list, and nothing of what they sent it before, nor of
// how long an object takes: all of them together must not begin their shares again. What reaches the cache in the time
// of a fall stays within its budget of N calls and chance, where N is far smaller than the number of directors.
func TestRestartedRoutersDoNotBeginTheirSharesAgain(t *testing.T) {
	for _, seats := range []int{30, 300} {
		for seed := range uint64(5) {
			s := testSettings()
			s.Directors, s.Tiers.DirectorsByZone, s.Tiers.TransferKBPerSecond = seats, []int{0, seats, 0}, 1000
			s.Classes[0].LatencyObjective, s.Classes[1].LatencyObjective = 400*ms, 250*ms
			const size, weight = 500.0, 20.0 // an object takes 0.5 s, about as long as the aim
			start := 100 * time.Second
			now := start + time.Second
			var routers []*Router
			for i := range uint64(seats) {
				r, err := New(s, seed*1000+i)
				if err != nil {
					t.Fatal(err)
				}
				list := testEndpoints(3)
				for j := range list {
					if list[j].Host == hostEdge {
						list[j].Started, list[j].Weight = start, weight
					}
				}
				r.Handle(now, EndpointUpdate{Kind: UpdateCached, Endpoints: list})
				routers = append(routers, r)
			}
			var calls []Time
			for step := range 60 {
				for i, r := range routers {
					id := uint32(step*seats + i + 1)
					for _, a := range r.Handle(now, Request{ID: id, Object: uint64(id), Deadline: now + 4*time.Second, SizeKB: size}) {
						if f, ok := a.(Fetch); ok && f.Host == hostEdge {
							calls = append(calls, now)
						}
					}
				}
				now += s.Guarantees.OverloadWindow / 10
			}
			worst := 0.0
			for i, at := range calls {
				n := 0
				for _, b := range calls[i:] {
					if b < at+s.Guarantees.OverloadWindow {
						n++
					}
				}
				g := s.Guarantees
				share := g.SlowStartFraction + (1-g.SlowStartFraction)*float64(at-start)/float64(g.SlowStartDuration)
				allowed := g.OverloadMultiple * share * weight * g.OverloadWindow.Seconds() / (size / 1000)
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
	for _, c := range []struct {
		copies bool
		result Result
		atOnce bool
	}{{false, Cancelled, false}, {false, Reset, false}, {false, TimedOut, false}, {true, Cancelled, true}, {true, Reset, true},
		{false, ConnectFailed, true}, {false, Abandoned, true}, {false, Errored, true}, {true, Unreachable, true}, {true, LocalResourcesExhausted, false}} {
		w := newSimpleEnv(t, func(s *Settings) { s.SiteLimits.HedgingAllowed = c.copies })
		w.router.Handle(w.now, Request{ID: 900, Object: 42, Deadline: w.now + 4*time.Second})
		a := w.router.requests[900].attempts[0]
		left := func(acts []Action) bool {
			return slices.ContainsFunc(acts, func(a Action) bool { _, ok := a.(Fetch); return ok })
		}
		w.now += 20 * ms
		if got := left(w.router.Handle(w.now, Outcome{ID: 900, Host: a.target.Host, Result: c.result, Elapsed: 20 * ms})); got != c.atOnce {
			t.Errorf("second copies %v, %v: the next attempt left at once %v, want %v", c.copies, c.result, got, c.atOnce)
		}
		if c.atOnce {
			continue
		}
		w.now += 2 * minPostponement
		if !left(w.router.Handle(w.now, TimerFired{Token: requestTimer | 900})) {
			t.Errorf("second copies %v, %v: no further attempt", c.copies, c.result)
		}
	}
}

// A repeat of a keyed request must have been written, with room for the way, before the window of the first attempt that
// may have run has ended; the window is counted from that attempt, not from a later one, and not from one that
// provably never ran.
func TestRepeatIsBoundToTheFirstWindow(t *testing.T) {
	w := newSimpleEnv(t, nil)
	edgeA, org := w.router.servers[hostEdge], w.router.servers[hostOrigin]
	r := &requestState{Request: Request{ID: 1, Class: 2, Deadline: w.now + 2*time.Second}, uncacheable: true, location: &contentLocation{},
		attempts: []*attemptState{{target: edgeA, sentAt: w.now - 900*ms},
			{target: edgeA, sentAt: w.now - 300*ms, mayHaveExecuted: true}, {target: edgeA, sentAt: w.now - 100*ms, mayHaveExecuted: true}}}
	w.router.requests[1], w.router.now, w.router.actions = r, w.now, nil
	if !w.router.send(r, edgeA, org) {
		t.Fatal("a repeat inside its window did not leave")
	}
	var before Time
	for _, a := range w.router.actions {
		if f, ok := a.(Fetch); ok {
			before = f.IdempotencyWindowEnd
		}
	}
	if want := w.now + 650*ms; before != want {
		t.Errorf("to be written within %v, want %v", before-w.now, want-w.now)
	}
	w.router.now = before
	if w.router.maySend(r, edgeA) {
		t.Error("a repeat may leave with no room for the way")
	}
	r.Class, r.attempts = 0, nil
	if w.router.maySend(r, edgeA); r.idempotencyWindowEnd != 0 {
		t.Error("a read is bound to a window")
	}
}

// Found by hunt on a slow-origin day: fills that hang filled the cache's limit and shut out hits.
func TestHangingFillsDoNotShutOutHits(t *testing.T) {
	w := newSimpleEnv(t, func(s *Settings) { s.Tiers.BypassAllowed = false })
	w.submitRead(1, 42, 0)
	w.runUntil(w.now + 100*ms) // a holder of 42 is known
	s := w.router.servers[w.fetches[0].Host]
	w.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
		return OK, FillStatusFilled, 3 * time.Second
	}
	for id := uint32(10); id < 30; id++ {
		w.submitRead(id, uint64(id), 0)
	}
	if s.asTarget.inFlightWork > 1e-9 {
		t.Errorf("%.1f s of fills count on the cache", s.asTarget.inFlightWork)
	}
	s.asTarget.concurrencyLimit, s.asTarget.inFlightWork = overload.NewConcurrencyLimit(w.router.now, 4), 4
	n := len(w.fetches)
	if w.submitRead(2, 42, 0); len(w.fetches) != n+1 || w.fetches[n].Host != s.Host {
		t.Errorf("a hit was held back: %+v", w.fetches[n:])
	}
	for id, n := uint32(130), len(w.fetches); id < 160; id++ {
		if w.submitRead(id, uint64(id), 0); len(w.fetches) > n && w.fetches[len(w.fetches)-1].Host == s.Host {
			t.Fatalf("a fill went to a cache at its limit: %+v", w.fetches[len(w.fetches)-1])
		}
	}
}

// Found on a drawn day at full size: told of a start at once, every router of the location sent its first large
// request to the cold cache in the same second, and it fell over. The sum over all of them must stay in the budget.
func TestManyRoutersSpareAColdCache(t *testing.T) {
	const seats = 40
	for seed := range uint64(5) {
		s := testSettings()
		s.Directors, s.Tiers.DirectorsByZone, s.SiteLimits.MaxAttempts = seats, []int{0, seats, 0}, 1
		now, sum, start := 100*time.Second, 0.0, 100*time.Second
		var routers []*Router
		for i := range uint64(seats) {
			r, err := New(s, seed*1000+i)
			if err != nil {
				t.Fatal(err)
			}
			list := testEndpoints(4)
			for j := range list {
				if list[j].Host >= hostEdge && list[j].Host < hostEdge+4 {
					list[j].Started = start
				}
			}
			r.Handle(now, EndpointUpdate{Kind: UpdateCached, Endpoints: list})
			routers = append(routers, r)
		}
		work := routers[0].classes[0].work.Value
		for step := range 10 {
			for i, r := range routers {
				id := uint32(step*seats + i + 1)
				for _, a := range r.Handle(now, Request{ID: id, Object: uint64(id), Deadline: now + 4*time.Second}) {
					if f, ok := a.(Fetch); ok && f.Host == hostEdge {
						sum += work
					}
				}
			}
			now += s.Guarantees.OverloadWindow / 10
		}
		share := s.Guarantees.SlowStartFraction
		if allowed := s.Guarantees.OverloadMultiple * share * 6 * s.Guarantees.OverloadWindow.Seconds(); sum > allowed {
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
		w := newSimpleEnv(t, nil)
		w.answer = func(w *testEnv, o *openRequest, n int) (Result, FillStatus, time.Duration) {
			if o.attempts[n].host == hostEdge {
				return OK, FillStatusHit, time.Duration(40*tc.slower) * ms
			}
			return OK, FillStatusHit, 40 * ms
		}
		to := 0
		for id := uint32(1); id <= 800; id++ {
			n := len(w.fetches)
			w.submitRead(id, uint64(id%101), 1)
			if id > 400 && w.fetches[n].Host == hostEdge {
				to++
			}
			w.runUntil(w.now + 20*ms)
		}
		if to < tc.min || to > tc.max {
			t.Errorf("%d times slower: %d of 400 requests, want %d to %d", tc.slower, to, tc.min, tc.max)
		}
		w.assertNoViolation()
	}
}

// What all caches share, such as a slow origin, moves no object for long.
func TestSharedSlownessMovesNothing(t *testing.T) {
	w := newSimpleEnv(t, nil)
	took := 40 * ms
	w.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) { return OK, FillStatusHit, took }
	picks := map[uint64]Host{}
	for id := uint32(1); id <= 800; id++ {
		if id == 400 {
			took = 200 * ms
		}
		n := len(w.fetches)
		w.submitRead(id, uint64(id%40), 1)
		if was := picks[uint64(id%40)]; id > 700 && was != w.fetches[n].Host {
			t.Errorf("object %d moved from %d to %d", id%40, was, w.fetches[n].Host)
		}
		if id > 300 && id < 400 {
			picks[uint64(id%40)] = w.fetches[n].Host
		}
		w.runUntil(w.now + 20*ms)
	}
	w.assertNoViolation()
}

// Found at full size: limits were kept at caches, though the parent was what was late.
func TestParentAtItsLimitIsPassedOver(t *testing.T) {
	w := newSimpleEnv(t, nil)
	w.submitRead(1, 42, 0)
	first := w.router.servers[w.fetches[0].Source]
	first.asSource.concurrencyLimit, first.asSource.inFlightWork = overload.NewConcurrencyLimit(w.router.now, 1), 1
	w.purge(Purge{Object: 42}) // so that it is a likely fill again
	w.submitRead(2, 42, 0)
	if f := w.fetches[1]; f.Source == first.Host || w.endpoints[f.Source].Kind != 1 || f.Host != w.fetches[0].Host {
		t.Errorf("not filled from the next parent: %+v", f)
	}
	w.assertNoViolation()
}

// Found on ageing days: requests waited for slow caches though links and parents had room. Nothing goes straight where
// the site does not allow it.
func TestFullCacheIsBypassed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		w := newSimpleEnv(t, func(s *Settings) { s.Tiers.BypassAllowed = allowed })
		for _, s := range w.router.localCaches {
			s.asTarget.concurrencyLimit, s.asTarget.inFlightWork = overload.NewConcurrencyLimit(w.router.now, 1), 1
		}
		w.submitRead(1, 42, 0)
		if straight := len(w.fetches) == 1 && w.endpoints[w.fetches[0].Host].Kind == 1; straight != allowed {
			t.Errorf("allowed %v: sent %+v", allowed, w.fetches)
		}
		for _, s := range w.router.localCaches {
			s.ejected, s.probeAfter = true, w.now+time.Hour
		}
		n := len(w.fetches)
		w.submitRead(2, 43, 0)
		if left := len(w.fetches) > n; left != allowed {
			t.Errorf("all out, allowed %v: sent %+v", allowed, w.fetches[n:])
		}
		w.assertNoViolation()
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
		w := newSimpleEnv(t, nil)
		p := w.router.servers[hostParent]
		for range tc.fails {
			w.router.recordHealth(&attemptState{target: w.router.servers[hostEdge], source: p},
				Outcome{Result: Rejected, FillStatus: FillStatusSourceUnreachable, SourceWait: tc.waited})
		}
		if p.ejected != tc.want {
			t.Errorf("%d failures after %v: ejected %v", tc.fails, tc.waited, p.ejected)
		}
	}
}

// Found on sockets: one answer in a hundred arrives spoilt and ends its connection. Ejecting the cache for it
// crowded the others of its location, and so did taking some in a row for its death on a day on which idle
// connections are reset under requests. A dead one refuses the next connection.
func TestResetsDoNotEject(t *testing.T) {
	w := newSimpleEnv(t, nil)
	s := w.router.servers[hostEdge]
	for range 10 {
		w.router.recordHealth(&attemptState{target: s}, Outcome{Result: Reset})
	}
	if s.ejected {
		t.Error("ejected for resets")
	}
	w.router.recordHealth(&attemptState{target: s}, Outcome{Result: ConnectFailed})
	if !s.ejected {
		t.Error("not ejected for a connect that failed")
	}
	backoff := s.ejectionBackoff
	w.now, w.router.now = s.probeAfter, s.probeAfter
	w.router.recordHealth(&attemptState{target: s, halfOpenProbe: true}, Outcome{Result: Reset})
	if s.ejectionBackoff <= backoff {
		t.Error("a look that was reset does not keep it out for longer")
	}
}

// Found on sockets: the origin stopped for seconds, and fills that were taken for hits ran out of time with it. The
// caches' limits came down for that, and healthy caches refused hits. Who has answered since is not to blame.
func TestTimeOutBlamesWhoIsSilent(t *testing.T) {
	for _, speaks := range []bool{true, false} {
		w := newSimpleEnv(t, nil)
		cache, src := w.router.servers[hostEdge], w.router.servers[hostParent]
		if speaks {
			cache.lastAnswerAsTarget = 20
		}
		w.router.adjustLimit(&attemptState{target: cache, source: src, sentAt: 10, work: 0.1}, Outcome{Result: TimedOut})
		if blamed := !math.IsInf(cache.asTarget.concurrencyLimit.Value(w.router.now), 1); blamed == speaks {
			t.Errorf("the cache speaks: %v, and is blamed: %v", speaks, blamed)
		}
		if blamed := !math.IsInf(src.asSource.concurrencyLimit.Value(w.router.now), 1); blamed != speaks {
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
		{"silent way", func(_ *testEnv, r *requestState) { attributedLoad(r).lastTimelySentAt = 0 }, 0, 0},
		{"crowd", func(w *testEnv, r *requestState) {
			r.attempts[0].target.asTarget.concurrencyLimit = overload.NewConcurrencyLimit(w.router.now, 1e-6)
		}, 0, 0},
		{"none saved up", func(w *testEnv, _ *requestState) { w.router.hedgeTokens = 0 }, 0, 0},
		{"unsafe", func(*testEnv, *requestState) {}, 3, 0},
	} {
		w := newSimpleEnv(t, func(s *Settings) { s.SiteLimits.HedgingAllowed, s.Tiers.BypassAllowed = true, false })
		w.submitRead(1, 42, tc.class)
		r := w.router.requests[1]
		w.router.hedgeTokens = maxHedgeTokens
		r.Deadline = w.router.now + time.Minute
		attributedLoad(r).lastTimelySentAt = r.attempts[0].sentAt + 1
		tc.change(w, r)
		w.router.now += 10 * ms
		w.router.actions = w.router.actions[:0]
		w.router.hedge(r.attempts[0])
		if len(w.router.actions) > 0 {
			t.Errorf("%s: asked again when not overdue: %v", tc.name, w.router.actions)
		}
		for range maxHedgesPerRequest + 2 {
			w.router.now += 10 * time.Second
			last := r.attempts[len(r.attempts)-1]
			if last.number > 0 {
				last.target.asTarget.lastTimelySentAt = last.sentAt + 1
			}
			for range 2 { // a tick sees all that is out
				for _, a := range r.attempts {
					w.router.hedge(a)
				}
			}
		}
		if got := len(w.router.actions); got != tc.want {
			t.Errorf("%s: %d copies, want %d: %v", tc.name, got, tc.want, w.router.actions)
		}
		for _, a := range w.router.actions {
			if f, ok := a.(Fetch); !ok || f.Source != f.Host || f.Host != r.attempts[0].target.Host {
				t.Errorf("%s: asked again as %v, want the same cache for what it holds", tc.name, a)
			}
		}
	}
}

// attributedLoad is the side that a request's first attempt counts on.
func attributedLoad(r *requestState) *roleLoad {
	_, s := attributedTo(r.attempts[0])
	return s
}

// A copy that brings the answer earns more than it cost, so that losses pay for their own copies; one that comes
// behind the first answer earns nothing, so that a crowd ends them.
func TestCopiesThatBringTheAnswerEarnTheNext(t *testing.T) {
	for first, want := range map[int]float64{0: maxHedgeTokens - 2, 1: maxHedgeTokens - 2 + hedgeTokensPerWin} {
		w := newSimpleEnv(t, func(s *Settings) { s.SiteLimits.HedgingAllowed, s.Tiers.BypassAllowed = true, false })
		w.submitRead(1, 42, 0)
		r := w.router.requests[1]
		r.Deadline = w.router.now + time.Minute
		attributedLoad(r).lastTimelySentAt = r.attempts[0].sentAt + 1
		w.router.hedgeTokens = maxHedgeTokens - 1
		w.router.now += 10 * time.Second
		w.router.hedge(r.attempts[0])
		if len(r.attempts) != 2 {
			t.Fatal("not asked again")
		}
		w.router.handleOutcome(Outcome{ID: 1, Attempt: first, Result: OK, RequestDone: true})
		w.router.handleOutcome(Outcome{ID: 1, Attempt: 1 - first, Result: OK, RequestDone: true})
		if w.router.hedgeTokens != want {
			t.Errorf("the answer came with attempt %d: %v copies left, want %v", first, w.router.hedgeTokens, want)
		}
	}
}

// Found on the day wide: each answer that was lost took a fifth off a limit, until hits were refused beside a cache
// that had room. What is lost is no crowd; what is late with all the others is.
func TestNoLimitComesDownForWhatIsLost(t *testing.T) {
	for _, lost := range []bool{true, false} {
		w := newSimpleEnv(t, nil)
		w.submitRead(1, 42, 0)
		r := w.router.requests[1]
		if lost {
			attributedLoad(r).lastTimelySentAt = r.attempts[0].sentAt + 1
		}
		w.router.now += 10 * time.Second
		w.router.adjustLimit(r.attempts[0], Outcome{Result: TimedOut, Elapsed: 10 * time.Second})
		limits := 0
		for _, s := range w.router.orderedServers {
			for _, x := range []*roleLoad{&s.asTarget, &s.asSource} {
				if !math.IsInf(x.concurrencyLimit.Value(w.router.now), 1) {
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
		w := newSimpleEnv(t, func(s *Settings) { s.Tiers.BypassAllowed = false })
		w.router.rank(w.router.localCaches, 42)
		first, next := w.router.localCaches[0], w.router.localCaches[1]
		for i, c := range w.router.localCaches {
			c.asTarget.concurrencyLimit = overload.NewConcurrencyLimit(w.router.now, 8)
			if c.asTarget.inFlightWork = 8; i == 1 {
				c.asTarget.inFlightWork = tc.load
			}
		}
		n := len(w.actions)
		w.submitRead(1, 42, 1)
		sent := false
		for _, a := range w.actions[n:] {
			if f, ok := a.(Fetch); ok {
				sent = true
				if f.Host != next.Host {
					t.Errorf("load %v: sent to %x, want %x, the next behind %x", tc.load, f.Host, next.Host, first.Host)
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
		w := newSimpleEnv(t, nil)
		cache, src := w.router.servers[hostEdge], w.router.servers[hostParent]
		w.router.adjustLimit(&attemptState{target: cache, work: 0.1, latencyObjective: 650 * ms}, Outcome{Result: OK, FillStatus: FillStatusHit, Elapsed: tc.hitsAfter})
		before := cache.asTarget.concurrencyLimit.Value(w.router.now)
		w.router.adjustLimit(&attemptState{target: cache, source: src, likelyFill: true, work: 0.1, latencyObjective: 650 * ms},
			Outcome{Result: OK, FillStatus: FillStatusFilledByOrigin, Elapsed: 10 * time.Second, SourceWait: tc.waited})
		if down := cache.asTarget.concurrencyLimit.Value(w.router.now) < before; down != tc.cache {
			t.Errorf("%s: cache blamed: %v, want %v", tc.name, down, tc.cache)
		}
		if down := !math.IsInf(src.asSource.concurrencyLimit.Value(w.router.now), 1); down == tc.cache {
			t.Errorf("%s: source blamed: %v, want %v", tc.name, down, !tc.cache)
		}
	}
}

// Found on the day fleet: of 33 fills from a sibling that had become slow, 13 timed out and 20 took fifteen times
// as long as their size asked. It goes on serving hits at its own pace, but is no source; a parent is.
func TestSlowSiblingFillsNothing(t *testing.T) {
	for _, slow := range []bool{false, true} {
		w := newSimpleEnv(t, nil)
		w.router.rank(w.router.localCaches, 42)
		other := w.router.localCaches[1]
		r := &requestState{Request: Request{Object: 42, Group: 2}, location: &contentLocation{}}
		r.location.hints[0] = locationHint{other, w.router.now}
		if slow {
			other.logLatencyRatio = w.router.baselineLogLatencyRatio + latencyRatioTolerance + 0.1
		}
		if got := w.router.siblingSource(r, w.router.localCaches[0]); (got == nil) != slow {
			t.Errorf("slow: %v, and the sibling is %v", slow, got)
		}
	}
}

// Found on the day fleet: a crowd of a hundred late answers took a fifth off a limit each, so that a healthy cache got
// 14 requests a second instead of 70 until its limit had grown again. A crowd lowers it to a part of the load beside
// which its answers would have been in time; one that is still late at that load lowers it further.
func TestOneCrowdDoesNotShutACache(t *testing.T) {
	w := newSimpleEnv(t, nil)
	cache := w.router.servers[hostEdge]
	c := &w.settings.Classes[0]
	late := func(load, work float64) {
		aim := c.LatencyObjective + seconds(c.LatencyObjectivePerSize*work)
		for range 100 {
			w.router.adjustLimit(&attemptState{target: cache, work: work, inFlightWorkAtSend: load, latencyObjective: aim}, Outcome{Result: OK, FillStatus: FillStatusHit, Elapsed: 4 * aim})
		}
	}
	work := 2 * w.router.largestMeanWork()
	for _, load := range []float64{400 * work, 200 * work} {
		late(load, work)
		if want := limitFitFraction * load / 4; math.Abs(cache.asTarget.concurrencyLimit.Value(w.router.now)-want) > 1e-9 {
			t.Errorf("after a crowd of %v: limit %v, want %v", load, cache.asTarget.concurrencyLimit.Value(w.router.now), want)
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
		w := newSimpleEnv(t, nil)
		w.router.rank(w.router.localCaches, 42)
		caches := slices.Clone(w.router.localCaches)
		c := &w.settings.Classes[1]
		probe := &requestState{Request: Request{Class: 1}}
		for i, s := range caches {
			s.weightIsCapacity, s.Weight, s.logLatencyRatio = true, 10, 0
			part := 2.0
			if i < 2 {
				part = []float64{tc.first, tc.next}[i]
			}
			work := w.router.transferWork(probe)
			s.totalInFlightWork = part*s.Weight/s.sharingDirectors*(c.LatencyObjective.Seconds()+c.LatencyObjectivePerSize*work) - work
		}
		if tc.slow {
			caches[1].logLatencyRatio = w.router.baselineLogLatencyRatio + latencyRatioTolerance + 0.01
		}
		n := len(w.actions)
		w.submitRead(1, 42, 1)
		for _, a := range w.actions[n:] {
			if f, ok := a.(Fetch); ok && f.Host != caches[tc.want].Host {
				t.Errorf("%s: %x was asked, want %x", tc.name, f.Host, caches[tc.want].Host)
			}
		}
		if len(w.actions) == n {
			t.Errorf("%s: none was asked", tc.name)
		}
	}
}

// Found on docs days: what only the origin can do was held by its limit with the fills. It must go through
// though the limit is reached.
func TestLimitsSpareWhatOnlyTheOriginCanDo(t *testing.T) {
	w := newSimpleEnv(t, nil)
	o := w.router.servers[hostOrigin]
	o.asSource.concurrencyLimit, o.asSource.inFlightWork = overload.NewConcurrencyLimit(w.router.now, 0.1), 5
	n := len(w.actions)
	w.submitRead(1, 42, 2)
	for _, a := range w.actions[n:] {
		if f, ok := a.(Forward); ok && f.Host == hostOrigin {
			return
		}
	}
	t.Errorf("held back: %v", w.actions[n:])
}

// exhaustedBucket is a cold budget of which much more has been spent than it has.
func exhaustedBucket(now Time) (b overload.TokenBucket) {
	b.Spent(now, 0)
	b.Spend(1e3)
	return b
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
		{"caches join fills", func(s *Settings) { s.Tiers.CoalescesFills = true }, true, false, 0, 1},
		{"caches tell nothing", func(s *Settings) { s.Tiers.FillStatusReported = "off" }, true, false, 0, 1},
	} {
		w := newSimpleEnv(t, func(s *Settings) {
			s.Tiers.CoalescesFills = false
			if tc.change != nil {
				tc.change(s)
			}
		})
		w.submitRead(1, 41, 0) // the first request begins the director's own first seconds
		w.runUntil(w.now + 10*time.Second)
		if tc.cold {
			list := testEndpoints(4)
			for i := range list {
				if list[i].Kind == 0 {
					list[i].Started = w.now
				}
			}
			w.updateEndpoints(UpdateFull, list...)
		}
		before, done := len(w.fetches), w.now+60*ms
		w.answer = func(w *testEnv, o *openRequest, n int) (Result, FillStatus, time.Duration) {
			switch looks := o.attempts[n].source == o.attempts[n].host; {
			case looks && tc.busy && w.now >= done:
				return OK, FillStatusHit, ms
			case looks && tc.busy:
				return Miss, FillStatusCoalesced, ms
			case looks:
				return Miss, FillStatusUnknown, ms
			}
			return OK, FillStatusFilled, 40 * ms
		}
		w.submitRead(2, 42, 0)
		w.runUntil(w.now + 300*ms)
		looks, fills := 0, 0
		for _, f := range w.fetches[before:] {
			if f.Source == f.Host {
				looks++
			} else {
				fills++
			}
		}
		if looks < tc.looks || (tc.looks == 0 && looks > 0) || fills != tc.fills || !w.requests[2].ended {
			t.Errorf("%s: %d looks and %d fills, want %d at least and %d; ended: %v", tc.name, looks, fills, tc.looks, tc.fills, w.requests[2].ended)
		}
		w.assertNoViolation()
	}
}

// Seen on join+mass: attempts for a request rose to 2.4 while caches refused, and stayed there. In a crowd the budget
// ends, and what is over is refused at once; a repayment that provably never ran is tried on.
func TestFurtherAttemptsHaveABudget(t *testing.T) {
	w := newSimpleEnv(t, nil)
	w.answer = func(w *testEnv, o *openRequest, n int) (Result, FillStatus, time.Duration) {
		return Rejected, rejectionStatus(o), 5 * ms
	}
	for id := uint32(1); id <= 60; id++ {
		w.submitRead(id, uint64(id), 0)
		w.runUntil(w.now + 20*ms)
	}
	w.runUntil(w.now + 10*time.Second)
	tries := 0
	for id := uint32(31); id <= 60; id++ {
		tries += len(w.requests[id].attempts)
		if !w.requests[id].ended {
			t.Errorf("request %d not ended", id)
		}
	}
	if tries > 45 {
		t.Errorf("%d attempts for 30 requests while all are refused", tries)
	}
	pay := w.submitRead(100, 100, 3)
	w.runUntil(w.now + 2*time.Second)
	if len(pay.attempts) < 3 {
		t.Errorf("a repayment that never ran got %d attempts", len(pay.attempts))
	}
	w.assertNoViolation()
}

// rejectionStatus is what a cache tells with a refusal: fills find no slot.
func rejectionStatus(o *openRequest) FillStatus {
	if o.Class == 3 {
		return FillStatusUnknown
	}
	return FillStatusNoFillSlot
}
