package overload

import (
	"testing"
	"time"
)

// A look costs an answer's time: only where a crowd of first fills is likely.
func TestLooksOnlyWhereACrowdIsLikely(t *testing.T) {
	var f ProbeBeforeFill
	f.ShouldProbe(time.Minute, false, 1, 0) // begins
	later := time.Minute + probeStartPeriod
	for _, tc := range []struct {
		now   Time
		cold  bool
		open  float64
		looks int
		want  bool
	}{
		{time.Minute, false, 1, 0, true},      // all directors may have just started
		{later, false, 1, 0, false},           // an ordinary miss
		{later, true, 1, 0, true},             // the cache has
		{later, false, 0.4, 0, true},          // the origin is crowded
		{later, true, 1, MaxProbes, false},    // no fill was under way, or it took too long
		{later, true, 1, MaxProbes - 1, true}, // one was, and may have ended
	} {
		if got := f.ShouldProbe(tc.now, tc.cold, tc.open, tc.looks); got != tc.want {
			t.Errorf("%+v: looks %v", tc, got)
		}
	}
}
