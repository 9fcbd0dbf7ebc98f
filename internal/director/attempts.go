package director

import (
	"time"

	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// activeAttempt is one try of a request at a server, from when it is sent until its result is known.
type activeAttempt struct {
	handle        handle.Handle
	requestHandle handle.Handle
	number        int // within its request, from 0
	host          routing.Host
	source        routing.Host // where a miss is filled from; 0: not filled
	sentAt        routing.Time
	deadline      routing.Time // when it is cancelled
	deadlineTimer timer.Timer
}

// sendAttempt starts an attempt, for which it completes the upstream request. An attempt of a request that has ended,
// or that has no time left, is abandoned instead.
func (d *Director) sendAttempt(id uint32, host, source routing.Host, timeout time.Duration,
	upstreamRequest UpstreamRequest) {
	request, ok := d.requests.Get(handle.Handle(id))
	if !ok {
		d.Counters.UnknownActions++
		return
	}
	attempt := d.newAttempt(request, host, source, timeout)
	if !d.addAttempt(request, attempt) {
		d.Counters.AttemptsAbandoned++
		d.postAttemptEnd(request, attempt, AttemptResult{Result: routing.Abandoned})
		return
	}
	d.Counters.AttemptsSent++
	d.recordAttempt(flightrecorder.AttemptSent, attempt, flightrecorder.ReasonNone)
	request.inFlight[attempt.number] = attempt.handle
	d.setAttemptDeadline(attempt, request)

	upstreamRequest.Request = &request.Request
	upstreamRequest.Timeout = attempt.deadline - attempt.sentAt
	upstreamRequest.NonIdempotent = !idempotent(d.settings.Classes[request.Class].Idempotency)
	if source != 0 {
		upstreamRequest.Source = d.incarnations[source].name
	}
	d.upstream.Send(attempt.handle, host, upstreamRequest)
}

// newAttempt returns the request's next attempt. Its deadline is the request's, or earlier by its own timeout; 0: none.
func (d *Director) newAttempt(request *openRequest, host, source routing.Host, timeout time.Duration) *activeAttempt {
	attempt := &activeAttempt{
		requestHandle: request.handle,
		number:        request.nextAttempt,
		host:          host,
		source:        source,
		sentAt:        d.now(),
		deadline:      request.deadline,
	}
	request.nextAttempt++
	if timeout > 0 {
		attempt.deadline = min(attempt.deadline, attempt.sentAt+timeout)
	}
	return attempt
}

// addAttempt gives an attempt its handle; false if it must not be sent, or if the table of attempts is full.
func (d *Director) addAttempt(request *openRequest, attempt *activeAttempt) bool {
	if request.finished || attempt.deadline <= attempt.sentAt {
		return false
	}
	attemptHandle, ok := d.attempts.Add(attempt)
	attempt.handle = attemptHandle
	return ok
}

// idempotent tells whether an attempt that may have run can be repeated at all. An idempotency that is not known counts
// as none, as it does in the router.
func idempotent(idempotency string) bool {
	return idempotency == "read_like" || idempotency == "idempotency_key"
}

// setAttemptDeadline has an attempt cancelled at its deadline.
func (d *Director) setAttemptDeadline(attempt *activeAttempt, request *openRequest) {
	d.timers.Schedule(&attempt.deadlineTimer, attempt.deadline, func() { d.timeOut(attempt, request) })
}

// timeOut ends an attempt at its deadline. One of which nothing was written counts as a failure to connect: it never
// ran.
func (d *Director) timeOut(attempt *activeAttempt, request *openRequest) {
	d.Counters.AttemptsTimedOut++
	result := routing.TimedOut
	if written := d.upstream.Cancel(attempt.handle); !written {
		result = routing.ConnectFailed
	}
	d.endAttempt(attempt, request, AttemptResult{Result: result})
}

// cancelAttempt cancels an attempt of a request, if it is in flight. One of which nothing was written never ran.
func (d *Director) cancelAttempt(request *openRequest, number int) {
	attemptHandle, ok := request.inFlight[number]
	if !ok {
		return
	}
	attempt, ok := d.attempts.Get(attemptHandle)
	if !ok {
		return
	}
	d.Counters.AttemptsCancelled++
	result := routing.Cancelled
	if written := d.upstream.Cancel(attempt.handle); !written {
		result = routing.Abandoned
	}
	d.endAttempt(attempt, request, AttemptResult{Result: result})
}

// cancelOvertaken cancels the attempts that a discovery event has overtaken, if nothing of them has been written: they
// may wait for a connection for longer than the rules allow after such an event. The router decides anew.
func (d *Director) cancelOvertaken(overtaken func(*activeAttempt, *openRequest) bool) {
	var handles []handle.Handle
	d.attempts.All(func(attemptHandle handle.Handle, attempt *activeAttempt) bool {
		if request, ok := d.requests.Get(attempt.requestHandle); ok && overtaken(attempt, request) {
			handles = append(handles, attemptHandle)
		}
		return true
	})
	for _, attemptHandle := range handles {
		d.cancelIfUnwritten(attemptHandle)
	}
}

// cancelIfUnwritten cancels an attempt of which nothing has been written: it never ran. Any other goes on.
func (d *Director) cancelIfUnwritten(attemptHandle handle.Handle) {
	attempt, ok := d.attempts.Get(attemptHandle)
	if !ok || !d.upstream.CancelIfUnwritten(attemptHandle) {
		return
	}
	d.Counters.AttemptsCancelledUnwritten++
	request, _ := d.requests.Get(attempt.requestHandle)
	d.endAttempt(attempt, request, AttemptResult{Result: routing.Abandoned})
}

// AttemptEnded takes the result of an attempt from the upstream side. The result of one that has ended before is
// dropped.
func (d *Director) AttemptEnded(attemptHandle handle.Handle, result AttemptResult) {
	attempt, ok := d.attempts.Get(attemptHandle)
	if !ok {
		d.Counters.AttemptsEndedLate++
		result.Body.Release()
		return
	}
	request, _ := d.requests.Get(attempt.requestHandle)
	d.endAttempt(attempt, request, result)
}

// endAttempt ends an attempt. The request's first good result goes to the client at once, and ends the request.
func (d *Director) endAttempt(attempt *activeAttempt, request *openRequest, result AttemptResult) {
	d.timers.Cancel(&attempt.deadlineTimer)
	d.attempts.Remove(attempt.handle)
	delete(request.inFlight, attempt.number)
	d.Counters.AttemptsEnded++
	d.recordAttempt(flightrecorder.AttemptEnded, attempt, reasonOfResult(result.Result))
	d.Counters.Results[result.Result]++
	d.Counters.FillStatuses[result.FillStatus]++
	if result.Result == routing.OK && !request.finished {
		d.respond(request, Response{
			Outcome:     Served,
			NotModified: result.NotModified,
			Body:        &result.Body,
			Reason:      flightrecorder.ReasonServed,
		})
	}
	result.Body.Release()
	d.postAttemptEnd(request, attempt, result)
}

// postAttemptEnd tells the router how an attempt ended. A good result ends its request, whose slot is then released.
func (d *Director) postAttemptEnd(request *openRequest, attempt *activeAttempt, result AttemptResult) {
	outcome := routing.Outcome{
		ID:          uint32(request.handle),
		Attempt:     attempt.number,
		Host:        attempt.host,
		Result:      result.Result,
		Elapsed:     d.now() - attempt.sentAt,
		RequestDone: request.finished,
		FillStatus:  result.FillStatus,
		SourceWait:  result.SourceWait,
		LoadReport:  result.LoadReport,
	}
	if result.Result == routing.OK && request.finished {
		d.postLastEvent(outcome, request)
		return
	}
	d.postEvent(outcome)
}

// recordAttempt records what happens to an attempt.
func (d *Director) recordAttempt(kind flightrecorder.Kind, attempt *activeAttempt, reason flightrecorder.Reason) {
	d.flightRecorder.Record(flightrecorder.Event{
		At:      d.now(),
		Kind:    kind,
		Reason:  reason,
		Request: uint32(attempt.requestHandle),
		Attempt: attempt.number,
		Host:    attempt.host,
	})
}
