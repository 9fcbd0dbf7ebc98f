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
	rng   *rand.Rand
	most  int           // connections that the peer lets us have; 0: not known to be bounded
	again Time          // when one more may be tried
	wait  time.Duration // between such tries; doubles while they fail
	began Time          // start of the peer's life, as far as it is known to be late; 0: long ago
}

const (
	connsOpening = 3                // connections being opened to one peer at a time
	connsWait    = 2 * time.Second  // mean time until one more is tried where the peer had turned one away
	connsLongest = 16 * time.Second // and the longest mean, while tries fail
	connsYoung   = 2 * time.Second  // span in which a peer that has just started gets its connections one by one
)

// NewConnectLimiter returns the decisions on one peer.
func NewConnectLimiter(rng *rand.Rand) ConnectLimiter { return ConnectLimiter{rng: rng} }

// Reset forgets what was known of the peer: it has another address, or another life since a time.
func (c *ConnectLimiter) Reset(at Time) { *c = ConnectLimiter{rng: c.rng, began: at} }

// Allow tells whether one more connection may be dialled, with so many held or being opened, and so many of those
// being opened.
func (c *ConnectLimiter) Allow(now Time, have, opening int) bool {
	switch {
	case have == 0:
		return true
	case opening >= connsOpening, c.young(now) && opening > 0:
		return false
	case c.most == 0 || have < c.most:
		return true
	case now < c.again:
		return false
	}
	c.put(now) // this is the try: the next one waits, whatever comes of it
	return true
}

// RecordSuccess takes a dial that has come up, as one of so many connections that hold.
func (c *ConnectLimiter) RecordSuccess(now Time, up int) {
	if c.most > 0 && up > c.most { // there is room again: find out how much
		c.most, c.wait = up, connsWait
		c.put(now)
	}
}

// RecordFailure takes a dial that has failed beside so many connections that hold.
func (c *ConnectLimiter) RecordFailure(now Time, up int) {
	if up == 0 {
		return // the peer is down, or cut off: that says nothing of its room
	}
	if c.most > 0 {
		c.wait = min(2*c.wait, connsLongest)
	} else {
		c.wait = connsWait
	}
	c.most = up
	c.put(now)
}

// Limit is how many connections the peer is known to let us have; 0: not known to be bounded.
func (c *ConnectLimiter) Limit() int { return c.most }

// put sets the next try, at half to one and a half times the wait: hundreds of directors that were turned away
// together don't come back together.
func (c *ConnectLimiter) put(now Time) {
	c.again = now + c.wait/2 + time.Duration(c.rng.Int64N(int64(c.wait)))
}

// young tells that the peer has only just started. All directors want it at once, and none knows of another.
func (c *ConnectLimiter) young(now Time) bool { return c.began != 0 && now-c.began < connsYoung }
