package discovery

import (
	"math"
	"math/rand/v2"
	"time"

	"shaleyard/routing"
)

// WatchEnd says how a call of the list service, or the stream that came of it, has ended.
type WatchEnd uint8

// Ends of a call. What it cost the service, and whether the news can have been missed, differ from one to the
// other, and so does the time until the next call.
const (
	// EndRefused: no connection. That cost the service next to nothing, and it is most likely down: come back soon,
	// as it may be up again at any moment.
	EndRefused WatchEnd = iota
	// EndTimedOut: no connection in time, or one on which no whole line came in time. The service is there and has
	// more to do than it can: each call more adds to that.
	EndTimedOut
	// EndUnusable: a line that can't be used, a list that broke off half-way, or numbers that stay behind ours. The
	// call was served, in vain, and the next one will hardly be better at once.
	EndUnusable
	// EndBroken: a stream that had brought good lines has closed. The news flow on without us from now on.
	EndBroken
	// EndSilent: such a stream has said nothing for ListBounds.Silence, which is gone from the time for the news.
	EndSilent
)

// String names the end, for logs.
func (e WatchEnd) String() string {
	return [...]string{"refused", "timed out", "unfit", "broke", "silent"}[e]
}

// BackoffConfig is what the pace of list calls is derived from.
type BackoffConfig struct {
	// Directors is the size of the fleet, DirectorIndex our number in it, from 0 (settings: balancers, me).
	Directors, DirectorIndex int
	// ApplyWithin is the time within which a drain must be heeded, from when the service has it (settings:
	// guarantees.drainGrace; 2 s).
	ApplyWithin time.Duration
	// ApplyPurgeWithin is the time within which a purge must be heeded (settings: familyInfo.purgeSlack; 0.5 s).
	ApplyPurgeWithin time.Duration
	// StartWindow is the span of the fleet's first calls. More than the return's holds only for a director that takes no
	// work before it has reached the service; 0: the return's.
	StartWindow time.Duration
	// NotifiedAfter is when what the service has to tell counts as told though nothing arrived (protocol page: 7 s).
	NotifiedAfter time.Duration
	// SilenceTimeout is how long a stream may say nothing before it is given up.
	SilenceTimeout time.Duration
	// CallDuration is what a call takes at most with the service well: connect, subscribe, read what was missed.
	CallDuration time.Duration
	// MinWait is the shortest wait after a call that failed, whatever the fleet's size.
	MinWait time.Duration
}

// Figures of the pace that are not derived.
const (
	fullWindowFleet      = 8               // directors from which the full spread is used: fewer can't hurt the service
	settleTime           = 3 * time.Second // a stream that was good for less has served nobody: a flapping service
	maxSavedCalls        = 4               // calls that may be made at once after a quiet time: a break, and its repair
	backoffFactor        = 2.0             // times that a window grows with each call that is not served (exponential backoff)
	goldenRatioConjugate = 0.6180339887498949
)

// Backoff paces one director's calls of the list service. The caller makes a call at the time that Start, Next
// or Move gives, and reports what came of it: Good for each good line, Next at the end.
//
// Four bounds meet here (docs/cold-start.md has the sums):
//   - Who loses a good stream goes on working, and purges flow on: it is back within the time that those leave. So is
//     who has just started, as clients may not have noticed that it was gone.
//   - Who takes no work until it has reached the service may spread its first call over Start.
//   - A service that is down, or serves what is of no use, has no more to do for being asked again, and what it
//     will tell when it is well must be heard within Heed of that: no wait then is longer than soon.
//   - A service that is overloaded can't serve all within Heed whatever we do. What it would tell counts as told
//     after Late: no wait is longer than that, less the call.
//
// A service that serves and breaks by turns is called as soon as after a good stream, as what it has cut off is due as
// soon, until the budget, a token bucket, is nearly spent. docs/lifecycles.md has the worst cases that come of it.
type Backoff struct {
	rng               *rand.Rand
	config            BackoffConfig
	startWindow       time.Duration // over which the fleet spreads its first calls
	returnWindow      time.Duration // and its return to a service that broke good streams
	maxWaitAfterBreak time.Duration // longest wait that leaves a call its time within Purge
	maxWaitWhileDown  time.Duration // longest wait while the service is down
	maxWait           time.Duration // longest wait at all

	tokens        float64      // calls saved up
	refilledAt    routing.Time // when tokens was right
	failures      int          // in a row, with no settled stream between
	unservedCalls int          // calls in a row that were refused or timed out, with no good line between
	unusableEnds  int          // ends in a row that were unfit, with no good line between
	breaks        int          // of good streams: turns our place in the spread
	usableSince   routing.Time // first good line of the present stream
	usable        bool
}

// NewBackoff returns the pace for the bounds. The seed should differ from director to director.
func NewBackoff(b BackoffConfig, seed uint64) *Backoff {
	b.Directors = max(b.Directors, 1)
	c := &Backoff{rng: rand.New(rand.NewPCG(seed, 2)), config: b, tokens: maxSavedCalls}
	c.maxWaitWhileDown = max(b.ApplyWithin-b.CallDuration, b.MinWait)
	c.maxWait = max(b.NotifiedAfter-b.CallDuration, c.maxWaitWhileDown)
	part := min(1, float64(b.Directors-1)/(fullWindowFleet-1))
	c.maxWaitAfterBreak = min(c.maxWaitWhileDown, b.ApplyPurgeWithin*4/5)
	c.returnWindow = time.Duration(part * float64(c.maxWaitAfterBreak))
	c.startWindow = c.returnWindow
	if b.StartWindow > 0 {
		c.startWindow = time.Duration(part * float64(min(c.maxWaitWhileDown, b.StartWindow)))
	}
	return c
}

// StartWindow is the span over which the fleet spreads its first calls.
func (c *Backoff) StartWindow() time.Duration { return c.startWindow }

// ReturnWindow is the span over which it spreads its return to a service that broke good streams.
func (c *Backoff) ReturnWindow() time.Duration { return c.returnWindow }

// FirstCall is when to make the first call.
func (c *Backoff) FirstCall(now routing.Time) routing.Time {
	c.refilledAt = now
	return c.reserveCall(now, c.slot(now, c.startWindow))
}

// RedirectCall is when to go over to another service, on order of the operators: all directors hear it at once. What only
// the new one tells must be heard as after a break, though the present stream is followed until then.
func (c *Backoff) RedirectCall(now routing.Time) routing.Time {
	c.breaks++
	c.failures, c.unservedCalls, c.unusableEnds, c.usable = 0, 0, 0, false
	return c.reserveCall(now, c.slot(now, c.returnWindow))
}

// RecordUsableLine notes a good line of the present stream.
func (c *Backoff) RecordUsableLine(now routing.Time) {
	if !c.usable {
		c.usable, c.usableSince = true, now
		c.unservedCalls, c.unusableEnds = 0, 0
	}
	if now-c.usableSince >= settleTime {
		c.failures = 0
	}
}

// Failures is the number of ends in a row that no settled stream has come between.
func (c *Backoff) Failures() int { return c.failures }

// NextCall is when to call again after the present call, or its stream, has ended.
func (c *Backoff) NextCall(now routing.Time, e WatchEnd) routing.Time {
	served := c.usable && now-c.usableSince >= settleTime
	c.usable = false
	if served {
		c.failures = 0
	} else {
		c.failures++
	}
	switch {
	case served && e == EndSilent: // what was lost in silence is gone from the time for the news
		c.breaks++
		return c.reserveCall(now, c.slot(now, min(c.returnWindow, max(0, c.maxWaitWhileDown-c.config.SilenceTimeout))))
	case served:
		c.breaks++
		return c.reserveCall(now, c.slot(now, c.returnWindow))
	case e == EndRefused:
		c.unservedCalls++
		return c.reserveCall(now, c.jitter(c.backoffWindow(c.maxWaitWhileDown/4, c.maxWaitWhileDown), 0))
	case (e == EndBroken || e == EndSilent) && c.failures == 1: // once, a stream that was good for a moment is replaced at once
		c.breaks++
		return c.reserveCall(now, c.slot(now, c.returnWindow))
	case (e == EndBroken || e == EndSilent) && c.remainingBudget(now) >= 2:
		// It had told something: the service is there, and not overloaded. What it has cut off is due no later than
		// behind a stream that was good for long.
		c.breaks++
		least := min(c.config.MinWait, c.maxWaitAfterBreak)
		return c.reserveCall(now, least+c.slot(now+least, max(0, c.returnWindow-least)))
	case e == EndBroken || e == EndSilent: // the last call saved is spent at random: from then on the budget sets the time
		return c.reserveCall(now, c.jitter(c.maxWaitWhileDown, 0.5))
	case e == EndUnusable:
		c.unusableEnds++
		if c.unusableEnds == 1 { // half an event is what a break leaves too
			return c.reserveCall(now, c.jitter(c.maxWaitAfterBreak, 0.5))
		}
		return c.reserveCall(now, c.jitter(c.maxWaitWhileDown, 0.5))
	}
	// Half of the window at least: who comes back at once adds to the crowd that it was lost in. What was published right
	// behind the last call counts as told Late after it, and is due Purge later: the next call is served by then.
	c.unservedCalls++
	wait := c.jitter(c.backoffWindow(c.maxWaitWhileDown, c.maxWait), 0.5)
	due := c.refilledAt + c.config.NotifiedAfter + c.config.ApplyPurgeWithin - c.config.CallDuration
	return c.reserveCall(now, max(min(wait, due-now), c.config.MinWait))
}

// slot is how long it is to our slot in the spread. The spread comes round by the clock, and each director has a
// slot of its own in it: calls that fall due everywhere, at one moment or nearly so, make an even stream, however
// long each process took to start or to notice. Within the slot the slot is random, so that two with one number
// don't collide for good; it turns with each break, lest one director always comes last.
func (c *Backoff) slot(now routing.Time, spread time.Duration) time.Duration {
	if spread <= 0 {
		return 0
	}
	n := float64(c.config.Directors)
	_, at := math.Modf((float64(c.config.DirectorIndex)+c.rng.Float64())/n + goldenRatioConjugate*float64(c.breaks))
	return (time.Duration(at*float64(spread)) - now%spread + spread) % spread
}

// backoffWindow grows with each call in a row that was not served, from first up to most. Streams that break are no such
// calls: what comes of the service's faults must not count as its overload.
func (c *Backoff) backoffWindow(first, most time.Duration) time.Duration {
	w := float64(first) * math.Pow(backoffFactor, float64(min(c.unservedCalls-1, 16)))
	return time.Duration(min(w, float64(most)))
}

// jitter is a random time in the window, from a part of it on, and not under Least.
func (c *Backoff) jitter(window time.Duration, from float64) time.Duration {
	part := from + (1-from)*c.rng.Float64()
	return max(time.Duration(part*float64(window)), c.config.MinWait)
}

// remainingBudget is the budget at a time: calls saved up.
func (c *Backoff) remainingBudget(at routing.Time) float64 {
	return min(maxSavedCalls, c.tokens+float64(at-c.refilledAt)/float64(c.maxWaitWhileDown))
}

// reserveCall takes a call off the budget, a token bucket that gains one for each soon. Where nothing is left the call waits for
// the next one, which is no longer than soon: a service that serves and breaks by turns costs its directors one
// call in that time, and no more.
func (c *Backoff) reserveCall(now routing.Time, wait time.Duration) routing.Time {
	at := now + wait
	c.tokens = c.remainingBudget(at)
	c.refilledAt = at
	if c.tokens < 1 {
		at += time.Duration((1 - c.tokens) * float64(c.maxWaitWhileDown))
		c.tokens, c.refilledAt = 1, at
	}
	c.tokens--
	return at
}
