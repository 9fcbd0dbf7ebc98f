package overload

import (
	"math"
	"time"
)

const (
	repeatEarns = 0.5             // further attempts that a request earns while nobody is turned away
	repeatLeast = 0.1             // and while all are
	repeatTrick = 0.5             // and a second, so that a director with little to do isn't left without
	repeatSaves = 6.0             // further attempts that may be saved up
	repeatAge   = 4 * time.Second // after which what was seen of a crowd counts e times less
	repeatLearn = 1.0 / 16        // weight of one attempt's end, for a director with much to do
)

// RetryBudget is a director's budget for further attempts of its requests. In a crowd each attempt that is turned away
// brings the next one, and what was a short trouble keeps itself alive by them: seen on hundreds of directors as 2.4
// attempts for a request, seconds after its cause was gone. So requests earn further attempts, the fewer the larger
// the part of attempts that are turned away. What can't be tried again is refused at once and says when to come.
type RetryBudget struct {
	saved float64
	away  float64 // running part of the attempts that were turned away
	at    Time    // when saved was right
	seen  Time    // when away was
	begun bool
}

// RecordRequest takes note of a request, which earns.
func (r *RetryBudget) RecordRequest(now Time) {
	r.advance(now)
	crowd := r.RejectionRate(now)
	r.earn(repeatLeast + (repeatEarns-repeatLeast)*(1-crowd)*(1-crowd))
}

// TryWithdraw takes a further attempt from the budget, if there is one. What is to be refused last, as repayments are, may
// overdraw it by as much as can be saved up, but no more: seen in the laboratory, six attempts of each repayment
// alone kept an origin busy that could have done all of them.
func (r *RetryBudget) TryWithdraw(now Time, last bool) bool {
	r.advance(now)
	least := 1.0
	if last {
		least -= repeatSaves
	}
	if r.saved < least {
		return false
	}
	r.saved--
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
	weight := max(repeatLearn, (1-fade(now-r.seen, repeatAge))/2)
	crowd := r.RejectionRate(now)
	r.away, r.seen = crowd+(x-crowd)*weight, now
}

// RejectionRate is the part of the attempts that are turned away, as far as that is known still: between 0 and 1.
func (r *RetryBudget) RejectionRate(now Time) float64 { return r.away * fade(now-r.seen, repeatAge) }

func (r *RetryBudget) advance(now Time) {
	if !r.begun {
		r.begun, r.saved, r.at = true, repeatSaves, now
	}
	r.earn(repeatTrick * (now - r.at).Seconds())
	r.at = now
}

func (r *RetryBudget) earn(n float64) { r.saved = min(repeatSaves, r.saved+n) }

// fade is the part that is left of a belief of an age, by its time constant.
func fade(age, life time.Duration) float64 { return math.Exp(-max(0, float64(age)) / float64(life)) }
