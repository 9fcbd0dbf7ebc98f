package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// The strict binary protocol of Thrift over the framed transport, as far as clients of a director need it.
const (
	messageCall      = 1
	messageReply     = 2
	messageException = 3
	messageOneway    = 4

	typeStop   = 0
	typeBool   = 2
	typeI32    = 8
	typeString = 11
	typeStruct = 12
	typeMap    = 13
)

var errShort = errors.New("answer cut short")

func putString(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// frame returns a framed message. The encoded arguments have no stop byte.
func frame(kind byte, method string, seq int32, args []byte) []byte {
	b := []byte{0, 0, 0, 0, 0x80, 1, 0, kind}
	b = putString(b, method)
	b = binary.BigEndian.AppendUint32(b, uint32(seq))
	b = append(b, args...)
	b = append(b, typeStop)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

func submitFrame(seq int32, body []byte, fields ...string) []byte {
	b := []byte{typeMap, 0, 1, typeString, typeString}
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)/2))
	for _, text := range fields {
		b = putString(b, text)
	}
	b = append(b, typeString, 0, 2)
	b = putString(b, string(body))
	return frame(messageCall, "submit", seq, b)
}

// answer is a decoded reply. Its word is served, refused, failed, exception or unreadable.
type answer struct {
	seq    int32
	word   string
	body   []byte
	fields map[string]string
	good   bool
}

// decoder reads values from a message and keeps the first error.
type decoder struct {
	rest []byte
	err  error
}

func (d *decoder) take(n int) []byte {
	if d.err != nil || n < 0 || n > len(d.rest) {
		d.err = errShort
		return make([]byte, min(max(n, 0), 8))
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
	return taken
}

func (d *decoder) u32() uint32  { return binary.BigEndian.Uint32(d.take(4)) }
func (d *decoder) text() []byte { return d.take(int(int32(d.u32()))) }
func (d *decoder) field() (byte, uint16) {
	kind := d.take(1)[0]
	if kind == typeStop || d.err != nil {
		return typeStop, 0
	}
	return kind, binary.BigEndian.Uint16(d.take(2))
}

// decodeAnswer decodes a message without its length prefix.
func decodeAnswer(message []byte) answer {
	d := &decoder{rest: message}
	version := d.u32()
	method := string(d.text())
	reply := answer{seq: int32(d.u32()), word: "unreadable", fields: map[string]string{}}
	switch {
	case d.err != nil || version&0xffffff00 != 0x80010000:
		return reply
	case version&0xff == messageException:
		reply.word = "exception"
		return reply
	case version&0xff != messageReply || (method != "submit" && method != "heartbeat"):
		return reply
	}
	kind, id := d.field()
	if kind != typeStruct || id > 2 {
		return reply
	}
	d.readResult(&reply)
	if d.err == nil {
		reply.word = [...]string{"served", "refused", "failed"}[id]
	}
	return reply
}

// readResult reads an Answer or an exception. Both have their map of fields under a different id, so that the types
// tell what is what.
func (d *decoder) readResult(reply *answer) {
	for {
		kind, _ := d.field()
		switch kind {
		case typeStop:
			return
		case typeString:
			reply.body = d.text()
		case typeBool:
			reply.good = d.take(1)[0] == 1
		case typeMap:
			d.take(2)
			for count := d.u32(); count > 0 && d.err == nil; count-- {
				name := string(d.text())
				reply.fields[name] = string(d.text())
			}
		default:
			d.err = fmt.Errorf("type %d: %w", kind, errShort)
			return
		}
	}
}

// readFrame reads one frame and returns its message. onStart is called when the first bytes of the message are there.
func readFrame(from io.Reader, onStart func(message []byte)) ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(from, length[:]); err != nil {
		return nil, err
	}
	message := make([]byte, binary.BigEndian.Uint32(length[:]))
	const header = 4 + 4 + 6 + 4
	if len(message) > header {
		if _, err := io.ReadFull(from, message[:header]); err != nil {
			return nil, errShort
		}
		onStart(message[:header])
		if _, err := io.ReadFull(from, message[header:]); err != nil {
			return nil, errShort
		}
		return message, nil
	}
	_, err := io.ReadFull(from, message)
	return message, err
}
