package flightrecorder

// Reason is why an event has happened. The zero Reason means that there is none.
type Reason uint8

// Reasons.
const (
	ReasonNone Reason = iota

	// Why connections end.
	ReasonClosedByClient          // closed or reset by the client
	ReasonConnectionTableFull     // too many connections, and all others are owed answers
	ReasonEvictedForNewConnection // closed to make room for a new connection
	ReasonMessageTimeout          // a message was not complete in time
	ReasonIdleTimeout             // it was idle for too long
	ReasonMalformedStream         // the client sent malformed data
	ReasonDrainCompleted          // it was draining, and the last answer has been sent
	ReasonGracefulClose           // the process is drained or stops
	ReasonLingerTimeout           // the client did not close its half in time
	ReasonTooManyLingering        // too many connections linger, and it is the oldest of them
	ReasonTooMuchAfterHalfClose   // the client sent too much after our half-close
	ReasonAnswerNotRead           // the client did not read the last answer
	ReasonOutboundLimitExceeded   // the client left too much unread
	ReasonWriteFailed
	ReasonHalfCloseFailed

	// Why data of a connection is dropped, which ends nothing: Event.Count is the number of bytes.
	ReasonDroppedAfterHalfClose // it came after our half-close

	// Why requests are rejected before the director has seen them.
	ReasonBuffersExhausted    // the buffer pool has no buffer left
	ReasonRequestTableFull    // too many requests are open
	ReasonTooManyOpenRequests // too many requests are open on the connection
	ReasonInvalidFields

	// Why requests end. Those from ReasonDeadlineExceeded on are the router's.
	ReasonServed               // a response of a server was passed on
	ReasonCancelledByClient    // its client no longer waits
	ReasonOverdue              // its deadline guard failed it
	ReasonNotAccepting         // the process accepts no requests, as it starts or drains
	ReasonExpiredUnread        // its deadline may have passed while it waited to be read
	ReasonNotAdmitted          // too many requests are in flight after a start or a pause
	ReasonDeadlineExceeded     // no attempt succeeded by its deadline
	ReasonAttemptsExhausted    // it has no attempt left
	ReasonMayHaveExecuted      // an attempt may have run, and must not be repeated
	ReasonSiteLost             // our own site is lost
	ReasonNoServerInTime       // no server could take it early enough
	ReasonRetryBudgetExhausted // the budget for further attempts is spent
	ReasonOriginShielded       // the origin is overloaded and not to be asked

	// How attempts end.
	ReasonOK
	ReasonErrored  // the server answered with an error
	ReasonRejected // the server rejected it unseen, or its source rejected the fill
	ReasonTimedOut
	ReasonConnectFailed
	ReasonReset                   // the connection broke under it
	ReasonCancelled               // the router cancelled it
	ReasonAbandoned               // given up before it was written
	ReasonMiss                    // asked for a cached copy only, and there was none
	ReasonLocalResourcesExhausted // this host had no descriptor, buffer or memory for a connection
	ReasonUnreachable             // this host had no route or port towards the server

	// ReasonUnknown stands for a reason of the router that is not listed here.
	ReasonUnknown

	reasonCount = int(iota)
)

var reasonNames = [reasonCount]string{
	ReasonNone: "",

	ReasonClosedByClient:          "closed_by_client",
	ReasonConnectionTableFull:     "connection_table_full",
	ReasonEvictedForNewConnection: "evicted_for_new_connection",
	ReasonMessageTimeout:          "message_timeout",
	ReasonIdleTimeout:             "idle_timeout",
	ReasonMalformedStream:         "malformed_stream",
	ReasonDrainCompleted:          "drain_completed",
	ReasonGracefulClose:           "graceful_close",
	ReasonLingerTimeout:           "linger_timeout",
	ReasonTooManyLingering:        "too_many_lingering",
	ReasonTooMuchAfterHalfClose:   "too_much_after_half_close",
	ReasonAnswerNotRead:           "answer_not_read",
	ReasonOutboundLimitExceeded:   "outbound_limit_exceeded",
	ReasonWriteFailed:             "write_failed",
	ReasonHalfCloseFailed:         "half_close_failed",

	ReasonDroppedAfterHalfClose: "dropped_after_half_close",

	ReasonBuffersExhausted:    "buffers_exhausted",
	ReasonRequestTableFull:    "request_table_full",
	ReasonTooManyOpenRequests: "too_many_open_requests",
	ReasonInvalidFields:       "invalid_fields",

	ReasonServed:               "served",
	ReasonCancelledByClient:    "cancelled_by_client",
	ReasonOverdue:              "overdue",
	ReasonNotAccepting:         "not_accepting",
	ReasonExpiredUnread:        "expired_unread",
	ReasonNotAdmitted:          "not_admitted",
	ReasonDeadlineExceeded:     "deadline_exceeded",
	ReasonAttemptsExhausted:    "attempts_exhausted",
	ReasonMayHaveExecuted:      "may_have_executed",
	ReasonSiteLost:             "site_lost",
	ReasonNoServerInTime:       "no_server_in_time",
	ReasonRetryBudgetExhausted: "retry_budget_exhausted",
	ReasonOriginShielded:       "origin_shielded",

	ReasonOK:                      "ok",
	ReasonErrored:                 "errored",
	ReasonRejected:                "rejected",
	ReasonTimedOut:                "timed_out",
	ReasonConnectFailed:           "connect_failed",
	ReasonReset:                   "reset",
	ReasonCancelled:               "cancelled",
	ReasonAbandoned:               "abandoned",
	ReasonMiss:                    "miss",
	ReasonLocalResourcesExhausted: "local_resources_exhausted",
	ReasonUnreachable:             "unreachable",

	ReasonUnknown: "unknown",
}

// String is the reason's name in the log; ReasonNone has none.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return reasonNames[ReasonUnknown]
	}
	return reasonNames[r]
}
