package overload

import (
	"math"
	"time"
)

const (
	idleTrustedFraction  = 0.75             // part that is still trusted of an idle time at which a request was lost
	idleIncreaseFraction = 1.0 / 64         // part by which a reuse near the timeout raises it
	idleTimeConstant     = 20 * time.Second // the timeout grows e times in this time
)

// IdleTimeout decides for how long an idle connection may be used again. A peer, or a device between, may close idle
// connections earlier than its settings say, and a request that crosses such a close is lost. The shorter the
// timeout, the more connections are opened: if it stayed at its minimum, each attempt of each director would pay for a
// handshake, with peers that have just lost some of their number. So the timeout grows again with time, and only
// evidence about idle times may shorten it.
type IdleTimeout struct {
	minimum, maximum time.Duration
	timeout          time.Duration // as of updatedAt
	updatedAt        Time
}

// NewIdleTimeout returns a timeout that starts at its maximum and never falls below its minimum.
func NewIdleTimeout(minimum, maximum time.Duration) IdleTimeout {
	return IdleTimeout{minimum: minimum, maximum: maximum, timeout: maximum}
}

// Value is the timeout now.
func (t *IdleTimeout) Value(now Time) time.Duration {
	grown := float64(t.timeout) * math.Exp(float64(now-t.updatedAt)/float64(idleTimeConstant))
	return time.Duration(min(float64(t.maximum), grown))
}

// RecordCloseRace records a request that was lost to a close, on a connection that had been idle for a time.
func (t *IdleTimeout) RecordCloseRace(now Time, idle time.Duration) {
	shorter := min(t.Value(now), idle)
	t.timeout = max(t.minimum, time.Duration(idleTrustedFraction*float64(shorter)))
	t.updatedAt = now
}

// RecordReuse records an answer on a connection that had been idle for a time. Where that was close to the timeout, the
// timeout is raised a little: few requests are risked to learn that longer idle times are safe again.
func (t *IdleTimeout) RecordReuse(now Time, idle time.Duration) {
	timeout := t.Value(now)
	if float64(idle) <= idleTrustedFraction*float64(timeout) {
		return
	}
	t.timeout = min(t.maximum, timeout+time.Duration(idleIncreaseFraction*float64(timeout)))
	t.updatedAt = now
}
