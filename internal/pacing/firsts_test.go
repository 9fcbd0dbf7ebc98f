package pacing

import "testing"

// A look costs an answer's time: only where a crowd of first fills is likely.
func TestLooksOnlyWhereACrowdIsLikely(t *testing.T) {
	for _, tc := range []struct {
		cold  bool
		open  float64
		looks int
		want  bool
	}{
		{false, 1, 0, false},           // an ordinary miss, also of a director that has just started
		{true, 1, 0, true},             // the cache has
		{false, 0.4, 0, true},          // the origin is crowded
		{true, 1, LooksMost, false},    // no fill was under way, or it took too long
		{true, 1, LooksMost - 1, true}, // one was, and may have ended
	} {
		if got := LookFirst(tc.cold, tc.open, tc.looks); got != tc.want {
			t.Errorf("%+v: looks %v", tc, got)
		}
	}
}
