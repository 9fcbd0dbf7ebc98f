package routing

import (
	"slices"
	"time"
)

// How requests end: every one through end or with the answer of a server.

// retryAfter: a refused client stays away as requests wait here; from a lost site, until a look.
func (d *Router) retryAfter() time.Duration {
	if !d.s.SiteLimits.RetryAfterAllowed {
		return 0
	}
	wait := min(max(holdFor, d.sites.NextProbeIn(d.now, d.s.Zone)), d.s.SiteLimits.MaxRetryAfter*3/4)
	return wait + time.Duration(d.rng.Int64N(int64(min(wait, d.s.SiteLimits.MaxRetryAfter-wait))+1))
}

// end is the one place where a request is answered by us. A refusal is given where the rules allow it.
func (d *Router) end(r *request, why Reason) {
	defer d.forget(r)
	c := &d.s.Classes[r.Class]
	ran := slices.ContainsFunc(r.tries, func(a *attempt) bool { return a.mayRun })
	if c.Idempotency == "read_like" || !ran || (c.Idempotency == "idempotency_key" && c.DedupScope == "all") {
		d.do(Reject{ID: r.ID, RetryAfter: d.retryAfter(), Reason: why})
		return
	}
	d.do(Fail{ID: r.ID, Reason: why})
}

// forget drops a request that is over and calls off what is still out for it.
func (d *Router) forget(r *request) {
	delete(d.reqs, r.ID)
	for _, a := range r.tries {
		if !r.stream {
			d.cancel(a)
		}
	}
}

func (d *Router) cancel(a *attempt) {
	if d.s.SiteLimits.CancelAllowed && a.out && !a.called {
		a.called = true
		d.do(Cancel{ID: a.id, Attempt: a.no})
	}
}
