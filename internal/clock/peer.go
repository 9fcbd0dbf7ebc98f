package clock

import (
	"time"

	"shaleyard/routing"
)

const (
	// clockStepThreshold is the amount by which a peer's timestamp may be less than its latest timestamp before the
	// peer's clock counts as set back. Events that are sent out of order differ by less.
	clockStepThreshold = time.Second
	// maxDrift is the maximum drift between two clocks, as a fraction of the elapsed time.
	maxDrift = 0.001
)

// PeerClock converts timestamps of one peer's clock to the local clock. A received timestamp can't be in the future, so
// the smallest observed difference between the local clock and a timestamp is an upper bound of the clocks' offset.
// With this bound no event appears older than it is; events appear younger by the shortest observed delay of an event.
// (NTP's clock filter selects the sample with the lowest delay in the same way, RFC 5905, section 10.) If the peer's
// clock is set back between two events by less than the time between them, this can't be distinguished from a late
// event.
//
// The zero PeerClock has observed no timestamp and assumes that both clocks are equal.
type PeerClock struct {
	seen        bool
	offset      routing.Time // upper bound of the local time minus the peer's time
	offsetAt    routing.Time // local time of the last update of offset
	latestStamp routing.Time // highest timestamp of the peer since its clock was last set back
}

// Observe updates the offset with a timestamp that the peer gave to an event that occurred at or before the local time
// now. A timestamp that is more than clockStepThreshold below the latest one restarts the estimate.
func (c *PeerClock) Observe(stamp, now routing.Time) {
	difference := now - stamp
	if !c.seen || stamp < c.latestStamp-clockStepThreshold {
		*c = PeerClock{seen: true, offset: difference, offsetAt: now, latestStamp: stamp}
		return
	}
	drift := routing.Time(float64(now-c.offsetAt) * maxDrift)
	c.latestStamp = max(c.latestStamp, stamp)
	c.offset = min(difference, c.offset+drift)
	c.offsetAt = now
}

// Local returns the time on the local clock that corresponds to a timestamp of the peer's clock.
func (c *PeerClock) Local(stamp routing.Time) routing.Time { return stamp + c.offset }
