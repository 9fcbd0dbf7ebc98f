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

// faultClass defines which faults a flappingService injects, and the resulting worst case.
//
// A watch is up to date once the service has sent all published events on it. A watch breaks if the service closes it,
// and stops if the service sends nothing more on it but leaves it open. A replay sends the missed events after a
// subscription: it is interrupted if the watch breaks within it, and stalls if the service sends nothing more on it but
// leaves it open. A stall is no fault of its own: it belongs to the break or the stop before it. Nothing is ever sent
// again on a watch that has stopped or stalled; TestOutagesDelayNoEvent has a service that resumes.
type faultClass struct {
	name                  string
	breaks                bool          // up-to-date watches break, between events or within one
	stops                 bool          // up-to-date watches stop
	maxInterruptedReplays int           // consecutive interrupted replays
	maxStalls             int           // stalled replays between two usable lines of up-to-date watches
	maxRefused            int           // refused dials between two such lines
	maxTimedOut           int           // timed out dials between two such lines
	dialDelay             time.Duration // longest additional time until a dial succeeds
	maxBurst              int           // calls between stable watches; 0: any number
	seedFactor            int           // multiple of the usual number of seeds that the worst case needs; 0: 1
	bound                 [interpretationCount]time.Duration
}

// fault is a kind of fault that a flappingService injects at random.
type fault int

const (
	faultRefused fault = iota
	faultTimedOut
	faultStalled           // the replay of missed events stalls
	faultInterruptedReplay // the watch breaks within the replay of missed events
	faultStopped           // an up-to-date watch stops instead of breaking
	faultWithinEvent       // an up-to-date watch breaks within an event instead of between two events

	faultCount
)

// flappingService is a fake discovery service whose watches end soon after they were opened. It is also the watcher's
// dialer and sink, and runs on the watcher's timers.
type flappingService struct {
	faults   faultClass
	watcher  *Watcher
	timers   timer.Queue
	limits   config.Limits
	now      routing.Time
	rng      *rand.Rand
	checker  deadlineChecker
	live     *flappingWatch // up-to-date watch; nil: none
	healthy  bool           // the service injects no more faults
	settings flappingSettings

	published int // revision of the latest published event
	applied   int // revision of the latest event that the sink received

	breakOnNextEvent bool // the live watch breaks within the next event
	completedOnce    bool // a watch has been up to date; no faults are injected before, as they would test the start
	callsSinceStable int  // calls since the latest watch that was given a long lifetime for maxBurst

	// Consecutive faults, see faultClass.
	interruptedReplays int
	stalls             int
	refusals           int
	timeouts           int
}

// flappingSettings holds the random parameters of one run.
type flappingSettings struct {
	probabilities [faultCount]float64
	maxLifetime   time.Duration // longest random lifetime of a watch
}

// flappingWatch is the service's side of a watch.
type flappingWatch struct {
	nettest.FakeConn
	watch    *watch
	usable   bool // a usable line has been sent
	stopping bool // the watch stops after the next line
}

// Close implements eventloop.Conn.
func (f *flappingWatch) Close() error { return nil }

// newFlappingService returns a service and a watcher of one director in a fleet. The watcher has not been started.
func newFlappingService(faults faultClass, directors int, seed uint64) *flappingService {
	s := &flappingService{
		faults: faults,
		now:    1000 * time.Second,
		rng:    rand.New(rand.NewPCG(seed, uint64(directors))),
		limits: *testLimits(),
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
	for interp := range s.checker.worst {
		s.checker.worst[interp].lateBy = -never
	}
	bounds := []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second}
	s.settings.maxLifetime = bounds[s.rng.IntN(4)]
	return s
}

// UpdateEndpoints implements Sink.
func (s *flappingService) UpdateEndpoints(bool, uint64, []director.Endpoint) {}

// Purge implements Sink. The issue time of each purge is its revision, in milliseconds.
func (s *flappingService) Purge(purge director.Purge) {
	s.applied = int(purge.RemoteIssuedAt / routing.Time(time.Millisecond))
}

// draw decides at random whether a fault occurs. No fault occurs while the service is healthy, before a watch has been
// up to date, or after maxBurst calls.
func (s *flappingService) draw(kind fault) bool {
	if s.healthy || !s.completedOnce || !s.watcher.EverConnected() {
		return false
	}
	if s.faults.maxBurst != 0 && s.callsSinceStable >= s.faults.maxBurst {
		return false
	}
	return s.rng.Float64() < s.settings.probabilities[kind]
}

// randomUpTo returns a random duration between 0 and most.
func (s *flappingService) randomUpTo(most time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(most))
}

// Dial implements eventloop.Dialer. The dial is refused, times out or succeeds at random.
func (s *flappingService) Dial(_ string, timeout time.Duration, stream eventloop.Stream) (cancel func()) {
	dial := stream.(*watch)
	s.callsSinceStable++
	s.checker.addHistory(s.now, "call")
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
	return func() {}
}

// failDial schedules the failure of a dial.
func (s *flappingService) failDial(dial *watch, after time.Duration, err error, text string) {
	s.timers.ScheduleFunc(s.now+after, func() {
		s.checker.addHistory(s.now, "dial "+text)
		dial.Failed(err)
	})
}

// open makes a dial succeed and replays the missed events. At random, the replay stalls or is interrupted.
func (s *flappingService) open(dial *watch) {
	opened := &flappingWatch{watch: dial}
	dial.Opened(opened)
	s.checker.recordRequest(s.now)
	s.checker.addHistory(s.now, "subscribes")
	missed := s.published - s.applied
	switch {
	case s.stalls < s.faults.maxStalls && s.draw(faultStalled):
		s.stalls++
		s.sendEvents(opened, s.rng.IntN(2)*s.rng.IntN(missed+1))
		s.checker.addHistory(s.now, "stalls")
	case missed > 0 && s.interruptedReplays < s.faults.maxInterruptedReplays && s.draw(faultInterruptedReplay):
		s.interruptedReplays++
		s.sendEvents(opened, s.rng.IntN(missed))
		s.breakWithinEvent(opened)
	default:
		s.interruptedReplays = 0
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

// sendEvents writes the given number of complete events, starting after the last applied one.
func (s *flappingService) sendEvents(to *flappingWatch, events int) {
	for range events {
		revision := s.applied + 1
		line := fmt.Appendf(nil, `{"n":%d,"purge":{"group":1,"at":%d}}`+"\n", revision, revision)
		if err := to.watch.Data(line); err != nil {
			panic(err) // this service writes no invalid lines
		}
		if len(s.checker.missed) > 0 && s.checker.missed[0].revision == s.applied {
			s.checker.recordApplied(s.now, s.limits.PurgeApplyWithin)
		}
	}
}

// recordUsableLine records that a usable line was sent on the live watch, and stops the watch if it is stopping.
func (s *flappingService) recordUsableLine(to *flappingWatch) {
	to.usable = true
	s.stalls = 0
	s.refusals = 0
	s.timeouts = 0
	if to.stopping {
		s.stopWatch(to)
	}
}

// breakWithinEvent writes the start of the next event and breaks the watch.
func (s *flappingService) breakWithinEvent(to *flappingWatch) {
	_ = to.watch.Data(fmt.Appendf(nil, `{"n":%d,"purge":{"gr`, s.applied+1)) // An error means that the watch has ended.
	s.breakWatch(to, "breaks within an event")
}

// breakWatch closes the watch and records the fault.
func (s *flappingService) breakWatch(ended *flappingWatch, text string) {
	if s.live == ended {
		s.live = nil
		s.breakOnNextEvent = false
	}
	s.checker.addHistory(s.now, text)
	s.checker.recordFault(s.now, notifiedAfterBreak)
	ended.watch.Closed()
}

// stopWatch records that the service sends nothing more on an up-to-date watch, which stays open.
func (s *flappingService) stopWatch(stopped *flappingWatch) {
	if s.live == stopped {
		s.live = nil
	}
	s.checker.addHistory(s.now, "stops")
	s.checker.recordFault(s.now, notifiedAfterStop)
}

// scheduleHeartbeat sends a heartbeat each second while the watch is live.
func (s *flappingService) scheduleHeartbeat(to *flappingWatch) {
	s.timers.ScheduleFunc(s.now+time.Second, func() {
		if s.live != to {
			return
		}
		_ = to.watch.Data(fmt.Appendf(nil, "%d\n", s.applied)) // An error means that the watch has ended.
		s.recordUsableLine(to)
		s.scheduleHeartbeat(to)
	})
}

// scheduleEnd decides at random when and how an up-to-date watch ends.
func (s *flappingService) scheduleEnd(ending *flappingWatch) {
	lifetime := s.randomUpTo(s.settings.maxLifetime)
	switch {
	case s.faults.maxBurst > 0 && s.callsSinceStable >= s.faults.maxBurst: // until the token bucket is full again
		lifetime += 7 * time.Second
		s.callsSinceStable = 0
	case s.rng.IntN(12) == 0: // one of 12 watches becomes stable
		lifetime += 3 * time.Second
	}
	stops := s.faults.stops && (!s.faults.breaks || s.draw(faultStopped))
	withinEvent := s.draw(faultWithinEvent)
	s.timers.ScheduleFunc(s.now+lifetime, func() {
		switch {
		case s.live != ending || s.healthy:
		case stops && (ending.usable || s.stalls < s.faults.maxStalls):
			if !ending.usable { // no event was missed and no line was sent, which the watcher sees as a stall
				s.stalls++
			}
			s.stopWatch(ending)
		case stops:
			ending.stopping = true
		case withinEvent:
			s.breakOnNextEvent = true
		default:
			s.breakWatch(ending, "breaks")
		}
	})
}

// publish publishes a purge, and schedules the next one after a random time of up to 161 ms.
func (s *flappingService) publish() {
	s.published++
	switch {
	case s.live != nil && s.breakOnNextEvent && !s.healthy:
		broken := s.live
		s.live = nil
		s.breakOnNextEvent = false
		s.checker.recordFault(s.now, notifiedAfterBreak)
		s.checker.recordMissed(s.now, s.published)
		s.breakWithinEvent(broken)
	case s.live != nil:
		s.sendEvents(s.live, 1)
		s.recordUsableLine(s.live)
	default:
		s.checker.recordMissed(s.now, s.published)
	}
	s.timers.ScheduleFunc(s.now+time.Millisecond+s.randomUpTo(160*time.Millisecond), s.publish)
}

// run starts the watcher and runs the service: for the duration flapping with faults, then for healthy without any.
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
