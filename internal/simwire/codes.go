// Package simwire implements the simulator's binary protocol: it decodes batches of events and encodes replies with
// the actions of the routers. Integers are big-endian, and fields follow each other without padding. The package makes
// no routing decisions.
package simwire

import "shaleyard/routing"

// Event codes. A record of an event starts with one of them.
const (
	eventRequest        = 16
	eventOutcome        = 17
	eventStreamStarted  = 18
	eventRequestClosed  = 19
	eventTimer          = 20
	eventEndpointUpdate = 21
	eventStopInstance   = 22
	eventPeerMessage    = 23
	eventEndpointList   = 24
	eventPurge          = 25
	eventProbeResult    = 26
	eventStartInstance  = 27
)

// Action codes. A record of an action starts with one of them.
const (
	actionForward       = 16
	actionSetTimer      = 17
	actionPollEndpoints = 18
	actionLog           = 19
	actionCancel        = 20
	actionFetch         = 21
	actionSubscribe     = 22
	actionFail          = 23
	actionProbe         = 24
	actionPeerMessage   = 25
	actionCrash         = 26
	actionCloseIdle     = 27
	actionReject        = 28
)

// Bits of the flags field of a request.
const (
	flagClientRetry = 2
	flagWrite       = 4
)

// Sizes and limits of the protocol, in bytes unless the name says otherwise.
const (
	batchHeaderBytes  = 20
	recordHeaderBytes = 5 // code, length of the fields
	replyHeaderBytes  = 8 // batch number, length of the records
	endpointBytes     = 24
	endpointListCount = 16
	maxBatchBytes     = 1 << 30
	maxTextBytes      = 1<<16 - 1
)

// resultsByCode maps the protocol's result codes of attempts and probes to routing results.
var resultsByCode = map[uint16]routing.Result{
	100: routing.OK,
	101: routing.Miss,
	301: routing.Errored,
	302: routing.Rejected,
	303: routing.TimedOut,
	304: routing.ConnectFailed,
	305: routing.Reset,
	306: routing.Cancelled,
	307: routing.Abandoned,
}
