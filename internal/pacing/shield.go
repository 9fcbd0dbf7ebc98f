package pacing

import (
	"math"
	"time"
)

// Figures of the shield. Measured on the fixed test's join+mass and in the simulator (docs/cold-start.md).
const (
	waitLeast = 0.35 // part of the aim that a wait for the source may always take
	waitMost  = 0.8  // and that it may take at most, however slow the source has always been
	spreads   = 3.0  // mean deviations over the usual wait from which one is too long for chance
	leastDev  = 0.1  // of the usual wait: the least deviation that is believed
	learnWait = 1.0 / 8
	learnDev  = 1.0 / 4
	learnLong = 1.0 / 32 // weight of a wait that was too long: a source that has become slower is learnt slowly
	openLeast = 0.05     // part that is always let through, or nothing would be learnt
	opensBy   = 0.05     // part that opens in a second, for hundreds of directors
	opensSeen = 300.0    // directors for which that holds: fewer see more of the source each, and dare more
	lowers    = 0.2      // power of the fleet's size by which a queue that is seen lowers the part
)

// Shield decides which part of the fills may go on to a source that all directors share and none of them sees: the
// origin, behind parents that may or may not hold an object. Each director has few answers of its own, and when
// hundreds wait for the source at once, an answer is late by seconds before any of them has learnt of it. So the
// wait that an answer tells is taken for what it is, a queue, and the part let through is lowered at once by as
// much as the wait is too long; it opens again with time alone, slowly, as answers are few.
//
// Its decision is a part, not a number of places: a director that has one such fill out every other second has no
// use for a limit on how many are out.
type Shield struct {
	aim  float64 // seconds: the shortest of what it serves
	to   float64 // part of the part that is left by a queue that is seen
	rise float64 // part that opens in a second
	open float64
	at   Time // when open was right
	cut  Time // when it was last lowered: what was sent before tells of the same queue again
	// Waits in seconds: for which it was last lowered; the usual one and its mean deviation.
	worst, usual, dev float64
}

// NewShield returns a shield that lets all through, for one of a number of directors. The fewer there are, the more
// of what comes from the source each one sees: it learns of a queue sooner and lowers its part by less, and it
// dares to open it faster.
func NewShield(directors int) *Shield {
	n := float64(max(directors, 1))
	return &Shield{aim: math.Inf(1), open: 1, cut: math.MinInt64, to: max(0.3, math.Pow(n, -lowers)*0.9),
		rise: opensBy * math.Sqrt(max(1, opensSeen/n))}
}

// Serve tells of a class of requests that have to be answered within an aim: a wait for the source must leave the
// class with the shortest one time for the rest.
func (s *Shield) Serve(aim time.Duration) { s.aim = min(s.aim, aim.Seconds()) }

// Open is the part of the fills that may go on to the source.
func (s *Shield) Open(now Time) float64 {
	s.open = min(1, s.open+s.rise*(now-s.at).Seconds())
	s.at = now
	return s.open
}

// Waited takes the wait for the source's first byte that the answer to an attempt, sent at a time, told of.
func (s *Shield) Waited(now, sent Time, wait time.Duration) {
	w := max(wait.Seconds(), 1e-3)
	if s.usual > 0 || w > waitMost*s.aim {
		s.take(now, sent, w)
	}
	off, weight := w-s.usual, learnWait
	switch {
	case s.usual == 0:
		s.usual, s.dev = min(w, s.aim/2), min(w, s.aim/2)/2
		return
	case w > s.target():
		weight = learnLong
	}
	s.usual += off * weight
	s.dev += (math.Abs(off) - s.dev) * min(2*weight, learnDev)
}

// Waiting takes for how long an attempt that is still out has waited for the source, at least. Where each director
// has little out and the queue is long, it is known from this long before an answer tells.
func (s *Shield) Waiting(now, sent Time, wait time.Duration) { s.take(now, sent, wait.Seconds()) }

// Failed takes a fill that the source, or what stands before it, turned away or never answered.
func (s *Shield) Failed(now, sent Time) { s.take(now, sent, 2*s.target()) }

// target is the wait, in seconds, over which a queue is taken to stand before the source: more than chance makes of
// the usual one, and in any case what leaves no time for the rest.
func (s *Shield) target() float64 {
	return min(max(waitLeast*s.aim, s.usual+spreads*max(s.dev, leastDev*s.usual)), waitMost*s.aim)
}

// take lowers the part for a wait that is too long. What was sent before it was last lowered stands in the same
// queue: it counts only where that proves to be twice as long as was known.
func (s *Shield) take(now, sent Time, wait float64) {
	known := s.target()
	if sent < s.cut {
		known = 2 * s.worst
	}
	if wait > known {
		s.open = max(openLeast, s.Open(now)*s.to)
		s.cut, s.worst = now, wait
	}
}
