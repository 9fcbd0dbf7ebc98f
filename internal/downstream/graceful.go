package downstream

import (
	"time"

	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// This file closes all connections without losing an answer, when the process drains or stops.

// StartGracefulClose half-closes all connections that have no pending answer and no partly received message, and whose
// clients have read their answers: see canHalfClose. The client of a new connection first has Limits.NewConnGracePeriod
// to send a message, because it may have connected before it could know of the close. The caller repeats the call until
// no connection is left, or calls CancelGracefulClose.
func (s *Server) StartGracefulClose() {
	s.closingGracefully = true
	for _, connection := range s.closableConnections() {
		connection.transition(phaseLingering, flightrecorder.ReasonGracefulClose)
	}
}

// closableConnections returns the connections that a graceful close may half-close now.
func (s *Server) closableConnections() []*Connection {
	var closable []*Connection
	now := s.now()
	s.connections.All(func(_ handle.Handle, connection *Connection) bool {
		awaitingMessage := connection.messageStarted != 0 && now-connection.messageStarted < s.limits.NewConnGracePeriod
		if !awaitingMessage && connection.canHalfClose(now) && connection.socket.Unread() == 0 {
			closable = append(closable, connection)
		}
		return true
	})
	return closable
}

// CancelGracefulClose ends a graceful close: connections that are still ready stay open.
func (s *Server) CancelGracefulClose() {
	s.closingGracefully = false
	s.trimLingering()
}

// ShortenDeadlines bounds how long clients can keep their connections open in a graceful close. On connections whose
// last message was complete at activeSince or later, open requests are answered by the deadline. From the deadline on,
// a connection whose requests are all answered is half-closed if its client has not been seen to read slowly, and
// closed once its client has read no output for Limits.SlowReaderTimeout. The caller repeats the call until no
// connection is left.
func (s *Server) ShortenDeadlines(activeSince, deadline routing.Time) {
	now := s.now()
	var stalled, answered []*Connection
	s.connections.All(func(_ handle.Handle, connection *Connection) bool {
		connection.updateReadProgress(now)
		switch {
		case now < deadline:
		case connection.stalled(now):
			stalled = append(stalled, connection)
		case connection.readsWithoutDelay():
			answered = append(answered, connection)
		}
		if connection.lastMessage >= activeSince {
			for _, request := range connection.openRequests {
				s.handler.ShortenDeadline(request.handle, deadline)
			}
		}
		return true
	})
	for _, connection := range stalled {
		s.Counters.StalledReadersClosed++
		connection.closeNow(flightrecorder.ReasonAnswerNotRead)
	}
	for _, connection := range answered {
		connection.transition(phaseLingering, flightrecorder.ReasonGracefulClose)
	}
}

// readsWithoutDelay reports whether nothing is owed on the connection, all output has been sent, and no pace of its
// client had to be measured. Only an estimate speaks against a half-close then.
func (c *Connection) readsWithoutDelay() bool {
	return !c.hasPendingAnswer() && !c.receivingFrame() && c.messageStarted == 0 && c.reading.pace == 0 &&
		c.socket.Unsent() == 0
}

// updateReadProgress notes whether the client has read output since the last call, for stalled. What its system has
// acknowledged is the finest measure there is: the program's own buffer moves only when the system takes the next part,
// which is seconds apart for a slow reader. Calls have to follow each other within maxProgressInterval to count.
func (c *Connection) updateReadProgress(now routing.Time) {
	progress := &c.progress
	acknowledged := c.acknowledged()
	progress.unread = c.output.written != acknowledged
	if !progress.unread || acknowledged != progress.acknowledged || now-progress.checkedAt > maxProgressInterval {
		progress.madeAt = now
	}
	progress.acknowledged, progress.checkedAt = acknowledged, now
}

// progressInterval is the time between two checks of all clients' progress by AnyClientReading.
const progressInterval = 20 * time.Millisecond

// AnyClientReading reports whether a client has unread output and has read some within Limits.SlowReaderTimeout. It
// looks at the clients again after progressInterval, and has to be called at least each maxProgressInterval.
func (s *Server) AnyClientReading() bool {
	now := s.now()
	if now-s.readersCheckedAt < progressInterval {
		return s.anyReader
	}
	s.readersCheckedAt, s.anyReader = now, false
	check := func(connection *Connection) {
		connection.updateReadProgress(now)
		if connection.progress.unread && now-connection.progress.madeAt < s.limits.SlowReaderTimeout {
			s.anyReader = true
		}
	}
	s.connections.All(func(_ handle.Handle, connection *Connection) bool {
		check(connection)
		return true
	})
	for _, connection := range s.lingering {
		check(connection)
	}
	return s.anyReader
}

// readProgress is the progress that a client makes in reading its output.
type readProgress struct {
	acknowledged int64        // bytes that the client's system had acknowledged at checkedAt
	checkedAt    routing.Time // when updateReadProgress was last called
	madeAt       routing.Time // when output was last found read, or nothing was left to read
	unread       bool         // output was left to read at checkedAt
}

// maxProgressInterval is the longest time between two checks of a client's progress that say something of the time
// between them.
const maxProgressInterval = time.Second

// stalled reports whether all requests are answered, output is unread, and the client has read none of it for
// Limits.SlowReaderTimeout.
func (c *Connection) stalled(now routing.Time) bool {
	return len(c.openRequests) == 0 && c.progress.unread && now-c.progress.madeAt >= c.server.limits.SlowReaderTimeout
}
