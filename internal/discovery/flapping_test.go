package discovery

import (
	"testing"
	"time"
)

// worstCaseBound returns the longest time by which a purge may miss its deadline, for each of the interpretations of
// the rule on when a purge counts as notified. The deadline is 0.5 s plus applySlack after that time. A negative bound
// means that no purge misses its deadline.
//
// Three parameters are the times until the service has sent all missed events:
//   - lost: from the first fault.
//   - last: from the last fault.
//   - requested: from the first subscription, if its replay fails; 0 otherwise.
//
// Two parameters are the times after which purges that a fault cut off count as notified, 2 s for a break and 4 s for a
// stop:
//   - allowed: after the first fault.
//   - lastAllowed: after the last fault.
func worstCaseBound(lost, allowed, last, lastAllowed, requested time.Duration) [interpretationCount]time.Duration {
	const applyWithin = 500*time.Millisecond + applySlack
	bound := [interpretationCount]time.Duration{
		sinceLastFault:   last - lastAllowed,
		sinceFirstFault:  lost - allowed,
		untilNextRequest: max(requested, last-lastAllowed),
		sincePublication: lost - notifiedAtLatest,
	}
	for interp := range bound {
		bound[interp] -= applyWithin
	}
	return bound
}

// Times of the backoff for the parameters that flappingService uses.
const (
	waitAfterBreak = 400 * time.Millisecond  // longest wait after a break while tokens are left
	waitWhileDown  = 1500 * time.Millisecond // longest wait after a break or a refusal
	longestWait    = 7 * time.Second         // longest time from one call to the next
	silenceTime    = 1300 * time.Millisecond // SilenceTimeout
	dialTimeout    = time.Second             // ConnectTimeout
	dialTime       = 2 * time.Millisecond    // twice the 1 ms that a dial takes if it is not slow
	slowDial       = 500 * time.Millisecond  // additional time of a slow dial
)

// breakBound returns the longest time by which a purge may miss its deadline if up-to-date watches, which have received
// all missed events, break, and up to interruptedReplays consecutive replays are interrupted after each break. The call
// budget is assumed to be spent, so each wait takes up to waitWhileDown. The result has one bound for each of the four
// interpretations of the rule on when a purge counts as notified (type interpretation). interruptedReplays is a count;
// its type is time.Duration only because it multiplies durations.
func breakBound(interruptedReplays time.Duration) [interpretationCount]time.Duration {
	const call = waitWhileDown + dialTime
	return worstCaseBound(
		(interruptedReplays+1)*call, notifiedAfterBreak,
		call, notifiedAfterBreak,
		interruptedReplays*call)
}

// failureBound returns the longest time by which a purge may miss its deadline, for each interpretation, if dials after
// a break fail or are slow. lost is the time from the break until the service has sent all missed events.
func failureBound(lost time.Duration) [interpretationCount]time.Duration {
	return worstCaseBound(lost, notifiedAfterBreak, lost, notifiedAfterBreak, 0)
}

// stallBound returns the longest time by which a purge may miss its deadline, for each interpretation, if replays
// stall. lost and requested are as for worstCaseBound. A stall is no fault of its own, so the last fault is the first.
//
// The first fault is either a break or a stop. A stop delays the missed events by a further silenceTime (1.3 s), but
// the purges also count as notified 2 s later than after a break, so lost is the time from a break. Under
// sincePublication a purge does not count as notified later after a stop than after a break, so its bound is longer by
// silenceTime.
func stallBound(lost, requested time.Duration) [interpretationCount]time.Duration {
	bound := worstCaseBound(lost, notifiedAfterBreak, lost, notifiedAfterBreak, requested)
	bound[sincePublication] += silenceTime
	return bound
}

// faultClasses returns all fault classes, each with its worst case as calculated from the rules of the backoff:
//   - While tokens are left, a call is made within waitAfterBreak after a break. Once the budget is spent, a call is
//     made within waitWhileDown after the end of a watch or after a refusal.
//   - A timeout takes dialTimeout, a stall takes silenceTime. The next call is made within waitWhileDown after the
//     first of them, within twice that after the second, and so on, but within longestWait after the previous call.
//
// docs/lifecycles.md has the results as a table.
func faultClasses() []faultClass {
	const (
		short = waitAfterBreak
		long  = waitWhileDown
		dial  = dialTime
	)
	return []faultClass{
		{name: "breaks", breaks: true, bound: breakBound(0)},
		{name: "breaks, 1 interrupted replay", breaks: true, maxInterruptedReplays: 1, bound: breakBound(1)},
		{name: "breaks, 2 interrupted", breaks: true, maxInterruptedReplays: 2, bound: breakBound(2)},
		{name: "breaks, budget left, 1 interrupted", breaks: true, maxInterruptedReplays: 1, maxBurst: 2,
			bound: worstCaseBound(2*(short+dial), notifiedAfterBreak, short+dial, notifiedAfterBreak, short+dial)},
		{name: "breaks, slow dials", breaks: true, dialDelay: slowDial, bound: failureBound(long + slowDial + dial)},
		{name: "breaks, slow dials, 1 interrupted", breaks: true, maxInterruptedReplays: 1, dialDelay: slowDial,
			bound: worstCaseBound(2*(long+slowDial+dial), notifiedAfterBreak, long+slowDial+dial, notifiedAfterBreak,
				long+slowDial+dial)},
		{name: "stops", stops: true,
			bound: worstCaseBound(
				silenceTime+short+dial, notifiedAfterStop,
				silenceTime+short+dial, notifiedAfterStop,
				0)},
		{name: "breaks and stops, 1 stalled", breaks: true, stops: true, maxStalls: 1,
			bound: stallBound(long+silenceTime+long+2*dial, silenceTime+long+dial)},
		{name: "breaks and stops, 2 stalled", breaks: true, stops: true, maxStalls: 2,
			bound: stallBound(
				long+silenceTime+long+silenceTime+2*long+3*dial,
				2*silenceTime+3*long+2*dial)},
		{name: "breaks and stops, 3 stalled", breaks: true, stops: true, maxStalls: 3, seedFactor: 5,
			bound: stallBound(
				2*silenceTime+4*long+longestWait+4*dial,
				2*silenceTime+3*long+longestWait+3*dial)},
		{name: "breaks, budget left, 1 refused", breaks: true, maxRefused: 1, maxBurst: 2,
			bound: failureBound(short + long/4 + 2*dial)},
		{name: "breaks, 1 refused", breaks: true, maxRefused: 1, bound: failureBound(2 * (long + dial))},
		{name: "breaks, 3 refused", breaks: true, maxRefused: 3, bound: failureBound(4 * (long + dial))},
		{name: "breaks, budget left, 1 timed out", breaks: true, maxTimedOut: 1, maxBurst: 2,
			bound: failureBound(short + dialTimeout + long + 2*dial)},
		{name: "breaks, 1 timed out", breaks: true, maxTimedOut: 1,
			bound: failureBound(long + dialTimeout + long + 2*dial)},
		{name: "breaks, 2 timed out", breaks: true, maxTimedOut: 2,
			bound: failureBound(2*dialTimeout + 4*long + 3*dial)},
	}
}

// runFaultClass runs a class with several fleet sizes and seeds and returns the worst case under each interpretation.
func runFaultClass(t *testing.T, class faultClass) [interpretationCount]worstCase {
	t.Helper()
	const seeds = 12
	var all [interpretationCount]worstCase
	for interp := range all {
		all[interp].lateBy = -never
	}
	for _, directors := range []int{1, 12, 300} {
		for seed := range uint64(max(1, class.seedFactor)) * seeds {
			service := newFlappingService(class, directors, seed)
			service.run(20*time.Second, 9*time.Second)
			if missed := len(service.checker.missed); missed > 0 {
				t.Errorf("%s, %d directors, seed %d: got %d purges that are not applied 9 s after the recovery, want 0",
					class.name, directors, seed, missed)
			}
			for interp := range all {
				all[interp].merge(service.checker.worst[interp])
			}
		}
	}
	return all
}

// A flapping service breaks or stops its watches soon after they are opened, and fails dials between them, while purges
// are published. In each fault class, no purge may be later than the worst case calculated from the backoff, under each
// interpretation of when a purge counts as notified. The worst result of the random runs must also come close to the
// calculated one, so that the test detects a backoff that waits longer.
func TestFlappingServiceStaysWithinWorstCase(t *testing.T) {
	for _, class := range faultClasses() {
		all := runFaultClass(t, class)
		allowances := [interpretationCount]time.Duration{
			sinceLastFault:   notifiedAfterBreak,
			sinceFirstFault:  notifiedAfterBreak,
			sincePublication: notifiedAtLatest,
		}
		if !class.breaks {
			allowances[sinceLastFault] = notifiedAfterStop
			allowances[sinceFirstFault] = notifiedAfterStop
		}
		for interp := range interpretationCount {
			worst, bound := all[interp], class.bound[interp]
			t.Logf("%-34s %-6v worst %7.3f s, calculated %7.3f s, %d late",
				class.name, interp, worst.lateBy.Seconds(), bound.Seconds(), worst.breaches)
			if worst.lateBy > bound {
				t.Errorf("%s, interpretation %v: got a purge late by %v, want at most %v:%s\nshortest:%s",
					class.name, interp, worst.lateBy, bound,
					formatHistory(worst.sequence), formatHistory(worst.shortest))
			}
			// The tolerance is relative to the time from the fault until all events are sent, as lateness may be near
			// 0.
			lost := bound + allowances[interp] + 500*time.Millisecond + applySlack
			if bound-worst.lateBy > lost/3+5*time.Millisecond {
				t.Errorf("%s, interpretation %v: got at most %v late, want close to %v: the runs miss some sequences",
					class.name, interp, worst.lateBy, bound)
			}
		}
	}
}
