package overload

import (
	"testing"
	"time"
)

// TestIdleTimeoutKeepsItsBounds guards against a timeout that stays too long while requests are lost on idle
// connections, or too short afterwards: a lost request must shorten it, time and reuse near the timeout must raise it,
// and it must keep its bounds.
func TestIdleTimeoutKeepsItsBounds(t *testing.T) {
	const minimum, maximum = 50 * time.Millisecond, 10 * time.Second
	timeout, now := NewIdleTimeout(minimum, maximum), 1000*time.Second
	wantValue := func(want time.Duration) {
		t.Helper()
		if got := timeout.Value(now).Round(time.Millisecond); got != want {
			t.Fatalf("idle timeout: got %v, want %v", got, want)
		}
	}
	wantValue(maximum)
	timeout.RecordCloseRace(now, 400*time.Millisecond)
	wantValue(300 * time.Millisecond)
	timeout.RecordCloseRace(now, time.Second) // the connection was picked under an earlier, longer timeout
	wantValue(225 * time.Millisecond)
	now += idleTimeConstant
	wantValue(612 * time.Millisecond)
	timeout.RecordReuse(now, 400*time.Millisecond) // no evidence: well below the timeout
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
