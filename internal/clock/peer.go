package clock

import (
	"time"

	"shaleyard/routing"
)

const (
	// clockStepThreshold is how far a peer's stamp may lie behind an earlier one before its clock counts as set back. Stamps of
	// events that were told out of turn lie behind by less.
	clockStepThreshold = time.Second
	// maxDrift is the most by which two clocks move apart, as a part of the time that passes.
	maxDrift = 0.001
)

// PeerClock brings the stamps of one peer's clock onto ours. A stamp that is told can't lie in the future: so the least by which
// our clock was past a stamp bounds the difference of the two clocks, and nothing is taken for older than it is. It errs
// towards younger, by the shortest time that an event has taken to arrive. A peer's clock that is set back between two events
// by less than the time between them can't be told from an event that came late.
//
// The zero PeerClock has seen no stamp and takes both clocks for the same.
type PeerClock struct {
	seen        bool
	offset      routing.Time // ours less the peer's, at most
	offsetAt    routing.Time // when offset was learnt
	latestStamp routing.Time // the peer's latest stamp
}

// Observe learns from a stamp that the peer has put on something that had happened by now.
func (p *PeerClock) Observe(stamp, now routing.Time) {
	past := now - stamp
	if !p.seen || stamp < p.latestStamp-clockStepThreshold {
		p.seen, p.offset, p.offsetAt, p.latestStamp = true, past, now, stamp
		return
	}
	p.latestStamp = max(p.latestStamp, stamp)
	p.offset = min(past, p.offset+routing.Time(float64(now-p.offsetAt)*maxDrift))
	p.offsetAt = now
}

// Local is the time on our clock at which the peer's clock showed a stamp.
func (p *PeerClock) Local(stamp routing.Time) routing.Time { return stamp + p.offset }
