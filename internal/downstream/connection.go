package downstream

import (
	"slices"

	"shaleyard/internal/buffer"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// phase is where a connection is in its life; docs/lifecycles.md lists what each event does in each. It only goes
// forward, in transition.
type phase uint8

const (
	phaseReady     phase = iota // requests are read
	phaseDraining               // nothing more is read, as the stream is malformed; open requests are still answered
	phaseLingering              // nothing is owed, our half is closed; data is dropped until the client closes its half
	phaseClosed                 // nothing reaches the client any more
)

// Connection is the connection of one client.
type Connection struct {
	server *Server
	socket eventloop.Conn
	id     uint64 // counted from 1, for the log
	handle handle.Handle
	phase  phase

	// The frame that is being received.
	lengthPrefix []byte       // what has come of its length
	frameLength  int          // in bytes, without the length itself; 0: not known yet
	partialFrame buffer.Chain // what has come of it

	openRequests map[int32]handle.Handle // by sequence number; nil until the first one
	timeout      timer.Timer

	lastActivity    routing.Time // when a message was complete, or answered
	lastMessage     routing.Time // when a message was complete
	messageStarted  routing.Time // when the message that is due began, for the first one the connection; 0: none is due
	receivedMessage bool         // at least one was complete

	droppedBytes    int          // read after our half-close, and not looked at
	outboundSeen    int          // bytes unread by the client, as ShortenDeadlines saw them last
	outboundChanged routing.Time // and when it last saw them change
}

// owesAnswer reports whether an answer is due, or not yet passed on to the system: closing would lose it.
func (c *Connection) owesAnswer() bool {
	return len(c.openRequests) > 0 || c.socket.OutboundBuffered() > 0
}

// receivingFrame reports that a part of a message has come, and not all of it.
func (c *Connection) receivingFrame() bool { return c.frameLength != 0 || len(c.lengthPrefix) > 0 }

// transition takes the connection to a later phase; it is the one place where the phase changes.
func (c *Connection) transition(to phase, reason flightrecorder.Reason) {
	if to <= c.phase {
		return
	}
	from := c.phase
	c.recordTransition(to, reason)
	c.phase = to
	c.dropFrame()
	c.leaveLists(from)
	switch to {
	case phaseDraining:
		c.enterDraining()
	case phaseLingering:
		c.enterLingering()
	case phaseClosed:
		c.enterClosed()
	}
}

func (c *Connection) recordTransition(to phase, reason flightrecorder.Reason) {
	event := flightrecorder.Event{Kind: flightrecorder.ConnClosing, Conn: c.id, Count: len(c.openRequests)}
	if to == phaseClosed {
		event.Kind = flightrecorder.ConnClosed
	}
	c.server.record(event, reason)
}

// dropFrame forgets the message that was due or arriving.
func (c *Connection) dropFrame() {
	c.partialFrame.Release()
	c.messageStarted = 0
	c.frameLength = 0
	c.lengthPrefix = nil
}

// leaveLists takes the connection out of the list of the phase that it has left; a draining one keeps its place.
func (c *Connection) leaveLists(from phase) {
	switch {
	case from == phaseLingering:
		c.server.lingering = slices.DeleteFunc(c.server.lingering, func(other *Connection) bool { return other == c })
	case c.phase >= phaseLingering:
		c.server.connections.Remove(c.handle)
	}
}

func (c *Connection) enterDraining() {
	c.server.Counters.Draining++
	c.server.timers.Cancel(&c.timeout) // open requests end by their own deadlines
	c.completeDrain()
}

func (c *Connection) enterLingering() {
	server := c.server
	server.Counters.Lingering++
	server.lingering = append(server.lingering, c)
	server.timers.Schedule(&c.timeout, server.now()+server.limits.LingerTimeout, c.lingerExpired)
	if err := c.socket.CloseWrite(); err != nil {
		c.closeNow(flightrecorder.ReasonHalfCloseFailed)
	}
	server.trim()
}

func (c *Connection) enterClosed() {
	server := c.server
	server.Counters.Closed++
	server.timers.Cancel(&c.timeout)
	for seqID, request := range c.openRequests {
		delete(c.openRequests, seqID)
		server.handler.Cancel(request)
	}
}

// drain reads nothing more from the connection, and closes it in good order once all that is owed has been sent.
func (c *Connection) drain(reason flightrecorder.Reason) {
	if c.owesAnswer() {
		c.transition(phaseDraining, reason)
		return
	}
	c.transition(phaseLingering, reason)
}

// completeDrain ends a draining connection once it owes nothing. The event loop does not tell when buffered bytes
// have been sent, so it looks again until they have, or until the client has read nothing for the idle timeout.
func (c *Connection) completeDrain() {
	if c.phase != phaseDraining || len(c.openRequests) > 0 {
		return
	}
	server := c.server
	if c.socket.OutboundBuffered() == 0 {
		c.transition(phaseLingering, flightrecorder.ReasonDrainCompleted)
		return
	}
	if server.now()-c.lastActivity >= server.limits.ClientIdleTimeout {
		c.closeNow(flightrecorder.ReasonAnswerNotRead)
		return
	}
	server.timers.Schedule(&c.timeout, server.now()+server.limits.FlushCheckInterval, c.completeDrain)
}

// closeNow closes the connection and frees its place. What the client has not read may be lost.
func (c *Connection) closeNow(reason flightrecorder.Reason) {
	c.transition(phaseClosed, reason)
	_ = c.socket.Close() // the connection is given up, whatever becomes of it
}

// lingerExpired ends the lingering, unless the client is still reading what was left for it: it can't know of our
// half-close yet, and a message that it sends after a full close would reset the connection and take the rest along.
func (c *Connection) lingerExpired() {
	server := c.server
	if c.socket.Unacknowledged() > 0 && server.now()-c.lastActivity < server.limits.ClientIdleTimeout {
		server.timers.Schedule(&c.timeout, server.now()+server.limits.LingerTimeout, c.lingerExpired)
		return
	}
	c.abortLinger(flightrecorder.ReasonLingerTimeout)
}

// abortLinger ends the lingering before the client has closed its half.
func (c *Connection) abortLinger(reason flightrecorder.Reason) {
	c.server.Counters.LingersAborted++
	c.closeNow(reason)
}

// Closed is called by the event loop when the client has closed or reset the connection: no answer can reach it.
func (c *Connection) Closed() { c.transition(phaseClosed, flightrecorder.ReasonClosedByClient) }
