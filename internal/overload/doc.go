// Package overload holds the mechanisms by which a director protects itself, its caches and the origin from more work
// than they can do: admission control after a start, a retry budget, adaptive concurrency limits, a limiter for new
// connections, an adaptive idle timeout, a shield in front of the origin and a probe before fills. The small statistics
// that these mechanisms and the router share (running means, failure streaks, token buckets) are in statistics.go.
//
// The package does no I/O, reads no clock and starts no goroutine: the time and the source of random numbers are
// arguments. Nothing in it is safe for concurrent use; each value belongs to one event loop. Directors do not talk to
// each other, so each mechanism must lead to a sensible behaviour of the whole fleet from what one director knows:
// the size of the fleet, its own seed and the results of its own requests.
package overload

import "time"

// Time is a time on the caller's clock: nanoseconds since an epoch that the caller chooses. It is the same type as
// routing.Time.
type Time = time.Duration
