package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Which server a request goes to, and where a miss is filled from.

// advance sends the request's next attempt, holds it for a moment, or ends it.
func (d *Router) advance(r *request) {
	switch {
	case len(r.tries) >= d.s.SiteLimits.MaxAttempts:
		d.end(r, ReasonAttemptsExhausted)
	case d.now >= r.Deadline:
		d.end(r, ReasonDeadlineExceeded)
	case d.route(r):
	case d.sites.OwnBranchUnavailable():
		d.end(r, ReasonSiteLost)
	case !d.maySend(r, nil):
		d.end(r, ReasonMayHaveExecuted)
	case r.shut && r.tier == origin:
		d.end(r, ReasonOriginShielded)
	case d.now-r.since > d.s.Classes[r.Class].LatencyObjective/2:
		d.end(r, ReasonNoServerInTime)
	default:
		d.hold(r)
	}
}

// hold keeps a request back for a moment that doubles each time, with jitter so that held requests spread,
// and not past the time at which it would be given up: the answer to that is owed at once.
func (d *Router) hold(r *request) {
	wait := holdFor << min(r.holds, 5)
	wait += time.Duration(d.rng.Int64N(int64(wait)))
	wait = min(wait, max(holdFor, r.since+d.s.Classes[r.Class].LatencyObjective/2-d.now))
	r.holds, r.waiting = r.holds+1, true
	d.do(SetTimer{Token: requestTimer | uint64(r.ID), At: min(d.now+wait, r.Deadline)})
}

// route tries the ordinary path and its departures; it tells whether an attempt has left. Past a cache at its
// limit, or swamped while another is not, the next in rank is asked that is not slow. Harm: one fill more.
func (d *Router) route(r *request) bool {
	d.rank(d.caches, r.Object)
	d.rank(d.upper, r.Object)
	work, last := d.cost(r), origin
	free := func(t *server) bool { return !t.ejected && !d.slow(t) && !d.swamped(r, t, spillUpTo) }
	room := slices.ContainsFunc(d.caches, free)
	for _, t := range d.caches {
		switch {
		case slices.Contains(r.avoid, t), r.passOn && (t.ejected || d.s.Tiers.BypassAllowed):
		case t.ejected:
			if d.mayLook(t) && d.send(r, t, nil) {
				return true
			}
		case room && d.swamped(r, t, 1),
			d.full(&t.to, work) && (d.likelyFill(r, t) || d.full(&t.to, work-hitRoom*t.to.limit.Value(d.now))):
			last = parent
		case last == parent && (!free(t) || t.to.load > spillUpTo*t.to.limit.Value(d.now)):
		case d.fill(r, t):
			return true
		case r.looked:
			return false
		}
	}
	return d.bypass(r, last)
}

// fill asks a cache, with the tiers' source: sibling, parent, origin. One at its limit is passed over; where
// all are, the cache is asked once for what it holds. By a crowded origin some get only what parents hold.
func (d *Router) fill(r *request, t *server) bool {
	if s := d.sibling(r, t); (s != nil && d.send(r, t, s)) || d.askMasters(r) {
		return true
	}
	limited, full := d.likelyFill(r, t) && !r.passOn, false
	if limited && !r.drawn {
		r.drawn, r.shut = true, d.rng.Float64() >= min(d.shield.AdmitFraction(d.now), d.sites.FillShare(d.now, r.Class))
	}
	tells := limited && !r.shut && !d.s.Tiers.CoalescesFills && d.s.Tiers.FillStatusReported == "all"
	if tells && d.firsts.ShouldProbe(d.now, t.cold != 0, d.shield.AdmitFraction(d.now), max(r.looks, len(r.tries))) &&
		d.affordable(t, 2*d.cost(r)) { // what it lacks is then filled there
		return d.send(r, t, nil)
	}
	for _, s := range d.upper {
		switch {
		case s.role == parent && !d.maySource(r, s):
		case limited && (d.full(&s.from, d.cost(r)) || (r.shut && s.role == origin)):
			full = true
		case d.send(r, t, s):
			return true
		}
	}
	stale := r.shut && r.tier == origin && d.s.Tiers.StaleWindow[r.Class] > 0
	if !full || r.looked || (!stale && (r.looks > 0 || r.shut)) {
		return false
	}
	r.looked = true
	return d.send(r, t, nil)
}

// bypass goes straight to a parent or the origin, where site and limits allow it: where no cache may be
// asked, or (parents only) the one picked has all it can answer in time. Harm: nothing is kept.
func (d *Router) bypass(r *request, last role) bool {
	for _, s := range d.upper {
		master := d.upper[len(d.upper)-1]
		switch {
		case !d.s.Tiers.BypassAllowed || s.role > last || (r.shut && !r.passOn):
		case s.role == parent && master.role == origin && d.maySource(r, s) &&
			!d.full(&s.from, 2*d.cost(r)) && d.send(r, s, master):
			return true
		case s.role == origin && (r.passOn || !d.full(&s.from, d.cost(r))) && d.send(r, s, nil):
			return true
		}
	}
	return false
}

// maySource tells whether a parent may be the request's source: a miss or refusal has moved it up a tier.
func (d *Router) maySource(r *request, p *server) bool {
	return r.tier <= parent && !r.passOn && (!p.ejected || d.mayLook(p))
}

// sibling is the ordinary path's source: the table's other holder; or the far cache that a master named.
func (d *Router) sibling(r *request, target *server) *server {
	if r.tier > edge || r.passOn || (d.s.Tiers.SiblingFills != "location" && d.s.Tiers.SiblingFills != "any") {
		return nil
	}
	if far := d.servers[r.far]; d.usable(far) {
		return far
	}
	return d.holder(r, target)
}

// rank orders a group by weighted rendezvous hash of the object: parents of our hub, of others, the origin.
func (d *Router) rank(group []*server, object uint64) {
	var hash rand.PCG
	for _, s := range group {
		hash.Seed(object, uint64(s.Host))
		u := (float64(hash.Uint64()>>11) + 0.5) / (1 << 53)
		switch s.score = -d.weight(s) / math.Log(u); {
		case s.role == origin:
			s.score = math.Inf(-1)
		case s.role == parent && d.sites.WeightFactor(s.Zone) > 0:
			s.score *= d.sites.WeightFactor(s.Zone)
		case s.role == parent && s.Zone == d.s.Tiers.HubByZone[d.s.Zone] && d.mayLook(s):
			s.score = math.Inf(1) // our hub is lost: the next request is the look
		case s.role == parent:
			s.score = -1 / s.score // after all that get some by plan, in the same order
		}
	}
	slices.SortFunc(group, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Host, b.Host))
	})
}

// weight is what a server can take now, compared with others. A cache that answers slower than the faster
// third of its location loses weight by degrees; what all share (a slow origin, a full link) moves nothing.
func (d *Router) weight(s *server) float64 {
	w := d.share(s)
	if s.sized {
		w *= s.Weight
	}
	if s.role == edge {
		w *= math.Exp(-paceShun * max(0, s.pace-d.pace-paceSlack))
	}
	return w
}
