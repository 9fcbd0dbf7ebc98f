// Package overload implements the mechanisms by which a director limits the load on itself, its caches and the origin:
// admission control after a start, a retry budget, adaptive concurrency limits, a limiter for new connections, an
// adaptive idle timeout, a shield in front of the origin and a probe before fills, which is a request for a cached copy
// only. The running means, failure streaks and token buckets that these mechanisms and the router share are in
// statistics.go.
//
// The package performs no I/O, reads no clock and starts no goroutine: its callers pass the time and the source of
// random numbers. No type of the package is safe for concurrent use; each value belongs to one event loop. Directors do
// not communicate with each other. Each mechanism must therefore produce reasonable behaviour of the whole fleet from
// what one director knows: the size of the fleet, its own seed and the results of its own requests.
package overload

import "time"

// Time is a point in time on the caller's clock, in nanoseconds since an epoch that the caller chooses. It is the same
// type as routing.Time.
type Time = time.Duration
