package routing

import "math"

// Hedging: another attempt at the same cache where the answer to an attempt seems lost.

// hedge sends another attempt to the cache of an attempt whose answer seems lost, for a cached copy only.
// Each hedge costs one token. Each request adds hedgeTokensPerRequest, and each hedge that gets the answer
// adds hedgeTokensPerWin, which is more than its cost. Hedging therefore continues while hedges succeed, and
// stops under overload.
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

// seemsLost reports whether the answer to an attempt has probably been lost: it is overdue by more than its
// size and the speed of its cache explain, while a later attempt in the same role was answered in time.
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
