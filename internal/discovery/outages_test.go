package discovery

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/nettest"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// outageRuns is the number of runs of TestOutagesDelayNoEvent for each size of the fleet. By hand:
//
//	go test ./internal/discovery -run TestOutagesDelayNoEvent -outage-runs 20000 -timeout 60m
var outageRuns = flag.Int("outage-runs", 60, "runs of TestOutagesDelayNoEvent for each size of the fleet")

// Times of the runs of TestOutagesDelayNoEvent.
const (
	outagesPerRun   = 3
	stableTime      = 7 * time.Second         // before each outage, long enough for a full call budget
	recoveryTime    = 7 * time.Second         // after each outage
	longestPhase    = 2500 * time.Millisecond // between two faults of an outage
	purgeInterval   = 50 * time.Millisecond   // between two published events
	reconnectTime   = 500 * time.Millisecond  // for which the service must be well until it must have been called
	applyPurgeTime  = 500*time.Millisecond + applySlack
	connectDuration = time.Millisecond
)

// resumption tells which connections the service sends on when a stop ends.
type resumption int

const (
	resumesAll    resumption = iota
	resumesBefore            // those that were opened before the stop; the others stay silent
	resumesDuring            // those that were opened during the stop; the others stay silent

	resumptionCount
)

// publishedEvent is an event of an outageService with its times; 0 means not yet.
type publishedEvent struct {
	published routing.Time
	sent      routing.Time // on any connection, including those that the director has closed
	applied   routing.Time
	notified  routing.Time // when it counts as notified: a time after the faults before it, whatever comes later
}

// outageConn is the service's side of a connection. The service goes on writing on a connection that the director has
// closed, to record when it would have sent an event.
type outageConn struct {
	nettest.FakeConn
	watch        *watch
	sent         int // revision of the last event sent
	duringStop   bool
	silent       bool // the service sends nothing on it any more
	broken       bool // closed by the service
	directorLeft bool
}

// Close implements eventloop.Conn.
func (c *outageConn) Close() error {
	c.directorLeft = true
	return nil
}

// outageService is a fake discovery service that stops, resumes and breaks all connections. It takes each call, also
// while it is stopped. It is also the watcher's dialer and sink.
type outageService struct {
	timers      timer.Queue
	now         routing.Time
	rng         *rand.Rand
	watcher     *Watcher
	connections []*outageConn
	events      []*publishedEvent
	stopped     bool
	resumption  resumption
	notifyAt    routing.Time // when events missed because of the outage's faults so far count as notified; 0: no fault
	wellSince   routing.Time
	budgetSpent bool // after a break of the outage, fewer calls were left in the budget than make the next one soon
	history     []historyEntry
}

// newOutageService returns a service and a director of a fleet, which has been started.
func newOutageService(directors int, seed uint64) *outageService {
	s := &outageService{now: 1000 * time.Second, rng: rand.New(rand.NewPCG(seed, uint64(directors)))}
	s.watcher = New(Config{
		Limits:   testLimits(),
		Settings: &routing.Settings{},
		Address:  "a",
		Backoff:  NewBackoff(platformConfig(directors, s.rng.IntN(directors)), seed),
		Dialer:   s,
		Sink:     s,
		Timers:   &s.timers,
		Now:      func() routing.Time { return s.now },
		Log:      zap.NewNop(),
	})
	s.watcher.Start()
	s.publish()
	return s
}

// UpdateEndpoints implements Sink.
func (s *outageService) UpdateEndpoints(bool, uint64, []director.Endpoint) {}

// Purge implements Sink. The issue time of each purge is its revision, in milliseconds.
func (s *outageService) Purge(purge director.Purge) {
	revision := int(purge.RemoteIssuedAt / routing.Time(time.Millisecond))
	s.events[revision-1].applied = s.now
}

// Dial implements eventloop.Dialer.
func (s *outageService) Dial(_ string, _ time.Duration, stream eventloop.Stream) (cancel func()) {
	s.record("call")
	s.timers.ScheduleFunc(s.now+connectDuration, func() { s.open(stream.(*watch)) })
	return func() {}
}

// open takes a call.
func (s *outageService) open(dial *watch) {
	conn := &outageConn{watch: dial, duringStop: s.stopped}
	dial.Opened(conn)
	if conn.directorLeft {
		return // a call that is not needed any more
	}
	if _, err := fmt.Sscanf(conn.Written.String(), "SUB %d\n", &conn.sent); err != nil {
		panic(err) // the director subscribes on each connection that it keeps
	}
	s.connections = append(s.connections, conn)
	s.send(conn)
	s.beat(conn)
}

// record appends a step to the history of the outage.
func (s *outageService) record(text string) {
	s.history = append(s.history, historyEntry{at: s.now, text: text})
}

// works reports whether the service sends on a connection.
func (s *outageService) works(conn *outageConn) bool {
	return !s.stopped && !conn.silent && !conn.broken
}

// send sends all events that are missing on a connection.
func (s *outageService) send(conn *outageConn) {
	for s.works(conn) && conn.sent < len(s.events) {
		conn.sent++
		if event := s.events[conn.sent-1]; event.sent == 0 {
			event.sent = s.now
		}
		s.write(conn, purgeLine(conn.sent))
	}
}

// write writes a line unless the director has closed the connection.
func (s *outageService) write(conn *outageConn, line string) {
	if conn.directorLeft {
		return
	}
	if err := conn.watch.Data([]byte(line)); err != nil {
		panic(err) // this service writes no invalid lines
	}
}

// beat sends a heartbeat each second.
func (s *outageService) beat(conn *outageConn) {
	if s.works(conn) {
		s.write(conn, heartbeatLine(conn.sent))
	}
	if !conn.broken {
		s.timers.ScheduleFunc(s.now+time.Second, func() { s.beat(conn) })
	}
}

// publish publishes a purge every purgeInterval.
func (s *outageService) publish() {
	s.events = append(s.events, &publishedEvent{published: s.now, notified: max(s.now, s.notifyAt)})
	for _, conn := range s.connections {
		s.send(conn)
	}
	s.timers.ScheduleFunc(s.now+purgeInterval, s.publish)
}

// stop stops the service: its connections stay open, and it sends nothing.
func (s *outageService) stop() {
	s.record("the service stops")
	s.stopped = true
	s.recordFault(notifiedAfterStop)
}

// resume ends a stop. The service sends what is missing on all connections, or only on some of them.
func (s *outageService) resume() {
	s.record("the service resumes")
	s.stopped = false
	s.wellSince = s.now
	for _, conn := range s.connections {
		conn.silent = conn.silent || (s.resumption == resumesBefore && conn.duringStop) ||
			(s.resumption == resumesDuring && !conn.duringStop)
		conn.duringStop = false
		s.send(conn)
	}
}

// breakAll closes all connections.
func (s *outageService) breakAll() {
	s.record("the service breaks all connections")
	s.recordFault(notifiedAfterBreak)
	broken := s.connections
	s.connections = nil
	for _, conn := range broken {
		conn.broken = true
		if !conn.directorLeft {
			conn.watch.Closed()
		}
	}
	const tokensForSoonCall = 2
	s.budgetSpent = s.budgetSpent || s.watcher.backoff.tokensAt(s.now) < tokensForSoonCall
}

// recordFault records a fault: events that are missed because of it count as notified after the grace time.
func (s *outageService) recordFault(grace time.Duration) {
	s.notifyAt = max(s.notifyAt, s.now+grace)
}

// advance runs the service for a time.
func (s *outageService) advance(duration time.Duration) {
	end := s.now + duration
	for {
		at, _ := s.timers.NextDeadline()
		if at > end {
			s.now = end
			return
		}
		s.now = max(s.now, at)
		s.timers.RunDue(s.now)
	}
}

// runOutage runs a time without faults, then stops, breaks and resumptions in random order, and a time without faults
// again. It returns the events that were published from the outage's begin on.
func (s *outageService) runOutage() []*publishedEvent {
	s.notifyAt = 0
	s.advance(stableTime + s.randomUpTo(time.Second))
	s.history = nil
	s.budgetSpent = false
	s.wellSince = s.now
	s.resumption = resumption(s.rng.IntN(int(resumptionCount)))
	first := len(s.events)
	for range 1 + s.rng.IntN(5) {
		s.fault()
		s.advance(s.randomUpTo(longestPhase))
	}
	if s.stopped {
		s.resume()
	}
	s.advance(recoveryTime)
	return s.events[first:]
}

// fault stops, breaks or resumes the service at random.
func (s *outageService) fault() {
	switch choice := s.rng.IntN(3); {
	case s.stopped && choice == 0:
		s.resume()
	case choice == 1:
		s.breakAll()
		s.wellSince = s.now
	case !s.stopped:
		s.stop()
	default:
		s.breakAll()
	}
}

// randomUpTo returns a random duration between 0 and most.
func (s *outageService) randomUpTo(most time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(most))
}

// check returns an error if an event was applied later than the service sent it on any connection that it had taken, or
// if it was applied too late although the service had been well for reconnectTime and sent on all connections. If the
// budget of calls was spent, it may be late by the time in which one call is added.
func (s *outageService) check(events []*publishedEvent) error {
	for _, event := range events {
		if event.applied == 0 {
			continue // published in the last moments of the run
		}
		if event.applied > event.sent {
			return fmt.Errorf("an event that the service sent at %v was applied at %v, want at once",
				event.sent, event.applied)
		}
		deadline := min(event.notified, event.published+notifiedAtLatest) + applyPurgeTime
		if s.budgetSpent {
			deadline += tokenInterval
		}
		if s.resumption == resumesAll && event.applied > deadline && s.wellSince+reconnectTime <= deadline {
			return fmt.Errorf("an event published at %v was applied at %v, want %v at the latest, as the service was "+
				"well from %v on", event.published, event.applied, deadline, s.wellSince)
		}
	}
	return nil
}

// The service stops while its connections stay open, breaks them, and resumes, in any order and for any time. It
// resumes on all connections that it has taken, or only on those from before or from within the stop. An event is
// applied as soon as the service sends it on any of them: none is missed because the director closed a connection or
// waited. If the service is well again before an event must be applied, the director has called it by then, unless the
// budget of calls is spent. A call on which nothing comes is no stop of its own, and a fault does not postpone what was
// published before it.
func TestOutagesDelayNoEvent(t *testing.T) {
	outages, spent := 0, 0
	for _, directors := range []int{1, 12, 300} {
		for seed := range uint64(*outageRuns) {
			service := newOutageService(directors, seed)
			for range outagesPerRun {
				if err := service.check(service.runOutage()); err != nil {
					t.Fatalf("%d directors, seed %d: %v:%s", directors, seed, err, formatHistory(service.history))
				}
				outages++
				if service.budgetSpent {
					spent++
				}
				for _, conn := range service.connections {
					if !conn.directorLeft && conn.watch.overdue {
						t.Fatalf("%d directors, seed %d: a watch is overdue after the outage:%s", directors, seed,
							formatHistory(service.history))
					}
				}
			}
		}
	}
	t.Logf("the budget was spent in %d of %d outages", spent, outages)
	if spent > outages/20 {
		t.Errorf("got a spent budget in %d of %d outages, want one in 20 at most", spent, outages)
	}
}
