package routing

import "math"

// Concurrency limits: how much work may be in flight at a server.

// transferWork returns the work with which a request counts towards budgets and limits, in seconds of transfer
// time: the mean of the request's class or the transfer time of the request's declared size, whichever is
// larger.
func (r *Router) transferWork(request *requestState) float64 {
	return max(r.classes[request.Class].work.Value, request.declaredWork)
}

// largestMeanWork returns the largest of the mean transfer times of the classes, in seconds.
func (r *Router) largestMeanWork() float64 {
	largest := math.Inf(-1)
	for i := range r.classes {
		largest = max(largest, r.classes[i].work.Value)
	}
	return largest
}

// atLimit reports whether a server's concurrency limit in one role leaves no room for additional work. It may
// draw a random number, because work that is larger than the whole limit is admitted at random.
func (r *Router) atLimit(load *roleLoad, work float64) bool {
	return load.concurrencyLimit.Full(r.now, load.inFlightWork, work, r.rng.Float64)
}

// linkSaturated reports whether the work in flight at a cache, including the given request, exceeds a fraction
// of what the cache's link can transfer for this director within the latency objective, according to
// effectiveWeight. It returns false if the capacity of the cache is not known.
func (r *Router) linkSaturated(request *requestState, cache *serverState, fraction float64) bool {
	if !cache.weightIsCapacity {
		return false
	}
	class, work := &r.settings.Classes[request.Class], r.transferWork(request)
	objective := class.LatencyObjective.Seconds() + class.LatencyObjectivePerSize*work
	capacity := fraction * r.effectiveWeight(cache) / cache.sharingDirectors * objective
	return cache.totalInFlightWork+work > capacity
}

// adjustLimit adjusts a concurrency limit after the end of an attempt. After a late OK, a rejection or a
// timeout, it lowers the limit of the server and role that attributeOutcome names (see lowerLimit). After a
// timely OK, it raises that limit if the work in flight, including the attempt, exceeds half the limit. One
// overload makes many answers late, but these answers do not lower the limit below limitFitFraction of the
// load at which the answers would have been timely. The drawback is that the answers for objects which are
// large for their class may count as late. Half-open probes and timeouts of answers that seem lost change no
// limit.
func (r *Router) adjustLimit(attempt *attemptState, outcome Outcome) {
	if attempt.halfOpenProbe {
		return
	}
	if outcome.Result != OK && outcome.Result != Rejected && outcome.Result != TimedOut {
		return
	}
	late := outcome.Elapsed > attempt.latencyObjective
	timely := outcome.Result == OK && !late
	server, load := r.attributeOutcome(attempt, outcome)
	if timely && (load == &attempt.target.asTarget || outcome.FillStatus == FillStatusFilledByOrigin) {
		load.lastTimelySentAt = max(load.lastTimelySentAt, attempt.sentAt)
	}
	if outcome.Result == TimedOut && r.seemsLost(attempt) {
		return // a lost answer is no sign of overload, and a lower limit would reject hits
	}
	if timely {
		load.concurrencyLimit.Increase(r.now, load.inFlightWork, attempt.work)
		return
	}
	r.lowerLimit(server, load, attempt, outcome)
}

// lowerLimit lowers the concurrency limit of a server in a role after an attempt that was late, rejected or
// timed out. It does not lower the limit below limitFitFraction * load * objective / elapsed, where load is
// the larger of the work in flight at the send, in the role that attributedTo names, and the work in flight
// now in the given role, both with the attempt; objective is the latency objective of the attempt; and elapsed
// is the time that the attempt took, at least the objective. A limit below the minimum that minLimitTransfers
// defines is raised to that minimum.
func (r *Router) lowerLimit(server *serverState, load *roleLoad, attempt *attemptState, outcome Outcome) {
	current := load.inFlightWork + attempt.work
	ceiling := max(initialLimitTransfers*attempt.work/server.sharingDirectors, maxLimitLoadFactor*current)
	elapsed := max(outcome.Elapsed, attempt.latencyObjective)
	timelyWork := limitFitFraction * max(attempt.inFlightWorkAtSend, current) *
		attempt.latencyObjective.Seconds() / elapsed.Seconds()
	floor := minLimitTransfers * r.largestMeanWork() / server.sharingDirectors
	load.concurrencyLimit.Decrease(r.now, ceiling, timelyWork, floor)
}

// attributeOutcome returns the server and the role whose concurrency limit an outcome adjusts, if it adjusts
// one. It also records whether the latest hit at the target was late or failed; a rejection or a timeout that
// respondingServer attributes to the target in that role counts as a failed hit.
func (r *Router) attributeOutcome(attempt *attemptState, outcome Outcome) (*serverState, *roleLoad) {
	server, load := respondingServer(attempt, outcome)
	target := attempt.target
	isOK := outcome.Result == OK
	late := outcome.Elapsed > attempt.latencyObjective
	lateWithoutSource := outcome.Elapsed-outcome.SourceWait > attempt.latencyObjective
	switch {
	case load == &target.asTarget && (outcome.FillStatus == FillStatusHit || !isOK):
		target.asTarget.lastHitLate.Record(r.now, late || !isOK)
	case target.tier == edgeTier && isOK && lateWithoutSource && target.asTarget.lastHitLate.Holds(r.now):
		return target, &target.asTarget // its hits are late as well, and the wait for its source is not the cause
	}
	return server, load
}

// respondingServer returns the server and the role to which an outcome is attributed. For an attempt at a
// cache, this is the cache after a reported hit; after a timeout, it is the cache if the cache has answered
// nothing since the attempt was sent, otherwise its source if there is one. In all other cases, it is what
// attributedTo returns, even if the cache reports a fill that was not expected.
func respondingServer(attempt *attemptState, outcome Outcome) (*serverState, *roleLoad) {
	target, source := attempt.target, attempt.source
	timedOut := outcome.Result == TimedOut
	targetUnresponsive := target.lastAnswerAsTarget <= attempt.sentAt
	switch {
	case target.tier != edgeTier:
		return attributedTo(attempt)
	case outcome.FillStatus == FillStatusHit, timedOut && targetUnresponsive:
		return target, &target.asTarget
	case timedOut && source != nil: // the cache answers other attempts, so its source does not respond
		return source, &source.asSource
	}
	return attributedTo(attempt)
}

// attributedTo returns the server and the role whose work in flight includes an attempt. An attempt at a cache
// counts at the cache unless it is a likely fill. A likely fill counts at its source, so that fills that hang
// do not keep hits away from the cache. An attempt sent directly to a parent or the origin counts at that
// server in the role of a source.
func attributedTo(attempt *attemptState) (*serverState, *roleLoad) {
	switch {
	case attempt.target.tier != edgeTier:
		return attempt.target, &attempt.target.asSource
	case attempt.likelyFill:
		return attempt.source, &attempt.source.asSource
	}
	return attempt.target, &attempt.target.asTarget
}
