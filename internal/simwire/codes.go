// Package simwire is the codec of the simulator's protocol: batches of events in, replies of actions out. Numbers are
// big-endian and unpadded. It decides nothing.
package simwire

import "shaleyard/routing"

// Codes of events.
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

// Codes of actions.
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

// Flags of a request.
const (
	flagClientRetry = 2
	flagWrite       = 4
)

// Sizes and bounds of the protocol, in bytes unless named otherwise.
const (
	batchHeaderBytes  = 20
	recordHeaderBytes = 5 // code, length
	replyHeaderBytes  = 8 // number, length
	endpointBytes     = 24
	endpointListCount = 16
	maxBatchBytes     = 1 << 30
	maxTextBytes      = 1<<16 - 1
)

// resultsByCode are the results of attempts and probes.
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
