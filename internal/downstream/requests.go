package downstream

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"shaleyard/internal/buffer"
	"shaleyard/internal/director"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
)

// What comes in: frames, messages and the fields of requests.

// Data takes what has come in. A stream that can't be followed any more ends the connection, once all that was taken
// from it is answered.
func (x *Connection) Data(p []byte) error {
	x.s.Counters.BytesIn += uint64(len(p))
	if x.phase == serving {
		err := x.read(p)
		if err != nil && x.phase == serving {
			x.s.OnProtocolError(err)
			x.finish(badStream)
		}
		return nil
	}
	x.s.Counters.DroppedBytes += uint64(len(p))
	if x.dropped += len(p); x.dropped > x.s.limits.MaxLingerBytes {
		x.shut(tooMuchDropped)
		return nil
	}
	x.s.FlightRecorder.Record(flightrecorder.Event{At: x.s.now(), Kind: flightrecorder.ConnClosing, Conn: x.id, Reason: bytesDropped, Count: len(p)})
	return nil
}

// read takes messages off the stream.
func (x *Connection) read(p []byte) error {
	for len(p) > 0 && x.phase == serving {
		if x.want == 0 {
			if x.begun == 0 {
				x.begun = x.s.now()
			}
			if p = x.length(p); x.want == 0 {
				x.watch()
				return nil
			}
			if x.want < 0 || x.want > x.s.limits.MaxFrameBytes {
				x.s.Counters.BadFrame++
				return fmt.Errorf("frame of %d bytes", x.want)
			}
			if len(p) == 0 {
				x.watch()
			}
			continue
		}
		if x.got.Len() == 0 && len(p) >= x.want { // whole in one piece
			frame := p[:x.want]
			p, x.want = p[x.want:], 0
			if err := x.message(frame); err != nil {
				return err
			}
			continue
		}
		k := min(len(p), x.want-x.got.Len())
		if err := x.got.Append(p[:k]); err != nil {
			return err
		}
		p = p[k:]
		if x.got.Len() < x.want {
			x.watch()
			return nil
		}
		x.s.frame = x.s.frame[:0]
		for _, b := range x.got.Segments(nil) {
			x.s.frame = append(x.s.frame, b...)
		}
		x.got.Release()
		x.want = 0
		if err := x.message(x.s.frame); err != nil {
			return err
		}
	}
	return nil
}

// length takes a frame's length off p. A frame of no bytes is malformed and comes out negative.
func (x *Connection) length(p []byte) []byte {
	k := min(4-len(x.head), len(p))
	x.head = append(x.head, p[:k]...)
	if len(x.head) == 4 {
		x.want = int(int32(binary.BigEndian.Uint32(x.head)))
		if x.want == 0 {
			x.want = -1
		}
		x.head = x.head[:0]
	}
	return p[k:]
}

// message handles one frame.
func (x *Connection) message(frame []byte) error {
	c := &x.s.Counters
	c.Frames++
	x.lastUse, x.begun, x.spoke = x.s.now(), 0, true
	x.heard = x.lastUse
	r := reader{p: frame}
	m := r.message()
	if r.err != nil {
		c.BadMessage++
		return r.err
	}
	switch {
	case m.name == "submit" && m.kind == msgCall:
		c.Submits++
		return x.submit(m, &r)
	case m.name == "revoke" && (m.kind == msgOneway || m.kind == msgCall):
		c.Revokes++
		seq := r.revoke()
		if r.err != nil {
			c.BadMessage++
			return r.err
		}
		if h, ok := x.open[seq]; ok {
			delete(x.open, seq)
			x.s.taker.Cancel(h)
		}
	case m.name == "heartbeat" && m.kind == msgCall:
		c.Heartbeats++
		w := &x.s.out
		w.answerHead(m.name, m.seq, 0)
		w.answerTail(x.s.Ready())
		x.write(w.end(0))
	case m.kind == msgCall:
		c.UnknownMethod++
		x.write(x.s.out.application(m.name, m.seq, appUnknownMethod, "unknown method"))
	case m.kind == msgOneway:
		c.UnknownMethod++ // nobody waits for an answer
	default:
		c.BadMessage++
		return fmt.Errorf("message of type %d", m.kind)
	}
	return nil
}

// submit takes a request, or answers at once where it can't be taken.
func (x *Connection) submit(m message, r *reader) error {
	c := &x.s.Counters
	args := r.submit(x.s.limits.MaxRequestFields)
	if _, dup := x.open[m.seq]; dup {
		c.BadMessage++
		return fmt.Errorf("sequence number %d is open", m.seq)
	}
	q := director.Request{ConnID: x.id, Body: x.s.pool.NewChain()}
	err := r.err
	if err == nil {
		err = x.s.request(args, &q)
	}
	if err == nil {
		err = q.Body.Append(args.body)
	}
	switch {
	case errors.Is(err, buffer.ErrExhausted):
		q.Body.Release()
		c.OutOfCapacity++
		x.turnAway(m.seq, buffersFull)
		return nil
	case err != nil:
		c.BadFields++
		x.s.FlightRecorder.Record(flightrecorder.Event{At: x.s.now(), Kind: flightrecorder.RequestRejected, Conn: x.id, Reason: badFields})
		x.write(x.s.out.application(m.name, m.seq, appProtocolError, err.Error()))
		return nil
	case len(x.open) >= x.s.limits.MaxRequestsPerConn:
		q.Body.Release()
		c.TooManyOpenRequests++
		x.turnAway(m.seq, overOpen)
		return nil
	}
	if x.open == nil { // most connections that are idle never have one open again
		x.open = map[int32]handle.Handle{}
	}
	// The answer may come within Submit, so the number is taken before.
	x.open[m.seq] = 0
	h, ok := x.s.taker.Submit(q, x, uint64(uint32(m.seq)))
	if !ok {
		q.Body.Release()
		delete(x.open, m.seq)
		c.OutOfCapacity++
		x.turnAway(m.seq, tableFull)
		return nil
	}
	if _, still := x.open[m.seq]; still {
		x.open[m.seq] = h
	} else if x.phase == closed { // it died under an answer to another request: it could not withdraw this one
		x.s.taker.Cancel(h)
	}
	return nil
}

// request checks the fields of a request.
func (s *Server) request(a submit, q *director.Request) error {
	f := a.fields
	q.Ref, q.Service, q.Object, q.Part, q.IfNoneMatch = f["ref"], f["service"], f["lookup"], f["chunk"], f["known"]
	q.IdempotencyKey = f["replay"]
	class, ok := s.classes[q.Service]
	if !ok {
		return fmt.Errorf("service: %.40q is none of ours", q.Service)
	}
	q.Class = class
	for _, h := range []struct{ name, value string }{{"ref", q.Ref}, {"lookup", q.Object}} {
		if !hex16(h.value) {
			return fmt.Errorf("%s: %.40q is not 16 hex digits", h.name, h.value)
		}
	}
	q.ObjectKey, _ = strconv.ParseUint(q.Object, 16, 64)
	if q.IfNoneMatch != "" && !token(q.IfNoneMatch) {
		return fmt.Errorf("known: %.40q is no tag", q.IfNoneMatch)
	}
	if q.IdempotencyKey != "" && !token(q.IdempotencyKey) {
		return fmt.Errorf("replay: %.40q is no idempotency key", q.IdempotencyKey)
	}
	allow, err := number("allow", f["allow"], 1, int(s.limits.MaxRequestTimeout/time.Millisecond))
	if err != nil {
		return err
	}
	q.Timeout = time.Duration(allow) * time.Millisecond
	if q.Part == "" {
		q.Part = "0"
	}
	if q.PartNumber, err = number("chunk", q.Part, 0, math.MaxInt32); err != nil {
		return err
	}
	if v := f["tag"]; v != "" {
		if q.Group, err = number("tag", v, 0, 255); err != nil {
			return err
		}
	}
	if v := f["room"]; v != "" {
		kb, err := strconv.ParseFloat(v, 64)
		if err != nil || !(kb >= 0) || kb > 1e9 {
			return fmt.Errorf("room: %.40q is no size", v)
		}
		q.SizeKB = kb
	}
	if len(a.body) > s.limits.MaxRequestBodyBytes {
		return fmt.Errorf("body: %d bytes, %d at most", len(a.body), s.limits.MaxRequestBodyBytes)
	}
	return nil
}

// number reads a number in its one plain form: the text passes on to caches, which may know no other.
func number(name, v string, least, most int) (int, error) {
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > most || strconv.Itoa(n) != v {
		return 0, fmt.Errorf("%s: %.40q is not a number from %d to %d", name, v, least, most)
	}
	return n, nil
}

func hex16(s string) bool {
	if len(s) != 16 {
		return false
	}
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// token guards the FIELDS list towards caches: a client's tag must not bring separators into it.
func token(s string) bool {
	if len(s) > 128 {
		return false
	}
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c == ',' || c == '=' || c >= 0x7f {
			return false
		}
	}
	return true
}
