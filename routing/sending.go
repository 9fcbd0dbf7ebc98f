package routing

import (
	"cmp"
	"math"
	"time"
)

// Every attempt leaves through send: the rules that bind all of them are checked there.

// send is the one way out for an attempt: it checks attempts left, the effect rule, second copies, drain
// and cold budget of target and source, and sets the age that purges allow.
func (d *Router) send(r *request, t, src *server) bool {
	f := &d.s.Tiers
	if len(r.tries) >= d.s.SiteLimits.MaxAttempts || d.now >= r.Deadline || r.stream || !d.maySend(r, t) {
		return false
	}
	work := d.cost(r)
	if (r.out > 0 && !d.s.SiteLimits.HedgingAllowed) || !t.listed || t.State != Ready ||
		!d.affordable(t, work*d.sites.AdmissionCost(r.held.uses, r.passOn)) ||
		(src != nil && (!src.listed || src.State != Ready)) || !d.affordable(src, work) {
		return false
	}
	t.spent.Spend(work)

	c, q := &d.classes[r.Class], &d.s.Classes[r.Class]
	age, fresh := time.Duration(0), f.FreshnessLifetime[r.Class]
	if r.shut && r.tier == origin && fresh > 0 {
		age = fresh + f.StaleWindow[r.Class] // nothing fresh is to be had: that earns a part, a refusal nothing
	}
	if p, ok := d.lastPurge(r); ok {
		age = min(max(1, d.now-p.made), cmp.Or(age, fresh, math.MaxInt64))
	}
	a := &attempt{id: r.ID, no: len(r.tries), class: r.Class, target: t, source: src, sent: d.now,
		work: work, told: cmp.Or(r.told, work), expect: seconds(c.latency.Value * work / c.work.Value),
		aim: q.LatencyObjective + seconds(q.LatencyObjectivePerSize*work), out: true, mayRun: true,
		look: t.ejected || (src != nil && src.ejected), fill: src != nil && d.likelyFill(r, t)}
	r.tries, r.out, r.waiting = append(r.tries, a), r.out+1, false
	d.tries[uint64(r.ID)<<16|uint64(a.no)] = a
	t.to.out = append(t.to.out, a)
	t.sending += work
	_, side := blamed(a)
	side.load += work
	a.load = side.load
	get := Fetch{ID: r.ID, Host: t.Host, Source: t.Host, MaxAge: age, IdempotencyWindowEnd: r.before}
	get.RetentionRank = uint8(min(r.held.uses, 2)) // seen once, it must not push out what is asked for again
	if f.CoalescesFills {
		get.Flags |= CoalesceFill
	}
	if fresh > 0 {
		get.Flags |= StaleWhileRevalidate
	}
	if src != nil {
		src.spent.Spend(work)
		src.from.out = append(src.from.out, a)
		get.Source = src.Host
		if src.role == edge || src.ejected || (r.shut && src.role == parent) {
			get.Flags |= OnlyIfCached
		}
	}
	if a.look {
		looked(a).looking = true
		get.Timeout = d.s.Classes[r.Class].LatencyObjective / 2
	}
	if t.role == origin {
		d.do(Forward{ID: r.ID, Host: t.Host, Timeout: get.Timeout, IdempotencyWindowEnd: r.before})
	} else {
		d.do(get)
	}
	return true
}

// maySend is the effect rule: whether another attempt may go to t (nil: to any host at all), and until when.
func (d *Router) maySend(r *request, t *server) bool {
	c := &d.s.Classes[r.Class]
	if r.before = 0; c.Idempotency == "read_like" {
		return true
	}
	for _, a := range r.tries {
		ends := a.sent + c.DedupWindow - min(wayRoom, c.DedupWindow/4)
		switch {
		case !a.mayRun:
			continue
		case c.Idempotency != "idempotency_key" || d.now >= ends,
			t != nil && c.DedupScope == "zone" && t.Zone != a.target.Zone,
			t != nil && c.DedupScope == "cell" && t.Cell != a.target.Cell:
			return false
		}
		r.before = cmp.Or(r.before, ends) // the first to be sent ends first
	}
	return true
}
