package director

import (
	"time"

	"shaleyard/internal/buffer"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// Outcome says how a request ended for its client.
type Outcome uint8

// Outcomes of a request.
const (
	Served   Outcome = iota
	Rejected         // it had no effect, and can be sent again
	Failed           // it may have had an effect
)

// Request is a request as the client side submits it. Ref, Service, Object, Part, IfNoneMatch and IdempotencyKey are
// passed on to the server unchanged.
type Request struct {
	ConnID         uint64 // of the client's connection, for the flight recorder
	Ref            string // the client's reference
	Service        string
	Object         string
	Part           string
	IfNoneMatch    string        // entity tag of the client's copy; "": none
	IdempotencyKey string        // the same for all attempts of one request; "": none
	Class          int           // index of the service in the settings
	ObjectKey      uint64        // of Object, for the router
	PartNumber     int           // Part as a number
	Group          int           // of the object, by which it can be purged
	SizeKB         float64       // of the expected response; 0: not known
	Timeout        time.Duration // for which the client waits
	Body           buffer.Chain  // owned by the director from Submit on
}

// Response is the one response to a request.
type Response struct {
	Outcome     Outcome
	NotModified bool          // the client's copy is current, and no body is sent
	RetryAfter  time.Duration // of a rejection, how long the client should wait; 0: no advice
	Body        *buffer.Chain // valid during the call only; nil: none
	Reason      flightrecorder.Reason
}

// Replier takes the response to a request that was submitted under a token. Reply is called once, or never if the
// request is cancelled.
type Replier interface {
	Reply(token uint64, response Response)
}

// UpstreamRequest is a request as an attempt sends it to a server.
type UpstreamRequest struct {
	Request *Request
	// Timeout is how long the client still waits.
	Timeout time.Duration
	// Source is the name of the server that a miss is filled from; "": a miss is not filled.
	Source string
	// RetentionRank says how much the cache should want to keep the object; 0: it is not told.
	RetentionRank uint8
	FetchFlags    routing.FetchFlags
	// MaxAge is the oldest copy that may be served; 0: the class's freshness lifetime.
	MaxAge time.Duration
	// NonIdempotent says that the request must not run twice.
	NonIdempotent bool
	// IdempotencyWindowEnd is when it must not be written any more, as it would be a repeat outside its window; 0:
	// never.
	IdempotencyWindowEnd routing.Time
}

// Upstream sends attempts to caches, parents and the origin. Each Send is followed by one call of
// Director.AttemptEnded, maybe before Send returns, unless the attempt is cancelled before.
type Upstream interface {
	// Send starts an attempt at a host.
	Send(attempt handle.Handle, host routing.Host, request UpstreamRequest)
	// Cancel ends an attempt, and tells whether any of it may have been written.
	Cancel(attempt handle.Handle) (written bool)
	// CancelIfUnwritten ends an attempt of which nothing has been written; false: some may have been, and it goes on.
	CancelIfUnwritten(attempt handle.Handle) bool
	// SuspendWrites keeps attempts that have not been written from being written, until ResumeWrites.
	SuspendWrites()
	ResumeWrites()
	// UpdateEndpoint adds an endpoint, or applies its new address or incarnation.
	UpdateEndpoint(host routing.Host, name, address string, startedAt routing.Time)
	// RemoveEndpoint removes an endpoint. Attempts that are in flight there go on until they end.
	RemoveEndpoint(host routing.Host)
}

// AttemptResult is how an attempt ended, as the upstream side reports it.
type AttemptResult struct {
	Result      routing.Result
	FillStatus  routing.FillStatus
	SourceWait  time.Duration // for which the server waited for its source; 0: not told
	LoadReport  []float32     // in the order of the settings' fields; nil: none
	NotModified bool          // the client's copy is current
	Body        buffer.Chain  // owned by the director from AttemptEnded on
}

// Endpoint is an entry of the endpoint list, as service discovery reports it.
type Endpoint struct {
	Name             string
	Address          string
	StartedUnixMilli int64 // Started by the list service's clock, in Unix milliseconds; 0: not told
	routing.Endpoint       // its Host is set by the director
}

// Purge is a purge of an object, or of a whole group where ObjectKey is 0.
type Purge struct {
	ObjectKey      uint64
	Group          int
	RemoteIssuedAt routing.Time // by the list service's clock
	IssuedAt       routing.Time // by our clock
}
