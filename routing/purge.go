package routing

import "maps"

// Purges: no copy from before one may be served.

// handlePurge notes a purge. Hints for what it concerns are void from now on.
func (r *Router) handlePurge(purge Purge) {
	key := purgeKey{object: purge.Object}
	if purge.Object == 0 {
		key.group = groupKey(purge.Group)
	}
	if len(r.purges) >= maxTableEntries {
		key = purgeKey{} // more than are kept one by one: all older copies count as purged
		clear(r.purges)
	}
	purgedAt := max(r.now-purge.Age, r.purges[key].purgedAt)
	r.purges[key] = purgeRecord{purgedAt: purgedAt, notifiedAt: r.now}
}

// groupKey counts groups from 1, as 0 in a purgeKey stands for none.
func groupKey(group int) int { return group + 1 }

// latestPurge is the latest purge that concerns the request's object.
func (r *Router) latestPurge(request *requestState) (latest purgeRecord, purged bool) {
	keys := [...]purgeKey{{object: request.Object}, {group: groupKey(request.Group)}, {}}
	for _, key := range keys {
		record := r.purges[key]
		if record.notifiedAt > 0 && (!purged || record.purgedAt > latest.purgedAt) {
			latest, purged = record, true
		}
	}
	return latest, purged
}

// expirePurges forgets purges that have reached all caches, and are older than all hints.
func (r *Router) expirePurges() {
	lifetime := max(r.settings.Tiers.PurgePropagation, siblingHintLifetime) + purgeMargin
	maps.DeleteFunc(r.purges, func(_ purgeKey, record purgeRecord) bool {
		return r.now-record.notifiedAt > lifetime
	})
}
