package routing

import (
	"maps"
	"slices"
	"time"
)

// What is done by time alone: overdue attempts, second copies, forgetting.

// tick takes attempts that are out for long as samples of pace, and sweeps.
func (d *Router) tick() {
	d.do(SetTimer{Token: tickTimer, At: d.now + tickEvery})
	d.sites.Tick(d.now, d.shield.AdmitFraction(d.now), d.changed)
	for _, s := range d.caches {
		if d.sites.OwnBranchUnavailable() && !s.ejected {
			d.eject(s, "site lost")
		}
		for _, a := range s.to.out {
			if d.now-a.sent > max(a.doubled, 2*a.expect) {
				if a.doubled == 0 && !a.fill { // a fill may wait for its source
					s.seen.RecordTimeout(d.now, a.sent)
				}
				d.timed(a)
			}
			if a.fill && a.source.spoke > a.sent && s.heard > a.sent && !d.slow(s) && d.now-a.sent > a.aim {
				d.shield.RecordAnswer(d.now, a.sent, true) // neither hangs, so the origin does
			}
			d.again(a)
		}
	}
	d.sweep()
}

// again asks the cache of a lost attempt once more, for what it holds. Copies that bring answers earn more.
func (d *Router) again(a *attempt) {
	r, t := d.reqs[a.id], a.target
	if !d.s.SiteLimits.HedgingAllowed || d.s.Classes[a.class].Idempotency != "read_like" || r == nil || a.look ||
		r.copies >= copiesEach || r.out != r.copies+1 || a.no != len(r.tries)-1 ||
		d.copies < 1 || !d.lost(a) || t.to.load+2*a.work > t.to.limit.Value(d.now) {
		return
	}
	if d.send(r, t, nil) {
		r.copies++
		d.copies--
	}
}

// sweep drops old purges and turns the table's generations.
func (d *Router) sweep() {
	if d.now-d.swept < time.Second {
		return
	}
	d.swept = d.now
	paces := []float64{0}
	for _, s := range d.caches {
		s.pace *= paceFades
		paces = append(paces, s.pace)
	}
	slices.Sort(paces[1:])
	d.pace = paces[min(len(paces)-1, (len(paces)+2)/3)] // of the faster third
	maps.DeleteFunc(d.purges, func(_ purgeKey, p purge) bool {
		return d.now-p.told > max(d.s.Tiers.PurgePropagation, entryAge)+time.Second
	})
	if d.now-d.turned > seenAge {
		d.turn()
	}
}
