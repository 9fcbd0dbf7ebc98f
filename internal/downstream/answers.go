package downstream

import (
	"strconv"
	"time"

	"shaleyard/internal/director"
	"shaleyard/internal/flightrecorder"
)

// What goes out, and the bounds of what clients leave unread.

// Reply writes the one answer to a request.
func (x *Session) Reply(t uint64, a director.Response) {
	seq := int32(uint32(t))
	if _, ok := x.open[seq]; !ok || x.phase == closed {
		x.s.Counters.AnswersToDeadConns++
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

func (x *Session) serve(seq int32, a director.Response) {
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
func (x *Session) turnAway(seq int32, why flightrecorder.Reason) {
	x.s.Flight.Record(flightrecorder.Event{At: x.s.now(), Kind: flightrecorder.RequestRefused, Conn: x.id, Reason: why})
	x.refuse(seq, x.s.cooldown)
}

func (x *Session) refuse(seq int32, after time.Duration) {
	x.s.Counters.Refusals++
	var pairs []string
	if ms := (after + time.Millisecond - 1) / time.Millisecond; ms > 0 {
		pairs = []string{"cooldown", strconv.FormatInt(int64(ms), 10)}
	}
	x.write(x.s.out.declared("submit", seq, 1, pairs...))
}

// write passes an answer to the socket. What a client leaves unread is bounded, for each and for all
// together: one who does not read loses its connection, not the others their memory.
func (x *Session) write(parts ...[]byte) {
	if x.phase >= lingering {
		x.s.Counters.AnswersToDeadConns++
		return
	}
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	s := x.s
	s.backlog += size
	if x.c.OutboundBuffered()+size > s.limits.ClientBacklog {
		s.Counters.Backlogged++
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
	for s.backlog > s.limits.TotalBacklog {
		if s.backlog = s.Unsent(); s.backlog <= s.limits.TotalBacklog {
			return
		}
		var worst *Session
		s.conns.All(func(_ director.Handle, x *Session) bool {
			if worst == nil || x.c.OutboundBuffered() > worst.c.OutboundBuffered() {
				worst = x
			}
			return true
		})
		s.Counters.Backlogged++
		worst.shut(backlog)
	}
}
