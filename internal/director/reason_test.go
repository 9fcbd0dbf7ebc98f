package director

import (
	"testing"

	"shaleyard/routing"
)

// Whoever reads the flight recorder tells reasons apart by their names alone.
func TestReasonsHaveNamesOfTheirOwn(t *testing.T) {
	reasons := map[string]Reason{}
	for reason := ReasonServed; int(reason) < reasonCount; reason++ {
		name := reason.String()
		if name == "" {
			t.Errorf("reason %d has no name", reason)
		}
		if other, ok := reasons[name]; ok {
			t.Errorf("reasons %d and %d are both named %q", other, reason, name)
		}
		reasons[name] = reason
	}
}

func TestReasonOfRouter(t *testing.T) {
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
	} {
		t.Run(test.want, func(t *testing.T) {
			if got := reasonOfRouter(test.reason).String(); got != test.want {
				t.Errorf("named %q", got)
			}
		})
	}
}
