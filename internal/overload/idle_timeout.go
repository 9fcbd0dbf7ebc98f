package overload

import (
	"math"
	"time"
)

const (
	// idleTrustedFraction is the fraction of an idle time that counts as safe. After a lost request, the timeout
	// becomes this fraction of the connection's idle time. A reuse after more than this fraction of the timeout raises
	// the timeout.
	idleTrustedFraction  = 0.75
	idleIncreaseFraction = 1.0 / 64         // fraction by which a reuse near the timeout raises the timeout
	idleTimeConstant     = 20 * time.Second // the timeout grows by a factor of e in this time
)

// IdleTimeout bounds how long a connection may have been idle before it is used again. A peer, or a device between the
// director and the peer, may close idle connections earlier than its settings say, and a request that is sent while the
// connection is being closed is lost. A shorter timeout causes more connections to be opened: at the minimum, almost
// every attempt of each director needs a new connection and thus a handshake with the peer. The timeout therefore grows
// again with time, and only evidence about idle times shortens it. Connections that break because a peer crashed are no
// such evidence: if they counted, the timeout would fall to the minimum, and the handshakes would add to the load of
// the remaining peers just when it is highest, because the number of peers has just fallen.
type IdleTimeout struct {
	minimum, maximum time.Duration
	timeout          time.Duration // as of updatedAt
	updatedAt        Time
}

// NewIdleTimeout returns an idle timeout that starts at maximum and never falls below minimum.
func NewIdleTimeout(minimum, maximum time.Duration) IdleTimeout {
	return IdleTimeout{minimum: minimum, maximum: maximum, timeout: maximum}
}

// Value returns the timeout at time now.
func (t *IdleTimeout) Value(now Time) time.Duration {
	grown := float64(t.timeout) * math.Exp(float64(now-t.updatedAt)/float64(idleTimeConstant))
	return time.Duration(min(float64(t.maximum), grown))
}

// RecordCloseRace records that a request was lost because its connection, which had been idle for the given time, was
// closed before the request arrived. It shortens the timeout to a fraction of that idle time, or of the timeout if the
// timeout is shorter.
func (t *IdleTimeout) RecordCloseRace(now Time, idle time.Duration) {
	shorter := min(t.Value(now), idle)
	t.timeout = max(t.minimum, time.Duration(idleTrustedFraction*float64(shorter)))
	t.updatedAt = now
}

// RecordReuse records an answer on a connection that had been idle for the given time. If that time was above
// idleTrustedFraction of the timeout, the timeout is raised a little. The steps are small so that few requests are at
// risk while the director finds out that longer idle times are safe again.
func (t *IdleTimeout) RecordReuse(now Time, idle time.Duration) {
	timeout := t.Value(now)
	if float64(idle) <= idleTrustedFraction*float64(timeout) {
		return
	}
	t.timeout = min(t.maximum, timeout+time.Duration(idleIncreaseFraction*float64(timeout)))
	t.updatedAt = now
}
