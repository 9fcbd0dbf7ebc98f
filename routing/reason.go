package routing

// Reason is why the router ended a request without the answer of a server.
type Reason uint8

// Reasons to end a request. The zero Reason means that there is none.
const (
	ReasonNone                 Reason = iota
	ReasonDeadlineExceeded            // the request's deadline has passed
	ReasonAttemptsExhausted           // SiteLimits.MaxAttempts were made
	ReasonMayHaveExecuted             // an earlier attempt may have executed, and must not be repeated
	ReasonSiteLost                    // the director's own site is lost
	ReasonNoServerInTime              // no server could take it within half its latency objective
	ReasonRetryBudgetExhausted        // too many retries fail
	ReasonOriginShielded              // only the origin can serve it, and the origin is overloaded
)

// reasonTexts are for logs and tests; the flight recorder has names of its own.
var reasonTexts = [...]string{
	ReasonNone:                 "",
	ReasonDeadlineExceeded:     "deadline exceeded",
	ReasonAttemptsExhausted:    "attempts exhausted",
	ReasonMayHaveExecuted:      "an attempt may have executed",
	ReasonSiteLost:             "own site lost",
	ReasonNoServerInTime:       "no server in time",
	ReasonRetryBudgetExhausted: "retry budget exhausted",
	ReasonOriginShielded:       "origin shielded",
}

// String is the reason as text; empty for ReasonNone.
func (r Reason) String() string {
	if int(r) < len(reasonTexts) {
		return reasonTexts[r]
	}
	return "unknown"
}
