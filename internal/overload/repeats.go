package overload

import (
	"math"
	"time"
)

const (
	retryMaxDeposit       = 0.5             // further attempts that a request earns while nobody is turned away
	retryMinDeposit       = 0.1             // and while all are
	retryRefillPerSecond  = 0.5             // and a second, so that a director with little to do isn't left without
	retryMaxBalance       = 6.0             // further attempts that may be saved up
	rejectionTimeConstant = 4 * time.Second // after which what was seen of a crowd counts e times less
	rejectionMinWeight    = 1.0 / 16        // weight of one attempt's end, for a director with much to do
)

// RetryBudget is a director's budget for further attempts of its requests. In a crowd each attempt that is turned away
// brings the next one, and what was a short trouble keeps itself alive by them: seen on hundreds of directors as 2.4
// attempts for a request, seconds after its cause was gone. So requests earn further attempts, the fewer the larger
// the part of attempts that are turned away. What can't be tried again is refused at once and says when to come.
type RetryBudget struct {
	balance           float64
	lastRejectionRate float64 // running part of the attempts that were turned away
	balanceAt         Time    // when saved was right
	rejectionRateAt   Time    // when away was
	started           bool
}

// RecordRequest takes note of a request, which earns.
func (r *RetryBudget) RecordRequest(now Time) {
	r.refill(now)
	crowd := r.RejectionRate(now)
	r.deposit(retryMinDeposit + (retryMaxDeposit-retryMinDeposit)*(1-crowd)*(1-crowd))
}

// TryWithdraw takes a further attempt from the budget, if there is one. What is to be refused last, as repayments are, may
// overdraw it by as much as can be saved up, but no more: seen in the laboratory, six attempts of each repayment
// alone kept an origin busy that could have done all of them.
func (r *RetryBudget) TryWithdraw(now Time, last bool) bool {
	r.refill(now)
	least := 1.0
	if last {
		least -= retryMaxBalance
	}
	if r.balance < least {
		return false
	}
	r.balance--
	return true
}

// RecordAttempt takes the end of an attempt: whether it was served, or was turned away, unseen or too late. One that was
// neither tells of one object or of spoilt bytes, and of no crowd: seen in the laboratory, misses that cost nobody
// anything passed for health, and repayments spent what others had been refused.
func (r *RetryBudget) RecordAttempt(now Time, served, away bool) {
	if !served && !away {
		return
	}
	x := 0.0
	if away {
		x = 1
	}
	// What is old has faded, and in its place comes what is new: a director that sees little learns by more.
	weight := max(rejectionMinWeight, (1-exponentialDecay(now-r.rejectionRateAt, rejectionTimeConstant))/2)
	crowd := r.RejectionRate(now)
	r.lastRejectionRate, r.rejectionRateAt = crowd+(x-crowd)*weight, now
}

// RejectionRate is the part of the attempts that are turned away, as far as that is known still: between 0 and 1.
func (r *RetryBudget) RejectionRate(now Time) float64 {
	return r.lastRejectionRate * exponentialDecay(now-r.rejectionRateAt, rejectionTimeConstant)
}

func (r *RetryBudget) refill(now Time) {
	if !r.started {
		r.started, r.balance, r.balanceAt = true, retryMaxBalance, now
	}
	r.deposit(retryRefillPerSecond * (now - r.balanceAt).Seconds())
	r.balanceAt = now
}

func (r *RetryBudget) deposit(n float64) { r.balance = min(retryMaxBalance, r.balance+n) }

// exponentialDecay is the part that is left of a belief of an age, by its time constant.
func exponentialDecay(age, life time.Duration) float64 {
	return math.Exp(-max(0, float64(age)) / float64(life))
}
