package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What was seen long ago is not known any more, whatever it was.
func TestBeliefsAge(t *testing.T) {
	var s RecentObservation
	if s.Holds(time.Minute) {
		t.Error("nothing was seen, and it holds")
	}
	s.Record(time.Minute, true)
	if !s.Holds(time.Minute+observationLifetime) || s.Holds(time.Minute+observationLifetime+1) {
		t.Errorf("want it to hold for %v", observationLifetime)
	}
	s.Record(2*time.Minute, true)
	s.Record(2*time.Minute, false)
	if s.Holds(2 * time.Minute) {
		t.Error("the last that was seen counts")
	}
	var n FailureStreak
	for i, tc := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {observationLifetime, 2}, {time.Second, 3}, {observationLifetime + time.Second, 1}, {0, 2}} {
		s := time.Hour
		for _, e := range []time.Duration{0, observationLifetime, time.Second, observationLifetime + time.Second, 0}[:i+1] {
			s += e
		}
		if got := n.Add(s); got != tc.want {
			t.Errorf("failure %d, %v after the last: %d in a row, want %d", i+1, tc.after, got, tc.want)
		}
	}
}

// A budget gives out over any span no more than its burst and what refilled, if it is asked before each spending.
func TestBucketKeepsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b TokenBucket
		rate, burst := rapid.Float64Range(0, 10).Draw(t, "rate"), rapid.Float64Range(0.1, 10).Draw(t, "burst")
		now, given := Time(0), 0.0
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap"))
			n := rapid.Float64Range(0, 3).Draw(t, "n")
			if b.Spent(now, rate)+n <= burst {
				b.Spend(n)
				given += n
			}
			if most := burst + rate*now.Seconds(); given > most+1e-6 {
				t.Fatalf("%v given within %v, %v at most", given, now, most)
			}
		}
	})
}

// A guess that is twenty times too high has gone after a few samples, and one odd sample of many moves a mean little.
func TestMeanLearnsFromItsFirstSamples(t *testing.T) {
	m := NewMean(20)
	for range 9 {
		m.Observe(1)
	}
	if m.Value > 3 {
		t.Errorf("after 9 samples of 1: %v", m.Value)
	}
	for range 200 {
		m.Observe(1)
	}
	m.Observe(33)
	if m.Value > 2.01 || m.Value < 1.9 {
		t.Errorf("one sample of 33 among many of 1: %v, want a thirty-second of the way", m.Value)
	}
}
