package downstream

import (
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
)

// This file enforces the limit on the unread output of all connections together.

// HasRoom implements director.Replier. It keeps unread output within Limits.BodyBacklogBytes without closing a
// connection. Within Limits.SharedBacklogBytes, one client may hold as much as is still free after its answer: each
// slow reader gets less the more of them there are, and a part always stays free. This is the dynamic threshold of
// Choudhury and Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches" (1998), with a factor of 1.
// Answers that must not be requested again may use more, and the rest of BodyBacklogBytes is for clients to which
// everything has been sent: the system takes their answers from the program, even if they then read nothing.
func (c *Connection) HasRoom(bodySize int, repeatable bool) bool {
	if c.phase == phaseClosed {
		return true // Reply discards the answer
	}
	server := c.server
	size := bodySize + maxAnswerOverhead
	buffered := c.socket.OutboundBuffered()
	if buffered+size > server.limits.ClientBacklogBytes {
		return false
	}
	if server.outboundStaysWithin(server.limits.SharedBacklogBytes-buffered, size) {
		return true
	}
	switch {
	case buffered == 0 && c.socket.Unsent() == 0:
		return server.outboundStaysWithin(server.limits.BodyBacklogBytes, size)
	case !repeatable:
		return server.outboundStaysWithin(server.limits.UnrepeatableBacklogBytes, size)
	}
	return false
}

// maxAnswerOverhead is an upper bound of the bytes of an answer's message without its body.
const maxAnswerOverhead = 1 << 10

// hasRoomForRequest reports whether the answer to one more request is likely to find room. While a client reads slowly,
// the largest answers to all its open requests have to fit; the client's further requests are rejected before any
// server executes them.
func (c *Connection) hasRoomForRequest() bool {
	if c.socket.OutboundBuffered() == 0 || !c.readsSlowly() {
		return true
	}
	return c.HasRoom((len(c.openRequests)+1)*c.server.limits.MaxAnswerBodyBytes, true)
}

// readsSlowly reports whether output has waited for longer than Limits.SlowReaderAge until the system could send it.
func (c *Connection) readsSlowly() bool {
	waiting := c.socket.OutboundBuffered() + c.socket.Unsent()
	writtenAt, ok := c.output.oldestWithin(waiting)
	return ok && c.server.now()-writtenAt > c.server.limits.SlowReaderAge
}

// outboundStaysWithin reports whether the unread output of all clients, plus size, stays within the limit in bytes.
func (s *Server) outboundStaysWithin(limit, size int) bool {
	if s.outboundEstimate+size <= limit {
		return true
	}
	s.outboundEstimate = s.OutboundBuffered()
	return s.outboundEstimate+size <= limit
}

// closeFlooders closes connections whose clients send requests without reading the answers. A client keeps at
// most Limits.MaxRequestsPerConn requests open, so it leaves at most as many answers unread; further unread messages
// are bounded by Limits.MaxUnreadMessages on one connection and, on all together, by the part of
// Limits.TotalBacklogBytes that bodies may not use. No other connection is closed for its unread output.
//
// Closing a connection cancels its requests, and the cancellation can cause answers to other requests. These answers
// are encoded in the buffers that all connections share, such as Server.replyWriter, so the caller must write its own
// message first: the answers would overwrite it.
func (c *Connection) closeFlooders() {
	server := c.server
	if c.unsentMessages() > server.limits.MaxUnreadMessages {
		c.closeFlooder()
	}
	for !server.outboundStaysWithin(server.limits.TotalBacklogBytes, 0) {
		worst := server.mostUnsentMessages()
		if worst == nil || worst.unsentMessages() <= server.limits.MaxRequestsPerConn {
			return
		}
		worst.closeFlooder()
	}
}

func (c *Connection) closeFlooder() {
	c.server.Counters.SlowReadersClosed++
	c.closeNow(flightrecorder.ReasonOutboundLimitExceeded)
}

// mostUnsentMessages returns the connection with the most unsent messages, or nil if there are no connections.
func (s *Server) mostUnsentMessages() *Connection {
	var worst *Connection
	s.connections.All(func(_ handle.Handle, connection *Connection) bool {
		if worst == nil || connection.unsentMessages() > worst.unsentMessages() {
			worst = connection
		}
		return true
	})
	return worst
}
