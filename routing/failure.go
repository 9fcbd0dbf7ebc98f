package routing

import "shaleyard/internal/overload"

// What a failed attempt means for the retry of its request.

// applyFailure notes what a failed attempt rules out for its request, and tells whether the request must wait
// before it is retried. A server that rejects for want of capacity still has none in a moment, and going
// elsewhere at once would double an overload. The price is that a request sometimes waits though another
// server had capacity.
func (r *Router) applyFailure(request *requestState, attempt *attemptState, outcome Outcome) (wait bool) {
	r.raiseSourceTier(request, attempt, outcome)
	switch outcome.Result {
	case Errored, TimedOut, ConnectFailed, Reset, Unreachable:
		request.avoidTargets = append(request.avoidTargets, attempt.target)
	case LocalResourcesExhausted:
		return true // no other server can be reached either
	case Miss:
		return noteMiss(request, attempt, outcome)
	}
	return rejectedForCapacity(outcome)
}

// rejectedForCapacity tells that a cache rejected an attempt, and did not say that its source was the reason.
func rejectedForCapacity(outcome Outcome) bool {
	return outcome.Result == Rejected &&
		(outcome.FillStatus == FillStatusUnknown || outcome.FillStatus == FillStatusNoFillSlot)
}

// raiseSourceTier moves the request past a source that has missed, rejected the fill or let it time out.
func (r *Router) raiseSourceTier(request *requestState, attempt *attemptState, outcome Outcome) {
	source := attempt.source
	if source == nil || !r.mayBlameSource(outcome) {
		return
	}
	if source.tier == edgeTier {
		request.minSourceTier = max(request.minSourceTier, parentTier)
		request.location.dropHints(source)
		return
	}
	if !source.ejected && !attempt.halfOpenProbe {
		request.minSourceTier = originTier
	}
}

// mayBlameSource tells that the source of a failed attempt may have been the reason.
func (r *Router) mayBlameSource(outcome Outcome) bool {
	switch outcome.Result {
	case Miss, TimedOut:
		return true
	case Rejected:
		if !rejectedForCapacity(outcome) {
			return true
		}
		// Without a status it stays open who rejected, where not all answers carry one.
		return outcome.FillStatus == FillStatusUnknown &&
			r.settings.Tiers.FillStatusReported != FillStatusReportedAll
	}
	return false
}

// noteMiss takes the answer that a cache has no copy, and tells whether the request must wait for another's
// fill.
func noteMiss(request *requestState, attempt *attemptState, outcome Outcome) (wait bool) {
	fillUnderWay := outcome.FillStatus == FillStatusCoalesced
	if attempt.source == nil && fillUnderWay {
		request.triedOnlyIfCached = true
	}
	if !fillUnderWay {
		request.onlyIfCachedCount = overload.MaxProbes // it may be filled at once
	}
	return attempt.source == nil && request.triedOnlyIfCached && !attempt.halfOpenProbe && !request.shielded
}
