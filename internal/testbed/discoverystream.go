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
	// resetDelay is the pause without writes before a flap resets a stream. A reset discards data that the director has
	// received but not read yet, and events that the history records as delivered ("told") must have been read.
	resetDelay = 10 * time.Millisecond

	truncatedCloseDelay = 20 * time.Millisecond // between writing half of the endpoint list and the close
	heartbeatInterval   = time.Second
	heartbeatIdle       = 900 * time.Millisecond // time without a write after which a heartbeat is written
	minCapacityFactor   = 1e-3
)

// Ways in which a flap ends a stream, as experiments and histories name them.
const (
	endReset     = "break"  // the connection is reset
	endTruncated = "half"   // the first half of an event is written, then the connection is closed
	endSilent    = "silent" // the connection stays open, and nothing more is written
)

// serveCall serves one call of a director. It reads the subscription, waits in the queue, writes the director's event
// stream and records how the call went. In modeHang it writes nothing until the director closes the connection, in
// modeTruncated it writes half of the endpoint list, and with a full queue it resets the connection.
func (s *discoveryService) serveCall(director int, tcp *net.TCPConn) {
	defer func() { _ = tcp.Close() }()
	recordCall := func(what string, waited time.Duration) {
		ms := float64(waited.Microseconds()) / 1000
		s.testbed.history.record(Event{Kind: "call", Director: directorName(director), What: what, Value: ms})
	}
	conn := s.testbed.faults.wrap(tcp, "list", director)
	line, err := bufio.NewReader(tcp).ReadString('\n')
	var lastKnown int
	if _, scanErr := fmt.Sscanf(line, "SUB %d", &lastKnown); err != nil || scanErr != nil {
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
	if s.queuedCalls >= s.maxQueue {
		s.mu.Unlock()
		recordCall("turned away", 0)
		resetConn(tcp)
		return
	}
	wait := s.enqueueCall()
	s.streams[tcp] = true
	s.mu.Unlock()

	called := time.Now()
	disconnected := make(chan struct{})
	go func() {
		s.awaitClose(tcp)
		close(disconnected)
	}()
	if !s.awaitTurn(wait, disconnected) {
		recordCall("timed out", time.Since(called))
		return
	}
	if mode == modeTruncated {
		s.mu.Lock()
		list := s.events[0]
		s.mu.Unlock()
		_, _ = fmt.Fprint(conn, list[:len(list)/2])
		recordCall("half", wait)
		time.Sleep(truncatedCloseDelay)
		return
	}
	recordCall("served", wait)
	s.serveStream(director, conn, lastKnown, disconnected)
}

// enqueueCall adds a call to the queue and returns the time until the call has been served. The caller holds the lock.
func (s *discoveryService) enqueueCall() time.Duration {
	s.queuedCalls++
	now := time.Now()
	if s.nextFree.Before(now) {
		s.nextFree = now
	}
	s.nextFree = s.nextFree.Add(time.Duration(float64(s.callTime) / max(s.capacityFactor, minCapacityFactor)))
	return s.nextFree.Sub(now)
}

// awaitTurn waits until a queued call has been served or its director disconnects, and then frees the call's place in
// the queue. It returns false if the director disconnects first. The server time that enqueueCall reserved for the call
// (nextFree) stays spent, because the simulated service does not notice that its caller has gone.
func (s *discoveryService) awaitTurn(wait time.Duration, disconnected chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	served := true
	select {
	case <-timer.C:
	case <-disconnected:
		served = false
	}
	s.mu.Lock()
	s.queuedCalls--
	s.mu.Unlock()
	return served
}

// awaitClose reads and discards what arrives on a connection until reading fails, then removes the connection from the
// open streams and wakes the stream writers.
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

// stream is an event stream to a director. One goroutine, the stream's writer, writes it.
type stream struct {
	service      *discoveryService
	director     int
	number       int // among the director's streams, from 1
	conn         *faultyConn
	disconnected chan struct{} // closed when either side has ended the connection

	opened      time.Time
	lastWritten int       // revision of the latest event written, or known to the director when it called
	lastWrite   time.Time // of events or a heartbeat
	flap        *flap     // flap from which the field end was drawn; nil if no flap applies
	end         streamEnd
	endTimers   []*time.Timer // wake the writer when end is due
}

// serveStream writes all events after lastKnown as they are published, and between them a heartbeat with the last
// revision about once a second. A director may have several streams open, and all of them are written. serveStream
// returns when the director disconnects, when a flap ends the stream, or when the service closes.
func (s *discoveryService) serveStream(director int, conn *faultyConn, lastKnown int, disconnected chan struct{}) {
	st := &stream{service: s, director: director, conn: conn, disconnected: disconnected, opened: time.Now(),
		lastWritten: lastKnown}
	s.mu.Lock()
	s.streamCount[director]++
	st.number = s.streamCount[director]
	s.mu.Unlock()
	done := make(chan struct{})
	defer close(done)
	go st.wakeWriter(done)
	defer st.stopTimers()
	for st.writeNext() {
	}
}

// wakeWriter wakes the writer once per heartbeat interval and when the director has disconnected. It returns when the
// director has disconnected or done is closed.
func (st *stream) wakeWriter(done chan struct{}) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-heartbeat.C:
		case <-st.disconnected:
		case <-done:
			return
		}
		st.service.cond.Broadcast()
		if st.isDisconnected() {
			return
		}
	}
}

func (st *stream) stopTimers() {
	for _, timer := range st.endTimers {
		timer.Stop()
	}
}

// isDisconnected reports whether the connection has ended, whichever side ended it.
func (st *stream) isDisconnected() bool {
	select {
	case <-st.disconnected:
		return true
	default:
		return false
	}
}

// writeNext waits until events, a heartbeat or the stream's end are due. It writes the events or the heartbeat and
// records each event as delivered ("told"). It returns false when the stream has ended.
func (st *stream) writeNext() bool {
	service := st.service
	service.mu.Lock()
	if !st.awaitWork() {
		service.mu.Unlock()
		return false
	}
	if service.closed {
		service.mu.Unlock()
		return false
	}
	if st.end.due() && (st.end.mode != endTruncated || service.lastRevision() > st.lastWritten) {
		st.endByFlap()
		return false
	}
	before, latest := st.lastWritten, service.lastRevision()
	text := fmt.Sprintf("%d\n", latest)
	if latest > before {
		text = strings.Join(service.events[before:latest], "\n") + "\n"
		st.lastWritten = latest
	}
	service.mu.Unlock()
	if _, err := st.conn.Write([]byte(text)); err != nil {
		return false
	}
	st.lastWrite = time.Now()
	for revision := before + 1; revision <= latest; revision++ {
		service.testbed.history.record(Event{Kind: "told", Director: directorName(st.director), Number: revision})
	}
	return true
}

// awaitWork waits until new events, a heartbeat or the stream's end are due, or the service is closed. Nothing is due
// while the service is in modeStopped. It returns false if the director has disconnected. When a flap of the director's
// streams has started or stopped, it draws the stream's end anew. The caller holds the service's lock, which awaitWork
// releases while it waits.
func (st *stream) awaitWork() bool {
	service := st.service
	for {
		if st.isDisconnected() {
			return false
		}
		if flap := service.flaps[st.director]; flap != st.flap {
			st.flap, st.end = flap, flap.drawEnd(st.director, st.number, st.opened)
			if st.end.mode != "" {
				st.endTimers = append(st.endTimers, time.AfterFunc(time.Until(st.end.at), service.wakeStreams))
			}
		}
		ends := st.end.due() && st.end.mode != endTruncated
		due := ends || service.lastRevision() > st.lastWritten || time.Since(st.lastWrite) >= heartbeatIdle
		if service.closed || due && service.mode != modeStopped {
			return true
		}
		service.cond.Wait()
	}
}

// endByFlap ends the stream in the way that was drawn from its flap, and records this. The caller holds the service's
// lock, which endByFlap releases. With endSilent it returns only when the director disconnects.
func (st *stream) endByFlap() {
	service := st.service
	half := ""
	if st.end.mode == endTruncated {
		event := service.events[st.lastWritten]
		half = event[:len(event)/2]
	}
	age := float64(time.Since(st.opened).Microseconds()) / 1000
	service.testbed.history.record(Event{Kind: "stream", Director: directorName(st.director), What: st.end.mode,
		Number: st.lastWritten + 1, Value: age})
	service.mu.Unlock()
	switch st.end.mode {
	case endTruncated:
		_, _ = st.conn.Write([]byte(half))
	case endReset:
		time.Sleep(resetDelay)
		resetConn(st.conn.Conn)
	case endSilent:
		<-st.disconnected
	}
}

// flap ends each stream of the directors that it applies to after a random age, in a random way. The directors call
// again, and the flap ends their next streams too, until it is stopped.
type flap struct {
	seed           uint64
	begin          time.Time
	modes          []string // ways of ending a stream, drawn with equal probability
	minAge, maxAge time.Duration
}

// streamEnd is how and when a flap ends a stream. The zero value means that no flap ends the stream.
type streamEnd struct {
	mode string
	at   time.Time
}

func (e streamEnd) due() bool { return e.mode != "" && !time.Now().Before(e.at) }

// drawEnd returns the end of a director's nth stream. It draws one of the flap's modes and an age between minAge and
// maxAge from a random generator that is seeded with the flap's seed, the director and nth, so flaps with the same
// fields give the same mode and age for the same director and nth. The age counts from the opening of the stream or
// from the flap's begin, whichever is later, and the end's time is that start plus the age. A stream with endTruncated
// ends within the first event that is to be written at or after that time. A nil flap ends no stream.
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

// startFlap applies a flap to the open and future streams of directors, from now on.
func (s *discoveryService) startFlap(directors []int, f *flap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.begin = time.Now()
	for _, director := range directors {
		s.flaps[director] = f
	}
	s.cond.Broadcast()
}

// stopFlap stops a flap for directors: their streams that it has not ended yet stay open. A director to which another
// flap has been applied since keeps that one.
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
