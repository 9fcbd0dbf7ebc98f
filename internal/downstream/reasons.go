package downstream

import "shaleyard/internal/flightrecorder"

// Why connections end, and requests are refused before the director has seen them.
const (
	byClient        flightrecorder.Reason = "closed or reset by the client"
	turnedAway      flightrecorder.Reason = "no room, and all others are owed answers"
	evicted         flightrecorder.Reason = "made room for a newcomer"
	mute            flightrecorder.Reason = "no whole message in its time"
	rested          flightrecorder.Reason = "idle for its time"
	badStream       flightrecorder.Reason = "what came can't be followed"
	nothingOwed     flightrecorder.Reason = "its last answer has gone out"
	emptied         flightrecorder.Reason = "the process is being emptied"
	lingerOver      flightrecorder.Reason = "the client did not close its half in time"
	lingersFull     flightrecorder.Reason = "too many are ending"
	tooMuchDropped  flightrecorder.Reason = "it sent on behind its end"
	bytesDropped    flightrecorder.Reason = "bytes behind its end"
	answerUnread    flightrecorder.Reason = "its last answer was not read"
	backlog         flightrecorder.Reason = "too much was left unread"
	writeFailed     flightrecorder.Reason = "a write failed"
	halfCloseFailed flightrecorder.Reason = "its half could not be closed"

	buffersFull flightrecorder.Reason = "no buffers"
	tableFull   flightrecorder.Reason = "too many open requests"
	overOpen    flightrecorder.Reason = "too many open requests on its connection"
	badFields   flightrecorder.Reason = "fields that can't be used"
)
