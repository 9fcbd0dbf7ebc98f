package downstream

import (
	"strconv"
	"time"

	"shaleyard/internal/director"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
)

// What goes out, and the bounds of what clients leave unread.

// Reply writes the one answer to a request.
func (x *Connection) Reply(t uint64, a director.Response) {
	seq := int32(uint32(t))
	if _, ok := x.openRequests[seq]; !ok || x.phase == phaseClosed {
		x.server.Counters.AnswersAfterClose++
		return
	}
	delete(x.openRequests, seq)
	x.lastActivity = x.server.now()
	switch a.Outcome {
	case director.Served:
		x.server.Counters.Answers++
		x.writeAnswer(seq, a)
	case director.Rejected:
		x.writeRejection(seq, a.RetryAfter)
	default:
		x.server.Counters.Failures++
		x.write(x.server.replyWriter.declared("submit", seq, 2))
	}
	x.completeDrain()
}

func (x *Connection) writeAnswer(seq int32, a director.Response) {
	body := 0
	iov := append(x.server.segments[:0], nil)
	if a.Body != nil && !a.NotModified {
		body = a.Body.Len()
		iov = a.Body.Segments(iov)
	}
	w, tail := &x.server.replyWriter, &x.server.tailWriter
	w.answerHead("submit", seq, body)
	tail.b = tail.b[:0]
	if a.NotModified {
		tail.answerTail(true, "valid", "1")
	} else {
		tail.answerTail(true)
	}
	iov[0] = w.end(body + len(tail.b))
	iov = append(iov, tail.b)
	x.server.segments = iov
	x.write(iov...)
	clear(iov)
}

// rejectLocally refuses a request that the director has not seen.
func (x *Connection) rejectLocally(seq int32, why flightrecorder.Reason) {
	x.server.FlightRecorder.Record(flightrecorder.Event{At: x.server.now(), Kind: flightrecorder.RequestRejected, Conn: x.id, Reason: why})
	x.writeRejection(seq, x.server.retryAfter)
}

func (x *Connection) writeRejection(seq int32, after time.Duration) {
	x.server.Counters.Rejections++
	var pairs []string
	if ms := (after + time.Millisecond - 1) / time.Millisecond; ms > 0 {
		pairs = []string{"cooldown", strconv.FormatInt(int64(ms), 10)}
	}
	x.write(x.server.replyWriter.declared("submit", seq, 1, pairs...))
}

// write passes an answer to the socket. What a client leaves unread is bounded, for each and for all
// together: one who does not read loses its connection, not the others their memory.
func (x *Connection) write(parts ...[]byte) {
	if x.phase >= phaseLingering {
		x.server.Counters.AnswersAfterClose++
		return
	}
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	s := x.server
	s.outboundEstimate += size
	if x.socket.OutboundBuffered()+size > s.limits.ClientBacklogBytes {
		s.Counters.SlowReadersClosed++
		x.closeNow(outboundLimitExceeded)
		return
	}
	s.Counters.BytesOut += uint64(size)
	if _, err := x.socket.Writev(parts); err != nil {
		x.closeNow(writeFailed)
	}
	s.enforceTotalOutboundLimit()
}

// enforceTotalOutboundLimit closes those who have left the most unread, until all together keep within their bound. It comes behind the
// write, as what a close withdraws may bring answers to others.
func (s *Server) enforceTotalOutboundLimit() {
	for s.outboundEstimate > s.limits.TotalBacklogBytes {
		if s.outboundEstimate = s.OutboundBuffered(); s.outboundEstimate <= s.limits.TotalBacklogBytes {
			return
		}
		var worst *Connection
		s.connections.All(func(_ handle.Handle, x *Connection) bool {
			if worst == nil || x.socket.OutboundBuffered() > worst.socket.OutboundBuffered() {
				worst = x
			}
			return true
		})
		s.Counters.SlowReadersClosed++
		worst.closeNow(outboundLimitExceeded)
	}
}
