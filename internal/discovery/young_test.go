package discovery

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/nettest"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// Figures of the pages: when what a stream would have told counts as told, and how much later it must be heeded.
const (
	notifiedAfterBreak = 2 * time.Second
	notifiedAfterStop  = 4 * time.Second
	notifiedAtLatest   = 7 * time.Second
	applySlack         = 50 * time.Millisecond
	never              = routing.Time(1 << 62)
)

// reading is one way to read the pages on when a purge counts as told.
type reading int

const (
	sinceLastFault   reading = iota // behind the last fault before it counted as told: 2 s for a break, 4 s for a stop
	sinceFirstFault                 // behind the first fault since all was told last
	untilNextRequest                // as fresh, but at the next ask at the latest, whatever comes of that
	sincePublication                // 7 s after it was published, whatever happens
	readingCount
)

func (r reading) String() string { return [...]string{"fresh", "first", "strict", "late"}[r] }

// faultClass is a faultClass of sequences: what the service does to calls and streams.
type faultClass struct {
	name            string
	breaks          bool          // streams that told all break, between events or amid one
	stops           bool          // or stop while they stay open
	maxVainRequests int           // asks in a row, at most, whose streams break amid what was missed
	maxStalls       int           // or that tell nothing more, or nothing at all, at most between two good lines
	maxRefused      int           // dials refused, likewise
	maxTimedOut     int           // and timed out, likewise
	dialDelay       time.Duration // a dial comes up within this
	maxBurst        int           // calls, at most, between streams that are good for long; 0: any number
	seedFactor      int           // as many times the seeds show its worst case
	bound           [readingCount]time.Duration
}

// missedPurge is a purge that was not told at once.
type missedPurge struct {
	revision  int
	published routing.Time
	notified  [readingCount]routing.Time
	requested bool
}

// worstCase is the latest heeding under one reading, and what led to it.
type worstCase struct {
	lateBy   time.Duration // beyond the time that the rule leaves; less than 0: as much was left
	breaches int
	sequence []historyEntry
	shortest []historyEntry // of those that break the rule
}

// historyEntry is one event of a sequence.
type historyEntry struct {
	at   routing.Time
	text string
}

func (e historyEntry) String() string { return fmt.Sprintf("%.3f %s", e.at.Seconds(), e.text) }

// join adds what came of another run.
func (w *worstCase) join(other worstCase) {
	w.breaches += other.breaches
	if other.lateBy > w.lateBy {
		w.lateBy, w.sequence = other.lateBy, other.sequence
	}
	if w.shortest == nil || (other.shortest != nil && len(other.shortest) < len(w.shortest)) {
		w.shortest = other.shortest
	}
}

// deadlineChecker notes when each purge counts as told, and when it is heard.
type deadlineChecker struct {
	missed             []missedPurge
	lastFaultNotified  routing.Time   // when what the last fault left untold counts as told
	firstFaultNotified routing.Time   // likewise the first one since all was told
	out                bool           // a fault has come since
	history            []historyEntry // since all was told
	worst              [readingCount]worstCase
}

func (j *deadlineChecker) note(now routing.Time, text string) {
	j.history = append(j.history, historyEntry{now, text})
}

// historyUntil is what led to the hearing of a purge.
func (j *deadlineChecker) historyUntil(now routing.Time, m missedPurge, r reading) []historyEntry {
	return append(j.history[:len(j.history):len(j.history)],
		historyEntry{now, fmt.Sprintf("hears the purge of %.3f, told at %.3f", m.published.Seconds(), m.notified[r].Seconds())})
}

// recordFault notes a break or a stop.
func (j *deadlineChecker) recordFault(now routing.Time, allowed time.Duration) {
	j.lastFaultNotified = now + allowed
	for i := range j.missed {
		if m := &j.missed[i]; now < m.notified[sinceLastFault] {
			m.notified[sinceLastFault] = j.lastFaultNotified
		}
	}
	if !j.out {
		j.out, j.firstFaultNotified = true, j.lastFaultNotified
	}
}

// recordMissed notes a purge that no stream tells as it is published.
func (j *deadlineChecker) recordMissed(now routing.Time, n int) {
	m := missedPurge{revision: n, published: now}
	m.notified = [readingCount]routing.Time{max(now, j.lastFaultNotified), max(now, j.firstFaultNotified), max(now, j.lastFaultNotified), now + notifiedAtLatest}
	j.missed = append(j.missed, m)
}

// recordRequest notes a subscription.
func (j *deadlineChecker) recordRequest(now routing.Time) {
	for i := range j.missed {
		if m := &j.missed[i]; !m.requested {
			m.requested = true
			m.notified[untilNextRequest] = min(m.notified[untilNextRequest], now)
		}
	}
}

// recordApplied notes that the follower has handed the oldest missed purge on.
func (j *deadlineChecker) recordApplied(now routing.Time, heed time.Duration) {
	m := j.missed[0]
	j.missed = j.missed[1:]
	for r := range readingCount {
		by := now - m.notified[r] - heed - applySlack
		w := &j.worst[r]
		if by > w.lateBy {
			w.lateBy, w.sequence = by, j.historyUntil(now, m, r)
		}
		if by > 0 {
			w.breaches++
			if w.shortest == nil || len(j.history)+1 < len(w.shortest) {
				w.shortest = j.historyUntil(now, m, r)
			}
		}
	}
}

// recordComplete notes that all is told.
func (j *deadlineChecker) recordComplete() {
	j.out, j.history = false, nil
}

// flappingService is a list service whose streams are young when they end. It is the follower's dialler and sink too, and all
// happens on the follower's agenda.
type flappingService struct {
	faultClass
	watcher           *Watcher
	timers            timer.Queue
	limits            config.Limits
	clock             routing.Time
	rng               *rand.Rand
	checker           deadlineChecker
	published         int // published
	applied           int // handed on
	live              *flappingWatch
	breakOnNextEvent  bool // the next event breaks the live stream
	healthy           bool
	completedOnce     bool // a stream has told all: what was published before it is a matter of the start
	probabilities     [6]float64
	life              time.Duration
	callsSinceSettled int // calls since a stream that settled
	vainRequests      int // in a row
	stalls            int
	refusals          int
	timeouts          int
}

// flappingWatch is a stream to the flapper.
type flappingWatch struct {
	nettest.FakeConn
	watch    *watch
	spoke    bool // a good line was told
	stopping bool // it stops behind the next line
}

// Close implements loop.Conn.
func (u *flappingWatch) Close() error { return nil }

func newFlappingService(c faultClass, directors int, seed uint64) *flappingService {
	v := &flappingService{faultClass: c, clock: 1000 * time.Second, rng: rand.New(rand.NewPCG(seed, uint64(directors)))}
	v.limits = config.Limits{MaxWatchLineBytes: 1000, WatchSilenceTimeout: 1300 * time.Millisecond, MinWatchBackoff: 100 * time.Millisecond, MaxMembers: 2,
		ConnectTimeout: time.Second, DrainApplyWithin: 2 * time.Second, PurgeApplyWithin: 500 * time.Millisecond, WatchCallTime: 500 * time.Millisecond,
		MaxEventDelay: notifiedAtLatest}
	l := &v.limits
	calls := NewBackoff(BackoffConfig{Directors: directors, DirectorIndex: v.rng.IntN(directors), ApplyWithin: l.DrainApplyWithin, ApplyPurgeWithin: l.PurgeApplyWithin,
		NotifiedAfter: l.MaxEventDelay, SilenceTimeout: l.WatchSilenceTimeout, CallDuration: l.WatchCallTime, MinWait: l.MinWatchBackoff}, seed)
	v.watcher = New(l, &routing.Settings{}, "a", calls, v, v, &v.timers, func() routing.Time { return v.clock }, zap.NewNop())
	for i := range v.probabilities {
		v.probabilities[i] = []float64{0.05, 0.3, 0.6, 0.95}[v.rng.IntN(4)]
	}
	for r := range v.checker.worst {
		v.checker.worst[r].lateBy = -never
	}
	v.life = []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second}[v.rng.IntN(4)]
	return v
}

// Members implements Sink.
func (v *flappingService) UpdateEndpoints(bool, uint64, []director.Endpoint) {}

// Purge implements Sink.
func (v *flappingService) Purge(p director.Purge) {
	v.applied = int(p.RemoteIssuedAt / routing.Time(time.Millisecond))
}

// draw is one draw against the run's odds.
func (v *flappingService) draw(i int) bool {
	return !v.healthy && (v.faultClass.maxBurst == 0 || v.callsSinceSettled < v.faultClass.maxBurst) && v.watcher.EverConnected() && v.completedOnce && v.rng.Float64() < v.probabilities[i]
}

func (v *flappingService) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(v.rng.Float64() * float64(d))
}

// Dial implements loop.Dialer: it draws what becomes of the call.
func (v *flappingService) Dial(_ string, timeout time.Duration, to eventloop.Stream) {
	s := to.(*watch)
	v.callsSinceSettled++
	v.checker.note(v.clock, "call")
	fail := func(after time.Duration, err error, text string) {
		v.timers.ScheduleFunc(v.clock+after, func() {
			v.checker.note(v.clock, "dial "+text)
			s.Failed(err)
		})
	}
	switch {
	case v.refusals < v.maxRefused && v.draw(0):
		v.refusals++
		fail(time.Millisecond, syscall.ECONNREFUSED, "refused")
	case v.timeouts < v.maxTimedOut && v.draw(1):
		v.timeouts++
		fail(timeout, os.ErrDeadlineExceeded, "timed out")
	default:
		v.timers.ScheduleFunc(v.clock+time.Millisecond+v.randomUpTo(v.dialDelay), func() { v.open(s) })
	}
}

// open is a call that comes up: it is told what it has missed, or a part.
func (v *flappingService) open(s *watch) {
	u := &flappingWatch{watch: s}
	s.Opened(u)
	v.checker.recordRequest(v.clock)
	v.checker.note(v.clock, "asks")
	untold := v.published - v.applied
	switch {
	case v.stalls < v.maxStalls && v.draw(2):
		v.stalls++
		v.sendEvents(u, v.rng.IntN(2)*v.rng.IntN(untold+1))
		v.stopWatch(u)
	case untold > 0 && v.vainRequests < v.maxVainRequests && v.draw(3):
		v.vainRequests++
		v.sendEvents(u, v.rng.IntN(untold))
		v.breakAmidEvent(u)
	default:
		v.vainRequests = 0
		v.sendEvents(u, untold)
		v.checker.recordComplete()
		v.live, v.completedOnce = u, true
		if untold > 0 {
			v.recordUsableLine(u)
		}
		v.scheduleHeartbeat(u)
		v.scheduleEnd(u)
	}
}

// sendEvents writes so many events that come next, whole.
func (v *flappingService) sendEvents(u *flappingWatch, events int) {
	for range events {
		if err := u.watch.Data(fmt.Appendf(nil, `{"n":%d,"purge":{"group":1,"at":%d}}`+"\n", v.applied+1, v.applied+1)); err != nil {
			panic(err) // the service writes nothing that can't be used
		}
		if len(v.checker.missed) > 0 && v.checker.missed[0].revision == v.applied {
			v.checker.recordApplied(v.clock, v.limits.PurgeApplyWithin)
		}
	}
}

// recordUsableLine notes a good line of the live stream.
func (v *flappingService) recordUsableLine(u *flappingWatch) {
	u.spoke = true
	v.stalls, v.refusals, v.timeouts = 0, 0, 0
	if u.stopping {
		v.stopWatch(u)
	}
}

// breakAmidEvent breaks the stream amid the event that comes next.
func (v *flappingService) breakAmidEvent(u *flappingWatch) {
	_ = u.watch.Data(fmt.Appendf(nil, `{"n":%d,"purge":{"gr`, v.applied+1))
	v.breakWatch(u, "breaks amid an event")
}

// breakWatch breaks the stream.
func (v *flappingService) breakWatch(u *flappingWatch, text string) {
	if v.live == u {
		v.live, v.breakOnNextEvent = nil, false
	}
	v.checker.note(v.clock, text)
	v.checker.recordFault(v.clock, notifiedAfterBreak)
	u.watch.Closed()
}

// stopWatch leaves the stream open and tells no more on it.
func (v *flappingService) stopWatch(u *flappingWatch) {
	if v.live == u {
		v.live = nil
	}
	v.checker.note(v.clock, "stops")
	v.checker.recordFault(v.clock, notifiedAfterStop)
}

// scheduleHeartbeat writes the sign of life each second.
func (v *flappingService) scheduleHeartbeat(u *flappingWatch) {
	v.timers.ScheduleFunc(v.clock+time.Second, func() {
		if v.live == u {
			_ = u.watch.Data(fmt.Appendf(nil, "%d\n", v.applied))
			v.recordUsableLine(u)
			v.scheduleHeartbeat(u)
		}
	})
}

// scheduleEnd draws when and how a stream that told all ends.
func (v *flappingService) scheduleEnd(u *flappingWatch) {
	life := v.randomUpTo(v.life)
	switch {
	case v.faultClass.maxBurst > 0 && v.callsSinceSettled >= v.faultClass.maxBurst: // until the budget of calls is whole again
		life += 7 * time.Second
		v.callsSinceSettled = 0
	case v.rng.IntN(12) == 0: // now and then one settles
		life += 3 * time.Second
	}
	silent, amid := v.stops && (!v.breaks || v.draw(4)), v.draw(5)
	v.timers.ScheduleFunc(v.clock+life, func() {
		switch {
		case v.live != u || v.healthy:
		case silent && (u.spoke || v.stalls < v.maxStalls):
			if !u.spoke { // nothing was missed and nothing told: for the follower a stall
				v.stalls++
			}
			v.stopWatch(u)
		case silent:
			u.stopping = true
		case amid:
			v.breakOnNextEvent = true
		default:
			v.breakWatch(u, "breaks")
		}
	})
}

// publish publishes a purge, and the next one soon.
func (v *flappingService) publish() {
	v.published++
	switch {
	case v.live != nil && v.breakOnNextEvent && !v.healthy:
		u := v.live
		v.live, v.breakOnNextEvent = nil, false
		v.checker.recordFault(v.clock, notifiedAfterBreak)
		v.checker.recordMissed(v.clock, v.published)
		v.breakAmidEvent(u)
	case v.live != nil:
		v.sendEvents(v.live, 1)
		v.recordUsableLine(v.live)
	default:
		v.checker.recordMissed(v.clock, v.published)
	}
	v.timers.ScheduleFunc(v.clock+time.Millisecond+v.randomUpTo(160*time.Millisecond), v.publish)
}

// run has the service flap for some time, and then be well until all is told.
func (v *flappingService) run(flapping, well time.Duration) {
	v.watcher.Start()
	v.timers.ScheduleFunc(v.watcher.DialTime()+time.Second, v.publish)
	healed, over := v.clock+flapping, v.clock+flapping+well
	v.timers.ScheduleFunc(healed, func() { v.healthy = true })
	for {
		at, _ := v.timers.NextDeadline()
		if at > over {
			return
		}
		v.clock = max(v.clock, at)
		v.timers.RunDue(v.clock)
	}
}

// worstCaseBound is the worst case under the readings. A purge is due heed behind when it counts as told; lost is the time
// from the first fault until all is told, which was a break if allowed is 2 s; last is that from the last fault, with
// its own allowance; asked is that from the first ask, if it was in vain.
func worstCaseBound(lost, allowed, last, lastAllowed, asked time.Duration) [readingCount]time.Duration {
	const heed = 500*time.Millisecond + applySlack
	b := [readingCount]time.Duration{last - lastAllowed, lost - allowed, max(asked, last-lastAllowed), lost - notifiedAtLatest}
	for r := range b {
		b[r] -= heed
	}
	return b
}

// faultClasses are the faultClasses of sequences, with the worst case of each, worked out from the pace:
//   - A call comes within soon of the end of a stream, or of a refusal, once the budget is spent; while some is left,
//     within quick of a break.
//   - A time-out takes dial, a stall silence; the next call comes within soon, twice that, and so on with each that is
//     not served, and no later than most behind the last one.
//
// docs/lifecycles.md has the figures as a table.
func faultClasses() []faultClass {
	const (
		ms      = time.Millisecond
		quick   = 400 * ms
		soon    = 1500 * ms
		silence = 1300 * ms
		dial    = time.Second
		most    = 7 * time.Second
		tick    = 2 * ms // a dial's own time, twice
		slow    = 500 * ms
	)
	breaks := func(n time.Duration) [readingCount]time.Duration {
		return worstCaseBound((n+1)*(soon+tick), notifiedAfterBreak, soon+tick, notifiedAfterBreak, n*(soon+tick))
	}
	refused := func(n time.Duration) [readingCount]time.Duration {
		lost := (n + 1) * (soon + tick)
		return worstCaseBound(lost, notifiedAfterBreak, lost, notifiedAfterBreak, 0)
	}
	failed := func(lost time.Duration) [readingCount]time.Duration {
		return worstCaseBound(lost, notifiedAfterBreak, lost, notifiedAfterBreak, 0)
	}
	// A stall behind a stop takes the longer until all is told, but its allowance is longer still.
	stalled := func(lost, last, asked time.Duration) [readingCount]time.Duration {
		b := worstCaseBound(lost, notifiedAfterBreak, last, 0, asked)
		b[sincePublication] += silence
		return b
	}
	return []faultClass{
		{name: "breaks", breaks: true, bound: breaks(0)},
		{name: "breaks, 1 amid what was missed", breaks: true, maxVainRequests: 1, bound: breaks(1)},
		{name: "breaks, 2 amid", breaks: true, maxVainRequests: 2, bound: breaks(2)},
		{name: "breaks, budget left, 1 amid", breaks: true, maxVainRequests: 1, maxBurst: 2,
			bound: worstCaseBound(2*(quick+tick), notifiedAfterBreak, quick+tick, notifiedAfterBreak, quick+tick)},
		{name: "breaks, calls late", breaks: true, dialDelay: slow, bound: failed(soon + slow + tick)},
		{name: "breaks, calls late, 1 amid", breaks: true, maxVainRequests: 1, dialDelay: slow,
			bound: worstCaseBound(2*(soon+slow+tick), notifiedAfterBreak, soon+slow+tick, notifiedAfterBreak, soon+slow+tick)},
		{name: "stops", stops: true, bound: worstCaseBound(silence+quick+tick, notifiedAfterStop, silence+quick+tick, notifiedAfterStop, 0)},
		{name: "breaks and stops, 1 stalled", breaks: true, stops: true, maxStalls: 1, bound: stalled(
			soon+silence+soon+2*tick, soon+tick-notifiedAfterBreak, silence+soon+tick)},
		{name: "breaks and stops, 2 stalled", breaks: true, stops: true, maxStalls: 2, bound: stalled(
			soon+silence+soon+silence+2*soon+3*tick, silence+2*soon+tick-notifiedAfterStop, 2*silence+3*soon+2*tick)},
		{name: "breaks and stops, 3 stalled", breaks: true, stops: true, maxStalls: 3, seedFactor: 5, bound: stalled(
			2*silence+4*soon+most+4*tick, silence+2*soon+most+2*tick-notifiedAfterStop, 2*silence+3*soon+most+3*tick)},
		{name: "breaks, budget left, 1 refused", breaks: true, maxRefused: 1, maxBurst: 2, bound: failed(quick + soon/4 + 2*tick)},
		{name: "breaks, 1 refused", breaks: true, maxRefused: 1, bound: refused(1)},
		{name: "breaks, 3 refused", breaks: true, maxRefused: 3, bound: refused(3)},
		{name: "breaks, budget left, 1 timed out", breaks: true, maxTimedOut: 1, maxBurst: 2, bound: failed(quick + dial + soon + 2*tick)},
		{name: "breaks, 1 timed out", breaks: true, maxTimedOut: 1, bound: failed(soon + dial + soon + 2*tick)},
		{name: "breaks, 2 timed out", breaks: true, maxTimedOut: 2, bound: failed(2*dial + 4*soon + 3*tick)},
	}
}

// Streams that break or stop when they are young, again and again, dials that fail between them and purges all the time:
// each class of sequences keeps to its worst case, as worked out from the pace, under each reading of when a purge counts
// as told. The worst drawn comes near to it, so that a pace that waits longer is found.
func TestYoungStreamsKeepToTheWorstCase(t *testing.T) {
	const seeds = 12
	for _, c := range faultClasses() {
		var all [readingCount]worstCase
		for r := range all {
			all[r].lateBy = -never
		}
		allowances := [readingCount]time.Duration{notifiedAfterBreak, notifiedAfterBreak, 0, notifiedAtLatest}
		if !c.breaks {
			allowances[sinceLastFault], allowances[sinceFirstFault] = notifiedAfterStop, notifiedAfterStop
		}
		for _, directors := range []int{1, 12, 300} {
			for seed := range uint64(max(1, c.seedFactor)) * seeds {
				v := newFlappingService(c, directors, seed)
				v.run(20*time.Second, 9*time.Second)
				if len(v.checker.missed) > 0 {
					t.Errorf("%s, %d directors, seed %d: %d purges are not heard 9 s after all is well", c.name, directors, seed, len(v.checker.missed))
				}
				for r := range all {
					all[r].join(v.checker.worst[r])
				}
			}
		}
		for r, w := range all {
			t.Logf("%-34s %-6v worst %7.3f s, worked out %7.3f s, %d late", c.name, reading(r), w.lateBy.Seconds(), c.bound[r].Seconds(), w.breaches)
			if w.lateBy > c.bound[r] {
				t.Errorf("%s, read as %v: late by %v, %v worked out:%s\nshortest:%s", c.name, reading(r), w.lateBy, c.bound[r],
					formatHistory(w.sequence), formatHistory(w.shortest))
			}
			// What was lost, not how late that is, is the measure of how near the draws have come.
			if lost := c.bound[r] + allowances[r] + 500*time.Millisecond + applySlack; c.bound[r]-w.lateBy > lost/3+5*time.Millisecond {
				t.Errorf("%s, read as %v: late by %v at worst, %v worked out: a part of what can happen isn't drawn", c.name, reading(r), w.lateBy, c.bound[r])
			}
		}
	}
}

// formatHistory are the events of a sequence, one a line.
func formatHistory(sequence []historyEntry) string {
	var b strings.Builder
	for _, h := range sequence {
		b.WriteString("\n\t")
		b.WriteString(h.String())
	}
	return b.String()
}
