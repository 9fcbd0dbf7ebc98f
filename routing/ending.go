package routing

import (
	"slices"
	"time"
)

// How requests end: every one through end or with the answer of a server.

// retryAfter: a refused client stays away as requests wait here; from a lost site, until a look.
func (r *Router) retryAfter() time.Duration {
	if !r.settings.SiteLimits.RetryAfterAllowed {
		return 0
	}
	wait := min(max(minPostponement, r.sites.NextProbeIn(r.now, r.settings.Zone)), r.settings.SiteLimits.MaxRetryAfter*3/4)
	return wait + time.Duration(r.rng.Int64N(int64(min(wait, r.settings.SiteLimits.MaxRetryAfter-wait))+1))
}

// endRequest is the one place where a request is answered by us. A refusal is given where the rules allow it.
func (r *Router) endRequest(request *requestState, reason Reason) {
	defer r.forgetRequest(request)
	class := &r.settings.Classes[request.Class]
	mayHaveExecuted := slices.ContainsFunc(request.attempts, func(attempt *attemptState) bool { return attempt.mayHaveExecuted })
	if class.Idempotency == "read_like" || !mayHaveExecuted || (class.Idempotency == "idempotency_key" && class.DedupScope == "all") {
		r.emit(Reject{ID: request.ID, RetryAfter: r.retryAfter(), Reason: reason})
		return
	}
	r.emit(Fail{ID: request.ID, Reason: reason})
}

// forgetRequest drops a request that is over and calls off what is still out for it.
func (r *Router) forgetRequest(request *requestState) {
	delete(r.requests, request.ID)
	for _, attempt := range request.attempts {
		if !request.streaming {
			r.cancelAttempt(attempt)
		}
	}
}

func (r *Router) cancelAttempt(attempt *attemptState) {
	if r.settings.SiteLimits.CancelAllowed && attempt.inFlight && !attempt.cancelRequested {
		attempt.cancelRequested = true
		r.emit(Cancel{ID: attempt.requestID, Attempt: attempt.number})
	}
}
