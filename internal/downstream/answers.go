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
	if _, ok := x.open[seq]; !ok || x.phase == closed {
		x.s.Counters.AnswersAfterClose++
		return
	}
	delete(x.open, seq)
	x.lastUse = x.s.now()
	switch a.Outcome {
	case director.Served:
		x.s.Counters.Answers++
		x.serve(seq, a)
	case director.Rejected:
		x.refuse(seq, a.RetryAfter)
	default:
		x.s.Counters.Failures++
		x.write(x.s.out.declared("submit", seq, 2))
	}
	x.settle()
}

func (x *Connection) serve(seq int32, a director.Response) {
	body := 0
	iov := append(x.s.iov[:0], nil)
	if a.Body != nil && !a.NotModified {
		body = a.Body.Len()
		iov = a.Body.Segments(iov)
	}
	w, tail := &x.s.out, &x.s.tail
	w.answerHead("submit", seq, body)
	tail.b = tail.b[:0]
	if a.NotModified {
		tail.answerTail(true, "valid", "1")
	} else {
		tail.answerTail(true)
	}
	iov[0] = w.end(body + len(tail.b))
	iov = append(iov, tail.b)
	x.s.iov = iov
	x.write(iov...)
	clear(iov)
}

// turnAway refuses a request that the director has not seen.
func (x *Connection) turnAway(seq int32, why flightrecorder.Reason) {
	x.s.FlightRecorder.Record(flightrecorder.Event{At: x.s.now(), Kind: flightrecorder.RequestRejected, Conn: x.id, Reason: why})
	x.refuse(seq, x.s.cooldown)
}

func (x *Connection) refuse(seq int32, after time.Duration) {
	x.s.Counters.Rejections++
	var pairs []string
	if ms := (after + time.Millisecond - 1) / time.Millisecond; ms > 0 {
		pairs = []string{"cooldown", strconv.FormatInt(int64(ms), 10)}
	}
	x.write(x.s.out.declared("submit", seq, 1, pairs...))
}

// write passes an answer to the socket. What a client leaves unread is bounded, for each and for all
// together: one who does not read loses its connection, not the others their memory.
func (x *Connection) write(parts ...[]byte) {
	if x.phase >= lingering {
		x.s.Counters.AnswersAfterClose++
		return
	}
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	s := x.s
	s.backlog += size
	if x.c.OutboundBuffered()+size > s.limits.ClientBacklogBytes {
		s.Counters.SlowReadersClosed++
		x.shut(backlog)
		return
	}
	s.Counters.BytesOut += uint64(size)
	if _, err := x.c.Writev(parts); err != nil {
		x.shut(writeFailed)
	}
	s.relieve()
}

// relieve closes those who have left the most unread, until all together keep within their bound. It comes behind the
// write, as what a close withdraws may bring answers to others.
func (s *Server) relieve() {
	for s.backlog > s.limits.TotalBacklogBytes {
		if s.backlog = s.OutboundBuffered(); s.backlog <= s.limits.TotalBacklogBytes {
			return
		}
		var worst *Connection
		s.conns.All(func(_ handle.Handle, x *Connection) bool {
			if worst == nil || x.c.OutboundBuffered() > worst.c.OutboundBuffered() {
				worst = x
			}
			return true
		})
		s.Counters.SlowReadersClosed++
		worst.shut(backlog)
	}
}
