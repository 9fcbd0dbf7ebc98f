package upstream

import (
	"strconv"
	"time"

	"shaleyard/internal/director"
	"shaleyard/routing"
)

// What goes out: requests and their fields.

// write puts an attempt on its connection. From here on it may run.
func (f *Pools) write(k *call, q director.UpstreamRequest, until routing.Time) {
	if k.before != 0 && f.now() >= k.before {
		f.Counters.WindowExpired++
		f.drop(k)
		f.ender.AttemptEnded(k.h, director.AttemptResult{Result: routing.Abandoned}) // it never ran
		k.c.rest()
		return
	}
	r := q.Request
	b := appendBulk(appendBulk(appendArray(f.head[:0], 4), "REQ"), r.Ref)
	fields := appendFields(nil, q, until-f.now())
	b = append(append(appendLen(b, len(fields)), fields...), "\r\n"...)
	b = appendLen(b, r.Body.Len())
	iov := append(f.iov[:0], b)
	iov = append(r.Body.Segments(iov), []byte("\r\n"))
	f.head, f.iov = b, iov
	k.written = true
	if k.c.asked == 0 {
		k.c.asked = f.now()
	}
	f.Counters.RequestsSent++
	for _, p := range iov {
		f.Counters.BytesOut += uint64(len(p))
	}
	if _, err := k.c.link.Writev(iov); err != nil {
		k.c.lost()
	}
}

var howWords = [...]string{"share", "peek", "pass", "swr"}

// appendFields builds the FIELDS of a request.
func appendFields(b []byte, q director.UpstreamRequest, patience time.Duration) []byte {
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
		for i, w := range howWords {
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
