package overload

import (
	"math/rand/v2"
	"time"
)

const (
	admissionInitialWindow   = 16.0                   // requests in flight that are allowed after a start
	admissionUnboundedWindow = 128.0                  // the window from which on there is no bound any more
	admissionMinWindow       = 4.0                    // the least window, however many requests fail
	admissionPeriod          = 10 * time.Second       // after a start, admission control ends in any case
	admissionInitialLatency  = 150 * time.Millisecond // assumed latency of an answer before the first one
	admissionLatencyWeight   = 1.0 / 8                // weight of an answer in the running mean of the latency
)

// Admission is the admission control of a director after its start or after a pause, when it knows little or nothing of
// its caches and objects and each request may cause a fill. It works like TCP's slow start (RFC 5681): the
// window of requests in flight starts small and grows by one for each answer that was served, so that it doubles in
// each round trip while all goes well; each request that was rejected or has failed shrinks it by one. A director
// with its fair part of the load never notices the window. One that gets several times as much, because other
// directors are still down, does not pass the flood on to caches that are as cold as itself.
//
// Requests beyond the window are rejected at once, with a time to retry after that is drawn for each of them.
type Admission struct {
	rng         *rand.Rand
	window      float64 // requests in flight that are allowed
	startedAt   Time
	meanLatency time.Duration // running mean of the time to an answer
	unbounded   bool          // admission control has ended
}

// NewAdmission returns the admission control of a director that starts now. The seed should differ from director to
// director, so that they do not all name the same times to retry after.
func NewAdmission(seed uint64) *Admission {
	return &Admission{
		rng:         rand.New(rand.NewPCG(seed, 3)),
		window:      admissionInitialWindow,
		meanLatency: admissionInitialLatency,
	}
}

// Restart begins anew, after a pause in which what was known has become old.
func (a *Admission) Restart(now Time) {
	a.window = admissionInitialWindow
	a.startedAt = now
	a.unbounded = false
}

// Admit reports whether a request may be taken beside those in flight. If not, the client should stay away for
// retryAfter, which is more than 0.
func (a *Admission) Admit(now Time, inFlight int) (retryAfter time.Duration, admitted bool) {
	if a.startedAt == 0 {
		a.startedAt = now
	}
	if a.window >= admissionUnboundedWindow || now-a.startedAt >= admissionPeriod {
		a.unbounded = true
	}
	if a.unbounded || float64(inFlight) < a.window {
		return 0, true
	}
	return a.retryAfter(), false
}

// retryAfter is half to one and a half times the mean latency: by then what is in flight now has been answered, and the
// window has room for as much again.
func (a *Admission) retryAfter() time.Duration {
	return a.meanLatency/2 + time.Duration(a.rng.Int64N(int64(a.meanLatency)))
}

// RecordAnswer records the end of a request that was admitted: whether it was served, and its latency.
func (a *Admission) RecordAnswer(served bool, latency time.Duration) {
	if a.unbounded {
		return
	}
	if !served {
		a.window = max(admissionMinWindow, a.window-1)
		return
	}
	a.window++
	difference := float64(latency - a.meanLatency)
	a.meanLatency = max(time.Millisecond, a.meanLatency+time.Duration(difference*admissionLatencyWeight))
}

// Window is how many requests may be in flight; 0 means any number.
func (a *Admission) Window() int {
	if a.unbounded {
		return 0
	}
	return int(a.window)
}
