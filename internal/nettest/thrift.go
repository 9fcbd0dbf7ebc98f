package nettest

import (
	"encoding/binary"
	"testing"
)

// This file implements the protocol between clients and the program: Apache Thrift's strict binary protocol
// over the framed transport (thrift-binary-protocol.md and thrift-rpc.md of the Thrift specification), with the
// three methods of the service: submit, revoke and heartbeat.

// Message types, which a message holds in the last byte of its first four bytes.
const (
	messageCall      byte = 1
	messageException byte = 3
	messageOneway    byte = 4
)

// Field types. typeStop ends the fields of a struct.
const (
	typeStop   byte = 0
	typeBool   byte = 2
	typeI32    byte = 8
	typeString byte = 11
	typeMap    byte = 13
)

// revokeSeq is the sequence number of all revoke calls. They are oneway calls, so no reply repeats the number.
const revokeSeq = 99

// Frame returns a framed message. The message type kind is 1 for a call or 4 for a oneway call. The argument
// args holds the encoded fields of the argument struct without the terminating stop field.
func Frame(kind byte, name string, seq int32, args []byte) string {
	message := []byte{0x80, 1, 0, kind}
	message = appendString(message, name)
	message = appendInt32(message, seq)
	message = append(message, args...)
	message = append(message, typeStop)

	frame := appendInt32(nil, int32(len(message)))
	return string(append(frame, message...))
}

// SubmitFrame returns the framed message of a submit call with a body and request fields. The argument fields
// holds alternating names and values.
func SubmitFrame(seq int32, body string, fields ...string) string {
	args := appendFieldHeader(nil, typeMap, 1)
	args = append(args, typeString, typeString) // types of the map's keys and values
	args = appendInt32(args, int32(len(fields)/2))
	for _, text := range fields {
		args = appendString(args, text)
	}
	args = appendFieldHeader(args, typeString, 2)
	args = appendString(args, body)
	return Frame(messageCall, "submit", seq, args)
}

// appendFieldHeader appends the type and the id that precede a field's value.
func appendFieldHeader(b []byte, fieldType byte, id int16) []byte {
	b = append(b, fieldType)
	return binary.BigEndian.AppendUint16(b, uint16(id))
}

func appendInt32(b []byte, value int32) []byte {
	return binary.BigEndian.AppendUint32(b, uint32(value))
}

// appendString appends a string with its length as a 32-bit prefix.
func appendString(b []byte, text string) []byte {
	b = appendInt32(b, int32(len(text)))
	return append(b, text...)
}

// Submit sends the submit call that SubmitFrame returns. It does not wait for the reply.
func (c *Conn) Submit(seq int32, body string, fields ...string) {
	c.t.Helper()
	c.Send(SubmitFrame(seq, body, fields...))
}

// Revoke sends a call that cancels the request submitted with the sequence number seq.
func (c *Conn) Revoke(seq int32) {
	c.t.Helper()
	args := appendFieldHeader(nil, typeI32, 1)
	args = appendInt32(args, seq)
	c.Send(Frame(messageOneway, "revoke", revokeSeq, args))
}

// Heartbeat sends a heartbeat call and returns the next message. The message's Good field reports whether the
// program is ready.
func (c *Conn) Heartbeat(seq int32) Reply {
	c.t.Helper()
	args := appendFieldHeader(nil, typeBool, 1)
	args = append(args, 0) // false
	c.Send(Frame(messageCall, "heartbeat", seq, args))
	return c.ReadReply()
}

// Reply is a decoded message from the program.
type Reply struct {
	Seq         int32             // sequence number of the call that the message answers
	Application bool              // whether it is an application exception, for which the fields below are not set
	Field       int16             // field id in the result struct: 0 for an Answer, 1 for refused, 2 for failed
	Body        string            // body of an Answer
	Fields      map[string]string // string map of an Answer or a declared exception; nil if it has no entries
	Good        bool              // boolean of an Answer; for a heartbeat, whether the program is ready
}

// ReadReply reads and decodes the next message.
func (c *Conn) ReadReply() Reply {
	c.t.Helper()
	size := binary.BigEndian.Uint32(c.readBytes(4))
	decoder := &replyDecoder{t: c.t, rest: c.readBytes(int(size))}
	return decoder.reply()
}

// TryReadReply reads and decodes the next message. It returns false if the other side closed the connection
// instead of sending a message.
func (c *Conn) TryReadReply() (Reply, bool) {
	c.t.Helper()
	if _, err := c.reader.Peek(1); err != nil {
		return Reply{}, false
	}
	return c.ReadReply(), true
}

// replyDecoder decodes a message from its first byte to its last. A malformed message ends the test.
type replyDecoder struct {
	t    testing.TB
	rest []byte
}

// reply decodes the whole message.
func (d *replyDecoder) reply() Reply {
	d.t.Helper()
	version := d.take(4)
	d.text() // the name of the method, which the sequence number identifies as well
	reply := Reply{Seq: int32(d.int32())}
	if version[3] == messageException {
		reply.Application = true
		return reply
	}
	d.take(1) // the type of the result's field
	reply.Field = int16(binary.BigEndian.Uint16(d.take(2)))
	d.resultFields(&reply)
	if d.take(1)[0] != typeStop || len(d.rest) != 0 {
		d.t.Fatalf("invalid end of the result struct, with %d bytes left", len(d.rest))
	}
	return reply
}

// resultFields decodes the fields of an Answer or of a declared exception, up to the stop field. Each type
// occurs at most once in these structs, so the type alone identifies the field.
func (d *replyDecoder) resultFields(reply *Reply) {
	d.t.Helper()
	for {
		fieldType := d.take(1)[0]
		if fieldType == typeStop {
			return
		}
		d.take(2) // the id of the field
		switch fieldType {
		case typeString:
			reply.Body = d.text()
		case typeMap:
			d.mapEntries(reply)
		case typeBool:
			reply.Good = d.take(1)[0] == 1
		default:
			d.t.Fatalf("unexpected field type %d in the result struct", fieldType)
		}
	}
}

// mapEntries decodes a map from string to string into reply.Fields, which stays nil for an empty map.
func (d *replyDecoder) mapEntries(reply *Reply) {
	d.t.Helper()
	d.take(2) // the types of keys and values
	for count := d.int32(); count > 0; count-- {
		if reply.Fields == nil {
			reply.Fields = map[string]string{}
		}
		key := d.text()
		reply.Fields[key] = d.text()
	}
}

// text decodes a string.
func (d *replyDecoder) text() string {
	d.t.Helper()
	size := d.int32()
	return string(d.take(size))
}

func (d *replyDecoder) int32() int {
	d.t.Helper()
	return int(int32(binary.BigEndian.Uint32(d.take(4))))
}

// take removes the next size bytes and returns them.
func (d *replyDecoder) take(size int) []byte {
	d.t.Helper()
	if size < 0 || size > len(d.rest) {
		d.t.Fatalf("truncated message: need %d bytes, have %d", size, len(d.rest))
	}
	taken := d.rest[:size]
	d.rest = d.rest[size:]
	return taken
}
