package routing

import "math"

// Concurrency limits: how much work may be in flight at a server.

// transferWork is what a request counts on budgets and limits, in seconds of transfer time: the mean of its
// class, or what its declared size takes, where that is more.
func (r *Router) transferWork(request *requestState) float64 {
	return max(r.classes[request.Class].work.Value, request.declaredWork)
}

// largestMeanWork is the mean transfer time of the class with the largest objects, in seconds.
func (r *Router) largestMeanWork() float64 {
	largest := math.Inf(-1)
	for i := range r.classes {
		largest = max(largest, r.classes[i].work.Value)
	}
	return largest
}

// atLimit tells that a server's concurrency limit in a role leaves no room for more work. It may draw a
// random number: under a limit of less than one request, requests pass by chance.
func (r *Router) atLimit(load *roleLoad, work float64) bool {
	return load.concurrencyLimit.Full(r.now, load.inFlightWork, work, r.rng.Float64)
}

// linkSaturated tells that, with the request, a cache has more work in flight than a fraction of what its
// link can send within the latency objective.
func (r *Router) linkSaturated(request *requestState, cache *serverState, fraction float64) bool {
	if !cache.weightIsCapacity {
		return false
	}
	class, work := &r.settings.Classes[request.Class], r.transferWork(request)
	objective := class.LatencyObjective.Seconds() + class.LatencyObjectivePerSize*work
	capacity := fraction * r.effectiveWeight(cache) / cache.sharingDirectors * objective
	return cache.totalInFlightWork+work > capacity
}

// adjustLimit lowers the concurrency limit of the server and role that made an attempt late or rejected it,
// and raises it for an answer in time. All answers that are late in one overload lower it together, to a part
// of the load beside which they would have been in time. The price is that objects which are large for their
// class look late.
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
		return // a lost answer is no overload, and must not end in rejected hits
	}
	if timely {
		load.concurrencyLimit.Increase(r.now, load.inFlightWork, attempt.work)
		return
	}
	r.lowerLimit(server, load, attempt, outcome)
}

func (r *Router) lowerLimit(server *serverState, load *roleLoad, attempt *attemptState, outcome Outcome) {
	present := load.inFlightWork + attempt.work
	highest := max(initialLimitTransfers*attempt.work/server.sharingDirectors, maxLimitLoadFactor*present)
	elapsed := max(outcome.Elapsed, attempt.latencyObjective)
	fitting := limitFitFraction * max(attempt.inFlightWorkAtSend, present) *
		attempt.latencyObjective.Seconds() / elapsed.Seconds()
	lowest := minLimitTransfers * r.largestMeanWork() / server.sharingDirectors
	load.concurrencyLimit.Decrease(r.now, highest, fitting, lowest)
}

// attributeOutcome is the server, and its role, whose limit an outcome adjusts. It also notes whether a hit
// of the target was late.
func (r *Router) attributeOutcome(attempt *attemptState, outcome Outcome) (*serverState, *roleLoad) {
	server, load := answering(attempt, outcome)
	target := attempt.target
	isOK := outcome.Result == OK
	late := outcome.Elapsed > attempt.latencyObjective
	lateWithoutSource := outcome.Elapsed-outcome.SourceWait > attempt.latencyObjective
	switch {
	case load == &target.asTarget && (outcome.FillStatus == FillStatusHit || !isOK):
		target.asTarget.lastHitLate.Record(r.now, late || !isOK)
	case target.tier == edgeTier && isOK && lateWithoutSource && target.asTarget.lastHitLate.Holds(r.now):
		return target, &target.asTarget // its hits are late, too, and the source did not keep it waiting
	}
	return server, load
}

// answering is the server, and its role, from which the answer came or should have come.
func answering(attempt *attemptState, outcome Outcome) (*serverState, *roleLoad) {
	target, source := attempt.target, attempt.source
	timedOut := outcome.Result == TimedOut
	targetIsSilent := target.lastAnswerAsTarget <= attempt.sentAt
	switch {
	case target.tier != edgeTier:
		return attributedTo(attempt)
	case outcome.FillStatus == FillStatusHit, timedOut && targetIsSilent:
		return target, &target.asTarget
	case timedOut && source != nil: // the cache answers others, so its source hangs
		return source, &source.asSource
	}
	return attributedTo(attempt)
}

// attributedTo is the server, and its role, on which an attempt counts while it is in flight: for a likely
// fill the source, for a hit the cache; parents and the origin count as sources, also as targets. So fills
// that hang do not keep hits from a cache.
func attributedTo(attempt *attemptState) (*serverState, *roleLoad) {
	switch {
	case attempt.target.tier != edgeTier:
		return attempt.target, &attempt.target.asSource
	case attempt.likelyFill:
		return attempt.source, &attempt.source.asSource
	}
	return attempt.target, &attempt.target.asTarget
}
