package overload

import "time"

const (
	retryMaxDeposit       = 0.5             // retries that a request deposits while no attempt is rejected
	retryMinDeposit       = 0.1             // and while all are
	retryRefillPerSecond  = 0.5             // retries deposited each second, for a director with few requests
	retryMaxBalance       = 6.0             // retries that may be saved up
	rejectionTimeConstant = 4 * time.Second // what was seen of rejections counts e times less after this
	rejectionMinWeight    = 1.0 / 16        // weight of one attempt in the rejection rate, with many attempts
)

// RetryBudget is a director's budget for retries, like the retry budgets of Finagle and of the SRE book ("Addressing
// Cascading Failures"): requests make deposits, retries make withdrawals. In an overload each rejected attempt causes
// the next one, and a short fault keeps itself alive by retries: hundreds of directors were seen to make 2.4 attempts
// for a request seconds after the cause was gone. So a request deposits the less, the more attempts are rejected. A
// request that gets no retry is rejected at once, with a time to retry after. The zero value is a full budget.
type RetryBudget struct {
	balance           float64 // retries, as of balanceAt
	lastRejectionRate float64 // running rate of rejected attempts, as of rejectionRateAt
	balanceAt         Time
	rejectionRateAt   Time
	started           bool
}

// RecordRequest records a request, which makes a deposit.
func (b *RetryBudget) RecordRequest(now Time) {
	b.refill(now)
	rejected := b.RejectionRate(now)
	b.deposit(retryMinDeposit + (retryMaxDeposit-retryMinDeposit)*(1-rejected)*(1-rejected))
}

// TryWithdraw takes one retry from the budget and reports whether there was one. Requests that are to be rejected last,
// as repayments are, may overdraw the budget by retryMaxBalance but no further: on the test bed, six attempts for
// each repayment alone kept an origin busy that could otherwise have done all of them.
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

// RecordAttempt records the end of an attempt: whether it was served, or was rejected, unanswered or late. An attempt
// that was neither (a miss, or invalid bytes) says something of one object and nothing of an overload, and is ignored:
// on the test bed, cheap misses counted as health, and repayments spent the retries that other requests were refused.
func (b *RetryBudget) RecordAttempt(now Time, served, rejected bool) {
	if !served && !rejected {
		return
	}
	sample := 0.0
	if rejected {
		sample = 1
	}
	// A sample replaces what has decayed since the last one: a director with few attempts learns more from each.
	decayed := 1 - exponentialDecay(now-b.rejectionRateAt, rejectionTimeConstant)
	weight := max(rejectionMinWeight, decayed/2)
	rate := b.RejectionRate(now)
	b.lastRejectionRate = rate + (sample-rate)*weight
	b.rejectionRateAt = now
}

// RejectionRate is the fraction of the attempts that are rejected, between 0 and 1. It decays towards 0 with the
// age of what was observed.
func (b *RetryBudget) RejectionRate(now Time) float64 {
	return b.lastRejectionRate * exponentialDecay(now-b.rejectionRateAt, rejectionTimeConstant)
}

// refill deposits what the time since the last call is worth.
func (b *RetryBudget) refill(now Time) {
	if !b.started {
		b.started = true
		b.balance = retryMaxBalance
		b.balanceAt = now
	}
	b.deposit(retryRefillPerSecond * (now - b.balanceAt).Seconds())
	b.balanceAt = now
}

func (b *RetryBudget) deposit(retries float64) {
	b.balance = min(retryMaxBalance, b.balance+retries)
}
