package routing

import (
	"cmp"
)

// What caches are believed to hold, and the purges that void it.

// recordUse counts a recordUse of the object and returns what the table says of it.
func (d *Router) recordUse(k objectKey) *contentLocation {
	e := cmp.Or(d.currentLocations[k], d.previousLocations[k], &contentLocation{})
	e.uses++
	if len(d.currentLocations) >= maxTableEntries {
		d.rotateLocations()
	}
	d.currentLocations[k] = e
	return e
}

func (d *Router) rotateLocations() {
	d.currentLocations, d.previousLocations, d.rotatedAt = d.previousLocations, d.currentLocations, d.now
	clear(d.currentLocations)
}

// hintedSource is a cache, other than one, that the table believes to hold a copy that will do; nil: none.
func (d *Router) hintedSource(r *requestState, other *serverState) *serverState {
	for _, h := range r.location.hints {
		if h.server != other && d.isUsable(h.server) && d.now-h.answeredAt <= siblingHintLifetime && d.isValid(r, h) && !d.isSlow(h.server) {
			return h.server
		}
	}
	return nil
}

// isLikelyFill tells that the table does not know the cache as a holder of a copy that will do.
func (d *Router) isLikelyFill(r *requestState, t *serverState) bool {
	by := &r.location.hints
	return !(by[0].server == t && d.isValid(r, by[0])) && !(by[1].server == t && d.isValid(r, by[1]))
}

// isValid tells that neither age, nor a purge, nor a restart has voided what the table says.
func (d *Router) isValid(r *requestState, h locationHint) bool {
	p, purged := d.latestPurge(r)
	return d.now-h.answeredAt <= hintLifetime && h.answeredAt >= h.server.invalidatedAt && !(purged && h.answeredAt <= p.notifiedAt)
}

// latestPurge is the latest purge that touches the request.
func (d *Router) latestPurge(r *requestState) (p purgeRecord, ok bool) {
	for _, k := range [...]purgeKey{{object: r.Object}, {group: r.Group + 1}, {}} {
		if q := d.purges[k]; q.notifiedAt > 0 && (!ok || q.purgedAt > p.purgedAt) {
			p, ok = q, true
		}
	}
	return p, ok
}

// handlePurge notes a purge. Holders of the object are void from now on.
func (d *Router) handlePurge(p Purge) {
	k := purgeKey{object: p.Object}
	if p.Object == 0 {
		k.group = p.Group + 1
	}
	if len(d.purges) >= maxTableEntries {
		k = purgeKey{} // more than we keep one by one: all older copies count as purged
		clear(d.purges)
	}
	d.purges[k] = purgeRecord{purgedAt: max(d.now-p.Age, d.purges[k].purgedAt), notifiedAt: d.now}
}
