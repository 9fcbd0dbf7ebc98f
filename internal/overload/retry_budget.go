package overload

import "time"

const (
	retryMaxDeposit       = 0.5             // retries that a request deposits while no attempts are rejected
	retryMinDeposit       = 0.1             // retries that a request deposits while all attempts are rejected
	retryRefillPerSecond  = 0.5             // retries deposited per second, for a director with few requests
	retryMaxBalance       = 6.0             // upper bound of the balance, in retries
	rejectionTimeConstant = 4 * time.Second // the rejection rate decays by a factor of e in this time
	rejectionMinWeight    = 1.0 / 16        // lower bound of the weight of one attempt in the rejection rate
)

// RetryBudget is a director's budget for retries, like the retry budgets of Finagle and of the SRE book ("Addressing
// Cascading Failures"): requests make deposits, retries make withdrawals. In an overload each rejected attempt causes
// another attempt, and retries prolong a short fault: hundreds of directors may still make 2.4 attempts per request
// seconds after the cause of the fault is gone. The deposit of a request therefore shrinks as more attempts are
// rejected. A request that gets no retry is rejected at once, with a retry delay. The zero value is a full budget.
type RetryBudget struct {
	balance           float64 // retries, as of balanceAt
	lastRejectionRate float64 // running mean fraction of rejected attempts, as of rejectionRateAt
	balanceAt         Time
	rejectionRateAt   Time
	started           bool
}

// RecordRequest records a new request, which deposits between retryMinDeposit and retryMaxDeposit retries: the fewer,
// the higher the rejection rate.
func (b *RetryBudget) RecordRequest(now Time) {
	b.refill(now)
	rejected := b.RejectionRate(now)
	b.deposit(retryMinDeposit + (retryMaxDeposit-retryMinDeposit)*(1-rejected)*(1-rejected))
}

// TryWithdraw withdraws one retry from the budget and reports whether the budget had one. mayOverdraw is set for
// requests that are rejected last, such as repayments; they may overdraw the budget by retryMaxBalance but no further.
// Without that bound, six attempts for each repayment are enough to keep an origin of the testbed busy that could
// otherwise do all repayments.
func (b *RetryBudget) TryWithdraw(now Time, mayOverdraw bool) bool {
	b.refill(now)
	required := 1.0
	if mayOverdraw {
		required -= retryMaxBalance
	}
	if b.balance < required {
		return false
	}
	b.balance--
	return true
}

// RecordAttempt records the end of an attempt: served is set if it was served, rejected if it was rejected, unanswered
// or late. An attempt that was neither (a miss or an invalid response) is evidence about one object and not about an
// overload, and is ignored. If cheap misses counted as served, they would hide an overload: on the testbed, repayments
// then spend the retries that other requests do not get.
func (b *RetryBudget) RecordAttempt(now Time, served, rejected bool) {
	if !served && !rejected {
		return
	}
	sample := 0.0
	if rejected {
		sample = 1
	}
	// The weight grows with the decay since the last sample, so that a sample counts for more with fewer attempts.
	decayed := 1 - exponentialDecay(now-b.rejectionRateAt, rejectionTimeConstant)
	weight := max(rejectionMinWeight, decayed/2)
	rate := b.RejectionRate(now)
	b.lastRejectionRate = rate + (sample-rate)*weight
	b.rejectionRateAt = now
}

// RejectionRate returns the running mean fraction of attempts that were rejected, between 0 and 1. It decays towards 0
// with the age of the last recorded attempt.
func (b *RetryBudget) RejectionRate(now Time) float64 {
	return b.lastRejectionRate * exponentialDecay(now-b.rejectionRateAt, rejectionTimeConstant)
}

// refill deposits the retries that are due for the time since the last call. The first call fills the budget.
func (b *RetryBudget) refill(now Time) {
	if !b.started {
		b.started = true
		b.balance = retryMaxBalance
		b.balanceAt = now
	}
	b.deposit(retryRefillPerSecond * (now - b.balanceAt).Seconds())
	b.balanceAt = now
}

// deposit adds retries to the balance, up to retryMaxBalance.
func (b *RetryBudget) deposit(retries float64) {
	b.balance = min(retryMaxBalance, b.balance+retries)
}
