package routing

import "math"

// Hedging: an attempt whose answer seems lost is sent to its cache once more.

// hedge asks the cache of a lost attempt once more, for a cached copy only. Hedges are paid from tokens, of
// which each request brings a little and each hedge that wins brings more than it cost: so losses pay for
// their hedges, and under overload hedging ends.
func (r *Router) hedge(attempt *attemptState) {
	request := r.requests[attempt.requestID]
	if request == nil || !r.mayHedge(request, attempt) {
		return
	}
	if r.send(request, attempt.target, nil) {
		request.hedges++
		r.hedgeTokens--
	}
}

func (r *Router) mayHedge(request *requestState, attempt *attemptState) bool {
	if !r.settings.SiteLimits.HedgingAllowed || attempt.halfOpenProbe {
		return false
	}
	if r.settings.Classes[attempt.class].Idempotency != IdempotencyReadLike {
		return false
	}
	isLatest := attempt.number == len(request.attempts)-1
	onlyHedgesInFlight := request.inFlight == request.hedges+1
	if !isLatest || !onlyHedgesInFlight || request.hedges >= maxHedgesPerRequest || r.hedgeTokens < 1 {
		return false
	}
	load := &attempt.target.asTarget
	hasRoom := load.inFlightWork+2*attempt.work <= load.concurrencyLimit.Value(r.now)
	return r.seemsLost(attempt) && hasRoom
}

// seemsLost tells that an attempt is overdue beyond what its size and the speed of its cache explain, while
// an answer to a later attempt has come the same way in time.
func (r *Router) seemsLost(attempt *attemptState) bool {
	_, load := attributedTo(attempt)
	expected := attempt.declaredWork
	if attempt.likelyFill {
		expected += r.originFillWait.Value
	}
	latencyRatio := math.Exp(max(0, attempt.target.logLatencyRatio))
	objective := r.settings.Classes[attempt.class].LatencyObjective.Seconds()
	overdueAfter := hedgeLatencyFactor*expected*latencyRatio + hedgeObjectiveFraction*objective
	return load.lastTimelySentAt > attempt.sentAt && (r.now-attempt.sentAt).Seconds() >= overdueAfter
}
