package routing

import (
	"math"
)

// How fast caches answer, compared with what they should need.

// sampleLatencyRatio takes the time that an attempt has taken so far as a sample of its cache's pace: at its end, and
// while it is out each time that it has doubled, as a slow cache's answers come too late to learn from.
func (r *Router) sampleLatencyRatio(attempt *attemptState) {
	target, took := attempt.target, r.now-attempt.sentAt
	if target.tier != edgeTier || attempt.halfOpenProbe {
		return
	}
	attempt.nextSampleAfter = 2 * took
	target.logLatencyRatio += (math.Log(max(took.Seconds(), 1e-3)/attempt.expectedLatency.Seconds()) - target.logLatencyRatio) * latencyRatioSampleWeight
}

// isSlow tells that a cache takes far longer than the others of the location: fills from it would, too.
func (r *Router) isSlow(server *serverState) bool {
	return server.logLatencyRatio > r.baselineLogLatencyRatio+latencyRatioTolerance
}
