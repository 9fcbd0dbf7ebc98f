package routing

import "time"

// Action is an output of Router.Handle that the caller has to carry out: one of Forward, Fetch, Cancel,
// Reject, Fail, SetTimer, Probe, CloseIdleConnections, SendPeerMessage, Subscribe, PollEndpoints and Log.
type Action any

// Forward sends an attempt to a host that needs no source, such as the origin.
type Forward struct {
	ID      uint32 // ID of the request
	Host    Host
	Timeout time.Duration // 0: until the request's deadline
	// IdempotencyWindowEnd is the time from which the caller must not send the attempt to the server any more:
	// the attempt would repeat an earlier attempt outside the window in which the server recognises repeats.
	// 0: no bound.
	IdempotencyWindowEnd Time
}

// FetchFlags is a set of options of a Fetch.
type FetchFlags uint8

// Options of a Fetch.
const (
	CoalesceFill         FetchFlags = 1 << iota // a miss may wait for a fill that is in progress
	OnlyIfCached                                // the source answers from its cache only (RFC 9111)
	ParentNoStore                               // the parent does not store the object; the Router never sets it
	StaleWhileRevalidate                        // serve a stale copy and revalidate it meanwhile (RFC 5861)
)

// Fetch sends an attempt to a cache and names the source from which the cache fills a miss.
type Fetch struct {
	ID     uint32 // ID of the request
	Host   Host
	Source Host // same as Host: the cache answers with a cached copy or a miss, without a fill
	// RetentionRank is a hint to the cache how valuable the object is, from 0 to 2: the number of recent
	// requests for the same part of the object at this director, at most 2.
	RetentionRank uint8
	Flags         FetchFlags
	Timeout       time.Duration // 0: until the request's deadline
	MaxAge        time.Duration // maximum age of an acceptable copy; 0: the class's freshness lifetime
	// IdempotencyWindowEnd is the time from which the attempt must not be sent any more, as in Forward.
	IdempotencyWindowEnd Time
}

// Cancel cancels an attempt. The caller still has to deliver the Outcome of the attempt.
type Cancel struct {
	ID      uint32 // ID of the request
	Attempt int    // number of the attempt within its request, from 0
}

// Reject ends a request with a rejection, after which the client may safely retry the request.
type Reject struct {
	ID         uint32        // ID of the request
	RetryAfter time.Duration // time after which the client should retry; 0: not specified
	Reason     Reason
}

// Fail ends a request with a failure, which leaves open whether the request has been executed.
type Fail struct {
	ID     uint32 // ID of the request
	Reason Reason
}

// SetTimer requests a TimerFired event with the same token at the given time.
type SetTimer struct {
	Token uint64
	At    Time
}

// Probe requests a health check of a host. The Router currently does not emit this action.
type Probe struct{ Host Host }

// CloseIdleConnections closes the idle connections to a host. The Router currently does not emit this action.
type CloseIdleConnections struct{ Host Host }

// AllPeers is the value of SendPeerMessage.To that addresses all other directors.
const AllPeers = ^uint32(0)

// SendPeerMessage sends a message to the director with the ID To, or to all other directors (AllPeers).
type SendPeerMessage struct {
	To   uint32
	Data []byte
}

// Subscribe starts the subscription to the endpoint list if Enabled is set, and ends it otherwise. The Router
// currently does not end the subscription.
type Subscribe struct{ Enabled bool }

// PollEndpoints requests the full endpoint list from discovery once. The Router currently does not emit this
// action.
type PollEndpoints struct{}

// Log writes a message for the people on call to the director's log.
type Log struct{ Message string }
