package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// playRequests sends requests at a rate for a time, of which a part of all attempts is turned away and tried again as the
// budget allows; it tells the attempts for a request.
func playRequests(r *RetryBudget, from Time, perSecond, seconds float64, away func(n int) bool) (Time, float64) {
	requests, attempts, now := 0, 0, from
	for range int(perSecond * seconds) {
		now += Time(float64(time.Second) / perSecond)
		requests++
		r.RecordRequest(now)
		for tries := 1; ; tries++ {
			attempts++
			turned := away(attempts)
			r.RecordAttempt(now, !turned, turned)
			if !turned || tries >= 6 || !r.TryWithdraw(now, false) {
				break
			}
		}
	}
	return now, float64(attempts) / float64(requests)
}

// In a trouble that turns all away, six attempts for each request would keep it alive: the budget shrinks to a
// trickle. When it is over, single failures are tried again as ever.
func TestCrowdDoesNotKeepItselfAlive(t *testing.T) {
	for _, perSecond := range []float64{0.5, 5, 50} {
		var r RetryBudget
		now, calm := playRequests(&r, time.Minute, perSecond, 20, func(n int) bool { return n%10 == 0 })
		if calm < 1.05 {
			t.Errorf("%v a second: %v attempts for a request in calm, want each failure tried again", perSecond, calm)
		}
		now, _ = playRequests(&r, now, perSecond, 5, func(int) bool { return true })
		now, crowd := playRequests(&r, now, perSecond, 20, func(int) bool { return true })
		// What comes back each second beside what requests earn: all that a crowd can get.
		if most := 1 + retryMinDeposit + retryRefillPerSecond/perSecond + 0.2; crowd > most {
			t.Errorf("%v a second: %v attempts for a request in a crowd, %v at most", perSecond, crowd, most)
		}
		_, after := playRequests(&r, now+5*time.Second, perSecond, 20, func(n int) bool { return n%10 == 0 })
		if after < 1.05 {
			t.Errorf("%v a second: %v attempts for a request after the crowd", perSecond, after)
		}
	}
}

// What was seen of a crowd counts less with age, down to nothing.
func TestCrowdIsForgotten(t *testing.T) {
	var r RetryBudget
	for range 100 {
		r.RecordAttempt(time.Minute, false, true)
		r.RecordAttempt(time.Minute, false, false)
	}
	if c := r.RejectionRate(time.Minute); c < 0.9 {
		t.Errorf("all turned away: %v", c)
	}
	if c := r.RejectionRate(time.Minute + 5*rejectionTimeConstant); c > 0.01 {
		t.Errorf("and still %v after %v", c, 5*rejectionTimeConstant)
	}
}

// Whatever comes, over any span no more further attempts are made than were saved up and came back meanwhile.
func TestRepeatsKeepTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r RetryBudget
		now, requests, taken := Time(0), 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap"))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				r.RecordRequest(now)
				requests++
			case 1:
				r.RecordAttempt(now, rapid.Bool().Draw(t, "served"), rapid.Bool().Draw(t, "away"))
			default:
				if r.TryWithdraw(now, rapid.Bool().Draw(t, "last")) {
					taken++
				}
			}
			if c := r.RejectionRate(now); c < 0 || c > 1 {
				t.Fatalf("crowd %v", c)
			}
			if most := 2*retryMaxBalance + retryMaxDeposit*float64(requests) + retryRefillPerSecond*now.Seconds(); float64(taken) > most+1e-6 {
				t.Fatalf("%d further attempts, %v at most", taken, most)
			}
		}
	})
}

// Repayments go on where other requests are refused, but not without end.
func TestRepaymentsAreRefusedLast(t *testing.T) {
	var r RetryBudget
	now := time.Minute
	for r.TryWithdraw(now, false) {
	}
	n := 0
	for ; n < 100 && r.TryWithdraw(now, true); n++ {
	}
	if n != retryMaxBalance {
		t.Errorf("%d further attempts beyond the budget, want %v", n, retryMaxBalance)
	}
}
