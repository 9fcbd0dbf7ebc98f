package downstream

import "shaleyard/internal/flight"

// Why connections end, and requests are refused before the director has seen them.
const (
	byClient        flight.Reason = "closed or reset by the client"
	turnedAway      flight.Reason = "no room, and all others are owed answers"
	evicted         flight.Reason = "made room for a newcomer"
	mute            flight.Reason = "no whole message in its time"
	rested          flight.Reason = "idle for its time"
	badStream       flight.Reason = "what came can't be followed"
	nothingOwed     flight.Reason = "its last answer has gone out"
	emptied         flight.Reason = "the process is being emptied"
	lingerOver      flight.Reason = "the client did not close its half in time"
	lingersFull     flight.Reason = "too many are ending"
	tooMuchDropped  flight.Reason = "it sent on behind its end"
	bytesDropped    flight.Reason = "bytes behind its end"
	answerUnread    flight.Reason = "its last answer was not read"
	backlog         flight.Reason = "too much was left unread"
	writeFailed     flight.Reason = "a write failed"
	halfCloseFailed flight.Reason = "its half could not be closed"

	buffersFull flight.Reason = "no buffers"
	tableFull   flight.Reason = "too many open requests"
	overOpen    flight.Reason = "too many open requests on its connection"
	badFields   flight.Reason = "fields that can't be used"
)
