package routing

import (
	"cmp"
	"math"
	"time"
)

// Every attempt leaves through send: the rules that bind all of them are checked there.

// send is the one way out for an attempt: it checks attempts left, the effect rule, second copies, drain
// and cold budget of target and source, and sets the age that purges allow.
func (r *Router) send(request *requestState, target, source *serverState) bool {
	tiers := &r.settings.Tiers
	if len(request.attempts) >= r.settings.SiteLimits.MaxAttempts || r.now >= request.Deadline || request.streaming || !r.maySend(request, target) {
		return false
	}
	work := r.transferWork(request)
	if (request.inFlight > 0 && !r.settings.SiteLimits.HedgingAllowed) || !target.listed || target.State != Ready ||
		!r.fitsSlowStart(target, work*r.sites.AdmissionCost(request.location.uses, request.uncacheable)) ||
		(source != nil && (!source.listed || source.State != Ready)) || !r.fitsSlowStart(source, work) {
		return false
	}
	target.slowStartBucket.Spend(work)

	stats, class := &r.classes[request.Class], &r.settings.Classes[request.Class]
	age, fresh := time.Duration(0), tiers.FreshnessLifetime[request.Class]
	if request.shielded && request.minSourceTier == originTier && fresh > 0 {
		age = fresh + tiers.StaleWindow[request.Class] // nothing fresh is to be had: that earns a part, a refusal nothing
	}
	if purge, ok := r.latestPurge(request); ok {
		age = min(max(1, r.now-purge.purgedAt), cmp.Or(age, fresh, math.MaxInt64))
	}
	attempt := &attemptState{requestID: request.ID, number: len(request.attempts), class: request.Class, target: target, source: source, sentAt: r.now,
		work: work, declaredWork: cmp.Or(request.declaredWork, work), expectedLatency: seconds(stats.latency.Value * work / stats.work.Value),
		latencyObjective: class.LatencyObjective + seconds(class.LatencyObjectivePerSize*work), inFlight: true, mayHaveExecuted: true,
		halfOpenProbe: target.ejected || (source != nil && source.ejected), likelyFill: source != nil && r.isLikelyFill(request, target)}
	request.attempts, request.inFlight, request.waiting = append(request.attempts, attempt), request.inFlight+1, false
	r.attempts[uint64(request.ID)<<16|uint64(attempt.number)] = attempt
	target.asTarget.inFlight = append(target.asTarget.inFlight, attempt)
	target.totalInFlightWork += work
	_, load := attributedTo(attempt)
	load.inFlightWork += work
	attempt.inFlightWorkAtSend = load.inFlightWork
	fetch := Fetch{ID: request.ID, Host: target.Host, Source: target.Host, MaxAge: age, IdempotencyWindowEnd: request.idempotencyWindowEnd}
	fetch.RetentionRank = uint8(min(request.location.uses, 2)) // seen once, it must not push out what is asked for again
	if tiers.CoalescesFills {
		fetch.Flags |= CoalesceFill
	}
	if fresh > 0 {
		fetch.Flags |= StaleWhileRevalidate
	}
	if source != nil {
		source.slowStartBucket.Spend(work)
		source.asSource.inFlight = append(source.asSource.inFlight, attempt)
		fetch.Source = source.Host
		if source.tier == edgeTier || source.ejected || (request.shielded && source.tier == parentTier) {
			fetch.Flags |= OnlyIfCached
		}
	}
	if attempt.halfOpenProbe {
		probedServer(attempt).probing = true
		fetch.Timeout = r.settings.Classes[request.Class].LatencyObjective / 2
	}
	if target.tier == originTier {
		r.emit(Forward{ID: request.ID, Host: target.Host, Timeout: fetch.Timeout, IdempotencyWindowEnd: request.idempotencyWindowEnd})
	} else {
		r.emit(fetch)
	}
	return true
}

// maySend is the effect rule: whether another attempt may go to t (nil: to any host at all), and until when.
func (r *Router) maySend(request *requestState, target *serverState) bool {
	class := &r.settings.Classes[request.Class]
	if request.idempotencyWindowEnd = 0; class.Idempotency == "read_like" {
		return true
	}
	for _, attempt := range request.attempts {
		ends := attempt.sentAt + class.DedupWindow - min(windowSafetyMargin, class.DedupWindow/4)
		switch {
		case !attempt.mayHaveExecuted:
			continue
		case class.Idempotency != "idempotency_key" || r.now >= ends,
			target != nil && class.DedupScope == "zone" && target.Zone != attempt.target.Zone,
			target != nil && class.DedupScope == "cell" && target.Cell != attempt.target.Cell:
			return false
		}
		request.idempotencyWindowEnd = cmp.Or(request.idempotencyWindowEnd, ends) // the first to be sent ends first
	}
	return true
}
