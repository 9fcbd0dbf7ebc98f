package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What was seen long ago is not known any more, whatever it was.
func TestObservationsExpire(t *testing.T) {
	var observation RecentObservation
	if observation.Holds(time.Minute) {
		t.Error("nothing was seen, and it holds")
	}
	observation.Record(time.Minute, true)
	last := time.Minute + observationLifetime
	if !observation.Holds(last) || observation.Holds(last+1) {
		t.Errorf("want it to hold for %v", observationLifetime)
	}
	observation.Record(2*time.Minute, true)
	observation.Record(2*time.Minute, false)
	if observation.Holds(2 * time.Minute) {
		t.Error("the last that was seen counts")
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
			t.Errorf("failure %d, %v after the last: %d in a row, want %d", i+1, tc.after, got, tc.want)
		}
	}
}

// A budget gives out over any span no more than its burst and what refilled, if it is asked before each spending.
func TestBucketKeepsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bucket TokenBucket
		rate := rapid.Float64Range(0, 10).Draw(t, "rate")
		burst := rapid.Float64Range(0.1, 10).Draw(t, "burst")
		now, given := Time(0), 0.0
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap"))
			amount := rapid.Float64Range(0, 3).Draw(t, "n")
			if bucket.Spent(now, rate)+amount <= burst {
				bucket.Spend(amount)
				given += amount
			}
			if most := burst + rate*now.Seconds(); given > most+1e-6 {
				t.Fatalf("%v given within %v, %v at most", given, now, most)
			}
		}
	})
}

// An estimate that is twenty times too high has gone after a few samples, and one odd sample of many moves a mean
// little.
func TestMeanLearnsFromItsFirstSamples(t *testing.T) {
	mean := NewMean(20)
	for range 9 {
		mean.Observe(1)
	}
	if mean.Value > 3 {
		t.Errorf("after 9 samples of 1: %v", mean.Value)
	}
	for range 200 {
		mean.Observe(1)
	}
	mean.Observe(33)
	if mean.Value > 2.01 || mean.Value < 1.9 {
		t.Errorf("one sample of 33 among many of 1: %v, want a thirty-second of the way", mean.Value)
	}
}
