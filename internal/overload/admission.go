package overload

import (
	"math/rand/v2"
	"time"
)

const (
	admitFirst = 16.0                   // requests in hand with which a director starts
	admitMost  = 128.0                  // in hand from which work is let in without a bound of ours
	admitLeast = 4.0                    // in hand, however badly it goes
	admitSpan  = 10 * time.Second       // and after which it is in any case
	admitWait  = 150 * time.Millisecond // for which an answer takes, before any has come
	admitLearn = 1.0 / 8                // weight of an answer in the running mean of that
)

// Admission is the pace at which a director takes work after a start, or after a pause: what it knows of caches and
// objects is nothing, or old, and each request may be a fill. It starts with a few requests in hand and takes one
// more for each answer that was served, so that its work doubles with each round while that goes well; what was
// refused or failed takes one away. A director with its fair part of the load never notices. One that gets several
// times as much, because others are still down, does not hand the flood on to caches that are as cold as it is.
//
// What is over is refused at once, and told to come back when there should be room, each at a time of its own.
type Admission struct {
	rng    *rand.Rand
	window float64 // requests in hand that are allowed
	since  Time
	took   time.Duration // running mean of the time to an answer
	open   bool          // no bound any more
}

// NewAdmission returns the pace of a director that starts now. The seed should differ from director to director.
func NewAdmission(seed uint64) *Admission {
	return &Admission{rng: rand.New(rand.NewPCG(seed, 3)), window: admitFirst, took: admitWait}
}

// Restart begins anew: what was known is old.
func (a *Admission) Restart(now Time) { a.window, a.since, a.open = admitFirst, now, false }

// Admit tells whether a request may be taken beside so many in hand, and if not, for how long to stay away.
func (a *Admission) Admit(now Time, inHand int) (wait time.Duration, ok bool) {
	if a.since == 0 {
		a.since = now
	}
	if a.open = a.open || a.window >= admitMost || now-a.since >= admitSpan; a.open || float64(inHand) < a.window {
		return 0, true
	}
	// By then what is in hand now is answered, and as much again can be taken; half to one and a half times that.
	return a.took/2 + time.Duration(a.rng.Int64N(int64(a.took))), false
}

// RecordAnswer takes the end of a request that was let in: whether it was served, and how long that took.
func (a *Admission) RecordAnswer(served bool, took time.Duration) {
	switch {
	case a.open:
	case served:
		a.window++
		a.took = max(time.Millisecond, a.took+time.Duration(float64(took-a.took)*admitLearn))
	default:
		a.window = max(admitLeast, a.window-1)
	}
}

// Window is how many requests may be in hand; 0: any number.
func (a *Admission) Window() int {
	if a.open {
		return 0
	}
	return int(a.window)
}
