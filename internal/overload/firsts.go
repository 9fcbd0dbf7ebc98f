package overload

import "time"

const (
	// MaxProbes is how often a request asks a cache for what it holds alone before it brings a source.
	MaxProbes             = 4
	probeStartPeriod      = 2 * time.Second // after its start a director knows of no cache what it holds
	crowdedOriginFraction = 0.5             // part of the fills that the origin takes, under which it counts as crowded
)

// ProbeBeforeFill spares the origin the same object many times over where caches don't join fills: every request that misses
// while a fill is under way begins another. There is no talk between directors, but the cache knows. So a request
// that will likely miss first asks it for what it holds: the answer is the object, or that a fill is under way, and
// the request waits and asks again; or that there is none, and it brings a source, as one of the few that asked
// within the same moment.
//
// That costs the time of one more answer and a message, and is done only where a crowd of first fills is likely: at
// a cache that has just started, behind a crowded origin, and for a while after a director's own start, when
// hundreds may have started with it.
type ProbeBeforeFill struct {
	startedAt Time
	started   bool
}

// ShouldProbe tells whether a request that will likely miss asks the cache only for what it holds. It has done so looks
// times, LooksMost where no fill was under way; cold is that the cache has lately started, and open the part of the
// fills that the origin takes. The caller asks where caches tell of fills under way and don't let requests join them.
func (f *ProbeBeforeFill) ShouldProbe(now Time, cold bool, open float64, looks int) bool {
	if !f.started {
		f.started, f.startedAt = true, now
	}
	return looks < MaxProbes && (cold || open < crowdedOriginFraction || now-f.startedAt < probeStartPeriod)
}
