package overload

import (
	"math"
	"time"
)

const (
	limitTimeConstant = 20 * time.Second // after which what has set a limit counts e times less
	limitStep         = 0.2              // part by which lateness lowers a limit, or work in time lifts it
)

// ConcurrencyLimit bounds the work that a director has out on one side of a server, in any measure that adds up. Lateness
// lowers it, work done in time near it lifts it, and age lifts it too: a director among hundreds may hear of a
// server every ten seconds, and what was late then says little of now. Its zero is no limit.
type ConcurrencyLimit struct {
	limit     float64 // 0: none
	updatedAt Time    // when that was right
}

// NewConcurrencyLimit returns a limit that is right now.
func NewConcurrencyLimit(now Time, most float64) ConcurrencyLimit { return ConcurrencyLimit{most, now} }

// Value is the limit as it counts now.
func (l *ConcurrencyLimit) Value(now Time) float64 {
	if l.limit == 0 {
		return math.Inf(1)
	}
	return l.limit / exponentialDecay(now-l.updatedAt, limitTimeConstant)
}

// Full tells that work more can't be taken beside what is out. Under a limit that is less than one piece of work
// pieces pass by chance, each by a draw between 0 and 1: hundreds of directors with one each would be a crowd.
func (l *ConcurrencyLimit) Full(now Time, out, work float64, draw func() float64) bool {
	most := l.Value(now)
	return out+work > most && (out > work/2 || draw()*work > most)
}

// Decrease is the answer to work that was late or refused: by a step from where the limit is, or from top if that is
// less; at once to fit, where that is more; and never below least.
func (l *ConcurrencyLimit) Decrease(now Time, top, fit, least float64) {
	most := l.Value(now)
	l.limit, l.updatedAt = max(least, min(most, top)*(1-limitStep), min(most, fit)), now
}

// Increase is the answer to work that was done in time beside what is still out: a low limit recovers within seconds.
func (l *ConcurrencyLimit) Increase(now Time, out, work float64) {
	if most := l.Value(now); l.limit != 0 && out+work > most/2 {
		l.limit, l.updatedAt = most+work*limitStep, now
	}
}
