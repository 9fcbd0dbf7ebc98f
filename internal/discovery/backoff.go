package discovery

import (
	"math"
	"math/rand/v2"
	"time"

	"shaleyard/routing"
)

// BackoffConfig is what the waits between calls are derived from.
type BackoffConfig struct {
	// Directors is the size of the fleet (settings: balancers), and DirectorIndex is this director's number in it, from
	// 0 (settings: me).
	Directors, DirectorIndex int
	// ApplyWithin is the time within which a drain must be applied, from when the service has it (settings:
	// guarantees.drainGrace; 2 s).
	ApplyWithin time.Duration
	// ApplyPurgeWithin is the time within which a purge must be applied (settings: familyInfo.purgeSlack; 0.5 s).
	ApplyPurgeWithin time.Duration
	// StartWindow is the time over which the fleet spreads its first calls. It may be longer than the return window
	// only for a director that takes no requests before it has reached the service; 0 means the return window.
	StartWindow time.Duration
	// NotifiedAfter is when an event counts as notified even though nothing arrived (protocol page: 7 s).
	NotifiedAfter time.Duration
	// SilenceTimeout is how long a watch may bring nothing before it is given up.
	SilenceTimeout time.Duration
	// CallDuration is the longest duration of a call of a healthy service: connect, subscribe, read the missed events.
	CallDuration time.Duration
	// MinWait is the shortest wait after a call that failed, whatever the fleet's size.
	MinWait time.Duration
}

// Figures that do not follow from the configuration.
const (
	fullWindowFleet      = 8               // directors that need the full windows: fewer can't overload the service
	settleTime           = 3 * time.Second // a watch that was usable for less counts as a failure: a flapping service
	maxSavedCalls        = 4               // calls that may be made at once after a quiet time: a break, and its repair
	backoffFactor        = 2.0             // growth of the backoff window with each call that is not served
	maxDoublings         = 16              // after which the window has long reached its bound
	goldenRatioConjugate = 0.6180339887498949
)

// Backoff decides when one director calls the list service: it is the reconnect backoff of a Watcher. The caller makes
// a call at the time that FirstCall, NextCall or RedirectCall returns, and reports what came of it: RecordUsableLine
// for each usable line, NextCall at the end.
//
// Four bounds meet here (docs/cold-start.md has the sums):
//   - A director that loses a healthy watch goes on working, and purges go on: it is back within the time that those
//     leave. So is a director that has just started, as clients may not have noticed that it was gone.
//   - A director that takes no requests until it has reached the service may spread its first call over StartWindow.
//   - A service that is down, or sends what can't be used, is not burdened by calls, and what it sends when it is
//     healthy again must be applied within ApplyWithin of that: no wait is longer than maxWaitWhileDown then.
//   - A service that is overloaded can't serve all directors within ApplyWithin, whatever they do. Its events count as
//     notified after NotifiedAfter: no wait is longer than that, less the call.
//
// A service that serves and breaks by turns is called again as soon as after a healthy watch, as what it has cut off is
// due as soon, until the budget of calls (a token bucket) is nearly spent. docs/lifecycles.md has the worst cases.
type Backoff struct {
	rng    *rand.Rand
	config BackoffConfig

	startWindow       time.Duration // over which the fleet spreads its first calls
	returnWindow      time.Duration // over which it spreads its return to a service that broke healthy watches
	maxWaitAfterBreak time.Duration // leaves a call its time within ApplyPurgeWithin
	maxWaitWhileDown  time.Duration // longest wait while the service is down; one call is earned in this time
	maxWait           time.Duration // longest wait at all

	tokens        float64      // calls saved up, as of refilledAt
	refilledAt    routing.Time // when the latest call was made, or will be
	failures      int          // ends in a row without a settled watch between them
	unservedCalls int          // calls in a row that were refused or timed out, without a usable line between them
	unusableEnds  int          // unusable ends in a row, without a usable line between them
	breaks        int          // of watches; each moves our slot in the window
	usableSince   routing.Time // first usable line of the present watch
	usable        bool         // the present watch has brought a usable line
}

// NewBackoff returns the backoff of one director. The seed should differ from director to director.
func NewBackoff(config BackoffConfig, seed uint64) *Backoff {
	config.Directors = max(config.Directors, 1)
	backoff := &Backoff{rng: rand.New(rand.NewPCG(seed, 2)), config: config, tokens: maxSavedCalls}
	backoff.maxWaitWhileDown = max(config.ApplyWithin-config.CallDuration, config.MinWait)
	backoff.maxWait = max(config.NotifiedAfter-config.CallDuration, backoff.maxWaitWhileDown)
	windowFraction := min(1, float64(config.Directors-1)/(fullWindowFleet-1))
	backoff.maxWaitAfterBreak = min(backoff.maxWaitWhileDown, config.ApplyPurgeWithin*4/5)
	backoff.returnWindow = time.Duration(windowFraction * float64(backoff.maxWaitAfterBreak))
	backoff.startWindow = backoff.returnWindow
	if config.StartWindow > 0 {
		backoff.startWindow = time.Duration(windowFraction * float64(min(backoff.maxWaitWhileDown, config.StartWindow)))
	}
	return backoff
}

// StartWindow is the time over which the fleet spreads its first calls.
func (b *Backoff) StartWindow() time.Duration { return b.startWindow }

// ReturnWindow is the time over which the fleet spreads its return to a service that broke healthy watches.
func (b *Backoff) ReturnWindow() time.Duration { return b.returnWindow }

// FirstCall returns when to make the first call.
func (b *Backoff) FirstCall(now routing.Time) routing.Time {
	b.refilledAt = now
	return b.reserveCall(now, b.slot(now, b.startWindow))
}

// RedirectCall returns when to call another service that the configuration names, which all directors are told at once.
// Events that only the new service has must be applied as after a break, though the present watch is followed until
// then.
func (b *Backoff) RedirectCall(now routing.Time) routing.Time {
	b.breaks++
	b.failures = 0
	b.unservedCalls = 0
	b.unusableEnds = 0
	b.usable = false
	return b.reserveCall(now, b.slot(now, b.returnWindow))
}

// RecordUsableLine records a usable line of the present watch.
func (b *Backoff) RecordUsableLine(now routing.Time) {
	if !b.usable {
		b.usable = true
		b.usableSince = now
		b.unservedCalls = 0
		b.unusableEnds = 0
	}
	if now-b.usableSince >= settleTime {
		b.failures = 0
	}
}

// Failures is the number of ends in a row without a settled watch between them.
func (b *Backoff) Failures() int { return b.failures }

// NextCall returns when to call again after the present call, or its watch, has ended.
func (b *Backoff) NextCall(now routing.Time, end WatchEnd) routing.Time {
	settled := b.usable && now-b.usableSince >= settleTime
	b.usable = false
	if settled {
		b.failures = 0
		return b.reserveCall(now, b.waitAfterSettledWatch(now, end))
	}
	b.failures++
	return b.reserveCall(now, b.waitAfterFailure(now, end))
}

// waitAfterSettledWatch is the wait to our slot in the return window. Time lost in silence is gone from the time in
// which events must be applied, and shortens the window.
func (b *Backoff) waitAfterSettledWatch(now routing.Time, end WatchEnd) time.Duration {
	b.breaks++
	window := b.returnWindow
	if end == EndSilent {
		window = min(window, max(0, b.maxWaitWhileDown-b.config.SilenceTimeout))
	}
	return b.slot(now, window)
}

func (b *Backoff) waitAfterFailure(now routing.Time, end WatchEnd) time.Duration {
	switch end {
	case EndRefused:
		return b.waitAfterRefusal()
	case EndUnusable:
		return b.waitAfterUnusable()
	case EndBroken, EndSilent:
		return b.waitAfterYoungWatch(now)
	default:
		return b.waitAfterTimeout(now)
	}
}

func (b *Backoff) waitAfterRefusal() time.Duration {
	b.unservedCalls++
	return b.jitter(b.backoffWindow(b.maxWaitWhileDown/4, b.maxWaitWhileDown), 0)
}

// waitAfterUnusable is short the first time in a row, as a break within an event is seen as an unusable end, too.
func (b *Backoff) waitAfterUnusable() time.Duration {
	b.unusableEnds++
	if b.unusableEnds == 1 {
		return b.jitter(b.maxWaitAfterBreak, 0.5)
	}
	return b.jitter(b.maxWaitWhileDown, 0.5)
}

// waitAfterYoungWatch is the wait after a watch that was usable for less than settleTime. It had brought something, so
// the service is there and not overloaded, and what the break has cut off is due no later than after a settled watch:
// the watch is replaced as soon as the budget of calls allows. The last call in the budget is spent at a random time;
// from then on the budget sets the time.
func (b *Backoff) waitAfterYoungWatch(now routing.Time) time.Duration {
	if b.failures == 1 {
		b.breaks++
		return b.slot(now, b.returnWindow)
	}
	if b.remainingBudget(now) >= 2 {
		b.breaks++
		minWait := min(b.config.MinWait, b.maxWaitAfterBreak)
		return minWait + b.slot(now+minWait, max(0, b.returnWindow-minWait))
	}
	return b.jitter(b.maxWaitWhileDown, 0.5)
}

// waitAfterTimeout is at least half of the window, as a director that is back at once adds to the overload that its
// call was lost in. An event that was published right after the last call counts as notified NotifiedAfter later, and
// must be applied ApplyPurgeWithin after that: the next call is served by then.
func (b *Backoff) waitAfterTimeout(now routing.Time) time.Duration {
	b.unservedCalls++
	wait := b.jitter(b.backoffWindow(b.maxWaitWhileDown, b.maxWait), 0.5)
	latest := b.refilledAt + b.config.NotifiedAfter + b.config.ApplyPurgeWithin - b.config.CallDuration
	return max(min(wait, latest-now), b.config.MinWait)
}

// slot is the wait to our slot in the window. The windows follow one another by the clock, and each director has a slot
// of its own in each: calls that fall due everywhere at about one moment make an even stream, however long each process
// took to start or to notice. Within its slot the call is at a random place, so that two directors with one number do
// not always collide. The slot moves with each break, by the golden ratio, so that no director is always the last.
func (b *Backoff) slot(now routing.Time, window time.Duration) time.Duration {
	if window <= 0 {
		return 0
	}
	fleet := float64(b.config.Directors)
	position := (float64(b.config.DirectorIndex)+b.rng.Float64())/fleet + goldenRatioConjugate*float64(b.breaks)
	_, fraction := math.Modf(position)
	return (time.Duration(fraction*float64(window)) - now%window + window) % window
}

// backoffWindow grows exponentially with each call in a row that was not served, from first up to longest. Watches that
// break are not counted: faults of the service must not count as its overload.
func (b *Backoff) backoffWindow(first, longest time.Duration) time.Duration {
	doublings := float64(min(b.unservedCalls-1, maxDoublings))
	window := float64(first) * math.Pow(backoffFactor, doublings)
	return time.Duration(min(window, float64(longest)))
}

// jitter is a random wait within the window, at least minFraction of it and at least MinWait.
func (b *Backoff) jitter(window time.Duration, minFraction float64) time.Duration {
	fraction := minFraction + (1-minFraction)*b.rng.Float64()
	return max(time.Duration(fraction*float64(window)), b.config.MinWait)
}

// remainingBudget is the number of calls saved up at a time.
func (b *Backoff) remainingBudget(at routing.Time) float64 {
	return min(maxSavedCalls, b.tokens+float64(at-b.refilledAt)/float64(b.maxWaitWhileDown))
}

// reserveCall takes a call, a wait from now, off the budget: a token bucket that gains one call in each
// maxWaitWhileDown. If no call is left, it waits for the next one, which comes within that time: a service that serves
// and breaks by turns gets one call from each director in that time, and no more.
func (b *Backoff) reserveCall(now routing.Time, wait time.Duration) routing.Time {
	at := now + wait
	b.tokens = b.remainingBudget(at)
	b.refilledAt = at
	if b.tokens < 1 {
		at += time.Duration((1 - b.tokens) * float64(b.maxWaitWhileDown))
		b.tokens = 1
		b.refilledAt = at
	}
	b.tokens--
	return at
}
