package overload

import (
	"math"
	"time"
)

// observationLifetime is how long a single observation of a server counts: after it, it says nothing of now.
const observationLifetime = 8 * time.Second

// RecentObservation is the latest observation of a condition that holds or does not hold for a server. An observation
// older than observationLifetime does not count. The zero value has observed nothing, and the condition does not hold.
type RecentObservation struct {
	observedAt Time
	holds      bool
}

// Record takes an observation, which replaces the one before.
func (o *RecentObservation) Record(now Time, holds bool) {
	o.observedAt = now
	o.holds = holds
}

// Holds reports whether the condition was observed to hold, and recently.
func (o *RecentObservation) Holds(now Time) bool {
	return o.holds && now-o.observedAt <= observationLifetime
}

// FailureStreak counts failures in a row. A failure more than observationLifetime after the one before begins a new
// row: three failures with minutes between them are not a streak. Its zero value is an empty streak, and the owner
// resets it to that after a success.
type FailureStreak struct {
	count       int
	lastFailure Time
}

// Add counts one more failure and returns the length of the streak.
func (s *FailureStreak) Add(now Time) int {
	if now-s.lastFailure > observationLifetime {
		s.count = 0
	}
	s.count++
	s.lastFailure = now
	return s.count
}

// TokenBucket is a budget that refills at a rate (a token bucket, counted by what has been taken from it). The caller
// names the rate, in units per second, each time, as it may change, and compares Spent with a burst of its own. The
// zero value is a full bucket.
type TokenBucket struct {
	spent     float64
	updatedAt Time
}

// Spent is what has been taken from the bucket and has not been refilled by now.
func (b *TokenBucket) Spent(now Time, perSecond float64) float64 {
	b.spent = max(0, b.spent-perSecond*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	return b.spent
}

// Spend takes an amount from the bucket; a negative amount is given back.
func (b *TokenBucket) Spend(amount float64) { b.spent = max(0, b.spent+amount) }

// meanMinWeight is the least weight of a sample in a Mean.
const meanMinWeight = 1.0 / 32

// Mean is a running mean. The first samples have equal weights; as soon as a weight would be below meanMinWeight, the
// mean becomes an exponentially weighted one. The initial estimate counts as one sample, so that a director that has
// just started learns from its first few answers and not only from its first hundred.
type Mean struct {
	Value   float64
	samples float64 // the initial estimate included
}

// NewMean returns a mean with an initial estimate and no samples.
func NewMean(estimate float64) Mean { return Mean{Value: estimate, samples: 1} }

// Observe takes a sample.
func (m *Mean) Observe(sample float64) {
	m.samples = min(m.samples+1, 1/meanMinWeight)
	m.Value += (sample - m.Value) / m.samples
}

// exponentialDecay is the part, between 0 and 1, that is left of an observation of an age. It is 1 for ages below 0.
func exponentialDecay(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, float64(age)) / float64(timeConstant))
}
