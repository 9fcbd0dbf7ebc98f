package overload

import "time"

const (
	// MaxProbes is how often a request probes a cache, with only-if-cached, before it names a source to fill from.
	MaxProbes = 4

	probeStartPeriod      = 2 * time.Second // after its start a director knows of no cache what it holds
	crowdedOriginFraction = 0.5             // the origin counts as crowded below this admitted fraction of the fills
)

// ProbeBeforeFill avoids repeated fills of one object where caches do not coalesce fills: there, each request that
// misses while a fill is in progress starts another fill. Directors do not talk to each other, but the cache knows of
// its fills. So a request that will probably miss first asks the cache for the object only if it is cached. The answer
// is the object; or that a fill is in progress, and the request waits and probes again; or that there is none, and the
// request names a source, as one of the few that probed within the same moment.
//
// A probe costs a message and the time of an answer. So it is made only where many first fills are likely: at a cache
// that has just started, while the origin is crowded, and for a time after the director's own start, as hundreds of
// directors may have started with it. The zero value is ready for use.
type ProbeBeforeFill struct {
	startedAt Time
	started   bool
}

// ShouldProbe reports whether a request that will probably miss probes the cache first. The arguments are whether the
// cache has started recently, the fraction of the fills that the origin shield admits, and how many probes the request
// has made (MaxProbes if no fill was in progress). The caller asks only where caches announce fills in progress and do
// not coalesce them.
func (p *ProbeBeforeFill) ShouldProbe(now Time, warmingUp bool, admitFraction float64, probes int) bool {
	if !p.started {
		p.started = true
		p.startedAt = now
	}
	if probes >= MaxProbes {
		return false
	}
	return warmingUp || admitFraction < crowdedOriginFraction || now-p.startedAt < probeStartPeriod
}
