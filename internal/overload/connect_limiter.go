package overload

import (
	"math/rand/v2"
	"time"
)

const (
	maxConcurrentDials   = 3                // dials to one peer at a time
	initialProbeInterval = 2 * time.Second  // mean time until the first probe beyond a limit
	maxProbeInterval     = 16 * time.Second // longest mean time between probes, while they fail
	peerWarmUp           = 2 * time.Second  // after its start a peer gets its connections one at a time
)

// ConnectLimiter decides on a director's new connections to one peer. How many connections a peer accepts is not
// announced; it shows in dials that fail while other connections hold. All directors share what the peer accepts, so
// each director keeps the connections it has, probes for one more from time to time, at a random time of its own, and
// lets attempts share connections meanwhile. Until a dial has failed there is no limit but the caller's own: when a
// shared connection breaks, all attempts on it are lost at once.
//
// The first connection to a peer is always allowed: whether a peer without a connection is used at all is up to the
// router, which probes failed servers at an interval of its own.
type ConnectLimiter struct {
	rng           *rand.Rand
	limit         int           // connections that the peer accepts from us; 0: no limit is known
	nextProbe     Time          // when one connection beyond the limit may be tried
	probeInterval time.Duration // mean time between probes; doubles while they fail
	peerStarted   Time          // when the peer's current incarnation started; 0: long ago
}

// NewConnectLimiter returns the limiter for one peer, of which nothing is known.
func NewConnectLimiter(rng *rand.Rand) ConnectLimiter { return ConnectLimiter{rng: rng} }

// Reset forgets what was known of the peer, which has another address or has been restarted at a time.
func (l *ConnectLimiter) Reset(startedAt Time) {
	*l = ConnectLimiter{rng: l.rng, peerStarted: startedAt}
}

// Allow reports whether one more connection may be dialled beside conns connections that are established or being
// dialled, dialing of which are being dialled. An allowed dial beyond the limit is a probe; the next one is put off at
// once, whatever the result of this one.
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

// RecordSuccess records a dial that has succeeded, with the number of connections that are established now. Where that
// is beyond the limit the peer has capacity again, and the interval between probes starts anew.
func (l *ConnectLimiter) RecordSuccess(now Time, established int) {
	if l.limit == 0 || established <= l.limit {
		return
	}
	l.limit = established
	l.probeInterval = initialProbeInterval
	l.scheduleProbe(now)
}

// RecordFailure records a dial that has failed while other connections are established: their number is the limit. With
// none established the peer is down or unreachable, which says nothing of its capacity.
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

// Limit is how many connections the peer is known to accept from us; 0 means that no limit is known.
func (l *ConnectLimiter) Limit() int { return l.limit }

// scheduleProbe sets the next probe to half to one and a half times the interval from now, so that hundreds of
// directors whose dials failed together do not probe together.
func (l *ConnectLimiter) scheduleProbe(now Time) {
	l.nextProbe = now + l.probeInterval/2 + time.Duration(l.rng.Int64N(int64(l.probeInterval)))
}

// warmingUp reports whether the peer has only just started. All directors connect to it then, and none knows of the
// others.
func (l *ConnectLimiter) warmingUp(now Time) bool {
	return l.peerStarted != 0 && now-l.peerStarted < peerWarmUp
}
