package overload

import (
	"math"
	"time"
)

const (
	limitTimeConstant = 20 * time.Second // a limit grows e times in this time
	limitStep         = 0.2              // part by which late work lowers a limit, or work in time raises it
)

// ConcurrencyLimit is an adaptive limit of the work that a director has in flight on one role of a server, in any unit
// that adds up. As in AIMD, late work lowers it by a factor, and work done in time near the limit raises it by a step.
// It also grows with time: one director among hundreds may have a result from a server only every ten seconds, and
// what was late then says little of now. The zero value is no limit.
type ConcurrencyLimit struct {
	limit     float64 // as of updatedAt; 0: none
	updatedAt Time
}

// NewConcurrencyLimit returns a limit that holds from now on.
func NewConcurrencyLimit(now Time, limit float64) ConcurrencyLimit {
	return ConcurrencyLimit{limit: limit, updatedAt: now}
}

// Value is the limit now; +Inf without one.
func (l *ConcurrencyLimit) Value(now Time) float64 {
	if l.limit == 0 {
		return math.Inf(1)
	}
	return l.limit / exponentialDecay(now-l.updatedAt, limitTimeConstant)
}

// Full reports whether the limit leaves no room for a piece of work beside what is in flight. Below a limit smaller
// than one piece of work, pieces are let through at random, by a draw between 0 and 1: one piece from each of hundreds
// of directors would be too many.
func (l *ConcurrencyLimit) Full(now Time, inFlight, work float64, draw func() float64) bool {
	limit := l.Value(now)
	if inFlight+work <= limit {
		return false
	}
	return inFlight > work/2 || draw()*work > limit
}

// Decrease lowers the limit after work that was late or rejected: by a step from the limit, or from ceiling where that
// is less; at least to fit, the work that would have been in time, where the step goes below it; and never below floor.
func (l *ConcurrencyLimit) Decrease(now Time, ceiling, fit, floor float64) {
	limit := l.Value(now)
	l.limit = max(floor, min(limit, ceiling)*(1-limitStep), min(limit, fit))
	l.updatedAt = now
}

// Increase raises the limit after work that was done in time beside what is still in flight, so that a low limit
// recovers within seconds. Work far below the limit says nothing of it.
func (l *ConcurrencyLimit) Increase(now Time, inFlight, work float64) {
	limit := l.Value(now)
	if l.limit == 0 || inFlight+work <= limit/2 {
		return
	}
	l.limit = limit + work*limitStep
	l.updatedAt = now
}
