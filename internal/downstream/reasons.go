package downstream

// reason is why a connection ended, or why a request was rejected before the director has seen it.
type reason uint8

const (
	// Why connections end.
	closedByClient reason = iota
	connectionTableFull
	evictedForNewcomer
	messageTimeout
	idleTimeout
	malformedStream
	drainCompleted
	gracefulClose
	lingerTimeout
	tooManyLingering
	tooMuchAfterHalfClose
	droppedAfterHalfClose // goes with a count of bytes, and ends nothing
	answerNotRead
	outboundLimitExceeded
	writeFailed
	halfCloseFailed

	// Why requests are rejected.
	buffersExhausted
	requestTableFull
	tooManyOpenRequests
	invalidFields
)

var reasonTexts = [...]string{
	closedByClient:        "closed or reset by the client",
	connectionTableFull:   "too many connections, and all others are owed answers",
	evictedForNewcomer:    "closed for a new connection",
	messageTimeout:        "no complete message in time",
	idleTimeout:           "idle timeout",
	malformedStream:       "malformed data",
	drainCompleted:        "drained: the last answer has been sent",
	gracefulClose:         "graceful close",
	lingerTimeout:         "the client did not close its half in time",
	tooManyLingering:      "too many lingering connections",
	tooMuchAfterHalfClose: "too much data after our half-close",
	droppedAfterHalfClose: "data dropped after our half-close",
	answerNotRead:         "the last answer was not read",
	outboundLimitExceeded: "too much was left unread",
	writeFailed:           "write failed",
	halfCloseFailed:       "half-close failed",
	buffersExhausted:      "buffer pool exhausted",
	requestTableFull:      "too many open requests",
	tooManyOpenRequests:   "too many open requests on the connection",
	invalidFields:         "invalid request fields",
}

// String is the reason's text in logs.
func (r reason) String() string { return reasonTexts[r] }
