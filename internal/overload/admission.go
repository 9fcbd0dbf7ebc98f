package overload

import (
	"math/rand/v2"
	"time"
)

const (
	admissionInitialWindow   = 16.0                   // requests in hand with which a director starts
	admissionUnboundedWindow = 128.0                  // in hand from which work is let in without a bound of ours
	admissionMinWindow       = 4.0                    // in hand, however badly it goes
	admissionPeriod          = 10 * time.Second       // and after which it is in any case
	admissionInitialLatency  = 150 * time.Millisecond // for which an answer takes, before any has come
	admissionLatencyWeight   = 1.0 / 8                // weight of an answer in the running mean of that
)

// Admission is the pace at which a director takes work after a start, or after a pause: what it knows of caches and
// objects is nothing, or old, and each request may be a fill. It starts with a few requests in hand and takes one
// more for each answer that was served, so that its work doubles with each round while that goes well; what was
// refused or failed takes one away. A director with its fair part of the load never notices. One that gets several
// times as much, because others are still down, does not hand the flood on to caches that are as cold as it is.
//
// What is over is refused at once, and told to come back when there should be room, each at a time of its own.
type Admission struct {
	rng         *rand.Rand
	window      float64 // requests in hand that are allowed
	startedAt   Time
	meanLatency time.Duration // running mean of the time to an answer
	unbounded   bool          // no bound any more
}

// NewAdmission returns the pace of a director that starts now. The seed should differ from director to director.
func NewAdmission(seed uint64) *Admission {
	return &Admission{rng: rand.New(rand.NewPCG(seed, 3)), window: admissionInitialWindow, meanLatency: admissionInitialLatency}
}

// Restart begins anew: what was known is old.
func (a *Admission) Restart(now Time) {
	a.window, a.startedAt, a.unbounded = admissionInitialWindow, now, false
}

// Admit tells whether a request may be taken beside so many in hand, and if not, for how long to stay away.
func (a *Admission) Admit(now Time, inHand int) (wait time.Duration, ok bool) {
	if a.startedAt == 0 {
		a.startedAt = now
	}
	if a.unbounded = a.unbounded || a.window >= admissionUnboundedWindow || now-a.startedAt >= admissionPeriod; a.unbounded || float64(inHand) < a.window {
		return 0, true
	}
	// By then what is in hand now is answered, and as much again can be taken; half to one and a half times that.
	return a.meanLatency/2 + time.Duration(a.rng.Int64N(int64(a.meanLatency))), false
}

// RecordAnswer takes the end of a request that was let in: whether it was served, and how long that took.
func (a *Admission) RecordAnswer(served bool, took time.Duration) {
	switch {
	case a.unbounded:
	case served:
		a.window++
		a.meanLatency = max(time.Millisecond, a.meanLatency+time.Duration(float64(took-a.meanLatency)*admissionLatencyWeight))
	default:
		a.window = max(admissionMinWindow, a.window-1)
	}
}

// Window is how many requests may be in hand; 0: any number.
func (a *Admission) Window() int {
	if a.unbounded {
		return 0
	}
	return int(a.window)
}
