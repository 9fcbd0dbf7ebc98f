package routing

import "time"

// Event is an input of Router.Handle: one of EndpointUpdate, Request, ShortenDeadline, StreamStarted,
// Outcome, RequestClosed, TimerFired, ProbeResult, PeerMessage and Purge. The Router ignores values of other
// types.
type Event any

// EndpointUpdate reports the endpoint list, a change of it, or a failure to obtain it, depending on Kind.
type EndpointUpdate struct {
	Kind      UpdateKind
	Version   uint64 // of the endpoint list; the Router does not use it
	Endpoints []Endpoint
}

// Request is a client's request, which must be answered exactly once.
type Request struct {
	ID          uint32
	Class       int // index of Settings.Classes; an index out of range is replaced by the nearest valid one
	Tenant      int // the Router does not use it
	Object      uint64
	Part        int     // number of the part of the object
	Group       int     // index of a group of objects that are purged together
	Deadline    Time    // time by which the client must have an answer
	SizeKB      float64 // size of the answer; 0: not known
	ClientRetry bool    // the client has sent the request before; the Router does not use it
	Write       bool    // the answer must not be stored
}

// ShortenDeadline moves the deadline of a request to an earlier time. A deadline later than the present one
// is ignored.
type ShortenDeadline struct {
	ID       uint32 // ID of the request
	Deadline Time
}

// StreamStarted reports that a streamed answer to the client has begun. The Router makes no further attempt for
// the request, and uses only the ID of this event.
type StreamStarted struct {
	ID      uint32 // ID of the request
	Attempt int    // number of the attempt within its request, from 0
	Host    Host
	Elapsed time.Duration
}

// Outcome reports the end of an attempt. Each attempt has exactly one Outcome.
type Outcome struct {
	ID          uint32 // ID of the request
	Attempt     int    // number of the attempt, from 0
	Host        Host
	Result      Result
	Elapsed     time.Duration // since the attempt was sent
	RequestDone bool          // the request has been answered
	FillStatus  FillStatus
	SourceWait  time.Duration // how long the cache waited for the first byte from its source
	LoadReport  []float32     // in the order of Settings.LoadReport.Fields; the Router does not use it
}

// RequestClosed reports that the caller has closed a request, for example because the client has left. The
// Router forgets the request with this ID.
type RequestClosed struct{ ID uint32 }

// TimerFired reports that the timer of an earlier SetTimer with this token is due.
type TimerFired struct{ Token uint64 }

// ProbeResult reports the result of a Probe. The Router currently ignores this event.
type ProbeResult struct {
	Host       Host
	Result     Result
	Elapsed    time.Duration
	LoadReport []float32
}

// PeerMessage is a message received from the director with the ID From.
type PeerMessage struct {
	From uint32
	Data []byte
}

// Purge reports that an object, or a whole group of objects if Object is 0, was purged Age ago.
type Purge struct {
	Age    time.Duration
	Group  int
	Object uint64
}
