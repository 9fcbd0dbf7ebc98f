package clock

import (
	"time"

	"shaleyard/routing"
)

const (
	// clockStepThreshold is how far a peer's timestamp may lie behind an earlier one before its clock counts as set
	// back. Timestamps of events that were sent out of order lie behind by less.
	clockStepThreshold = time.Second
	// maxDrift is the most by which two clocks move apart, as a part of the time that passes.
	maxDrift = 0.001
)

// PeerClock converts timestamps of one peer's clock to ours. A timestamp that was received can't lie in the future: so
// the least observed difference between our clock and a timestamp bounds the offset of the two clocks, and no event is
// taken for older than it is. It errs towards younger, by the shortest time that an event has taken to arrive. (NTP
// filters its samples for the least delay in the same way, RFC 5905, section 10.) A peer's clock that is set back
// between two events by less than the time between them can't be told from an event that came late.
//
// The zero PeerClock has seen no timestamp and takes both clocks to be the same.
type PeerClock struct {
	seen        bool
	offset      routing.Time // upper bound of our clock less the peer's
	offsetAt    routing.Time // when offset was learnt
	latestStamp routing.Time // the peer's latest timestamp
}

// Observe learns from a timestamp that the peer has put on something that had happened by now.
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

// Local is the time on our clock at which the peer's clock showed a timestamp.
func (c *PeerClock) Local(stamp routing.Time) routing.Time { return stamp + c.offset }
