package downstream

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Thrift's strict binary protocol, as far as the front speaks it.
const (
	version1  = 0x8001_0000
	typeMask  = 0xff
	msgCall   = 1
	msgReply  = 2
	msgError  = 3
	msgOneway = 4

	tStop   = 0
	tBool   = 2
	tByte   = 3
	tDouble = 4
	tI16    = 6
	tI32    = 8
	tI64    = 10
	tString = 11
	tStruct = 12
	tMap    = 13
	tSet    = 14
	tList   = 15

	appUnknownMethod = 1
	appProtocolError = 7

	maxDepth = 8 // of values that are skipped
)

var errShort = errors.New("message cut short")

// reader takes values off a message; after the first error all are zero. Strings are views.
type reader struct {
	p   []byte
	err error
}

func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *reader) take(n int) []byte {
	if r.err != nil || n < 0 || n > len(r.p) {
		r.fail(errShort)
		return nil
	}
	b := r.p[:n]
	r.p = r.p[n:]
	return b
}

func (r *reader) u8() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) i16() int16 {
	if b := r.take(2); b != nil {
		return int16(binary.BigEndian.Uint16(b))
	}
	return 0
}

func (r *reader) i32() int32 {
	if b := r.take(4); b != nil {
		return int32(binary.BigEndian.Uint32(b))
	}
	return 0
}

func (r *reader) bytes() []byte { return r.take(int(r.i32())) }

// skip passes over a value of a field that this side does not know.
func (r *reader) skip(kind byte, depth int) {
	if depth > maxDepth {
		r.fail(errors.New("values nested too deep"))
		return
	}
	switch kind {
	case tBool, tByte:
		r.take(1)
	case tI16:
		r.take(2)
	case tI32:
		r.take(4)
	case tDouble, tI64:
		r.take(8)
	case tString:
		r.bytes()
	case tStruct:
		r.fields(func(_ int16, kind byte) { r.skip(kind, depth+1) })
	case tMap:
		k, v := r.u8(), r.u8()
		r.repeat(r.i32(), func() { r.skip(k, depth+1); r.skip(v, depth+1) })
	case tSet, tList:
		k := r.u8()
		r.repeat(r.i32(), func() { r.skip(k, depth+1) })
	default:
		r.fail(fmt.Errorf("unknown type %d", kind))
	}
}

// repeat reads n elements. Each takes a byte at least, so n is bounded by what is left.
func (r *reader) repeat(n int32, element func()) {
	if n < 0 || int(n) > len(r.p) {
		r.fail(errShort)
	}
	for ; n > 0 && r.err == nil; n-- {
		element()
	}
}

// fields calls f for each field of a struct, up to its end.
func (r *reader) fields(f func(id int16, kind byte)) {
	for r.err == nil {
		kind := r.u8()
		if kind == tStop {
			return
		}
		id := r.i16()
		f(id, kind)
	}
}

// message is the head of a message.
type message struct {
	kind byte
	name string
	seq  int32
}

func (r *reader) message() (m message) {
	head := uint32(r.i32())
	if r.err == nil && head&0xffff_ff00 != version1 {
		r.fail(errors.New("not the strict binary protocol"))
	}
	m.kind = byte(head & typeMask)
	m.name = string(r.bytes())
	m.seq = r.i32()
	return m
}

// submit holds the arguments of a call; its values are views of the frame.
type submit struct {
	fields map[string]string
	body   []byte
}

func (r *reader) submit(mostFields int) (s submit) {
	r.fields(func(id int16, kind byte) {
		switch {
		case id == 1 && kind == tMap:
			k, v, n := r.u8(), r.u8(), r.i32()
			if n > 0 && (k != tString || v != tString) {
				r.fail(errors.New("fields are no map of strings"))
			}
			if int(n) > mostFields {
				r.fail(fmt.Errorf("%d fields, %d at most", n, mostFields))
			}
			s.fields = map[string]string{}
			r.repeat(n, func() {
				k := string(r.bytes())
				s.fields[k] = string(r.bytes())
			})
		case id == 2 && kind == tString:
			s.body = r.bytes()
		default:
			r.skip(kind, 0)
		}
	})
	return s
}

// revoke reads the number of the request that is given up.
func (r *reader) revoke() (seq int32) {
	r.fields(func(id int16, kind byte) {
		if id == 1 && kind == tI32 {
			seq = r.i32()
			return
		}
		r.skip(kind, 0)
	})
	return seq
}

// writer builds a frame. The length is set at the end; a body that is sent apart counts as extra.
type writer struct{ b []byte }

func (w *writer) u8(v byte)   { w.b = append(w.b, v) }
func (w *writer) i32(v int32) { w.b = binary.BigEndian.AppendUint32(w.b, uint32(v)) }
func (w *writer) field(kind byte, id int16) {
	w.b = binary.BigEndian.AppendUint16(append(w.b, kind), uint16(id))
}
func (w *writer) str(s string) {
	w.i32(int32(len(s)))
	w.b = append(w.b, s...)
}

func (w *writer) begin(kind byte, name string, seq int32) {
	w.b = append(w.b[:0], 0, 0, 0, 0)
	w.b = binary.BigEndian.AppendUint32(w.b, version1|uint32(kind))
	w.str(name)
	w.i32(seq)
}

func (w *writer) end(extra int) []byte {
	binary.BigEndian.PutUint32(w.b, uint32(len(w.b)-4+extra))
	return w.b
}

func (w *writer) strings(id int16, pairs ...string) {
	w.field(tMap, id)
	w.u8(tString)
	w.u8(tString)
	w.i32(int32(len(pairs) / 2))
	for _, s := range pairs {
		w.str(s)
	}
}

// answerHead begins a reply that holds an Answer, up to the body's length; answerTail is what follows the
// body.
func (w *writer) answerHead(name string, seq int32, body int) {
	w.begin(msgReply, name, seq)
	w.field(tStruct, 0)
	w.field(tString, 1)
	w.i32(int32(body))
}

func (w *writer) answerTail(good bool, pairs ...string) {
	w.strings(2, pairs...)
	w.field(tBool, 3)
	if good {
		w.u8(1)
	} else {
		w.u8(0)
	}
	w.u8(tStop)
	w.u8(tStop)
}

// declared is a reply that holds one of submit's declared exceptions.
func (w *writer) declared(name string, seq int32, id int16, pairs ...string) []byte {
	w.begin(msgReply, name, seq)
	w.field(tStruct, id)
	w.strings(1, pairs...)
	w.u8(tStop)
	w.u8(tStop)
	return w.end(0)
}

// application is an application exception.
func (w *writer) application(name string, seq int32, kind int32, text string) []byte {
	w.begin(msgError, name, seq)
	w.field(tString, 1)
	w.str(text)
	w.field(tI32, 2)
	w.i32(kind)
	w.u8(tStop)
	return w.end(0)
}
