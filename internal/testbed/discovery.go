package testbed

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Modes of the list service.
const (
	modeWell  = "well"
	modeDown  = "down"  // refuses connections
	modeHang  = "hang"  // accepts, and says nothing
	modeHalf  = "half"  // breaks off within the list
	modeOlder = "older" // has forgotten the latest events
	modeSlow  = "slow"
)

// discoveryService is the stand-in for the list service: one server that takes calls in turn, and then holds a stream
// for each. Each director reaches it at an address of its own, so that it is known who calls.
type discoveryService struct {
	testbed  *Testbed
	callTime time.Duration // that a call occupies the server at full capacity
	maxQueue int

	mu              sync.Mutex
	cond            *sync.Cond // streams wait on it
	mode            string
	capacityFactor  float64
	forgottenEvents int
	events          []string // the first with the whole list
	closed          bool
	waiting         int
	nextFree        time.Time // when the server is free again
	listeners       map[int]*net.TCPListener
	streams         map[net.Conn]bool
	flaps           map[int]*flap // by director: how its streams end
	streamCount     map[int]int   // streams that a director has had
}

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

// listen opens the service's address for a director.
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

func (s *discoveryService) accept(director int, listener *net.TCPListener) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		go s.serveCall(director, conn)
	}
}

// setMode changes how the service behaves. Going down closes its listeners, so that calls are refused; all streams
// break where it goes down or loses what it had.
func (s *discoveryService) setMode(mode string, capacityFactor float64, forgottenEvents int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.mode
	s.mode, s.capacityFactor, s.forgottenEvents = mode, capacityFactor, forgottenEvents
	s.testbed.history.record(Event{Kind: "list", What: mode, Value: capacityFactor})
	if previous == modeDown && mode != modeDown {
		if err := s.reopen(); err != nil {
			s.testbed.fail(fmt.Errorf("list service: %w", err))
			return
		}
	}
	if mode == modeDown {
		for _, listener := range s.listeners {
			_ = listener.Close()
		}
	}
	if mode != modeSlow && mode != modeWell {
		s.resetStreams()
	}
	s.cond.Broadcast()
}

// reopen listens again at the addresses that were closed.
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

func (s *discoveryService) resetStreams() {
	for conn := range s.streams {
		resetConn(conn)
	}
}

// breakStreams resets all streams, once.
func (s *discoveryService) breakStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.testbed.history.record(Event{Kind: "list", What: "break"})
	s.resetStreams()
}

// publish adds a list event, of which directors count as notified from now on.
func (s *discoveryService) publish(build func(revision int) string, event Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := len(s.events) + 1
	s.events = append(s.events, build(revision))
	event.Kind, event.Number = "news", revision
	if s.mode != modeWell {
		event.What += " unheard"
	}
	s.testbed.history.record(event)
	s.cond.Broadcast()
}

// lastRevision is the number of the last event that the service has now. It is called with the lock held.
func (s *discoveryService) lastRevision() int {
	if s.mode == modeOlder {
		return max(1, len(s.events)-s.forgottenEvents)
	}
	return len(s.events)
}

// eventCount is the number of events that were published.
func (s *discoveryService) eventCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events)
}

// knownEvents is what a configuration holds: the events up to one; 0: all.
func (s *discoveryService) knownEvents(revision int) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision == 0 {
		revision = len(s.events)
	}
	return json.RawMessage(fmt.Sprintf(`{"n":%d,"events":[%s]}`, revision, strings.Join(s.events[:revision], ",")))
}

// wakeStreams has all streams check whether there is something to do.
func (s *discoveryService) wakeStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cond.Broadcast()
}

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
