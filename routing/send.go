package routing

import (
	"cmp"
	"math"
	"time"
)

// The sending of attempts, and the rules that every attempt must satisfy.

// send sends an attempt of the request to target, which fills a miss from source, and reports whether it did:
// the attempt must be allowed and both servers must have capacity. With a nil source, target does not fill.
func (r *Router) send(request *requestState, target, source *serverState) bool {
	if !r.mayAttempt(request, target) || !r.hasCapacityFor(request, target, source) {
		return false
	}
	target.slowStartBucket.Spend(r.transferWork(request))
	maxAge := r.maxAge(request)
	attempt := r.newAttempt(request, target, source)
	r.trackAttempt(request, attempt)
	r.emitAttempt(request, attempt, maxAge)
	return true
}

// mayAttempt reports whether the state of the request, its idempotency and the limits of the deployment
// allow an attempt at target.
func (r *Router) mayAttempt(request *requestState, target *serverState) bool {
	limits := &r.settings.SiteLimits
	if len(request.attempts) >= limits.MaxAttempts || r.now >= request.Deadline || request.streaming {
		return false
	}
	if !r.maySend(request, target) {
		return false
	}
	return request.inFlight == 0 || limits.HedgingAllowed
}

// hasCapacityFor reports whether target and source are ready and their slow-start budgets have room for the
// request. At the target, the work is multiplied by sitehealth.Monitor.AdmissionCost. A nil source has no
// capacity to check.
func (r *Router) hasCapacityFor(request *requestState, target, source *serverState) bool {
	work := r.transferWork(request)
	cost := r.sites.AdmissionCost(request.location.uses, request.uncacheable)
	if !target.takesAttempts() || !r.fitsSlowStart(target, work*cost) {
		return false
	}
	if source == nil {
		return true
	}
	return source.takesAttempts() && r.fitsSlowStart(source, work)
}

// maxAge returns the maximum age of a copy that may answer the request; 0 stands for the freshness lifetime of
// its class. If the request is shielded and only the origin may be its source, the stale window is added to a
// lifetime that is set, because a stale answer is worth more than a rejection. A copy must never be older than
// the latest purge of its object.
func (r *Router) maxAge(request *requestState) time.Duration {
	tiers := &r.settings.Tiers
	lifetime := tiers.FreshnessLifetime[request.Class]
	maxAge := time.Duration(0)
	if request.shielded && request.minSourceTier == originTier && lifetime > 0 {
		maxAge = lifetime + tiers.StaleWindow[request.Class]
	}
	if purge, purged := r.latestPurge(request); purged {
		sincePurge := max(1, r.now-purge.purgedAt)
		maxAge = min(sincePurge, cmp.Or(maxAge, lifetime, math.MaxInt64))
	}
	return maxAge
}

func (r *Router) newAttempt(request *requestState, target, source *serverState) *attemptState {
	class, stats := &r.settings.Classes[request.Class], &r.classes[request.Class]
	work := r.transferWork(request)
	return &attemptState{
		requestID:        request.ID,
		number:           len(request.attempts),
		class:            request.Class,
		target:           target,
		source:           source,
		sentAt:           r.now,
		work:             work,
		declaredWork:     cmp.Or(request.declaredWork, work),
		expectedLatency:  seconds(stats.latency.Value * work / stats.work.Value),
		latencyObjective: class.LatencyObjective + seconds(class.LatencyObjectivePerSize*work),
		halfOpenProbe:    target.ejected || (source != nil && source.ejected),
		likelyFill:       source != nil && r.isLikelyFill(request, target),
		inFlight:         true,
		mayHaveExecuted:  true,
	}
}

// trackAttempt adds an attempt to its request and to the attempts and the work in flight of its servers,
// charges the attempt to the slow-start budget of its source, and marks the server that a half-open probe
// tests.
func (r *Router) trackAttempt(request *requestState, attempt *attemptState) {
	request.attempts = append(request.attempts, attempt)
	request.inFlight++
	request.waiting = false
	r.attempts[attemptKey(attempt.requestID, attempt.number)] = attempt

	target := attempt.target
	target.asTarget.inFlight = append(target.asTarget.inFlight, attempt)
	target.totalInFlightWork += attempt.work
	_, load := attributedTo(attempt)
	load.inFlightWork += attempt.work
	attempt.inFlightWorkAtSend = load.inFlightWork
	if source := attempt.source; source != nil {
		source.slowStartBucket.Spend(attempt.work)
		source.asSource.inFlight = append(source.asSource.inFlight, attempt)
	}
	if attempt.halfOpenProbe {
		probedServer(attempt).probing = true
	}
}

// attemptKey returns the key of an attempt in Router.attempts.
func attemptKey(requestID uint32, number int) uint64 { return uint64(requestID)<<16 | uint64(number) }

// emitAttempt emits a Forward if the target of an attempt is the origin, and a Fetch otherwise.
func (r *Router) emitAttempt(request *requestState, attempt *attemptState, maxAge time.Duration) {
	timeout := time.Duration(0)
	if attempt.halfOpenProbe {
		timeout = r.latencyObjective(request) / 2
	}
	if attempt.target.tier == originTier {
		r.emit(Forward{
			ID:                   request.ID,
			Host:                 attempt.target.Host,
			Timeout:              timeout,
			IdempotencyWindowEnd: request.idempotencyWindowEnd,
		})
		return
	}
	source := cmp.Or(attempt.source, attempt.target)
	r.emit(Fetch{
		ID:                   request.ID,
		Host:                 attempt.target.Host,
		Source:               source.Host,
		RetentionRank:        uint8(min(request.location.uses, maxRetentionRank)),
		Flags:                r.fetchFlags(request, attempt),
		Timeout:              timeout,
		MaxAge:               maxAge,
		IdempotencyWindowEnd: request.idempotencyWindowEnd,
	})
}

func (r *Router) fetchFlags(request *requestState, attempt *attemptState) FetchFlags {
	var flags FetchFlags
	if r.settings.Tiers.CoalescesFills {
		flags |= CoalesceFill
	}
	if r.settings.Tiers.FreshnessLifetime[request.Class] > 0 {
		flags |= StaleWhileRevalidate
	}
	source := attempt.source
	if source == nil {
		return flags
	}
	// Some sources must not fill a miss themselves: siblings, a parent under half-open probe, and parents
	// while the request is shielded from the origin.
	if source.tier == edgeTier || source.ejected || (request.shielded && source.tier == parentTier) {
		flags |= OnlyIfCached
	}
	return flags
}
