package downstream

import (
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// This file ends all connections in good order, as the process is drained or stops.

// StartGracefulClose closes all connections that are owed nothing. It is called again until none is left, or
// CancelGracefulClose ends it. A message that has begun may come to its end first, and the client of a new connection
// has a moment (Limits.NewConnGracePeriod) to send one: it may have connected before it could know.
func (s *Server) StartGracefulClose() {
	s.closingGracefully = true
	for _, connection := range s.closableConnections() {
		connection.transition(phaseLingering, flightrecorder.ReasonGracefulClose)
	}
}

// closableConnections are those that a graceful close may end now.
func (s *Server) closableConnections() []*Connection {
	var closable []*Connection
	now := s.now()
	s.connections.All(func(_ handle.Handle, connection *Connection) bool {
		messageMayCome := connection.messageStarted != 0 && now-connection.messageStarted < s.limits.NewConnGracePeriod
		if !connection.owesAnswer() && !connection.receivingFrame() && !messageMayCome {
			closable = append(closable, connection)
		}
		return true
	})
	return closable
}

// CancelGracefulClose ends what StartGracefulClose began: connections are kept again.
func (s *Server) CancelGracefulClose() {
	s.closingGracefully = false
	s.trim()
}

// ShortenDeadlines bounds how long clients can hold their connections open in a graceful close. The open requests of
// connections that have had a message since a time are answered by the deadline. After the deadline, connections that
// wait for nothing but their client's reading are closed once it has read nothing for Limits.SlowReaderTimeout. It is
// called again until none is left.
func (s *Server) ShortenDeadlines(activeSince, deadline routing.Time) {
	now := s.now()
	var stalled []*Connection
	s.connections.All(func(_ handle.Handle, connection *Connection) bool {
		connection.noteReading(now)
		if now >= deadline && connection.stalled(now) {
			stalled = append(stalled, connection)
		}
		if connection.lastMessage >= activeSince {
			for _, request := range connection.openRequests {
				s.handler.ShortenDeadline(request, deadline)
			}
		}
		return true
	})
	for _, connection := range stalled {
		s.Counters.StalledReadersClosed++
		connection.closeNow(flightrecorder.ReasonAnswerNotRead)
	}
}

// noteReading notes whether the client has read something since the last call.
func (c *Connection) noteReading(now routing.Time) {
	buffered := c.socket.OutboundBuffered()
	if buffered != c.outboundSeen {
		c.outboundSeen = buffered
		c.outboundChanged = now
	}
}

// stalled reports that all is answered, and that the client has long read nothing of what is left for it.
func (c *Connection) stalled(now routing.Time) bool {
	return len(c.openRequests) == 0 && c.outboundSeen > 0 && now-c.outboundChanged >= c.server.limits.SlowReaderTimeout
}
