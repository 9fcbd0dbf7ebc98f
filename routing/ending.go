package routing

import (
	"slices"
	"time"
)

// How requests end: each with the answer of a server, or through endRequest.

// endRequest answers a request with a rejection, or with a failure where an attempt may have executed and the
// client must not simply repeat it.
func (r *Router) endRequest(request *requestState, reason Reason) {
	if r.mayReject(request) {
		r.emit(Reject{ID: request.ID, RetryAfter: r.retryAfter(), Reason: reason})
	} else {
		r.emit(Fail{ID: request.ID, Reason: reason})
	}
	r.forgetRequest(request)
}

// mayReject tells whether the client may safely repeat the request: nothing has executed, or a repeat does no
// harm wherever it arrives.
func (r *Router) mayReject(request *requestState) bool {
	class := &r.settings.Classes[request.Class]
	switch {
	case class.Idempotency == IdempotencyReadLike:
		return true
	case class.Idempotency == IdempotencyKeyed && class.DedupScope == DedupScopeAll:
		return true
	}
	mayHaveExecuted := func(attempt *attemptState) bool { return attempt.mayHaveExecuted }
	return !slices.ContainsFunc(request.attempts, mayHaveExecuted)
}

// retryAfter is for how long a rejected client should stay away: as long as requests are postponed here, or
// until a lost site is probed again; with jitter, and within what the site allows. 0: the client is not told.
func (r *Router) retryAfter() time.Duration {
	limits := &r.settings.SiteLimits
	if !limits.RetryAfterAllowed {
		return 0
	}
	wait := max(minPostponement, r.sites.NextProbeIn(r.now, r.settings.Zone))
	wait = min(wait, limits.MaxRetryAfter*3/4)
	jitter := min(wait, limits.MaxRetryAfter-wait)
	return wait + time.Duration(r.rng.Int64N(int64(jitter)+1))
}

// forgetRequest drops a request that is over, and cancels what is in flight for it.
func (r *Router) forgetRequest(request *requestState) {
	delete(r.requests, request.ID)
	if request.streaming {
		return
	}
	for _, attempt := range request.attempts {
		r.cancelAttempt(attempt)
	}
}

func (r *Router) cancelAttempt(attempt *attemptState) {
	if !r.settings.SiteLimits.CancelAllowed || !attempt.inFlight || attempt.cancelRequested {
		return
	}
	attempt.cancelRequested = true
	r.emit(Cancel{ID: attempt.requestID, Attempt: attempt.number})
}
