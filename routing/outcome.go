package routing

import (
	"math"
	"slices"
)

// What the end of an attempt means for its request, and for what is known of classes and servers.

func (r *Router) handleOutcome(outcome Outcome) {
	key := attemptKey(outcome.ID, outcome.Attempt)
	attempt := r.attempts[key]
	if attempt == nil {
		return
	}
	delete(r.attempts, key)
	removeFromFlight(attempt)
	attempt.mayHaveExecuted = outcome.Result.mayHaveExecuted()

	request := r.requests[outcome.ID]
	r.recordOutcome(attempt, request, outcome)
	if request == nil {
		return
	}
	request.inFlight--
	if request.hedges > 0 && attempt.number > 0 && outcome.Result == OK {
		r.hedgeTokens = min(r.hedgeTokens+hedgeTokensPerWin, maxHedgeTokens)
	}
	r.continueRequest(request, attempt, outcome)
}

// removeFromFlight takes an attempt off the books of its servers.
func removeFromFlight(attempt *attemptState) {
	isAttempt := func(other *attemptState) bool { return other == attempt }
	target, source := attempt.target, attempt.source
	target.asTarget.inFlight = slices.DeleteFunc(target.asTarget.inFlight, isAttempt)
	if source != nil {
		source.asSource.inFlight = slices.DeleteFunc(source.asSource.inFlight, isAttempt)
	}
	attempt.inFlight = false
	target.totalInFlightWork -= attempt.work
	_, load := attributedTo(attempt)
	load.inFlightWork -= attempt.work
}

// continueRequest ends the request, retries it, or lets it wait for a retry.
func (r *Router) continueRequest(request *requestState, attempt *attemptState, outcome Outcome) {
	if outcome.RequestDone {
		r.forgetRequest(request)
		return
	}
	if request.inFlight > 0 {
		return
	}
	if r.now >= request.Deadline {
		r.endRequest(request, ReasonDeadlineExceeded)
		return
	}
	if outcome.Result.suggestsOverload() && !r.retryBudget.TryWithdraw(r.now, request.uncacheable) {
		r.endRequest(request, ReasonRetryBudgetExhausted)
		return
	}
	mustWait := r.applyFailure(request, attempt, outcome)
	// A retry may overtake the cancellation of the attempt before it, so that two would be in flight at once.
	mayOvertake := attempt.mayHaveExecuted && outcome.Result != Errored &&
		!r.settings.SiteLimits.HedgingAllowed
	if mustWait || mayOvertake {
		r.postpone(request)
		return
	}
	r.advance(request)
}

// recordOutcome updates what is known of servers, classes and content locations. The request is nil if it is
// over.
func (r *Router) recordOutcome(attempt *attemptState, request *requestState, outcome Outcome) {
	if attempt.halfOpenProbe {
		probedServer(attempt).probing = false
	}
	switch outcome.Result {
	case Cancelled, Abandoned, LocalResourcesExhausted, Unreachable:
		return // it says nothing of the servers
	}
	r.retryBudget.RecordAttempt(r.now, outcome.Result == OK, outcome.Result.suggestsOverload())
	r.recordOriginAnswer(attempt, outcome)
	r.adjustLimit(attempt, outcome)
	r.recordHealth(attempt, outcome)
	if outcome.Result == OK || outcome.Result == TimedOut {
		r.sampleLatencyRatio(attempt)
	}
	r.refundSource(attempt, outcome)
	if outcome.Result != OK {
		return
	}
	r.recordClassStats(attempt, request, outcome)
	r.recordRecentWork(attempt)
	if request != nil {
		r.recordLocation(request, attempt.target)
	}
}

// recordOriginAnswer tells the origin shield of an answer that the origin has given through a source.
func (r *Router) recordOriginAnswer(attempt *attemptState, outcome Outcome) {
	if attempt.source == nil || attempt.source.tier == edgeTier {
		return
	}
	failed := outcome.FillStatus == FillStatusOriginFailed
	if !failed && outcome.FillStatus != FillStatusFilledByOrigin {
		return
	}
	// It is late by the origin if it would have been in time without the wait for it.
	late := outcome.Elapsed > attempt.latencyObjective &&
		outcome.Elapsed-outcome.SourceWait <= attempt.latencyObjective
	r.originShield.RecordAnswer(r.now, attempt.sentAt, late || failed)
}

// refundSource gives back to the slow-start budget of a source what a hit has not used of it.
func (r *Router) refundSource(attempt *attemptState, outcome Outcome) {
	source := attempt.source
	if outcome.FillStatus != FillStatusHit || source == nil || source.warmingUpSince == 0 {
		return
	}
	refilled := r.slowStartRate(source) * (r.now - attempt.sentAt).Seconds()
	source.slowStartBucket.Spend(-max(0, attempt.work-refilled))
}

// recordClassStats learns from an answer how long objects of the class take.
func (r *Router) recordClassStats(attempt *attemptState, request *requestState, outcome Outcome) {
	stats := &r.classes[attempt.class]
	stats.latency.Observe(outcome.Elapsed.Seconds())
	if outcome.FillStatus == FillStatusFilledByOrigin {
		r.originFillWait.Observe(outcome.SourceWait.Seconds())
	}
	switch {
	case request != nil && request.declaredWork > 0:
		stats.work.Observe(request.declaredWork)
	case outcome.FillStatus == FillStatusHit || outcome.FillStatus == FillStatusUnknown:
		stats.work.Observe(outcome.Elapsed.Seconds())
	}
}

// recordRecentWork adds to the work that the target has lately done for this director, which decays
// exponentially.
func (r *Router) recordRecentWork(attempt *attemptState) {
	target := attempt.target
	decay := math.Exp(-float64(r.now-target.recentWorkAt) / float64(recentWorkTimeConstant))
	target.recentWork = target.recentWork*decay + attempt.work
	target.recentWorkAt = r.now
}
