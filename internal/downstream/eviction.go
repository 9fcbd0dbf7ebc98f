package downstream

import (
	"cmp"
	"slices"
	"time"

	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// This file enforces the limits on the number of connections. A place that a new connection needs is taken from a
// client that makes no use of its own, never from one that writes its request or reads its answers in good time.

// evictionRank orders the connections that can be evicted for a new one. The lowest rank is evicted first.
type evictionRank int

const (
	rankIdlePastKeepAlive evictionRank = iota // idle for longer than Limits.ClientKeepAlive
	rankNoMessage                             // has sent nothing yet
	rankIdle                                  // idle for at most Limits.ClientKeepAlive
	rankLateWriter                            // does not write its message in good time
	rankStalledReader                         // reads none of its answers
	rankPausedWriter                          // writes its message in good time, but not just now
	rankJustAccepted                          // has sent nothing yet, and had hardly time to
	rankNotEvictable
)

const (
	// maxWriteSilence is the time without input after which an unfinished message may be interrupted at all.
	maxWriteSilence = 10 * time.Millisecond
	// evictionRetryInterval is the time for which no connection is looked for after none was found.
	evictionRetryInterval = time.Millisecond
)

// evictionRank returns the eviction rank of a connection. Clients close or abandon a connection that was idle for
// Limits.ClientKeepAlive, so such a connection is worth the least.
func (c *Connection) evictionRank(now routing.Time) evictionRank {
	switch {
	case len(c.openRequests) > 0:
		return rankNotEvictable
	case c.socket.OutboundBuffered() > 0:
		return rankStalledReader
	case c.receivingFrame():
		return c.writerRank(now)
	case c.receivedMessage && now-c.lastActivity > c.server.limits.ClientKeepAlive:
		return rankIdlePastKeepAlive
	case c.receivedMessage:
		return rankIdle
	case c.writesInGoodTime(now):
		return rankJustAccepted
	}
	return rankNoMessage
}

// writerRank returns the eviction rank of a connection that has sent a part of a message.
func (c *Connection) writerRank(now routing.Time) evictionRank {
	switch {
	case !c.writesInGoodTime(now):
		return rankLateWriter
	case now-c.lastInput >= maxWriteSilence:
		return rankPausedWriter
	}
	return rankNotEvictable
}

// writesInGoodTime reports whether the message that is being received, or awaited on a new connection, has made
// progress within Limits.WriteStallTimeout.
func (c *Connection) writesInGoodTime(now routing.Time) bool {
	stalled := c.partialFrame.progress.Stalled(now)
	if c.partialFrame.received == 0 {
		stalled = now - c.messageStarted
	}
	return stalled <= c.server.limits.WriteStallTimeout
}

// mayEvict reports whether a connection of the given rank may be evicted now. For idle connections and stalled readers,
// that depends on what their clients have read. A connection with unread input is in use, whatever its rank.
func (c *Connection) mayEvict(rank evictionRank, now routing.Time) bool {
	if c.socket.Unread() > 0 {
		return false
	}
	switch rank {
	case rankNoMessage, rankLateWriter, rankPausedWriter, rankJustAccepted:
		return true
	case rankIdlePastKeepAlive, rankIdle:
		return c.canHalfClose(now) || c.stopsReading(now)
	case rankStalledReader:
		return c.stopsReading(now)
	}
	return false
}

// stopsReading reports whether the client has been seen to read none of its output for twice Limits.SlowReaderTimeout:
// the system of a client that reads slowly acknowledges in steps. It has to be called at least each
// maxProgressInterval.
func (c *Connection) stopsReading(now routing.Time) bool {
	c.updateReadProgress(now)
	return c.progress.unread && now-c.progress.madeAt >= 2*c.server.limits.SlowReaderTimeout
}

// evictionCandidate is a connection that can be evicted.
type evictionCandidate struct {
	*Connection
	rank evictionRank
}

// compare returns a negative number if c is evicted before other, and a positive one if other is: the connection of the
// lower rank first, and of equal ranks the one whose last input or activity is longer ago.
func (c evictionCandidate) compare(other evictionCandidate) int {
	byInput := cmp.Compare(max(c.lastActivity, c.lastInput), max(other.lastActivity, other.lastInput))
	return cmp.Or(cmp.Compare(c.rank, other.rank), byInput)
}

// evict makes room for a new connection, so that clients that send nothing, keep idle connections open, don't finish
// their messages or read no answers cannot lock out other clients. If there is no connection of that kind, the new one
// finds no room.
func (s *Server) evict() {
	now := s.now()
	if now < s.nextEvictionAt {
		return
	}
	for _, candidate := range s.evictionCandidates(now) {
		if candidate.mayEvict(candidate.rank, now) {
			s.Counters.Evicted++
			candidate.evict()
			return
		}
	}
	s.nextEvictionAt = now + evictionRetryInterval
}

// evict ends the connection. A request that has arrived in part is refused first, as its client may still finish it.
func (c *Connection) evict() {
	c.rejectUnfinished(flightrecorder.ReasonEvictedForNewConnection)
	if c.hasPendingAnswer() { // the client reads nothing
		c.closeNow(flightrecorder.ReasonEvictedForNewConnection)
		return
	}
	c.transition(phaseLingering, flightrecorder.ReasonEvictedForNewConnection)
}

// evictionCandidates returns the connections that can be evicted, in the order in which they are.
func (s *Server) evictionCandidates(now routing.Time) []evictionCandidate {
	var candidates []evictionCandidate
	s.connections.All(func(_ handle.Handle, connection *Connection) bool {
		if rank := connection.evictionRank(now); rank != rankNotEvictable {
			candidates = append(candidates, evictionCandidate{Connection: connection, rank: rank})
		}
		return true
	})
	slices.SortStableFunc(candidates, evictionCandidate.compare)
	return candidates
}

// trimLingering closes lingering connections until their number is at most Limits.MaxLingeringConns, their share of the
// file descriptors: the oldest one whose client has received all output or, if there is none, the oldest. In a graceful
// close nearly all connections linger at once, so the limit then also includes the unused part of
// Limits.MaxClientConns. Each new connection lowers this limit by one.
func (s *Server) trimLingering() {
	limit := s.limits.MaxLingeringConns
	if s.closingGracefully {
		limit += s.limits.MaxClientConns - s.connections.Len()
	}
	for len(s.lingering) > limit {
		received := func(c *Connection) bool { return c.socket.Unacknowledged() == 0 }
		oldest := max(0, slices.IndexFunc(s.lingering, received))
		s.lingering[oldest].abortLinger(flightrecorder.ReasonTooManyLingering)
	}
}
