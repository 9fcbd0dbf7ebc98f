package routing

import (
	"math"
	"slices"
)

// The latency ratio of caches: the actual latency of attempts divided by their expected latency.

// sampleLatencyRatio updates the running mean of a cache's log latency ratio with one attempt: the sample is
// the log of the time that the attempt has taken so far over its expected latency. An attempt is sampled when
// it is answered or times out. The answers of a slow cache arrive too late to learn from, so an attempt in
// flight is also sampled, first after twice its expected latency and then each time that its duration has
// doubled. Half-open probes and servers other than caches are not sampled.
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

// isSlow reports whether the latency ratio of a cache is far above that of the fastest third of the local
// caches: the log of the ratio exceeds baselineLogLatencyRatio by more than latencyRatioTolerance. Fills from a
// slow cache would be slow as well.
func (r *Router) isSlow(server *serverState) bool {
	return server.logLatencyRatio > r.baselineLogLatencyRatio+latencyRatioTolerance
}

// decayLatencyRatios decays the log latency ratios of the local caches towards 0, so that an avoided cache is
// tried again. It then sets baselineLogLatencyRatio to the 1/3 quantile of these ratios, or to 0 if there are
// no local caches.
func (r *Router) decayLatencyRatios() {
	ratios := make([]float64, 1, len(r.localCaches)+1)
	for _, cache := range r.localCaches {
		cache.logLatencyRatio *= latencyRatioDecay
		ratios = append(ratios, cache.logLatencyRatio)
	}
	slices.Sort(ratios[1:])
	r.baselineLogLatencyRatio = ratios[min(len(ratios)-1, (len(ratios)+2)/3)]
}
