package downstream

import (
	"strconv"
	"time"

	"shaleyard/internal/director"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/thrift"
)

// Reply implements director.Replier: it writes the one response to a request. The token is its sequence number.
func (c *Connection) Reply(token uint64, response director.Response) {
	s := c.server
	seqID := int32(uint32(token))
	if _, open := c.openRequests[seqID]; !open || c.phase == phaseClosed {
		s.Counters.AnswersAfterClose++
		return
	}
	delete(c.openRequests, seqID)
	c.lastActivity = s.now()
	switch response.Outcome {
	case director.Served:
		s.Counters.Answers++
		c.writeAnswer(seqID, response)
	case director.Rejected:
		c.writeRejection(seqID, response.RetryAfter)
	default:
		s.Counters.Failures++
		c.write(exceptionFrame(&s.replyWriter, seqID, resultInternal))
	}
	c.completeDrain()
}

// writeAnswer writes the Answer to a request that was served. The body is written from its buffers, and not copied.
func (c *Connection) writeAnswer(seqID int32, response director.Response) {
	s := c.server
	bodyLength := 0
	segments := append(s.segments[:0], nil) // the first is the head, which is known last
	if response.Body != nil && !response.NotModified {
		bodyLength = response.Body.Len()
		segments = response.Body.Segments(segments)
	}
	head, tail := &s.replyWriter, &s.tailWriter
	beginAnswer(head, methodSubmit, seqID, bodyLength)
	tail.Reset()
	if response.NotModified {
		finishAnswer(tail, true, fieldNotModified, "1")
	} else {
		finishAnswer(tail, true)
	}
	segments[0] = head.Frame(bodyLength + len(tail.Bytes()))
	segments = append(segments, tail.Bytes())
	s.segments = segments
	c.write(segments...)
	clear(segments)
}

// rejectLocally rejects a request that the director has not seen.
func (c *Connection) rejectLocally(seqID int32, why reason) {
	s := c.server
	s.record(flightrecorder.Event{Kind: flightrecorder.RequestRejected, Conn: c.id}, why)
	c.writeRejection(seqID, s.retryAfter)
}

// writeRejection tells a client that its request was rejected, and how long it should stay away: whole milliseconds,
// rounded up; 0 or less: no advice.
func (c *Connection) writeRejection(seqID int32, retryAfter time.Duration) {
	s := c.server
	s.Counters.Rejections++
	var fields []string
	if ms := (retryAfter + time.Millisecond - 1) / time.Millisecond; ms > 0 {
		fields = []string{fieldRetryAfter, strconv.FormatInt(int64(ms), 10)}
	}
	c.write(exceptionFrame(&s.replyWriter, seqID, resultOverloaded, fields...))
}

func (c *Connection) writeApplicationException(header thrift.MessageHeader, errorType thrift.ApplicationError, text string) {
	c.write(c.server.replyWriter.ApplicationException(header.Method, header.SeqID, errorType, text))
}

// write passes a message to the socket. What a client leaves unread is bounded, for each and for all together: a slow
// reader loses its connection, so that the others keep theirs.
func (c *Connection) write(segments ...[]byte) {
	s := c.server
	if c.phase >= phaseLingering {
		s.Counters.AnswersAfterClose++
		return
	}
	size := 0
	for _, segment := range segments {
		size += len(segment)
	}
	s.outboundEstimate += size
	if c.socket.OutboundBuffered()+size > s.limits.ClientBacklogBytes {
		s.Counters.SlowReadersClosed++
		c.closeNow(outboundLimitExceeded)
		return
	}
	s.Counters.BytesOut += uint64(size)
	if _, err := c.socket.Writev(segments); err != nil {
		c.closeNow(writeFailed)
	}
	s.enforceTotalOutboundLimit()
}
