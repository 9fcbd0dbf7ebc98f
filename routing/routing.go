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
func (r *Router) advance(request *requestState) {
	switch {
	case len(request.attempts) >= r.settings.SiteLimits.MaxAttempts:
		r.endRequest(request, ReasonAttemptsExhausted)
	case r.now >= request.Deadline:
		r.endRequest(request, ReasonDeadlineExceeded)
	case r.route(request):
	case r.sites.OwnBranchUnavailable():
		r.endRequest(request, ReasonSiteLost)
	case !r.maySend(request, nil):
		r.endRequest(request, ReasonMayHaveExecuted)
	case request.shielded && request.minSourceTier == originTier:
		r.endRequest(request, ReasonOriginShielded)
	case r.now-request.receivedAt > r.settings.Classes[request.Class].LatencyObjective/2:
		r.endRequest(request, ReasonNoServerInTime)
	default:
		r.postpone(request)
	}
}

// postpone keeps a request back for a moment that doubles each time, with jitter so that held requests spread,
// and not past the time at which it would be given up: the answer to that is owed at once.
func (r *Router) postpone(request *requestState) {
	wait := minPostponement << min(request.postponements, 5)
	wait += time.Duration(r.rng.Int64N(int64(wait)))
	wait = min(wait, max(minPostponement, request.receivedAt+r.settings.Classes[request.Class].LatencyObjective/2-r.now))
	request.postponements, request.waiting = request.postponements+1, true
	r.emit(SetTimer{Token: requestTimer | uint64(request.ID), At: min(r.now+wait, request.Deadline)})
}

// route tries the ordinary path and its departures; it tells whether an attempt has left. Past a cache at its
// limit, or swamped while another is not, the next in rank is asked that is not slow. Harm: one fill more.
func (r *Router) route(request *requestState) bool {
	r.rank(r.localCaches, request.Object)
	r.rank(r.upstreams, request.Object)
	work, last := r.transferWork(request), originTier
	free := func(cache *serverState) bool {
		return !cache.ejected && !r.isSlow(cache) && !r.linkSaturated(request, cache, spilloverLoadFraction)
	}
	room := slices.ContainsFunc(r.localCaches, free)
	for _, cache := range r.localCaches {
		switch {
		case slices.Contains(request.avoidTargets, cache), request.uncacheable && (cache.ejected || r.settings.Tiers.BypassAllowed):
		case cache.ejected:
			if r.mayProbe(cache) && r.send(request, cache, nil) {
				return true
			}
		case room && r.linkSaturated(request, cache, 1),
			r.atLimit(&cache.asTarget, work) && (r.isLikelyFill(request, cache) || r.atLimit(&cache.asTarget, work-hitLimitHeadroom*cache.asTarget.concurrencyLimit.Value(r.now))):
			last = parentTier
		case last == parentTier && (!free(cache) || cache.asTarget.inFlightWork > spilloverLoadFraction*cache.asTarget.concurrencyLimit.Value(r.now)):
		case r.fetchThrough(request, cache):
			return true
		case request.triedOnlyIfCached:
			return false
		}
	}
	return r.bypass(request, last)
}

// fetchThrough asks a cache, with the tiers' source: sibling, parent, origin. One at its limit is passed over; where
// all are, the cache is asked once for what it holds. By a crowded origin some get only what parents hold.
func (r *Router) fetchThrough(request *requestState, cache *serverState) bool {
	if source := r.siblingSource(request, cache); (source != nil && r.send(request, cache, source)) || r.askPeers(request) {
		return true
	}
	limited, full := r.isLikelyFill(request, cache) && !request.uncacheable, false
	if limited && !request.shieldDecided {
		request.shieldDecided, request.shielded = true, r.rng.Float64() >= min(r.originShield.AdmitFraction(r.now), r.sites.FillShare(r.now, request.Class))
	}
	tells := limited && !request.shielded && !r.settings.Tiers.CoalescesFills && r.settings.Tiers.FillStatusReported == "all"
	if tells && r.probeBeforeFill.ShouldProbe(r.now, cache.warmingUpSince != 0, r.originShield.AdmitFraction(r.now), max(request.onlyIfCachedCount, len(request.attempts))) &&
		r.fitsSlowStart(cache, 2*r.transferWork(request)) { // what it lacks is then filled there
		return r.send(request, cache, nil)
	}
	for _, source := range r.upstreams {
		switch {
		case source.tier == parentTier && !r.maySourceFrom(request, source):
		case limited && (r.atLimit(&source.asSource, r.transferWork(request)) || (request.shielded && source.tier == originTier)):
			full = true
		case r.send(request, cache, source):
			return true
		}
	}
	stale := request.shielded && request.minSourceTier == originTier && r.settings.Tiers.StaleWindow[request.Class] > 0
	if !full || request.triedOnlyIfCached || (!stale && (request.onlyIfCachedCount > 0 || request.shielded)) {
		return false
	}
	request.triedOnlyIfCached = true
	return r.send(request, cache, nil)
}

// bypass goes straight to a parent or the origin, where site and limits allow it: where no cache may be
// asked, or (parents only) the one picked has all it can answer in time. Harm: nothing is kept.
func (r *Router) bypass(request *requestState, lastTier tier) bool {
	for _, upstream := range r.upstreams {
		master := r.upstreams[len(r.upstreams)-1]
		switch {
		case !r.settings.Tiers.BypassAllowed || upstream.tier > lastTier || (request.shielded && !request.uncacheable):
		case upstream.tier == parentTier && master.tier == originTier && r.maySourceFrom(request, upstream) &&
			!r.atLimit(&upstream.asSource, 2*r.transferWork(request)) && r.send(request, upstream, master):
			return true
		case upstream.tier == originTier && (request.uncacheable || !r.atLimit(&upstream.asSource, r.transferWork(request))) && r.send(request, upstream, nil):
			return true
		}
	}
	return false
}

// maySourceFrom tells whether a parent may be the request's source: a miss or refusal has moved it up a tier.
func (r *Router) maySourceFrom(request *requestState, parent *serverState) bool {
	return request.minSourceTier <= parentTier && !request.uncacheable && (!parent.ejected || r.mayProbe(parent))
}

// siblingSource is the ordinary path's source: the table's other holder; or the far cache that a master named.
func (r *Router) siblingSource(request *requestState, target *serverState) *serverState {
	if request.minSourceTier > edgeTier || request.uncacheable || (r.settings.Tiers.SiblingFills != "location" && r.settings.Tiers.SiblingFills != "any") {
		return nil
	}
	if remote := r.servers[request.remoteSource]; r.isUsable(remote) {
		return remote
	}
	return r.hintedSource(request, target)
}

// rank orders a group by weighted rendezvous hash of the object: parents of our hub, of others, the origin.
func (r *Router) rank(group []*serverState, object uint64) {
	var hash rand.PCG
	for _, server := range group {
		hash.Seed(object, uint64(server.Host))
		uniform := (float64(hash.Uint64()>>11) + 0.5) / (1 << 53)
		switch server.rankScore = -r.effectiveWeight(server) / math.Log(uniform); {
		case server.tier == originTier:
			server.rankScore = math.Inf(-1)
		case server.tier == parentTier && r.sites.WeightFactor(server.Zone) > 0:
			server.rankScore *= r.sites.WeightFactor(server.Zone)
		case server.tier == parentTier && server.Zone == r.settings.Tiers.HubByZone[r.settings.Zone] && r.mayProbe(server):
			server.rankScore = math.Inf(1) // our hub is lost: the next request is the look
		case server.tier == parentTier:
			server.rankScore = -1 / server.rankScore // after all that get some by plan, in the same order
		}
	}
	slices.SortFunc(group, func(a, b *serverState) int {
		return cmp.Or(cmp.Compare(b.rankScore, a.rankScore), cmp.Compare(a.Host, b.Host))
	})
}

// effectiveWeight is what a server can take now, compared with others. A cache that answers slower than the faster
// third of its location loses effectiveWeight by degrees; what all share (a slow origin, a full link) moves nothing.
func (r *Router) effectiveWeight(server *serverState) float64 {
	weight := r.slowStartShare(server)
	if server.weightIsCapacity {
		weight *= server.Weight
	}
	if server.tier == edgeTier {
		weight *= math.Exp(-latencyRatioPenalty * max(0, server.logLatencyRatio-r.baselineLogLatencyRatio-latencyRatioTolerance))
	}
	return weight
}
