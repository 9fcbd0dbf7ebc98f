package upstream

import (
	"strconv"
	"time"

	"shaleyard/internal/director"
	"shaleyard/internal/resp"
	"shaleyard/routing"
)

// Commands of the protocol, and the number of elements in the array of each.
const (
	requestCommand  = "REQ"
	requestElements = 4 // REQ ID FIELDS BODY
	cancelCommand   = "STOP"
	cancelElements  = 2 // STOP ID
)

var crlf = []byte("\r\n")

// writeRequest writes the request of an attempt to its connection; from then on the request may be executed. After the
// end of the request's idempotency window it writes nothing, because the endpoint could execute the request a second
// time, and ends the attempt with Abandoned.
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

// encodeRequest returns the encoded request of an attempt as segments. They are valid until the next call of
// encodeRequest or writeCancel, which reuse the buffer.
func (p *Pools) encodeRequest(attempt *activeAttempt) [][]byte {
	request := attempt.request.Request
	fields := appendRequestFields(nil, attempt.request, attempt.deadline-p.now())
	head := resp.AppendArrayHeader(p.headBuffer[:0], requestElements)
	head = resp.AppendBulkString(head, requestCommand)
	head = resp.AppendBulkString(head, request.Ref)
	head = resp.AppendBulkHeader(head, len(fields))
	head = append(head, fields...)
	head = append(head, crlf...)
	head = resp.AppendBulkHeader(head, request.Body.Len())
	segments := append(p.writeSegments[:0], head)
	segments = request.Body.Segments(segments)
	segments = append(segments, crlf)
	p.headBuffer = head
	p.writeSegments = segments
	return segments
}

// writeCancel writes a STOP command to the endpoint, which cancels the request with the given ID.
func (c *conn) writeCancel(requestID string) {
	command := resp.AppendArrayHeader(c.pools.headBuffer[:0], cancelElements)
	command = resp.AppendBulkString(command, cancelCommand)
	command = resp.AppendBulkString(command, requestID)
	c.pools.headBuffer = command
	if _, err := c.socket.Writev([][]byte{command}); err != nil {
		c.terminate(routing.Reset)
	}
}

// fetchFlagNames holds the protocol's names of the fetch flags, indexed by the bit number of the flag.
var fetchFlagNames = [...]string{"share", "peek", "pass", "swr"}

// appendRequestFields appends the content of a request's FIELDS element to dst. The timeout is the time that is left
// for the attempt.
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
		// Fractions of a millisecond are truncated: a smaller maximum age cannot admit a copy from before a purge.
		dst = appendMilliseconds(dst, ",cap=", request.MaxAge)
	}
	dst = appendFetchFlags(dst, request.FetchFlags)
	if client.IfNoneMatch != "" {
		dst = appendField(dst, ",inm=", client.IfNoneMatch)
	}
	return dst
}

// appendField appends a field to dst. The name includes the separators around it.
func appendField(dst []byte, name, value string) []byte {
	dst = append(dst, name...)
	return append(dst, value...)
}

// appendMilliseconds appends a duration field to dst, in whole milliseconds. The value is rounded down but is at least
// 1, because the protocol treats 0 as an absent value.
func appendMilliseconds(dst []byte, name string, duration time.Duration) []byte {
	dst = append(dst, name...)
	return strconv.AppendInt(dst, int64(max(1, duration/time.Millisecond)), 10)
}

// appendFetchFlags appends the field do with the names of the set flags, joined by "+". It appends nothing if no flag
// is set.
func appendFetchFlags(dst []byte, flags routing.FetchFlags) []byte {
	separator := ",do="
	for bit, name := range fetchFlagNames {
		if flags&(1<<bit) != 0 {
			dst = appendField(dst, separator, name)
			separator = "+"
		}
	}
	return dst
}
