package routing

import "shaleyard/internal/overload"

// The effect of a failed attempt on the retry of its request.

// applyFailure records which servers a failed attempt rules out for its request, and reports whether the
// request must wait before its retry. After a rejection for lack of capacity the request waits: the server
// probably still lacks capacity a moment later, and an immediate retry at another server could double an
// overload. The trade-off is that a request sometimes waits although another server has capacity.
func (r *Router) applyFailure(request *requestState, attempt *attemptState, outcome Outcome) (wait bool) {
	r.raiseSourceTier(request, attempt, outcome)
	switch outcome.Result {
	case Errored, TimedOut, ConnectFailed, Reset, Unreachable:
		request.avoidTargets = append(request.avoidTargets, attempt.target)
	case LocalResourcesExhausted:
		return true // no other server can be reached either
	case Miss:
		return applyMiss(request, attempt, outcome)
	}
	return rejectedForCapacity(outcome)
}

// rejectedForCapacity reports whether a server rejected an attempt without a fill status, or because it had no
// capacity for another fill.
func rejectedForCapacity(outcome Outcome) bool {
	return outcome.Result == Rejected &&
		(outcome.FillStatus == FillStatusUnknown || outcome.FillStatus == FillStatusNoFillSlot)
}

// raiseSourceTier rules out tiers of sources if the source of a failed attempt may have caused the failure: it
// may have missed, rejected the fill or let it time out, as sourceMayBeCause decides. After a sibling, the
// request is filled from a parent or the origin; after a parent or the origin, from the origin. If a parent
// that is the source is ejected or the attempt is a half-open probe, no parent is ruled out.
func (r *Router) raiseSourceTier(request *requestState, attempt *attemptState, outcome Outcome) {
	source := attempt.source
	if source == nil || !r.sourceMayBeCause(outcome) {
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

// sourceMayBeCause reports whether the source of a failed attempt may have caused the failure.
func (r *Router) sourceMayBeCause(outcome Outcome) bool {
	switch outcome.Result {
	case Miss, TimedOut:
		return true
	case Rejected:
		if !rejectedForCapacity(outcome) {
			return true
		}
		// If not all answers carry a fill status, a rejection without one may come from the cache or the
		// source.
		return outcome.FillStatus == FillStatusUnknown &&
			r.settings.Tiers.FillStatusReported != FillStatusReportedAll
	}
	return false
}

// applyMiss records that a cache has no copy, and reports whether the request must wait before its retry. It
// must wait after an attempt without a source if triedOnlyIfCached is set: another request's fill was in
// progress, a parent or the origin was at its limit, or the request was shielded earlier. It need not wait if
// the attempt was a half-open probe or the request is shielded now.
func applyMiss(request *requestState, attempt *attemptState, outcome Outcome) (wait bool) {
	fillInProgress := outcome.FillStatus == FillStatusCoalesced
	if attempt.source == nil && fillInProgress {
		request.triedOnlyIfCached = true
	}
	if !fillInProgress {
		request.onlyIfCachedCount = overload.MaxProbes // the next attempt may fill without another probe
	}
	return attempt.source == nil && request.triedOnlyIfCached && !attempt.halfOpenProbe && !request.shielded
}
