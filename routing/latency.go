package routing

import (
	"math"
	"slices"
)

// How fast caches answer, compared with what their answers should take.

// sampleLatencyRatio takes the time that an attempt has taken so far as a sample for its cache. Attempts are
// sampled at their end, and in flight each time that this time has doubled, as the answers of a slow cache
// come too late to learn from.
func (r *Router) sampleLatencyRatio(attempt *attemptState) {
	target := attempt.target
	if target.tier != edgeTier || attempt.halfOpenProbe {
		return
	}
	elapsed := r.now - attempt.sentAt
	attempt.nextSampleAfter = 2 * elapsed
	logRatio := math.Log(max(elapsed.Seconds(), minLatencySample) / attempt.expectedLatency.Seconds())
	target.logLatencyRatio += (logRatio - target.logLatencyRatio) * latencyRatioSampleWeight
}

// isSlow tells that a cache takes far longer than the others of the zone; fills from it would, too.
func (r *Router) isSlow(server *serverState) bool {
	return server.logLatencyRatio > r.baselineLogLatencyRatio+latencyRatioTolerance
}

// decayLatencyRatios lets what is known of slow caches fade, and sets the baseline of the faster third.
func (r *Router) decayLatencyRatios() {
	ratios := make([]float64, 1, len(r.localCaches)+1)
	for _, cache := range r.localCaches {
		cache.logLatencyRatio *= latencyRatioDecay
		ratios = append(ratios, cache.logLatencyRatio)
	}
	slices.Sort(ratios[1:])
	r.baselineLogLatencyRatio = ratios[min(len(ratios)-1, (len(ratios)+2)/3)]
}
