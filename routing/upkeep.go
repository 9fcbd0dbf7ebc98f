package routing

import (
	"maps"
	"slices"
	"time"
)

// What is done by time alone: overdue attempts, second copies, forgetting.

// handleTick takes attempts that are out for long as samples of pace, and sweeps.
func (r *Router) handleTick() {
	r.emit(SetTimer{Token: tickTimer, At: r.now + tickInterval})
	r.sites.Tick(r.now, r.originShield.AdmitFraction(r.now), r.logSiteChange)
	for _, cache := range r.localCaches {
		if r.sites.OwnBranchUnavailable() && !cache.ejected {
			r.eject(cache, "site lost")
		}
		for _, attempt := range cache.asTarget.inFlight {
			if r.now-attempt.sentAt > max(attempt.nextSampleAfter, 2*attempt.expectedLatency) {
				if attempt.nextSampleAfter == 0 && !attempt.likelyFill { // a fill may wait for its source
					cache.siteMember.RecordTimeout(r.now, attempt.sentAt)
				}
				r.sampleLatencyRatio(attempt)
			}
			if attempt.likelyFill && attempt.source.lastAnswerAsSource > attempt.sentAt && cache.lastAnswerAsTarget > attempt.sentAt && !r.isSlow(cache) && r.now-attempt.sentAt > attempt.latencyObjective {
				r.originShield.RecordAnswer(r.now, attempt.sentAt, true) // neither hangs, so the origin does
			}
			r.hedge(attempt)
		}
	}
	r.sweep()
}

// hedge asks the cache of a lost attempt once more, for what it holds. Copies that bring answers earn more.
func (r *Router) hedge(attempt *attemptState) {
	request, target := r.requests[attempt.requestID], attempt.target
	if !r.settings.SiteLimits.HedgingAllowed || r.settings.Classes[attempt.class].Idempotency != "read_like" || request == nil || attempt.halfOpenProbe ||
		request.hedges >= maxHedgesPerRequest || request.inFlight != request.hedges+1 || attempt.number != len(request.attempts)-1 ||
		r.hedgeTokens < 1 || !r.seemsLost(attempt) || target.asTarget.inFlightWork+2*attempt.work > target.asTarget.concurrencyLimit.Value(r.now) {
		return
	}
	if r.send(request, target, nil) {
		request.hedges++
		r.hedgeTokens--
	}
}

// sweep drops old purges and turns the table's generations.
func (r *Router) sweep() {
	if r.now-r.sweptAt < time.Second {
		return
	}
	r.sweptAt = r.now
	paces := []float64{0}
	for _, cache := range r.localCaches {
		cache.logLatencyRatio *= latencyRatioDecay
		paces = append(paces, cache.logLatencyRatio)
	}
	slices.Sort(paces[1:])
	r.baselineLogLatencyRatio = paces[min(len(paces)-1, (len(paces)+2)/3)] // of the faster third
	maps.DeleteFunc(r.purges, func(_ purgeKey, record purgeRecord) bool {
		return r.now-record.notifiedAt > max(r.settings.Tiers.PurgePropagation, siblingHintLifetime)+time.Second
	})
	if r.now-r.rotatedAt > hintLifetime {
		r.rotateLocations()
	}
}
