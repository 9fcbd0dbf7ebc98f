package overload

import (
	"math"
	"time"
)

// Measured on the simulator's join, herd and split days (docs/cold-start.md).
const (
	minAdmitFraction           = 0.05  // part of the fills that is always admitted, or nothing would be learnt
	referenceRecoveryPerSecond = 0.05  // fraction regained in a second without answers, for a fleet of referenceFleet
	increaseFactor             = 1.5   // by which an answer in time raises the fraction
	referenceFleet             = 300.0 // directors; with fewer, each sees more of the origin and recovers faster
	minDecreaseFactor          = 0.3   // factor by which a late answer lowers the fraction, for hundreds of directors
	decreaseExponent           = 0.2   // power of the fleet's size by which a smaller fleet lowers it less
)

// OriginShield decides which fraction of the fills may go on to the origin, which all directors share and none of them
// observes directly: it is behind parents that may or may not hold an object. Each director gets few answers of its
// own, and when hundreds wait for the origin at once, an answer is late by seconds before any of them has learnt of it.
// So a single answer that the origin has made late lowers the fraction at once, and answers in time raise it. If the
// first answer to an attempt sent after a late one is in time, the late one was an outlier, and all fills are admitted
// again. So the shield stays open where fewer than about a quarter of the answers are late: protecting an origin that
// serves most requests in time is not worth rejections. Without answers the fraction recovers slowly with time.
//
// The decision is a fraction and not a concurrency limit: a director with one such fill in flight every other second
// would never reach a limit.
type OriginShield struct {
	decreaseFactor    float64 // part of the fraction that a late answer leaves
	recoveryPerSecond float64 // fraction regained in a second without answers
	admitFraction     float64 // as of updatedAt
	updatedAt         Time
	loweredAt         Time // last decrease: what was sent before it tells of the same queue
	// confirmed: an attempt sent after the last decrease was late, too. One late answer may be an outlier, two are a
	// queue.
	confirmed    bool
	worstLatency time.Duration // of the late answer behind the last decrease
}

// NewOriginShield returns a shield that admits all fills, for one of a number of directors. In a smaller fleet each
// director gets a larger part of the origin's answers: it learns of a queue earlier, so it lowers the fraction by less
// and regains it faster.
func NewOriginShield(directors int) *OriginShield {
	fleet := float64(max(directors, 1))
	return &OriginShield{
		admitFraction:     1,
		loweredAt:         math.MinInt64,
		decreaseFactor:    max(minDecreaseFactor, 0.9*math.Pow(fleet, -decreaseExponent)),
		recoveryPerSecond: referenceRecoveryPerSecond * math.Sqrt(max(1, referenceFleet/fleet)),
	}
}

// AdmitFraction is the fraction of the fills, between minAdmitFraction and 1, that may go on to the origin now.
func (s *OriginShield) AdmitFraction(now Time) float64 {
	s.admitFraction = min(1, s.admitFraction+s.recoveryPerSecond*(now-s.updatedAt).Seconds())
	s.updatedAt = now
	return s.admitFraction
}

// RecordAnswer records the origin's answer to an attempt that was sent at a time. With late, the answer came, or is
// still missing, after the time at which it would have been of use.
func (s *OriginShield) RecordAnswer(now, sent Time, late bool) {
	fraction := s.AdmitFraction(now)
	latency := now - sent
	sentBeforeDecrease := sent < s.loweredAt
	if late && (!sentBeforeDecrease || latency > 2*s.worstLatency) {
		s.decrease(now, fraction, latency)
		return
	}
	if sentBeforeDecrease { // It waited in the queue that the last decrease was for.
		return
	}
	s.increase(fraction)
}

// decrease lowers the fraction for a late answer of a latency.
func (s *OriginShield) decrease(now Time, fraction float64, latency time.Duration) {
	s.confirmed = fraction < 1
	s.admitFraction = max(minAdmitFraction, fraction*s.decreaseFactor)
	s.loweredAt = now
	s.worstLatency = latency
}

// increase raises the fraction for an answer in time: at once to all fills if no second late answer has confirmed the
// first, else by a factor.
func (s *OriginShield) increase(fraction float64) {
	if !s.confirmed {
		s.admitFraction = 1
		return
	}
	s.admitFraction = min(1, fraction*increaseFactor)
	s.confirmed = s.admitFraction < 1
}
