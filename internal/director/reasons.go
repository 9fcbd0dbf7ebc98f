package director

import (
	"shaleyard/internal/flightrecorder"
	"shaleyard/routing"
)

// This file maps the reasons and results of package routing to the reasons of package flightrecorder. The mapping is
// here because package routing must not depend on package flightrecorder.

// reasonsFromRouter maps the reasons for which the router ends a request without a server's response to the reasons of
// the flight recorder.
var reasonsFromRouter = [...]flightrecorder.Reason{
	routing.ReasonDeadlineExceeded:     flightrecorder.ReasonDeadlineExceeded,
	routing.ReasonAttemptsExhausted:    flightrecorder.ReasonAttemptsExhausted,
	routing.ReasonMayHaveExecuted:      flightrecorder.ReasonMayHaveExecuted,
	routing.ReasonSiteLost:             flightrecorder.ReasonSiteLost,
	routing.ReasonNoServerInTime:       flightrecorder.ReasonNoServerInTime,
	routing.ReasonRetryBudgetExhausted: flightrecorder.ReasonRetryBudgetExhausted,
	routing.ReasonOriginShielded:       flightrecorder.ReasonOriginShielded,
}

// reasonsFromResults maps the results of attempts to the reasons of the flight recorder.
var reasonsFromResults = [routing.ResultCount]flightrecorder.Reason{
	routing.OK:                      flightrecorder.ReasonOK,
	routing.Errored:                 flightrecorder.ReasonErrored,
	routing.Rejected:                flightrecorder.ReasonRejected,
	routing.TimedOut:                flightrecorder.ReasonTimedOut,
	routing.ConnectFailed:           flightrecorder.ReasonConnectFailed,
	routing.Reset:                   flightrecorder.ReasonReset,
	routing.Cancelled:               flightrecorder.ReasonCancelled,
	routing.Abandoned:               flightrecorder.ReasonAbandoned,
	routing.Miss:                    flightrecorder.ReasonMiss,
	routing.LocalResourcesExhausted: flightrecorder.ReasonLocalResourcesExhausted,
	routing.Unreachable:             flightrecorder.ReasonUnreachable,
}

// reasonFromRouter returns the flight recorder's reason for a reason of the router, or ReasonUnknown if there is none.
func reasonFromRouter(reason routing.Reason) flightrecorder.Reason {
	if int(reason) >= len(reasonsFromRouter) || reasonsFromRouter[reason] == flightrecorder.ReasonNone {
		return flightrecorder.ReasonUnknown
	}
	return reasonsFromRouter[reason]
}

// reasonFromResult returns the flight recorder's reason for the result of an attempt, or ReasonUnknown if there is
// none.
func reasonFromResult(result routing.Result) flightrecorder.Reason {
	if int(result) >= len(reasonsFromResults) || reasonsFromResults[result] == flightrecorder.ReasonNone {
		return flightrecorder.ReasonUnknown
	}
	return reasonsFromResults[result]
}
