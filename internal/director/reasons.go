package director

import (
	"shaleyard/internal/flightrecorder"
	"shaleyard/routing"
)

// This file maps the router's reasons and results to the flight recorder's: the router must not depend on it.

// reasonsOfRouter are the reasons for which the router ends a request without a response of a server.
var reasonsOfRouter = [...]flightrecorder.Reason{
	routing.ReasonDeadlineExceeded:     flightrecorder.ReasonDeadlineExceeded,
	routing.ReasonAttemptsExhausted:    flightrecorder.ReasonAttemptsExhausted,
	routing.ReasonMayHaveExecuted:      flightrecorder.ReasonMayHaveExecuted,
	routing.ReasonSiteLost:             flightrecorder.ReasonSiteLost,
	routing.ReasonNoServerInTime:       flightrecorder.ReasonNoServerInTime,
	routing.ReasonRetryBudgetExhausted: flightrecorder.ReasonRetryBudgetExhausted,
	routing.ReasonOriginShielded:       flightrecorder.ReasonOriginShielded,
}

// reasonsOfResults are the reasons that stand for the results of attempts.
var reasonsOfResults = [routing.ResultCount]flightrecorder.Reason{
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

// reasonOfRouter returns the recorded reason for one of the router's; ReasonUnknown if it is not listed.
func reasonOfRouter(reason routing.Reason) flightrecorder.Reason {
	if int(reason) >= len(reasonsOfRouter) || reasonsOfRouter[reason] == flightrecorder.ReasonNone {
		return flightrecorder.ReasonUnknown
	}
	return reasonsOfRouter[reason]
}

// reasonOfResult returns the recorded reason for an attempt's result; ReasonUnknown if it is not listed.
func reasonOfResult(result routing.Result) flightrecorder.Reason {
	if int(result) >= len(reasonsOfResults) || reasonsOfResults[result] == flightrecorder.ReasonNone {
		return flightrecorder.ReasonUnknown
	}
	return reasonsOfResults[result]
}
