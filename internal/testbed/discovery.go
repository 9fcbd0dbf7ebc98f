package testbed

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Modes of the discovery service. Histories hold them, and list.begin in an experiment names one of the first four.
const (
	modeWell       = "well"
	modeDown       = "down"  // refuses connections
	modeHang       = "hang"  // accepts connections but never writes to them
	modeTruncated  = "half"  // writes the first half of the endpoint list, then closes the connection
	modeRolledBack = "older" // no longer has the latest events
	modeStopped    = "stop"  // accepts connections, and writes to no stream, open or new, until it has left this mode
	modeSlow       = "slow"  // never set: the action list-slow keeps modeWell and lowers the capacity factor
)

// discoveryService is the stand-in for the discovery service that every director watches. It is one server with a fixed
// capacity: it serves calls one at a time, in order of arrival, and then keeps an event stream open on each call's
// connection. It listens on a separate address for each director, which identifies the caller of each connection.
type discoveryService struct {
	testbed  *Testbed
	callTime time.Duration // server time that one call takes at full capacity
	maxQueue int           // calls that may wait; further calls are reset

	mu              sync.Mutex
	cond            *sync.Cond // signals stream writers that there may be something to write
	mode            string
	capacityFactor  float64  // share of the full call rate
	forgottenEvents int      // number of latest events that are missing in modeRolledBack
	events          []string // one line each; the first holds the whole endpoint list, and event i has revision i+1
	closed          bool
	queuedCalls     int
	nextFree        time.Time // when the server has served all queued calls
	listeners       map[int]*net.TCPListener
	streams         map[net.Conn]bool // open connections: of event streams, and of queued and hung calls
	flaps           map[int]*flap     // flap that ends a director's streams, by director
	streamCount     map[int]int       // number of streams opened so far, by director
}

// newDiscoveryService returns a discovery service with the capacity that the experiment sets. By default its rate
// lets every director call once within 1.5 s, and its queue holds the calls of one second.
func newDiscoveryService(testbed *Testbed) *discoveryService {
	rate := testbed.experiment.Discovery.CallsPerSecond
	if rate == 0 {
		rate = float64(testbed.experiment.Directors) / 1.5
	}
	service := &discoveryService{
		testbed:        testbed,
		callTime:       time.Duration(float64(time.Second) / rate),
		maxQueue:       testbed.experiment.Discovery.Queue,
		mode:           modeWell,
		capacityFactor: 1,
		listeners:      map[int]*net.TCPListener{},
		streams:        map[net.Conn]bool{},
		flaps:          map[int]*flap{},
		streamCount:    map[int]int{},
	}
	if service.maxQueue == 0 {
		service.maxQueue = int(rate) + 1
	}
	service.cond = sync.NewCond(&service.mu)
	return service
}

// listen opens the listener for a director's calls and returns its address.
func (s *discoveryService) listen(director int) (string, error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: s.testbed.loopbackIP(3, director)})
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.listeners[director] = listener
	s.mu.Unlock()
	go s.accept(director, listener)
	return listener.Addr().String(), nil
}

// accept serves each connection of a director on a goroutine of its own until the listener is closed.
func (s *discoveryService) accept(director int, listener *net.TCPListener) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		go s.serveCall(director, conn)
	}
}

// setMode changes how the service behaves and records the change. modeDown closes the listeners, so that the kernel
// refuses connections; leaving modeDown opens them again. Every mode except modeWell, modeStopped and modeSlow, which
// is never set, also resets all open streams and queued calls. The argument forgottenEvents, the number of latest
// events that the service no longer has, takes effect only in modeRolledBack.
func (s *discoveryService) setMode(mode string, capacityFactor float64, forgottenEvents int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.mode
	s.mode, s.capacityFactor, s.forgottenEvents = mode, capacityFactor, forgottenEvents
	s.testbed.history.record(Event{Kind: "list", What: mode, Value: capacityFactor})
	if previous == modeDown && mode != modeDown {
		if err := s.reopen(); err != nil {
			s.testbed.fail(fmt.Errorf("reopen the discovery service's listeners: %w", err))
			return
		}
	}
	if mode == modeDown {
		for _, listener := range s.listeners {
			_ = listener.Close()
		}
	}
	if mode != modeSlow && mode != modeWell && mode != modeStopped {
		s.resetStreams()
	}
	s.cond.Broadcast()
}

// reopen listens again on the addresses whose listeners setMode closed. The caller holds the lock.
func (s *discoveryService) reopen() error {
	for director, closed := range s.listeners {
		listener, err := net.ListenTCP("tcp", closed.Addr().(*net.TCPAddr))
		if err != nil {
			return err
		}
		s.listeners[director] = listener
		go s.accept(director, listener)
	}
	return nil
}

// resetStreams resets the connections of all queued calls and open streams. The caller holds the lock.
func (s *discoveryService) resetStreams() {
	for conn := range s.streams {
		resetConn(conn)
	}
}

// breakStreams resets all streams once and records it. The service accepts the directors' next calls as before.
func (s *discoveryService) breakStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.testbed.history.record(Event{Kind: "list", What: "break"})
	s.resetStreams()
}

// publish calls build with the next revision to get the line of a new event, appends the line to the service's events
// and wakes the stream writers, which write the line. It records the event in the history. If the service is neither in
// modeWell nor in modeStopped, the record's What gets the suffix " unheard": the checker then counts a director as
// notified when the event is written to the director's stream, not when the event is published.
func (s *discoveryService) publish(build func(revision int) string, event Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := len(s.events) + 1
	s.events = append(s.events, build(revision))
	event.Kind, event.Number = "news", revision
	if s.mode != modeWell && s.mode != modeStopped {
		event.What += " unheard"
	}
	s.testbed.history.record(event)
	s.cond.Broadcast()
}

// lastRevision returns the revision of the latest event that the service has: in modeRolledBack it lacks the
// forgottenEvents latest ones, but keeps the first. The caller holds the lock.
func (s *discoveryService) lastRevision() int {
	if s.mode == modeRolledBack {
		return max(1, len(s.events)-s.forgottenEvents)
	}
	return len(s.events)
}

// eventCount returns the number of events published so far, regardless of the mode.
func (s *discoveryService) eventCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events)
}

// knownEvents returns the events up to and including a revision in the JSON form that a director's configuration has;
// revision 0 means all events.
func (s *discoveryService) knownEvents(revision int) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision == 0 {
		revision = len(s.events)
	}
	return json.RawMessage(fmt.Sprintf(`{"n":%d,"events":[%s]}`, revision, strings.Join(s.events[:revision], ",")))
}

// wakeStreams wakes all stream writers, which then check whether a write or the end of their stream is due.
func (s *discoveryService) wakeStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cond.Broadcast()
}

// close closes all listeners and connections and ends all stream writers.
func (s *discoveryService) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	for conn := range s.streams {
		_ = conn.Close()
	}
	s.cond.Broadcast()
}
