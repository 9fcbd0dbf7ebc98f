package director

import "shaleyard/routing"

// Reason says why a request ended, for the flight recorder.
type Reason uint8

// Why requests end. Those from ReasonDeadlineExceeded on are the router's.
const (
	ReasonNone                 Reason = iota
	ReasonServed                      // a response of a server was passed on
	ReasonCancelledByClient           // its client no longer waits
	ReasonOverdue                     // its deadline guard failed it
	ReasonNotAccepting                // the process accepts no requests, as it starts or drains
	ReasonExpiredUnread               // its deadline may have passed while it waited to be read
	ReasonNotAdmitted                 // too many requests are in flight after a start or a pause
	ReasonDeadlineExceeded            // no attempt succeeded by its deadline
	ReasonAttemptsExhausted           // it has no attempt left
	ReasonMayHaveExecuted             // an attempt may have run, and must not be repeated
	ReasonSiteLost                    // our own site is lost
	ReasonNoServerInTime              // no server could take it early enough
	ReasonRetryBudgetExhausted        // the budget for further attempts is spent
	ReasonOriginShielded              // the origin is overloaded and not to be asked
	ReasonUnknown                     // the router has a reason that is not listed here
	reasonCount                = int(iota)
)

var reasonNames = [reasonCount]string{
	ReasonNone:                 "",
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
	ReasonUnknown:              "unknown",
}

// String returns the reason's name in logs; ReasonNone has none.
func (r Reason) String() string { return reasonNames[r] }

// reasonOfRouter returns the reason for which the router ended a request without a response of a server.
func reasonOfRouter(reason routing.Reason) Reason {
	switch reason {
	case routing.ReasonDeadlineExceeded:
		return ReasonDeadlineExceeded
	case routing.ReasonAttemptsExhausted:
		return ReasonAttemptsExhausted
	case routing.ReasonMayHaveExecuted:
		return ReasonMayHaveExecuted
	case routing.ReasonSiteLost:
		return ReasonSiteLost
	case routing.ReasonNoServerInTime:
		return ReasonNoServerInTime
	case routing.ReasonRetryBudgetExhausted:
		return ReasonRetryBudgetExhausted
	case routing.ReasonOriginShielded:
		return ReasonOriginShielded
	}
	return ReasonUnknown
}
