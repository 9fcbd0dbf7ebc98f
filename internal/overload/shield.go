package overload

import (
	"math"
	"time"
)

// Figures of the shield. Measured on the fixed test's join, herd and split days (docs/cold-start.md).
const (
	openLeast = 0.05  // part that is always let through, or nothing would be learnt
	opensBy   = 0.05  // part that opens in a second, for hundreds of directors
	opensUp   = 1.5   // times that an answer in time opens the part
	opensSeen = 300.0 // directors for which opensBy holds: fewer see more of the source each, and dare more
	lowersTo  = 0.3   // part of the part that an answer late by its source leaves, for hundreds of directors
	lowers    = 0.2   // power of the fleet's size by which fewer directors lower it less
)

// OriginShield decides which part of the fills may go on to a source that all directors share and none of them sees: the
// origin, behind parents that may or may not hold an object. Each director has few answers of its own, and when
// hundreds wait for the source at once, an answer is late by seconds before any of them has learnt of it. So one
// answer that the source has made late lowers the part at once; answers in time raise it, and one that was sent behind
// a single late one opens all again, as that was chance. Where fewer than about a quarter are late, it stays open: a
// source that serves most in time is not spared at the price of refusals.
// Without answers it opens with time, slowly.
//
// Its decision is a part, not a number of places: a director that has one such fill out every other second has no
// use for a limit on how many are out.
type OriginShield struct {
	to   float64 // part of the part that is left by a late answer
	rise float64 // part that opens in a second
	open float64
	at   Time // when open was right
	cut  Time // when it was last lowered: what was sent before tells of the same queue again
	sure bool // it was lowered by what was sent behind a late answer, too: one may be chance, two are a queue
	// worst is how long what lowered it had taken by then.
	worst time.Duration
}

// NewOriginShield returns a shield that lets all through, for one of a number of directors. The fewer there are, the more
// of what comes from the source each one sees: it learns of a queue sooner and lowers its part by less, and it
// dares to open it faster.
func NewOriginShield(directors int) *OriginShield {
	n := float64(max(directors, 1))
	return &OriginShield{open: 1, cut: math.MinInt64, to: max(lowersTo, 0.9*math.Pow(n, -lowers)),
		rise: opensBy * math.Sqrt(max(1, opensSeen/n))}
}

// AdmitFraction is the part of the fills that may go on to the source.
func (s *OriginShield) AdmitFraction(now Time) float64 {
	s.open = min(1, s.open+s.rise*(now-s.at).Seconds())
	s.at = now
	return s.open
}

// RecordAnswer takes the answer to an attempt, sent at a time, that the source has given; or for late, that it has not
// given by the time at which an answer would have been of use.
func (s *OriginShield) RecordAnswer(now, sent Time, late bool) {
	switch open, wait := s.AdmitFraction(now), now-sent; {
	case late && (sent >= s.cut || wait > 2*s.worst):
		s.sure = open < 1
		s.open, s.cut, s.worst = max(openLeast, open*s.to), now, wait
	case sent < s.cut: // of the queue that is known, and not twice as long as was known
	case !s.sure:
		s.open = 1
	default:
		s.open = min(1, open*opensUp)
		s.sure = s.open < 1
	}
}
