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

// One client connection: its phases and how it ends.

// phase is where a client's connection is in its life; docs/lifecycles.md tells what each event does in each. It only
// goes forward, in move.
type phase uint8

const (
	phaseReady     phase = iota // messages are taken
	phaseDraining               // nothing more is taken, as what came can't be followed; answers that are owed still go out
	phaseLingering              // nothing is owed, our half is closed; what comes is dropped until the client closes its own
	phaseClosed                 // nothing reaches the client any more
)

// Connection is one client connection.
type Connection struct {
	server          *Server
	socket          eventloop.Conn
	id              uint64 // counted from 1, for the log
	phase           phase
	handle          handle.Handle
	lengthPrefix    []byte // of a frame's length
	frameLength     int    // bytes of the frame under way; 0: none
	partialFrame    buffer.Chain
	openRequests    map[int32]handle.Handle
	timeout         timer.Timer
	lastActivity    routing.Time // when it last brought a whole message or was answered
	lastMessage     routing.Time // when it last brought a whole message
	outboundSeen    int          // bytes that its client had not taken when that last changed, as seen by Curtail
	outboundChanged routing.Time // and when that was
	messageStarted  routing.Time // when the frame under way, or for the first one the connection, began; 0: none is owed
	receivedMessage bool         // a whole message has come
	droppedBytes    int          // bytes read and not looked at
}

// owesAnswer tells whether an answer is owed, or not yet passed on whole: a close would lose it.
func (x *Connection) owesAnswer() bool {
	return len(x.openRequests) > 0 || x.socket.OutboundBuffered() > 0
}

// receivingFrame tells that a part of a message has come, and not all of it.
func (x *Connection) receivingFrame() bool { return x.frameLength != 0 || len(x.lengthPrefix) > 0 }

// transition takes the session on to a later phase, for a reason; it is the one place where the phase changes.
func (x *Connection) transition(to phase, why flightrecorder.Reason) {
	if to <= x.phase {
		return
	}
	s, from := x.server, x.phase
	x.recordTransition(to, why)
	x.phase = to
	x.partialFrame.Release()
	x.messageStarted, x.frameLength, x.lengthPrefix = 0, 0, nil
	if from == phaseLingering {
		s.lingering = slices.DeleteFunc(s.lingering, func(o *Connection) bool { return o == x })
	} else if to >= phaseLingering {
		s.connections.Remove(x.handle)
	}
	switch to {
	case phaseDraining:
		s.Counters.Draining++
		s.timers.Cancel(&x.timeout) // what is open ends by its own time
		x.completeDrain()
	case phaseLingering:
		s.Counters.Lingering++
		s.lingering = append(s.lingering, x)
		s.timers.Schedule(&x.timeout, s.now()+s.limits.LingerTimeout, x.lingerExpired)
		if x.socket.CloseWrite() != nil {
			x.closeNow(halfCloseFailed)
		}
		s.trim()
	case phaseClosed:
		s.Counters.Closed++
		s.timers.Cancel(&x.timeout)
		for seq, h := range x.openRequests {
			delete(x.openRequests, seq)
			s.handler.Cancel(h)
		}
	}
}

// recordTransition keeps a change of phase.
func (x *Connection) recordTransition(to phase, why flightrecorder.Reason) {
	e := flightrecorder.Event{At: x.server.now(), Kind: flightrecorder.ConnClosing, Conn: x.id, Reason: why, Count: len(x.openRequests)}
	if to == phaseClosed {
		e.Kind = flightrecorder.ConnClosed
	}
	x.server.FlightRecorder.Record(e)
}

// drain takes nothing more from the connection, and ends it once what is owed has gone out: a close would lose that.
func (x *Connection) drain(why flightrecorder.Reason) {
	if x.owesAnswer() {
		x.transition(phaseDraining, why)
		return
	}
	x.transition(phaseLingering, why)
}

// completeDrain ends a failing connection that owes nothing any more.
func (x *Connection) completeDrain() {
	switch {
	case x.phase != phaseDraining || len(x.openRequests) > 0:
	case x.socket.OutboundBuffered() > 0 && x.server.now()-x.lastActivity >= x.server.limits.ClientIdleTimeout:
		x.closeNow(answerNotRead)
	case x.socket.OutboundBuffered() > 0: // nothing tells when it has gone out
		x.server.timers.Schedule(&x.timeout, x.server.now()+x.server.limits.FlushCheckInterval, x.completeDrain)
	default:
		x.transition(phaseLingering, drainCompleted)
	}
}

// closeNow closes the connection and frees its place at once. What the client has not read may be lost with it.
func (x *Connection) closeNow(why flightrecorder.Reason) {
	x.transition(phaseClosed, why)
	x.socket.Close()
}

// lingerExpired ends a linger, unless the client is still taking what was left for it: it can't know of our end yet, and a message
// that it sends behind our close would reset the connection and take the rest along.
func (x *Connection) lingerExpired() {
	if x.socket.Unacknowledged() > 0 && x.server.now()-x.lastActivity < x.server.limits.ClientIdleTimeout {
		x.server.timers.Schedule(&x.timeout, x.server.now()+x.server.limits.LingerTimeout, x.lingerExpired)
		return
	}
	x.abortLinger(lingerTimeout)
}

// abortLinger ends a linger at once.
func (x *Connection) abortLinger(why flightrecorder.Reason) {
	x.server.Counters.LingersAborted++
	x.closeNow(why)
}

// scheduleTimeout closes the connection when it owes a message for too long, or has been idle for too long. The time
// for a message counts from where it began, not from its last byte: who sends one byte now and then is stuck.
func (x *Connection) scheduleTimeout() {
	l := x.server.limits
	due := x.lastActivity + l.ClientIdleTimeout
	if len(x.openRequests) > 0 {
		due = x.server.now() + l.ClientIdleTimeout
	}
	switch {
	case x.receivingFrame(): // not idle: its client writes on
		due = x.messageStarted + l.MessageTimeout
	case x.messageStarted != 0:
		due = min(due, x.messageStarted+l.MessageTimeout)
	}
	x.server.timers.Schedule(&x.timeout, due, func() {
		why := messageTimeout
		switch now := x.server.now(); {
		case x.messageStarted != 0 && now-x.messageStarted >= l.MessageTimeout:
			x.server.Counters.MessageTimeouts++
		case len(x.openRequests) == 0 && !x.receivingFrame() && now-x.lastActivity >= l.ClientIdleTimeout:
			x.server.Counters.IdleTimeouts++
			why = idleTimeout
			if x.owesAnswer() { // it has not read its last answer in all that time
				x.closeNow(answerNotRead)
				return
			}
		default:
			x.scheduleTimeout()
			return
		}
		x.drain(why)
	})
}

// Closed ends all that the connection had open: no answer can reach the client.
func (x *Connection) Closed() { x.transition(phaseClosed, closedByClient) }
