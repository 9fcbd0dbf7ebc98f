package overload

import (
	"math/rand/v2"
	"time"
)

const (
	admissionInitialWindow   = 16.0                   // requests that may be in flight after a start
	admissionUnboundedWindow = 128.0                  // window size at which admission control ends
	admissionMinWindow       = 4.0                    // lower bound of the window, however many requests fail
	admissionPeriod          = 10 * time.Second       // admission control ends this long after a start at the latest
	admissionInitialLatency  = 150 * time.Millisecond // initial estimate of the mean latency of an answer
	admissionLatencyWeight   = 1.0 / 8                // weight of one answer in the running mean of the latency
)

// Admission limits the number of requests in flight of a director that has just started or resumed after a pause. Such
// a director knows little or nothing about its caches and objects, and each request may cause a fill. The limit works
// like TCP's slow start (RFC 5681): the window of requests in flight starts small and grows by one for each request
// that was served, which doubles the window in each round trip while all requests are served. Each request that was
// rejected or failed shrinks the window by one. A director that receives its fair share of the load never reaches the
// window. A director that receives several times its share, because other directors are still down, does not pass the
// excess load on to caches that are as cold as the director itself.
//
// Requests beyond the window are rejected at once, each with a random retry delay of its own.
type Admission struct {
	rng         *rand.Rand
	window      float64 // requests that may be in flight
	startedAt   Time
	meanLatency time.Duration // running mean of the time to an answer
	unbounded   bool          // admission control has ended
}

// NewAdmission returns the admission control of a director that is starting; the admission period begins with the first
// call of Admit. The seed should differ from director to director, so that the directors do not all return the same
// retry delays.
func NewAdmission(seed uint64) *Admission {
	return &Admission{
		rng:         rand.New(rand.NewPCG(seed, 3)),
		window:      admissionInitialWindow,
		meanLatency: admissionInitialLatency,
	}
}

// Restart begins a new admission period after a pause during which the director's knowledge of its caches became
// outdated. The mean latency is kept.
func (a *Admission) Restart(now Time) {
	a.window = admissionInitialWindow
	a.startedAt = now
	a.unbounded = false
}

// Admit reports whether a director that has inFlight requests in flight may accept one more. If not, the client should
// retry after retryAfter, which is greater than 0.
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

// retryAfter returns a random delay between 0.5 and 1.5 times the mean latency. After that delay the requests that are
// in flight now have been answered, and the window has room for as many again.
func (a *Admission) retryAfter() time.Duration {
	return a.meanLatency/2 + time.Duration(a.rng.Int64N(int64(a.meanLatency)))
}

// RecordAnswer records the end of an admitted request: whether it was served, and its latency. It has no effect once
// admission control has ended.
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

// Window returns the number of requests that may be in flight; 0 means no limit.
func (a *Admission) Window() int {
	if a.unbounded {
		return 0
	}
	return int(a.window)
}
