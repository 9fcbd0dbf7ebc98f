package routing

import (
	"cmp"
	"math"
	"slices"
)

// Limits of the work out at servers.

// atLimit tells that a side has as much out as it answers in time.
func (r *Router) atLimit(load *roleLoad, work float64) bool {
	return load.concurrencyLimit.Full(r.now, load.inFlightWork, work, r.rng.Float64)
}

// linkSaturated tells that a cache has more out than a part of what its link, at its pace, can send within the aim.
func (r *Router) linkSaturated(request *requestState, cache *serverState, fraction float64) bool {
	class, work := &r.settings.Classes[request.Class], r.transferWork(request)
	return cache.weightIsCapacity && cache.totalInFlightWork+work > fraction*r.effectiveWeight(cache)/cache.sharingDirectors*(class.LatencyObjective.Seconds()+class.LatencyObjectivePerSize*work)
}

// transferWork is what a request counts on budgets and limits, in seconds of sending: never under its class's mean.
func (r *Router) transferWork(request *requestState) float64 {
	return max(r.classes[request.Class].work.Value, request.declaredWork)
}

// largestMeanWork is the mean sending time of the class with the largestMeanWork objects, in seconds.
func (r *Router) largestMeanWork() float64 {
	byWork := func(a, b classStats) int { return cmp.Compare(a.work.Value, b.work.Value) }
	return slices.MaxFunc(r.classes, byWork).work.Value
}

// adjustLimit keeps the limits of our work out. A limit belongs to what was late or refused: a hit's to the
// cache, a fill's to its source; work in time near it raises it. All that are late in one crowd lower it
// together to a part of the load beside which they would have been in time. Harm: large objects look late.
func (r *Router) adjustLimit(attempt *attemptState, outcome Outcome) {
	server, load := attributedTo(attempt)
	switch {
	case attempt.target.tier != edgeTier:
	case outcome.FillStatus == FillStatusHit, outcome.Result == TimedOut && attempt.target.lastAnswerAsTarget <= attempt.sentAt:
		server, load = attempt.target, &attempt.target.asTarget
	case outcome.Result == TimedOut && attempt.source != nil: // the cache speaks, so a source hangs
		server, load = attempt.source, &attempt.source.asSource
	}
	if attempt.halfOpenProbe || (outcome.Result != OK && outcome.Result != Rejected && outcome.Result != TimedOut) {
		return
	}
	late := outcome.Elapsed > attempt.latencyObjective
	switch targetLoad := &attempt.target.asTarget; {
	case load == targetLoad && (outcome.FillStatus == FillStatusHit || outcome.Result != OK):
		targetLoad.lastHitLate.Record(r.now, late || outcome.Result != OK)
	case attempt.target.tier == edgeTier && outcome.Result == OK && outcome.Elapsed-outcome.SourceWait > attempt.latencyObjective && targetLoad.lastHitLate.Holds(r.now):
		server, load = attempt.target, targetLoad // hits are late there too, and the source did not keep it waiting
	}
	if outcome.Result == OK && !late && (load == &attempt.target.asTarget || outcome.FillStatus == FillStatusFilledByOrigin) {
		load.lastTimelySentAt = max(load.lastTimelySentAt, attempt.sentAt)
	}
	if outcome.Result == TimedOut && r.seemsLost(attempt) {
		return // guards hits against refusals beside a cache with room: nothing is crowded
	}
	if outcome.Result == OK && !late {
		load.concurrencyLimit.Increase(r.now, load.inFlightWork, attempt.work)
		return
	}
	top := max(initialLimitTransfers*attempt.work/server.sharingDirectors, maxLimitLoadFactor*(load.inFlightWork+attempt.work))
	fitting := limitFitFraction * max(attempt.inFlightWorkAtSend, load.inFlightWork+attempt.work) * attempt.latencyObjective.Seconds() / max(outcome.Elapsed, attempt.latencyObjective).Seconds()
	load.concurrencyLimit.Decrease(r.now, top, fitting, minLimitTransfers*r.largestMeanWork()/server.sharingDirectors)
}

// attributedTo is the side that an attempt counts on: a likely fill on its source, a hit on the cache, and what
// goes to a parent or the origin like a fill from it. Fills that hang must not shut hits out.
func attributedTo(attempt *attemptState) (*serverState, *roleLoad) {
	switch {
	case attempt.target.tier != edgeTier:
		return attempt.target, &attempt.target.asSource
	case attempt.likelyFill:
		return attempt.source, &attempt.source.asSource
	}
	return attempt.target, &attempt.target.asTarget
}

// seemsLost: overdue beyond its size and the cache's pace, while what was sent after it came the same way in time.
func (r *Router) seemsLost(attempt *attemptState) bool {
	_, load := attributedTo(attempt)
	expected := attempt.declaredWork
	if attempt.likelyFill {
		expected += r.originFillWait.Value
	}
	due := hedgeLatencyFactor*expected*math.Exp(max(0, attempt.target.logLatencyRatio)) + hedgeObjectiveFraction*r.settings.Classes[attempt.class].LatencyObjective.Seconds()
	return load.lastTimelySentAt > attempt.sentAt && (r.now-attempt.sentAt).Seconds() >= due
}
