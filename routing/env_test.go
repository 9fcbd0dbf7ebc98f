package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings is a small invented site: one location with a hub, an origin, and three kinds of effects.
func testSettings() Settings {
	return Settings{
		Directors: 2, Quantum: 2 * ms, DiscoveryMode: "automatic", WeightMode: "nominal", Zone: 1,
		Zones: []string{"hub", "here", "there"}, Kinds: []string{"edge", "parent", "origin"},
		Classes: []Class{
			{Name: "big", LatencyObjective: 500 * ms, LatencyObjectivePerSize: 1.5, Timeout: 4 * time.Second, PriorityWeight: 2, Idempotency: "read_like", DedupScope: "all"},
			{Name: "small", LatencyObjective: 250 * ms, Timeout: 2 * time.Second, PriorityWeight: 1, Idempotency: "read_like", DedupScope: "all"},
			{Name: "keyed", LatencyObjective: 400 * ms, Timeout: 2 * time.Second, PriorityWeight: 3, Idempotency: "idempotency_key", DedupScope: "zone",
				DedupWindow: time.Second},
			{Name: "unsafe", LatencyObjective: 400 * ms, Timeout: 2 * time.Second, PriorityWeight: 3, Idempotency: "non_idempotent"},
		},
		SiteLimits: SiteLimits{CancelAllowed: true, MaxAttempts: 5},
		Tiers: TierSettings{BypassAllowed: true, FreshnessLifetime: []time.Duration{0, 8 * time.Second, 0, 0},
			StaleWindow: []time.Duration{0, 10 * time.Second, 0, 0}, StaleValue: []float64{1, .5, 1, 1},
			Uncacheable: []bool{false, false, true, true}, CoalescesFills: true, OriginKind: 2, ParentKind: 1,
			ParentSlowStartFraction: 0.1, ParentSlowStartDuration: 15 * time.Second, ParentOverloadMultiple: 2, PurgePropagation: 6 * time.Second,
			PurgeSlack: time.Second, SiblingFills: "location", FillStatusReported: "all", DirectorsByZone: []int{0, 1, 1},
			HubByZone: []int{0, 0, 0}},
		Guarantees: Guarantees{PollWithin: 10 * time.Second, SlowStartDuration: 12 * time.Second, SlowStartFraction: 0.2,
			DrainGrace: 2 * time.Second, OverloadWindow: time.Second, AnswerGrace: 8 * ms, OverloadMultiple: 3},
	}
}

const (
	hostOrigin = Host(900)
	hostParent = Host(500) // and 501
	hostEdge   = Host(100) // and following
)

func testEndpoints(edges int) []Endpoint {
	list := []Endpoint{{Host: hostOrigin, Kind: 2, State: Ready, Weight: 20},
		{Host: hostParent, Kind: 1, State: Ready, Weight: 12}, {Host: hostParent + 1, Kind: 1, State: Ready, Weight: 12}}
	for i := range edges {
		list = append(list, Endpoint{Host: hostEdge + Host(i), Zone: 1, State: Ready, Weight: 6})
	}
	return append(list, Endpoint{Host: 700, Zone: 2, State: Ready, Weight: 6})
}

type sentAttempt struct {
	host, source              Host
	sentAt                    Time
	inFlight, mayHaveExecuted bool
}

type openRequest struct {
	Request
	attempts []sentAttempt
	ended    bool
}

type scheduledEvent struct {
	at       Time
	event    Event
	sequence int
}

type notifiedPurge struct {
	Purge
	at Time
}

type workCharge struct {
	at   Time
	work float64
}

// testEnv plays the dispatcher's surroundings and asserts the five rules as one dispatcher can see them.
type testEnv struct {
	t                *testing.T
	settings         Settings
	router           *Router
	rng              *rand.Rand
	now              Time
	endpoints        map[Host]Endpoint
	requests         map[uint32]*openRequest
	pending          []scheduledEvent
	purges           []notifiedPurge
	slowStartCharges map[Host][]workCharge
	answer           func(w *testEnv, o *openRequest, n int) (Result, FillStatus, time.Duration)
	fetches          []Fetch
	actions          []Action
	nextSequence     int
	violation        string
}

func newTestEnv(t *testing.T, settings Settings, seed uint64) *testEnv {
	t.Helper()
	router, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	env := &testEnv{t: t, settings: settings, router: router, rng: rand.New(rand.NewPCG(seed, 2)), endpoints: map[Host]Endpoint{},
		requests: map[uint32]*openRequest{}, slowStartCharges: map[Host][]workCharge{}, now: 100 * time.Second}
	env.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
		return OK, FillStatusHit, 50 * ms
	}
	return env
}

func (e *testEnv) violatef(format string, args ...any) {
	if e.violation == "" {
		e.violation = fmt.Sprintf(format, args...)
	}
}

func (e *testEnv) schedule(after time.Duration, event Event) {
	e.nextSequence++
	e.pending = append(e.pending, scheduledEvent{e.now + after, event, e.nextSequence})
}

func (e *testEnv) updateEndpoints(kind UpdateKind, list ...Endpoint) {
	if kind != UpdateDelta {
		for host, endpoint := range e.endpoints {
			endpoint.State = Gone
			e.endpoints[host] = endpoint
		}
	}
	for _, endpoint := range list {
		if endpoint.Started != e.endpoints[endpoint.Host].Started {
			delete(e.slowStartCharges, endpoint.Host) // a new life has a budget of its own
		}
		e.endpoints[endpoint.Host] = endpoint
	}
	e.handle(EndpointUpdate{Kind: kind, Endpoints: list})
}

func (e *testEnv) submit(request Request) *openRequest {
	open := &openRequest{Request: request}
	e.requests[request.ID] = open
	e.handle(request)
	return open
}

func (e *testEnv) purge(purge Purge) {
	e.purges = append(e.purges, notifiedPurge{purge, e.now})
	e.handle(purge)
}

// runUntil lets time pass, delivering what is due in order.
func (e *testEnv) runUntil(until Time) {
	for {
		best := -1
		for i, scheduled := range e.pending {
			if scheduled.at <= until && (best < 0 || scheduled.at < e.pending[best].at ||
				(scheduled.at == e.pending[best].at && scheduled.sequence < e.pending[best].sequence)) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		scheduled := e.pending[best]
		e.pending = append(e.pending[:best], e.pending[best+1:]...)
		e.now = max(e.now, scheduled.at)
		if outcome, ok := scheduled.event.(Outcome); ok {
			e.deliverOutcome(outcome)
			continue
		}
		e.handle(scheduled.event)
	}
	e.now = max(e.now, until)
	for _, request := range e.requests {
		if !request.ended && e.now > request.Deadline+e.settings.Guarantees.AnswerGrace {
			e.violatef("request %d lost", request.ID)
		}
	}
}

func (e *testEnv) deliverOutcome(outcome Outcome) {
	request := e.requests[outcome.ID]
	attempt := &request.attempts[outcome.Attempt]
	if !attempt.inFlight {
		return
	}
	attempt.inFlight = false
	attempt.mayHaveExecuted = !(outcome.Result == Rejected || outcome.Result == ConnectFailed || outcome.Result == Abandoned || outcome.Result == Miss)
	outcome.Elapsed = e.now - attempt.sentAt
	if outcome.Result == OK {
		request.ended = true
	}
	outcome.RequestDone = request.ended
	e.handle(outcome)
}

func (e *testEnv) handle(event Event) {
	actions := append([]Action(nil), e.router.Handle(e.now, event)...)
	e.actions = append(e.actions, actions...)
	for _, action := range actions {
		switch a := action.(type) {
		case Fetch:
			e.fetches = append(e.fetches, a)
			e.checkAttempt(a.ID, a.Host, a.Source, a.Timeout, a.MaxAge)
		case Forward:
			e.checkAttempt(a.ID, a.Host, a.Host, a.Timeout, 0)
		case Cancel:
			e.schedule(2*ms, Outcome{ID: a.ID, Attempt: a.Attempt, Result: Cancelled, Host: e.requests[a.ID].attempts[a.Attempt].host})
		case Reject:
			e.checkFinal(a.ID, true)
		case Fail:
			e.checkFinal(a.ID, false)
		case SetTimer:
			e.schedule(max(a.At-e.now, ms), TimerFired{a.Token})
		}
	}
}

func (e *testEnv) checkFinal(id uint32, rejected bool) {
	request := e.requests[id]
	if request.ended {
		e.violatef("request %d ended twice", id)
	}
	request.ended = true
	class := e.settings.Classes[request.Class]
	for _, attempt := range request.attempts {
		if rejected && attempt.mayHaveExecuted && (class.Idempotency == "non_idempotent" || (class.Idempotency == "idempotency_key" && class.DedupScope != "all")) {
			e.violatef("request %d refused though it may have run", id)
		}
	}
}

// checkAttempt checks one checkAttempt against the rules and has the world answer it.
func (e *testEnv) checkAttempt(id uint32, host, source Host, timeout, maxAge time.Duration) {
	request := e.requests[id]
	class, tiers := e.settings.Classes[request.Class], e.settings.Tiers
	if request.ended {
		e.violatef("attempt for ended request %d", id)
	}
	if len(request.attempts) >= e.settings.SiteLimits.MaxAttempts {
		e.violatef("request %d: too many attempts", id)
	}
	for _, h := range []Host{host, source} {
		if endpoint, ok := e.endpoints[h]; !ok || endpoint.State != Ready {
			e.violatef("request %d: host %d is draining, gone or unknown", id, h)
		}
	}
	endpoint := e.endpoints[host]
	for _, earlier := range request.attempts {
		if earlier.inFlight && !e.settings.SiteLimits.HedgingAllowed {
			e.violatef("request %d: two attempts out", id)
		}
		if earlier.mayHaveExecuted && class.Idempotency == "non_idempotent" {
			e.violatef("request %d: unsafe sent again", id)
		}
		if earlier.mayHaveExecuted && class.Idempotency == "idempotency_key" && (e.now >= earlier.sentAt+class.DedupWindow ||
			(class.DedupScope == "zone" && e.endpoints[earlier.host].Zone != endpoint.Zone) || (class.DedupScope == "cell" && e.endpoints[earlier.host].Cell != endpoint.Cell)) {
			e.violatef("request %d: keyed sent again outside its group or window", id)
		}
	}
	for _, p := range e.purges {
		applies := p.Object == request.Object || (p.Object == 0 && p.Group == request.Group)
		made := p.at - p.Age
		if applies && endpoint.Kind != tiers.OriginKind && e.now > p.at+tiers.PurgeSlack && e.now < made+tiers.PurgePropagation {
			if maxAge <= 0 || maxAge > max(1, e.now-made) {
				e.violatef("request %d: age %v admits a copy from before a purge %v ago", id, maxAge, e.now-made)
			}
		}
	}
	number := len(request.attempts)
	request.attempts = append(request.attempts, sentAttempt{host, source, e.now, true, true})
	result, status, after := e.answer(e, request, number)
	if tiers.FillStatusReported == "off" || (tiers.FillStatusReported == "hit" && status > FillStatusCoalesced) {
		status = FillStatusUnknown
	}
	e.chargeSlowStart(host)
	if source != host && (status != FillStatusHit || tiers.FillStatusReported == "off") {
		e.chargeSlowStart(source)
	}
	limit := request.Deadline - e.now
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	if after >= limit {
		result, status, after = TimedOut, FillStatusUnknown, limit
	}
	e.schedule(max(after, ms), Outcome{ID: id, Attempt: number, Host: host, Result: result, FillStatus: status})
}

// chargeSlowStart books an attempt on a cold server's budget: our part of what all may send.
func (e *testEnv) chargeSlowStart(host Host) {
	endpoint, tiers, guarantees := e.endpoints[host], e.settings.Tiers, e.settings.Guarantees
	if endpoint.Started == 0 || endpoint.Kind == tiers.OriginKind {
		return
	}
	fraction, ramp, multiple, directors := guarantees.SlowStartFraction, guarantees.SlowStartDuration, guarantees.OverloadMultiple, e.settings.Tiers.DirectorsByZone[endpoint.Zone]
	if endpoint.Kind == tiers.ParentKind {
		fraction, ramp, multiple, directors = tiers.ParentSlowStartFraction, tiers.ParentSlowStartDuration, tiers.ParentOverloadMultiple, e.settings.Directors
	}
	if e.now-endpoint.Started > ramp {
		return
	}
	e.slowStartCharges[host] = append(e.slowStartCharges[host], workCharge{e.now, 0.05})
	sum := 0.0
	for _, charge := range e.slowStartCharges[host] {
		if charge.at > e.now-guarantees.OverloadWindow {
			sum += charge.work
		}
	}
	share := fraction + (1-fraction)*float64(e.now-guarantees.OverloadWindow-endpoint.Started)/float64(ramp)
	allowed := multiple * max(fraction, share) * endpoint.Weight / float64(directors) * guarantees.OverloadWindow.Seconds()
	if sum > allowed {
		e.violatef("cold host %d: %.2f s of work in its span, %.2f allowed", host, sum, allowed)
	}
}

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
