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
func (d *Router) advance(r *requestState) {
	switch {
	case len(r.attempts) >= d.settings.SiteLimits.MaxAttempts:
		d.endRequest(r, ReasonAttemptsExhausted)
	case d.now >= r.Deadline:
		d.endRequest(r, ReasonDeadlineExceeded)
	case d.route(r):
	case d.sites.OwnBranchUnavailable():
		d.endRequest(r, ReasonSiteLost)
	case !d.maySend(r, nil):
		d.endRequest(r, ReasonMayHaveExecuted)
	case r.shielded && r.minSourceTier == originTier:
		d.endRequest(r, ReasonOriginShielded)
	case d.now-r.receivedAt > d.settings.Classes[r.Class].LatencyObjective/2:
		d.endRequest(r, ReasonNoServerInTime)
	default:
		d.postpone(r)
	}
}

// postpone keeps a request back for a moment that doubles each time, with jitter so that held requests spread,
// and not past the time at which it would be given up: the answer to that is owed at once.
func (d *Router) postpone(r *requestState) {
	wait := minPostponement << min(r.postponements, 5)
	wait += time.Duration(d.rng.Int64N(int64(wait)))
	wait = min(wait, max(minPostponement, r.receivedAt+d.settings.Classes[r.Class].LatencyObjective/2-d.now))
	r.postponements, r.waiting = r.postponements+1, true
	d.emit(SetTimer{Token: requestTimer | uint64(r.ID), At: min(d.now+wait, r.Deadline)})
}

// route tries the ordinary path and its departures; it tells whether an attempt has left. Past a cache at its
// limit, or swamped while another is not, the next in rank is asked that is not slow. Harm: one fill more.
func (d *Router) route(r *requestState) bool {
	d.rank(d.localCaches, r.Object)
	d.rank(d.upstreams, r.Object)
	work, last := d.transferWork(r), originTier
	free := func(t *serverState) bool {
		return !t.ejected && !d.isSlow(t) && !d.linkSaturated(r, t, spilloverLoadFraction)
	}
	room := slices.ContainsFunc(d.localCaches, free)
	for _, t := range d.localCaches {
		switch {
		case slices.Contains(r.avoidTargets, t), r.uncacheable && (t.ejected || d.settings.Tiers.BypassAllowed):
		case t.ejected:
			if d.mayProbe(t) && d.send(r, t, nil) {
				return true
			}
		case room && d.linkSaturated(r, t, 1),
			d.atLimit(&t.asTarget, work) && (d.isLikelyFill(r, t) || d.atLimit(&t.asTarget, work-hitLimitHeadroom*t.asTarget.concurrencyLimit.Value(d.now))):
			last = parentTier
		case last == parentTier && (!free(t) || t.asTarget.inFlightWork > spilloverLoadFraction*t.asTarget.concurrencyLimit.Value(d.now)):
		case d.fetchThrough(r, t):
			return true
		case r.triedOnlyIfCached:
			return false
		}
	}
	return d.bypass(r, last)
}

// fetchThrough asks a cache, with the tiers' source: sibling, parent, origin. One at its limit is passed over; where
// all are, the cache is asked once for what it holds. By a crowded origin some get only what parents hold.
func (d *Router) fetchThrough(r *requestState, t *serverState) bool {
	if s := d.siblingSource(r, t); (s != nil && d.send(r, t, s)) || d.askPeers(r) {
		return true
	}
	limited, full := d.isLikelyFill(r, t) && !r.uncacheable, false
	if limited && !r.shieldDecided {
		r.shieldDecided, r.shielded = true, d.rng.Float64() >= min(d.originShield.AdmitFraction(d.now), d.sites.FillShare(d.now, r.Class))
	}
	tells := limited && !r.shielded && !d.settings.Tiers.CoalescesFills && d.settings.Tiers.FillStatusReported == "all"
	if tells && d.probeBeforeFill.ShouldProbe(d.now, t.warmingUpSince != 0, d.originShield.AdmitFraction(d.now), max(r.onlyIfCachedCount, len(r.attempts))) &&
		d.fitsSlowStart(t, 2*d.transferWork(r)) { // what it lacks is then filled there
		return d.send(r, t, nil)
	}
	for _, s := range d.upstreams {
		switch {
		case s.tier == parentTier && !d.maySourceFrom(r, s):
		case limited && (d.atLimit(&s.asSource, d.transferWork(r)) || (r.shielded && s.tier == originTier)):
			full = true
		case d.send(r, t, s):
			return true
		}
	}
	stale := r.shielded && r.minSourceTier == originTier && d.settings.Tiers.StaleWindow[r.Class] > 0
	if !full || r.triedOnlyIfCached || (!stale && (r.onlyIfCachedCount > 0 || r.shielded)) {
		return false
	}
	r.triedOnlyIfCached = true
	return d.send(r, t, nil)
}

// bypass goes straight to a parent or the origin, where site and limits allow it: where no cache may be
// asked, or (parents only) the one picked has all it can answer in time. Harm: nothing is kept.
func (d *Router) bypass(r *requestState, last tier) bool {
	for _, s := range d.upstreams {
		master := d.upstreams[len(d.upstreams)-1]
		switch {
		case !d.settings.Tiers.BypassAllowed || s.tier > last || (r.shielded && !r.uncacheable):
		case s.tier == parentTier && master.tier == originTier && d.maySourceFrom(r, s) &&
			!d.atLimit(&s.asSource, 2*d.transferWork(r)) && d.send(r, s, master):
			return true
		case s.tier == originTier && (r.uncacheable || !d.atLimit(&s.asSource, d.transferWork(r))) && d.send(r, s, nil):
			return true
		}
	}
	return false
}

// maySourceFrom tells whether a parent may be the request's source: a miss or refusal has moved it up a tier.
func (d *Router) maySourceFrom(r *requestState, p *serverState) bool {
	return r.minSourceTier <= parentTier && !r.uncacheable && (!p.ejected || d.mayProbe(p))
}

// siblingSource is the ordinary path's source: the table's other holder; or the far cache that a master named.
func (d *Router) siblingSource(r *requestState, target *serverState) *serverState {
	if r.minSourceTier > edgeTier || r.uncacheable || (d.settings.Tiers.SiblingFills != "location" && d.settings.Tiers.SiblingFills != "any") {
		return nil
	}
	if far := d.servers[r.remoteSource]; d.isUsable(far) {
		return far
	}
	return d.hintedSource(r, target)
}

// rank orders a group by weighted rendezvous hash of the object: parents of our hub, of others, the origin.
func (d *Router) rank(group []*serverState, object uint64) {
	var hash rand.PCG
	for _, s := range group {
		hash.Seed(object, uint64(s.Host))
		u := (float64(hash.Uint64()>>11) + 0.5) / (1 << 53)
		switch s.rankScore = -d.effectiveWeight(s) / math.Log(u); {
		case s.tier == originTier:
			s.rankScore = math.Inf(-1)
		case s.tier == parentTier && d.sites.WeightFactor(s.Zone) > 0:
			s.rankScore *= d.sites.WeightFactor(s.Zone)
		case s.tier == parentTier && s.Zone == d.settings.Tiers.HubByZone[d.settings.Zone] && d.mayProbe(s):
			s.rankScore = math.Inf(1) // our hub is lost: the next request is the look
		case s.tier == parentTier:
			s.rankScore = -1 / s.rankScore // after all that get some by plan, in the same order
		}
	}
	slices.SortFunc(group, func(a, b *serverState) int {
		return cmp.Or(cmp.Compare(b.rankScore, a.rankScore), cmp.Compare(a.Host, b.Host))
	})
}

// effectiveWeight is what a server can take now, compared with others. A cache that answers slower than the faster
// third of its location loses effectiveWeight by degrees; what all share (a slow origin, a full link) moves nothing.
func (d *Router) effectiveWeight(s *serverState) float64 {
	w := d.slowStartShare(s)
	if s.weightIsCapacity {
		w *= s.Weight
	}
	if s.tier == edgeTier {
		w *= math.Exp(-latencyRatioPenalty * max(0, s.logLatencyRatio-d.baselineLogLatencyRatio-latencyRatioTolerance))
	}
	return w
}
