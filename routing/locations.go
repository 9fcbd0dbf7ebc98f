package routing

import "cmp"

// Content location: which caches likely hold a copy of an object. The table has two generations; an entry
// that is used moves to the current one, and the older one is dropped with each rotation.

// recordUse counts a use of an object and returns its entry of the location table.
func (r *Router) recordUse(key objectKey) *contentLocation {
	location := cmp.Or(r.currentLocations[key], r.previousLocations[key])
	if location == nil {
		location = &contentLocation{}
	}
	location.uses++
	if len(r.currentLocations) >= maxTableEntries {
		r.rotateLocations()
	}
	r.currentLocations[key] = location
	return location
}

func (r *Router) rotateLocations() {
	r.currentLocations, r.previousLocations = r.previousLocations, r.currentLocations
	r.rotatedAt = r.now
	clear(r.currentLocations)
}

// recordLocation notes that a cache has answered a request, so that it likely holds a copy.
func (r *Router) recordLocation(request *requestState, target *serverState) {
	if target.tier != edgeTier || request.uncacheable {
		return
	}
	hints := &request.location.hints
	if hints[0].server != target {
		hints[1] = hints[0]
	}
	hints[0] = locationHint{target, r.now}
}

// dropHints forgets that a cache holds a copy.
func (l *contentLocation) dropHints(server *serverState) {
	for i, hint := range l.hints {
		if hint.server == server {
			l.hints[i] = locationHint{}
		}
	}
}

// hintedSource is a cache other than target that likely holds a copy that will do, and is fast enough to fill
// from; nil: there is none.
func (r *Router) hintedSource(request *requestState, target *serverState) *serverState {
	for _, hint := range request.location.hints {
		if hint.server == target || !r.isUsable(hint.server) || r.now-hint.answeredAt > siblingHintLifetime {
			continue
		}
		if r.isValid(request, hint) && !r.isSlow(hint.server) {
			return hint.server
		}
	}
	return nil
}

// isLikelyFill tells that the location table does not know the cache for holding a copy that will do.
func (r *Router) isLikelyFill(request *requestState, cache *serverState) bool {
	for _, hint := range request.location.hints {
		if hint.server == cache && r.isValid(request, hint) {
			return false
		}
	}
	return true
}

// isValid tells that a hint is not outdated by its age, by a purge, or by a restart of the cache.
func (r *Router) isValid(request *requestState, hint locationHint) bool {
	if r.now-hint.answeredAt > hintLifetime || hint.answeredAt < hint.server.invalidatedAt {
		return false
	}
	purge, purged := r.latestPurge(request)
	return !purged || hint.answeredAt > purge.notifiedAt
}
