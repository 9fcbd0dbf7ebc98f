package upstream

import (
	"strconv"
	"time"

	"shaleyard/internal/director"
	"shaleyard/internal/resp"
	"shaleyard/routing"
)

// What goes out: requests and their fields.

// writeRequest puts an attempt on its connection. From here on it may run.
func (f *Pools) writeRequest(k *activeAttempt, q director.UpstreamRequest, until routing.Time) {
	if k.writeBefore != 0 && f.now() >= k.writeBefore {
		f.Counters.WindowExpired++
		f.removeAttempt(k)
		f.completions.AttemptEnded(k.handle, director.AttemptResult{Result: routing.Abandoned}) // it never ran
		k.conn.releaseIfIdle()
		return
	}
	r := q.Request
	b := resp.AppendBulkString(resp.AppendBulkString(resp.AppendArrayHeader(f.headBuffer[:0], 4), "REQ"), r.Ref)
	fields := appendRequestFields(nil, q, until-f.now())
	b = append(append(resp.AppendBulkHeader(b, len(fields)), fields...), "\r\n"...)
	b = resp.AppendBulkHeader(b, r.Body.Len())
	iov := append(f.writeSegments[:0], b)
	iov = append(r.Body.Segments(iov), []byte("\r\n"))
	f.headBuffer, f.writeSegments = b, iov
	k.written = true
	if k.conn.awaitingSince == 0 {
		k.conn.awaitingSince = f.now()
	}
	f.Counters.RequestsSent++
	for _, p := range iov {
		f.Counters.BytesOut += uint64(len(p))
	}
	if _, err := k.conn.socket.Writev(iov); err != nil {
		k.conn.writeFailed()
	}
}

var fetchFlagWords = [...]string{"share", "peek", "pass", "swr"}

// appendRequestFields builds the FIELDS of a request.
func appendRequestFields(b []byte, q director.UpstreamRequest, patience time.Duration) []byte {
	r := q.Request
	b = append(append(b, "sort="...), r.Service...)
	b = append(append(b, ",asset="...), r.Object...)
	b = append(append(b, ",slice="...), r.Part...)
	b = strconv.AppendInt(append(b, ",patience="...), int64(max(1, patience/time.Millisecond)), 10)
	if r.IdempotencyKey != "" {
		b = append(append(b, ",op="...), r.IdempotencyKey...)
	}
	if q.Source != "" {
		b = append(append(b, ",up="...), q.Source...)
	}
	if q.RetentionRank > 0 {
		b = strconv.AppendInt(append(b, ",store="...), int64(q.RetentionRank), 10)
	}
	if q.MaxAge > 0 { // a part of a millisecond less is on the safe side of a purge
		b = strconv.AppendInt(append(b, ",cap="...), int64(max(1, q.MaxAge/time.Millisecond)), 10)
	}
	if q.FetchFlags != 0 {
		sep := ",do="
		for i, w := range fetchFlagWords {
			if q.FetchFlags&(1<<i) != 0 {
				b = append(append(b, sep...), w...)
				sep = "+"
			}
		}
	}
	if r.IfNoneMatch != "" {
		b = append(append(b, ",inm="...), r.IfNoneMatch...)
	}
	return b
}
