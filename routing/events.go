package routing

import "time"

// Event is what Router.Handle takes: one of EndpointUpdate, Request, ShortenDeadline, StreamStarted, Outcome,
// RequestClosed, TimerFired, ProbeResult, PeerMessage and Purge. The Router ignores values of other types.
type Event any

// EndpointUpdate brings a change of the endpoint list.
type EndpointUpdate struct {
	Kind      UpdateKind
	Version   uint64
	Endpoints []Endpoint
}

// Request is a client's request. The router owes it one final answer.
type Request struct {
	ID          uint32
	Class       int // index of Settings.Classes; out of range counts as the nearest
	Tenant      int
	Object      uint64
	Part        int     // of the object
	Group       int     // of objects that are purged together
	Deadline    Time    // by which the client must have an answer
	SizeKB      float64 // of the answer; 0: not known
	ClientRetry bool    // the client has sent it before
	Write       bool    // its answer is never stored
}

// ShortenDeadline moves the deadline of a request forward. A later one is ignored.
type ShortenDeadline struct {
	ID       uint32
	Deadline Time
}

// StreamStarted tells that a streamed answer has begun. The request is not attempted again after that.
type StreamStarted struct {
	ID      uint32
	Attempt int
	Host    Host
	Elapsed time.Duration
}

// Outcome is the end of an attempt. Each attempt has exactly one.
type Outcome struct {
	ID          uint32 // of the request
	Attempt     int    // number of the attempt, from 0
	Host        Host
	Result      Result
	Elapsed     time.Duration // since the attempt was sent
	RequestDone bool          // the request has its answer
	FillStatus  FillStatus
	SourceWait  time.Duration // how long the cache waited for the first byte of its source
	LoadReport  []float32     // as Settings.LoadReport says
}

// RequestClosed tells that a request is over without a decision of the router.
type RequestClosed struct{ ID uint32 }

// TimerFired tells that a timer of an earlier SetTimer is due.
type TimerFired struct{ Token uint64 }

// ProbeResult is the result of a Probe. The Router ignores it at present.
type ProbeResult struct {
	Host       Host
	Result     Result
	Elapsed    time.Duration
	LoadReport []float32
}

// PeerMessage is a message of another director.
type PeerMessage struct {
	From uint32
	Data []byte
}

// Purge tells that an object, or with Object 0 a whole group, was purged Age ago.
type Purge struct {
	Age    time.Duration
	Group  int
	Object uint64
}
