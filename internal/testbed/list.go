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

// listService is the control feed's stand-in: one server that takes calls in turn, and then holds a stream for
// each. It is reached at an address of its own by each director, so that it is known who calls.
type listService struct {
	lab      *Testbed
	perCall  time.Duration
	queueMax int

	mu      sync.Mutex
	cond    *sync.Cond
	mode    string // well, down, hang, half, older
	factor  float64
	back    int
	lines   []string // events, the first with the whole list
	closed  bool
	waiting int
	turn    time.Time // when the server is free again
	fronts  map[int]*net.TCPListener
	streams map[net.Conn]bool
	flaps   map[int]*flap // by director: how its streams end
	nth     map[int]int   // streams that a director has had
}

func newListService(l *Testbed) *listService {
	s := &listService{lab: l, mode: "well", factor: 1, fronts: map[int]*net.TCPListener{}, streams: map[net.Conn]bool{},
		flaps: map[int]*flap{}, nth: map[int]int{}}
	rate := l.x.Discovery.CallsPerSecond
	if rate == 0 {
		rate = float64(l.x.Directors) / 1.5
	}
	s.perCall = time.Duration(float64(time.Second) / rate)
	if s.queueMax = l.x.Discovery.Queue; s.queueMax == 0 {
		s.queueMax = int(rate) + 1
	}
	s.cond = sync.NewCond(&s.mu)
	return s
}

// address opens the service's front for a director.
func (s *listService) address(director int) (string, error) {
	ip := s.lab.ip(3, director)
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.fronts[director] = ln
	s.mu.Unlock()
	go s.accept(director, ln)
	return ln.Addr().String(), nil
}

func (s *listService) accept(director int, ln *net.TCPListener) {
	for {
		c, err := ln.AcceptTCP()
		if err != nil {
			return
		}
		go s.call(director, c)
	}
}

// set changes how the service behaves. Down closes its fronts, so that calls are refused; all streams break
// where it goes down or loses what it had.
func (s *listService) set(mode string, factor float64, back int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.mode
	s.mode, s.factor, s.back = mode, factor, back
	s.lab.record.add(Event{Kind: "list", What: mode, Value: factor})
	if was == "down" && mode != "down" {
		for i, old := range s.fronts {
			ln, err := net.ListenTCP("tcp", old.Addr().(*net.TCPAddr))
			if err != nil {
				s.lab.fail(fmt.Errorf("list service: %w", err))
				return
			}
			s.fronts[i] = ln
			go s.accept(i, ln)
		}
	}
	if mode == "down" {
		for _, ln := range s.fronts {
			ln.Close()
		}
	}
	if mode != "slow" && mode != "well" {
		s.breakAll()
	}
	s.cond.Broadcast()
}

func (s *listService) breakAll() {
	for c := range s.streams {
		reset(c)
	}
}

// breakStreams resets all streams, once.
func (s *listService) breakStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lab.record.add(Event{Kind: "list", What: "break"})
	s.breakAll()
}

// publish adds an event, which counts as told from now on.
func (s *listService) publish(build func(n int) string, e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.lines) + 1
	s.lines = append(s.lines, build(n))
	e.Kind, e.Number = "news", n
	if s.mode != "well" {
		e.What += " unheard"
	}
	s.lab.record.add(e)
	s.cond.Broadcast()
}

// head is the number of the last event that the service has now.
func (s *listService) head() int {
	if s.mode == "older" {
		return max(1, len(s.lines)-s.back)
	}
	return len(s.lines)
}

// known is what a configuration holds: the events up to one.
func (s *listService) known(n int) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n == 0 {
		n = len(s.lines)
	}
	return json.RawMessage(fmt.Sprintf(`{"n":%d,"events":[%s]}`, n, strings.Join(s.lines[:n], ",")))
}

// call serves one call: it waits for its turn, is answered and becomes a stream.
func (s *listService) call(director int, c *net.TCPConn) {
	defer c.Close()
	name := directorName(director)
	note := func(what string, waited time.Duration) {
		s.lab.record.add(Event{Kind: "call", Director: name, What: what, Value: float64(waited.Microseconds()) / 1000})
	}
	w := s.lab.faults.wrap(c, "list", director)
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
		s.hold(c)
		return
	}
	if s.waiting >= s.queueMax {
		s.mu.Unlock()
		note("turned away", 0)
		reset(c)
		return
	}
	s.waiting++
	now := time.Now()
	if s.turn.Before(now) {
		s.turn = now
	}
	s.turn = s.turn.Add(time.Duration(float64(s.perCall) / max(s.factor, 1e-3)))
	wait := s.turn.Sub(now)
	s.streams[c] = true
	s.mu.Unlock()
	gone := make(chan struct{})
	go func() { s.hold(c); close(gone) }()
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
		text := s.lines[0]
		s.mu.Unlock()
		fmt.Fprint(w, text[:len(text)/2])
		note("half", wait)
		time.Sleep(20 * time.Millisecond)
		return
	}
	note("served", wait)
	s.stream(director, w, last, gone)
}

// hold reads until the other side ends the connection.
func (s *listService) hold(c net.Conn) {
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

// stream writes all that is new, and each second the last number, until the director hangs up or a flap ends it.
func (s *listService) stream(director int, c *wire, last int, gone chan struct{}) {
	up := time.Now()
	s.mu.Lock()
	s.nth[director]++
	nth := s.nth[director]
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
				under, end = f, f.end(director, nth, up)
				if end.what != "" {
					defer time.AfterFunc(time.Until(end.at), s.wake).Stop()
				}
			}
			if s.closed || s.head() > last || (end.due() && end.what != "half") || time.Since(spoke) >= 900*time.Millisecond {
				break
			}
			s.cond.Wait()
		}
		if s.closed || nth != s.nth[director] { // it has called again, and this stream is nobody's
			s.mu.Unlock()
			return
		}
		if end.due() && (end.what != "half" || s.head() > last) {
			text := ""
			if end.what == "half" {
				text = s.lines[last][:len(s.lines[last])/2]
			}
			s.lab.record.add(Event{Kind: "stream", Director: directorName(director), What: end.what, Number: last + 1,
				Value: float64(time.Since(up).Microseconds()) / 1000})
			s.mu.Unlock()
			switch end.what {
			case "half":
				_, _ = c.Write([]byte(text))
			case "break":
				time.Sleep(readsWithin)
				reset(c.Conn)
			case "silent":
				<-gone
			}
			return
		}
		from, head := last, s.head()
		var news []string
		if head > last {
			news = append(news, s.lines[last:head]...)
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
			s.lab.record.add(Event{Kind: "told", Director: directorName(director), Number: n})
		}
	}
}

// readsWithin is for how long a stream that is about to be reset says nothing: a reset takes away what has arrived
// and was not read yet, and what has been recorded as told must have been heard.
const readsWithin = 10 * time.Millisecond

// flap ends streams of the list service while they are young, again and again.
type flap struct {
	seed     uint64
	begin    time.Time
	ends     []string // break (a reset), half (a half event, and a close), silent (it stays open): drawn evenly
	from, to time.Duration
}

// streamEnd is how and when a stream ends; the zero value: not by a flap.
type streamEnd struct {
	what string
	at   time.Time
}

func (e streamEnd) due() bool { return e.what != "" && !time.Now().Before(e.at) }

// end draws the end of a director's nth stream, by the seed and these numbers alone. The age counts from its start, or
// from the flap's begin where it was up by then. A half event ends it as the first event comes after that.
func (f *flap) end(director, nth int, up time.Time) streamEnd {
	if f == nil {
		return streamEnd{}
	}
	rng := rand.New(rand.NewPCG(f.seed, uint64(director)<<32|uint64(nth)))
	what := f.ends[rng.IntN(len(f.ends))]
	age := f.from + time.Duration(rng.Float64()*float64(f.to-f.from))
	if up.Before(f.begin) {
		up = f.begin
	}
	return streamEnd{what, up.Add(age)}
}

// flapStreams ends the streams of directors from now on.
func (s *listService) flapStreams(directors []int, f *flap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.begin = time.Now()
	for _, d := range directors {
		s.flaps[d] = f
	}
	s.cond.Broadcast()
}

// settle lets streams be that a flap would have ended.
func (s *listService) settle(directors []int, f *flap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range directors {
		if s.flaps[d] == f {
			delete(s.flaps, d)
		}
	}
	s.cond.Broadcast()
}

// wake has all streams look whether there is something to do.
func (s *listService) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cond.Broadcast()
}

func (s *listService) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, ln := range s.fronts {
		ln.Close()
	}
	for c := range s.streams {
		c.Close()
	}
	s.cond.Broadcast()
}
