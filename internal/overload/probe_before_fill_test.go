package overload

import (
	"testing"
	"time"
)

// TestProbesOnlyWhereManyFillsAreLikely guards against probes that cost the time of an answer without avoiding a fill:
// a request must probe only where many first fills are likely, and must stop after MaxProbes.
func TestProbesOnlyWhereManyFillsAreLikely(t *testing.T) {
	var probe ProbeBeforeFill
	probe.ShouldProbe(time.Minute, false, 1, 0) // marks the director's start
	later := time.Minute + probeStartPeriod
	for _, tc := range []struct {
		name          string
		now           Time
		warmingUp     bool
		admitFraction float64
		probes        int
		want          bool
	}{
		{name: "all directors may have just started", now: time.Minute, admitFraction: 1, want: true},
		{name: "an ordinary miss", now: later, admitFraction: 1},
		{name: "the cache has just started", now: later, warmingUp: true, admitFraction: 1, want: true},
		{name: "the origin is overloaded", now: later, admitFraction: 0.4, want: true},
		{name: "no fill was in progress, or it took too long", now: later, warmingUp: true, admitFraction: 1,
			probes: MaxProbes},
		{name: "a fill was in progress and may have ended", now: later, warmingUp: true, admitFraction: 1,
			probes: MaxProbes - 1, want: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := probe.ShouldProbe(tc.now, tc.warmingUp, tc.admitFraction, tc.probes); got != tc.want {
				t.Errorf("ShouldProbe for %+v: got %v, want %v", tc, got, tc.want)
			}
		})
	}
}
