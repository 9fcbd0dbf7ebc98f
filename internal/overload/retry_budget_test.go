package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// playRequests sends requests at a rate for some seconds, of whose attempts some are rejected and retried as the budget
// allows. It returns the time after that, and the mean number of attempts for a request.
func playRequests(
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

// In a fault that has all attempts rejected, six attempts for each request would keep it alive: the budget shrinks to a
// trickle. When it is over, single failures are retried as ever.
func TestRetriesDoNotKeepAnOverloadAlive(t *testing.T) {
	oneInTen := func(attempt int) bool { return attempt%10 == 0 }
	all := func(int) bool { return true }
	for _, perSecond := range []float64{0.5, 5, 50} {
		var budget RetryBudget
		now, calm := playRequests(&budget, time.Minute, perSecond, 20, oneInTen)
		if calm < 1.05 {
			t.Errorf("%v a second: %v attempts for a request in calm, want each failure retried", perSecond, calm)
		}
		now, _ = playRequests(&budget, now, perSecond, 5, all)
		now, overloaded := playRequests(&budget, now, perSecond, 20, all)
		// What is refilled each second beside what requests deposit: all that there is in an overload.
		if most := 1 + retryMinDeposit + retryRefillPerSecond/perSecond + 0.2; overloaded > most {
			t.Errorf("%v a second: %v attempts for a request in an overload, %v at most", perSecond, overloaded, most)
		}
		_, after := playRequests(&budget, now+5*time.Second, perSecond, 20, oneInTen)
		if after < 1.05 {
			t.Errorf("%v a second: %v attempts for a request after the overload", perSecond, after)
		}
	}
}

// What was seen of rejections counts less with age, down to nothing.
func TestRejectionRateDecays(t *testing.T) {
	var budget RetryBudget
	for range 100 {
		budget.RecordAttempt(time.Minute, false, true)
		budget.RecordAttempt(time.Minute, false, false)
	}
	if rate := budget.RejectionRate(time.Minute); rate < 0.9 {
		t.Errorf("all rejected: %v", rate)
	}
	const long = 5 * rejectionTimeConstant
	if rate := budget.RejectionRate(time.Minute + long); rate > 0.01 {
		t.Errorf("and still %v after %v", rate, long)
	}
}

// Whatever comes, over any span no more retries are made than were saved up and deposited meanwhile.
func TestRepeatsKeepTheirBudget(t *testing.T) {
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
				rejected := rapid.Bool().Draw(t, "away")
				budget.RecordAttempt(now, served, rejected)
			default:
				if budget.TryWithdraw(now, rapid.Bool().Draw(t, "last")) {
					retries++
				}
			}
			if rate := budget.RejectionRate(now); rate < 0 || rate > 1 {
				t.Fatalf("rejection rate %v", rate)
			}
			most := 2*retryMaxBalance + retryMaxDeposit*float64(requests) + retryRefillPerSecond*now.Seconds()
			if float64(retries) > most+1e-6 {
				t.Fatalf("%d retries, %v at most", retries, most)
			}
		}
	})
}

// Repayments go on where other requests are rejected, but not without end.
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
		t.Errorf("%d retries beyond the budget, want %v", overdrawn, retryMaxBalance)
	}
}
