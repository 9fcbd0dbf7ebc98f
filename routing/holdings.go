package routing

import (
	"cmp"
)

// What caches are believed to hold, and the purges that void it.

// use counts a use of the object and returns what the table says of it.
func (d *Router) use(k objectPart) *entry {
	e := cmp.Or(d.cur[k], d.prev[k], &entry{})
	e.uses++
	if len(d.cur) >= tableSize {
		d.turn()
	}
	d.cur[k] = e
	return e
}

func (d *Router) turn() {
	d.cur, d.prev, d.turned = d.prev, d.cur, d.now
	clear(d.cur)
}

// holder is a cache, other than one, that the table believes to hold a copy that will do; nil: none.
func (d *Router) holder(r *request, other *server) *server {
	for _, h := range r.held.by {
		if h.host != other && d.usable(h.host) && d.now-h.at <= entryAge && d.valid(r, h) && !d.slow(h.host) {
			return h.host
		}
	}
	return nil
}

// likelyFill tells that the table does not know the cache as a holder of a copy that will do.
func (d *Router) likelyFill(r *request, t *server) bool {
	by := &r.held.by
	return !(by[0].host == t && d.valid(r, by[0])) && !(by[1].host == t && d.valid(r, by[1]))
}

// valid tells that neither age, nor a purge, nor a restart has voided what the table says.
func (d *Router) valid(r *request, h holder) bool {
	p, purged := d.lastPurge(r)
	return d.now-h.at <= seenAge && h.at >= h.host.void && !(purged && h.at <= p.told)
}

// lastPurge is the latest purge that touches the request.
func (d *Router) lastPurge(r *request) (p purge, ok bool) {
	for _, k := range [...]purgeKey{{object: r.Object}, {group: r.Group + 1}, {}} {
		if q := d.purges[k]; q.told > 0 && (!ok || q.made > p.made) {
			p, ok = q, true
		}
	}
	return p, ok
}

// purged notes a purge. Holders of the object are void from now on.
func (d *Router) purged(p Purge) {
	k := purgeKey{object: p.Object}
	if p.Object == 0 {
		k.group = p.Group + 1
	}
	if len(d.purges) >= tableSize {
		k = purgeKey{} // more than we keep one by one: all older copies count as purged
		clear(d.purges)
	}
	d.purges[k] = purge{made: max(d.now-p.Age, d.purges[k].made), told: d.now}
}
