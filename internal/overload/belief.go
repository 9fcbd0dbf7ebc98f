package overload

import "time"

const observationLifetime = 8 * time.Second // after which what was seen of a server says nothing of now

// RecentObservation is something that holds of a server or not, as it was seen last, and was seen lately. Its zero: it does not.
type RecentObservation struct {
	observedAt Time
	holds      bool
}

// Record takes what has been seen.
func (s *RecentObservation) Record(now Time, is bool) { s.observedAt, s.holds = now, is }

// Holds tells whether it holds, as far as is still known.
func (s *RecentObservation) Holds(now Time) bool {
	return s.holds && now-s.observedAt <= observationLifetime
}

// FailureStreak counts failures in a row. One that is long past is none: three that are minutes apart are no row.
type FailureStreak struct {
	count       int
	lastFailure Time
}

// Add counts one more and tells how many that makes.
func (s *FailureStreak) Add(now Time) int {
	if now-s.lastFailure > observationLifetime {
		s.count = 0
	}
	s.count, s.lastFailure = s.count+1, now
	return s.count
}

// TokenBucket is a budget that refills at a rate: what has been spent flows off. The caller gives the rate each time, as
// it changes; its zero is a budget of which nothing has been spent.
type TokenBucket struct {
	spent     float64
	updatedAt Time
}

// Spent is what has not flowed off by now.
func (b *TokenBucket) Spent(now Time, perSecond float64) float64 {
	b.spent = max(0, b.spent-perSecond*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	return b.spent
}

// Spend adds to what is spent; less than 0 gives back.
func (b *TokenBucket) Spend(n float64) { b.spent = max(0, b.spent+n) }

const meanMinWeight = 1.0 / 32 // least weight of a sample in a running mean

// Mean is a running mean. It begins with a guess, which counts as one sample: a director that has just started learns
// from its first few answers what it deals with, and not from its first hundred.
type Mean struct {
	Value   float64
	samples float64 // samples so far, the guess among them
}

// NewMean is a mean of which nothing has been seen.
func NewMean(x float64) Mean { return Mean{x, 1} }

// Observe takes a sample.
func (m *Mean) Observe(x float64) {
	m.samples = min(m.samples+1, 1/meanMinWeight)
	m.Value += (x - m.Value) / m.samples
}
