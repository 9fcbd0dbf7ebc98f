package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulateRequests simulates requests at a constant rate, starting at time from. rejects reports which attempts are
// rejected; those are retried as the budget allows. It returns the time of the last request and the mean number of
// attempts per request.
func simulateRequests(
	budget *RetryBudget, from Time, perSecond, seconds float64, rejects func(attempt int) bool,
) (Time, float64) {
	const maxAttempts = 6
	requests, attempts, now := 0, 0, from
	for range int(perSecond * seconds) {
		now += Time(float64(time.Second) / perSecond)
		requests++
		budget.RecordRequest(now)
		for attempt := 1; ; attempt++ {
			attempts++
			rejected := rejects(attempts)
			budget.RecordAttempt(now, !rejected, rejected)
			if !rejected || attempt >= maxAttempts || !budget.TryWithdraw(now, false) {
				break
			}
		}
	}
	return now, float64(attempts) / float64(requests)
}

// TestRetriesDoNotProlongAnOverload guards against retries that prolong an overload. While all attempts are rejected,
// six attempts for each request would keep the overload going, so the budget must allow few retries. Before and after
// the overload, single failures must be retried.
func TestRetriesDoNotProlongAnOverload(t *testing.T) {
	oneInTen := func(attempt int) bool { return attempt%10 == 0 }
	all := func(int) bool { return true }
	for _, perSecond := range []float64{0.5, 5, 50} {
		var budget RetryBudget
		now, before := simulateRequests(&budget, time.Minute, perSecond, 20, oneInTen)
		if before < 1.05 {
			t.Errorf("%v requests per second: %v attempts per request before the overload, want at least 1.05",
				perSecond, before)
		}
		now, _ = simulateRequests(&budget, now, perSecond, 5, all)
		now, overloaded := simulateRequests(&budget, now, perSecond, 20, all)
		// In an overload, retries come only from the least deposits and from the refill with time.
		if most := 1 + retryMinDeposit + retryRefillPerSecond/perSecond + 0.2; overloaded > most {
			t.Errorf("%v requests per second: %v attempts per request in an overload, want at most %v",
				perSecond, overloaded, most)
		}
		_, after := simulateRequests(&budget, now+5*time.Second, perSecond, 20, oneInTen)
		if after < 1.05 {
			t.Errorf("%v requests per second: %v attempts per request after the overload, want at least 1.05",
				perSecond, after)
		}
	}
}

// TestRejectionRateDecays guards against old rejections that keep the budget small: the rejection rate must decay to
// almost 0 with age.
func TestRejectionRateDecays(t *testing.T) {
	var budget RetryBudget
	for range 100 {
		budget.RecordAttempt(time.Minute, false, true)
		budget.RecordAttempt(time.Minute, false, false)
	}
	if rate := budget.RejectionRate(time.Minute); rate < 0.9 {
		t.Errorf("rejection rate with all attempts rejected: got %v, want at least 0.9", rate)
	}
	const long = 5 * rejectionTimeConstant
	if rate := budget.RejectionRate(time.Minute + long); rate > 0.01 {
		t.Errorf("rejection rate after %v: got %v, want at most 0.01", long, rate)
	}
}

// TestRetriesKeepTheirBudget guards against a budget that grants retries which nothing has paid for, after some
// sequence of events: retries must not exceed the initial balance, the largest overdraft and the deposits.
func TestRetriesKeepTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var budget RetryBudget
		now, requests, retries := Time(0), 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap"))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				budget.RecordRequest(now)
				requests++
			case 1:
				served := rapid.Bool().Draw(t, "served")
				rejected := rapid.Bool().Draw(t, "rejected")
				budget.RecordAttempt(now, served, rejected)
			default:
				if budget.TryWithdraw(now, rapid.Bool().Draw(t, "may overdraw")) {
					retries++
				}
			}
			if rate := budget.RejectionRate(now); rate < 0 || rate > 1 {
				t.Fatalf("rejection rate %v, want between 0 and 1", rate)
			}
			most := 2*retryMaxBalance + retryMaxDeposit*float64(requests) + retryRefillPerSecond*now.Seconds()
			if float64(retries) > most+1e-6 {
				t.Fatalf("%d retries, want at most %v", retries, most)
			}
		}
	})
}

// TestRepaymentsOverdrawWithinBounds guards against repayments that get no retry once other requests have emptied the
// budget, and against repayments that retry without bound.
func TestRepaymentsOverdrawWithinBounds(t *testing.T) {
	var budget RetryBudget
	now := time.Minute
	for budget.TryWithdraw(now, false) {
	}
	overdrawn := 0
	for overdrawn < 100 && budget.TryWithdraw(now, true) {
		overdrawn++
	}
	if overdrawn != retryMaxBalance {
		t.Errorf("retries beyond an empty budget: got %d, want %v", overdrawn, retryMaxBalance)
	}
}
