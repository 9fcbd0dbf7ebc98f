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

func newTestEnv(t *testing.T, s Settings, seed uint64) *testEnv {
	t.Helper()
	r, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	w := &testEnv{t: t, settings: s, router: r, rng: rand.New(rand.NewPCG(seed, 2)), endpoints: map[Host]Endpoint{},
		requests: map[uint32]*openRequest{}, slowStartCharges: map[Host][]workCharge{}, now: 100 * time.Second}
	w.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
		return OK, FillStatusHit, 50 * ms
	}
	return w
}

func (w *testEnv) violatef(format string, a ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, a...)
	}
}

func (w *testEnv) schedule(after time.Duration, ev Event) {
	w.nextSequence++
	w.pending = append(w.pending, scheduledEvent{w.now + after, ev, w.nextSequence})
}

func (w *testEnv) updateEndpoints(kind UpdateKind, list ...Endpoint) {
	if kind != UpdateDelta {
		for h, m := range w.endpoints {
			m.State = Gone
			w.endpoints[h] = m
		}
	}
	for _, m := range list {
		if m.Started != w.endpoints[m.Host].Started {
			delete(w.slowStartCharges, m.Host) // a new life has a budget of its own
		}
		w.endpoints[m.Host] = m
	}
	w.handle(EndpointUpdate{Kind: kind, Endpoints: list})
}

func (w *testEnv) submit(q Request) *openRequest {
	o := &openRequest{Request: q}
	w.requests[q.ID] = o
	w.handle(q)
	return o
}

func (w *testEnv) purge(p Purge) {
	w.purges = append(w.purges, notifiedPurge{p, w.now})
	w.handle(p)
}

// runUntil lets time pass, delivering what is due in order.
func (w *testEnv) runUntil(until Time) {
	for {
		best := -1
		for i, d := range w.pending {
			if d.at <= until && (best < 0 || d.at < w.pending[best].at ||
				(d.at == w.pending[best].at && d.sequence < w.pending[best].sequence)) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		d := w.pending[best]
		w.pending = append(w.pending[:best], w.pending[best+1:]...)
		w.now = max(w.now, d.at)
		if o, ok := d.event.(Outcome); ok {
			w.deliverOutcome(o)
			continue
		}
		w.handle(d.event)
	}
	w.now = max(w.now, until)
	for _, o := range w.requests {
		if !o.ended && w.now > o.Deadline+w.settings.Guarantees.AnswerGrace {
			w.violatef("request %d lost", o.ID)
		}
	}
}

func (w *testEnv) deliverOutcome(o Outcome) {
	q := w.requests[o.ID]
	a := &q.attempts[o.Attempt]
	if !a.inFlight {
		return
	}
	a.inFlight = false
	a.mayHaveExecuted = !(o.Result == Rejected || o.Result == ConnectFailed || o.Result == Abandoned || o.Result == Miss)
	o.Elapsed = w.now - a.sentAt
	if o.Result == OK {
		q.ended = true
	}
	o.RequestDone = q.ended
	w.handle(o)
}

func (w *testEnv) handle(ev Event) {
	acts := append([]Action(nil), w.router.Handle(w.now, ev)...)
	w.actions = append(w.actions, acts...)
	for _, act := range acts {
		switch a := act.(type) {
		case Fetch:
			w.fetches = append(w.fetches, a)
			w.checkAttempt(a.ID, a.Host, a.Source, a.Timeout, a.MaxAge)
		case Forward:
			w.checkAttempt(a.ID, a.Host, a.Host, a.Timeout, 0)
		case Cancel:
			w.schedule(2*ms, Outcome{ID: a.ID, Attempt: a.Attempt, Result: Cancelled, Host: w.requests[a.ID].attempts[a.Attempt].host})
		case Reject:
			w.checkFinal(a.ID, true)
		case Fail:
			w.checkFinal(a.ID, false)
		case SetTimer:
			w.schedule(max(a.At-w.now, ms), TimerFired{a.Token})
		}
	}
}

func (w *testEnv) checkFinal(id uint32, refused bool) {
	o := w.requests[id]
	if o.ended {
		w.violatef("request %d ended twice", id)
	}
	o.ended = true
	c := w.settings.Classes[o.Class]
	for _, a := range o.attempts {
		if refused && a.mayHaveExecuted && (c.Idempotency == "non_idempotent" || (c.Idempotency == "idempotency_key" && c.DedupScope != "all")) {
			w.violatef("request %d refused though it may have run", id)
		}
	}
}

// checkAttempt checks one checkAttempt against the rules and has the world answer it.
func (w *testEnv) checkAttempt(id uint32, host, source Host, timeout, age time.Duration) {
	o := w.requests[id]
	c, f := w.settings.Classes[o.Class], w.settings.Tiers
	if o.ended {
		w.violatef("attempt for ended request %d", id)
	}
	if len(o.attempts) >= w.settings.SiteLimits.MaxAttempts {
		w.violatef("request %d: too many attempts", id)
	}
	for _, h := range []Host{host, source} {
		if m, ok := w.endpoints[h]; !ok || m.State != Ready {
			w.violatef("request %d: host %d is draining, gone or unknown", id, h)
		}
	}
	m := w.endpoints[host]
	for _, a := range o.attempts {
		if a.inFlight && !w.settings.SiteLimits.HedgingAllowed {
			w.violatef("request %d: two attempts out", id)
		}
		if a.mayHaveExecuted && c.Idempotency == "non_idempotent" {
			w.violatef("request %d: unsafe sent again", id)
		}
		if a.mayHaveExecuted && c.Idempotency == "idempotency_key" && (w.now >= a.sentAt+c.DedupWindow ||
			(c.DedupScope == "zone" && w.endpoints[a.host].Zone != m.Zone) || (c.DedupScope == "cell" && w.endpoints[a.host].Cell != m.Cell)) {
			w.violatef("request %d: keyed sent again outside its group or window", id)
		}
	}
	for _, p := range w.purges {
		hit := p.Object == o.Object || (p.Object == 0 && p.Group == o.Group)
		made := p.at - p.Age
		if hit && m.Kind != f.OriginKind && w.now > p.at+f.PurgeSlack && w.now < made+f.PurgePropagation {
			if age <= 0 || age > max(1, w.now-made) {
				w.violatef("request %d: age %v admits a copy from before a purge %v ago", id, age, w.now-made)
			}
		}
	}
	n := len(o.attempts)
	o.attempts = append(o.attempts, sentAttempt{host, source, w.now, true, true})
	res, note, after := w.answer(w, o, n)
	if f.FillStatusReported == "off" || (f.FillStatusReported == "hit" && note > FillStatusCoalesced) {
		note = FillStatusUnknown
	}
	w.chargeSlowStart(host)
	if source != host && (note != FillStatusHit || f.FillStatusReported == "off") {
		w.chargeSlowStart(source)
	}
	limit := o.Deadline - w.now
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	if after >= limit {
		res, note, after = TimedOut, FillStatusUnknown, limit
	}
	w.schedule(max(after, ms), Outcome{ID: id, Attempt: n, Host: host, Result: res, FillStatus: note})
}

// chargeSlowStart books an attempt on a cold server's budget: our part of what all may send.
func (w *testEnv) chargeSlowStart(h Host) {
	m, f, g := w.endpoints[h], w.settings.Tiers, w.settings.Guarantees
	if m.Started == 0 || m.Kind == f.OriginKind {
		return
	}
	from, ramp, multiple, seats := g.SlowStartFraction, g.SlowStartDuration, g.OverloadMultiple, w.settings.Tiers.DirectorsByZone[m.Zone]
	if m.Kind == f.ParentKind {
		from, ramp, multiple, seats = f.ParentSlowStartFraction, f.ParentSlowStartDuration, f.ParentOverloadMultiple, w.settings.Directors
	}
	if w.now-m.Started > ramp {
		return
	}
	w.slowStartCharges[h] = append(w.slowStartCharges[h], workCharge{w.now, 0.05})
	sum := 0.0
	for _, s := range w.slowStartCharges[h] {
		if s.at > w.now-g.OverloadWindow {
			sum += s.work
		}
	}
	share := from + (1-from)*float64(w.now-g.OverloadWindow-m.Started)/float64(ramp)
	allowed := multiple * max(from, share) * m.Weight / float64(seats) * g.OverloadWindow.Seconds()
	if sum > allowed {
		w.violatef("cold host %d: %.2f s of work in its span, %.2f allowed", h, sum, allowed)
	}
}
