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
	"shaleyard/internal/overload"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// Figures of the pages: when what a stream would have told counts as told, and how much later it must be heeded.
const (
	toldBreak = 2 * time.Second
	toldStop  = 4 * time.Second
	toldLate  = 7 * time.Second
	heedSlack = 50 * time.Millisecond
	never     = routing.Time(1 << 62)
)

// reading is one way to read the pages on when a purge counts as told.
type reading int

const (
	fresh  reading = iota // behind the last fault before it counted as told: 2 s for a break, 4 s for a stop
	first                 // behind the first fault since all was told last
	strict                // as fresh, but at the next ask at the latest, whatever comes of that
	late                  // 7 s after it was published, whatever happens
	readings
)

func (r reading) String() string { return [...]string{"fresh", "first", "strict", "late"}[r] }

// class is a class of sequences: what the service does to calls and streams.
type class struct {
	name     string
	broke    bool          // streams that told all break, between events or amid one
	silent   bool          // or stop while they stay open
	vain     int           // asks in a row, at most, whose streams break amid what was missed
	stalled  int           // or that tell nothing more, or nothing at all, at most between two good lines
	refused  int           // dials refused, likewise
	timedOut int           // and timed out, likewise
	late     time.Duration // a dial comes up within this
	burst    int           // calls, at most, between streams that are good for long; 0: any number
	rare     int           // as many times the seeds show its worst case
	bound    [readings]time.Duration
}

// missed is a purge that was not told at once.
type missed struct {
	n         int
	published routing.Time
	told      [readings]routing.Time
	asked     bool
}

// worst is the latest heeding under one reading, and what led to it.
type worst struct {
	by       time.Duration // beyond the time that the rule leaves; less than 0: as much was left
	breaches int
	sequence []happening
	shortest []happening // of those that break the rule
}

// happening is one event of a sequence.
type happening struct {
	at   routing.Time
	text string
}

func (e happening) String() string { return fmt.Sprintf("%.3f %s", e.at.Seconds(), e.text) }

// join adds what came of another run.
func (w *worst) join(other worst) {
	w.breaches += other.breaches
	if other.by > w.by {
		w.by, w.sequence = other.by, other.sequence
	}
	if w.shortest == nil || (other.shortest != nil && len(other.shortest) < len(w.shortest)) {
		w.shortest = other.shortest
	}
}

// judge notes when each purge counts as told, and when it is heard.
type judge struct {
	missed []missed
	fault  routing.Time // when what the last fault left untold counts as told
	first  routing.Time // likewise the first one since all was told
	out    bool         // a fault has come since
	log    []happening  // since all was told
	worst  [readings]worst
}

func (j *judge) note(now routing.Time, text string) { j.log = append(j.log, happening{now, text}) }

// story is what led to the hearing of a purge.
func (j *judge) story(now routing.Time, m missed, r reading) []happening {
	return append(j.log[:len(j.log):len(j.log)],
		happening{now, fmt.Sprintf("hears the purge of %.3f, told at %.3f", m.published.Seconds(), m.told[r].Seconds())})
}

// faulty notes a break or a stop.
func (j *judge) faulty(now routing.Time, allowed time.Duration) {
	j.fault = now + allowed
	for i := range j.missed {
		if m := &j.missed[i]; now < m.told[fresh] {
			m.told[fresh] = j.fault
		}
	}
	if !j.out {
		j.out, j.first = true, j.fault
	}
}

// miss notes a purge that no stream tells as it is published.
func (j *judge) miss(now routing.Time, n int) {
	m := missed{n: n, published: now}
	m.told = [readings]routing.Time{max(now, j.fault), max(now, j.first), max(now, j.fault), now + toldLate}
	j.missed = append(j.missed, m)
}

// ask notes a subscription.
func (j *judge) ask(now routing.Time) {
	for i := range j.missed {
		if m := &j.missed[i]; !m.asked {
			m.asked = true
			m.told[strict] = min(m.told[strict], now)
		}
	}
}

// hear notes that the follower has handed the oldest missed purge on.
func (j *judge) hear(now routing.Time, heed time.Duration) {
	m := j.missed[0]
	j.missed = j.missed[1:]
	for r := range readings {
		by := now - m.told[r] - heed - heedSlack
		w := &j.worst[r]
		if by > w.by {
			w.by, w.sequence = by, j.story(now, m, r)
		}
		if by > 0 {
			w.breaches++
			if w.shortest == nil || len(j.log)+1 < len(w.shortest) {
				w.shortest = j.story(now, m, r)
			}
		}
	}
}

// whole notes that all is told.
func (j *judge) whole() {
	j.out, j.log = false, nil
}

// flapper is a list service whose streams are young when they end. It is the follower's dialler and sink too, and all
// happens on the follower's agenda.
type flapper struct {
	class
	f       *Watcher
	agenda  timer.Queue
	limits  config.Limits
	clock   routing.Time
	rng     *rand.Rand
	judge   judge
	events  int // published
	heard   int // handed on
	live    *flap
	cut     bool // the next event breaks the live stream
	well    bool
	begun   bool // a stream has told all: what was published before it is a matter of the start
	odds    [6]float64
	life    time.Duration
	spent   int // calls since a stream that settled
	vains   int // in a row
	stalls  int
	refusal int
	timeout int
}

// flap is a stream to the flapper.
type flap struct {
	nettest.FakeConn
	s        *stream
	spoke    bool // a good line was told
	stopping bool // it stops behind the next line
}

// Close implements loop.Conn.
func (u *flap) Close() error { return nil }

func newFlapper(c class, directors int, seed uint64) *flapper {
	v := &flapper{class: c, clock: 1000 * time.Second, rng: rand.New(rand.NewPCG(seed, uint64(directors)))}
	v.limits = config.Limits{MaxWatchLineBytes: 1000, WatchSilenceTimeout: 1300 * time.Millisecond, MinWatchBackoff: 100 * time.Millisecond, MaxMembers: 2,
		ConnectTimeout: time.Second, DrainApplyWithin: 2 * time.Second, PurgeApplyWithin: 500 * time.Millisecond, WatchCallTime: 500 * time.Millisecond,
		MaxEventDelay: toldLate}
	l := &v.limits
	calls := overload.NewBackoff(overload.BackoffConfig{Directors: directors, DirectorIndex: v.rng.IntN(directors), ApplyWithin: l.DrainApplyWithin, ApplyPurgeWithin: l.PurgeApplyWithin,
		NotifiedAfter: l.MaxEventDelay, SilenceTimeout: l.WatchSilenceTimeout, CallDuration: l.WatchCallTime, MinWait: l.MinWatchBackoff}, seed)
	v.f = New(l, &routing.Settings{}, "a", calls, v, v, &v.agenda, func() routing.Time { return v.clock }, zap.NewNop())
	for i := range v.odds {
		v.odds[i] = []float64{0.05, 0.3, 0.6, 0.95}[v.rng.IntN(4)]
	}
	for r := range v.judge.worst {
		v.judge.worst[r].by = -never
	}
	v.life = []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second}[v.rng.IntN(4)]
	return v
}

// Members implements Sink.
func (v *flapper) UpdateEndpoints(bool, uint64, []director.Endpoint) {}

// Purge implements Sink.
func (v *flapper) Purge(p director.Purge) {
	v.heard = int(p.RemoteIssuedAt / routing.Time(time.Millisecond))
}

// draw is one draw against the run's odds.
func (v *flapper) draw(i int) bool {
	return !v.well && (v.class.burst == 0 || v.spent < v.class.burst) && v.f.EverConnected() && v.begun && v.rng.Float64() < v.odds[i]
}

func (v *flapper) upTo(d time.Duration) time.Duration {
	return time.Duration(v.rng.Float64() * float64(d))
}

// Dial implements loop.Dialer: it draws what becomes of the call.
func (v *flapper) Dial(_ string, timeout time.Duration, to eventloop.Stream) {
	s := to.(*stream)
	v.spent++
	v.judge.note(v.clock, "call")
	fail := func(after time.Duration, err error, text string) {
		v.agenda.ScheduleFunc(v.clock+after, func() {
			v.judge.note(v.clock, "dial "+text)
			s.Failed(err)
		})
	}
	switch {
	case v.refusal < v.refused && v.draw(0):
		v.refusal++
		fail(time.Millisecond, syscall.ECONNREFUSED, "refused")
	case v.timeout < v.timedOut && v.draw(1):
		v.timeout++
		fail(timeout, os.ErrDeadlineExceeded, "timed out")
	default:
		v.agenda.ScheduleFunc(v.clock+time.Millisecond+v.upTo(v.late), func() { v.open(s) })
	}
}

// open is a call that comes up: it is told what it has missed, or a part.
func (v *flapper) open(s *stream) {
	u := &flap{s: s}
	s.Opened(u)
	v.judge.ask(v.clock)
	v.judge.note(v.clock, "asks")
	untold := v.events - v.heard
	switch {
	case v.stalls < v.stalled && v.draw(2):
		v.stalls++
		v.tell(u, v.rng.IntN(2)*v.rng.IntN(untold+1))
		v.stop(u)
	case untold > 0 && v.vains < v.vain && v.draw(3):
		v.vains++
		v.tell(u, v.rng.IntN(untold))
		v.half(u)
	default:
		v.vains = 0
		v.tell(u, untold)
		v.judge.whole()
		v.live, v.begun = u, true
		if untold > 0 {
			v.spoke(u)
		}
		v.beat(u)
		v.end(u)
	}
}

// tell writes so many events that come next, whole.
func (v *flapper) tell(u *flap, events int) {
	for range events {
		if err := u.s.Data(fmt.Appendf(nil, `{"n":%d,"purge":{"group":1,"at":%d}}`+"\n", v.heard+1, v.heard+1)); err != nil {
			panic(err) // the service writes nothing that can't be used
		}
		if len(v.judge.missed) > 0 && v.judge.missed[0].n == v.heard {
			v.judge.hear(v.clock, v.limits.PurgeApplyWithin)
		}
	}
}

// spoke notes a good line of the live stream.
func (v *flapper) spoke(u *flap) {
	u.spoke = true
	v.stalls, v.refusal, v.timeout = 0, 0, 0
	if u.stopping {
		v.stop(u)
	}
}

// half breaks the stream amid the event that comes next.
func (v *flapper) half(u *flap) {
	_ = u.s.Data(fmt.Appendf(nil, `{"n":%d,"purge":{"gr`, v.heard+1))
	v.close(u, "breaks amid an event")
}

// close breaks the stream.
func (v *flapper) close(u *flap, text string) {
	if v.live == u {
		v.live, v.cut = nil, false
	}
	v.judge.note(v.clock, text)
	v.judge.faulty(v.clock, toldBreak)
	u.s.Closed()
}

// stop leaves the stream open and tells no more on it.
func (v *flapper) stop(u *flap) {
	if v.live == u {
		v.live = nil
	}
	v.judge.note(v.clock, "stops")
	v.judge.faulty(v.clock, toldStop)
}

// beat writes the sign of life each second.
func (v *flapper) beat(u *flap) {
	v.agenda.ScheduleFunc(v.clock+time.Second, func() {
		if v.live == u {
			_ = u.s.Data(fmt.Appendf(nil, "%d\n", v.heard))
			v.spoke(u)
			v.beat(u)
		}
	})
}

// end draws when and how a stream that told all ends.
func (v *flapper) end(u *flap) {
	life := v.upTo(v.life)
	switch {
	case v.class.burst > 0 && v.spent >= v.class.burst: // until the budget of calls is whole again
		life += 7 * time.Second
		v.spent = 0
	case v.rng.IntN(12) == 0: // now and then one settles
		life += 3 * time.Second
	}
	silent, amid := v.silent && (!v.broke || v.draw(4)), v.draw(5)
	v.agenda.ScheduleFunc(v.clock+life, func() {
		switch {
		case v.live != u || v.well:
		case silent && (u.spoke || v.stalls < v.stalled):
			if !u.spoke { // nothing was missed and nothing told: for the follower a stall
				v.stalls++
			}
			v.stop(u)
		case silent:
			u.stopping = true
		case amid:
			v.cut = true
		default:
			v.close(u, "breaks")
		}
	})
}

// publish publishes a purge, and the next one soon.
func (v *flapper) publish() {
	v.events++
	switch {
	case v.live != nil && v.cut && !v.well:
		u := v.live
		v.live, v.cut = nil, false
		v.judge.faulty(v.clock, toldBreak)
		v.judge.miss(v.clock, v.events)
		v.half(u)
	case v.live != nil:
		v.tell(v.live, 1)
		v.spoke(v.live)
	default:
		v.judge.miss(v.clock, v.events)
	}
	v.agenda.ScheduleFunc(v.clock+time.Millisecond+v.upTo(160*time.Millisecond), v.publish)
}

// run has the service flap for some time, and then be well until all is told.
func (v *flapper) run(flapping, well time.Duration) {
	v.f.Start()
	v.agenda.ScheduleFunc(v.f.DialTime()+time.Second, v.publish)
	healed, over := v.clock+flapping, v.clock+flapping+well
	v.agenda.ScheduleFunc(healed, func() { v.well = true })
	for {
		at, _ := v.agenda.NextDeadline()
		if at > over {
			return
		}
		v.clock = max(v.clock, at)
		v.agenda.RunDue(v.clock)
	}
}

// bound is the worst case under the readings. A purge is due heed behind when it counts as told; lost is the time
// from the first fault until all is told, which was a break if allowed is 2 s; last is that from the last fault, with
// its own allowance; asked is that from the first ask, if it was in vain.
func bound(lost, allowed, last, lastAllowed, asked time.Duration) [readings]time.Duration {
	const heed = 500*time.Millisecond + heedSlack
	b := [readings]time.Duration{last - lastAllowed, lost - allowed, max(asked, last-lastAllowed), lost - toldLate}
	for r := range b {
		b[r] -= heed
	}
	return b
}

// classes are the classes of sequences, with the worst case of each, worked out from the pace:
//   - A call comes within soon of the end of a stream, or of a refusal, once the budget is spent; while some is left,
//     within quick of a break.
//   - A time-out takes dial, a stall silence; the next call comes within soon, twice that, and so on with each that is
//     not served, and no later than most behind the last one.
//
// docs/lifecycles.md has the figures as a table.
func classes() []class {
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
	breaks := func(n time.Duration) [readings]time.Duration {
		return bound((n+1)*(soon+tick), toldBreak, soon+tick, toldBreak, n*(soon+tick))
	}
	refused := func(n time.Duration) [readings]time.Duration {
		lost := (n + 1) * (soon + tick)
		return bound(lost, toldBreak, lost, toldBreak, 0)
	}
	failed := func(lost time.Duration) [readings]time.Duration { return bound(lost, toldBreak, lost, toldBreak, 0) }
	// A stall behind a stop takes the longer until all is told, but its allowance is longer still.
	stalled := func(lost, last, asked time.Duration) [readings]time.Duration {
		b := bound(lost, toldBreak, last, 0, asked)
		b[late] += silence
		return b
	}
	return []class{
		{name: "breaks", broke: true, bound: breaks(0)},
		{name: "breaks, 1 amid what was missed", broke: true, vain: 1, bound: breaks(1)},
		{name: "breaks, 2 amid", broke: true, vain: 2, bound: breaks(2)},
		{name: "breaks, budget left, 1 amid", broke: true, vain: 1, burst: 2,
			bound: bound(2*(quick+tick), toldBreak, quick+tick, toldBreak, quick+tick)},
		{name: "breaks, calls late", broke: true, late: slow, bound: failed(soon + slow + tick)},
		{name: "breaks, calls late, 1 amid", broke: true, vain: 1, late: slow,
			bound: bound(2*(soon+slow+tick), toldBreak, soon+slow+tick, toldBreak, soon+slow+tick)},
		{name: "stops", silent: true, bound: bound(silence+quick+tick, toldStop, silence+quick+tick, toldStop, 0)},
		{name: "breaks and stops, 1 stalled", broke: true, silent: true, stalled: 1, bound: stalled(
			soon+silence+soon+2*tick, soon+tick-toldBreak, silence+soon+tick)},
		{name: "breaks and stops, 2 stalled", broke: true, silent: true, stalled: 2, bound: stalled(
			soon+silence+soon+silence+2*soon+3*tick, silence+2*soon+tick-toldStop, 2*silence+3*soon+2*tick)},
		{name: "breaks and stops, 3 stalled", broke: true, silent: true, stalled: 3, rare: 5, bound: stalled(
			2*silence+4*soon+most+4*tick, silence+2*soon+most+2*tick-toldStop, 2*silence+3*soon+most+3*tick)},
		{name: "breaks, budget left, 1 refused", broke: true, refused: 1, burst: 2, bound: failed(quick + soon/4 + 2*tick)},
		{name: "breaks, 1 refused", broke: true, refused: 1, bound: refused(1)},
		{name: "breaks, 3 refused", broke: true, refused: 3, bound: refused(3)},
		{name: "breaks, budget left, 1 timed out", broke: true, timedOut: 1, burst: 2, bound: failed(quick + dial + soon + 2*tick)},
		{name: "breaks, 1 timed out", broke: true, timedOut: 1, bound: failed(soon + dial + soon + 2*tick)},
		{name: "breaks, 2 timed out", broke: true, timedOut: 2, bound: failed(2*dial + 4*soon + 3*tick)},
	}
}

// Streams that break or stop when they are young, again and again, dials that fail between them and purges all the time:
// each class of sequences keeps to its worst case, as worked out from the pace, under each reading of when a purge counts
// as told. The worst drawn comes near to it, so that a pace that waits longer is found.
func TestYoungStreamsKeepToTheWorstCase(t *testing.T) {
	const seeds = 12
	for _, c := range classes() {
		var all [readings]worst
		for r := range all {
			all[r].by = -never
		}
		allowances := [readings]time.Duration{toldBreak, toldBreak, 0, toldLate}
		if !c.broke {
			allowances[fresh], allowances[first] = toldStop, toldStop
		}
		for _, directors := range []int{1, 12, 300} {
			for seed := range uint64(max(1, c.rare)) * seeds {
				v := newFlapper(c, directors, seed)
				v.run(20*time.Second, 9*time.Second)
				if len(v.judge.missed) > 0 {
					t.Errorf("%s, %d directors, seed %d: %d purges are not heard 9 s after all is well", c.name, directors, seed, len(v.judge.missed))
				}
				for r := range all {
					all[r].join(v.judge.worst[r])
				}
			}
		}
		for r, w := range all {
			t.Logf("%-34s %-6v worst %7.3f s, worked out %7.3f s, %d late", c.name, reading(r), w.by.Seconds(), c.bound[r].Seconds(), w.breaches)
			if w.by > c.bound[r] {
				t.Errorf("%s, read as %v: late by %v, %v worked out:%s\nshortest:%s", c.name, reading(r), w.by, c.bound[r],
					lines(w.sequence), lines(w.shortest))
			}
			// What was lost, not how late that is, is the measure of how near the draws have come.
			if lost := c.bound[r] + allowances[r] + 500*time.Millisecond + heedSlack; c.bound[r]-w.by > lost/3+5*time.Millisecond {
				t.Errorf("%s, read as %v: late by %v at worst, %v worked out: a part of what can happen isn't drawn", c.name, reading(r), w.by, c.bound[r])
			}
		}
	}
}

// lines are the events of a sequence, one a line.
func lines(sequence []happening) string {
	var b strings.Builder
	for _, h := range sequence {
		b.WriteString("\n\t")
		b.WriteString(h.String())
	}
	return b.String()
}
