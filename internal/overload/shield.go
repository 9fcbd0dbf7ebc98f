package overload

import (
	"math"
	"time"
)

// Figures of the shield. Measured on the fixed test's join, herd and split days (docs/cold-start.md).
const (
	minAdmitFraction           = 0.05  // part that is always let through, or nothing would be learnt
	referenceRecoveryPerSecond = 0.05  // part that opens in a second, for hundreds of directors
	increaseFactor             = 1.5   // times that an answer in time opens the part
	referenceFleet             = 300.0 // directors for which opensBy holds: fewer see more of the source each, and dare more
	minDecreaseFactor          = 0.3   // part of the part that an answer late by its source leaves, for hundreds of directors
	decreaseExponent           = 0.2   // power of the fleet's size by which fewer directors lower it less
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
	decreaseFactor    float64 // part of the part that is left by a late answer
	recoveryPerSecond float64 // part that opens in a second
	admitFraction     float64
	updatedAt         Time // when open was right
	loweredAt         Time // when it was last lowered: what was sent before tells of the same queue again
	confirmed         bool // it was lowered by what was sent behind a late answer, too: one may be chance, two are a queue
	// worstLatency is how long what lowered it had taken by then.
	worstLatency time.Duration
}

// NewOriginShield returns a shield that lets all through, for one of a number of directors. The fewer there are, the more
// of what comes from the source each one sees: it learns of a queue sooner and lowers its part by less, and it
// dares to open it faster.
func NewOriginShield(directors int) *OriginShield {
	n := float64(max(directors, 1))
	return &OriginShield{admitFraction: 1, loweredAt: math.MinInt64, decreaseFactor: max(minDecreaseFactor, 0.9*math.Pow(n, -decreaseExponent)),
		recoveryPerSecond: referenceRecoveryPerSecond * math.Sqrt(max(1, referenceFleet/n))}
}

// AdmitFraction is the part of the fills that may go on to the source.
func (s *OriginShield) AdmitFraction(now Time) float64 {
	s.admitFraction = min(1, s.admitFraction+s.recoveryPerSecond*(now-s.updatedAt).Seconds())
	s.updatedAt = now
	return s.admitFraction
}

// RecordAnswer takes the answer to an attempt, sent at a time, that the source has given; or for late, that it has not
// given by the time at which an answer would have been of use.
func (s *OriginShield) RecordAnswer(now, sent Time, late bool) {
	switch open, wait := s.AdmitFraction(now), now-sent; {
	case late && (sent >= s.loweredAt || wait > 2*s.worstLatency):
		s.confirmed = open < 1
		s.admitFraction, s.loweredAt, s.worstLatency = max(minAdmitFraction, open*s.decreaseFactor), now, wait
	case sent < s.loweredAt: // of the queue that is known, and not twice as long as was known
	case !s.confirmed:
		s.admitFraction = 1
	default:
		s.admitFraction = min(1, open*increaseFactor)
		s.confirmed = s.admitFraction < 1
	}
}
