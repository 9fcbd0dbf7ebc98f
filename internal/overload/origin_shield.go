package overload

import (
	"math"
	"time"
)

// These values are based on three test scenarios of the simulator. docs/cold-start.md describes the scenarios and calls
// them the join, herd and split days.
const (
	minAdmitFraction           = 0.05  // lower bound of the admitted fraction: without fills there are no answers
	referenceRecoveryPerSecond = 0.05  // growth per second without answers, in a fleet of referenceFleet
	increaseFactor             = 1.5   // factor by which an answer in time raises the fraction
	referenceFleet             = 300.0 // directors; with fewer, each gets more answers and raises the fraction faster
	minDecreaseFactor          = 0.3   // lower bound of decreaseFactor, reached with hundreds of directors
	decreaseExponent           = 0.2   // negated exponent of the fleet's size in decreaseFactor
)

// OriginShield decides which fraction of the fills may go on to the origin. All directors share the origin, and none of
// them observes it directly: parents, which may or may not hold an object, are in front of it. Each director gets few
// answers of its own, and when hundreds of directors wait for the origin at once, answers are seconds late before the
// first director notices. A single answer that the origin made late therefore lowers the fraction at once, and answers
// in time raise it. If the fraction was 1 before the decrease, and the first answer to an attempt that was sent after
// the decrease is in time, the late answer counts as an outlier, and all fills are admitted again. As a result, the
// shield stays open while fewer than about a quarter of the answers are late: protecting an origin that serves most
// requests in time is not worth rejections. Without answers the fraction recovers slowly with time.
//
// The shield limits a fraction and not the concurrency: a director sends a fill to the origin only about every two
// seconds, so it would never reach a concurrency limit, but a random choice of the fills takes effect.
type OriginShield struct {
	decreaseFactor    float64 // factor that a late answer applies to the fraction
	recoveryPerSecond float64 // growth of the fraction in a second without answers
	admitFraction     float64 // as of updatedAt
	updatedAt         Time
	decreasedAt       Time // time of the last decrease; earlier attempts waited in the queue that caused the decrease
	// confirmed is true if a second late answer came before the fraction was back at 1. A single late answer may be an
	// outlier, but two of them indicate a queue at the origin. While confirmed is false, one answer in time restores
	// the fraction to 1. While it is true, an answer in time only multiplies the fraction by increaseFactor. confirmed
	// becomes false when an answer in time brings the fraction to 1.
	confirmed       bool
	decreaseLatency time.Duration // latency of the late answer that caused the last decrease
}

// NewOriginShield returns a shield that admits all fills, for one director of a fleet of the given size. In a smaller
// fleet each director gets a larger part of the origin's answers and detects a queue earlier. Its shield therefore
// lowers the fraction by less and raises it faster.
func NewOriginShield(directors int) *OriginShield {
	fleet := float64(max(directors, 1))
	return &OriginShield{
		admitFraction:     1,
		decreasedAt:       math.MinInt64,
		decreaseFactor:    max(minDecreaseFactor, 0.9*math.Pow(fleet, -decreaseExponent)),
		recoveryPerSecond: referenceRecoveryPerSecond * math.Sqrt(max(1, referenceFleet/fleet)),
	}
}

// AdmitFraction returns the fraction of the fills, between minAdmitFraction and 1, that may go on to the origin at time
// now.
func (s *OriginShield) AdmitFraction(now Time) float64 {
	s.admitFraction = min(1, s.admitFraction+s.recoveryPerSecond*(now-s.updatedAt).Seconds())
	s.updatedAt = now
	return s.admitFraction
}

// RecordAnswer records the origin's answer to an attempt that was sent at the given time. late is set if the origin
// failed, or if the answer came, or is still missing, after the latency objective. If the attempt was sent before the
// last decrease, its answer is ignored, unless it is late and has more than twice the latency of the answer that caused
// the decrease.
func (s *OriginShield) RecordAnswer(now, sent Time, late bool) {
	fraction := s.AdmitFraction(now)
	latency := now - sent
	sentBeforeDecrease := sent < s.decreasedAt
	if late && (!sentBeforeDecrease || latency > 2*s.decreaseLatency) {
		s.decrease(now, fraction, latency)
		return
	}
	if sentBeforeDecrease { // the attempt waited in the queue that caused the last decrease
		return
	}
	s.increase(fraction)
}

// decrease lowers the fraction after a late answer with the given latency. The argument fraction is the fraction before
// the decrease.
func (s *OriginShield) decrease(now Time, fraction float64, latency time.Duration) {
	s.confirmed = fraction < 1
	s.admitFraction = max(minAdmitFraction, fraction*s.decreaseFactor)
	s.decreasedAt = now
	s.decreaseLatency = latency
}

// increase raises the fraction after an answer in time: to 1 if no second late answer has confirmed the first one,
// otherwise by increaseFactor. The argument fraction is the fraction before the increase.
func (s *OriginShield) increase(fraction float64) {
	if !s.confirmed {
		s.admitFraction = 1
		return
	}
	s.admitFraction = min(1, fraction*increaseFactor)
	s.confirmed = s.admitFraction < 1
}
