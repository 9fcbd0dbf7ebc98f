package routing

import "time"

// Action is what the caller has to do: one of Forward, Fetch, Cancel, Reject, Fail, SetTimer, Probe,
// CloseIdleConnections, SendPeerMessage, Subscribe, PollEndpoints and Log.
type Action any

// Forward sends an attempt straight to a host that needs no source, such as the origin.
type Forward struct {
	ID      uint32
	Host    Host
	Timeout time.Duration // 0: until the request's deadline
	// IdempotencyWindowEnd is the time after which the attempt must not be written any more; 0: none.
	IdempotencyWindowEnd Time
}

// FetchFlags is a set of options of a Fetch.
type FetchFlags uint8

// Options of a Fetch.
const (
	CoalesceFill         FetchFlags = 1 << iota // a miss may wait for a fill that is under way
	OnlyIfCached                                // the source gives only what it has cached (RFC 9111)
	ParentNoStore                               // the parent does not store the object
	StaleWhileRevalidate                        // serve an ageing copy and renew it behind (RFC 5861)
)

// Fetch sends an attempt to a cache and says where it fills a miss from.
type Fetch struct {
	ID     uint32
	Host   Host
	Source Host // Host itself: it is asked for a cached copy only
	// RetentionRank is how valuable the object is to the cache: 0 to 2, the uses of it that the director has
	// seen.
	RetentionRank uint8
	Flags         FetchFlags
	Timeout       time.Duration // 0: until the request's deadline
	MaxAge        time.Duration // oldest copy that will do; 0: the class's freshness lifetime
	// IdempotencyWindowEnd is the time after which the attempt must not be written any more; 0: none.
	IdempotencyWindowEnd Time
}

// Cancel cancels an attempt. Its Outcome still comes.
type Cancel struct {
	ID      uint32
	Attempt int
}

// Reject ends a request that has had no effect, so that the client may safely retry it.
type Reject struct {
	ID         uint32
	RetryAfter time.Duration // 0: not told
	Reason     Reason
}

// Fail ends a request with no promise about its effect.
type Fail struct {
	ID     uint32
	Reason Reason
}

// SetTimer asks for a TimerFired with the token.
type SetTimer struct {
	Token uint64
	At    Time
}

// Probe asks for a health check of a host. The Router does not emit it at present.
type Probe struct{ Host Host }

// CloseIdleConnections closes idle connections to a host. The Router does not emit it at present.
type CloseIdleConnections struct{ Host Host }

// AllPeers as the receiver of a SendPeerMessage means all other directors.
const AllPeers = ^uint32(0)

// SendPeerMessage sends a message to another director.
type SendPeerMessage struct {
	To   uint32
	Data []byte
}

// Subscribe starts or ends the subscription to the endpoint list.
type Subscribe struct{ Enabled bool }

// PollEndpoints asks discovery for the full endpoint list once. The Router does not emit it at present.
type PollEndpoints struct{}

// Log is a message for the people on call.
type Log struct{ Message string }
