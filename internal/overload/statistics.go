package overload

import (
	"math"
	"time"
)

// observationLifetime is the age up to which a single observation of a server counts as evidence about its present
// state.
const observationLifetime = 8 * time.Second

// RecentObservation is the latest observation of whether a condition holds for a server. An observation older than
// observationLifetime is ignored. In the zero value nothing was observed, and the condition does not hold.
type RecentObservation struct {
	observedAt Time
	holds      bool
}

// Record replaces the observation by one made at time now: whether the condition holds.
func (o *RecentObservation) Record(now Time, holds bool) {
	o.observedAt = now
	o.holds = holds
}

// Holds reports whether the condition held at the latest observation, and that observation is at most
// observationLifetime old.
func (o *RecentObservation) Holds(now Time) bool {
	return o.holds && now-o.observedAt <= observationLifetime
}

// FailureStreak counts consecutive failures. A failure more than observationLifetime after the one before starts a new
// streak, so that three failures minutes apart do not form one. The zero value is an empty streak. The owner of a
// streak assigns the zero value to it after a success.
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

// TokenBucket is a token bucket that stores the amount which has been taken from it and has not been refilled yet. The
// caller passes the refill rate, in units per second, to each call of Spent, because the rate may change, and compares
// the result with a burst of its own. The zero value is a full bucket.
type TokenBucket struct {
	spent     float64
	updatedAt Time
}

// Spent returns the amount that has been taken from the bucket and has not been refilled by time now.
func (b *TokenBucket) Spent(now Time, perSecond float64) float64 {
	b.spent = max(0, b.spent-perSecond*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	return b.spent
}

// Spend takes an amount from the bucket; a negative amount is returned to it.
func (b *TokenBucket) Spend(amount float64) { b.spent = max(0, b.spent+amount) }

// meanMinWeight is the lower bound of the weight of a sample in a Mean.
const meanMinWeight = 1.0 / 32

// Mean is a running mean. The first samples have equal weights. Once the number of samples has reached 1/meanMinWeight,
// each new sample has the weight meanMinWeight, and the mean is exponentially weighted. The initial estimate counts as
// one sample, so that the mean of a director that has just started follows its first few answers and not only its first
// hundred.
type Mean struct {
	Value   float64
	samples float64 // number of samples, the initial estimate included, up to 1/meanMinWeight
}

// NewMean returns a mean with an initial estimate and no samples.
func NewMean(estimate float64) Mean { return Mean{Value: estimate, samples: 1} }

// Observe adds a sample to the mean.
func (m *Mean) Observe(sample float64) {
	m.samples = min(m.samples+1, 1/meanMinWeight)
	m.Value += (sample - m.Value) / m.samples
}

// exponentialDecay returns the weight, between 0 and 1, that remains of an observation after exponential decay at the
// given age. It returns 1 for a negative age.
func exponentialDecay(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, float64(age)) / float64(timeConstant))
}
