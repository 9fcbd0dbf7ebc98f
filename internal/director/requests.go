package director

import (
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// openRequest is a request that Submit has accepted. It occupies a slot in Director.requests until the router has
// handled the request's end.
type openRequest struct {
	Request
	handle        handle.Handle
	replier       Replier
	token         uint64 // identifies the request to the replier
	acceptedAt    routing.Time
	deadline      routing.Time // time by which the request must be answered
	deadlineGuard timer.Timer
	admitted      bool                  // passed admission control, which is notified of the request's outcome
	claimed       bool                  // its reference is in the execution log
	mayHaveRun    bool                  // an attempt ended that a server may have executed
	finished      bool                  // answered or cancelled
	nextAttempt   int                   // number of the request's next attempt
	inFlight      map[int]handle.Handle // attempts in flight, by attempt number
}

// Submit accepts a request and returns the request's handle. The replier receives the response with the token, possibly
// before Submit returns. If the table of open requests is full, Submit returns false: the caller then still owns the
// request's body and has to reject the request.
func (d *Director) Submit(incoming Request, replier Replier, token uint64) (handle.Handle, bool) {
	request := &openRequest{Request: incoming, replier: replier, token: token, inFlight: map[int]handle.Handle{}}
	requestHandle, ok := d.requests.Add(request)
	if !ok {
		return 0, false
	}
	if d.checkForPause != nil {
		d.checkForPause()
	}
	now := d.now()
	request.handle = requestHandle
	request.acceptedAt = now
	request.deadline = d.deadlineFor(now, incoming.Timeout)
	d.Counters.RequestsAccepted++
	d.flightRecorder.Record(flightrecorder.Event{
		At: now, Kind: flightrecorder.RequestAccepted, Conn: incoming.ConnID, Request: uint32(requestHandle),
	})

	if !d.claimExecution(request) {
		d.Counters.RepeatedReferences++
		d.respond(request, Response{Outcome: Failed, Reason: flightrecorder.ReasonRepeatedReference})
		d.releaseRequest(request)
		return requestHandle, true
	}
	if reason, wait, ok := d.admit(now, request); !ok {
		d.respond(request, Response{Outcome: Rejected, RetryAfter: d.retryAfter(wait), Reason: reason})
		d.releaseRequest(request)
		return requestHandle, true
	}
	request.admitted = true
	d.armDeadlineGuard(request)
	d.postEvent(d.routingRequest(request))
	return requestHandle, true
}

// claimExecution enters a request that can't simply be sent again in the execution log. It returns false if a request
// with the same reference is open, or may have been executed, here or in the other process of an upgrade.
func (d *Director) claimExecution(request *openRequest) bool {
	class := &d.settings.Classes[request.Class]
	if d.executions == nil || class.Idempotency == routing.IdempotencyReadLike {
		return true
	}
	request.claimed = d.executions.Claim(request.Ref)
	return request.claimed
}

// deadlineFor returns the deadline of a request that is read now and whose client waits for the given timeout. How long
// the request has waited unread is not known. In the worst case it has waited since the start of a pause of the
// process, so the duration of the pause is subtracted from the timeout. During a shutdown, the deadline is at most the
// shutdown deadline. It is never before now.
func (d *Director) deadlineFor(now routing.Time, timeout time.Duration) routing.Time {
	deadline := now + max(0, timeout-d.pauseDuration)
	if d.shutdownDeadline != 0 {
		deadline = min(deadline, max(d.shutdownDeadline, now))
	}
	return deadline
}

// routingRequest returns the event that passes a request to the router.
func (d *Director) routingRequest(request *openRequest) routing.Request {
	uncacheable := d.settings.Tiers.Uncacheable
	return routing.Request{
		ID:       uint32(request.handle),
		Class:    request.Class,
		Object:   request.ObjectKey,
		Part:     request.PartNumber,
		Group:    request.Group,
		Deadline: request.deadline,
		SizeKB:   request.SizeKB,
		Write:    request.Class < len(uncacheable) && uncacheable[request.Class],
	}
}

// admit reports whether a request is passed to the router. If not, it also returns the reason for the rejection and how
// long the client should wait before a retry.
func (d *Director) admit(now routing.Time, request *openRequest) (
	reason flightrecorder.Reason, wait time.Duration, ok bool,
) {
	if d.rejectUntil != nil {
		if until, reject := d.rejectUntil(); reject {
			d.Counters.RejectedNotAccepting++
			return flightrecorder.ReasonNotAccepting, until - now, false
		}
	}
	if wait, ok := d.checkAdmission(now, request); !ok {
		d.Counters.RejectedByAdmission++
		return flightrecorder.ReasonNotAdmitted, wait, false
	}
	if request.deadline <= now {
		return flightrecorder.ReasonExpiredUnread, d.limits.ShutdownRetryAfter, false
	}
	return flightrecorder.ReasonNone, 0, true
}

// checkAdmission reports whether admission control admits a request; if not, it also returns how long the client should
// wait before a retry. Requests of classes that are not idempotent are always admitted, so that under overload only
// idempotent requests are shed here.
func (d *Director) checkAdmission(now routing.Time, request *openRequest) (wait time.Duration, ok bool) {
	if d.admission == nil || !idempotent(d.settings.Classes[request.Class].Idempotency) {
		return 0, true
	}
	otherRequests := d.requests.Len() - 1
	return d.admission.Admit(now, otherRequests)
}

// retryAfter returns the time after which a rejected client is advised to retry: the given wait, limited to
// SiteLimits.MaxRetryAfter. It returns 0, which means no advice, if the deployment does not allow such advice.
func (d *Director) retryAfter(wait time.Duration) time.Duration {
	site := &d.settings.SiteLimits
	if !site.RetryAfterAllowed {
		return 0
	}
	return max(0, min(wait, site.MaxRetryAfter))
}

// Cancel ends a request whose client no longer waits for a response; no response is sent. Attempts of the request that
// have not been written are cancelled immediately, even while the router is suspended, because no work must be started
// for a client that no longer waits.
func (d *Director) Cancel(requestHandle handle.Handle) {
	request, ok := d.requests.Get(requestHandle)
	if !ok || request.finished {
		return
	}
	d.Counters.RequestsCancelled++
	d.finishRequest(request, flightrecorder.ReasonCancelledByClient)
	for _, attemptHandle := range request.inFlight {
		d.cancelIfUnwritten(attemptHandle)
	}
	d.postLastEvent(routing.RequestClosed{ID: uint32(requestHandle)}, request)
}

// ShortenDeadline moves the deadline of a request and of its attempts to an earlier time. It does nothing if the given
// deadline is not earlier than the request's current one.
func (d *Director) ShortenDeadline(requestHandle handle.Handle, deadline routing.Time) {
	request, ok := d.requests.Get(requestHandle)
	if !ok || request.finished || request.deadline <= deadline {
		return
	}
	request.deadline = deadline
	d.armDeadlineGuard(request)
	for _, attemptHandle := range request.inFlight {
		if attempt, ok := d.attempts.Get(attemptHandle); ok {
			attempt.deadline = min(attempt.deadline, deadline)
			d.setAttemptDeadline(attempt, request)
		}
	}
	d.postEvent(routing.ShortenDeadline{ID: uint32(requestHandle), Deadline: deadline})
}

// SetShutdownDeadline limits the deadlines of all open and future requests, because the process ends soon after the
// shutdown deadline. Without this limit, a client whose request is at a hanging cache would get no response.
func (d *Director) SetShutdownDeadline(deadline routing.Time) {
	d.shutdownDeadline = deadline
	var open []handle.Handle
	d.requests.All(func(requestHandle handle.Handle, _ *openRequest) bool {
		open = append(open, requestHandle)
		return true
	})
	for _, requestHandle := range open {
		d.ShortenDeadline(requestHandle, deadline)
	}
}

// armDeadlineGuard schedules a timer that fails a request Limits.OverdueGracePeriod after its deadline. The router is
// expected to end every request by its deadline. If a fault keeps the router from doing this, the timer ensures that
// the client still gets a response.
func (d *Director) armDeadlineGuard(request *openRequest) {
	overdueAt := request.deadline + d.limits.OverdueGracePeriod
	d.timers.Schedule(&request.deadlineGuard, overdueAt, func() { d.failOverdue(request) })
}

func (d *Director) failOverdue(request *openRequest) {
	d.Counters.RequestsOverdue++
	d.log.Error("request failed by its deadline guard", zap.String("ref", request.Ref))
	d.respond(request, Response{Outcome: Failed, Reason: flightrecorder.ReasonOverdue})
	d.postLastEvent(routing.RequestClosed{ID: uint32(request.handle)}, request)
}

// respond finishes a request and sends the response to its client. Admission control hears of the response that the
// servers gave, even if there is no room for it.
func (d *Director) respond(request *openRequest, response Response) {
	if d.admission != nil && request.admitted {
		d.admission.RecordAnswer(response.Outcome == Served, d.now()-request.acceptedAt)
	}
	response = d.fitToClient(request, response)
	d.countOutcome(response.Outcome)
	d.finishRequest(request, response.Reason)
	request.replier.Reply(request.token, response)
}

// fitToClient returns the response, or a small one in its place if the client has left so many answers unread that
// there is no room for the body. The request was executed then, so it is rejected only if the client may safely send it
// again.
func (d *Director) fitToClient(request *openRequest, response Response) Response {
	if response.Body == nil || response.NotModified {
		return response
	}
	repeatable := d.settings.Classes[request.Class].RepeatIsHarmless()
	if request.replier.HasRoom(response.Body.Len(), repeatable) {
		return response
	}
	d.Counters.AnswersWithoutRoom++
	if !repeatable {
		return Response{Outcome: Failed, Reason: flightrecorder.ReasonAnswersNotRead}
	}
	wait := d.retryAfter(d.limits.ShutdownRetryAfter)
	return Response{Outcome: Rejected, RetryAfter: wait, Reason: flightrecorder.ReasonAnswersNotRead}
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

// finishRequest marks a request as answered or cancelled, records its end and stops its deadline guard.
func (d *Director) finishRequest(request *openRequest, reason flightrecorder.Reason) {
	d.flightRecorder.Record(flightrecorder.Event{
		At:      d.now(),
		Kind:    flightrecorder.RequestEnded,
		Reason:  reason,
		Conn:    request.ConnID,
		Request: uint32(request.handle),
	})
	request.finished = true
	d.timers.Cancel(&request.deadlineGuard)
}

// releaseRequest frees the slot and the body of a request after the router has handled the request's end. The router
// has cancelled the request's attempts by then, but only if the deployment allows cancellation; releaseRequest cancels
// the attempts that are still in flight.
func (d *Director) releaseRequest(request *openRequest) {
	for number := range request.inFlight {
		d.cancelAttempt(request, number)
	}
	if request.claimed && !request.mayHaveRun {
		d.executions.Release(request.Ref)
	}
	request.Body.Release()
	d.requests.Remove(request.handle)
}
