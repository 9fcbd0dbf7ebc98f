package flightrecorder

// Reason is the cause of an Event, or the result of an attempt. The zero Reason means that the event has no reason.
type Reason uint8

// The reasons, grouped by the events that have them.
const (
	ReasonNone Reason = iota

	// Reasons for which connections end.
	ReasonClosedByClient          // closed or reset by the client
	ReasonConnectionTableFull     // too many connections are open, and none can be evicted: all await answers
	ReasonEvictedForNewConnection // closed to make room for a new connection
	ReasonMessageTimeout          // a message was not complete within its time limit
	ReasonIdleTimeout             // the connection was idle for too long
	ReasonMalformedStream         // the client sent malformed data
	ReasonDrainCompleted          // the connection was draining, and its last answer has been sent
	ReasonGracefulClose           // the process is being drained or stopped
	ReasonLingerTimeout           // the client did not close its half within the linger timeout
	ReasonTooManyLingering        // too many connections linger, and this one is the oldest
	ReasonTooMuchAfterHalfClose   // too much input was discarded, while draining or after our half-close
	ReasonAnswerNotRead           // the client did not read the last answer
	ReasonOutboundLimitExceeded   // the client sent requests beyond the limit and left the answers unread
	ReasonWriteFailed
	ReasonHalfCloseFailed

	// Reason for which data of a connection is dropped. The connection does not end; Event.Count is the number of
	// bytes.
	ReasonDroppedAfterHalfClose // the data arrived while the connection was draining, or after our half-close

	// Reasons for which requests are rejected before they reach the director.
	ReasonBuffersExhausted    // the buffer pool has no buffer left
	ReasonRequestTableFull    // too many requests are open
	ReasonTooManyOpenRequests // too many requests are open on the connection
	ReasonInvalidFields
	ReasonAnswersNotRead // the client has left too many answers unread; also of an answer that found no room

	// Reasons for which requests end. Those from ReasonDeadlineExceeded on are given by the router.
	ReasonServed               // the response of a server was passed on to the client
	ReasonCancelledByClient    // the client cancelled the request or closed its connection
	ReasonOverdue              // the deadline guard failed the request after its deadline
	ReasonNotAccepting         // the process accepts no requests while it starts, drains or stops
	ReasonRepeatedReference    // a request with the same reference is open, or may have been executed
	ReasonExpiredUnread        // the deadline may have passed while the request waited to be read
	ReasonNotAdmitted          // too many requests are in flight after a start or a pause
	ReasonDeadlineExceeded     // no attempt succeeded by the request's deadline
	ReasonAttemptsExhausted    // the request has used all its attempts
	ReasonMayHaveExecuted      // an attempt may have been executed, so the request must not be repeated
	ReasonSiteLost             // our own site is lost
	ReasonNoServerInTime       // no server could take the request early enough for its deadline
	ReasonRetryBudgetExhausted // the budget for further attempts is spent
	// The origin is shielded, so no more fills are sent to it: it is overloaded, or our hub is lost or
	// recovering.
	ReasonOriginShielded

	// Results of attempts.
	ReasonOK
	ReasonErrored  // the server answered with an error
	ReasonRejected // the server rejected the attempt unprocessed, or its source rejected the fill
	ReasonTimedOut
	ReasonConnectFailed
	ReasonReset                   // the connection was lost during the attempt
	ReasonCancelled               // the router, or the end of the request, cancelled the attempt
	ReasonAbandoned               // the attempt was given up before it was written
	ReasonMiss                    // the attempt asked for a cached copy only, and the cache had none
	ReasonLocalResourcesExhausted // this host had no descriptor, buffer or memory for a connection
	ReasonUnreachable             // this host had no route or port towards the server

	// ReasonUnknown replaces a reason of the router that is not listed here.
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
	ReasonAnswersNotRead:      "answers_not_read",

	ReasonServed:               "served",
	ReasonCancelledByClient:    "cancelled_by_client",
	ReasonOverdue:              "overdue",
	ReasonNotAccepting:         "not_accepting",
	ReasonRepeatedReference:    "repeated_reference",
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

// String returns the name of the reason in the log. The name of ReasonNone is empty, and that of a reason that is not
// listed is "unknown".
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return reasonNames[ReasonUnknown]
	}
	return reasonNames[r]
}
