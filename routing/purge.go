package routing

import "maps"

// Purges: copies that are older than a purge of their object must not be served.

// handlePurge records a purge, which invalidates the earlier location hints for the purged objects. If the
// table of purges is full, it replaces the table by one purge of all objects.
func (r *Router) handlePurge(purge Purge) {
	key := purgeKey{object: purge.Object}
	if purge.Object == 0 {
		key.group = groupKey(purge.Group)
	}
	if len(r.purges) >= maxTableEntries {
		key = purgeKey{} // too many to keep one by one: everything counts as purged
		clear(r.purges)
	}
	purgedAt := max(r.now-purge.Age, r.purges[key].purgedAt)
	r.purges[key] = purgeRecord{purgedAt: purgedAt, notifiedAt: r.now}
}

// groupKey returns the value of purgeKey.group for a group index: the index plus 1, because 0 stands for no
// group.
func groupKey(group int) int { return group + 1 }

// latestPurge returns the latest purge that covers the request's object; purged is false if there is none.
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

// expirePurges removes a purge after the longer of PurgePropagation and siblingHintLifetime, plus purgeMargin,
// since the director was notified of the purge. By then the purge has reached all caches, and hints from before
// the purge are too old to make a cache the source of a fill.
func (r *Router) expirePurges() {
	lifetime := max(r.settings.Tiers.PurgePropagation, siblingHintLifetime) + purgeMargin
	maps.DeleteFunc(r.purges, func(_ purgeKey, record purgeRecord) bool {
		return r.now-record.notifiedAt > lifetime
	})
}
