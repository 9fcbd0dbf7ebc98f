package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// siteSettings is a small invented site: one location with a hub, an origin, and three kinds of effects.
func siteSettings() Settings {
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

func siteMembers(edges int) []Endpoint {
	list := []Endpoint{{Host: hostOrigin, Kind: 2, State: Ready, Weight: 20},
		{Host: hostParent, Kind: 1, State: Ready, Weight: 12}, {Host: hostParent + 1, Kind: 1, State: Ready, Weight: 12}}
	for i := range edges {
		list = append(list, Endpoint{Host: hostEdge + Host(i), Zone: 1, State: Ready, Weight: 6})
	}
	return append(list, Endpoint{Host: 700, Zone: 2, State: Ready, Weight: 6})
}

type tried struct {
	host, source Host
	sent         Time
	out, mayRun  bool
}

type open struct {
	Request
	tries []tried
	ended bool
}

type due struct {
	at  Time
	ev  Event
	seq int
}

type told struct {
	Purge
	at Time
}

type spent struct {
	at   Time
	work float64
}

// world plays the dispatcher's surroundings and asserts the five rules as one dispatcher can see them.
type world struct {
	t       *testing.T
	s       Settings
	r       *Router
	rng     *rand.Rand
	now     Time
	members map[Host]Endpoint
	reqs    map[uint32]*open
	queue   []due
	purges  []told
	cold    map[Host][]spent
	answer  func(w *world, o *open, n int) (Result, FillStatus, time.Duration)
	sent    []Fetch
	acts    []Action
	seq     int
	broken  string
}

func newWorld(t *testing.T, s Settings, seed uint64) *world {
	t.Helper()
	r, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, s: s, r: r, rng: rand.New(rand.NewPCG(seed, 2)), members: map[Host]Endpoint{},
		reqs: map[uint32]*open{}, cold: map[Host][]spent{}, now: 100 * time.Second}
	w.answer = func(*world, *open, int) (Result, FillStatus, time.Duration) { return OK, FillStatusHit, 50 * ms }
	return w
}

func (w *world) fail(format string, a ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, a...)
	}
}

func (w *world) later(after time.Duration, ev Event) {
	w.seq++
	w.queue = append(w.queue, due{w.now + after, ev, w.seq})
}

func (w *world) list(kind UpdateKind, list ...Endpoint) {
	if kind != UpdateDelta {
		for h, m := range w.members {
			m.State = Gone
			w.members[h] = m
		}
	}
	for _, m := range list {
		if m.Started != w.members[m.Host].Started {
			delete(w.cold, m.Host) // a new life has a budget of its own
		}
		w.members[m.Host] = m
	}
	w.handle(EndpointUpdate{Kind: kind, Endpoints: list})
}

func (w *world) ask(q Request) *open {
	o := &open{Request: q}
	w.reqs[q.ID] = o
	w.handle(q)
	return o
}

func (w *world) purge(p Purge) {
	w.purges = append(w.purges, told{p, w.now})
	w.handle(p)
}

// run lets time pass, delivering what is due in order.
func (w *world) run(until Time) {
	for {
		best := -1
		for i, d := range w.queue {
			if d.at <= until && (best < 0 || d.at < w.queue[best].at ||
				(d.at == w.queue[best].at && d.seq < w.queue[best].seq)) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		d := w.queue[best]
		w.queue = append(w.queue[:best], w.queue[best+1:]...)
		w.now = max(w.now, d.at)
		if o, ok := d.ev.(Outcome); ok {
			w.outcome(o)
			continue
		}
		w.handle(d.ev)
	}
	w.now = max(w.now, until)
	for _, o := range w.reqs {
		if !o.ended && w.now > o.Deadline+w.s.Guarantees.AnswerGrace {
			w.fail("request %d lost", o.ID)
		}
	}
}

func (w *world) outcome(o Outcome) {
	q := w.reqs[o.ID]
	a := &q.tries[o.Attempt]
	if !a.out {
		return
	}
	a.out = false
	a.mayRun = !(o.Result == Rejected || o.Result == ConnectFailed || o.Result == Abandoned || o.Result == Miss)
	o.Elapsed = w.now - a.sent
	if o.Result == OK {
		q.ended = true
	}
	o.RequestDone = q.ended
	w.handle(o)
}

func (w *world) handle(ev Event) {
	acts := append([]Action(nil), w.r.Handle(w.now, ev)...)
	w.acts = append(w.acts, acts...)
	for _, act := range acts {
		switch a := act.(type) {
		case Fetch:
			w.sent = append(w.sent, a)
			w.attempt(a.ID, a.Host, a.Source, a.Timeout, a.MaxAge)
		case Forward:
			w.attempt(a.ID, a.Host, a.Host, a.Timeout, 0)
		case Cancel:
			w.later(2*ms, Outcome{ID: a.ID, Attempt: a.Attempt, Result: Cancelled, Host: w.reqs[a.ID].tries[a.Attempt].host})
		case Reject:
			w.final(a.ID, true)
		case Fail:
			w.final(a.ID, false)
		case SetTimer:
			w.later(max(a.At-w.now, ms), TimerFired{a.Token})
		}
	}
}

func (w *world) final(id uint32, refused bool) {
	o := w.reqs[id]
	if o.ended {
		w.fail("request %d ended twice", id)
	}
	o.ended = true
	c := w.s.Classes[o.Class]
	for _, a := range o.tries {
		if refused && a.mayRun && (c.Idempotency == "non_idempotent" || (c.Idempotency == "idempotency_key" && c.DedupScope != "all")) {
			w.fail("request %d refused though it may have run", id)
		}
	}
}

// attempt checks one attempt against the rules and has the world answer it.
func (w *world) attempt(id uint32, host, source Host, timeout, age time.Duration) {
	o := w.reqs[id]
	c, f := w.s.Classes[o.Class], w.s.Tiers
	if o.ended {
		w.fail("attempt for ended request %d", id)
	}
	if len(o.tries) >= w.s.SiteLimits.MaxAttempts {
		w.fail("request %d: too many attempts", id)
	}
	for _, h := range []Host{host, source} {
		if m, ok := w.members[h]; !ok || m.State != Ready {
			w.fail("request %d: host %d is draining, gone or unknown", id, h)
		}
	}
	m := w.members[host]
	for _, a := range o.tries {
		if a.out && !w.s.SiteLimits.HedgingAllowed {
			w.fail("request %d: two attempts out", id)
		}
		if a.mayRun && c.Idempotency == "non_idempotent" {
			w.fail("request %d: unsafe sent again", id)
		}
		if a.mayRun && c.Idempotency == "idempotency_key" && (w.now >= a.sent+c.DedupWindow ||
			(c.DedupScope == "zone" && w.members[a.host].Zone != m.Zone) || (c.DedupScope == "cell" && w.members[a.host].Cell != m.Cell)) {
			w.fail("request %d: keyed sent again outside its group or window", id)
		}
	}
	for _, p := range w.purges {
		hit := p.Object == o.Object || (p.Object == 0 && p.Group == o.Group)
		made := p.at - p.Age
		if hit && m.Kind != f.OriginKind && w.now > p.at+f.PurgeSlack && w.now < made+f.PurgePropagation {
			if age <= 0 || age > max(1, w.now-made) {
				w.fail("request %d: age %v admits a copy from before a purge %v ago", id, age, w.now-made)
			}
		}
	}
	n := len(o.tries)
	o.tries = append(o.tries, tried{host, source, w.now, true, true})
	res, note, after := w.answer(w, o, n)
	if f.FillStatusReported == "off" || (f.FillStatusReported == "hit" && note > FillStatusCoalesced) {
		note = FillStatusUnknown
	}
	w.charge(host)
	if source != host && (note != FillStatusHit || f.FillStatusReported == "off") {
		w.charge(source)
	}
	limit := o.Deadline - w.now
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	if after >= limit {
		res, note, after = TimedOut, FillStatusUnknown, limit
	}
	w.later(max(after, ms), Outcome{ID: id, Attempt: n, Host: host, Result: res, FillStatus: note})
}

// charge books an attempt on a cold server's budget: our part of what all may send.
func (w *world) charge(h Host) {
	m, f, g := w.members[h], w.s.Tiers, w.s.Guarantees
	if m.Started == 0 || m.Kind == f.OriginKind {
		return
	}
	from, ramp, multiple, seats := g.SlowStartFraction, g.SlowStartDuration, g.OverloadMultiple, w.s.Tiers.DirectorsByZone[m.Zone]
	if m.Kind == f.ParentKind {
		from, ramp, multiple, seats = f.ParentSlowStartFraction, f.ParentSlowStartDuration, f.ParentOverloadMultiple, w.s.Directors
	}
	if w.now-m.Started > ramp {
		return
	}
	w.cold[h] = append(w.cold[h], spent{w.now, 0.05})
	sum := 0.0
	for _, s := range w.cold[h] {
		if s.at > w.now-g.OverloadWindow {
			sum += s.work
		}
	}
	share := from + (1-from)*float64(w.now-g.OverloadWindow-m.Started)/float64(ramp)
	allowed := multiple * max(from, share) * m.Weight / float64(seats) * g.OverloadWindow.Seconds()
	if sum > allowed {
		w.fail("cold host %d: %.2f s of work in its span, %.2f allowed", h, sum, allowed)
	}
}
