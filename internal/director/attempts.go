package director

import (
	"time"

	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// attempt is one try of a request at a server, from when it is sent until its result is known.
type attempt struct {
	requestHandle handle.Handle
	number        int // within its request, from 0
	host          routing.Host
	source        routing.Host // where a miss is filled from; 0: not filled
	sentAt        routing.Time
	deadline      routing.Time // when it is cancelled
	deadlineTimer timer.Timer
}

// sendAttempt starts an attempt, for which it completes the upstream request. An attempt of a request that has ended, or
// that has no time left, is abandoned instead.
func (d *Director) sendAttempt(id uint32, host, source routing.Host, timeout time.Duration, upstreamRequest UpstreamRequest) {
	r, ok := d.requests.Get(handle.Handle(id))
	if !ok {
		d.Counters.UnknownActions++
		return
	}
	a := d.newAttempt(r, host, source, timeout)
	h, ok := d.addAttempt(r, a)
	if !ok {
		d.Counters.AttemptsAbandoned++
		d.postAttemptEnd(r, a, AttemptResult{Result: routing.Abandoned})
		return
	}
	d.Counters.AttemptsSent++
	d.recordAttempt(flightrecorder.AttemptSent, a, "")
	r.inFlight[a.number] = h
	d.setAttemptDeadline(h, a, r)

	upstreamRequest.Request = &r.Request
	upstreamRequest.Timeout = a.deadline - a.sentAt
	upstreamRequest.NonIdempotent = !idempotent(d.settings.Classes[r.Class].Idempotency)
	if source != 0 {
		upstreamRequest.Source = d.incarnations[source].name
	}
	d.upstream.Send(h, host, upstreamRequest)
}

// newAttempt returns the request's next attempt. Its deadline is the request's, or earlier by its own timeout; 0: none.
func (d *Director) newAttempt(r *request, host, source routing.Host, timeout time.Duration) *attempt {
	a := &attempt{
		requestHandle: r.handle,
		number:        r.nextAttempt,
		host:          host,
		source:        source,
		sentAt:        d.now(),
		deadline:      r.deadline,
	}
	r.nextAttempt++
	if timeout > 0 {
		a.deadline = min(a.deadline, a.sentAt+timeout)
	}
	return a
}

// addAttempt gives an attempt its handle; false if it must not be sent.
func (d *Director) addAttempt(r *request, a *attempt) (handle.Handle, bool) {
	if r.finished || a.deadline <= a.sentAt {
		return 0, false
	}
	return d.attempts.Add(a)
}

// idempotent tells whether an attempt that may have run can be repeated at all. An idempotency that is not known counts as
// none, as it does in the router.
func idempotent(idempotency string) bool {
	return idempotency == "read_like" || idempotency == "idempotency_key"
}

// setAttemptDeadline has an attempt cancelled at its deadline.
func (d *Director) setAttemptDeadline(h handle.Handle, a *attempt, r *request) {
	d.timers.Schedule(&a.deadlineTimer, a.deadline, func() { d.timeOut(h, a, r) })
}

// timeOut ends an attempt at its deadline. One of which nothing was written counts as a failure to connect: it never ran.
func (d *Director) timeOut(h handle.Handle, a *attempt, r *request) {
	d.Counters.AttemptsTimedOut++
	result := routing.TimedOut
	if written := d.upstream.Cancel(h); !written {
		result = routing.ConnectFailed
	}
	d.endAttempt(h, a, r, AttemptResult{Result: result})
}

// cancelAttempt cancels an attempt of a request, if it is in flight. One of which nothing was written never ran.
func (d *Director) cancelAttempt(r *request, number int) {
	h, ok := r.inFlight[number]
	if !ok {
		return
	}
	a, ok := d.attempts.Get(h)
	if !ok {
		return
	}
	d.Counters.AttemptsCancelled++
	result := routing.Cancelled
	if written := d.upstream.Cancel(h); !written {
		result = routing.Abandoned
	}
	d.endAttempt(h, a, r, AttemptResult{Result: result})
}

// cancelOvertaken cancels the attempts that a discovery event has overtaken, if nothing of them has been written: they may wait
// for a connection for longer than the rules allow after such an event. The router decides anew.
func (d *Director) cancelOvertaken(overtaken func(*attempt, *request) bool) {
	var handles []handle.Handle
	d.attempts.All(func(h handle.Handle, a *attempt) bool {
		if r, ok := d.requests.Get(a.requestHandle); ok && overtaken(a, r) {
			handles = append(handles, h)
		}
		return true
	})
	for _, h := range handles {
		d.cancelIfUnwritten(h)
	}
}

// cancelIfUnwritten cancels an attempt of which nothing has been written: it never ran. Any other goes on.
func (d *Director) cancelIfUnwritten(h handle.Handle) {
	a, ok := d.attempts.Get(h)
	if !ok || !d.upstream.CancelIfUnwritten(h) {
		return
	}
	d.Counters.AttemptsCancelledUnwritten++
	r, _ := d.requests.Get(a.requestHandle)
	d.endAttempt(h, a, r, AttemptResult{Result: routing.Abandoned})
}

// AttemptEnded takes the result of an attempt from the upstream side. The result of one that has ended before is dropped.
func (d *Director) AttemptEnded(h handle.Handle, result AttemptResult) {
	a, ok := d.attempts.Get(h)
	if !ok {
		d.Counters.AttemptsEndedLate++
		result.Body.Release()
		return
	}
	r, _ := d.requests.Get(a.requestHandle)
	d.endAttempt(h, a, r, result)
}

// endAttempt ends an attempt. The request's first good result goes to the client at once, and ends the request.
func (d *Director) endAttempt(h handle.Handle, a *attempt, r *request, result AttemptResult) {
	d.timers.Cancel(&a.deadlineTimer)
	d.attempts.Remove(h)
	delete(r.inFlight, a.number)
	d.Counters.AttemptsEnded++
	d.recordAttempt(flightrecorder.AttemptEnded, a, flightrecorder.Reason(result.Result.String()))
	d.Counters.Results[result.Result]++
	d.Counters.FillStatuses[result.FillStatus]++
	if result.Result == routing.OK && !r.finished {
		d.respond(r, Response{
			Outcome:     Served,
			NotModified: result.NotModified,
			Body:        &result.Body,
			Reason:      ReasonServed,
		})
	}
	result.Body.Release()
	d.postAttemptEnd(r, a, result)
}

// postAttemptEnd tells the router how an attempt ended. A good result ends its request, whose slot is then released.
func (d *Director) postAttemptEnd(r *request, a *attempt, result AttemptResult) {
	outcome := routing.Outcome{
		ID:          uint32(r.handle),
		Attempt:     a.number,
		Host:        a.host,
		Result:      result.Result,
		Elapsed:     d.now() - a.sentAt,
		RequestDone: r.finished,
		FillStatus:  result.FillStatus,
		SourceWait:  result.SourceWait,
		LoadReport:  result.LoadReport,
	}
	if result.Result == routing.OK && r.finished {
		d.postLastEvent(outcome, r)
		return
	}
	d.postEvent(outcome)
}

// recordAttempt records what happens to an attempt.
func (d *Director) recordAttempt(kind flightrecorder.Kind, a *attempt, reason flightrecorder.Reason) {
	d.FlightRecorder.Record(flightrecorder.Event{
		At:      d.now(),
		Kind:    kind,
		Reason:  reason,
		Request: uint32(a.requestHandle),
		Attempt: a.number,
		Host:    a.host,
	})
}
