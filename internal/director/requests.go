package director

import (
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// openRequest is a request that was submitted. It keeps its slot in Director.requests until the router has seen its
// end.
type openRequest struct {
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

// Submit takes a request, whose response goes to the replier under the token, perhaps before Submit returns. It returns
// false if the table of open requests is full: then nothing was taken, and the caller rejects the request.
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

// admit tells whether a request is given to the router. If not, it says why, and for how long the client should stay
// away.
func (d *Director) admit(now routing.Time, request *openRequest) (
	reason flightrecorder.Reason, wait time.Duration, ok bool,
) {
	if d.rejectUntil != nil {
		if until, closed := d.rejectUntil(); closed {
			d.Counters.RejectedNotAccepting++
			return flightrecorder.ReasonNotAccepting, until - now, false
		}
	}
	if wait, ok := d.admitByPace(now, request); !ok {
		d.Counters.RejectedByAdmission++
		return flightrecorder.ReasonNotAdmitted, wait, false
	}
	if request.deadline <= now {
		return flightrecorder.ReasonExpiredUnread, d.limits.ShutdownRetryAfter, false
	}
	return flightrecorder.ReasonNone, 0, true
}

// admitByPace asks Admission. Requests that must not run twice always pass: they are the last to be shed.
func (d *Director) admitByPace(now routing.Time, request *openRequest) (wait time.Duration, ok bool) {
	if d.admission == nil || !idempotent(d.settings.Classes[request.Class].Idempotency) {
		return 0, true
	}
	others := d.requests.Len() - 1
	return d.admission.Admit(now, others)
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

// ShortenDeadline brings the deadline of a request forward. A later deadline than it has changes nothing.
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

// SetShutdownDeadline brings the deadlines of all requests forward, those in flight and those that are still to come,
// as the process ends soon after. Without it, a client that waits for a hanging cache would be left without a response.
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

// armDeadlineGuard has a request fail shortly after its deadline. The router ends every request by its deadline; the
// guard keeps a fault there from leaving a client without a response.
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

// respond finishes a request and gives its client the one response.
func (d *Director) respond(request *openRequest, response Response) {
	d.countOutcome(response.Outcome)
	if d.admission != nil && request.admitted {
		d.admission.RecordAnswer(response.Outcome == Served, d.now()-request.acceptedAt)
	}
	d.finishRequest(request, response.Reason)
	request.replier.Reply(request.token, response)
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

// releaseRequest frees the slot of a request of which the router has seen the end. By then the router has cancelled all
// attempts that the site lets it cancel; the others are cancelled here.
func (d *Director) releaseRequest(request *openRequest) {
	for number := range request.inFlight {
		d.cancelAttempt(request, number)
	}
	request.Body.Release()
	d.requests.Remove(request.handle)
}
