package testbed

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Message types and field types of the Thrift binary protocol.
const (
	thriftMessageCall      = 1
	thriftMessageException = 3
	thriftMessageOneway    = 4

	thriftStop   = 0
	thriftBool   = 2
	thriftI32    = 8
	thriftString = 11
	thriftMap    = 13
)

// revokeSeq is the sequence number of each revoke. It is a oneway call, so no reply repeats the number.
const revokeSeq = 1 << 30

// thriftCall returns a framed message in the strict binary protocol: a call or a oneway call of the named method.
func thriftCall(messageType byte, name string, seq int32, args []byte) []byte {
	buffer := []byte{0, 0, 0, 0, 0x80, 1, 0, messageType}
	buffer = appendString(buffer, name)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(seq))
	buffer = append(buffer, args...)
	buffer = append(buffer, thriftStop)
	binary.BigEndian.PutUint32(buffer, uint32(len(buffer)-4))
	return buffer
}

func appendString(buffer []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(buffer, uint32(len(s))), s...)
}

func heartbeatCall(seq int32) []byte {
	return thriftCall(thriftMessageCall, "heartbeat", seq, []byte{thriftBool, 0, 1, 0})
}

func revokeCall(seq int32) []byte {
	args := binary.BigEndian.AppendUint32([]byte{thriftI32, 0, 1}, uint32(seq))
	return thriftCall(thriftMessageOneway, "revoke", revokeSeq, args)
}

// submitArgs returns the encoded arguments of submit: a map of fields, given as alternating names and values, and a
// body.
func submitArgs(body string, fields ...string) []byte {
	buffer := []byte{thriftMap, 0, 1, thriftString, thriftString}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(fields)/2))
	for _, field := range fields {
		buffer = appendString(buffer, field)
	}
	buffer = append(buffer, thriftString, 0, 2)
	return appendString(buffer, body)
}

var errTruncated = errors.New("answer cut short")

// replyReader decodes the parts of a message. It keeps the latest error; a read past the end of the message returns
// zero bytes, and a string with an invalid length is empty.
type replyReader struct {
	buffer *bytes.Buffer
	err    error
}

func (r *replyReader) take(n int) []byte {
	taken := r.buffer.Next(n)
	if len(taken) < n {
		r.err = errTruncated
		return make([]byte, max(n, 0))
	}
	return taken
}

func (r *replyReader) number() int { return int(int32(binary.BigEndian.Uint32(r.take(4)))) }

func (r *replyReader) text() string {
	n := r.number()
	if n < 0 || n > r.buffer.Len() {
		r.err = errTruncated
		return ""
	}
	return string(r.take(n))
}

// readReply decodes the frame of a reply: a result, one of the declared exceptions (rejection or failure), or a Thrift
// exception, which counts as a failure. It returns the sequence number of the call and the decoded reply.
func readReply(frame []byte) (seq int32, answer reply, err error) {
	reader := &replyReader{buffer: bytes.NewBuffer(frame)}
	messageType := reader.take(4)[3]
	reader.text()
	seq = int32(reader.number())
	if messageType == thriftMessageException {
		return seq, reply{outcome: outcomeFailed}, reader.err
	}
	reader.take(1)
	switch field := binary.BigEndian.Uint16(reader.take(2)); field {
	case 0, 1, 2:
		answer.outcome = [...]string{outcomeServed, outcomeRefused, outcomeFailed}[field]
	default:
		return seq, answer, fmt.Errorf("field %d in a result", field)
	}
	for fieldType := reader.take(1)[0]; fieldType != thriftStop && reader.err == nil; fieldType = reader.take(1)[0] {
		reader.take(2)
		if err := reader.readField(fieldType, &answer); err != nil {
			return seq, answer, err
		}
	}
	return seq, answer, reader.err
}

// readField decodes one field of a result or of a declared exception into answer: the body, the retry delay (map entry
// "cooldown", in milliseconds), or the flag that a result carries about its own success. It returns an error if the
// type of the field is unknown.
func (r *replyReader) readField(fieldType byte, answer *reply) error {
	switch fieldType {
	case thriftString:
		answer.body = r.text()
	case thriftMap:
		r.take(2)
		for n := r.number(); n > 0 && r.err == nil; n-- {
			name, value := r.text(), r.text()
			if name == "cooldown" {
				ms, _ := strconv.ParseFloat(value, 64)
				answer.retryAfter = time.Duration(ms * float64(time.Millisecond))
			}
		}
	case thriftBool:
		if r.take(1)[0] == 0 && answer.outcome == outcomeServed {
			answer.outcome = outcomeNotOK
		}
	default:
		return fmt.Errorf("field of type %d in an answer", fieldType)
	}
	return nil
}
