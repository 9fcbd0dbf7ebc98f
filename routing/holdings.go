package routing

import (
	"cmp"
)

// What caches are believed to hold, and the purges that void it.

// recordUse counts a recordUse of the object and returns what the table says of it.
func (r *Router) recordUse(key objectKey) *contentLocation {
	location := cmp.Or(r.currentLocations[key], r.previousLocations[key], &contentLocation{})
	location.uses++
	if len(r.currentLocations) >= maxTableEntries {
		r.rotateLocations()
	}
	r.currentLocations[key] = location
	return location
}

func (r *Router) rotateLocations() {
	r.currentLocations, r.previousLocations, r.rotatedAt = r.previousLocations, r.currentLocations, r.now
	clear(r.currentLocations)
}

// hintedSource is a cache, other than one, that the table believes to hold a copy that will do; nil: none.
func (r *Router) hintedSource(request *requestState, other *serverState) *serverState {
	for _, hint := range request.location.hints {
		if hint.server != other && r.isUsable(hint.server) && r.now-hint.answeredAt <= siblingHintLifetime && r.isValid(request, hint) && !r.isSlow(hint.server) {
			return hint.server
		}
	}
	return nil
}

// isLikelyFill tells that the table does not know the cache as a holder of a copy that will do.
func (r *Router) isLikelyFill(request *requestState, cache *serverState) bool {
	hints := &request.location.hints
	return !(hints[0].server == cache && r.isValid(request, hints[0])) && !(hints[1].server == cache && r.isValid(request, hints[1]))
}

// isValid tells that neither age, nor a purge, nor a restart has voided what the table says.
func (r *Router) isValid(request *requestState, hint locationHint) bool {
	record, purged := r.latestPurge(request)
	return r.now-hint.answeredAt <= hintLifetime && hint.answeredAt >= hint.server.invalidatedAt && !(purged && hint.answeredAt <= record.notifiedAt)
}

// latestPurge is the latest purge that touches the request.
func (r *Router) latestPurge(request *requestState) (latest purgeRecord, ok bool) {
	for _, key := range [...]purgeKey{{object: request.Object}, {group: request.Group + 1}, {}} {
		if record := r.purges[key]; record.notifiedAt > 0 && (!ok || record.purgedAt > latest.purgedAt) {
			latest, ok = record, true
		}
	}
	return latest, ok
}

// handlePurge notes a purge. Holders of the object are void from now on.
func (r *Router) handlePurge(purge Purge) {
	key := purgeKey{object: purge.Object}
	if purge.Object == 0 {
		key.group = purge.Group + 1
	}
	if len(r.purges) >= maxTableEntries {
		key = purgeKey{} // more than we keep one by one: all older copies count as purged
		clear(r.purges)
	}
	r.purges[key] = purgeRecord{purgedAt: max(r.now-purge.Age, r.purges[key].purgedAt), notifiedAt: r.now}
}
