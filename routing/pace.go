package routing

import (
	"math"
)

// How fast caches answer, compared with what they should need.

// timed takes the time that an attempt has taken so far as a sample of its cache's pace: at its end, and
// while it is out each time that it has doubled, as a slow cache's answers come too late to learn from.
func (d *Router) timed(a *attempt) {
	t, took := a.target, d.now-a.sent
	if t.role != edge || a.look {
		return
	}
	a.doubled = 2 * took
	t.pace += (math.Log(max(took.Seconds(), 1e-3)/a.expect.Seconds()) - t.pace) * paceLearn
}

// slow tells that a cache takes far longer than the others of the location: fills from it would, too.
func (d *Router) slow(s *server) bool { return s.pace > d.pace+paceSlack }
