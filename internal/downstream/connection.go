package downstream

import (
	"slices"

	"shaleyard/internal/eventloop"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// phase is the state of a connection in its life cycle. Phases only advance, and only in transition. docs/lifecycles.md
// lists the effect of each event in each phase.
type phase uint8

const (
	phaseReady     phase = iota // requests are read
	phaseDraining               // input is discarded after a malformed or timed-out message; open requests are answered
	phaseLingering              // answers sent, our half closed; input is discarded until the client closes its half
	phaseClosed                 // no output reaches the client any more
)

// Connection is the connection of one client.
type Connection struct {
	server *Server
	socket eventloop.Conn
	id     uint64 // counted from 1; identifies the connection in recorded events
	handle handle.Handle
	phase  phase

	// The frame that is being received.
	lengthPrefix []byte // the received part of the length prefix
	frameLength  int    // in bytes, without the length prefix; 0: not known yet
	partialFrame partialFrame

	openRequests map[int32]openRequest // by sequence number; nil until the first request
	bodyBuffers  int                   // held by the bodies of the open requests
	held         []heldRequest         // open, and not submitted yet; oldest first
	revokedAt    []routing.Time        // when submitted requests were revoked, as far as recentRevokes counts them
	heldTimer    timer.Timer
	inputUnread  bool // more input had arrived when the input that is being handled was read
	timeout      timer.Timer
	output       outputHistory
	reading      readEstimate

	lastActivity routing.Time // when the connection was accepted, or the last message was received or answered
	lastMessage  routing.Time // when the last message was complete
	lastInput    routing.Time // when the last byte was received, or the connection was accepted
	// messageStarted is the time from which the message timeout counts: when the first byte of the message that is
	// being received arrived or, until the connection's first message is complete, when the connection was accepted.
	// It is 0 between two messages, and once the connection has stopped reading requests.
	messageStarted  routing.Time
	receivedMessage bool // at least one message was complete

	discardedBytes int // received and discarded since the connection stopped reading requests
	progress       readProgress
	// idleBaseline is the number of bytes that the client's system had acknowledged at the last activity with output
	// left in the program's buffer, or at the last check for an idle connection. hasIdleBaseline is whether it is
	// known.
	idleBaseline    int64
	hasIdleBaseline bool
}

// openRequest is a request that was submitted and not answered yet.
type openRequest struct {
	handle      handle.Handle // 0 until Submit has returned it
	bodyBuffers int           // buffers that the request's body holds
}

// hasPendingAnswer reports whether a request is open, or the socket has not accepted all output yet. If so, closing
// the connection would lose an answer.
func (c *Connection) hasPendingAnswer() bool {
	return len(c.openRequests) > 0 || c.socket.OutboundBuffered() > 0
}

// receivingFrame reports whether a frame is partly received.
func (c *Connection) receivingFrame() bool { return c.frameLength != 0 || len(c.lengthPrefix) > 0 }

// transition advances the connection to a later phase. It does nothing if the connection has reached that phase
// already. No other function changes the phase.
func (c *Connection) transition(to phase, reason flightrecorder.Reason) {
	if to <= c.phase {
		return
	}
	from := c.phase
	c.recordTransition(to, reason)
	c.phase = to
	c.discardFrame()
	c.removeFromLists(from)
	switch to {
	case phaseDraining:
		c.enterDraining()
	case phaseLingering:
		c.enterLingering()
	case phaseClosed:
		c.enterClosed()
	}
}

// recordTransition records the start of a phase in the flight recorder.
func (c *Connection) recordTransition(to phase, reason flightrecorder.Reason) {
	event := flightrecorder.Event{Kind: flightrecorder.ConnClosing, Conn: c.id, Count: len(c.openRequests)}
	if to == phaseClosed {
		event.Kind = flightrecorder.ConnClosed
	}
	c.server.record(event, reason)
}

// discardFrame discards a partly received frame: it releases the buffers, and forgets the length prefix and the length.
// It also clears messageStarted: the connection is draining, lingering or closed, so it discards all further input, and
// the message timeout must not apply any more.
func (c *Connection) discardFrame() {
	c.partialFrame.reset()
	c.messageStarted = 0
	c.frameLength = 0
	c.lengthPrefix = nil
}

// removeFromLists removes the connection from the server's list for the phase that it has left. A connection that
// starts to drain stays in the table of connections.
func (c *Connection) removeFromLists(from phase) {
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
	server.trimLingering()
}

func (c *Connection) enterClosed() {
	server := c.server
	server.Counters.Closed++
	server.timers.Cancel(&c.timeout)
	c.releaseHeld()
	for seqID, request := range c.openRequests {
		c.forgetRequest(seqID)
		server.handler.Cancel(request.handle)
	}
}

// drain stops reading requests from the connection, and half-closes it once all pending answers have been sent.
func (c *Connection) drain(reason flightrecorder.Reason) {
	if c.hasPendingAnswer() {
		c.transition(phaseDraining, reason)
		return
	}
	c.transition(phaseLingering, reason)
}

// completeDrain half-closes a draining connection once all its answers have been sent. The event loop does not report
// when buffered output has been sent, so completeDrain checks again after each Limits.FlushCheckInterval. It closes the
// connection if the client has read nothing for Limits.ClientIdleTimeout after the last answer or message.
func (c *Connection) completeDrain() {
	if c.phase != phaseDraining || len(c.openRequests) > 0 {
		return
	}
	server := c.server
	if c.socket.OutboundBuffered() == 0 {
		c.transition(phaseLingering, flightrecorder.ReasonDrainCompleted)
		return
	}
	if c.abandonedOutput() {
		c.closeNow(flightrecorder.ReasonAnswerNotRead)
		return
	}
	server.timers.Schedule(&c.timeout, server.now()+server.limits.FlushCheckInterval, c.completeDrain)
}

// closeNow closes the connection at once and frees its place in the connection table. Output that the client has not
// read can be lost.
func (c *Connection) closeNow(reason flightrecorder.Reason) {
	c.transition(phaseClosed, reason)
	_ = c.socket.Close() // the connection is abandoned even if Close fails
}

// abandonedOutput reports whether the client has read no output for Limits.ClientIdleTimeout, counted from the last
// activity at the earliest. It has to be called at least each maxProgressInterval.
func (c *Connection) abandonedOutput() bool {
	now := c.server.now()
	c.updateReadProgress(now)
	return now-max(c.lastActivity, c.progress.madeAt) >= c.server.limits.ClientIdleTimeout
}

// lingerExpired closes a lingering connection, unless the client has unacknowledged output and has read some of it
// within Limits.ClientIdleTimeout; the linger timeout then starts again. A client that is still reading does not
// know of our half-close, and a message that it sent after a full close would cause a reset, which loses the remaining
// output.
func (c *Connection) lingerExpired() {
	server := c.server
	if c.socket.Unacknowledged() > 0 && !c.abandonedOutput() {
		server.timers.Schedule(&c.timeout, server.now()+server.limits.LingerTimeout, c.lingerExpired)
		return
	}
	c.abortLinger(flightrecorder.ReasonLingerTimeout)
}

// abortLinger closes a lingering connection before its client has closed its half.
func (c *Connection) abortLinger(reason flightrecorder.Reason) {
	c.server.Counters.LingersAborted++
	c.closeNow(reason)
}

// Closed is called by the event loop when the client has closed or reset the connection. No answer can reach the client
// any more.
func (c *Connection) Closed() { c.transition(phaseClosed, flightrecorder.ReasonClosedByClient) }
