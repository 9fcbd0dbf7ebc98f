package overload

import (
	"testing"
	"time"
)

// What is learnt of idle times keeps within its bounds, ages, and is raised by idle connections that can be reused.
func TestIdleTimeoutKeepsItsBounds(t *testing.T) {
	const minimum, maximum = 50 * time.Millisecond, 10 * time.Second
	timeout, now := NewIdleTimeout(minimum, maximum), 1000*time.Second
	wantValue := func(want time.Duration) {
		t.Helper()
		if got := timeout.Value(now).Round(time.Millisecond); got != want {
			t.Fatalf("idle connections are used again for %v, want %v", got, want)
		}
	}
	wantValue(maximum)
	timeout.RecordCloseRace(now, 400*time.Millisecond)
	wantValue(300 * time.Millisecond)
	timeout.RecordCloseRace(now, time.Second) // longer than the timeout: the connection was taken long ago
	wantValue(225 * time.Millisecond)
	now += idleTimeConstant
	wantValue(612 * time.Millisecond)
	timeout.RecordReuse(now, 400*time.Millisecond) // says nothing: it was well within
	wantValue(612 * time.Millisecond)
	timeout.RecordReuse(now, 500*time.Millisecond)
	wantValue(621 * time.Millisecond)
	timeout.RecordCloseRace(now, time.Millisecond)
	wantValue(minimum)
	now += 4 * idleTimeConstant
	wantValue(2730 * time.Millisecond)
	now += 4 * idleTimeConstant
	wantValue(maximum)
}
