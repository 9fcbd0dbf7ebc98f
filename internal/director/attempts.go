package director

import (
	"time"

	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// Attempts: how they are sent, given up and ended.

type attempt struct {
	requestHandle handle.Handle
	number        int
	host, source  routing.Host // up: the source; 0: none
	sentAt        routing.Time
	deadline      routing.Time // when it is given up
	deadlineTimer timer.Timer
}

// cancelOvertaken takes back the attempts of which nothing has been written and that news have overtaken since they were
// decided: they may wait for a connection for longer than the rules leave. The router decides anew.
func (d *Director) cancelOvertaken(overtaken func(*attempt, *request) bool) {
	var list []handle.Handle
	d.attempts.All(func(h handle.Handle, a *attempt) bool {
		if r, ok := d.requests.Get(a.requestHandle); ok && overtaken(a, r) {
			list = append(list, h)
		}
		return true
	})
	for _, h := range list {
		d.cancelIfUnwritten(h)
	}
}

// cancelIfUnwritten gives an attempt up if nothing of it has been written: it never ran.
func (d *Director) cancelIfUnwritten(h handle.Handle) {
	a, ok := d.attempts.Get(h)
	if !ok || !d.upstream.CancelIfUnwritten(h) {
		return
	}
	d.Counters.AttemptsCancelledUnwritten++
	r, _ := d.requests.Get(a.requestHandle)
	d.endAttempt(h, a, r, AttemptResult{Result: routing.Abandoned})
}

// sendAttempt starts an attempt. One for a request that is over never leaves.
func (d *Director) sendAttempt(id uint32, host, up routing.Host, timeout time.Duration, c UpstreamRequest) {
	r, ok := d.requests.Get(handle.Handle(id))
	if !ok {
		d.Counters.UnknownActions++
		return
	}
	now := d.now()
	a := &attempt{requestHandle: r.handle, number: r.nextAttempt, host: host, source: up, sentAt: now}
	r.nextAttempt++
	a.deadline = r.deadline
	if timeout > 0 {
		a.deadline = min(a.deadline, now+timeout)
	}
	h, ok := handle.Handle(0), false
	if !r.finished && a.deadline > now {
		h, ok = d.attempts.Add(a)
	}
	if !ok {
		d.Counters.AttemptsAbandoned++
		d.postAttemptEnd(r, a, AttemptResult{Result: routing.Abandoned})
		return
	}
	d.Counters.AttemptsSent++
	d.recordAttempt(flightrecorder.AttemptSent, a, "")
	r.inFlight[a.number] = h
	d.setAttemptDeadline(h, a, r)
	c.Request, c.Timeout = &r.Request, a.deadline-now
	c.NonIdempotent = !idempotent(d.settings.Classes[r.Class].Idempotency)
	if up != 0 {
		c.Source = d.incarnations[up].name
	}
	d.upstream.Send(h, host, c)
}

// recordAttempt keeps what happens to an attempt.
func (d *Director) recordAttempt(kind flightrecorder.Kind, a *attempt, why flightrecorder.Reason) {
	d.FlightRecorder.Record(flightrecorder.Event{At: d.now(), Kind: kind, Reason: why, Request: uint32(a.requestHandle), Attempt: a.number, Host: a.host})
}

// idempotent tells whether what may have run may be sent again at all. An effect that is not known counts as one that
// must not run twice, as in the rules.
func idempotent(effect string) bool { return effect == "read_like" || effect == "idempotency_key" }

// setAttemptDeadline sets the time at which an attempt is given up.
func (d *Director) setAttemptDeadline(h handle.Handle, a *attempt, r *request) {
	d.timers.Schedule(&a.deadlineTimer, a.deadline, func() {
		d.Counters.AttemptsTimedOut++
		result := routing.TimedOut
		if !d.upstream.Cancel(h) {
			result = routing.ConnectFailed // nothing of it was written: it never ran
		}
		d.endAttempt(h, a, r, AttemptResult{Result: result})
	})
}

// cancelAttempt gives an attempt up. One of which nothing was written provably never ran.
func (d *Director) cancelAttempt(r *request, no int) {
	h, ok := r.inFlight[no]
	if !ok {
		return
	}
	a, ok := d.attempts.Get(h)
	if !ok {
		return
	}
	d.Counters.AttemptsCancelled++
	result := routing.Cancelled
	if !d.upstream.Cancel(h) {
		result = routing.Abandoned
	}
	d.endAttempt(h, a, r, AttemptResult{Result: result})
}

// Ended takes the end of an attempt from its peer. One that has ended before is dropped.
func (d *Director) AttemptEnded(h handle.Handle, e AttemptResult) {
	a, ok := d.attempts.Get(h)
	if !ok {
		d.Counters.AttemptsEndedLate++
		e.Body.Release()
		return
	}
	r, _ := d.requests.Get(a.requestHandle)
	d.endAttempt(h, a, r, e)
}

// endAttempt ends an attempt: a first OK goes to the client at once and ends the request.
func (d *Director) endAttempt(h handle.Handle, a *attempt, r *request, e AttemptResult) {
	d.timers.Cancel(&a.deadlineTimer)
	d.attempts.Remove(h)
	delete(r.inFlight, a.number)
	d.Counters.AttemptsEnded++
	d.recordAttempt(flightrecorder.AttemptEnded, a, flightrecorder.Reason(e.Result.String()))
	d.Counters.Results[e.Result]++
	d.Counters.FillStatuses[e.FillStatus]++
	if e.Result == routing.OK && !r.finished {
		d.respond(r, Response{Outcome: Served, NotModified: e.NotModified, Body: &e.Body, Reason: reasonServed})
		e.Body.Release()
		d.postAttemptEnd(r, a, e)
		return
	}
	e.Body.Release()
	d.postAttemptEnd(r, a, e)
}

// postAttemptEnd tells the router how an attempt ended, and for the request's last one frees its slot behind it.
func (d *Director) postAttemptEnd(r *request, a *attempt, e AttemptResult) {
	o := routing.Outcome{ID: uint32(r.handle), Attempt: a.number, Host: a.host, Result: e.Result,
		Elapsed: d.now() - a.sentAt, RequestDone: r.finished, FillStatus: e.FillStatus, SourceWait: e.SourceWait, LoadReport: e.LoadReport}
	ev := queuedEvent{routerEvent: o}
	if e.Result == routing.OK && r.finished {
		ev.finishedRequest = r
	}
	d.postEvent(ev)
}
