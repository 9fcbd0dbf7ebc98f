// Package routing decides what happens to each client request that arrives at one director, a load balancer
// in front of edge caches: which cache it is sent to, from which source that cache fills a miss, whether and
// when an attempt is retried or hedged, and when the request is rejected instead.
//
// # Model
//
// A [Router] is a deterministic state machine. [Router.Handle] takes one [Event] and the time at which it
// happened, and returns the [Action] values that the caller has to carry out. The package does no I/O, starts
// no goroutines and reads no clock; its only source of randomness is a generator whose seed is an argument of
// [New]. The same settings, seed and events always give the same actions. Tests, the simulator and recorded
// traces rely on this property. Loops over servers therefore follow orderedServers or a sorted group, never
// the order of a map, and a change must preserve the order of floating-point sums and of random draws. A
// Router is not safe for concurrent use; package director owns one and drives it from its event loop.
//
// # Tiers
//
// Servers form three tiers. The edge caches of the director's own zone are the usual targets of requests. On
// a miss, a cache fills from the source that the director names with the request: another cache that holds a
// copy (a sibling), a parent in a hub, or the origin. Where the deployment allows it, a request may
// bypass the caches and go to a parent or to the origin directly.
//
// # Processing of a request
//
//   - handleRequest stores the request, and advance looks for a server: it sends an attempt, postpones the
//     request, or ends it.
//   - route tries the local caches in the order of a weighted rendezvous hash of the object, and skips caches
//     that are ejected, saturated or at their concurrency limit. fetchThrough picks the source for a cache;
//     bypass sends the request to a parent or to the origin without a cache.
//   - send is the only function that starts attempts. It checks the rules that hold for every attempt: the
//     number of attempts, idempotency, hedging, draining, and the slow-start budgets of target and source.
//   - handleOutcome handles the end of an attempt. It updates what is known about the servers (limits,
//     latency, outlier ejection, content location), and then ends the request, retries it at once or
//     postpones it.
//   - endRequest rejects or fails a request that no server will answer. Each request ends with exactly one
//     answer, unless the caller closes the request first.
//
// # Files
//
//   - settings.go, validate.go: the settings and their checks
//   - events.go, actions.go, endpoint.go, result.go, reason.go: the types that the caller exchanges with the
//     Router
//   - router.go: the Router and the dispatch of events; state.go: its state; tuning.go: its tuning
//     constants
//   - request.go, ending.go: the start, postponement and end of requests
//   - route.go, rank.go: the choice of target and source
//   - send.go, idempotency.go: the conditions for every attempt
//   - outcome.go, failure.go, health.go, ejection.go, latency.go: the evaluation of ended attempts
//   - limits.go, slowstart.go: overload protection; hedging.go: repeated attempts for lost answers
//   - locations.go, purge.go: which cache holds which object
//   - endpoints.go: the endpoint list; peers.go, peermessage.go: location queries to directors of other zones
//   - upkeep.go: periodic checks and expiry of state
//
// # Units
//
// Work, loads, limits and budgets are in seconds of transfer time: the time that a server needs to send an
// object at its nominal rate. Times are readings of the caller's monotonic clock.
package routing
