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
	x.server.Counters.BytesIn += uint64(len(p))
	if x.phase == phaseReady {
		err := x.readFrames(p)
		if err != nil && x.phase == phaseReady {
			x.server.OnProtocolError(err)
			x.drain(malformedStream)
		}
		return nil
	}
	x.server.Counters.DroppedBytes += uint64(len(p))
	if x.droppedBytes += len(p); x.droppedBytes > x.server.limits.MaxLingerBytes {
		x.closeNow(tooMuchAfterHalfClose)
		return nil
	}
	x.server.FlightRecorder.Record(flightrecorder.Event{At: x.server.now(), Kind: flightrecorder.ConnClosing, Conn: x.id, Reason: droppedAfterHalfClose, Count: len(p)})
	return nil
}

// readFrames takes messages off the stream.
func (x *Connection) readFrames(p []byte) error {
	for len(p) > 0 && x.phase == phaseReady {
		if x.frameLength == 0 {
			if x.messageStarted == 0 {
				x.messageStarted = x.server.now()
			}
			if p = x.readLengthPrefix(p); x.frameLength == 0 {
				x.scheduleTimeout()
				return nil
			}
			if x.frameLength < 0 || x.frameLength > x.server.limits.MaxFrameBytes {
				x.server.Counters.BadFrame++
				return fmt.Errorf("frame of %d bytes", x.frameLength)
			}
			if len(p) == 0 {
				x.scheduleTimeout()
			}
			continue
		}
		if x.partialFrame.Len() == 0 && len(p) >= x.frameLength { // whole in one piece
			frame := p[:x.frameLength]
			p, x.frameLength = p[x.frameLength:], 0
			if err := x.handleMessage(frame); err != nil {
				return err
			}
			continue
		}
		k := min(len(p), x.frameLength-x.partialFrame.Len())
		if err := x.partialFrame.Append(p[:k]); err != nil {
			return err
		}
		p = p[k:]
		if x.partialFrame.Len() < x.frameLength {
			x.scheduleTimeout()
			return nil
		}
		x.server.frameBuffer = x.server.frameBuffer[:0]
		for _, b := range x.partialFrame.Segments(nil) {
			x.server.frameBuffer = append(x.server.frameBuffer, b...)
		}
		x.partialFrame.Release()
		x.frameLength = 0
		if err := x.handleMessage(x.server.frameBuffer); err != nil {
			return err
		}
	}
	return nil
}

// readLengthPrefix takes a frame's readLengthPrefix off p. A frame of no bytes is malformed and comes out negative.
func (x *Connection) readLengthPrefix(p []byte) []byte {
	k := min(4-len(x.lengthPrefix), len(p))
	x.lengthPrefix = append(x.lengthPrefix, p[:k]...)
	if len(x.lengthPrefix) == 4 {
		x.frameLength = int(int32(binary.BigEndian.Uint32(x.lengthPrefix)))
		if x.frameLength == 0 {
			x.frameLength = -1
		}
		x.lengthPrefix = x.lengthPrefix[:0]
	}
	return p[k:]
}

// handleMessage handles one frame.
func (x *Connection) handleMessage(frame []byte) error {
	c := &x.server.Counters
	c.Frames++
	x.lastActivity, x.messageStarted, x.receivedMessage = x.server.now(), 0, true
	x.lastMessage = x.lastActivity
	r := reader{p: frame}
	m := r.message()
	if r.err != nil {
		c.BadMessage++
		return r.err
	}
	switch {
	case m.name == "submit" && m.kind == msgCall:
		c.Submits++
		return x.handleSubmit(m, &r)
	case m.name == "revoke" && (m.kind == msgOneway || m.kind == msgCall):
		c.Revokes++
		seq := r.revoke()
		if r.err != nil {
			c.BadMessage++
			return r.err
		}
		if h, ok := x.openRequests[seq]; ok {
			delete(x.openRequests, seq)
			x.server.handler.Cancel(h)
		}
	case m.name == "heartbeat" && m.kind == msgCall:
		c.Heartbeats++
		w := &x.server.replyWriter
		w.answerHead(m.name, m.seq, 0)
		w.answerTail(x.server.Ready())
		x.write(w.end(0))
	case m.kind == msgCall:
		c.UnknownMethod++
		x.write(x.server.replyWriter.application(m.name, m.seq, appUnknownMethod, "unknown method"))
	case m.kind == msgOneway:
		c.UnknownMethod++ // nobody waits for an answer
	default:
		c.BadMessage++
		return fmt.Errorf("message of type %d", m.kind)
	}
	return nil
}

// handleSubmit takes a request, or answers at once where it can't be taken.
func (x *Connection) handleSubmit(m message, r *reader) error {
	c := &x.server.Counters
	args := r.submit(x.server.limits.MaxRequestFields)
	if _, dup := x.openRequests[m.seq]; dup {
		c.BadMessage++
		return fmt.Errorf("sequence number %d is open", m.seq)
	}
	q := director.Request{ConnID: x.id, Body: x.server.pool.NewChain()}
	err := r.err
	if err == nil {
		err = x.server.parseRequest(args, &q)
	}
	if err == nil {
		err = q.Body.Append(args.body)
	}
	switch {
	case errors.Is(err, buffer.ErrExhausted):
		q.Body.Release()
		c.OutOfCapacity++
		x.rejectLocally(m.seq, buffersExhausted)
		return nil
	case err != nil:
		c.BadFields++
		x.server.FlightRecorder.Record(flightrecorder.Event{At: x.server.now(), Kind: flightrecorder.RequestRejected, Conn: x.id, Reason: invalidFields})
		x.write(x.server.replyWriter.application(m.name, m.seq, appProtocolError, err.Error()))
		return nil
	case len(x.openRequests) >= x.server.limits.MaxRequestsPerConn:
		q.Body.Release()
		c.TooManyOpenRequests++
		x.rejectLocally(m.seq, tooManyOpenRequests)
		return nil
	}
	if x.openRequests == nil { // most connections that are idle never have one open again
		x.openRequests = map[int32]handle.Handle{}
	}
	// The answer may come within Submit, so the number is taken before.
	x.openRequests[m.seq] = 0
	h, ok := x.server.handler.Submit(q, x, uint64(uint32(m.seq)))
	if !ok {
		q.Body.Release()
		delete(x.openRequests, m.seq)
		c.OutOfCapacity++
		x.rejectLocally(m.seq, requestTableFull)
		return nil
	}
	if _, still := x.openRequests[m.seq]; still {
		x.openRequests[m.seq] = h
	} else if x.phase == phaseClosed { // it died under an answer to another request: it could not withdraw this one
		x.server.handler.Cancel(h)
	}
	return nil
}

// parseRequest checks the fields of a parseRequest.
func (s *Server) parseRequest(a submit, q *director.Request) error {
	f := a.fields
	q.Ref, q.Service, q.Object, q.Part, q.IfNoneMatch = f["ref"], f["service"], f["lookup"], f["chunk"], f["known"]
	q.IdempotencyKey = f["replay"]
	class, ok := s.classIndexes[q.Service]
	if !ok {
		return fmt.Errorf("service: %.40q is none of ours", q.Service)
	}
	q.Class = class
	for _, h := range []struct{ name, value string }{{"ref", q.Ref}, {"lookup", q.Object}} {
		if !isHex16(h.value) {
			return fmt.Errorf("%s: %.40q is not 16 hex digits", h.name, h.value)
		}
	}
	q.ObjectKey, _ = strconv.ParseUint(q.Object, 16, 64)
	if q.IfNoneMatch != "" && !isToken(q.IfNoneMatch) {
		return fmt.Errorf("known: %.40q is no tag", q.IfNoneMatch)
	}
	if q.IdempotencyKey != "" && !isToken(q.IdempotencyKey) {
		return fmt.Errorf("replay: %.40q is no idempotency key", q.IdempotencyKey)
	}
	allow, err := parseNumber("allow", f["allow"], 1, int(s.limits.MaxRequestTimeout/time.Millisecond))
	if err != nil {
		return err
	}
	q.Timeout = time.Duration(allow) * time.Millisecond
	if q.Part == "" {
		q.Part = "0"
	}
	if q.PartNumber, err = parseNumber("chunk", q.Part, 0, math.MaxInt32); err != nil {
		return err
	}
	if v := f["tag"]; v != "" {
		if q.Group, err = parseNumber("tag", v, 0, 255); err != nil {
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

// parseNumber reads a parseNumber in its one plain form: the text passes on to caches, which may know no other.
func parseNumber(name, v string, least, most int) (int, error) {
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > most || strconv.Itoa(n) != v {
		return 0, fmt.Errorf("%s: %.40q is not a number from %d to %d", name, v, least, most)
	}
	return n, nil
}

func isHex16(s string) bool {
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

// isToken guards the FIELDS list towards caches: a client's tag must not bring separators into it.
func isToken(s string) bool {
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
