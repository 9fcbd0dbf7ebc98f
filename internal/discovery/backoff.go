package discovery

import (
	"math"
	"math/rand/v2"
	"time"

	"shaleyard/routing"
)

// BackoffConfig holds the parameters from which a Backoff derives the waits between calls to the discovery service.
type BackoffConfig struct {
	// Directors is the number of directors in the fleet (settings: balancers), and DirectorIndex is this director's
	// index in the fleet, starting at 0 (settings: me).
	Directors, DirectorIndex int
	// ApplyWithin is the time within which a drain must be applied after the service has it (settings:
	// guarantees.drainGrace; 2 s).
	ApplyWithin time.Duration
	// ApplyPurgeWithin is the time within which a purge must be applied after it counts as notified (settings:
	// familyInfo.purgeSlack; 0.5 s).
	ApplyPurgeWithin time.Duration
	// StartWindow is the time over which the fleet spreads its first calls. It is bounded by maxWaitWhileDown, and is
	// shorter in fleets of fewer than 8 directors (minFullWindowFleet). 0 means the return window: the time over which
	// the fleet spreads its reconnects after healthy watches broke, at most 4/5 of ApplyPurgeWithin, and shorter by the
	// same fraction in small fleets. Only a director that accepts no requests before it has reached the service may
	// have a start window longer than the return window.
	StartWindow time.Duration
	// NotifiedAfter is the time after which a published event counts as notified even if the director has not received
	// it (protocol page: 7 s).
	NotifiedAfter time.Duration
	// SilenceTimeout is the time without a usable line after which a watch is overdue and the service is called again.
	SilenceTimeout time.Duration
	// CallDuration is the longest time that a call to a healthy service takes to connect, subscribe and read the missed
	// events.
	CallDuration time.Duration
	// MinWait is the shortest wait after a failed call, for any size of the fleet. It does not apply if the first
	// failure in a row is a watch that broke or fell silent after usable lines.
	MinWait time.Duration
}

const (
	// minFullWindowFleet is the number of directors from which the fleet uses the full windows. Fewer directors can't
	// overload the service, so their windows are shorter.
	minFullWindowFleet = 8
	// minStableTime is the time for which a watch must have been usable to count as stable. A shorter watch counts as a
	// failure, because the service may be flapping.
	minStableTime = 3 * time.Second
	// maxTokens is the capacity of the token bucket of calls. It allows a burst of calls after a quiet time, for the
	// calls that replace a broken watch.
	maxTokens = 4
	// backoffFactor is the growth of the backoff window with each consecutive call that was refused or timed out.
	backoffFactor = 2.0
	// maxDoublings bounds the exponent of the backoff window, which reaches its maximum length well before.
	maxDoublings = 16
	// goldenRatioConjugate is the fraction of the window by which the director's slot moves with each increment of
	// Backoff.breaks, so that no director always has the last slot.
	goldenRatioConjugate = 0.6180339887498949
)

// Backoff schedules the calls of one director to the discovery service: it is the reconnect backoff of a Watcher. The
// caller makes a call at the time that FirstCall, NextCall or RedirectCall returns, or earlier than that if an earlier
// time was returned before, and reports it with RecordCall. It then reports each usable line with RecordUsableLine, and
// with NextCall that the call or its watch has ended or is overdue. A scheduled call that is not made costs no token.
//
// Four bounds determine the waits (docs/cold-start.md has the calculations):
//   - A director that loses a healthy watch continues to serve requests while purges are published, so it must
//     reconnect early enough to apply them within ApplyPurgeWithin. The same holds for a director that has just
//     started, because clients may not have noticed its restart.
//   - A director that accepts no requests before it has reached the service may spread its first call over StartWindow.
//   - A service that is down, or sends invalid lines, must not be overloaded by calls, but the events that it sends
//     after its recovery must be applied within ApplyWithin. The wait is therefore at most maxWaitWhileDown.
//   - An overloaded service can't serve all directors within ApplyWithin. Its events count as notified after
//     NotifiedAfter, so the wait is at most NotifiedAfter less CallDuration.
//
// A flapping service alternately serves and breaks watches. The wait after each of its breaks is within the return
// window, as after the loss of a healthy watch, because the time within which the missed events must be applied is the
// same. When the call budget (a token bucket) is nearly spent, the waits become longer. docs/lifecycles.md has the
// worst cases.
type Backoff struct {
	rng    *rand.Rand
	config BackoffConfig

	startWindow       time.Duration // time over which the fleet spreads its first calls
	returnWindow      time.Duration // time over which the fleet spreads its reconnects after healthy watches broke
	maxWaitAfterBreak time.Duration // longest wait after a break; the call then fits within ApplyPurgeWithin
	maxWaitWhileDown  time.Duration // longest wait while the service is down, and the time in which one token is added
	maxWait           time.Duration // longest wait of all

	tokens        float64      // tokens in the bucket at lastCall; each call takes one
	lastCall      routing.Time // time of the latest call; before the first one, of FirstCall
	failures      int          // consecutive calls or watches that ended, without a stable watch between them
	unservedCalls int          // consecutive calls that were refused or timed out, without a usable line between them
	unusableEnds  int          // consecutive EndUnusable and EndBehind ends, without a usable line between them
	breaks        int          // number of moves of this director's slot in the window, see slot
	usableSince   routing.Time // time of the current watch's first usable line
	usable        bool         // the current watch has received a usable line
}

// NewBackoff returns the backoff of one director. The seed of the random waits should differ between directors.
func NewBackoff(config BackoffConfig, seed uint64) *Backoff {
	config.Directors = max(config.Directors, 1)
	backoff := &Backoff{rng: rand.New(rand.NewPCG(seed, 2)), config: config, tokens: maxTokens}
	backoff.maxWaitWhileDown = max(config.ApplyWithin-config.CallDuration, config.MinWait)
	backoff.maxWait = max(config.NotifiedAfter-config.CallDuration, backoff.maxWaitWhileDown)
	windowFraction := min(1, float64(config.Directors-1)/(minFullWindowFleet-1))
	backoff.maxWaitAfterBreak = min(backoff.maxWaitWhileDown, config.ApplyPurgeWithin*4/5)
	backoff.returnWindow = time.Duration(windowFraction * float64(backoff.maxWaitAfterBreak))
	backoff.startWindow = backoff.returnWindow
	if config.StartWindow > 0 {
		backoff.startWindow = time.Duration(windowFraction * float64(min(backoff.maxWaitWhileDown, config.StartWindow)))
	}
	return backoff
}

// StartWindow returns the time over which the fleet spreads its first calls.
func (b *Backoff) StartWindow() time.Duration { return b.startWindow }

// ReturnWindow returns the time over which the fleet spreads its reconnects after the service broke healthy watches.
func (b *Backoff) ReturnWindow() time.Duration { return b.returnWindow }

// MaxWaitAfterBreak returns the longest wait after a break while the call budget is not nearly spent.
func (b *Backoff) MaxWaitAfterBreak() time.Duration { return b.maxWaitAfterBreak }

// FirstCall returns the time of the first call, which is in this director's slot of the start window.
func (b *Backoff) FirstCall(now routing.Time) routing.Time {
	b.lastCall = now
	return b.withinBudget(now, b.slot(now, b.startWindow))
}

// RecordCall records that a call is made at the time now. It takes a token.
func (b *Backoff) RecordCall(now routing.Time) {
	b.tokens = max(0, b.tokensAt(now)-1)
	b.lastCall = now
}

// RedirectCall returns the time of the first call to another service that a new configuration names, and resets all
// counts of failures. All directors receive the new configuration at once, so the call is in this director's slot of
// the return window. A longer window is not possible, although the watch of the old service stays up until the call
// succeeds: events that only the new service has must be applied within the same time as events that are missed after
// a broken watch.
func (b *Backoff) RedirectCall(now routing.Time) routing.Time {
	b.breaks++
	b.failures = 0
	b.unservedCalls = 0
	b.unusableEnds = 0
	b.usable = false
	return b.withinBudget(now, b.slot(now, b.returnWindow))
}

// RecordUsableLine records that the current watch received a usable line at the time now. The first usable line resets
// unservedCalls and unusableEnds. A line minStableTime after the first one, or later, resets failures.
func (b *Backoff) RecordUsableLine(now routing.Time) {
	if !b.usable {
		b.usable = true
		b.usableSince = now
		b.unservedCalls = 0
		b.unusableEnds = 0
	}
	if now-b.usableSince >= minStableTime {
		b.failures = 0
	}
}

// Failures returns the number of consecutive calls or watches that ended without a stable watch between them.
func (b *Backoff) Failures() int { return b.failures }

// NextCall returns the time of the next call after a call, or its watch, has ended or become overdue at the time now.
func (b *Backoff) NextCall(now routing.Time, end WatchEnd) routing.Time {
	stable := b.usable && now-b.usableSince >= minStableTime
	b.usable = false
	if stable {
		b.failures = 0
		return b.withinBudget(now, b.waitAfterStableWatch(now, end))
	}
	b.failures++
	return b.withinBudget(now, b.waitAfterFailure(now, end))
}

// waitAfterStableWatch returns the wait until this director's slot in the return window. After EndSilent the window is
// bounded by maxWaitWhileDown less SilenceTimeout, because the time without lines counts toward the time within which
// events must be applied.
func (b *Backoff) waitAfterStableWatch(now routing.Time, end WatchEnd) time.Duration {
	b.breaks++
	window := b.returnWindow
	if end == EndSilent {
		window = min(window, max(0, b.maxWaitWhileDown-b.config.SilenceTimeout))
	}
	return b.slot(now, window)
}

// waitAfterFailure returns the wait after a call that failed or a watch that ended before it was stable.
func (b *Backoff) waitAfterFailure(now routing.Time, end WatchEnd) time.Duration {
	switch end {
	case EndRefused:
		return b.waitAfterRefusal()
	case EndUnusable:
		return b.waitAfterUnusable(b.tokensAt(now) >= 2)
	case EndBehind:
		return b.waitAfterUnusable(false) // a lagging service needs time to catch up
	case EndBroken, EndSilent:
		return b.waitAfterShortWatch(now)
	default:
		return b.waitAfterTimeout(now)
	}
}

// waitAfterRefusal returns a random wait in a window that starts at a quarter of maxWaitWhileDown and doubles with each
// consecutive refusal or timeout, up to maxWaitWhileDown.
func (b *Backoff) waitAfterRefusal() time.Duration {
	b.unservedCalls++
	return b.jitter(b.backoffWindow(b.maxWaitWhileDown/4, b.maxWaitWhileDown), 0)
}

// waitAfterUnusable returns a random wait of half to all of maxWaitAfterBreak after the first EndUnusable or EndBehind
// in a row, or if the call is urgent, and of half to all of maxWaitWhileDown otherwise. A watch that breaks within its
// first event, or while the service is stopped, also ends as EndUnusable, and the missed events must be applied within
// the same time as after a stable watch.
func (b *Backoff) waitAfterUnusable(urgent bool) time.Duration {
	b.unusableEnds++
	if urgent || b.unusableEnds == 1 {
		return b.jitter(b.maxWaitAfterBreak, 0.5)
	}
	return b.jitter(b.maxWaitWhileDown, 0.5)
}

// waitAfterShortWatch returns the wait after a watch that was usable for less than minStableTime. The watch had
// received usable lines, so the service is up and not overloaded, and the missed events must be applied within the same
// time as after a stable watch. The watch is therefore replaced within the return window if it is the first failure in
// a row or if two or more tokens are left. Otherwise the wait is random, at least half of maxWaitWhileDown, and
// withinBudget extends it if no token is left.
func (b *Backoff) waitAfterShortWatch(now routing.Time) time.Duration {
	if b.failures == 1 {
		b.breaks++
		return b.slot(now, b.returnWindow)
	}
	if b.tokensAt(now) >= 2 {
		b.breaks++
		minWait := min(b.config.MinWait, b.maxWaitAfterBreak)
		return minWait + b.slot(now+minWait, max(0, b.returnWindow-minWait))
	}
	return b.jitter(b.maxWaitWhileDown, 0.5)
}

// waitAfterTimeout returns a random wait of at least half of the backoff window, because a call that follows at once
// adds to the overload that made the last call time out. The wait also has an upper bound: an event that was published
// right after the last call counts as notified NotifiedAfter later and must be applied ApplyPurgeWithin after that, so
// the next call must be complete by then.
func (b *Backoff) waitAfterTimeout(now routing.Time) time.Duration {
	b.unservedCalls++
	wait := b.jitter(b.backoffWindow(b.maxWaitWhileDown, b.maxWait), 0.5)
	latest := b.lastCall + b.config.NotifiedAfter + b.config.ApplyPurgeWithin - b.config.CallDuration
	return max(min(wait, latest-now), b.config.MinWait)
}

// slot returns the wait until this director's slot in the window. Windows are aligned to the clock and follow each
// other without gaps, and each director has its own slot in each window. Calls that become due on all directors at
// about the same time are therefore evenly spread, however long each process takes to start or to detect the loss. The
// time within the slot is random, so that two directors with the same index do not always collide. The slot moves by
// 0.618 of the window (goldenRatioConjugate) with each increment of breaks, so that no director always has the last
// slot. breaks is incremented by a redirect, by the end of a stable watch, and by the end of a short usable watch if
// the next call is made in the return window.
func (b *Backoff) slot(now routing.Time, window time.Duration) time.Duration {
	if window <= 0 {
		return 0
	}
	fleet := float64(b.config.Directors)
	position := (float64(b.config.DirectorIndex)+b.rng.Float64())/fleet + goldenRatioConjugate*float64(b.breaks)
	_, fraction := math.Modf(position)
	return (time.Duration(fraction*float64(window)) - now%window + window) % window
}

// backoffWindow returns the window of the exponential backoff. It is first after one unserved call and doubles with
// each further consecutive one, up to longest. Broken watches are not counted, because they are no evidence of an
// overloaded service.
func (b *Backoff) backoffWindow(first, longest time.Duration) time.Duration {
	doublings := float64(min(b.unservedCalls-1, maxDoublings))
	window := float64(first) * math.Pow(backoffFactor, doublings)
	return time.Duration(min(window, float64(longest)))
}

// jitter returns a random wait between minFraction of the window and the whole window, but at least MinWait.
func (b *Backoff) jitter(window time.Duration, minFraction float64) time.Duration {
	fraction := minFraction + (1-minFraction)*b.rng.Float64()
	return max(time.Duration(fraction*float64(window)), b.config.MinWait)
}

// tokensAt returns the number of tokens in the bucket at a time, at most maxTokens.
func (b *Backoff) tokensAt(at routing.Time) float64 {
	return min(maxTokens, b.tokens+float64(at-b.lastCall)/float64(b.maxWaitWhileDown))
}

// withinBudget returns the time of a call that is made after the wait, or when the bucket has a token for it if that is
// later, by at most maxWaitWhileDown: the bucket gains one token per maxWaitWhileDown. Once the bucket is empty, a
// flapping service thus receives at most one call per director in that time.
func (b *Backoff) withinBudget(now routing.Time, wait time.Duration) routing.Time {
	at := now + wait
	if tokens := b.tokensAt(at); tokens < 1 {
		at += time.Duration((1 - tokens) * float64(b.maxWaitWhileDown))
	}
	return at
}
