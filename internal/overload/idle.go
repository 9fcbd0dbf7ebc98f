package overload

import (
	"math"
	"time"
)

// Figures of how long an idle connection is used again. They are of the belief, not of any deployment.
const (
	idleTrustedFraction  = 0.75             // part of an idle time under which a request was lost that is still trusted
	idleIncreaseFraction = 1.0 / 64         // part by which an idle time near the most that is trusted lifts it, if it held
	idleTimeConstant     = 20 * time.Second // after which what was learnt counts e times less
)

// IdleTimeout decides for how long a connection that has nothing open is used again. A peer, or what lies between, may drop
// idle connections sooner than the settings tell; a request that crosses such a close is lost. The less is trusted the
// more connections are opened: a belief that rests at the least has every attempt of every director pay a handshake,
// at peers that have just lost some of their number. So it ages, and only what tells of idle times may shorten it.
type IdleTimeout struct {
	minimum, maximum time.Duration
	timeout          time.Duration
	updatedAt        Time // when keep was right
}

// NewIdleTimeout trusts idle connections for most; what is learnt never takes that below least.
func NewIdleTimeout(least, most time.Duration) IdleTimeout {
	return IdleTimeout{minimum: least, maximum: most, timeout: most}
}

// Value is for how long an idle connection is used again.
func (i *IdleTimeout) Value(now Time) time.Duration {
	return time.Duration(min(float64(i.maximum), float64(i.timeout)*math.Exp(float64(now-i.updatedAt)/float64(idleTimeConstant))))
}

// RecordCloseRace takes a request that was lost to a close, on a connection that had been idle for so long.
func (i *IdleTimeout) RecordCloseRace(now Time, idle time.Duration) {
	i.timeout = max(i.minimum, time.Duration(idleTrustedFraction*float64(min(i.Value(now), idle))))
	i.updatedAt = now
}

// RecordReuse takes an answer on a connection that had been idle for so long: where that was nearly as long as is trusted,
// one in many is risked to find that idle connections hold again.
func (i *IdleTimeout) RecordReuse(now Time, idle time.Duration) {
	if keep := i.Value(now); float64(idle) > idleTrustedFraction*float64(keep) {
		i.timeout, i.updatedAt = min(i.maximum, keep+time.Duration(idleIncreaseFraction*float64(keep))), now
	}
}
