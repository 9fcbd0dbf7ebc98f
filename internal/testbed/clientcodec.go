package testbed

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Kinds of messages and fields in Thrift's binary protocol.
const (
	thriftCallKind   = 1
	thriftException  = 3
	thriftOnewayKind = 4

	thriftStop   = 0
	thriftBool   = 2
	thriftI32    = 8
	thriftString = 11
	thriftMap    = 13
)

// revokeSeq is the number of all cancellations, which are not answered.
const revokeSeq = 1 << 30

// thriftCall builds a framed call in the strict binary protocol.
func thriftCall(kind byte, name string, seq int32, args []byte) []byte {
	buffer := []byte{0, 0, 0, 0, 0x80, 1, 0, kind}
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
	return thriftCall(thriftCallKind, "heartbeat", seq, []byte{thriftBool, 0, 1, 0})
}

func revokeCall(seq int32) []byte {
	args := binary.BigEndian.AppendUint32([]byte{thriftI32, 0, 1}, uint32(seq))
	return thriftCall(thriftOnewayKind, "revoke", revokeSeq, args)
}

// submitArgs are the arguments of submit: fields, given as name and value in turn, and a body.
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

// replyReader reads a message; after an error it brings zeros.
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

// readReply reads an answer, a refusal or a failure.
func readReply(frame []byte) (seq int32, answer reply, err error) {
	reader := &replyReader{buffer: bytes.NewBuffer(frame)}
	kind := reader.take(4)[3]
	reader.text()
	seq = int32(reader.number())
	if kind == thriftException {
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

// readField reads a field of an answer, a refusal or a failure.
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
			answer.outcome = outcomeNotGood
		}
	default:
		return fmt.Errorf("field of type %d in an answer", fieldType)
	}
	return nil
}
