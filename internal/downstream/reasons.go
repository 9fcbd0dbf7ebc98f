package downstream

import "shaleyard/internal/flightrecorder"

// Why connections end, and requests are refused before the director has seen them.
const (
	closedByClient        flightrecorder.Reason = "closed or reset by the client"
	connectionTableFull   flightrecorder.Reason = "no room, and all others are owed answers"
	evictedForNewcomer    flightrecorder.Reason = "made room for a newcomer"
	messageTimeout        flightrecorder.Reason = "no whole message in its time"
	idleTimeout           flightrecorder.Reason = "idle for its time"
	malformedStream       flightrecorder.Reason = "what came can't be followed"
	drainCompleted        flightrecorder.Reason = "its last answer has gone out"
	gracefulClose         flightrecorder.Reason = "the process is being emptied"
	lingerTimeout         flightrecorder.Reason = "the client did not close its half in time"
	tooManyLingering      flightrecorder.Reason = "too many are ending"
	tooMuchAfterHalfClose flightrecorder.Reason = "it sent on behind its end"
	droppedAfterHalfClose flightrecorder.Reason = "bytes behind its end"
	answerNotRead         flightrecorder.Reason = "its last answer was not read"
	outboundLimitExceeded flightrecorder.Reason = "too much was left unread"
	writeFailed           flightrecorder.Reason = "a write failed"
	halfCloseFailed       flightrecorder.Reason = "its half could not be closed"

	buffersExhausted    flightrecorder.Reason = "no buffers"
	requestTableFull    flightrecorder.Reason = "too many open requests"
	tooManyOpenRequests flightrecorder.Reason = "too many open requests on its connection"
	invalidFields       flightrecorder.Reason = "fields that can't be used"
)
