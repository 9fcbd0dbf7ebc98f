package routing

import (
	"cmp"
	"math"
	"time"
)

// Every attempt leaves through send: the rules that bind all of them are checked there.

// send is the one way out for an attempt: it checks attempts left, the effect rule, second copies, drain
// and cold budget of target and source, and sets the age that purges allow.
func (d *Router) send(r *requestState, t, src *serverState) bool {
	f := &d.settings.Tiers
	if len(r.attempts) >= d.settings.SiteLimits.MaxAttempts || d.now >= r.Deadline || r.streaming || !d.maySend(r, t) {
		return false
	}
	work := d.transferWork(r)
	if (r.inFlight > 0 && !d.settings.SiteLimits.HedgingAllowed) || !t.listed || t.State != Ready ||
		!d.fitsSlowStart(t, work*d.sites.AdmissionCost(r.location.uses, r.uncacheable)) ||
		(src != nil && (!src.listed || src.State != Ready)) || !d.fitsSlowStart(src, work) {
		return false
	}
	t.slowStartBucket.Spend(work)

	c, q := &d.classes[r.Class], &d.settings.Classes[r.Class]
	age, fresh := time.Duration(0), f.FreshnessLifetime[r.Class]
	if r.shielded && r.minSourceTier == originTier && fresh > 0 {
		age = fresh + f.StaleWindow[r.Class] // nothing fresh is to be had: that earns a part, a refusal nothing
	}
	if p, ok := d.latestPurge(r); ok {
		age = min(max(1, d.now-p.purgedAt), cmp.Or(age, fresh, math.MaxInt64))
	}
	a := &attemptState{requestID: r.ID, number: len(r.attempts), class: r.Class, target: t, source: src, sentAt: d.now,
		work: work, declaredWork: cmp.Or(r.declaredWork, work), expectedLatency: seconds(c.latency.Value * work / c.work.Value),
		latencyObjective: q.LatencyObjective + seconds(q.LatencyObjectivePerSize*work), inFlight: true, mayHaveExecuted: true,
		halfOpenProbe: t.ejected || (src != nil && src.ejected), likelyFill: src != nil && d.isLikelyFill(r, t)}
	r.attempts, r.inFlight, r.waiting = append(r.attempts, a), r.inFlight+1, false
	d.attempts[uint64(r.ID)<<16|uint64(a.number)] = a
	t.asTarget.inFlight = append(t.asTarget.inFlight, a)
	t.totalInFlightWork += work
	_, side := attributedTo(a)
	side.inFlightWork += work
	a.inFlightWorkAtSend = side.inFlightWork
	get := Fetch{ID: r.ID, Host: t.Host, Source: t.Host, MaxAge: age, IdempotencyWindowEnd: r.idempotencyWindowEnd}
	get.RetentionRank = uint8(min(r.location.uses, 2)) // seen once, it must not push out what is asked for again
	if f.CoalescesFills {
		get.Flags |= CoalesceFill
	}
	if fresh > 0 {
		get.Flags |= StaleWhileRevalidate
	}
	if src != nil {
		src.slowStartBucket.Spend(work)
		src.asSource.inFlight = append(src.asSource.inFlight, a)
		get.Source = src.Host
		if src.tier == edgeTier || src.ejected || (r.shielded && src.tier == parentTier) {
			get.Flags |= OnlyIfCached
		}
	}
	if a.halfOpenProbe {
		probedServer(a).probing = true
		get.Timeout = d.settings.Classes[r.Class].LatencyObjective / 2
	}
	if t.tier == originTier {
		d.emit(Forward{ID: r.ID, Host: t.Host, Timeout: get.Timeout, IdempotencyWindowEnd: r.idempotencyWindowEnd})
	} else {
		d.emit(get)
	}
	return true
}

// maySend is the effect rule: whether another attempt may go to t (nil: to any host at all), and until when.
func (d *Router) maySend(r *requestState, t *serverState) bool {
	c := &d.settings.Classes[r.Class]
	if r.idempotencyWindowEnd = 0; c.Idempotency == "read_like" {
		return true
	}
	for _, a := range r.attempts {
		ends := a.sentAt + c.DedupWindow - min(windowSafetyMargin, c.DedupWindow/4)
		switch {
		case !a.mayHaveExecuted:
			continue
		case c.Idempotency != "idempotency_key" || d.now >= ends,
			t != nil && c.DedupScope == "zone" && t.Zone != a.target.Zone,
			t != nil && c.DedupScope == "cell" && t.Cell != a.target.Cell:
			return false
		}
		r.idempotencyWindowEnd = cmp.Or(r.idempotencyWindowEnd, ends) // the first to be sent ends first
	}
	return true
}
