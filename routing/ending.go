package routing

import (
	"slices"
	"time"
)

// How requests end: every one through end or with the answer of a server.

// retryAfter: a refused client stays away as requests wait here; from a lost site, until a look.
func (d *Router) retryAfter() time.Duration {
	if !d.settings.SiteLimits.RetryAfterAllowed {
		return 0
	}
	wait := min(max(minPostponement, d.sites.NextProbeIn(d.now, d.settings.Zone)), d.settings.SiteLimits.MaxRetryAfter*3/4)
	return wait + time.Duration(d.rng.Int64N(int64(min(wait, d.settings.SiteLimits.MaxRetryAfter-wait))+1))
}

// endRequest is the one place where a request is answered by us. A refusal is given where the rules allow it.
func (d *Router) endRequest(r *requestState, why Reason) {
	defer d.forgetRequest(r)
	c := &d.settings.Classes[r.Class]
	ran := slices.ContainsFunc(r.attempts, func(a *attemptState) bool { return a.mayHaveExecuted })
	if c.Idempotency == "read_like" || !ran || (c.Idempotency == "idempotency_key" && c.DedupScope == "all") {
		d.emit(Reject{ID: r.ID, RetryAfter: d.retryAfter(), Reason: why})
		return
	}
	d.emit(Fail{ID: r.ID, Reason: why})
}

// forgetRequest drops a request that is over and calls off what is still out for it.
func (d *Router) forgetRequest(r *requestState) {
	delete(d.requests, r.ID)
	for _, a := range r.attempts {
		if !r.streaming {
			d.cancelAttempt(a)
		}
	}
}

func (d *Router) cancelAttempt(a *attemptState) {
	if d.settings.SiteLimits.CancelAllowed && a.inFlight && !a.cancelRequested {
		a.cancelRequested = true
		d.emit(Cancel{ID: a.requestID, Attempt: a.number})
	}
}
