// Package discovery watches the discovery service, which announces a director's endpoints (caches, parents, origin) and
// the purges of cached objects.
//
// A watch is a TCP connection on which the director requests all events after a revision ("SUB n") and the service
// sends numbered events, one JSON object per line. A line with only the latest revision is a heartbeat. A Watcher
// maintains one watch: each event reaches its Sink once and in order, and after a disconnect the next watch resumes
// after the last applied event. A Backoff schedules the calls to the service, so that a fleet of directors that loses
// the service at one moment does not reconnect at one moment.
//
// A line is invalid if it can't be parsed or if events before it are missing. Any other line is usable, except while
// the service's revision is behind the last applied event.
//
// An event counts as notified from the time at which the platform's rules consider the director informed of it, whether
// or not the director has received it. The time within which the event must be applied starts then.
//
// All methods run on the event loop of the process. Nothing in this package is safe for concurrent use.
package discovery
