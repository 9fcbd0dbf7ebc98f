package overload

import (
	"math"
	"time"
)

const (
	limitTimeConstant = 20 * time.Second // a limit that is not adjusted grows by a factor of e in this time
	limitStep         = 0.2              // fraction of a limit that late work removes, or of timely work that is added
)

// ConcurrencyLimit is an adaptive limit on the work that a director has in flight at a server in one of the server's
// roles, in any additive unit. As in AIMD, late work lowers the limit by a factor, and work that was done in time near
// the limit raises it by a step. The limit also grows with time: one director among hundreds may get a result from a
// server only every ten seconds, and a late result of that age is weak evidence about the server's present load. The
// zero value imposes no limit.
type ConcurrencyLimit struct {
	limit     float64 // as of updatedAt; 0: no limit
	updatedAt Time
}

// NewConcurrencyLimit returns a concurrency limit with the given value at time now.
func NewConcurrencyLimit(now Time, limit float64) ConcurrencyLimit {
	return ConcurrencyLimit{limit: limit, updatedAt: now}
}

// Value returns the limit at time now, or +Inf if there is no limit.
func (l *ConcurrencyLimit) Value(now Time) float64 {
	if l.limit == 0 {
		return math.Inf(1)
	}
	return l.limit / exponentialDecay(now-l.updatedAt, limitTimeConstant)
}

// Full reports whether the limit leaves no room for a piece of work beside the work in flight. The limit is not full if
// the piece and the work in flight together are at most the limit. Otherwise it is full if the work in flight is more
// than half the piece. If less work is in flight, the piece passes with the probability min(1, limit/work). It passes
// for certain if it alone is within the limit. A larger piece passes only at random: if one such piece from each of
// hundreds of directors always passed, the server would get too many. The function draw returns a random number between
// 0 and 1.
func (l *ConcurrencyLimit) Full(now Time, inFlight, work float64, draw func() float64) bool {
	limit := l.Value(now)
	if inFlight+work <= limit {
		return false
	}
	return inFlight > work/2 || draw()*work > limit
}

// Decrease lowers the limit after work that was late or rejected. It reduces the limit, or ceiling if ceiling is lower,
// by the fraction limitStep, but not below fit, the work in flight that would have been done in time. A limit that is
// already at most fit stays unchanged. In any case, a result below floor is raised to floor.
func (l *ConcurrencyLimit) Decrease(now Time, ceiling, fit, floor float64) {
	limit := l.Value(now)
	l.limit = max(floor, min(limit, ceiling)*(1-limitStep), min(limit, fit))
	l.updatedAt = now
}

// Increase raises the limit after a piece of work was done in time, so that a low limit recovers within seconds.
// inFlight is the work that is still in flight. If the piece and the work in flight together are at most half the
// limit, they are no evidence about the limit, which then stays unchanged.
func (l *ConcurrencyLimit) Increase(now Time, inFlight, work float64) {
	limit := l.Value(now)
	if l.limit == 0 || inFlight+work <= limit/2 {
		return
	}
	l.limit = limit + work*limitStep
	l.updatedAt = now
}
