package director

import (
	"time"

	"shaleyard/internal/buffer"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// Outcome is how a request ended, as its client sees it.
type Outcome uint8

// Outcomes of a request.
const (
	Served   Outcome = iota
	Rejected         // the request had no effect, or a repeat does no harm: the client can send the request again
	Failed           // the request may have had an effect
)

// Request is a request as the client side submits it. Ref, Service, Object, Part, IfNoneMatch and IdempotencyKey are
// passed on to the server unchanged.
type Request struct {
	ConnID         uint64 // identifies the client's connection in the flight recorder
	Ref            string // the client's identifier of the request
	Service        string
	Object         string
	Part           string
	IfNoneMatch    string        // entity tag of the client's copy; "": none
	IdempotencyKey string        // the same for all attempts of the request; "": none
	Class          int           // index of the service in routing.Settings.Classes
	ObjectKey      uint64        // Object as a number
	PartNumber     int           // Part as a number
	Group          int           // purge group of the object
	SizeKB         float64       // expected size of the response; 0: unknown
	Timeout        time.Duration // how long the client waits for the response
	Body           buffer.Chain  // owned by the director once Submit has accepted the request
}

// Response is the response to a request. Each request gets at most one.
type Response struct {
	Outcome     Outcome
	NotModified bool          // the client's copy is current, so no body is sent
	RetryAfter  time.Duration // how long the client should wait after a rejection; 0: no advice
	Body        *buffer.Chain // valid only during the call of Reply; nil: no body
	Reason      flightrecorder.Reason
}

// Replier receives the responses to requests. Reply is called once for each request that Submit accepts, with the token
// that Submit was given, or never if the request is cancelled.
type Replier interface {
	Reply(token uint64, response Response)
	// HasRoom reports whether the client has left room for an answer with a body of the given size in bytes. repeatable
	// is whether the client may safely send the request again. If HasRoom returns false, Reply must not be called with
	// such a body.
	HasRoom(bodySize int, repeatable bool) bool
}

// UpstreamRequest is a client's request with the parameters of one attempt to send it to a server.
type UpstreamRequest struct {
	Request *Request
	// Timeout is the time left until the attempt's deadline.
	Timeout time.Duration
	// Source is the name of the server that the cache fills a miss from; "": the cache does not fill a miss.
	Source string
	// RetentionRank is how valuable it is for the cache to retain the object; 0: no rank is sent to the cache.
	RetentionRank uint8
	FetchFlags    routing.FetchFlags
	// MaxAge is the maximum age of a cached copy that may be served; 0: the class's freshness lifetime.
	MaxAge time.Duration
	// NonIdempotent is true if the request must not be executed twice.
	NonIdempotent bool
	// IdempotencyWindowEnd is the time from which the attempt must not be written any more: it would repeat an earlier
	// attempt outside the window in which servers recognize a repeat. 0: no limit.
	IdempotencyWindowEnd routing.Time
}

// Upstream sends attempts to caches, parents and the origin. It calls Director.AttemptEnded once for each attempt,
// possibly before Send returns, unless the attempt is cancelled first.
type Upstream interface {
	// Send starts an attempt at a host.
	Send(attempt handle.Handle, host routing.Host, request UpstreamRequest)
	// Cancel ends an attempt, and reports whether any part of it may have been written.
	Cancel(attempt handle.Handle) (written bool)
	// CancelIfUnwritten ends an attempt of which nothing has been written and returns true. If any part of the attempt
	// may have been written, the attempt continues and CancelIfUnwritten returns false.
	CancelIfUnwritten(attempt handle.Handle) bool
	// SuspendWrites holds back attempts that have not been written, until ResumeWrites is called.
	SuspendWrites()
	// ResumeWrites writes the attempts that were held back since SuspendWrites.
	ResumeWrites()
	// UpdateEndpoint adds an endpoint, or applies the new address or start time of a known one.
	UpdateEndpoint(host routing.Host, name, address string, startedAt routing.Time)
	// RemoveEndpoint removes an endpoint. Attempts in flight to the endpoint continue.
	RemoveEndpoint(host routing.Host)
}

// AttemptResult is how an attempt ended, as the upstream side reports it.
type AttemptResult struct {
	Result      routing.Result
	FillStatus  routing.FillStatus
	SourceWait  time.Duration // how long the server waited for the first byte from its source; 0: not reported
	LoadReport  []float32     // load figures in the order of routing.LoadReportSettings.Fields; nil: none
	NotModified bool          // the client's copy is current
	Body        buffer.Chain  // owned by the director from AttemptEnded on
}

// Endpoint is an entry of the endpoint list that service discovery reports.
type Endpoint struct {
	Name             string
	Address          string
	StartedUnixMilli int64 // Started in Unix milliseconds of the discovery service's clock; 0: not reported
	routing.Endpoint       // its Host is set by Director.UpdateEndpoints
}

// Purge is the purge of one object, or of a whole group if ObjectKey is 0.
type Purge struct {
	ObjectKey      uint64
	Group          int
	RemoteIssuedAt routing.Time // time of the purge by the discovery service's clock
	IssuedAt       routing.Time // time of the purge by this process's clock
}
