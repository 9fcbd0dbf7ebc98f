package routing

import (
	"math"
)

// How fast caches answer, compared with what they should need.

// sampleLatencyRatio takes the time that an attempt has taken so far as a sample of its cache's pace: at its end, and
// while it is out each time that it has doubled, as a slow cache's answers come too late to learn from.
func (d *Router) sampleLatencyRatio(a *attemptState) {
	t, took := a.target, d.now-a.sentAt
	if t.tier != edgeTier || a.halfOpenProbe {
		return
	}
	a.nextSampleAfter = 2 * took
	t.logLatencyRatio += (math.Log(max(took.Seconds(), 1e-3)/a.expectedLatency.Seconds()) - t.logLatencyRatio) * latencyRatioSampleWeight
}

// isSlow tells that a cache takes far longer than the others of the location: fills from it would, too.
func (d *Router) isSlow(s *serverState) bool {
	return s.logLatencyRatio > d.baselineLogLatencyRatio+latencyRatioTolerance
}
