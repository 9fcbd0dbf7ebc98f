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
	serving   phase = iota // messages are taken
	failing                // nothing more is taken, as what came can't be followed; answers that are owed still go out
	lingering              // nothing is owed, our half is closed; what comes is dropped until the client closes its own
	closed                 // nothing reaches the client any more
)

// Connection is one client connection.
type Connection struct {
	s       *Server
	c       eventloop.Conn
	id      uint64 // counted from 1, for the log
	phase   phase
	handle  handle.Handle
	head    []byte // of a frame's length
	want    int    // bytes of the frame under way; 0: none
	got     buffer.Chain
	open    map[int32]handle.Handle
	idle    timer.Timer
	lastUse routing.Time // when it last brought a whole message or was answered
	heard   routing.Time // when it last brought a whole message
	unread  int          // bytes that its client had not taken when that last changed, as seen by Curtail
	moved   routing.Time // and when that was
	begun   routing.Time // when the frame under way, or for the first one the connection, began; 0: none is owed
	spoke   bool         // a whole message has come
	dropped int          // bytes read and not looked at
}

// busy tells whether an answer is owed, or not yet passed on whole: a close would lose it.
func (x *Connection) busy() bool { return len(x.open) > 0 || x.c.OutboundBuffered() > 0 }

// midway tells that a part of a message has come, and not all of it.
func (x *Connection) midway() bool { return x.want != 0 || len(x.head) > 0 }

// move takes the session on to a later phase, for a reason; it is the one place where the phase changes.
func (x *Connection) move(to phase, why flightrecorder.Reason) {
	if to <= x.phase {
		return
	}
	s, from := x.s, x.phase
	x.record(to, why)
	x.phase = to
	x.got.Release()
	x.begun, x.want, x.head = 0, 0, nil
	if from == lingering {
		s.lingers = slices.DeleteFunc(s.lingers, func(o *Connection) bool { return o == x })
	} else if to >= lingering {
		s.conns.Remove(x.handle)
	}
	switch to {
	case failing:
		s.Counters.Draining++
		s.agenda.Cancel(&x.idle) // what is open ends by its own time
		x.settle()
	case lingering:
		s.Counters.Lingering++
		s.lingers = append(s.lingers, x)
		s.agenda.Schedule(&x.idle, s.now()+s.limits.LingerTimeout, x.ebb)
		if x.c.CloseWrite() != nil {
			x.shut(halfCloseFailed)
		}
		s.trim()
	case closed:
		s.Counters.Closed++
		s.agenda.Cancel(&x.idle)
		for seq, h := range x.open {
			delete(x.open, seq)
			s.taker.Cancel(h)
		}
	}
}

// record keeps a change of phase.
func (x *Connection) record(to phase, why flightrecorder.Reason) {
	e := flightrecorder.Event{At: x.s.now(), Kind: flightrecorder.ConnClosing, Conn: x.id, Reason: why, Count: len(x.open)}
	if to == closed {
		e.Kind = flightrecorder.ConnClosed
	}
	x.s.FlightRecorder.Record(e)
}

// finish takes nothing more from the connection, and ends it once what is owed has gone out: a close would lose that.
func (x *Connection) finish(why flightrecorder.Reason) {
	if x.busy() {
		x.move(failing, why)
		return
	}
	x.move(lingering, why)
}

// settle ends a failing connection that owes nothing any more.
func (x *Connection) settle() {
	switch {
	case x.phase != failing || len(x.open) > 0:
	case x.c.OutboundBuffered() > 0 && x.s.now()-x.lastUse >= x.s.limits.ClientIdleTimeout:
		x.shut(answerUnread)
	case x.c.OutboundBuffered() > 0: // nothing tells when it has gone out
		x.s.agenda.Schedule(&x.idle, x.s.now()+x.s.limits.FlushCheckInterval, x.settle)
	default:
		x.move(lingering, nothingOwed)
	}
}

// shut closes the connection and frees its place at once. What the client has not read may be lost with it.
func (x *Connection) shut(why flightrecorder.Reason) {
	x.move(closed, why)
	x.c.Close()
}

// ebb ends a linger, unless the client is still taking what was left for it: it can't know of our end yet, and a message
// that it sends behind our close would reset the connection and take the rest along.
func (x *Connection) ebb() {
	if x.c.Unacknowledged() > 0 && x.s.now()-x.lastUse < x.s.limits.ClientIdleTimeout {
		x.s.agenda.Schedule(&x.idle, x.s.now()+x.s.limits.LingerTimeout, x.ebb)
		return
	}
	x.cut(lingerOver)
}

// cut ends a linger at once.
func (x *Connection) cut(why flightrecorder.Reason) {
	x.s.Counters.LingersAborted++
	x.shut(why)
}

// watch closes the connection when it owes a message for too long, or has been idle for too long. The time
// for a message counts from where it began, not from its last byte: who sends one byte now and then is stuck.
func (x *Connection) watch() {
	l := x.s.limits
	due := x.lastUse + l.ClientIdleTimeout
	if len(x.open) > 0 {
		due = x.s.now() + l.ClientIdleTimeout
	}
	switch {
	case x.midway(): // not idle: its client writes on
		due = x.begun + l.MessageTimeout
	case x.begun != 0:
		due = min(due, x.begun+l.MessageTimeout)
	}
	x.s.agenda.Schedule(&x.idle, due, func() {
		why := mute
		switch now := x.s.now(); {
		case x.begun != 0 && now-x.begun >= l.MessageTimeout:
			x.s.Counters.MessageTimeouts++
		case len(x.open) == 0 && !x.midway() && now-x.lastUse >= l.ClientIdleTimeout:
			x.s.Counters.IdleTimeouts++
			why = rested
			if x.busy() { // it has not read its last answer in all that time
				x.shut(answerUnread)
				return
			}
		default:
			x.watch()
			return
		}
		x.finish(why)
	})
}

// Closed ends all that the connection had open: no answer can reach the client.
func (x *Connection) Closed() { x.move(closed, byClient) }
