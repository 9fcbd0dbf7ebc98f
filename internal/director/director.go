// Package director drives the decision module: it turns what fronts, peers and the control feed report
// into the router's events, and the router's actions into calls on them. It knows no protocol and no
// socket. Whoever takes requests hands them to Submit and gets one answer each through its Replier, so that
// any number of protocols can stand before the same decisions and rules.
//
// All of it runs on the event loop; nothing here is safe for concurrent use.
package director

import (
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/config"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/overload"
	"shaleyard/internal/sitehealth"
	"shaleyard/routing"
)

// Director drives one router.
type Director struct {
	Counters Counters
	// Closed, where set, tells that work is refused for now, and until when a client may stay away.
	Closed func() (until routing.Time, closed bool)
	// Look, where set, notices whether the process has just stood still, and calls Hold if so.
	Look func()
	// Flight keeps what happens to requests and attempts; nil: nothing is kept.
	Flight *flightrecorder.Recorder
	// Admission, where set, is the pace at which work is taken after a start or a pause.
	Admission *overload.Admission

	router   *routing.Router
	settings *routing.Settings
	limits   *config.Limits
	peers    Peers
	agenda   *Agenda
	now      func() routing.Time
	log      *zap.Logger

	requests *Table[*request]
	attempts *Table[*attempt]
	names    map[routing.Host]member
	last     routing.Time // when all is to be answered, as the program ends; 0: it goes on
	queue    []event
	busy     bool
	held     bool          // only news are taken; all else waits in the queue
	unread   time.Duration // for so long what is read now may have waited unread, while the process stood still
}

// member is what is kept of an entry of the list.
type member struct {
	name    string
	started routing.Time
}

type request struct {
	Request
	handle  Handle
	reply   Replier
	token   uint64
	giveUp  routing.Time
	overdue Entry
	since   routing.Time   // when it was taken
	let     bool           // let in by the admission, which hears of its end
	next    int            // number of the next attempt
	out     map[int]Handle // attempts out by number
	over    bool
}

// event is a router's event, and the request whose slot is free once the router has seen it.
type event struct {
	ev   routing.Event
	last *request
}

// New returns a director for the settings, within the limits.
func New(s *routing.Settings, seed uint64, l *config.Limits, agenda *Agenda, now func() routing.Time,
	log *zap.Logger) (*Director, error) {
	r, err := routing.New(*s, seed)
	if err != nil {
		return nil, err
	}
	return &Director{router: r, settings: s, limits: l, agenda: agenda, now: now, log: log,
		requests: NewTable[*request](l.OpenRequests), attempts: NewTable[*attempt](maxSlots),
		names: map[routing.Host]member{}}, nil
}

// Follow sets what is done when whole sites are lost; it comes before the first event.
func (d *Director) Follow(o sitehealth.Options) { d.router.Follow(o) }

// Sites counts what was seen of whole sites.
func (d *Director) Sites() sitehealth.Counters { return d.router.Sites() }

// Attach names the peers; it comes before the first event.
func (d *Director) Attach(p Peers) { d.peers = p }

// Open is the number of requests taken and not answered.
func (d *Director) Open() int { return d.requests.Len() }

// Submit takes a request; false: there is no room, nothing was taken, and the caller refuses it.
func (d *Director) Submit(q Request, reply Replier, token uint64) (Handle, bool) {
	r := &request{Request: q, reply: reply, token: token, out: map[int]Handle{}}
	h, ok := d.requests.Add(r)
	if !ok {
		return 0, false
	}
	if d.Look != nil {
		d.Look()
	}
	now := d.now()
	r.handle, r.giveUp, r.since = h, now+max(0, q.Allow-d.unread), now
	if d.last != 0 {
		r.giveUp = min(r.giveUp, max(d.last, now))
	}
	d.Counters.Taken++
	d.Flight.Record(flightrecorder.Event{At: now, Kind: flightrecorder.RequestTaken, Conn: q.Conn, Request: uint32(h)})
	wait, why, ok := d.admit(now, q.Class)
	if ok && r.giveUp <= now {
		wait, why, ok = d.limits.RefuseFor, readTooLate, false
	}
	if !ok {
		d.answer(r, Answer{Verdict: Refused, RetryAfter: d.cooldown(wait), Why: why})
		d.free(r)
		return h, true
	}
	r.let = true
	d.guard(r)
	write := q.Class < len(d.settings.Family.PassOn) && d.settings.Family.PassOn[q.Class]
	d.post(event{ev: routing.Request{ID: uint32(h), Class: q.Class, Object: q.Key, Part: q.PartNo,
		Group: q.Group, GiveUpAt: r.giveUp, SizeKB: q.SizeKB, Write: write}})
	return h, true
}

// admit tells whether a request is taken, and if not, for how long its client may as well stay away.
func (d *Director) admit(now routing.Time, class int) (wait time.Duration, why flightrecorder.Reason, ok bool) {
	if d.Closed != nil {
		if until, closed := d.Closed(); closed {
			d.Counters.Closed++
			return until - now, noWorkTaken, false
		}
	}
	if d.Admission != nil && repeatable(d.settings.Services[class].Effect) { // the others are refused last
		if wait, ok := d.Admission.May(now, d.requests.Len()-1); !ok {
			d.Counters.NotAdmitted++
			return wait, notAdmitted, false
		}
	}
	return 0, "", true
}

// cooldown is the advice to stay away for so long, as far as the site gives any.
func (d *Director) cooldown(wait time.Duration) time.Duration {
	if !d.settings.Ceilings.RetryAfter {
		return 0
	}
	return max(0, min(wait, d.settings.Ceilings.MaxRetryAfter))
}

// guard fails a request past its time. The module ends each by then; this only guards the rule of one answer
// against a fault.
func (d *Director) guard(r *request) {
	d.agenda.Set(&r.overdue, r.giveUp+d.limits.Overdue, func() {
		d.Counters.Overdue++
		d.log.Error("request overdue: failed by the guard", zap.String("ref", r.Ref))
		d.answer(r, Answer{Verdict: Failed, Why: overdue})
		d.post(event{routing.Expired{ID: uint32(r.handle)}, r})
	})
}

// Withdraw ends a request whose client no longer waits: no answer is owed. What waits to be written for it is
// taken back at once, also while all else is held: the client has gone, and nothing may be begun for it.
func (d *Director) Cancel(h Handle) {
	r, ok := d.requests.Get(h)
	if !ok || r.over {
		return
	}
	d.Counters.Withdrawn++
	d.finish(r, withdrawn)
	for _, out := range r.out {
		d.takeBack(out)
	}
	d.post(event{routing.Expired{ID: uint32(h)}, r})
}

// EndBy has everything answered by a time, as the program ends soon after: what is in hand, and what is still
// taken. Who waits longer than that for a cache that hangs would be left without an answer.
func (d *Director) EndBy(last routing.Time) {
	d.last = last
	var open []Handle
	d.requests.All(func(h Handle, _ *request) bool {
		open = append(open, h)
		return true
	})
	for _, h := range open {
		d.ShortenDeadline(h, last)
	}
}

// Curtail has a request answered by a time, where it would be given up later.
func (d *Director) ShortenDeadline(h Handle, giveUp routing.Time) {
	r, ok := d.requests.Get(h)
	if !ok || r.over || r.giveUp <= giveUp {
		return
	}
	r.giveUp = giveUp
	d.guard(r)
	for _, out := range r.out {
		if a, ok := d.attempts.Get(out); ok {
			a.until = min(a.until, giveUp)
			d.limit(out, a, r)
		}
	}
	d.post(event{ev: routing.Curtail{ID: uint32(h), GiveUpAt: giveUp}})
}

// post hands events to the router one after another. An action can bring the next event before it returns
// (a peer that fails at once, a client connection that dies under an answer), and the router's list of
// actions holds only until its next event: so what comes meanwhile waits in line.
func (d *Director) post(e event) {
	d.queue = append(d.queue, e)
	if !d.busy && !d.held {
		d.drain()
	}
}

// Hold keeps everything but news from the router, until Release: behind a pause of the process what it believes of
// the servers is old, and the news that would put it right are still to be read. Answers go to their clients all
// the same. Requests that are read until then may have waited for the whole pause: their clients have so much less left.
func (d *Director) Hold(pause time.Duration) {
	d.held = true
	d.unread = max(d.unread, pause)
	d.peers.SuspendWrites()
}

// Release takes up what was held. Behind a long pause what comes from now on is let in as after a start.
func (d *Director) Release(long bool) {
	d.held, d.unread = false, 0
	if d.Admission != nil && long {
		d.Admission.Restart(d.now())
	}
	if !d.busy {
		d.drain()
	}
	d.peers.ResumeWrites()
}

// drain hands the queue to the router.
func (d *Director) drain() {
	d.busy = true
	for i := 0; i < len(d.queue); i++ {
		e := d.queue[i]
		for _, a := range d.router.Handle(d.now(), e.ev) {
			d.act(a)
		}
		if e.last != nil {
			d.free(e.last)
		}
	}
	clear(d.queue)
	d.queue, d.busy = d.queue[:0], false
}

func (d *Director) act(action routing.Action) {
	switch a := action.(type) {
	case routing.Fetch:
		up := a.Source
		if up == a.Host {
			up = 0
		}
		d.send(a.ID, a.Host, up, a.Timeout, Call{Keep: a.Keep, How: a.How, MaxAge: a.MaxAge, Before: a.Before})
	case routing.Forward:
		d.send(a.ID, a.Host, 0, a.Timeout, Call{Before: a.Before})
	case routing.Cancel:
		if r, ok := d.requests.Get(Handle(a.ID)); ok {
			d.cancel(r, a.Attempt)
		}
	case routing.Refuse:
		d.end(a.ID, Answer{Verdict: Refused, RetryAfter: a.RetryAfter, Why: flightrecorder.Reason(a.Why)})
	case routing.Fail:
		d.end(a.ID, Answer{Verdict: Failed, Why: flightrecorder.Reason(a.Why)})
	case routing.SetTimer:
		d.agenda.At(a.At, func() { d.post(event{ev: routing.Timer{Token: a.Token}}) })
	case routing.Log:
		d.log.Info(a.Text)
	default: // probes, peer messages and discovery calls: this deployment has none of them
		d.Counters.UnknownActions++
	}
}

// end is the router's final answer.
func (d *Director) end(id uint32, a Answer) {
	r, ok := d.requests.Get(Handle(id))
	if !ok || r.over {
		return
	}
	d.answer(r, a)
	// The router may still call off attempts of the request in this round, so its slot is freed behind it.
	d.post(event{routing.Expired{ID: id}, r})
}

// answer gives the client its one answer.
func (d *Director) answer(r *request, a Answer) {
	switch a.Verdict {
	case Served:
		d.Counters.Served++
	case Refused:
		d.Counters.Refused++
	default:
		d.Counters.Failed++
	}
	if d.Admission != nil && r.let {
		d.Admission.Answered(a.Verdict == Served, d.now()-r.since)
	}
	d.finish(r, a.Why)
	r.reply.Reply(r.token, a)
}

// finish ends a request, for a reason.
func (d *Director) finish(r *request, why flightrecorder.Reason) {
	d.Flight.Record(flightrecorder.Event{At: d.now(), Kind: flightrecorder.RequestEnded, Reason: why, Conn: r.Conn, Request: uint32(r.handle)})
	r.over = true
	d.agenda.Drop(&r.overdue)
}

// free gives the slot back when the router has seen the request's end. By then it has called off all
// attempts; what the site does not let it call off is dropped here.
func (d *Director) free(r *request) {
	for no := range r.out {
		d.cancel(r, no)
	}
	r.Body.Release()
	d.requests.Remove(r.handle)
}
