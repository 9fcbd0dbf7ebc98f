package testbed

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// discoveryService is the control feed's stand-in: one server that takes calls in turn, and then holds a stream for
// each. It is reached at an address of its own by each director, so that it is known who calls.
type discoveryService struct {
	testbed  *Testbed
	callTime time.Duration
	maxQueue int

	mu              sync.Mutex
	cond            *sync.Cond
	mode            string // well, down, hang, half, older
	capacityFactor  float64
	forgottenEvents int
	events          []string // events, the first with the whole list
	closed          bool
	waiting         int
	nextFree        time.Time // when the server is free again
	listeners       map[int]*net.TCPListener
	streams         map[net.Conn]bool
	flaps           map[int]*flap // by director: how its streams end
	streamCount     map[int]int   // streams that a director has had
}

func newDiscoveryService(l *Testbed) *discoveryService {
	s := &discoveryService{testbed: l, mode: "well", capacityFactor: 1, listeners: map[int]*net.TCPListener{}, streams: map[net.Conn]bool{},
		flaps: map[int]*flap{}, streamCount: map[int]int{}}
	rate := l.experiment.Discovery.CallsPerSecond
	if rate == 0 {
		rate = float64(l.experiment.Directors) / 1.5
	}
	s.callTime = time.Duration(float64(time.Second) / rate)
	if s.maxQueue = l.experiment.Discovery.Queue; s.maxQueue == 0 {
		s.maxQueue = int(rate) + 1
	}
	s.cond = sync.NewCond(&s.mu)
	return s
}

// listen opens the service's front for a director.
func (s *discoveryService) listen(director int) (string, error) {
	ip := s.testbed.loopbackIP(3, director)
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.listeners[director] = ln
	s.mu.Unlock()
	go s.accept(director, ln)
	return ln.Addr().String(), nil
}

func (s *discoveryService) accept(director int, ln *net.TCPListener) {
	for {
		c, err := ln.AcceptTCP()
		if err != nil {
			return
		}
		go s.serveCall(director, c)
	}
}

// setMode changes how the service behaves. Down closes its fronts, so that calls are refused; all streams break
// where it goes down or loses what it had.
func (s *discoveryService) setMode(mode string, factor float64, back int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.mode
	s.mode, s.capacityFactor, s.forgottenEvents = mode, factor, back
	s.testbed.history.record(Event{Kind: "list", What: mode, Value: factor})
	if was == "down" && mode != "down" {
		for i, old := range s.listeners {
			ln, err := net.ListenTCP("tcp", old.Addr().(*net.TCPAddr))
			if err != nil {
				s.testbed.fail(fmt.Errorf("list service: %w", err))
				return
			}
			s.listeners[i] = ln
			go s.accept(i, ln)
		}
	}
	if mode == "down" {
		for _, ln := range s.listeners {
			ln.Close()
		}
	}
	if mode != "slow" && mode != "well" {
		s.resetStreams()
	}
	s.cond.Broadcast()
}

func (s *discoveryService) resetStreams() {
	for c := range s.streams {
		resetConn(c)
	}
}

// breakStreams resets all streams, once.
func (s *discoveryService) breakStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.testbed.history.record(Event{Kind: "list", What: "break"})
	s.resetStreams()
}

// publish adds an event, which counts as told from now on.
func (s *discoveryService) publish(build func(n int) string, e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.events) + 1
	s.events = append(s.events, build(n))
	e.Kind, e.Number = "news", n
	if s.mode != "well" {
		e.What += " unheard"
	}
	s.testbed.history.record(e)
	s.cond.Broadcast()
}

// lastRevision is the number of the last event that the service has now.
func (s *discoveryService) lastRevision() int {
	if s.mode == "older" {
		return max(1, len(s.events)-s.forgottenEvents)
	}
	return len(s.events)
}

// knownEvents is what a configuration holds: the events up to one.
func (s *discoveryService) knownEvents(n int) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n == 0 {
		n = len(s.events)
	}
	return json.RawMessage(fmt.Sprintf(`{"n":%d,"events":[%s]}`, n, strings.Join(s.events[:n], ",")))
}

// serveCall serves one serveCall: it waits for its turn, is answered and becomes a stream.
func (s *discoveryService) serveCall(director int, c *net.TCPConn) {
	defer c.Close()
	name := directorName(director)
	note := func(what string, waited time.Duration) {
		s.testbed.history.record(Event{Kind: "call", Director: name, What: what, Value: float64(waited.Microseconds()) / 1000})
	}
	w := s.testbed.faults.wrap(c, "list", director)
	line, err := bufio.NewReader(c).ReadString('\n')
	var last int
	if _, scan := fmt.Sscanf(line, "SUB %d", &last); err != nil || scan != nil {
		note("hung up", 0)
		return
	}
	s.mu.Lock()
	mode := s.mode
	if mode == "hang" {
		s.streams[c] = true
		s.mu.Unlock()
		note("hung", 0)
		s.awaitClose(c)
		return
	}
	if s.waiting >= s.maxQueue {
		s.mu.Unlock()
		note("turned away", 0)
		resetConn(c)
		return
	}
	s.waiting++
	now := time.Now()
	if s.nextFree.Before(now) {
		s.nextFree = now
	}
	s.nextFree = s.nextFree.Add(time.Duration(float64(s.callTime) / max(s.capacityFactor, 1e-3)))
	wait := s.nextFree.Sub(now)
	s.streams[c] = true
	s.mu.Unlock()
	gone := make(chan struct{})
	go func() { s.awaitClose(c); close(gone) }()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	hungUp := false
	select {
	case <-timer.C:
	case <-gone:
		hungUp = true
	}
	s.mu.Lock()
	s.waiting--
	if hungUp { // its turn is lost all the same: the service does not see that nobody waits
		s.mu.Unlock()
		note("timed out", time.Since(now))
		return
	}
	s.mu.Unlock()
	if mode == "half" {
		s.mu.Lock()
		text := s.events[0]
		s.mu.Unlock()
		fmt.Fprint(w, text[:len(text)/2])
		note("half", wait)
		time.Sleep(20 * time.Millisecond)
		return
	}
	note("served", wait)
	s.serveStream(director, w, last, gone)
}

// awaitClose reads until the other side ends the connection.
func (s *discoveryService) awaitClose(c net.Conn) {
	var b [64]byte
	for {
		if _, err := c.Read(b[:]); err != nil {
			break
		}
	}
	s.mu.Lock()
	delete(s.streams, c)
	s.cond.Broadcast()
	s.mu.Unlock()
}

// serveStream writes all that is new, and each second the last number, until the director hangs up or a flap ends it.
func (s *discoveryService) serveStream(director int, c *faultyConn, last int, gone chan struct{}) {
	up := time.Now()
	s.mu.Lock()
	s.streamCount[director]++
	nth := s.streamCount[director]
	s.mu.Unlock()
	var under *flap
	var end streamEnd
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	alive := make(chan struct{})
	defer close(alive)
	go func() { // wakes the writer for its sign of life, and at the end
		for {
			select {
			case <-beat.C:
			case <-gone:
			case <-alive:
				return
			}
			s.cond.Broadcast()
			select {
			case <-gone:
				return
			default:
			}
		}
	}()
	spoke := time.Time{}
	for {
		s.mu.Lock()
		for {
			select {
			case <-gone:
				s.mu.Unlock()
				return
			default:
			}
			if f := s.flaps[director]; f != under {
				under, end = f, f.drawEnd(director, nth, up)
				if end.mode != "" {
					defer time.AfterFunc(time.Until(end.at), s.wakeStreams).Stop()
				}
			}
			if s.closed || s.lastRevision() > last || (end.due() && end.mode != "half") || time.Since(spoke) >= 900*time.Millisecond {
				break
			}
			s.cond.Wait()
		}
		if s.closed || nth != s.streamCount[director] { // it has called again, and this stream is nobody's
			s.mu.Unlock()
			return
		}
		if end.due() && (end.mode != "half" || s.lastRevision() > last) {
			text := ""
			if end.mode == "half" {
				text = s.events[last][:len(s.events[last])/2]
			}
			s.testbed.history.record(Event{Kind: "stream", Director: directorName(director), What: end.mode, Number: last + 1,
				Value: float64(time.Since(up).Microseconds()) / 1000})
			s.mu.Unlock()
			switch end.mode {
			case "half":
				_, _ = c.Write([]byte(text))
			case "break":
				time.Sleep(resetDelay)
				resetConn(c.Conn)
			case "silent":
				<-gone
			}
			return
		}
		from, head := last, s.lastRevision()
		var news []string
		if head > last {
			news = append(news, s.events[last:head]...)
			last = head
		}
		s.mu.Unlock()
		text := fmt.Sprintf("%d\n", head)
		if len(news) > 0 {
			text = strings.Join(news, "\n") + "\n"
		}
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
		spoke = time.Now()
		for n := from + 1; n <= head; n++ {
			s.testbed.history.record(Event{Kind: "told", Director: directorName(director), Number: n})
		}
	}
}

// resetDelay is for how long a stream that is about to be reset says nothing: a reset takes away what has arrived
// and was not read yet, and what has been recorded as told must have been heard.
const resetDelay = 10 * time.Millisecond

// flap ends streams of the list service while they are young, again and again.
type flap struct {
	seed           uint64
	begin          time.Time
	modes          []string // break (a reset), half (a half event, and a close), silent (it stays open): drawn evenly
	minAge, maxAge time.Duration
}

// streamEnd is how and when a stream ends; the zero value: not by a flap.
type streamEnd struct {
	mode string
	at   time.Time
}

func (e streamEnd) due() bool { return e.mode != "" && !time.Now().Before(e.at) }

// drawEnd draws the drawEnd of a director's nth stream, by the seed and these numbers alone. The age counts from its start, or
// from the flap's begin where it was up by then. A half event ends it as the first event comes after that.
func (f *flap) drawEnd(director, nth int, up time.Time) streamEnd {
	if f == nil {
		return streamEnd{}
	}
	rng := rand.New(rand.NewPCG(f.seed, uint64(director)<<32|uint64(nth)))
	what := f.modes[rng.IntN(len(f.modes))]
	age := f.minAge + time.Duration(rng.Float64()*float64(f.maxAge-f.minAge))
	if up.Before(f.begin) {
		up = f.begin
	}
	return streamEnd{what, up.Add(age)}
}

// startFlap ends the streams of directors from now on.
func (s *discoveryService) startFlap(directors []int, f *flap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.begin = time.Now()
	for _, d := range directors {
		s.flaps[d] = f
	}
	s.cond.Broadcast()
}

// stopFlap lets streams be that a flap would have ended.
func (s *discoveryService) stopFlap(directors []int, f *flap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range directors {
		if s.flaps[d] == f {
			delete(s.flaps, d)
		}
	}
	s.cond.Broadcast()
}

// wakeStreams has all streams look whether there is something to do.
func (s *discoveryService) wakeStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cond.Broadcast()
}

func (s *discoveryService) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, ln := range s.listeners {
		ln.Close()
	}
	for c := range s.streams {
		c.Close()
	}
	s.cond.Broadcast()
}
