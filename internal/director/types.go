package director

import (
	"time"

	"shaleyard/internal/buffer"
	"shaleyard/internal/flightrecorder"
	"shaleyard/routing"
)

// What fronts, peers and the list of servers hand in and are handed.

// Verdict says how a request ended for its client.
type Verdict uint8

// Verdicts.
const (
	Served  Verdict = iota
	Refused         // trying again is harmless
	Failed          // nothing is said about its effect
)

// Request is what a front hands in. Ref, Service, Object, Part and IdempotencyKey
// pass on unchanged.
type Request struct {
	Conn                       uint64 // the client's connection, for the log
	Ref, Service, Object, Part string
	Class                      int // index of Service in the settings
	Key                        uint64
	PartNo, Group              int
	SizeKB                     float64
	Known                      string        // tag of the client's copy, if any
	IdempotencyKey             string        // the same for all tries of one request, if any
	Allow                      time.Duration // the client waits so long
	Body                       buffer.Chain  // owned by the director from Submit on
}

// Answer is the one final answer to a request.
type Answer struct {
	Verdict    Verdict
	Same       bool                  // the client's copy is the one
	RetryAfter time.Duration         // on a refusal; 0: no advice
	Body       *buffer.Chain         // nil: none; valid during the call
	Why        flightrecorder.Reason // for the log
}

// Why requests end, where neither an answer nor the router says so.
const (
	served      flightrecorder.Reason = "served"
	withdrawn   flightrecorder.Reason = "the client no longer waits"
	overdue     flightrecorder.Reason = "overdue: failed by the guard"
	noWorkTaken flightrecorder.Reason = "no work is taken"
	readTooLate flightrecorder.Reason = "its time may have been over when it was read"
	notAdmitted flightrecorder.Reason = "too much is in hand behind a start or a pause"
)

// Replier takes the answer to a request that it has submitted under a token. It is called once, unless the
// request is withdrawn before.
type Replier interface{ Reply(token uint64, a Answer) }

// Call is an attempt as a peer is to be asked.
type Call struct {
	Request  *Request
	Patience time.Duration
	Up       string // name of the source; "": no fill
	Keep     uint8
	How      routing.How
	MaxAge   time.Duration
	Once     bool         // must not run twice
	Before   routing.Time // not to be written later: it would be a repeat outside its window; 0: any time
}

// Peers reaches caches, parents and the origin. Each Send is followed by one Director.Ended, unless Stop, or a
// Recall that succeeds, comes before it.
type Peers interface {
	Send(attempt Handle, to routing.Host, c Call)
	// Stop gives an attempt up and tells whether any of it may have been written.
	Cancel(attempt Handle) (written bool)
	// Recall gives an attempt up of which nothing has been written; one that may have been goes on (false).
	CancelIfUnwritten(attempt Handle) bool
	// Hold keeps what has not been written from being written, until Release.
	SuspendWrites()
	ResumeWrites()
	UpdateEndpoint(host routing.Host, name, address string, started routing.Time)
	RemoveEndpoint(host routing.Host)
}

// Ending is how an attempt ended, as a peer reported it.
type Ending struct {
	Result routing.Result
	Note   routing.Note
	Waited time.Duration
	Report []float32
	Same   bool
	Body   buffer.Chain // owned by the director from Ended on
}

// Member is an entry of the list of servers as the control feed gives it.
type Member struct {
	Name, Address  string
	SinceMS        int64 // Started as the feed stamped it, Unix milliseconds; 0: none
	routing.Member       // without Host
}

// Purge is a purge of an object, or with Object 0 of a group.
type Purge struct {
	Object uint64
	Group  int
	Stamp  routing.Time // when it was made, as the feed stamped it
	Made   routing.Time // when it was made, on our clock
}
