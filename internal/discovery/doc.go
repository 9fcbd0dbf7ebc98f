// Package discovery watches the list service, which announces a director's endpoints (caches, parents, origin) and the
// purges of cached objects.
//
// A watch is a TCP connection on which the director asks for all events behind a revision ("SUB n") and the service
// sends numbered events, one JSON object a line. A line with only the latest revision is a heartbeat. A Watcher keeps
// one watch up: each event reaches its Sink once and in order, and after a loss the next watch resumes behind the last
// event that was applied. A Backoff decides when the next call is made, so that a fleet of directors that loses the
// service at one moment does not return to it at one moment.
//
// All methods run on the event loop of the process. Nothing here is safe for concurrent use.
package discovery
