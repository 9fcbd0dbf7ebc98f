package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"shaleyard/internal/overload"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// Classes of testSettings.
const (
	classBig    = 0
	classSmall  = 1
	classKeyed  = 2
	classUnsafe = 3
)

// Kinds of endpoints of testSettings.
const (
	kindEdge   = 0
	kindParent = 1
	kindOrigin = 2
)

// testSettings returns the settings of a small fictional deployment: a hub, two zones with caches, an origin, and a
// class for each kind of idempotency.
func testSettings() Settings {
	return Settings{
		Directors: 2, Quantum: 2 * ms, DiscoveryMode: "automatic", WeightMode: WeightModeNominal, Zone: 1,
		Zones: []string{"hub", "here", "there"}, Kinds: []string{"edge", "parent", "origin"},
		Classes:    testClasses(),
		SiteLimits: SiteLimits{CancelAllowed: true, MaxAttempts: 5},
		Tiers: TierSettings{
			BypassAllowed:           true,
			FreshnessLifetime:       []time.Duration{0, 8 * time.Second, 0, 0},
			StaleWindow:             []time.Duration{0, 10 * time.Second, 0, 0},
			StaleValue:              []float64{1, .5, 1, 1},
			Uncacheable:             []bool{false, false, true, true},
			CoalescesFills:          true,
			OriginKind:              kindOrigin,
			ParentKind:              kindParent,
			ParentSlowStartFraction: 0.1,
			ParentSlowStartDuration: 15 * time.Second,
			ParentOverloadMultiple:  2,
			PurgePropagation:        6 * time.Second,
			PurgeSlack:              time.Second,
			SiblingFills:            SiblingFillsLocation,
			FillStatusReported:      FillStatusReportedAll,
			DirectorsByZone:         []int{0, 1, 1},
			HubByZone:               []int{0, 0, 0},
		},
		Guarantees: Guarantees{
			PollWithin:        10 * time.Second,
			SlowStartDuration: 12 * time.Second,
			SlowStartFraction: 0.2,
			DrainGrace:        2 * time.Second,
			OverloadWindow:    time.Second,
			AnswerGrace:       8 * ms,
			OverloadMultiple:  3,
		},
	}
}

func testClasses() []Class {
	return []Class{
		classBig: {Name: "big", LatencyObjective: 500 * ms, LatencyObjectivePerSize: 1.5, Timeout: 4 * time.Second,
			PriorityWeight: 2, Idempotency: IdempotencyReadLike, DedupScope: DedupScopeAll},
		classSmall: {Name: "small", LatencyObjective: 250 * ms, Timeout: 2 * time.Second,
			PriorityWeight: 1, Idempotency: IdempotencyReadLike, DedupScope: DedupScopeAll},
		classKeyed: {Name: "keyed", LatencyObjective: 400 * ms, Timeout: 2 * time.Second,
			PriorityWeight: 3, Idempotency: IdempotencyKeyed, DedupScope: DedupScopeZone, DedupWindow: time.Second},
		classUnsafe: {Name: "unsafe", LatencyObjective: 400 * ms, Timeout: 2 * time.Second,
			PriorityWeight: 3, Idempotency: IdempotencyNone},
	}
}

const (
	hostOrigin = Host(900)
	hostParent = Host(500) // the first parent; the second is 501
	hostEdge   = Host(100) // the first cache of the own zone; the others have the numbers that follow
)

// testEndpoints returns the origin, two parents, the given number of caches of the own zone, and one cache of another
// zone.
func testEndpoints(edges int) []Endpoint {
	list := []Endpoint{
		{Host: hostOrigin, Kind: kindOrigin, State: Ready, Weight: 20},
		{Host: hostParent, Kind: kindParent, State: Ready, Weight: 12},
		{Host: hostParent + 1, Kind: kindParent, State: Ready, Weight: 12},
	}
	for i := range edges {
		list = append(list, Endpoint{Host: hostEdge + Host(i), Zone: 1, State: Ready, Weight: 6})
	}
	return append(list, Endpoint{Host: 700, Zone: 2, State: Ready, Weight: 6})
}

// answerFunc simulates the servers: it returns the result and the fill status with which an attempt of a request ends,
// and the time that the attempt takes. The attempt is given by its number, from 0.
type answerFunc func(env *testEnv, request *openRequest, attempt int) (Result, FillStatus, time.Duration)

// always returns an answerFunc that ends every attempt in the same way.
func always(result Result, status FillStatus, after time.Duration) answerFunc {
	return func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) { return result, status, after }
}

// sentAttempt is an attempt that the router has sent.
type sentAttempt struct {
	host, source              Host
	sentAt                    Time
	inFlight, mayHaveExecuted bool
}

// openRequest is a request that was submitted to the router, with its attempts.
type openRequest struct {
	Request
	attempts []sentAttempt
	ended    bool
}

// scheduledEvent is an event that is to be delivered to the router at a given time.
type scheduledEvent struct {
	at       Time
	event    Event
	sequence int
}

func (s scheduledEvent) isBefore(other scheduledEvent) bool {
	return s.at < other.at || (s.at == other.at && s.sequence < other.sequence)
}

// testEnv simulates the clients, the servers and the clock around one router. It checks that the router keeps the
// deployment's rules, as far as one director can observe them.
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
	answer           answerFunc
	fetches          []Fetch
	actions          []Action
	nextSequence     int
	violation        string // first breach of the deployment's rules; empty: none
}

func newTestEnv(t *testing.T, settings Settings, seed uint64) *testEnv {
	t.Helper()
	router, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &testEnv{
		t:                t,
		settings:         settings,
		router:           router,
		rng:              rand.New(rand.NewPCG(seed, 2)),
		now:              100 * time.Second,
		endpoints:        map[Host]Endpoint{},
		requests:         map[uint32]*openRequest{},
		slowStartCharges: map[Host][]workCharge{},
		answer:           always(OK, FillStatusHit, 50*ms),
	}
}

// newSimpleEnv returns an environment with testSettings and four local caches. A change that is not nil modifies the
// settings first.
func newSimpleEnv(t *testing.T, change func(*Settings)) *testEnv {
	t.Helper()
	settings := testSettings()
	if change != nil {
		change(&settings)
	}
	env := newTestEnv(t, settings, 1)
	env.updateEndpoints(UpdateCached, testEndpoints(4)...)
	return env
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
			delete(e.slowStartCharges, endpoint.Host) // a new incarnation has a new budget
		}
		e.endpoints[endpoint.Host] = endpoint
	}
	e.handle(EndpointUpdate{Kind: kind, Endpoints: list})
}

// setState changes the state of a listed endpoint.
func (e *testEnv) setState(host Host, state State) {
	endpoint := e.endpoints[host]
	endpoint.State = state
	e.updateEndpoints(UpdateDelta, endpoint)
}

// setWeight changes the weight of a listed endpoint.
func (e *testEnv) setWeight(host Host, weight float64) {
	endpoint := e.endpoints[host]
	endpoint.Weight = weight
	e.updateEndpoints(UpdateDelta, endpoint)
}

func (e *testEnv) submit(request Request) *openRequest {
	open := &openRequest{Request: request}
	e.requests[request.ID] = open
	e.handle(request)
	return open
}

// submitObject submits a request for an object, with the timeout of its class as the deadline.
func (e *testEnv) submitObject(id uint32, object uint64, class int) *openRequest {
	return e.submit(Request{ID: id, Class: class, Object: object, Group: int(object % 8),
		Deadline: e.now + e.settings.Classes[class].Timeout})
}

func (e *testEnv) purge(purge Purge) {
	e.purges = append(e.purges, notifiedPurge{purge, e.now})
	e.handle(purge)
}

// runUntil advances the clock to a time and delivers all events that are due by then, in order of time. It records a
// violation for a request that has no final answer AnswerGrace after its deadline.
func (e *testEnv) runUntil(until Time) {
	for {
		scheduled, ok := e.takeDue(until)
		if !ok {
			break
		}
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
			e.violatef("request %d was not answered by its deadline", request.ID)
		}
	}
}

// run advances the clock by a span and delivers all events that are due by then.
func (e *testEnv) run(span time.Duration) { e.runUntil(e.now + span) }

// takeDue removes and returns the earliest pending event that is due by a time; ok is false if there is none.
func (e *testEnv) takeDue(until Time) (first scheduledEvent, ok bool) {
	index := -1
	for i, scheduled := range e.pending {
		if scheduled.at <= until && (index < 0 || scheduled.isBefore(e.pending[index])) {
			index = i
		}
	}
	if index < 0 {
		return first, false
	}
	first = e.pending[index]
	e.pending = slices.Delete(e.pending, index, index+1)
	return first, true
}

// deliverOutcome completes the outcome of an attempt and passes it to the router, unless the attempt has already ended.
func (e *testEnv) deliverOutcome(outcome Outcome) {
	request := e.requests[outcome.ID]
	attempt := &request.attempts[outcome.Attempt]
	if !attempt.inFlight {
		return
	}
	attempt.inFlight = false
	neverExecuted := []Result{Rejected, ConnectFailed, Abandoned, Miss}
	attempt.mayHaveExecuted = !slices.Contains(neverExecuted, outcome.Result)
	outcome.Elapsed = e.now - attempt.sentAt
	if outcome.Result == OK {
		request.ended = true
	}
	outcome.RequestDone = request.ended
	e.handle(outcome)
}

// handle passes an event to the router, and checks and carries out the actions that the router returns.
func (e *testEnv) handle(event Event) {
	actions := slices.Clone(e.router.Handle(e.now, event))
	e.actions = append(e.actions, actions...)
	for _, action := range actions {
		switch action := action.(type) {
		case Fetch:
			e.fetches = append(e.fetches, action)
			e.executeAttempt(action.ID, action.Host, action.Source, action.Timeout, action.MaxAge)
		case Forward:
			e.executeAttempt(action.ID, action.Host, action.Host, action.Timeout, 0)
		case Cancel:
			host := e.requests[action.ID].attempts[action.Attempt].host
			e.schedule(2*ms, Outcome{ID: action.ID, Attempt: action.Attempt, Result: Cancelled, Host: host})
		case Reject:
			e.checkFinalAnswer(action.ID, true)
		case Fail:
			e.checkFinalAnswer(action.ID, false)
		case SetTimer:
			e.schedule(max(action.At-e.now, ms), TimerFired{action.Token})
		}
	}
}

// executeAttempt checks one attempt against the deployment's rules and schedules its outcome.
func (e *testEnv) executeAttempt(id uint32, host, source Host, timeout, maxAge time.Duration) {
	request := e.requests[id]
	e.checkAttempt(request, host, source)
	e.checkMaxAge(request, host, maxAge)
	number := len(request.attempts)
	request.attempts = append(request.attempts, sentAttempt{host, source, e.now, true, true})
	result, status, after := e.answer(e, request, number)
	reported := e.settings.Tiers.FillStatusReported
	if reported == FillStatusReportedOff || (reported == FillStatusReportedHit && status > FillStatusCoalesced) {
		status = FillStatusUnknown
	}
	e.chargeSlowStart(host)
	if source != host && (status != FillStatusHit || reported == FillStatusReportedOff) {
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

// actionsOf returns those of the actions that have type T.
func actionsOf[T Action](actions []Action) []T {
	var found []T
	for _, action := range actions {
		if action, ok := action.(T); ok {
			found = append(found, action)
		}
	}
	return found
}

// violatef records the first breach of the deployment's rules and ignores later ones. Tests end with
// assertNoViolation, which fails on a recorded breach.
func (e *testEnv) violatef(format string, args ...any) {
	if e.violation == "" {
		e.violation = fmt.Sprintf(format, args...)
	}
}

func (e *testEnv) assertNoViolation() {
	e.t.Helper()
	if e.violation != "" {
		e.t.Fatal(e.violation)
	}
}

// setLoad sets the concurrency limit and the work in flight of a server in a role, both in seconds of transfer time.
func (e *testEnv) setLoad(load *roleLoad, limit, inFlightWork float64) {
	load.concurrencyLimit = overload.NewConcurrencyLimit(e.router.now, limit)
	load.inFlightWork = inFlightWork
}

// limit returns the current concurrency limit of a server in a role, in seconds of transfer time, and whether there is
// one.
func (e *testEnv) limit(load *roleLoad) (limit float64, limited bool) {
	limit = load.concurrencyLimit.Value(e.router.now)
	return limit, !math.IsInf(limit, 1)
}
