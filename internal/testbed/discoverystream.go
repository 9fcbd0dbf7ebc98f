package testbed

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	// resetDelay is for how long a stream that is about to be reset says nothing: a reset takes away what has arrived
	// and was not read yet, and what has been recorded as told must have been read.
	resetDelay = 10 * time.Millisecond

	halfCloseDelay   = 20 * time.Millisecond // after half a list, before the connection is closed
	heartbeatEvery   = time.Second
	heartbeatDue     = 900 * time.Millisecond // since the last line
	minCapacityShare = 1e-3
)

// Ways in which a flap ends a stream.
const (
	endBreak  = "break"  // a reset
	endHalf   = "half"   // half of an event, and a close
	endSilent = "silent" // it stays open, and nothing comes
)

// serveCall serves one call: it waits for its turn, is answered and becomes a stream.
func (s *discoveryService) serveCall(director int, tcp *net.TCPConn) {
	defer func() { _ = tcp.Close() }()
	recordCall := func(what string, waited time.Duration) {
		ms := float64(waited.Microseconds()) / 1000
		s.testbed.history.record(Event{Kind: "call", Director: directorName(director), What: what, Value: ms})
	}
	conn := s.testbed.faults.wrap(tcp, "list", director)
	line, err := bufio.NewReader(tcp).ReadString('\n')
	var last int
	if _, scanErr := fmt.Sscanf(line, "SUB %d", &last); err != nil || scanErr != nil {
		recordCall("hung up", 0)
		return
	}
	s.mu.Lock()
	mode := s.mode
	if mode == modeHang {
		s.streams[tcp] = true
		s.mu.Unlock()
		recordCall("hung", 0)
		s.awaitClose(tcp)
		return
	}
	if s.waiting >= s.maxQueue {
		s.mu.Unlock()
		recordCall("turned away", 0)
		resetConn(tcp)
		return
	}
	wait := s.queueCall()
	s.streams[tcp] = true
	s.mu.Unlock()

	called := time.Now()
	gone := make(chan struct{})
	go func() {
		s.awaitClose(tcp)
		close(gone)
	}()
	if !s.awaitTurn(wait, gone) {
		recordCall("timed out", time.Since(called))
		return
	}
	if mode == modeHalf {
		s.mu.Lock()
		list := s.events[0]
		s.mu.Unlock()
		_, _ = fmt.Fprint(conn, list[:len(list)/2])
		recordCall("half", wait)
		time.Sleep(halfCloseDelay)
		return
	}
	recordCall("served", wait)
	s.serveStream(director, conn, last, gone)
}

// queueCall takes a call into the queue and returns how long it waits. It is called with the lock held.
func (s *discoveryService) queueCall() time.Duration {
	s.waiting++
	now := time.Now()
	if s.nextFree.Before(now) {
		s.nextFree = now
	}
	s.nextFree = s.nextFree.Add(time.Duration(float64(s.callTime) / max(s.capacityFactor, minCapacityShare)))
	return s.nextFree.Sub(now)
}

// awaitTurn waits until a queued call is served; false: the director has hung up. Its turn is lost all the same: the
// service does not see that nobody waits.
func (s *discoveryService) awaitTurn(wait time.Duration, gone chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	served := true
	select {
	case <-timer.C:
	case <-gone:
		served = false
	}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	return served
}

// awaitClose reads until the other side ends the connection.
func (s *discoveryService) awaitClose(conn net.Conn) {
	var buffer [64]byte
	for {
		if _, err := conn.Read(buffer[:]); err != nil {
			break
		}
	}
	s.mu.Lock()
	delete(s.streams, conn)
	s.cond.Broadcast()
	s.mu.Unlock()
}

// stream is a stream to a director, written by one goroutine.
type stream struct {
	service  *discoveryService
	director int
	number   int // of the director's streams
	conn     *faultyConn
	gone     chan struct{} // closed when the director has hung up

	opened    time.Time
	last      int // revision that was written last
	lastWrite time.Time
	flap      *flap // that end was drawn from; nil: none
	end       streamEnd
	endTimers []*time.Timer // wake the writer when end is due
}

// serveStream writes all that is new, and each second the last revision, until the director hangs up or a flap ends it.
func (s *discoveryService) serveStream(director int, conn *faultyConn, last int, gone chan struct{}) {
	st := &stream{service: s, director: director, conn: conn, gone: gone, opened: time.Now(), last: last}
	s.mu.Lock()
	s.streamCount[director]++
	st.number = s.streamCount[director]
	s.mu.Unlock()
	done := make(chan struct{})
	defer close(done)
	go st.wakeRegularly(done)
	defer st.stopTimers()
	for st.writeNext() {
	}
}

// wakeRegularly wakes the writer for its heartbeats, and when the director has hung up.
func (st *stream) wakeRegularly(done chan struct{}) {
	heartbeat := time.NewTicker(heartbeatEvery)
	defer heartbeat.Stop()
	for {
		select {
		case <-heartbeat.C:
		case <-st.gone:
		case <-done:
			return
		}
		st.service.cond.Broadcast()
		if st.hungUp() {
			return
		}
	}
}

func (st *stream) stopTimers() {
	for _, timer := range st.endTimers {
		timer.Stop()
	}
}

func (st *stream) hungUp() bool {
	select {
	case <-st.gone:
		return true
	default:
		return false
	}
}

// writeNext waits until there is something to write and writes it; false: the stream has ended.
func (st *stream) writeNext() bool {
	service := st.service
	service.mu.Lock()
	if !st.awaitWork() {
		service.mu.Unlock()
		return false
	}
	replaced := st.number != service.streamCount[st.director] // the director has called again
	if service.closed || replaced {
		service.mu.Unlock()
		return false
	}
	if st.end.due() && (st.end.mode != endHalf || service.lastRevision() > st.last) {
		st.finish()
		return false
	}
	before, head := st.last, service.lastRevision()
	text := fmt.Sprintf("%d\n", head)
	if head > before {
		text = strings.Join(service.events[before:head], "\n") + "\n"
		st.last = head
	}
	service.mu.Unlock()
	if _, err := st.conn.Write([]byte(text)); err != nil {
		return false
	}
	st.lastWrite = time.Now()
	for revision := before + 1; revision <= head; revision++ {
		service.testbed.history.record(Event{Kind: "told", Director: directorName(st.director), Number: revision})
	}
	return true
}

// awaitWork waits, with the service's lock held, until there is something to do; false: the director has hung up.
func (st *stream) awaitWork() bool {
	service := st.service
	for {
		if st.hungUp() {
			return false
		}
		if flap := service.flaps[st.director]; flap != st.flap {
			st.flap, st.end = flap, flap.drawEnd(st.director, st.number, st.opened)
			if st.end.mode != "" {
				st.endTimers = append(st.endTimers, time.AfterFunc(time.Until(st.end.at), service.wakeStreams))
			}
		}
		ends := st.end.due() && st.end.mode != endHalf
		if service.closed || service.lastRevision() > st.last || ends || time.Since(st.lastWrite) >= heartbeatDue {
			return true
		}
		service.cond.Wait()
	}
}

// finish ends the stream as its flap says. It is called with the service's lock held, and releases it.
func (st *stream) finish() {
	service := st.service
	half := ""
	if st.end.mode == endHalf {
		event := service.events[st.last]
		half = event[:len(event)/2]
	}
	age := float64(time.Since(st.opened).Microseconds()) / 1000
	service.testbed.history.record(Event{Kind: "stream", Director: directorName(st.director), What: st.end.mode,
		Number: st.last + 1, Value: age})
	service.mu.Unlock()
	switch st.end.mode {
	case endHalf:
		_, _ = st.conn.Write([]byte(half))
	case endBreak:
		time.Sleep(resetDelay)
		resetConn(st.conn.Conn)
	case endSilent:
		<-st.gone
	}
}

// flap ends streams of the list service while they are young, again and again.
type flap struct {
	seed           uint64
	begin          time.Time
	modes          []string // drawn evenly
	minAge, maxAge time.Duration
}

// streamEnd is how and when a stream ends; the zero value: not by a flap.
type streamEnd struct {
	mode string
	at   time.Time
}

func (e streamEnd) due() bool { return e.mode != "" && !time.Now().Before(e.at) }

// drawEnd draws the end of a director's nth stream, by the seed and these numbers alone. The age counts from its start,
// or from the flap's begin where it was up by then. Half an event ends it as the first event comes after that.
func (f *flap) drawEnd(director, nth int, opened time.Time) streamEnd {
	if f == nil {
		return streamEnd{}
	}
	rng := rand.New(rand.NewPCG(f.seed, uint64(director)<<32|uint64(nth)))
	mode := f.modes[rng.IntN(len(f.modes))]
	age := f.minAge + time.Duration(rng.Float64()*float64(f.maxAge-f.minAge))
	if opened.Before(f.begin) {
		opened = f.begin
	}
	return streamEnd{mode: mode, at: opened.Add(age)}
}

// startFlap ends the streams of directors from now on.
func (s *discoveryService) startFlap(directors []int, f *flap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.begin = time.Now()
	for _, director := range directors {
		s.flaps[director] = f
	}
	s.cond.Broadcast()
}

// stopFlap leaves the streams alone that a flap would have ended.
func (s *discoveryService) stopFlap(directors []int, f *flap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, director := range directors {
		if s.flaps[director] == f {
			delete(s.flaps, director)
		}
	}
	s.cond.Broadcast()
}
