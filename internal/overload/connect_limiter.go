package overload

import (
	"math/rand/v2"
	"time"
)

const (
	maxConcurrentDials   = 3                // dials to one peer that may be in progress at a time
	initialProbeInterval = 2 * time.Second  // mean time until the first probe after a limit was found or raised
	maxProbeInterval     = 16 * time.Second // upper bound of the mean time between probes that fail
	peerWarmUp           = 2 * time.Second  // time after a peer's start in which it is dialled once at a time
)

// ConnectLimiter decides whether a director may open a new connection to one peer. A peer does not announce how many
// connections it accepts; dials that fail while other connections are established reveal the number. All directors
// share the connections that the peer accepts. Each director therefore keeps the connections it has, probes for one
// more from time to time, at random times of its own, and lets attempts share connections meanwhile. Until a dial has
// failed, the only limit on established connections is the caller's own, because sharing has a price: when a shared
// connection breaks, all attempts on it are lost at once.
//
// The first connection to a peer is always allowed. The router decides whether a peer without a connection is used at
// all, and it probes failed servers at an interval of its own.
type ConnectLimiter struct {
	rng           *rand.Rand
	limit         int           // connections that the peer accepts from this director; 0: not known
	nextProbe     Time          // earliest time of the next dial beyond the limit
	probeInterval time.Duration // mean time between probes; doubled by each further failure
	peerStarted   Time          // start of the peer's current process; 0: long ago
}

// NewConnectLimiter returns a limiter for a peer that has no known limit.
func NewConnectLimiter(rng *rand.Rand) ConnectLimiter { return ConnectLimiter{rng: rng} }

// Reset discards what is known about the peer, because its address has changed or it was restarted at startedAt.
func (l *ConnectLimiter) Reset(startedAt Time) {
	*l = ConnectLimiter{rng: l.rng, peerStarted: startedAt}
}

// Allow reports whether one more connection may be dialled. conns is the number of connections that are established or
// being dialled, and dialing is the number of those that are being dialled. An allowed dial beyond the limit is a
// probe. Allowing a probe schedules the next one, whatever the result of this one.
func (l *ConnectLimiter) Allow(now Time, conns, dialing int) bool {
	if conns == 0 {
		return true
	}
	if dialing >= maxConcurrentDials || (dialing > 0 && l.warmingUp(now)) {
		return false
	}
	if l.limit == 0 || conns < l.limit {
		return true
	}
	if now < l.nextProbe {
		return false
	}
	l.scheduleProbe(now)
	return true
}

// RecordSuccess records a dial that succeeded, with the number of connections that are established now. If that number
// exceeds the limit, the peer has capacity again: the number becomes the limit, and the interval between probes returns
// to initialProbeInterval.
func (l *ConnectLimiter) RecordSuccess(now Time, established int) {
	if l.limit == 0 || established <= l.limit {
		return
	}
	l.limit = established
	l.probeInterval = initialProbeInterval
	l.scheduleProbe(now)
}

// RecordFailure records a dial that failed, or a connection that the peer closed at once, with the number of other
// connections that are established. That number becomes the limit. If it is 0, the peer is down or unreachable, which
// is no evidence about its capacity, and the failure is ignored.
func (l *ConnectLimiter) RecordFailure(now Time, established int) {
	if established == 0 {
		return
	}
	if l.limit > 0 {
		l.probeInterval = min(2*l.probeInterval, maxProbeInterval)
	} else {
		l.probeInterval = initialProbeInterval
	}
	l.limit = established
	l.scheduleProbe(now)
}

// Limit returns the number of connections that the peer is known to accept from this director; 0 means that no limit is
// known.
func (l *ConnectLimiter) Limit() int { return l.limit }

// scheduleProbe sets the earliest time of the next probe to a random time, 0.5 to 1.5 probe intervals from now, so that
// hundreds of directors whose dials failed together do not probe together.
func (l *ConnectLimiter) scheduleProbe(now Time) {
	l.nextProbe = now + l.probeInterval/2 + time.Duration(l.rng.Int64N(int64(l.probeInterval)))
}

// warmingUp reports whether the peer started less than peerWarmUp ago. During that time all directors connect to the
// peer, and none of them knows about the connections of the others.
func (l *ConnectLimiter) warmingUp(now Time) bool {
	return l.peerStarted != 0 && now-l.peerStarted < peerWarmUp
}
