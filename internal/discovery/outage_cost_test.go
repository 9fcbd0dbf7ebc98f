package discovery

import (
	"fmt"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/nettest"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// outage is what a fleetService does to its directors during an outage.
type outage int

// String returns the name of the outage in the output of the tests.
func (o outage) String() string {
	return [...]string{"stopped", "refused", "flapping", "closing", "unanswered"}[o]
}

const (
	outageStopped    outage = iota // open watches and new ones stay open, and nothing is sent on them
	outageRefused                  // open watches are closed, and dials are refused
	outageFlapping                 // each watch is closed flapAge after it was opened, with a heartbeat before
	outageClosing                  // the same without a heartbeat
	outageUnanswered               // open watches stay open and silent, and dials are not answered

	outageCount
)

// Times of the runs of TestCallsAndConnectionsAreBounded.
const (
	quietTime  = 8 * time.Second        // before the outage, long enough for a full call budget
	outageTime = 30 * time.Second       // of the outage
	flapAge    = 300 * time.Millisecond // age at which a flapping service closes a watch
	callTime   = time.Millisecond       // until a dial succeeds or is refused

	spreadInterval = 100 * time.Millisecond
)

// fleetService is a fake discovery service of a fleet of directors. It counts calls and open connections.
type fleetService struct {
	timers  timer.Queue
	now     routing.Time
	outage  outage
	begin   routing.Time // of the outage
	members []*fleetMember
	calls   []routing.Time // times of all calls during the outage, in order
}

// fleetMember is one director of the fleet, and the dialer and sink of its watcher.
type fleetMember struct {
	service  *fleetService
	watcher  *Watcher
	calls    int          // during the outage
	open     []*fleetConn // including dials that are not answered yet
	mostOpen int          // connections and dials at once
}

// fleetConn is the service's side of a connection.
type fleetConn struct {
	nettest.FakeConn
	member *fleetMember
	watch  *watch
}

// Close implements eventloop.Conn.
func (c *fleetConn) Close() error {
	c.member.remove(c)
	return nil
}

// UpdateEndpoints implements Sink.
func (m *fleetMember) UpdateEndpoints(bool, uint64, []director.Endpoint) {}

// Purge implements Sink.
func (m *fleetMember) Purge(director.Purge) {}

// Dial implements eventloop.Dialer.
func (m *fleetMember) Dial(_ string, limit time.Duration, stream eventloop.Stream) (cancel func()) {
	service := m.service
	if service.inOutage() {
		m.calls++
		service.calls = append(service.calls, service.now)
	}
	conn := &fleetConn{member: m, watch: stream.(*watch)}
	m.open = append(m.open, conn)
	m.mostOpen = max(m.mostOpen, len(m.open))
	if service.inOutage() && service.outage == outageUnanswered {
		service.timers.ScheduleFunc(service.now+limit, func() { m.fail(conn, os.ErrDeadlineExceeded) })
	} else {
		service.timers.ScheduleFunc(service.now+callTime, func() { m.answer(conn) })
	}
	return func() { m.remove(conn) }
}

// answer refuses a dial or opens its connection.
func (m *fleetMember) answer(conn *fleetConn) {
	if m.service.inOutage() && m.service.outage == outageRefused {
		m.fail(conn, syscall.ECONNREFUSED)
		return
	}
	conn.watch.Opened(conn)
	m.beat(conn)
}

// fail fails a dial that has not been cancelled.
func (m *fleetMember) fail(conn *fleetConn, err error) {
	if slices.Contains(m.open, conn) {
		m.remove(conn)
		conn.watch.Failed(err)
	}
}

// beat sends a heartbeat on an open connection at once and then each second. A flapping or closing service closes the
// connection flapAge after it was opened.
func (m *fleetMember) beat(conn *fleetConn) {
	service := m.service
	if !slices.Contains(m.open, conn) {
		return
	}
	if !service.inOutage() || service.outage == outageFlapping {
		_ = conn.watch.Data([]byte("0\n")) // an error means that the watch has ended
	}
	if service.inOutage() && (service.outage == outageFlapping || service.outage == outageClosing) {
		service.timers.ScheduleFunc(service.now+flapAge, func() { m.end(conn) })
		return
	}
	service.timers.ScheduleFunc(service.now+time.Second, func() { m.beat(conn) })
}

// end closes a connection from the service's side.
func (m *fleetMember) end(conn *fleetConn) {
	if slices.Contains(m.open, conn) {
		m.remove(conn)
		conn.watch.Closed()
	}
}

// remove removes a connection from the open ones.
func (m *fleetMember) remove(conn *fleetConn) {
	m.open = slices.DeleteFunc(m.open, func(open *fleetConn) bool { return open == conn })
}

// newFleetService returns a service and its directors, which have been started.
func newFleetService(kind outage, directors int, seed uint64) *fleetService {
	service := &fleetService{now: 1000 * time.Second, outage: kind}
	service.begin = service.now + quietTime
	limits := testLimits()
	for index := range directors {
		member := &fleetMember{service: service}
		member.watcher = New(Config{
			Limits:   limits,
			Settings: &routing.Settings{},
			Address:  "a",
			Backoff:  NewBackoff(platformConfig(directors, index), seed<<32|uint64(index)),
			Dialer:   member,
			Sink:     member,
			Timers:   &service.timers,
			Now:      func() routing.Time { return service.now },
			Log:      zap.NewNop(),
		})
		service.members = append(service.members, member)
		member.watcher.Start()
	}
	return service
}

// inOutage reports whether the outage has begun.
func (s *fleetService) inOutage() bool { return s.now >= s.begin }

// run runs the service until the end of the outage.
func (s *fleetService) run() {
	s.timers.ScheduleFunc(s.begin, s.closeOpen)
	for {
		at, _ := s.timers.NextDeadline()
		if at > s.begin+outageTime {
			return
		}
		s.now = max(s.now, at)
		s.timers.RunDue(s.now)
	}
}

// closeOpen closes the open connections at the begin of an outage in which they don't stay open.
func (s *fleetService) closeOpen() {
	if s.outage == outageStopped || s.outage == outageUnanswered {
		return
	}
	for _, member := range s.members {
		for _, conn := range slices.Clone(member.open) {
			member.end(conn)
		}
	}
}

// busiest returns the largest number of calls in spreadInterval.
func (s *fleetService) busiest() int {
	most, first := 0, 0
	for i, at := range s.calls {
		for s.calls[first] <= at-spreadInterval {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// An outage of the discovery service costs it bounded calls, which are spread over the fleet, and few connections: a
// service that says nothing has MaxWatchCalls of each director at most, and any other one has one. The budget allows
// maxTokens calls at once and one per tokenInterval; a service that says nothing gets one in 3 s, apart from the first
// ones.
func TestCallsAndConnectionsAreBounded(t *testing.T) {
	const (
		callsIfSilent = maxTokens + int(outageTime/(3*time.Second))
		callsInBudget = maxTokens + int(outageTime/tokenInterval)
	)
	mostCalls := [outageCount]int{callsIfSilent, callsInBudget, callsInBudget, callsInBudget, callsIfSilent}
	mostOpen := [outageCount]int{testLimits().MaxWatchCalls, 1, 1, 1, testLimits().MaxWatchCalls}
	for kind := range outageCount {
		for _, directors := range []int{1, 12, 300} {
			for seed := range uint64(4) {
				service := newFleetService(kind, directors, seed)
				service.run()
				calls, open := 0, 0
				for _, member := range service.members {
					calls = max(calls, member.calls)
					open = max(open, member.mostOpen)
				}
				result := fmt.Sprintf("%v, %d directors, seed %d: at most %d calls and %d connections of a director, "+
					"%.2f calls of each, %d calls in %v", kind, directors, seed, calls, open,
					float64(len(service.calls))/float64(directors), service.busiest(), spreadInterval)
				t.Log(result)
				if calls > mostCalls[kind] || open > mostOpen[kind] {
					t.Errorf("%s; want %d and %d at most", result, mostCalls[kind], mostOpen[kind])
				}
				if most := directors * 3 / 5; directors > 100 && service.busiest() > most {
					t.Errorf("%s; want %d calls in %v at most", result, most, spreadInterval)
				}
			}
		}
	}
}
