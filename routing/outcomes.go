package routing

import (
	"math"
	"slices"

	"shaleyard/internal/overload"
)

// What the end of an attempt means for its request and for what is believed of servers.

// handleOutcome takes the one end of an attempt.
func (r *Router) handleOutcome(outcome Outcome) {
	key := uint64(outcome.ID)<<16 | uint64(outcome.Attempt)
	attempt, request := r.attempts[key], r.requests[outcome.ID]
	if attempt == nil {
		return
	}
	delete(r.attempts, key)
	isAttempt := func(other *attemptState) bool { return attempt == other }
	attempt.target.asTarget.inFlight = slices.DeleteFunc(attempt.target.asTarget.inFlight, isAttempt)
	if attempt.source != nil {
		attempt.source.asSource.inFlight = slices.DeleteFunc(attempt.source.asSource.inFlight, isAttempt)
	}
	attempt.inFlight = false
	attempt.target.totalInFlightWork -= attempt.work
	_, load := attributedTo(attempt)
	load.inFlightWork -= attempt.work
	attempt.mayHaveExecuted = !slices.Contains([]Result{Rejected, ConnectFailed, Abandoned, Miss, LocalResourcesExhausted, Unreachable}, outcome.Result)
	r.recordOutcome(attempt, request, outcome)
	if request == nil {
		return
	}
	request.inFlight--
	if request.hedges > 0 && attempt.number > 0 && outcome.Result == OK {
		r.hedgeTokens = min(r.hedgeTokens+hedgeTokensPerWin, maxHedgeTokens)
	}
	switch {
	case outcome.RequestDone:
		r.forgetRequest(request)
	case request.inFlight > 0:
	case r.now >= request.Deadline:
		r.endRequest(request, ReasonDeadlineExceeded)
	case suggestsOverload(outcome) && !r.retryBudget.TryWithdraw(r.now, request.uncacheable):
		r.endRequest(request, ReasonRetryBudgetExhausted)
	case r.applyFailure(request, attempt, outcome), attempt.mayHaveExecuted && outcome.Result != Errored && !r.settings.SiteLimits.HedgingAllowed:
		r.postpone(request) // also where what calls an attempt off may be overtaken: two would be out at once
	default:
		r.advance(request)
	}
}

// suggestsOverload tells that an attempt has failed as in a crowd: to try again at once adds to it.
func suggestsOverload(outcome Outcome) bool {
	return outcome.Result == Rejected || outcome.Result == ConnectFailed || outcome.Result == TimedOut
}

// applyFailure notes what a failure rules out for its request, and tells whether it must wait: who is full stays
// full for a moment, and to go elsewhere at once doubles a jam. Harm: it waits though another had room.
func (r *Router) applyFailure(request *requestState, attempt *attemptState, outcome Outcome) (wait bool) {
	source, rejectedAsFull := attempt.source, outcome.Result == Rejected && (outcome.FillStatus == FillStatusUnknown || outcome.FillStatus == FillStatusNoFillSlot)
	untold := rejectedAsFull && outcome.FillStatus == FillStatusUnknown && r.settings.Tiers.FillStatusReported != "all" // who refused: the source may have
	switch {
	case source == nil || (rejectedAsFull && !untold) || (outcome.Result != Miss && outcome.Result != Rejected && outcome.Result != TimedOut):
	case source.tier == edgeTier:
		request.minSourceTier = max(request.minSourceTier, parentTier)
		for i, hint := range request.location.hints {
			if hint.server == source {
				request.location.hints[i] = locationHint{}
			}
		}
	case !source.ejected && !attempt.halfOpenProbe:
		request.minSourceTier = originTier
	}
	switch outcome.Result {
	case Errored, TimedOut, ConnectFailed, Reset, Unreachable:
		request.avoidTargets = append(request.avoidTargets, attempt.target)
	case LocalResourcesExhausted:
		return true // no other server can be reached either
	case Miss:
		if request.triedOnlyIfCached = request.triedOnlyIfCached || (source == nil && outcome.FillStatus == FillStatusCoalesced); outcome.FillStatus != FillStatusCoalesced {
			request.onlyIfCachedCount = overload.MaxProbes // none fills it: it may be filled at once
		}
		return source == nil && request.triedOnlyIfCached && !attempt.halfOpenProbe && !request.shielded
	}
	return rejectedAsFull
}

// recordOutcome updates what we know of the servers, the class and the table.
func (r *Router) recordOutcome(attempt *attemptState, request *requestState, outcome Outcome) {
	target := attempt.target
	if attempt.halfOpenProbe {
		probedServer(attempt).probing = false
	}
	switch outcome.Result {
	case Cancelled, Abandoned, LocalResourcesExhausted, Unreachable:
		return // says nothing
	}
	r.retryBudget.RecordAttempt(r.now, outcome.Result == OK, suggestsOverload(outcome))
	failed := outcome.FillStatus == FillStatusOriginFailed
	if attempt.source != nil && attempt.source.tier != edgeTier && (failed || outcome.FillStatus == FillStatusFilledByOrigin) {
		late := outcome.Elapsed > attempt.latencyObjective && outcome.Elapsed-outcome.SourceWait <= attempt.latencyObjective // by the source, not by the cache or the link
		r.originShield.RecordAnswer(r.now, attempt.sentAt, late || failed)
	}
	r.adjustLimit(attempt, outcome)
	r.recordHealth(attempt, outcome)
	if outcome.Result == OK || outcome.Result == TimedOut {
		r.sampleLatencyRatio(attempt)
	}
	if source := attempt.source; outcome.FillStatus == FillStatusHit && source != nil && source.warmingUpSince != 0 { // no fill reached the source
		source.slowStartBucket.Spend(-max(0, attempt.work-r.slowStartRate(source)*(r.now-attempt.sentAt).Seconds()))
	}
	if outcome.Result != OK {
		return
	}
	stats := &r.classes[attempt.class]
	if stats.latency.Observe(outcome.Elapsed.Seconds()); outcome.FillStatus == FillStatusFilledByOrigin {
		r.originFillWait.Observe(outcome.SourceWait.Seconds())
	}
	if request != nil && request.declaredWork > 0 {
		stats.work.Observe(request.declaredWork)
	} else if outcome.FillStatus == FillStatusHit || outcome.FillStatus == FillStatusUnknown {
		stats.work.Observe(outcome.Elapsed.Seconds())
	}
	target.recentWork = target.recentWork*math.Exp(-float64(r.now-target.recentWorkAt)/float64(recentWorkTimeConstant)) + attempt.work
	target.recentWorkAt = r.now
	if request != nil && target.tier == edgeTier && !request.uncacheable {
		if request.location.hints[0].server != target {
			request.location.hints[1] = request.location.hints[0]
		}
		request.location.hints[0] = locationHint{target, r.now}
	}
}

// recordHealth takes an outcome as evidence on its target and its source.
func (r *Router) recordHealth(attempt *attemptState, outcome Outcome) {
	target, source := attempt.target, attempt.source
	switch outcome.Result {
	case OK, Miss, Rejected, Errored:
		target.lastAnswerAsTarget = r.now
		target.siteMember.RecordResponse(r.now)
		if target.ejected && (attempt.halfOpenProbe || outcome.Result == OK) {
			r.readmit(target)
		}
	case ConnectFailed:
		target.siteMember.RecordRefusal(r.now)
		r.eject(target, "connection failed")
	case TimedOut:
		target.siteMember.RecordTimeout(r.now, attempt.sentAt)
	}
	if attempt.halfOpenProbe && (outcome.Result == TimedOut || outcome.Result == Reset) { // else a reset tells nothing
		r.eject(probedServer(attempt), "look unanswered")
	}
	untold := outcome.FillStatus == FillStatusUnknown && (outcome.Result == OK || outcome.Result == Miss)
	switch {
	case source == nil:
	case outcome.FillStatus == FillStatusSourceUnreachable:
		// Quickly: it is down. Late: perhaps crowded, and to eject it would crowd the others in a cascade.
		failures, down := source.failedFills.Add(r.now), outcome.SourceWait < quickFailure
		if source.siteMember.RecordSourceFailure(r.now, attempt.sentAt, down); source.ejected || down || (failures >= 3 && source.siteMember.HasHealthyPeer(r.now)) {
			r.eject(source, "source not reached")
		}
	case untold, outcome.FillStatus == FillStatusSourceRejected, outcome.FillStatus == FillStatusSourceMiss, outcome.FillStatus == FillStatusOriginFailed,
		outcome.FillStatus >= FillStatusFilled && outcome.FillStatus <= FillStatusCoalesced:
		source.failedFills, source.lastAnswerAsSource = overload.FailureStreak{}, r.now
		source.siteMember.RecordResponse(r.now)
		if source.ejected {
			r.readmit(source)
		}
	}
}

// probedServer is the half-open server that a look is about.
func probedServer(attempt *attemptState) *serverState {
	if attempt.target.ejected || attempt.source == nil {
		return attempt.target
	}
	return attempt.source
}
