package upstream

import (
	"strconv"
	"time"

	"shaleyard/internal/director"
	"shaleyard/internal/resp"
	"shaleyard/routing"
)

// Commands of the protocol, and the numbers of their words.
const (
	requestCommand  = "REQ"
	requestElements = 4 // REQ ID FIELDS BODY
	cancelCommand   = "STOP"
	cancelElements  = 2 // STOP ID
)

var lineEnd = []byte("\r\n")

// writeRequest writes an attempt to its connection. From then on it may be executed. An attempt past the end of its
// idempotency window is not written: it could be executed a second time.
func (p *Pools) writeRequest(attempt *activeAttempt) {
	conn := attempt.conn
	windowEnd := attempt.request.IdempotencyWindowEnd
	if windowEnd != 0 && p.now() >= windowEnd {
		p.Counters.WindowExpired++
		p.endAttempt(attempt, director.AttemptResult{Result: routing.Abandoned})
		conn.releaseIfIdle()
		return
	}
	segments := p.encodeRequest(attempt)
	attempt.written = true
	if conn.awaitingSince == 0 {
		conn.awaitingSince = p.now()
	}
	p.Counters.RequestsSent++
	for _, segment := range segments {
		p.Counters.BytesOut += uint64(len(segment))
	}
	if _, err := conn.socket.Writev(segments); err != nil {
		conn.terminate(routing.Reset)
	}
}

// encodeRequest returns the segments of a request. They are valid until the next call.
func (p *Pools) encodeRequest(attempt *activeAttempt) [][]byte {
	request := attempt.request.Request
	fields := appendRequestFields(nil, attempt.request, attempt.deadline-p.now())
	head := resp.AppendArrayHeader(p.headBuffer[:0], requestElements)
	head = resp.AppendBulkString(head, requestCommand)
	head = resp.AppendBulkString(head, request.Ref)
	head = resp.AppendBulkHeader(head, len(fields))
	head = append(head, fields...)
	head = append(head, lineEnd...)
	head = resp.AppendBulkHeader(head, request.Body.Len())
	segments := append(p.writeSegments[:0], head)
	segments = request.Body.Segments(segments)
	segments = append(segments, lineEnd)
	p.headBuffer = head
	p.writeSegments = segments
	return segments
}

// writeCancel tells the endpoint that an attempt is given up.
func (c *conn) writeCancel(requestID string) {
	command := resp.AppendArrayHeader(c.pools.headBuffer[:0], cancelElements)
	command = resp.AppendBulkString(command, cancelCommand)
	command = resp.AppendBulkString(command, requestID)
	c.pools.headBuffer = command
	if _, err := c.socket.Writev([][]byte{command}); err != nil {
		c.terminate(routing.Reset)
	}
}

// fetchFlagWords are the protocol's words for fetch flags, by the number of the flag's bit.
var fetchFlagWords = [...]string{"share", "peek", "pass", "swr"}

// appendRequestFields appends the FIELDS of a request.
func appendRequestFields(dst []byte, request director.UpstreamRequest, timeout time.Duration) []byte {
	client := request.Request
	dst = appendField(dst, "sort=", client.Service)
	dst = appendField(dst, ",asset=", client.Object)
	dst = appendField(dst, ",slice=", client.Part)
	dst = appendMilliseconds(dst, ",patience=", timeout)
	if client.IdempotencyKey != "" {
		dst = appendField(dst, ",op=", client.IdempotencyKey)
	}
	if request.Source != "" {
		dst = appendField(dst, ",up=", request.Source)
	}
	if request.RetentionRank > 0 {
		dst = append(dst, ",store="...)
		dst = strconv.AppendInt(dst, int64(request.RetentionRank), 10)
	}
	if request.MaxAge > 0 {
		// The part of a millisecond is cut off, which is on the safe side of a purge.
		dst = appendMilliseconds(dst, ",cap=", request.MaxAge)
	}
	dst = appendFetchFlags(dst, request.FetchFlags)
	if client.IfNoneMatch != "" {
		dst = appendField(dst, ",inm=", client.IfNoneMatch)
	}
	return dst
}

func appendField(dst []byte, name, value string) []byte {
	dst = append(dst, name...)
	return append(dst, value...)
}

// appendMilliseconds appends a duration in whole milliseconds, at least one: the protocol takes 0 for an absent value.
func appendMilliseconds(dst []byte, name string, duration time.Duration) []byte {
	dst = append(dst, name...)
	return strconv.AppendInt(dst, int64(max(1, duration/time.Millisecond)), 10)
}

func appendFetchFlags(dst []byte, flags routing.FetchFlags) []byte {
	separator := ",do="
	for bit, word := range fetchFlagWords {
		if flags&(1<<bit) != 0 {
			dst = appendField(dst, separator, word)
			separator = "+"
		}
	}
	return dst
}
