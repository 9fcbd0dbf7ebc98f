package discovery

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/nettest"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// faultClass is a class of sequences: what the service does to calls and watches.
type faultClass struct {
	name            string
	breaks          bool          // watches that sent everything break, between events or amid one
	stops           bool          // or stop while they stay open
	maxVainRequests int           // subscriptions in a row whose watches break amid what was missed
	maxStalls       int           // or that bring nothing more, or nothing at all, between two usable lines
	maxRefused      int           // dials refused, likewise
	maxTimedOut     int           // and timed out, likewise
	dialDelay       time.Duration // a dial succeeds within this
	maxBurst        int           // calls between watches that are usable for long; 0: any number
	seedFactor      int           // as many times the seeds show its worst case
	bound           [readingCount]time.Duration
}

// fault is a kind of fault that the service draws.
type fault int

const (
	faultRefused fault = iota
	faultTimedOut
	faultStalled
	faultVainRequest
	faultStopped // rather than broken
	faultAmidEvent

	faultCount
)

// flappingService is a list service whose watches are young when they end. It is the watcher's dialer and sink too, and
// everything happens on the watcher's timers.
type flappingService struct {
	faults   faultClass
	watcher  *Watcher
	timers   timer.Queue
	limits   config.Limits
	now      routing.Time
	rng      *rand.Rand
	checker  deadlineChecker
	live     *flappingWatch
	healthy  bool
	settings flappingSettings

	published int // latest event
	applied   int // latest event handed to the sink

	breakOnNextEvent  bool // the next event breaks the live watch
	completedOnce     bool // a watch has sent everything: what was published before it is a matter of the start
	callsSinceSettled int  // calls since a watch that settled

	// Faults in a row.
	vainRequests int
	stalls       int
	refusals     int
	timeouts     int
}

// flappingSettings are drawn for each run.
type flappingSettings struct {
	probabilities [faultCount]float64
	maxLife       time.Duration // of a watch
}

// flappingWatch is the service's side of a watch.
type flappingWatch struct {
	nettest.FakeConn
	watch      *watch
	productive bool // a usable line was sent
	stopping   bool // it stops behind the next line
}

// Close implements eventloop.Conn.
func (f *flappingWatch) Close() error { return nil }

func newFlappingService(faults faultClass, directors int, seed uint64) *flappingService {
	s := &flappingService{
		faults: faults,
		now:    1000 * time.Second,
		rng:    rand.New(rand.NewPCG(seed, uint64(directors))),
		limits: config.Limits{
			MaxWatchLineBytes:   1000,
			WatchSilenceTimeout: 1300 * time.Millisecond,
			MinWatchBackoff:     100 * time.Millisecond,
			MaxMembers:          2,
			ConnectTimeout:      time.Second,
			DrainApplyWithin:    2 * time.Second,
			PurgeApplyWithin:    500 * time.Millisecond,
			WatchCallTime:       500 * time.Millisecond,
			MaxEventDelay:       notifiedAtLatest,
		},
	}
	backoff := NewBackoff(BackoffConfig{
		Directors:        directors,
		DirectorIndex:    s.rng.IntN(directors),
		ApplyWithin:      s.limits.DrainApplyWithin,
		ApplyPurgeWithin: s.limits.PurgeApplyWithin,
		NotifiedAfter:    s.limits.MaxEventDelay,
		SilenceTimeout:   s.limits.WatchSilenceTimeout,
		CallDuration:     s.limits.WatchCallTime,
		MinWait:          s.limits.MinWatchBackoff,
	}, seed)
	s.watcher = New(Config{
		Limits:   &s.limits,
		Settings: &routing.Settings{},
		Address:  "a",
		Backoff:  backoff,
		Dialer:   s,
		Sink:     s,
		Timers:   &s.timers,
		Now:      func() routing.Time { return s.now },
		Log:      zap.NewNop(),
	})
	for i := range s.settings.probabilities {
		s.settings.probabilities[i] = []float64{0.05, 0.3, 0.6, 0.95}[s.rng.IntN(4)]
	}
	for r := range s.checker.worst {
		s.checker.worst[r].lateBy = -never
	}
	lives := []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second}
	s.settings.maxLife = lives[s.rng.IntN(4)]
	return s
}

// UpdateEndpoints implements Sink.
func (s *flappingService) UpdateEndpoints(bool, uint64, []director.Endpoint) {}

// Purge implements Sink. The purges' times are their revisions, in milliseconds.
func (s *flappingService) Purge(purge director.Purge) {
	s.applied = int(purge.RemoteIssuedAt / routing.Time(time.Millisecond))
}

// draw draws whether a fault happens.
func (s *flappingService) draw(kind fault) bool {
	if s.healthy || !s.completedOnce || !s.watcher.EverConnected() {
		return false
	}
	if s.faults.maxBurst != 0 && s.callsSinceSettled >= s.faults.maxBurst {
		return false
	}
	return s.rng.Float64() < s.settings.probabilities[kind]
}

func (s *flappingService) randomUpTo(most time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(most))
}

// Dial implements eventloop.Dialer: it draws what becomes of the call.
func (s *flappingService) Dial(_ string, timeout time.Duration, stream eventloop.Stream) {
	dial := stream.(*watch)
	s.callsSinceSettled++
	s.checker.note(s.now, "call")
	switch {
	case s.refusals < s.faults.maxRefused && s.draw(faultRefused):
		s.refusals++
		s.failDial(dial, time.Millisecond, syscall.ECONNREFUSED, "refused")
	case s.timeouts < s.faults.maxTimedOut && s.draw(faultTimedOut):
		s.timeouts++
		s.failDial(dial, timeout, os.ErrDeadlineExceeded, "timed out")
	default:
		delay := time.Millisecond + s.randomUpTo(s.faults.dialDelay)
		s.timers.ScheduleFunc(s.now+delay, func() { s.open(dial) })
	}
}

func (s *flappingService) failDial(dial *watch, after time.Duration, err error, text string) {
	s.timers.ScheduleFunc(s.now+after, func() {
		s.checker.note(s.now, "dial "+text)
		dial.Failed(err)
	})
}

// open has a call succeed: it is sent what it has missed, or a part.
func (s *flappingService) open(dial *watch) {
	opened := &flappingWatch{watch: dial}
	dial.Opened(opened)
	s.checker.recordRequest(s.now)
	s.checker.note(s.now, "asks")
	missed := s.published - s.applied
	switch {
	case s.stalls < s.faults.maxStalls && s.draw(faultStalled):
		s.stalls++
		s.sendEvents(opened, s.rng.IntN(2)*s.rng.IntN(missed+1))
		s.stopWatch(opened)
	case missed > 0 && s.vainRequests < s.faults.maxVainRequests && s.draw(faultVainRequest):
		s.vainRequests++
		s.sendEvents(opened, s.rng.IntN(missed))
		s.breakAmidEvent(opened)
	default:
		s.vainRequests = 0
		s.sendEvents(opened, missed)
		s.checker.recordComplete()
		s.live = opened
		s.completedOnce = true
		if missed > 0 {
			s.recordUsableLine(opened)
		}
		s.scheduleHeartbeat(opened)
		s.scheduleEnd(opened)
	}
}

// sendEvents writes so many events that come next, whole.
func (s *flappingService) sendEvents(to *flappingWatch, events int) {
	for range events {
		revision := s.applied + 1
		line := fmt.Appendf(nil, `{"n":%d,"purge":{"group":1,"at":%d}}`+"\n", revision, revision)
		if err := to.watch.Data(line); err != nil {
			panic(err) // the service writes nothing that can't be used
		}
		if len(s.checker.missed) > 0 && s.checker.missed[0].revision == s.applied {
			s.checker.recordApplied(s.now, s.limits.PurgeApplyWithin)
		}
	}
}

// recordUsableLine records that the live watch was sent a usable line.
func (s *flappingService) recordUsableLine(to *flappingWatch) {
	to.productive = true
	s.stalls = 0
	s.refusals = 0
	s.timeouts = 0
	if to.stopping {
		s.stopWatch(to)
	}
}

// breakAmidEvent breaks the watch amid the event that comes next.
func (s *flappingService) breakAmidEvent(to *flappingWatch) {
	_ = to.watch.Data(fmt.Appendf(nil, `{"n":%d,"purge":{"gr`, s.applied+1)) // An error says that the watch has ended.
	s.breakWatch(to, "breaks amid an event")
}

// breakWatch closes the watch.
func (s *flappingService) breakWatch(ended *flappingWatch, text string) {
	if s.live == ended {
		s.live = nil
		s.breakOnNextEvent = false
	}
	s.checker.note(s.now, text)
	s.checker.recordFault(s.now, notifiedAfterBreak)
	ended.watch.Closed()
}

// stopWatch leaves the watch open and sends nothing more on it.
func (s *flappingService) stopWatch(stopped *flappingWatch) {
	if s.live == stopped {
		s.live = nil
	}
	s.checker.note(s.now, "stops")
	s.checker.recordFault(s.now, notifiedAfterStop)
}

// scheduleHeartbeat sends a heartbeat each second.
func (s *flappingService) scheduleHeartbeat(to *flappingWatch) {
	s.timers.ScheduleFunc(s.now+time.Second, func() {
		if s.live != to {
			return
		}
		_ = to.watch.Data(fmt.Appendf(nil, "%d\n", s.applied)) // An error says that the watch has ended.
		s.recordUsableLine(to)
		s.scheduleHeartbeat(to)
	})
}

// scheduleEnd draws when and how a watch that sent everything ends.
func (s *flappingService) scheduleEnd(ending *flappingWatch) {
	life := s.randomUpTo(s.settings.maxLife)
	switch {
	case s.faults.maxBurst > 0 && s.callsSinceSettled >= s.faults.maxBurst: // until the budget of calls is whole again
		life += 7 * time.Second
		s.callsSinceSettled = 0
	case s.rng.IntN(12) == 0: // now and then one settles
		life += 3 * time.Second
	}
	stops := s.faults.stops && (!s.faults.breaks || s.draw(faultStopped))
	amidEvent := s.draw(faultAmidEvent)
	s.timers.ScheduleFunc(s.now+life, func() {
		switch {
		case s.live != ending || s.healthy:
		case stops && (ending.productive || s.stalls < s.faults.maxStalls):
			if !ending.productive { // nothing was missed and nothing sent: for the watcher a stall
				s.stalls++
			}
			s.stopWatch(ending)
		case stops:
			ending.stopping = true
		case amidEvent:
			s.breakOnNextEvent = true
		default:
			s.breakWatch(ending, "breaks")
		}
	})
}

// publish publishes a purge, and the next one soon.
func (s *flappingService) publish() {
	s.published++
	switch {
	case s.live != nil && s.breakOnNextEvent && !s.healthy:
		broken := s.live
		s.live = nil
		s.breakOnNextEvent = false
		s.checker.recordFault(s.now, notifiedAfterBreak)
		s.checker.recordMissed(s.now, s.published)
		s.breakAmidEvent(broken)
	case s.live != nil:
		s.sendEvents(s.live, 1)
		s.recordUsableLine(s.live)
	default:
		s.checker.recordMissed(s.now, s.published)
	}
	s.timers.ScheduleFunc(s.now+time.Millisecond+s.randomUpTo(160*time.Millisecond), s.publish)
}

// run has the service flap for some time, and then be healthy until everything is applied.
func (s *flappingService) run(flapping, healthy time.Duration) {
	s.watcher.Start()
	s.timers.ScheduleFunc(s.watcher.DialTime()+time.Second, s.publish)
	healedAt := s.now + flapping
	end := healedAt + healthy
	s.timers.ScheduleFunc(healedAt, func() { s.healthy = true })
	for {
		at, _ := s.timers.NextDeadline()
		if at > end {
			return
		}
		s.now = max(s.now, at)
		s.timers.RunDue(s.now)
	}
}
