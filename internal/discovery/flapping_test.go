package discovery

import (
	"testing"
	"time"
)

// worstCaseBound is the worst case under the readings. A purge is due a time after it counts as notified; lost is the
// time from the first fault until everything is sent, which was a break if allowed is 2 s; last is that from the last
// fault, with its own allowance; requested is that from the first subscription, if it was in vain.
func worstCaseBound(lost, allowed, last, lastAllowed, requested time.Duration) [readingCount]time.Duration {
	const applyWithin = 500*time.Millisecond + applySlack
	bound := [readingCount]time.Duration{
		sinceLastFault:   last - lastAllowed,
		sinceFirstFault:  lost - allowed,
		untilNextRequest: max(requested, last-lastAllowed),
		sincePublication: lost - notifiedAtLatest,
	}
	for r := range bound {
		bound[r] -= applyWithin
	}
	return bound
}

// Figures of the backoff for the fleets of flappingService.
const (
	waitAfterBreak = 400 * time.Millisecond
	waitWhileDown  = 1500 * time.Millisecond
	longestWait    = 7 * time.Second
	silenceTime    = 1300 * time.Millisecond
	dialTimeout    = time.Second
	dialTime       = 2 * time.Millisecond // a dial's own time, twice
	slowDial       = 500 * time.Millisecond
)

// boundOfBreaks is the worst case of so many subscriptions in vain between breaks.
func boundOfBreaks(vainRequests time.Duration) [readingCount]time.Duration {
	const call = waitWhileDown + dialTime
	return worstCaseBound((vainRequests+1)*call, notifiedAfterBreak, call, notifiedAfterBreak, vainRequests*call)
}

// boundOfFailures is the worst case of dials that fail after a break, until a time after it.
func boundOfFailures(lost time.Duration) [readingCount]time.Duration {
	return worstCaseBound(lost, notifiedAfterBreak, lost, notifiedAfterBreak, 0)
}

// boundOfStalls is the worst case of stalls. A stall behind a stop takes the longer until everything is sent, but its
// allowance is longer still.
func boundOfStalls(lost, last, requested time.Duration) [readingCount]time.Duration {
	bound := worstCaseBound(lost, notifiedAfterBreak, last, 0, requested)
	bound[sincePublication] += silenceTime
	return bound
}

// faultClasses are the classes of sequences, with the worst case of each, worked out from the backoff:
//   - A call comes within waitWhileDown of the end of a watch, or of a refusal, once the budget is spent; while some is
//     left, within waitAfterBreak of a break.
//   - A timeout takes dialTimeout, a stall silenceTime; the next call comes within waitWhileDown, twice that, and so on
//     with each that is not served, and no later than longestWait behind the last one.
//
// docs/lifecycles.md has the figures as a table.
func faultClasses() []faultClass {
	const (
		quick = waitAfterBreak
		soon  = waitWhileDown
		tick  = dialTime
	)
	return []faultClass{
		{name: "breaks", breaks: true, bound: boundOfBreaks(0)},
		{name: "breaks, 1 amid what was missed", breaks: true, maxVainRequests: 1, bound: boundOfBreaks(1)},
		{name: "breaks, 2 amid", breaks: true, maxVainRequests: 2, bound: boundOfBreaks(2)},
		{name: "breaks, budget left, 1 amid", breaks: true, maxVainRequests: 1, maxBurst: 2,
			bound: worstCaseBound(2*(quick+tick), notifiedAfterBreak, quick+tick, notifiedAfterBreak, quick+tick)},
		{name: "breaks, calls late", breaks: true, dialDelay: slowDial, bound: boundOfFailures(soon + slowDial + tick)},
		{name: "breaks, calls late, 1 amid", breaks: true, maxVainRequests: 1, dialDelay: slowDial,
			bound: worstCaseBound(2*(soon+slowDial+tick), notifiedAfterBreak, soon+slowDial+tick, notifiedAfterBreak,
				soon+slowDial+tick)},
		{name: "stops", stops: true,
			bound: worstCaseBound(
				silenceTime+quick+tick, notifiedAfterStop,
				silenceTime+quick+tick, notifiedAfterStop,
				0)},
		{name: "breaks and stops, 1 stalled", breaks: true, stops: true, maxStalls: 1,
			bound: boundOfStalls(soon+silenceTime+soon+2*tick, soon+tick-notifiedAfterBreak, silenceTime+soon+tick)},
		{name: "breaks and stops, 2 stalled", breaks: true, stops: true, maxStalls: 2,
			bound: boundOfStalls(
				soon+silenceTime+soon+silenceTime+2*soon+3*tick,
				silenceTime+2*soon+tick-notifiedAfterStop,
				2*silenceTime+3*soon+2*tick)},
		{name: "breaks and stops, 3 stalled", breaks: true, stops: true, maxStalls: 3, seedFactor: 5,
			bound: boundOfStalls(
				2*silenceTime+4*soon+longestWait+4*tick,
				silenceTime+2*soon+longestWait+2*tick-notifiedAfterStop,
				2*silenceTime+3*soon+longestWait+3*tick)},
		{name: "breaks, budget left, 1 refused", breaks: true, maxRefused: 1, maxBurst: 2,
			bound: boundOfFailures(quick + soon/4 + 2*tick)},
		{name: "breaks, 1 refused", breaks: true, maxRefused: 1, bound: boundOfFailures(2 * (soon + tick))},
		{name: "breaks, 3 refused", breaks: true, maxRefused: 3, bound: boundOfFailures(4 * (soon + tick))},
		{name: "breaks, budget left, 1 timed out", breaks: true, maxTimedOut: 1, maxBurst: 2,
			bound: boundOfFailures(quick + dialTimeout + soon + 2*tick)},
		{name: "breaks, 1 timed out", breaks: true, maxTimedOut: 1,
			bound: boundOfFailures(soon + dialTimeout + soon + 2*tick)},
		{name: "breaks, 2 timed out", breaks: true, maxTimedOut: 2,
			bound: boundOfFailures(2*dialTimeout + 4*soon + 3*tick)},
	}
}

// worstOf plays a class with several fleets and seeds and returns the worst case under each reading.
func worstOf(t *testing.T, class faultClass) [readingCount]worstCase {
	t.Helper()
	const seeds = 12
	var all [readingCount]worstCase
	for r := range all {
		all[r].lateBy = -never
	}
	for _, directors := range []int{1, 12, 300} {
		for seed := range uint64(max(1, class.seedFactor)) * seeds {
			service := newFlappingService(class, directors, seed)
			service.run(20*time.Second, 9*time.Second)
			if missed := len(service.checker.missed); missed > 0 {
				t.Errorf("%s, %d directors, seed %d: %d purges are not applied 9 s after all is well",
					class.name, directors, seed, missed)
			}
			for r := range all {
				all[r].join(service.checker.worst[r])
			}
		}
	}
	return all
}

// Watches that break or stop when they are young, again and again, dials that fail between them and purges all the
// time: each class of sequences keeps to its worst case, as worked out from the backoff, under each reading of when a
// purge counts as notified. The worst drawn comes near to it, so that a backoff that waits longer is found.
func TestFlappingServiceStaysWithinWorstCase(t *testing.T) {
	for _, class := range faultClasses() {
		all := worstOf(t, class)
		allowances := [readingCount]time.Duration{
			sinceLastFault:   notifiedAfterBreak,
			sinceFirstFault:  notifiedAfterBreak,
			sincePublication: notifiedAtLatest,
		}
		if !class.breaks {
			allowances[sinceLastFault] = notifiedAfterStop
			allowances[sinceFirstFault] = notifiedAfterStop
		}
		for r := range readingCount {
			worst, bound := all[r], class.bound[r]
			t.Logf("%-34s %-6v worst %7.3f s, worked out %7.3f s, %d late",
				class.name, r, worst.lateBy.Seconds(), bound.Seconds(), worst.breaches)
			if worst.lateBy > bound {
				t.Errorf("%s, read as %v: late by %v, %v worked out:%s\nshortest:%s",
					class.name, r, worst.lateBy, bound, formatHistory(worst.sequence), formatHistory(worst.shortest))
			}
			// What was lost, not how late that is, is the measure of how near the draws have come.
			lost := bound + allowances[r] + 500*time.Millisecond + applySlack
			if bound-worst.lateBy > lost/3+5*time.Millisecond {
				t.Errorf("%s, read as %v: late by %v at worst, %v worked out: a part of what can happen isn't drawn",
					class.name, r, worst.lateBy, bound)
			}
		}
	}
}
