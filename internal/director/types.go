package director

import (
	"time"

	"shaleyard/internal/buffer"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// What fronts, peers and the list of servers hand in and are handed.

// Outcome says how a request ended for its client.
type Outcome uint8

// Verdicts.
const (
	Served   Outcome = iota
	Rejected         // trying again is harmless
	Failed           // nothing is said about its effect
)

// Request is what a front hands in. Ref, Service, Object, Part and IdempotencyKey
// pass on unchanged.
type Request struct {
	ConnID                     uint64 // the client's connection, for the log
	Ref, Service, Object, Part string
	Class                      int // index of Service in the settings
	ObjectKey                  uint64
	PartNumber, Group          int
	SizeKB                     float64
	IfNoneMatch                string        // tag of the client's copy, if any
	IdempotencyKey             string        // the same for all tries of one request, if any
	Timeout                    time.Duration // the client waits so long
	Body                       buffer.Chain  // owned by the director from Submit on
}

// Response is the one final answer to a request.
type Response struct {
	Outcome     Outcome
	NotModified bool                  // the client's copy is the one
	RetryAfter  time.Duration         // on a refusal; 0: no advice
	Body        *buffer.Chain         // nil: none; valid during the call
	Reason      flightrecorder.Reason // for the log
}

// Why requests end, where neither an answer nor the router says so.
const (
	reasonServed            flightrecorder.Reason = "served"
	reasonCancelledByClient flightrecorder.Reason = "the client no longer waits"
	reasonOverdue           flightrecorder.Reason = "overdue: failed by the guard"
	reasonNotAccepting      flightrecorder.Reason = "no work is taken"
	reasonExpiredUnread     flightrecorder.Reason = "its time may have been over when it was read"
	reasonNotAdmitted       flightrecorder.Reason = "too much is in hand behind a start or a pause"
)

// Replier takes the answer to a request that it has submitted under a token. It is called once, unless the
// request is withdrawn before.
type Replier interface {
	Reply(token uint64, a Response)
}

// UpstreamRequest is an attempt as a peer is to be asked.
type UpstreamRequest struct {
	Request              *Request
	Timeout              time.Duration
	Source               string // name of the source; "": no fill
	RetentionRank        uint8
	FetchFlags           routing.FetchFlags
	MaxAge               time.Duration
	NonIdempotent        bool         // must not run twice
	IdempotencyWindowEnd routing.Time // not to be written later: it would be a repeat outside its window; 0: any time
}

// Upstream reaches caches, parents and the origin. Each Send is followed by one Director.Ended, unless Stop, or a
// Recall that succeeds, comes before it.
type Upstream interface {
	Send(attempt handle.Handle, to routing.Host, c UpstreamRequest)
	// Stop gives an attempt up and tells whether any of it may have been written.
	Cancel(attempt handle.Handle) (written bool)
	// Recall gives an attempt up of which nothing has been written; one that may have been goes on (false).
	CancelIfUnwritten(attempt handle.Handle) bool
	// Hold keeps what has not been written from being written, until Release.
	SuspendWrites()
	ResumeWrites()
	UpdateEndpoint(host routing.Host, name, address string, started routing.Time)
	RemoveEndpoint(host routing.Host)
}

// AttemptResult is how an attempt ended, as a peer reported it.
type AttemptResult struct {
	Result      routing.Result
	FillStatus  routing.FillStatus
	SourceWait  time.Duration
	LoadReport  []float32
	NotModified bool
	Body        buffer.Chain // owned by the director from Ended on
}

// Endpoint is an entry of the list of servers as the control feed gives it.
type Endpoint struct {
	Name, Address    string
	StartedUnixMilli int64 // Started as the feed stamped it, Unix milliseconds; 0: none
	routing.Endpoint       // without Host
}

// Purge is a purge of an object, or with Object 0 of a group.
type Purge struct {
	ObjectKey      uint64
	Group          int
	RemoteIssuedAt routing.Time // when it was made, as the feed stamped it
	IssuedAt       routing.Time // when it was made, on our clock
}
