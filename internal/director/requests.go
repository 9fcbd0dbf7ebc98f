package director

import (
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// request is a request that was submitted. It keeps its slot in Director.requests until the router has seen its end.
type request struct {
	Request
	handle        handle.Handle
	replier       Replier
	token         uint64 // the replier's name for it
	acceptedAt    routing.Time
	deadline      routing.Time // when it must have been answered
	deadlineGuard timer.Timer
	admitted      bool // Admission is told how it ends
	finished      bool // answered or cancelled
	nextAttempt   int  // number of its next attempt
	inFlight      map[int]handle.Handle
}

// Submit takes a request, whose response goes to the replier under the token, perhaps before Submit returns. It returns false
// if the table of open requests is full: then nothing was taken, and the caller rejects the request.
func (d *Director) Submit(q Request, replier Replier, token uint64) (handle.Handle, bool) {
	r := &request{Request: q, replier: replier, token: token, inFlight: map[int]handle.Handle{}}
	h, ok := d.requests.Add(r)
	if !ok {
		return 0, false
	}
	if d.CheckForPause != nil {
		d.CheckForPause()
	}
	now := d.now()
	r.handle = h
	r.acceptedAt = now
	r.deadline = d.deadlineFor(now, q.Timeout)
	d.Counters.RequestsAccepted++
	d.FlightRecorder.Record(flightrecorder.Event{
		At: now, Kind: flightrecorder.RequestAccepted, Conn: q.ConnID, Request: uint32(h),
	})

	if reason, wait, ok := d.admit(now, r); !ok {
		d.respond(r, Response{Outcome: Rejected, RetryAfter: d.retryAfter(wait), Reason: reason})
		d.releaseRequest(r)
		return h, true
	}
	r.admitted = true
	d.armDeadlineGuard(r)
	d.postEvent(d.routingRequest(r))
	return h, true
}

// deadlineFor returns the deadline of a request that is read now. Its client has waited for it since a time that is not
// known: at worst for the whole of a pause of the process.
func (d *Director) deadlineFor(now routing.Time, timeout time.Duration) routing.Time {
	deadline := now + max(0, timeout-d.pauseDuration)
	if d.shutdownDeadline != 0 {
		deadline = min(deadline, max(d.shutdownDeadline, now))
	}
	return deadline
}

// routingRequest returns the request as the router is told of it.
func (d *Director) routingRequest(r *request) routing.Request {
	uncacheable := d.settings.Tiers.Uncacheable
	return routing.Request{
		ID:       uint32(r.handle),
		Class:    r.Class,
		Object:   r.ObjectKey,
		Part:     r.PartNumber,
		Group:    r.Group,
		Deadline: r.deadline,
		SizeKB:   r.SizeKB,
		Write:    r.Class < len(uncacheable) && uncacheable[r.Class],
	}
}

// admit tells whether a request is given to the router. If not, it says why, and for how long the client should stay away.
func (d *Director) admit(now routing.Time, r *request) (reason Reason, wait time.Duration, ok bool) {
	if d.RejectUntil != nil {
		if until, closed := d.RejectUntil(); closed {
			d.Counters.RejectedNotAccepting++
			return ReasonNotAccepting, until - now, false
		}
	}
	if wait, ok := d.admitByPace(now, r); !ok {
		d.Counters.RejectedByAdmission++
		return ReasonNotAdmitted, wait, false
	}
	if r.deadline <= now {
		return ReasonExpiredUnread, d.limits.ShutdownRetryAfter, false
	}
	return ReasonNone, 0, true
}

// admitByPace asks Admission. Requests that must not run twice always pass: they are the last to be shed, as their clients
// can't simply send them again.
func (d *Director) admitByPace(now routing.Time, r *request) (wait time.Duration, ok bool) {
	if d.Admission == nil || !idempotent(d.settings.Classes[r.Class].Idempotency) {
		return 0, true
	}
	others := d.requests.Len() - 1
	return d.Admission.Admit(now, others)
}

// retryAfter returns the Retry-After advice for a wait, within what the site allows; 0: no advice.
func (d *Director) retryAfter(wait time.Duration) time.Duration {
	site := &d.settings.SiteLimits
	if !site.RetryAfterAllowed {
		return 0
	}
	return max(0, min(wait, site.MaxRetryAfter))
}

// Cancel ends a request whose client no longer waits: no response is owed. Its attempts that have not been written are
// cancelled at once, also while the router is suspended: nothing must be started for a client that has gone.
func (d *Director) Cancel(h handle.Handle) {
	r, ok := d.requests.Get(h)
	if !ok || r.finished {
		return
	}
	d.Counters.RequestsCancelled++
	d.finishRequest(r, ReasonCancelledByClient)
	for _, attemptHandle := range r.inFlight {
		d.cancelIfUnwritten(attemptHandle)
	}
	d.postLastEvent(routing.RequestClosed{ID: uint32(h)}, r)
}

// ShortenDeadline brings the deadline of a request forward. A later deadline than it has changes nothing.
func (d *Director) ShortenDeadline(h handle.Handle, deadline routing.Time) {
	r, ok := d.requests.Get(h)
	if !ok || r.finished || r.deadline <= deadline {
		return
	}
	r.deadline = deadline
	d.armDeadlineGuard(r)
	for _, attemptHandle := range r.inFlight {
		if a, ok := d.attempts.Get(attemptHandle); ok {
			a.deadline = min(a.deadline, deadline)
			d.setAttemptDeadline(attemptHandle, a, r)
		}
	}
	d.postEvent(routing.ShortenDeadline{ID: uint32(h), Deadline: deadline})
}

// SetShutdownDeadline brings the deadlines of all requests forward, those in flight and those that are still to come, as the
// process ends soon after. Without it, a client that waits for a hanging cache would be left without a response.
func (d *Director) SetShutdownDeadline(deadline routing.Time) {
	d.shutdownDeadline = deadline
	var open []handle.Handle
	d.requests.All(func(h handle.Handle, _ *request) bool {
		open = append(open, h)
		return true
	})
	for _, h := range open {
		d.ShortenDeadline(h, deadline)
	}
}

// armDeadlineGuard has a request fail shortly after its deadline. The router ends every request by its deadline; the guard
// keeps a fault there from leaving a client without a response.
func (d *Director) armDeadlineGuard(r *request) {
	d.timers.Schedule(&r.deadlineGuard, r.deadline+d.limits.OverdueGracePeriod, func() { d.failOverdue(r) })
}

func (d *Director) failOverdue(r *request) {
	d.Counters.RequestsOverdue++
	d.log.Error("request failed by its deadline guard", zap.String("ref", r.Ref))
	d.respond(r, Response{Outcome: Failed, Reason: ReasonOverdue})
	d.postLastEvent(routing.RequestClosed{ID: uint32(r.handle)}, r)
}

// respond finishes a request and gives its client the one response.
func (d *Director) respond(r *request, response Response) {
	d.countOutcome(response.Outcome)
	if d.Admission != nil && r.admitted {
		d.Admission.RecordAnswer(response.Outcome == Served, d.now()-r.acceptedAt)
	}
	d.finishRequest(r, response.Reason)
	r.replier.Reply(r.token, response)
}

func (d *Director) countOutcome(outcome Outcome) {
	switch outcome {
	case Served:
		d.Counters.RequestsServed++
	case Rejected:
		d.Counters.RequestsRejected++
	default:
		d.Counters.RequestsFailed++
	}
}

// finishRequest marks a request as answered or cancelled.
func (d *Director) finishRequest(r *request, reason Reason) {
	d.FlightRecorder.Record(flightrecorder.Event{
		At:      d.now(),
		Kind:    flightrecorder.RequestEnded,
		Reason:  flightrecorder.Reason(reason.String()),
		Conn:    r.ConnID,
		Request: uint32(r.handle),
	})
	r.finished = true
	d.timers.Cancel(&r.deadlineGuard)
}

// releaseRequest frees the slot of a request of which the router has seen the end. By then the router has cancelled all
// attempts that the site lets it cancel; the others are cancelled here.
func (d *Director) releaseRequest(r *request) {
	for number := range r.inFlight {
		d.cancelAttempt(r, number)
	}
	r.Body.Release()
	d.requests.Remove(r.handle)
}
