package routing

import "slices"

// The choice of the target of an attempt, and of the source that a miss is filled from.

// route looks for a target and a source for the request's next attempt, and reports whether an attempt was sent
// or the request waits for a reply from peers. Caches are tried in the order of their rank for the object. If a
// cache is full, the request spills over to the next cache that is not slow and has room, at the cost of an
// additional fill there.
func (r *Router) route(request *requestState) bool {
	r.rank(r.localCaches, request.Object)
	r.rank(r.upstreams, request.Object)
	anyHasRoom := slices.ContainsFunc(r.localCaches, func(cache *serverState) bool {
		return r.hasRoomForSpillover(request, cache)
	})
	highestBypassTier := originTier
	for _, cache := range r.localCaches {
		if r.isRuledOut(request, cache) {
			continue
		}
		if cache.ejected {
			if r.mayProbe(cache) && r.send(request, cache, nil) {
				return true
			}
			continue
		}
		if r.isFull(request, cache, anyHasRoom) {
			highestBypassTier = parentTier
			continue
		}
		isSpillover := highestBypassTier == parentTier
		if isSpillover && !r.takesSpillover(request, cache) {
			continue
		}
		if r.fetchThrough(request, cache) {
			return true
		}
		if request.triedOnlyIfCached {
			return false
		}
	}
	return r.bypass(request, highestBypassTier)
}

// isRuledOut reports whether a cache must not be the target of the request: an attempt has failed there, or
// the request is uncacheable and the cache is ejected or can be bypassed.
func (r *Router) isRuledOut(request *requestState, cache *serverState) bool {
	if slices.Contains(request.avoidTargets, cache) {
		return true
	}
	return request.uncacheable && (cache.ejected || r.settings.Tiers.BypassAllowed)
}

// isFull reports whether a cache has no room for the request: its link is saturated while another cache has
// room, or it is at its concurrency limit. A likely hit may exceed the limit by hitLimitHeadroom times the
// limit, because it costs less than a fill at another cache.
func (r *Router) isFull(request *requestState, cache *serverState, anyHasRoom bool) bool {
	if anyHasRoom && r.linkSaturated(request, cache, 1) {
		return true
	}
	work := r.transferWork(request)
	if !r.atLimit(&cache.asTarget, work) {
		return false
	}
	if r.isLikelyFill(request, cache) {
		return true
	}
	headroom := hitLimitHeadroom * cache.asTarget.concurrencyLimit.Value(r.now)
	return r.atLimit(&cache.asTarget, work-headroom)
}

// hasRoomForSpillover reports whether a cache could accept requests that spill over from a cache of higher
// rank: it is neither ejected nor slow, and the load of its link is at most spilloverLoadFraction of the link's
// capacity.
func (r *Router) hasRoomForSpillover(request *requestState, cache *serverState) bool {
	return !cache.ejected && !r.isSlow(cache) && !r.linkSaturated(request, cache, spilloverLoadFraction)
}

// takesSpillover reports whether a cache accepts requests that spill over from a cache of higher rank: it has
// room by hasRoomForSpillover, and its load is at most spilloverLoadFraction of its concurrency limit.
func (r *Router) takesSpillover(request *requestState, cache *serverState) bool {
	if !r.hasRoomForSpillover(request, cache) {
		return false
	}
	load := &cache.asTarget
	return load.inFlightWork <= spilloverLoadFraction*load.concurrencyLimit.Value(r.now)
}

// fetchThrough sends the request to a cache with the first permitted source: a sibling, a parent or the origin.
// Before a fill from a parent or the origin, it may probe the cache for a cached copy (shouldProbeBeforeFill).
// If it sends no fill because a parent or the origin is at its limit or the request is shielded, it sends the
// request once for a cached copy only. It reports whether an attempt was sent or the request waits for a reply
// from peers.
func (r *Router) fetchThrough(request *requestState, cache *serverState) bool {
	if source := r.siblingSource(request, cache); source != nil && r.send(request, cache, source) {
		return true
	}
	if r.askPeers(request) {
		return true
	}
	limitFills := r.isLikelyFill(request, cache) && !request.uncacheable
	if limitFills {
		r.decideShielding(request)
		if r.shouldProbeBeforeFill(request, cache) {
			return r.send(request, cache, nil)
		}
	}
	sent, sourceAtLimit := r.fillFromUpstream(request, cache, limitFills)
	if sent {
		return true
	}
	return sourceAtLimit && r.fetchOnlyIfCached(request, cache)
}

// decideShielding decides at random, once until the request is postponed and resumed, whether the request is
// shielded: a shielded request must not cause a fill from the origin. While the origin is overloaded, or the
// objects of a lost site move to other hubs, a fraction of the requests is shielded; otherwise none is.
func (r *Router) decideShielding(request *requestState) {
	if request.shieldDecided {
		return
	}
	request.shieldDecided = true
	draw := r.rng.Float64()
	admitted := min(r.originShield.AdmitFraction(r.now), r.sites.FillShare(r.now, request.Class))
	request.shielded = draw >= admitted
}

// shouldProbeBeforeFill reports whether the cache is first asked for a cached copy only, because it does not
// coalesce fills and another request's fill of the same object may be in progress. The slow-start budget of
// the cache must leave room for the fill that follows a miss.
func (r *Router) shouldProbeBeforeFill(request *requestState, cache *serverState) bool {
	tiers := &r.settings.Tiers
	if request.shielded || tiers.CoalescesFills || tiers.FillStatusReported != FillStatusReportedAll {
		return false
	}
	isWarmingUp := cache.warmingUpSince != 0
	openFraction := r.originShield.AdmitFraction(r.now)
	probes := max(request.onlyIfCachedCount, len(request.attempts))
	return r.probeBeforeFill.ShouldProbe(r.now, isWarmingUp, openFraction, probes) &&
		r.fitsSlowStart(cache, 2*r.transferWork(request))
}

// fillFromUpstream sends the request to a cache with the first parent, or the origin, that may be its source.
// If limitFills is set, it skips upstreams at their concurrency limit and, for a shielded request, the
// origin. It reports whether an attempt was sent, and whether an upstream was skipped for these reasons.
func (r *Router) fillFromUpstream(
	request *requestState, cache *serverState, limitFills bool,
) (sent, atLimit bool) {
	work := r.transferWork(request)
	for _, source := range r.upstreams {
		if source.tier == parentTier && !r.maySourceFrom(request, source) {
			continue
		}
		shielded := request.shielded && source.tier == originTier
		if limitFills && (r.atLimit(&source.asSource, work) || shielded) {
			atLimit = true
			continue
		}
		if r.send(request, cache, source) {
			return true, atLimit
		}
	}
	return false, atLimit
}

// fetchOnlyIfCached sends the request to a cache for a cached copy only, at most once for a request, and
// reports whether it did. It sends nothing if a miss has shown that no fill is in progress or if the request
// is shielded, unless a stale copy may be served instead of a fill from the shielded origin.
func (r *Router) fetchOnlyIfCached(request *requestState, cache *serverState) bool {
	if request.triedOnlyIfCached {
		return false
	}
	mayServeStale := r.settings.Tiers.StaleWindow[request.Class] > 0
	staleSuffices := request.shielded && request.minSourceTier == originTier && mayServeStale
	if !staleSuffices && (request.onlyIfCachedCount > 0 || request.shielded) {
		return false
	}
	request.triedOnlyIfCached = true
	return r.send(request, cache, nil)
}

// bypass sends the request directly to a parent or to the origin if the settings and the limits allow it, and
// reports whether it did. highestTier is the highest tier that it may use: parentTier if a cache was full,
// otherwise originTier. The trade-off is that no cache stores the answer.
func (r *Router) bypass(request *requestState, highestTier tier) bool {
	if !r.settings.Tiers.BypassAllowed || (request.shielded && !request.uncacheable) {
		return false
	}
	for _, upstream := range r.upstreams {
		if upstream.tier > highestTier {
			continue
		}
		if upstream.tier == parentTier && r.bypassToParent(request, upstream) {
			return true
		}
		if upstream.tier == originTier && r.bypassToOrigin(request, upstream) {
			return true
		}
	}
	return false
}

// bypassToParent sends the request to a parent that fills a miss from the origin, and reports whether it did.
// The origin is the last of the ranked upstreams.
func (r *Router) bypassToParent(request *requestState, parent *serverState) bool {
	origin := r.upstreams[len(r.upstreams)-1]
	if origin.tier != originTier || !r.maySourceFrom(request, parent) {
		return false
	}
	if r.atLimit(&parent.asSource, 2*r.transferWork(request)) {
		return false
	}
	return r.send(request, parent, origin)
}

// bypassToOrigin sends the request to the origin, and reports whether it did. The concurrency limit of the
// origin does not apply to uncacheable requests, which no other server can answer.
func (r *Router) bypassToOrigin(request *requestState, origin *serverState) bool {
	if !request.uncacheable && r.atLimit(&origin.asSource, r.transferWork(request)) {
		return false
	}
	return r.send(request, origin, nil)
}

// maySourceFrom reports whether a parent may be the request's source. Only the origin may be the source of an
// uncacheable request, and of any request after a miss or a rejection at a parent. An ejected parent may only
// be the source of its half-open probe.
func (r *Router) maySourceFrom(request *requestState, parent *serverState) bool {
	if request.minSourceTier > parentTier || request.uncacheable {
		return false
	}
	return !parent.ejected || r.mayProbe(parent)
}

// siblingSource returns another cache that likely holds a copy, either the cache that a peer has named or one
// from the location table, or nil if there is none.
func (r *Router) siblingSource(request *requestState, target *serverState) *serverState {
	mode := r.settings.Tiers.SiblingFills
	if request.minSourceTier > edgeTier || request.uncacheable ||
		(mode != SiblingFillsLocation && mode != SiblingFillsAny) {
		return nil
	}
	if remote := r.servers[request.remoteSource]; r.isUsable(remote) {
		return remote
	}
	return r.hintedSource(request, target)
}
