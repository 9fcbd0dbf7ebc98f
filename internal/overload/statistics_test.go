package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestObservationsExpire guards against decisions that rest on outdated observations: an observation must expire after
// observationLifetime, and failures further apart must not form a streak.
func TestObservationsExpire(t *testing.T) {
	var observation RecentObservation
	if observation.Holds(time.Minute) {
		t.Error("the condition holds without an observation")
	}
	observation.Record(time.Minute, true)
	last := time.Minute + observationLifetime
	if !observation.Holds(last) || observation.Holds(last+1) {
		t.Errorf("want the condition to hold for %v and no longer", observationLifetime)
	}
	observation.Record(2*time.Minute, true)
	observation.Record(2*time.Minute, false)
	if observation.Holds(2 * time.Minute) {
		t.Error("the condition holds although the latest observation is that it does not")
	}

	var streak FailureStreak
	now := time.Hour
	for i, tc := range []struct {
		after time.Duration // since the failure before
		want  int
	}{
		{after: 0, want: 1},
		{after: observationLifetime, want: 2},
		{after: time.Second, want: 3},
		{after: observationLifetime + time.Second, want: 1},
		{after: 0, want: 2},
	} {
		now += tc.after
		if got := streak.Add(now); got != tc.want {
			t.Errorf("failure %d, %v after the last: got a streak of %d, want %d", i+1, tc.after, got, tc.want)
		}
	}
}

// TestTokenBucketKeepsItsRate guards against a bucket that gives out more than its rate allows: if the caller checks
// Spent before each Spend, the total must not exceed the burst and the refill.
func TestTokenBucketKeepsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bucket TokenBucket
		rate := rapid.Float64Range(0, 10).Draw(t, "rate")
		burst := rapid.Float64Range(0.1, 10).Draw(t, "burst")
		now, taken := Time(0), 0.0
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap"))
			amount := rapid.Float64Range(0, 3).Draw(t, "n")
			if bucket.Spent(now, rate)+amount <= burst {
				bucket.Spend(amount)
				taken += amount
			}
			if most := burst + rate*now.Seconds(); taken > most+1e-6 {
				t.Fatalf("%v taken within %v, want at most %v", taken, now, most)
			}
		}
	})
}

// TestMeanFollowsItsFirstSamples guards against a mean that keeps a wrong initial estimate for long, or that follows
// single outliers: an estimate 20 times too high must have little effect after 9 samples, and one outlier after many
// samples must move the mean little.
func TestMeanFollowsItsFirstSamples(t *testing.T) {
	mean := NewMean(20)
	for range 9 {
		mean.Observe(1)
	}
	if mean.Value > 3 {
		t.Errorf("mean after 9 samples of 1: got %v, want at most 3", mean.Value)
	}
	for range 200 {
		mean.Observe(1)
	}
	mean.Observe(33) // moves the mean a thirty-second (meanMinWeight) of the way from 1 to 33, to about 2
	if mean.Value > 2.01 || mean.Value < 1.9 {
		t.Errorf("mean after one sample of 33 behind many of 1: got %v, want about 2", mean.Value)
	}
}
