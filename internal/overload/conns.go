package overload

import (
	"math/rand/v2"
	"time"
)

// ConnectLimiter decides on a director's new connections to one peer. How many a peer takes is told nowhere: it shows in
// dials that fail beside connections that hold. What it takes is shared by all directors, so that each one keeps to
// what it has got, asks for one more from time to time, at a time of its own, and lets attempts share connections
// meanwhile. Without such a failure there is no bound but the caller's: connections that are shared lose all their
// attempts at once when one breaks.
//
// The first connection to a peer is the caller's own affair: whether a peer without one is asked at all is decided
// by the router, whose looks at dead servers have a pace of their own.
type ConnectLimiter struct {
	rng           *rand.Rand
	limit         int           // connections that the peer lets us have; 0: not known to be bounded
	nextProbe     Time          // when one more may be tried
	probeInterval time.Duration // between such tries; doubles while they fail
	peerStarted   Time          // start of the peer's life, as far as it is known to be late; 0: long ago
}

const (
	maxConcurrentDials   = 3                // connections being opened to one peer at a time
	initialProbeInterval = 2 * time.Second  // mean time until one more is tried where the peer had turned one away
	maxProbeInterval     = 16 * time.Second // and the longest mean, while tries fail
	peerWarmUp           = 2 * time.Second  // span in which a peer that has just started gets its connections one by one
)

// NewConnectLimiter returns the decisions on one peer.
func NewConnectLimiter(rng *rand.Rand) ConnectLimiter { return ConnectLimiter{rng: rng} }

// Reset forgets what was known of the peer: it has another address, or another life since a time.
func (c *ConnectLimiter) Reset(at Time) { *c = ConnectLimiter{rng: c.rng, peerStarted: at} }

// Allow tells whether one more connection may be dialled, with so many held or being opened, and so many of those
// being opened.
func (c *ConnectLimiter) Allow(now Time, have, opening int) bool {
	switch {
	case have == 0:
		return true
	case opening >= maxConcurrentDials, c.warmingUp(now) && opening > 0:
		return false
	case c.limit == 0 || have < c.limit:
		return true
	case now < c.nextProbe:
		return false
	}
	c.scheduleProbe(now) // this is the try: the next one waits, whatever comes of it
	return true
}

// RecordSuccess takes a dial that has come up, as one of so many connections that hold.
func (c *ConnectLimiter) RecordSuccess(now Time, up int) {
	if c.limit > 0 && up > c.limit { // there is room again: find out how much
		c.limit, c.probeInterval = up, initialProbeInterval
		c.scheduleProbe(now)
	}
}

// RecordFailure takes a dial that has failed beside so many connections that hold.
func (c *ConnectLimiter) RecordFailure(now Time, up int) {
	if up == 0 {
		return // the peer is down, or cut off: that says nothing of its room
	}
	if c.limit > 0 {
		c.probeInterval = min(2*c.probeInterval, maxProbeInterval)
	} else {
		c.probeInterval = initialProbeInterval
	}
	c.limit = up
	c.scheduleProbe(now)
}

// Limit is how many connections the peer is known to let us have; 0: not known to be bounded.
func (c *ConnectLimiter) Limit() int { return c.limit }

// scheduleProbe sets the next try, at half to one and a half times the wait: hundreds of directors that were turned away
// together don't come back together.
func (c *ConnectLimiter) scheduleProbe(now Time) {
	c.nextProbe = now + c.probeInterval/2 + time.Duration(c.rng.Int64N(int64(c.probeInterval)))
}

// warmingUp tells that the peer has only just started. All directors want it at once, and none knows of another.
func (c *ConnectLimiter) warmingUp(now Time) bool {
	return c.peerStarted != 0 && now-c.peerStarted < peerWarmUp
}
