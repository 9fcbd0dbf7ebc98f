package downstream

import (
	"strconv"
	"time"

	"shaleyard/internal/director"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/thrift"
)

// Reply implements director.Replier. It writes the response to an open request, whose sequence number is the token, and
// closes the request. A response to a request that is not open any more is discarded.
func (c *Connection) Reply(token uint64, response director.Response) {
	server := c.server
	seqID := int32(uint32(token))
	if _, open := c.openRequests[seqID]; !open || c.phase == phaseClosed {
		server.Counters.AnswersAfterClose++
		return
	}
	c.forgetRequest(seqID)
	c.lastActivity = server.now()
	switch response.Outcome {
	case director.Served:
		server.Counters.Answers++
		c.writeAnswer(seqID, response)
	case director.Rejected:
		c.writeRejection(seqID, response.RetryAfter)
	default:
		server.Counters.Failures++
		c.writeReply(exceptionFrame(&server.replyWriter, seqID, resultInternal))
	}
	c.completeDrain()
}

// writeAnswer writes the Answer to a served request. The body is written from its own buffers, without a copy.
func (c *Connection) writeAnswer(seqID int32, response director.Response) {
	server := c.server
	bodyLength := 0
	segments := append(server.segments[:0], nil) // the first segment is the head, which is complete only at the end
	if response.Body != nil && !response.NotModified {
		bodyLength = response.Body.Len()
		segments = response.Body.Segments(segments)
	}
	head, tail := &server.replyWriter, &server.tailWriter
	beginAnswer(head, methodSubmit, seqID, bodyLength)
	tail.Reset()
	if response.NotModified {
		finishAnswer(tail, true, fieldNotModified, "1")
	} else {
		finishAnswer(tail, true)
	}
	segments[0] = head.Frame(bodyLength + len(tail.Bytes()))
	segments = append(segments, tail.Bytes())
	server.segments = segments
	c.writeReply(segments...)
	clear(segments)
}

// rejectLocally rejects a request that the director has not accepted.
func (c *Connection) rejectLocally(seqID int32, reason flightrecorder.Reason) {
	server := c.server
	server.record(flightrecorder.Event{Kind: flightrecorder.RequestRejected, Conn: c.id}, reason)
	c.writeRejection(seqID, server.retryAfter)
}

// writeRejection writes the Overloaded exception to a rejected request. It includes retryAfter, the delay after which
// the client may try again, in whole milliseconds, rounded up. A delay of 0 or less is not sent.
func (c *Connection) writeRejection(seqID int32, retryAfter time.Duration) {
	server := c.server
	server.Counters.Rejections++
	var fields []string
	if ms := (retryAfter + time.Millisecond - 1) / time.Millisecond; ms > 0 {
		fields = []string{fieldRetryAfter, strconv.FormatInt(int64(ms), 10)}
	}
	c.writeReply(exceptionFrame(&server.replyWriter, seqID, resultOverloaded, fields...))
}

// writeApplicationException writes an application exception as the answer to a call that cannot be handled.
func (c *Connection) writeApplicationException(call thrift.MessageHeader, kind thrift.ApplicationError, text string) {
	c.writeMessage(c.server.replyWriter.ApplicationException(call.Method, call.SeqID, kind, text))
}

// writeReply writes the answer to a submitted request.
func (c *Connection) writeReply(segments ...[]byte) { c.write(true, segments) }

// writeMessage writes a message that answers no submitted request.
func (c *Connection) writeMessage(frame []byte) { c.write(false, [][]byte{frame}) }

// write writes a message to the socket. Callers check with HasRoom that there is room for a body; all other messages
// are small, and are always written, because each is the one answer that its request gets.
func (c *Connection) write(answer bool, segments [][]byte) {
	server := c.server
	if c.phase >= phaseLingering {
		server.Counters.AnswersAfterClose++
		return
	}
	size := 0
	for _, segment := range segments {
		size += len(segment)
	}
	server.outboundEstimate += size
	server.Counters.BytesOut += uint64(size)
	now := server.now()
	c.output.add(now, size, answer, c.socket.OutboundBuffered(), server.limits.MaxRequestsPerConn)
	c.reading.addOutput(now, size)
	if _, err := c.socket.Writev(segments); err != nil {
		c.closeNow(flightrecorder.ReasonWriteFailed)
		return
	}
	c.hasIdleBaseline = c.socket.OutboundBuffered() > 0
	if c.hasIdleBaseline {
		c.idleBaseline = c.acknowledged()
	}
	c.closeFlooders()
}
