package overload

import "time"

const (
	// MaxProbes is the largest number of probes (requests with only-if-cached) that a request sends to a cache before
	// it names a source to fill from.
	MaxProbes = 4

	probeStartPeriod         = 2 * time.Second // time after a director's start in which cache contents are unknown
	overloadedOriginFraction = 0.5             // admitted fraction below which the origin counts as overloaded
)

// ProbeBeforeFill decides whether a request asks a cache for a cached copy before it requests a fill. Such a probe
// avoids repeated fills of one object by caches that do not coalesce fills: there, each request that misses while a
// fill is in progress starts another fill. Directors do not communicate with each other, but the cache knows which
// fills are in progress. The answer to a probe is the object; or that a fill is in progress, and the request waits and
// probes again; or that no fill is in progress, and the request names a source, as do only the few requests that probed
// at the same moment.
//
// A probe costs a message and the time of an answer. Requests therefore probe only where many first fills of objects
// are likely: at a cache that has just started, while the origin is overloaded, and for a period after the director's
// own start, because hundreds of directors may have started at the same time. The zero value is ready for use; its
// first call marks the director's start.
type ProbeBeforeFill struct {
	startedAt Time
	started   bool
}

// ShouldProbe reports whether a request that will probably miss probes the cache first. warmingUp is set if the cache
// started recently, admitFraction is the fraction of the fills that the origin shield admits, and probes is the number
// of probes that the request has made, or MaxProbes if no fill was in progress. The result applies only to caches that
// report fills in progress and do not coalesce fills.
func (p *ProbeBeforeFill) ShouldProbe(now Time, warmingUp bool, admitFraction float64, probes int) bool {
	if !p.started {
		p.started = true
		p.startedAt = now
	}
	if probes >= MaxProbes {
		return false
	}
	return warmingUp || admitFraction < overloadedOriginFraction || now-p.startedAt < probeStartPeriod
}
