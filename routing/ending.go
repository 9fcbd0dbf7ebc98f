package routing

import (
	"slices"
	"time"
)

// The end of requests. A request ends with the answer of a server, or through endRequest.

// endRequest answers a request without a server: with a rejection if the client may safely repeat the
// request, otherwise with a failure.
func (r *Router) endRequest(request *requestState, reason Reason) {
	if r.mayReject(request) {
		r.emit(Reject{ID: request.ID, RetryAfter: r.retryAfter(), Reason: reason})
	} else {
		r.emit(Fail{ID: request.ID, Reason: reason})
	}
	r.forgetRequest(request)
}

// mayReject reports whether the client may safely repeat the request: either no attempt can have executed, or
// a repeat is harmless at any server.
func (r *Router) mayReject(request *requestState) bool {
	if r.settings.Classes[request.Class].RepeatIsHarmless() {
		return true
	}
	mayHaveExecuted := func(attempt *attemptState) bool { return attempt.mayHaveExecuted }
	return !slices.ContainsFunc(request.attempts, mayHaveExecuted)
}

// retryAfter returns the time after which the client of a rejected request should retry, or 0 if the deployment
// does not allow such a hint. The time is random, to spread the retries: it lies between a base time and twice
// that base, and is at most SiteLimits.MaxRetryAfter. The base is minPostponement or, while the director's own
// branch is lost, what sitehealth.Monitor.MinTimeUntilRecovery returns for the branch: the rest of the branch's
// holdoff, but at least 250 ms, half of sitehealth's probeInterval. The base is at most 3/4 of MaxRetryAfter.
func (r *Router) retryAfter() time.Duration {
	limits := &r.settings.SiteLimits
	if !limits.RetryAfterAllowed {
		return 0
	}
	wait := max(minPostponement, r.sites.MinTimeUntilRecovery(r.now, r.settings.Zone))
	wait = min(wait, limits.MaxRetryAfter*3/4)
	jitter := min(wait, limits.MaxRetryAfter-wait)
	return wait + time.Duration(r.rng.Int64N(int64(jitter)+1))
}

// forgetRequest removes a request that has ended, and cancels its attempts in flight unless its answer is
// being streamed.
func (r *Router) forgetRequest(request *requestState) {
	delete(r.requests, request.ID)
	if request.streaming {
		return
	}
	for _, attempt := range request.attempts {
		r.cancelAttempt(attempt)
	}
}

// cancelAttempt emits a Cancel for an attempt that is in flight, at most once and only if the
// deployment allows cancellation.
func (r *Router) cancelAttempt(attempt *attemptState) {
	if !r.settings.SiteLimits.CancelAllowed || !attempt.inFlight || attempt.cancelRequested {
		return
	}
	attempt.cancelRequested = true
	r.emit(Cancel{ID: attempt.requestID, Attempt: attempt.number})
}
