// Package clock measures time. All durations are measured with the system's monotonic clock, so that a step of the wall
// clock does not move deadlines. Timestamps of peers, which are Unix times of other clocks, are converted to the local
// clock by PeerClock.
package clock

import (
	"time"

	"shaleyard/routing"
)

// Clock is the clock of a process. It starts at the wall clock's Unix time and then advances with the monotonic clock.
// It is safe for concurrent use.
type Clock struct {
	start time.Time    // holds a monotonic reading
	epoch routing.Time // Unix time at start
}

// New returns a Clock that starts at the current Unix time and then advances with the monotonic clock.
func New() *Clock {
	start := time.Now()
	return &Clock{start: start, epoch: routing.Time(start.UnixNano())}
}

// Now returns the current time since the Unix epoch. The returned time never decreases, and steps of the wall clock do
// not affect it.
func (c *Clock) Now() routing.Time { return c.epoch + time.Since(c.start) }
