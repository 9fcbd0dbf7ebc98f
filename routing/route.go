package routing

import "slices"

// Which server a request goes to, and where a miss is filled from.

// route looks for a target and a source for the request's next attempt, and tells whether an attempt was
// sent. Caches are tried in the order of their rank for the object. Past one at its limit, the object spills
// over to the next cache that is not slow and has room, at the price of one more fill.
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

// isRuledOut tells that a cache is no target of the request: an attempt has failed there, or the request
// gains nothing from a cache.
func (r *Router) isRuledOut(request *requestState, cache *serverState) bool {
	if slices.Contains(request.avoidTargets, cache) {
		return true
	}
	return request.uncacheable && (cache.ejected || r.settings.Tiers.BypassAllowed)
}

// isFull tells that a cache should not get the request: its link is saturated while another cache has room,
// or it is at its concurrency limit. A likely hit may exceed the limit by some headroom, as it costs less
// than a fill elsewhere.
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

// hasRoomForSpillover tells that a cache could take objects that rank another cache first.
func (r *Router) hasRoomForSpillover(request *requestState, cache *serverState) bool {
	return !cache.ejected && !r.isSlow(cache) && !r.linkSaturated(request, cache, spilloverLoadFraction)
}

// takesSpillover is hasRoomForSpillover by the concurrency limit as well.
func (r *Router) takesSpillover(request *requestState, cache *serverState) bool {
	if !r.hasRoomForSpillover(request, cache) {
		return false
	}
	load := &cache.asTarget
	return load.inFlightWork <= spilloverLoadFraction*load.concurrencyLimit.Value(r.now)
}

// fetchThrough sends the request to a cache, with the first source that may be used: a sibling, a parent, the
// origin. Where all sources are at their limits, the cache is asked once for a cached copy only.
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

// decideShielding draws once whether the request's fill may reach the origin. When the origin is overloaded,
// or a lost site's objects move to other hubs, only a part of the fills may.
func (r *Router) decideShielding(request *requestState) {
	if request.shieldDecided {
		return
	}
	request.shieldDecided = true
	draw := r.rng.Float64()
	admitted := min(r.originShield.AdmitFraction(r.now), r.sites.FillShare(r.now, request.Class))
	request.shielded = draw >= admitted
}

// shouldProbeBeforeFill tells that the cache is asked for a cached copy first, as others may be filling the
// same object and it does not coalesce fills. The budget must leave room for the fill that follows a miss.
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

// fillFromUpstream sends the request with the first parent, or the origin, that may be its source. If none
// is, atLimit tells whether that was for its limit or for the origin shield.
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

// fetchOnlyIfCached asks a cache for what it has cached, once for a request. Where the origin is shielded
// that is of use only if a stale copy may be served.
func (r *Router) fetchOnlyIfCached(request *requestState, cache *serverState) bool {
	if request.triedOnlyIfCached {
		return false
	}
	mayServeStale := r.settings.Tiers.StaleWindow[request.Class] > 0
	staleWillDo := request.shielded && request.minSourceTier == originTier && mayServeStale
	if !staleWillDo && (request.onlyIfCachedCount > 0 || request.shielded) {
		return false
	}
	request.triedOnlyIfCached = true
	return r.send(request, cache, nil)
}

// bypass sends the request straight to a parent or to the origin, where site and limits allow it: where no
// cache may be asked, or, up to parentTier only, where the caches are full. The price is that no cache keeps
// the answer.
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

// bypassToParent sends the request to a parent that fills from the origin, which ranks last of the upstreams.
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

// bypassToOrigin sends the request to the origin. What only the origin can answer is not held back by its
// limit.
func (r *Router) bypassToOrigin(request *requestState, origin *serverState) bool {
	if !request.uncacheable && r.atLimit(&origin.asSource, r.transferWork(request)) {
		return false
	}
	return r.send(request, origin, nil)
}

// maySourceFrom tells whether a parent may be the request's source. A miss or rejection there has moved the
// request up to the origin.
func (r *Router) maySourceFrom(request *requestState, parent *serverState) bool {
	if request.minSourceTier > parentTier || request.uncacheable {
		return false
	}
	return !parent.ejected || r.mayProbe(parent)
}

// siblingSource is another cache that likely holds a copy: one that a peer has named, or one of the location
// table. nil: there is none.
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
