// Package routing decides what happens to each client request that arrives at one director, a load balancer
// in front of edge caches: which cache it is sent to, which source that cache fills a miss from, whether and
// when a failed attempt is retried or hedged, and when the request is rejected instead.
//
// # Model
//
// A [Router] is a deterministic state machine. [Router.Handle] takes one [Event] and the time at which it
// happened, and returns the [Action] values that the caller has to carry out. The package does no I/O, starts
// no goroutines and reads no clock; its only source of randomness is a generator with a seed that [New] is
// given. The same settings, seed and events always give the same actions. Tests, the simulator and recorded
// traces rely on that, so loops over servers follow orderedServers or a sorted group, never the order of a
// map, and neither the order of floating point sums nor the order of random draws may change by accident. A
// Router is not safe for concurrent use; package director owns one and drives it from its event loop.
//
// # Tiers
//
// Servers form three tiers. The edge caches of the director's own zone are the usual targets of requests. On
// a miss, a cache fills from the source that the director names with the request: another cache that holds a
// copy (a sibling), a parent in a hub, or the origin. Where the site allows it, a request may bypass the
// caches and go to a parent or to the origin directly.
//
// # The way of a request
//
//   - handleRequest registers it, and advance looks for a server: it sends an attempt, postpones the request
//     for a moment, or ends it.
//   - route walks the local caches in the order of a weighted rendezvous hash of the object, and skips those
//     that are ejected, saturated or at their concurrency limit. fetchThrough picks the source for a cache;
//     bypass is the way past all caches.
//   - send is the only place from which an attempt leaves. It checks the rules that bind every attempt: their
//     number, idempotency, hedging, draining, and the slow-start budgets of target and source.
//   - handleOutcome takes the end of an attempt. It records what that says about the servers (limits,
//     latency, outlier ejection, content location), and then ends the request, retries it at once or
//     postpones it.
//   - endRequest rejects or fails a request that no server will answer. A request ends with exactly one
//     answer.
//
// # Where to find what
//
//   - settings.go, validate.go: the settings and their checks
//   - events.go, actions.go, endpoint.go, result.go, reason.go: the types that the caller exchanges with the
//     Router
//   - router.go: the Router and the dispatch of events; state.go: what it remembers; tuning.go: tuned
//     constants
//   - request.go, ending.go: the life of a request
//   - route.go, rank.go: the choice of target and source
//   - send.go, idempotency.go: what every attempt must satisfy
//   - outcome.go, failure.go, health.go, ejection.go, latency.go: what is learnt from the end of an attempt
//   - limits.go, slowstart.go, hedging.go: protection against overload, and against losses
//   - locations.go, purge.go: which cache holds which object
//   - endpoints.go: the endpoint list; peers.go, peermessage.go: questions to directors of other zones
//   - upkeep.go: what happens by time alone
//
// # Units
//
// Work, loads, limits and budgets are in seconds of transfer time: the time that a server takes to send an
// object at its nominal rate. Times are readings of the caller's monotonic clock.
package routing
