package routing

import (
	"math"
	"slices"
)

// The ratio of the actual latency of caches to the expected latency.

// sampleLatencyRatio adds the time that an attempt has taken so far as a latency sample of its cache.
// Attempts are sampled when they end and, as the answers of a slow cache arrive too late to learn from, also
// in flight, each time that this time has doubled.
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

// isSlow reports whether a cache answers far more slowly than the fastest third of the local caches. Fills
// from a slow cache would be slow as well.
func (r *Router) isSlow(server *serverState) bool {
	return server.logLatencyRatio > r.baselineLogLatencyRatio+latencyRatioTolerance
}

// decayLatencyRatios decays the log latency ratios of the local caches towards 0, so that an avoided cache is
// tried again, and sets the baseline to the ratio at the upper end of their fastest third.
func (r *Router) decayLatencyRatios() {
	ratios := make([]float64, 1, len(r.localCaches)+1)
	for _, cache := range r.localCaches {
		cache.logLatencyRatio *= latencyRatioDecay
		ratios = append(ratios, cache.logLatencyRatio)
	}
	slices.Sort(ratios[1:])
	r.baselineLogLatencyRatio = ratios[min(len(ratios)-1, (len(ratios)+2)/3)]
}
