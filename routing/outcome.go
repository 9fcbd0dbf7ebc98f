package routing

import (
	"math"
	"slices"
)

// The end of an attempt: the update of class and server statistics, and the next step of the request.

func (r *Router) handleOutcome(outcome Outcome) {
	key := attemptKey(outcome.ID, outcome.Attempt)
	attempt := r.attempts[key]
	if attempt == nil {
		return
	}
	delete(r.attempts, key)
	untrackAttempt(attempt)
	attempt.mayHaveExecuted = outcome.Result.MayHaveExecuted()

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

// untrackAttempt removes an attempt that has ended from the attempts and the work in flight of its servers.
func untrackAttempt(attempt *attemptState) {
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

// continueRequest ends the request, retries it at once or postpones its retry after an attempt has ended. It
// does nothing while other attempts of the request are in flight, unless the request has been answered.
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
	// A retry may reach a server before the cancellation of the previous attempt does; then two attempts
	// would be in flight at once, which is not allowed without hedging.
	mayOvertake := attempt.mayHaveExecuted && outcome.Result != Errored &&
		!r.settings.SiteLimits.HedgingAllowed
	if mustWait || mayOvertake {
		r.postpone(request)
		return
	}
	r.advance(request)
}

// recordOutcome updates the statistics, limits and health of servers, the statistics of classes, the origin
// shield, the retry budget and the content locations with the outcome of an attempt. An outcome that is no
// evidence about the servers only ends a half-open probe. The parameter request is nil if the request has
// already ended.
func (r *Router) recordOutcome(attempt *attemptState, request *requestState, outcome Outcome) {
	if attempt.halfOpenProbe {
		probedServer(attempt).probing = false
	}
	switch outcome.Result {
	case Cancelled, Abandoned, LocalResourcesExhausted, Unreachable:
		return // no evidence about the servers
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

// recordOriginAnswer updates the origin shield if a fill has got an answer or a failure from the origin.
func (r *Router) recordOriginAnswer(attempt *attemptState, outcome Outcome) {
	if attempt.source == nil || attempt.source.tier == edgeTier {
		return
	}
	failed := outcome.FillStatus == FillStatusOriginFailed
	if !failed && outcome.FillStatus != FillStatusFilledByOrigin {
		return
	}
	// The origin made the answer late if the answer would have been timely without the wait for the source.
	late := outcome.Elapsed > attempt.latencyObjective &&
		outcome.Elapsed-outcome.SourceWait <= attempt.latencyObjective
	r.originShield.RecordAnswer(r.now, attempt.sentAt, late || failed)
}

// refundSource returns the work of an attempt to the slow-start budget of the attempt's source, if the source
// is warming up and the attempt was a reported hit, because a hit does not use the source. It returns only the
// part that the budget has not regained since the attempt was sent, at the present rate.
func (r *Router) refundSource(attempt *attemptState, outcome Outcome) {
	source := attempt.source
	if outcome.FillStatus != FillStatusHit || source == nil || source.warmingUpSince == 0 {
		return
	}
	refilled := r.slowStartRate(source) * (r.now - attempt.sentAt).Seconds()
	source.slowStartBucket.Spend(-max(0, attempt.work-refilled))
}

// recordClassStats updates the mean latency and transfer time of a class, and the mean wait for fills by the
// origin, from an OK. The sample of the transfer time is that of the declared size, if the request has one and
// has not ended; otherwise the time elapsed, if the answer was a hit or has no fill status.
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

// recordRecentWork adds the work of an attempt to recentWork of its target: an exponentially decaying sum of
// the work that the target has done for this director.
func (r *Router) recordRecentWork(attempt *attemptState) {
	target := attempt.target
	decay := math.Exp(-float64(r.now-target.recentWorkAt) / float64(recentWorkTimeConstant))
	target.recentWork = target.recentWork*decay + attempt.work
	target.recentWorkAt = r.now
}
