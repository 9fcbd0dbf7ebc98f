package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
)

// Clients and the director communicate in Apache Thrift's strict binary protocol over the framed transport. The
// constants below are from the Thrift specification. They are those that a call of submit needs, the only method that
// the toy calls.
const (
	messageCall      byte = 1
	messageException byte = 3

	typeStop   byte = 0
	typeString byte = 11
	typeMap    byte = 13

	methodSubmit   = "submit"
	sequenceNumber = 1 // sequence number of the call; any number is valid, as a connection carries a single call
)

// Field ids of the exceptions that submit declares. In its result they take the place of the Answer, which has id 0.
const (
	resultRejected = 1
	resultFailed   = 2
)

// Sizes in bytes of the headers that precede the body's content in an answer.
const (
	lengthSize        = 4
	messageHeaderSize = 4 + lengthSize + len(methodSubmit) + 4 // version and type, name, sequence number
	fieldHeaderSize   = 1 + 2                                  // type, id
)

// encodeSubmit encodes a call of submit as a frame. The fields of the request are the id of the request (ref), its
// service, its timeout in milliseconds (allow), the id of the object (lookup), the number of the object's part (chunk),
// the object's purge group (tag) and its size in KB (room).
func encodeSubmit(id string, req request) []byte {
	fields := []string{
		"ref", id,
		"service", req.service,
		"allow", strconv.FormatInt(req.timeout.Milliseconds(), 10),
		"lookup", req.object,
		"chunk", "0",
		"tag", "0",
		"room", "100",
	}
	message := []byte{0x80, 1, 0, messageCall}
	message = appendString(message, methodSubmit)
	message = binary.BigEndian.AppendUint32(message, sequenceNumber)

	message = append(message, typeMap, 0, 1) // the argument with id 1
	message = append(message, typeString, typeString)
	message = binary.BigEndian.AppendUint32(message, uint32(len(fields)/2))
	for _, text := range fields {
		message = appendString(message, text)
	}
	message = append(message, typeString, 0, 2) // the argument with id 2
	message = appendString(message, req.body)
	message = append(message, typeStop)

	frame := binary.BigEndian.AppendUint32(nil, uint32(len(message)))
	return append(frame, message...)
}

// appendString appends a Thrift string: its length in 4 bytes and its content.
func appendString(b []byte, text string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	return append(b, text...)
}

// readFrame reads a frame and returns the message in it. It does not limit the size of the message.
func readFrame(reader io.Reader) ([]byte, error) {
	length := make([]byte, lengthSize)
	if _, err := io.ReadFull(reader, length); err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	message := make([]byte, binary.BigEndian.Uint32(length))
	if _, err := io.ReadFull(reader, message); err != nil {
		return nil, fmt.Errorf("read answer: truncated: %w", err)
	}
	return message, nil
}

// decodeAnswer returns the body in the answer to submit. It returns errRejected or errFailed if the answer holds one of
// the declared exceptions, and another error if the answer is an application exception or malformed.
func decodeAnswer(answer []byte) ([]byte, error) {
	// The result and the body in it are fields, each with a header of its own.
	const bodyStart = messageHeaderSize + fieldHeaderSize + fieldHeaderSize
	if len(answer) < bodyStart+lengthSize {
		return nil, fmt.Errorf("answer of %d bytes is too short: %q", len(answer), answer)
	}
	result := answer[messageHeaderSize:]
	if messageType := answer[3]; messageType == messageException {
		return nil, fmt.Errorf("application exception: %q", result)
	}
	switch fieldID := binary.BigEndian.Uint16(result[1:]); fieldID {
	case resultRejected:
		return nil, errRejected
	case resultFailed:
		return nil, errFailed
	}
	size := binary.BigEndian.Uint32(answer[bodyStart:])
	content := answer[bodyStart+lengthSize:]
	if int(size) > len(content) {
		return nil, fmt.Errorf("truncated answer: body of %d bytes in an answer of %d bytes", size, len(answer))
	}
	return content[:size], nil
}
