package downstream

import (
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// This file enforces the limits that all connections share: their number, and their total of unread output.

// evictionRank orders the connections that can be evicted for a new one. The lowest rank is evicted first.
type evictionRank int

const (
	rankIdlePastKeepAlive evictionRank = iota // idle for longer than Limits.ClientKeepAlive
	rankNoMessage                             // has sent no complete message yet
	rankIdle                                  // idle for at most Limits.ClientKeepAlive
	rankReceiving                             // has sent a part of a message
)

// evictionRank returns the eviction rank of a connection without pending answers. Clients close or abandon a connection
// that was idle for Limits.ClientKeepAlive, so such a connection is worth the least.
func (c *Connection) evictionRank(now routing.Time) evictionRank {
	switch {
	case c.receivingFrame():
		return rankReceiving
	case c.receivedMessage && now-c.lastActivity > c.server.limits.ClientKeepAlive:
		return rankIdlePastKeepAlive
	case !c.receivedMessage:
		return rankNoMessage
	}
	return rankIdle
}

// evictsBefore reports whether c is evicted before other: the connection of the lower rank first, and of equal ranks
// the one whose last activity is longer ago.
func (c *Connection) evictsBefore(other *Connection, now routing.Time) bool {
	rank, otherRank := c.evictionRank(now), other.evictionRank(now)
	if rank != otherRank {
		return rank < otherRank
	}
	return c.lastActivity < other.lastActivity
}

// evict closes the connection with the lowest eviction rank to make room for a new one, so that clients that send
// nothing, or keep idle connections open, cannot lock out other clients. Connections with pending answers are never
// evicted.
func (s *Server) evict() {
	now := s.now()
	var candidate *Connection
	s.connections.All(func(_ handle.Handle, connection *Connection) bool {
		if !connection.hasPendingAnswer() && (candidate == nil || connection.evictsBefore(candidate, now)) {
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

// trimLingering closes the oldest lingering connections until their number is at most Limits.MaxLingeringConns, their
// share of the file descriptors. In a graceful close nearly all connections linger at once, so the limit then
// also includes the unused part of Limits.MaxClientConns. Each new connection lowers this limit by one.
func (s *Server) trimLingering() {
	limit := s.limits.MaxLingeringConns
	if s.closingGracefully {
		limit += s.limits.MaxClientConns - s.connections.Len()
	}
	for len(s.lingering) > limit {
		s.lingering[0].abortLinger(flightrecorder.ReasonTooManyLingering)
	}
}

// enforceTotalOutboundLimit closes the connections with the most unread output until the total is at most
// Limits.TotalBacklogBytes. Closing a connection cancels its requests, and the cancellation can cause answers to other
// requests. These answers are encoded in the buffers that all connections share, such as Server.replyWriter, so the
// caller must write its own message first: the answers would overwrite it.
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

// slowestReader returns the connection with the most unread output, or nil if there are no connections.
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
