package routing

import (
	"maps"
	"slices"
	"time"
)

// What is done by time alone: overdue attempts, second copies, forgetting.

// handleTick takes attempts that are out for long as samples of pace, and sweeps.
func (d *Router) handleTick() {
	d.emit(SetTimer{Token: tickTimer, At: d.now + tickInterval})
	d.sites.Tick(d.now, d.originShield.AdmitFraction(d.now), d.logSiteChange)
	for _, s := range d.localCaches {
		if d.sites.OwnBranchUnavailable() && !s.ejected {
			d.eject(s, "site lost")
		}
		for _, a := range s.asTarget.inFlight {
			if d.now-a.sentAt > max(a.nextSampleAfter, 2*a.expectedLatency) {
				if a.nextSampleAfter == 0 && !a.likelyFill { // a fill may wait for its source
					s.siteMember.RecordTimeout(d.now, a.sentAt)
				}
				d.sampleLatencyRatio(a)
			}
			if a.likelyFill && a.source.lastAnswerAsSource > a.sentAt && s.lastAnswerAsTarget > a.sentAt && !d.isSlow(s) && d.now-a.sentAt > a.latencyObjective {
				d.originShield.RecordAnswer(d.now, a.sentAt, true) // neither hangs, so the origin does
			}
			d.hedge(a)
		}
	}
	d.sweep()
}

// hedge asks the cache of a lost attempt once more, for what it holds. Copies that bring answers earn more.
func (d *Router) hedge(a *attemptState) {
	r, t := d.requests[a.requestID], a.target
	if !d.settings.SiteLimits.HedgingAllowed || d.settings.Classes[a.class].Idempotency != "read_like" || r == nil || a.halfOpenProbe ||
		r.hedges >= maxHedgesPerRequest || r.inFlight != r.hedges+1 || a.number != len(r.attempts)-1 ||
		d.hedgeTokens < 1 || !d.seemsLost(a) || t.asTarget.inFlightWork+2*a.work > t.asTarget.concurrencyLimit.Value(d.now) {
		return
	}
	if d.send(r, t, nil) {
		r.hedges++
		d.hedgeTokens--
	}
}

// sweep drops old purges and turns the table's generations.
func (d *Router) sweep() {
	if d.now-d.sweptAt < time.Second {
		return
	}
	d.sweptAt = d.now
	paces := []float64{0}
	for _, s := range d.localCaches {
		s.logLatencyRatio *= latencyRatioDecay
		paces = append(paces, s.logLatencyRatio)
	}
	slices.Sort(paces[1:])
	d.baselineLogLatencyRatio = paces[min(len(paces)-1, (len(paces)+2)/3)] // of the faster third
	maps.DeleteFunc(d.purges, func(_ purgeKey, p purgeRecord) bool {
		return d.now-p.notifiedAt > max(d.settings.Tiers.PurgePropagation, siblingHintLifetime)+time.Second
	})
	if d.now-d.rotatedAt > hintLifetime {
		d.rotateLocations()
	}
}
