package director

import (
	"testing"

	"shaleyard/routing"
)

// The flight recorder must name each reason of the router, and record an unknown reason as such.
func TestReasonFromRouter(t *testing.T) {
	for _, test := range []struct {
		reason routing.Reason
		want   string
	}{
		{routing.ReasonDeadlineExceeded, "deadline_exceeded"},
		{routing.ReasonAttemptsExhausted, "attempts_exhausted"},
		{routing.ReasonMayHaveExecuted, "may_have_executed"},
		{routing.ReasonSiteLost, "site_lost"},
		{routing.ReasonNoServerInTime, "no_server_in_time"},
		{routing.ReasonRetryBudgetExhausted, "retry_budget_exhausted"},
		{routing.ReasonOriginShielded, "origin_shielded"},
		{routing.ReasonNone, "unknown"},
		{routing.ReasonOriginShielded + 1, "unknown"},
	} {
		t.Run(test.want, func(t *testing.T) {
			if got := reasonFromRouter(test.reason).String(); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// The flight recorder must record the end of an attempt under the name of the attempt's result.
func TestReasonFromResult(t *testing.T) {
	for result := range routing.Result(routing.ResultCount + 1) {
		t.Run(result.String(), func(t *testing.T) {
			if got := reasonFromResult(result).String(); got != result.String() {
				t.Errorf("got %q, want %q", got, result)
			}
		})
	}
}
