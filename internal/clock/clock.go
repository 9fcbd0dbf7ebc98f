// Package clock measures time. Every span is taken from the system's monotonic clock, so that a wall clock that is
// stepped moves no deadline. Stamps of peers, which are Unix times of clocks that are not ours, are brought onto our clock
// by Peer.
package clock

import (
	"time"

	"shaleyard/routing"
)

// Clock is the one clock of a process: monotonic, and counted from the Unix epoch as the wall clock told it at the start.
// It is safe for concurrent use.
type Clock struct {
	start time.Time    // holds a monotonic reading
	epoch routing.Time // Unix time of start
}

// New returns a clock that starts now.
func New() *Clock {
	start := time.Now()
	return &Clock{start: start, epoch: routing.Time(start.UnixNano())}
}

// Now is the time. It never goes back, and runs on at the same pace whatever happens to the wall clock.
func (c *Clock) Now() routing.Time { return c.epoch + time.Since(c.start) }
