package routing

// Periodic checks and the expiry of stored state.

// handleTick runs every tickInterval. It updates the health of sites, ejects the local caches while the
// director's branch is unavailable, checks the attempts in flight at the local caches, and calls sweep.
func (r *Router) handleTick() {
	r.emit(SetTimer{Token: tickTimer, At: r.now + tickInterval})
	r.sites.Tick(r.now, r.originShield.AdmitFraction(r.now), r.logSiteChange)
	for _, cache := range r.localCaches {
		if r.sites.OwnBranchUnavailable() && !cache.ejected {
			r.eject(cache, "site lost")
		}
		for _, attempt := range cache.asTarget.inFlight {
			r.checkInFlight(attempt)
		}
	}
	r.sweep()
}

// checkInFlight evaluates an attempt in flight: an attempt that takes long counts as a latency sample and as
// evidence about its site and the origin, and an attempt whose answer seems lost is hedged.
func (r *Router) checkInFlight(attempt *attemptState) {
	cache := attempt.target
	elapsed := r.now - attempt.sentAt
	if elapsed > max(attempt.nextSampleAfter, 2*attempt.expectedLatency) {
		if attempt.nextSampleAfter == 0 && !attempt.likelyFill { // a fill may wait for its source
			cache.siteMember.RecordTimeout(r.now, attempt.sentAt)
		}
		r.sampleLatencyRatio(attempt)
	}
	if elapsed > attempt.latencyObjective && r.waitsForOrigin(attempt) {
		r.originShield.RecordAnswer(r.now, attempt.sentAt, true)
	}
	r.hedge(attempt)
}

// waitsForOrigin reports whether an attempt is a likely fill that must be waiting for the origin: its cache
// and its source have answered other attempts since it was sent, and the cache is not slow.
func (r *Router) waitsForOrigin(attempt *attemptState) bool {
	if !attempt.likelyFill || r.isSlow(attempt.target) {
		return false
	}
	sourceAnswers := attempt.source.lastAnswerAsSource > attempt.sentAt
	cacheAnswers := attempt.target.lastAnswerAsTarget > attempt.sentAt
	return sourceAnswers && cacheAnswers
}

// sweep decays and expires stored state, every sweepInterval.
func (r *Router) sweep() {
	if r.now-r.sweptAt < sweepInterval {
		return
	}
	r.sweptAt = r.now
	r.decayLatencyRatios()
	r.expirePurges()
	if r.now-r.rotatedAt > hintLifetime {
		r.rotateLocations()
	}
}
