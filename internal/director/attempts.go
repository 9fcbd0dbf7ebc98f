package director

import (
	"time"

	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// activeAttempt is one attempt to get a request answered by a server. It exists from its sending until its result is
// known.
type activeAttempt struct {
	handle        handle.Handle
	requestHandle handle.Handle
	number        int // within its request, from 0
	host          routing.Host
	source        routing.Host // server that a miss is filled from; 0: a miss is not filled
	sentAt        routing.Time
	deadline      routing.Time // time at which the attempt is cancelled
	deadlineTimer timer.Timer
}

// sendAttempt sends the request with this ID to a host. The caller sets the fields of upstreamRequest that come from
// the router's action; sendAttempt sets the others. If the request is finished or has no time left, or if the table of
// attempts is full, sendAttempt reports the attempt to the router as abandoned instead. An ID without an open request
// is only counted.
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

// newAttempt returns the next attempt of a request. The attempt's deadline is the deadline of the request, or the end
// of the timeout if that is earlier. A timeout of 0 means that the attempt has no timeout of its own.
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

// addAttempt adds an attempt to the table of attempts and sets its handle. It returns false if the request is finished,
// if the attempt's deadline has passed, or if the table is full.
func (d *Director) addAttempt(request *openRequest, attempt *activeAttempt) bool {
	if request.finished || attempt.deadline <= attempt.sentAt {
		return false
	}
	attemptHandle, ok := d.attempts.Add(attempt)
	attempt.handle = attemptHandle
	return ok
}

// idempotent reports whether requests of a class with this idempotency can be sent again after an attempt that may have
// been executed. An unknown value counts as non-idempotent, as it does in the router.
func idempotent(idempotency string) bool {
	return idempotency == "read_like" || idempotency == "idempotency_key"
}

// setAttemptDeadline schedules the timer that cancels an attempt at its deadline.
func (d *Director) setAttemptDeadline(attempt *activeAttempt, request *openRequest) {
	d.timers.Schedule(&attempt.deadlineTimer, attempt.deadline, func() { d.timeOut(attempt, request) })
}

// timeOut ends an attempt at its deadline. The result is ConnectFailed if nothing of the attempt was written, since the
// server can't have executed it, and TimedOut otherwise.
func (d *Director) timeOut(attempt *activeAttempt, request *openRequest) {
	d.Counters.AttemptsTimedOut++
	result := routing.TimedOut
	if written := d.upstream.Cancel(attempt.handle); !written {
		result = routing.ConnectFailed
	}
	d.endAttempt(attempt, request, AttemptResult{Result: result})
}

// cancelAttempt cancels the attempt with this number of a request, if the attempt is in flight. The result is Abandoned
// if nothing of the attempt was written, since the server can't have executed it, and Cancelled otherwise.
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

// cancelAffected cancels each attempt that a discovery event affects and of which nothing has been written. Such an
// attempt may be waiting for a connection, and could otherwise be written later than the deployment's rules allow after
// the event. The router makes a new decision for the attempt's request.
func (d *Director) cancelAffected(affected func(*activeAttempt, *openRequest) bool) {
	var handles []handle.Handle
	d.attempts.All(func(attemptHandle handle.Handle, attempt *activeAttempt) bool {
		if request, ok := d.requests.Get(attempt.requestHandle); ok && affected(attempt, request) {
			handles = append(handles, attemptHandle)
		}
		return true
	})
	for _, attemptHandle := range handles {
		d.cancelIfUnwritten(attemptHandle)
	}
}

// cancelIfUnwritten cancels an attempt if nothing of it has been written, so that the server can't have executed it. An
// attempt of which any part may have been written continues.
func (d *Director) cancelIfUnwritten(attemptHandle handle.Handle) {
	attempt, ok := d.attempts.Get(attemptHandle)
	if !ok || !d.upstream.CancelIfUnwritten(attemptHandle) {
		return
	}
	d.Counters.AttemptsCancelledUnwritten++
	request, _ := d.requests.Get(attempt.requestHandle)
	d.endAttempt(attempt, request, AttemptResult{Result: routing.Abandoned})
}

// AttemptEnded handles the result of an attempt, which the upstream side reports. The result is dropped if the attempt
// has already ended, for example at its deadline.
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

// endAttempt removes an attempt and reports its result to the router. The first successful result of a request is sent
// to the client immediately, and finishes the request.
func (d *Director) endAttempt(attempt *activeAttempt, request *openRequest, result AttemptResult) {
	d.timers.Cancel(&attempt.deadlineTimer)
	d.attempts.Remove(attempt.handle)
	delete(request.inFlight, attempt.number)
	request.mayHaveRun = request.mayHaveRun || result.Result.MayHaveExecuted()
	d.Counters.AttemptsEnded++
	d.recordAttempt(flightrecorder.AttemptEnded, attempt, reasonFromResult(result.Result))
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

// postAttemptEnd reports the result of an attempt to the router. A successful result is the last event of its request,
// so the request's slot is released once the router has handled the event.
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

// recordAttempt adds an event of an attempt to the flight recorder.
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
