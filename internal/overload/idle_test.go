package overload

import (
	"testing"
	"time"
)

// What is learnt of idle times keeps within its bounds, ages, and is lifted by idle connections that hold.
func TestIdleTimesAreBeliefs(t *testing.T) {
	const least, most = 50 * time.Millisecond, 10 * time.Second
	i, now := NewIdleTimeout(least, most), 1000*time.Second
	keep := func(want time.Duration) {
		t.Helper()
		if got := i.Value(now).Round(time.Millisecond); got != want {
			t.Fatalf("idle ones are used again for %v, want %v", got, want)
		}
	}
	keep(most)
	i.RecordCloseRace(now, 400*time.Millisecond)
	keep(300 * time.Millisecond)
	i.RecordCloseRace(now, time.Second) // longer than is trusted: what crossed was opened long ago
	keep(225 * time.Millisecond)
	now += idleTimeConstant
	keep(612 * time.Millisecond)
	i.RecordReuse(now, 400*time.Millisecond) // tells nothing: it was well within
	keep(612 * time.Millisecond)
	i.RecordReuse(now, 500*time.Millisecond)
	keep(621 * time.Millisecond)
	i.RecordCloseRace(now, time.Millisecond)
	keep(least)
	now += 4 * idleTimeConstant
	keep(2730 * time.Millisecond)
	now += 4 * idleTimeConstant
	keep(most)
}
