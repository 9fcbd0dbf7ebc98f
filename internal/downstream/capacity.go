package downstream

import (
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// This file keeps the bounds that connections share: how many there are, and how much all together leave unread.

// evictionRank orders the connections that may be closed for a new one; the lowest goes first.
type evictionRank int

const (
	rankIdlePastKeepAlive evictionRank = iota // idle for longer than clients keep their connections
	rankSilent                                // has sent no message yet
	rankIdle
	rankReceiving // a message is just arriving
)

// evictionRank is the rank of a connection that is owed no answer.
func (c *Connection) evictionRank(now routing.Time) evictionRank {
	switch {
	case c.receivingFrame():
		return rankReceiving
	case c.receivedMessage && now-c.lastActivity > c.server.limits.ClientKeepAlive:
		return rankIdlePastKeepAlive
	case !c.receivedMessage:
		return rankSilent
	}
	return rankIdle
}

// evictsBefore reports whether c is closed for a new connection rather than other: by rank, and of one rank the one
// that was active least recently.
func (c *Connection) evictsBefore(other *Connection, now routing.Time) bool {
	rank, otherRank := c.evictionRank(now), other.evictionRank(now)
	if rank != otherRank {
		return rank < otherRank
	}
	return c.lastActivity < other.lastActivity
}

// evict closes one connection for a new one, so that clients that connect and send nothing, or hold a connection for
// good, can't shut others out. A connection that is owed an answer stays.
func (s *Server) evict() {
	now := s.now()
	var candidate *Connection
	s.connections.All(func(_ handle.Handle, connection *Connection) bool {
		if !connection.owesAnswer() && (candidate == nil || connection.evictsBefore(candidate, now)) {
			candidate = connection
		}
		return true
	})
	if candidate == nil {
		return
	}
	s.Counters.Evicted++
	candidate.transition(phaseLingering, flightrecorder.ReasonEvictedForNewConnection)
}

// trim aborts the oldest lingering connections, beyond what the descriptors leave for them. In a graceful close
// nearly all linger at once: they may have the unused places of connections then, but new connections still take
// those.
func (s *Server) trim() {
	limit := s.limits.MaxLingeringConns
	if s.closingGracefully {
		limit += s.limits.MaxClientConns - s.connections.Len()
	}
	for len(s.lingering) > limit {
		s.lingering[0].abortLinger(flightrecorder.ReasonTooManyLingering)
	}
}

// enforceTotalOutboundLimit closes the connections that leave the most unread, until all together keep within their
// bound. It comes after a write, as closing a connection cancels requests, and that may bring answers to others.
func (s *Server) enforceTotalOutboundLimit() {
	for s.outboundEstimate > s.limits.TotalBacklogBytes {
		s.outboundEstimate = s.OutboundBuffered()
		if s.outboundEstimate <= s.limits.TotalBacklogBytes {
			return
		}
		s.Counters.SlowReadersClosed++
		s.slowestReader().closeNow(flightrecorder.ReasonOutboundLimitExceeded)
	}
}

// slowestReader is the connection whose client has left the most unread; nil: there is none.
func (s *Server) slowestReader() *Connection {
	var slowest *Connection
	s.connections.All(func(_ handle.Handle, connection *Connection) bool {
		if slowest == nil || connection.socket.OutboundBuffered() > slowest.socket.OutboundBuffered() {
			slowest = connection
		}
		return true
	})
	return slowest
}
