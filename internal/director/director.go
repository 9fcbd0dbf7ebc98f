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
	"shaleyard/internal/handle"
	"shaleyard/internal/overload"
	"shaleyard/internal/sitehealth"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// Director drives one router.
type Director struct {
	Counters Counters
	// RejectUntil, where set, tells that work is refused for now, and until when a client may stay away.
	RejectUntil func() (until routing.Time, closed bool)
	// CheckForPause, where set, notices whether the process has just stood still, and calls Hold if so.
	CheckForPause func()
	// FlightRecorder keeps what happens to requests and attempts; nil: nothing is kept.
	FlightRecorder *flightrecorder.Recorder
	// Admission, where set, is the pace at which work is taken after a start or a pause.
	Admission *overload.Admission

	router   *routing.Router
	settings *routing.Settings
	limits   *config.Limits
	peers    Upstream
	agenda   *timer.Queue
	now      func() routing.Time
	log      *zap.Logger

	requests *handle.Table[*request]
	attempts *handle.Table[*attempt]
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
	handle  handle.Handle
	reply   Replier
	token   uint64
	giveUp  routing.Time
	overdue timer.Timer
	since   routing.Time          // when it was taken
	let     bool                  // let in by the admission, which hears of its end
	next    int                   // number of the next attempt
	out     map[int]handle.Handle // attempts out by number
	over    bool
}

// event is a router's event, and the request whose slot is free once the router has seen it.
type event struct {
	ev   routing.Event
	last *request
}

// New returns a director for the settings, within the limits.
func New(s *routing.Settings, seed uint64, l *config.Limits, agenda *timer.Queue, now func() routing.Time,
	log *zap.Logger) (*Director, error) {
	r, err := routing.New(*s, seed)
	if err != nil {
		return nil, err
	}
	return &Director{router: r, settings: s, limits: l, agenda: agenda, now: now, log: log,
		requests: handle.NewTable[*request](l.MaxOpenRequests), attempts: handle.NewTable[*attempt](handle.MaxEntries),
		names: map[routing.Host]member{}}, nil
}

// SetSiteOptions sets what is done when whole sites are lost; it comes before the first event.
func (d *Director) SetSiteOptions(o sitehealth.Options) { d.router.SetSiteOptions(o) }

// SiteCounters counts what was seen of whole sites.
func (d *Director) SiteCounters() sitehealth.Counters { return d.router.SiteCounters() }

// SetUpstream names the peers; it comes before the first event.
func (d *Director) SetUpstream(p Upstream) { d.peers = p }

// OpenRequests is the number of requests taken and not answered.
func (d *Director) OpenRequests() int { return d.requests.Len() }

// Submit takes a request; false: there is no room, nothing was taken, and the caller refuses it.
func (d *Director) Submit(q Request, reply Replier, token uint64) (handle.Handle, bool) {
	r := &request{Request: q, reply: reply, token: token, out: map[int]handle.Handle{}}
	h, ok := d.requests.Add(r)
	if !ok {
		return 0, false
	}
	if d.CheckForPause != nil {
		d.CheckForPause()
	}
	now := d.now()
	r.handle, r.giveUp, r.since = h, now+max(0, q.Timeout-d.unread), now
	if d.last != 0 {
		r.giveUp = min(r.giveUp, max(d.last, now))
	}
	d.Counters.RequestsAccepted++
	d.FlightRecorder.Record(flightrecorder.Event{At: now, Kind: flightrecorder.RequestAccepted, Conn: q.ConnID, Request: uint32(h)})
	wait, why, ok := d.admit(now, q.Class)
	if ok && r.giveUp <= now {
		wait, why, ok = d.limits.ShutdownRetryAfter, readTooLate, false
	}
	if !ok {
		d.answer(r, Response{Outcome: Rejected, RetryAfter: d.cooldown(wait), Reason: why})
		d.free(r)
		return h, true
	}
	r.let = true
	d.guard(r)
	write := q.Class < len(d.settings.Tiers.Uncacheable) && d.settings.Tiers.Uncacheable[q.Class]
	d.post(event{ev: routing.Request{ID: uint32(h), Class: q.Class, Object: q.ObjectKey, Part: q.PartNumber,
		Group: q.Group, Deadline: r.giveUp, SizeKB: q.SizeKB, Write: write}})
	return h, true
}

// admit tells whether a request is taken, and if not, for how long its client may as well stay away.
func (d *Director) admit(now routing.Time, class int) (wait time.Duration, why flightrecorder.Reason, ok bool) {
	if d.RejectUntil != nil {
		if until, closed := d.RejectUntil(); closed {
			d.Counters.RejectedNotAccepting++
			return until - now, noWorkTaken, false
		}
	}
	if d.Admission != nil && repeatable(d.settings.Classes[class].Idempotency) { // the others are refused last
		if wait, ok := d.Admission.Admit(now, d.requests.Len()-1); !ok {
			d.Counters.RejectedByAdmission++
			return wait, notAdmitted, false
		}
	}
	return 0, "", true
}

// cooldown is the advice to stay away for so long, as far as the site gives any.
func (d *Director) cooldown(wait time.Duration) time.Duration {
	if !d.settings.SiteLimits.RetryAfterAllowed {
		return 0
	}
	return max(0, min(wait, d.settings.SiteLimits.MaxRetryAfter))
}

// guard fails a request past its time. The module ends each by then; this only guards the rule of one answer
// against a fault.
func (d *Director) guard(r *request) {
	d.agenda.Schedule(&r.overdue, r.giveUp+d.limits.OverdueGracePeriod, func() {
		d.Counters.RequestsOverdue++
		d.log.Error("request overdue: failed by the guard", zap.String("ref", r.Ref))
		d.answer(r, Response{Outcome: Failed, Reason: overdue})
		d.post(event{routing.RequestClosed{ID: uint32(r.handle)}, r})
	})
}

// Withdraw ends a request whose client no longer waits: no answer is owed. What waits to be written for it is
// taken back at once, also while all else is held: the client has gone, and nothing may be begun for it.
func (d *Director) Cancel(h handle.Handle) {
	r, ok := d.requests.Get(h)
	if !ok || r.over {
		return
	}
	d.Counters.RequestsCancelled++
	d.finish(r, withdrawn)
	for _, out := range r.out {
		d.takeBack(out)
	}
	d.post(event{routing.RequestClosed{ID: uint32(h)}, r})
}

// SetShutdownDeadline has everything answered by a time, as the program ends soon after: what is in hand, and what is still
// taken. Who waits longer than that for a cache that hangs would be left without an answer.
func (d *Director) SetShutdownDeadline(last routing.Time) {
	d.last = last
	var open []handle.Handle
	d.requests.All(func(h handle.Handle, _ *request) bool {
		open = append(open, h)
		return true
	})
	for _, h := range open {
		d.ShortenDeadline(h, last)
	}
}

// Curtail has a request answered by a time, where it would be given up later.
func (d *Director) ShortenDeadline(h handle.Handle, giveUp routing.Time) {
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
	d.post(event{ev: routing.ShortenDeadline{ID: uint32(h), Deadline: giveUp}})
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

// Suspend keeps everything but news from the router, until Release: behind a pause of the process what it believes of
// the servers is old, and the news that would put it right are still to be read. Answers go to their clients all
// the same. Requests that are read until then may have waited for the whole pause: their clients have so much less left.
func (d *Director) Suspend(pause time.Duration) {
	d.held = true
	d.unread = max(d.unread, pause)
	d.peers.SuspendWrites()
}

// Resume takes up what was held. Behind a long pause what comes from now on is let in as after a start.
func (d *Director) Resume(long bool) {
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
		d.send(a.ID, a.Host, up, a.Timeout, UpstreamRequest{RetentionRank: a.RetentionRank, FetchFlags: a.Flags, MaxAge: a.MaxAge, IdempotencyWindowEnd: a.IdempotencyWindowEnd})
	case routing.Forward:
		d.send(a.ID, a.Host, 0, a.Timeout, UpstreamRequest{IdempotencyWindowEnd: a.IdempotencyWindowEnd})
	case routing.Cancel:
		if r, ok := d.requests.Get(handle.Handle(a.ID)); ok {
			d.cancel(r, a.Attempt)
		}
	case routing.Reject:
		d.end(a.ID, Response{Outcome: Rejected, RetryAfter: a.RetryAfter, Reason: flightrecorder.Reason(a.Reason.String())})
	case routing.Fail:
		d.end(a.ID, Response{Outcome: Failed, Reason: flightrecorder.Reason(a.Reason.String())})
	case routing.SetTimer:
		d.agenda.ScheduleFunc(a.At, func() { d.post(event{ev: routing.TimerFired{Token: a.Token}}) })
	case routing.Log:
		d.log.Info(a.Message)
	default: // probes, peer messages and discovery calls: this deployment has none of them
		d.Counters.UnknownActions++
	}
}

// end is the router's final answer.
func (d *Director) end(id uint32, a Response) {
	r, ok := d.requests.Get(handle.Handle(id))
	if !ok || r.over {
		return
	}
	d.answer(r, a)
	// The router may still call off attempts of the request in this round, so its slot is freed behind it.
	d.post(event{routing.RequestClosed{ID: id}, r})
}

// answer gives the client its one answer.
func (d *Director) answer(r *request, a Response) {
	switch a.Outcome {
	case Served:
		d.Counters.RequestsServed++
	case Rejected:
		d.Counters.RequestsRejected++
	default:
		d.Counters.RequestsFailed++
	}
	if d.Admission != nil && r.let {
		d.Admission.RecordAnswer(a.Outcome == Served, d.now()-r.since)
	}
	d.finish(r, a.Reason)
	r.reply.Reply(r.token, a)
}

// finish ends a request, for a reason.
func (d *Director) finish(r *request, why flightrecorder.Reason) {
	d.FlightRecorder.Record(flightrecorder.Event{At: d.now(), Kind: flightrecorder.RequestEnded, Reason: why, Conn: r.ConnID, Request: uint32(r.handle)})
	r.over = true
	d.agenda.Cancel(&r.overdue)
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
