package routing

import "cmp"

// Content location: which caches likely hold a copy of an object. The location table has two generations: an
// entry that is used moves to the current generation, and each rotation drops the previous generation.

// recordUse counts a request or a location query for a part of an object, and returns the part's entry in the
// location table.
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

// recordLocation records that a cache has answered a request and therefore likely holds a copy of the object.
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

// dropHints removes the hints that a server holds a copy.
func (l *contentLocation) dropHints(server *serverState) {
	for i, hint := range l.hints {
		if hint.server == server {
			l.hints[i] = locationHint{}
		}
	}
}

// hintedSource returns a cache other than target that likely holds a valid copy and is not slow, or nil if
// there is none.
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

// isLikelyFill reports whether the location table has no valid hint that the cache holds a copy, so that the
// cache will probably have to fill.
func (r *Router) isLikelyFill(request *requestState, cache *serverState) bool {
	for _, hint := range request.location.hints {
		if hint.server == cache && r.isValid(request, hint) {
			return false
		}
	}
	return true
}

// isValid reports whether a hint is still valid: not too old, and later than any purge of the object and any
// restart of the cache.
func (r *Router) isValid(request *requestState, hint locationHint) bool {
	if r.now-hint.answeredAt > hintLifetime || hint.answeredAt < hint.server.invalidatedAt {
		return false
	}
	purge, purged := r.latestPurge(request)
	return !purged || hint.answeredAt > purge.notifiedAt
}
