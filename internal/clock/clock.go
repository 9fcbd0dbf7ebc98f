// Package clock measures time. All durations are taken from the system's monotonic clock, so that a step of the wall
// clock moves no deadline. Timestamps of peers, which are Unix times of other clocks, are converted to our clock by
// PeerClock.
package clock

import (
	"time"

	"shaleyard/routing"
)

// Clock is the one clock of a process: monotonic, and counted from the Unix epoch as the wall clock had it at the
// start. It is safe for concurrent use.
type Clock struct {
	start time.Time    // holds a monotonic reading
	epoch routing.Time // Unix time of start
}

// New returns a clock that starts now.
func New() *Clock {
	start := time.Now()
	return &Clock{start: start, epoch: routing.Time(start.UnixNano())}
}

// Now is the time. It never goes back, and advances at the same rate whatever happens to the wall clock.
func (c *Clock) Now() routing.Time { return c.epoch + time.Since(c.start) }
