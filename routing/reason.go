package routing

// Reason is the reason why the Router ended a request without an answer from a server.
type Reason uint8

// Reasons to end a request. The zero value means that there is no reason to end it.
const (
	ReasonNone                 Reason = iota
	ReasonDeadlineExceeded            // the request's deadline has passed
	ReasonAttemptsExhausted           // the request has had SiteLimits.MaxAttempts attempts
	ReasonMayHaveExecuted             // an earlier attempt may have executed, and must not be repeated
	ReasonSiteLost                    // the director's site is lost, or the director is cut off
	ReasonNoServerInTime              // no server accepted the request within half its latency objective
	ReasonRetryBudgetExhausted        // too many attempts fail: the retry budget is empty
	// Only the origin can serve the request, and the request is shielded: the origin is overloaded, or the
	// director's hub is lost or recovering.
	ReasonOriginShielded
)

// reasonTexts holds the texts of Reason.String, for logs and tests. The flight recorder has its own names for
// reasons.
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

// String returns the reason as text: an empty string for ReasonNone, and "unknown" for an undefined reason.
func (r Reason) String() string {
	if int(r) < len(reasonTexts) {
		return reasonTexts[r]
	}
	return "unknown"
}
