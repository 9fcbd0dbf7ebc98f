package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
)

// The protocol between clients and director is Apache Thrift's strict binary protocol over the framed transport.
// The constants below are those of the Thrift specification that submit, the one method called here, needs.
const (
	messageCall      byte = 1
	messageException byte = 3

	typeStop   byte = 0
	typeString byte = 11
	typeMap    byte = 13

	methodSubmit = "submit"
	sequence     = 1 // any number will do, as there is one call on the connection
)

// Field ids in the result of submit: the Answer has 0, the declared exceptions have these.
const (
	resultRefused = 1
	resultFailed  = 2
)

// Sizes in bytes of the parts of an answer that go before its body's content.
const (
	lengthSize        = 4
	messageHeaderSize = 4 + lengthSize + len(methodSubmit) + 4 // version and type, name, sequence number
	fieldHeaderSize   = 1 + 2                                  // type, id
)

// encodeSubmit encodes a call of submit as a frame.
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
	message = binary.BigEndian.AppendUint32(message, sequence)

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

func appendString(b []byte, text string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	return append(b, text...)
}

// readFrame reads a frame and returns the message in it.
func readFrame(reader io.Reader) ([]byte, error) {
	length := make([]byte, lengthSize)
	if _, err := io.ReadFull(reader, length); err != nil {
		return nil, fmt.Errorf("no answer: %w", err)
	}
	message := make([]byte, binary.BigEndian.Uint32(length))
	if _, err := io.ReadFull(reader, message); err != nil {
		return nil, fmt.Errorf("answer cut short: %w", err)
	}
	return message, nil
}

// decodeAnswer returns the body in the answer to submit. Its error is errRefused or errFailed where the director
// says so, and another one where the answer is an application exception or malformed.
func decodeAnswer(answer []byte) ([]byte, error) {
	const bodyStart = messageHeaderSize + fieldHeaderSize + fieldHeaderSize // of the result and of the body in it
	if len(answer) < bodyStart+lengthSize {
		return nil, fmt.Errorf("answer of %d bytes: %q", len(answer), answer)
	}
	result := answer[messageHeaderSize:]
	if messageType := answer[3]; messageType == messageException {
		return nil, fmt.Errorf("application exception: %q", result)
	}
	switch fieldID := binary.BigEndian.Uint16(result[1:]); fieldID {
	case resultRefused:
		return nil, errRefused
	case resultFailed:
		return nil, errFailed
	}
	size := binary.BigEndian.Uint32(answer[bodyStart:])
	content := answer[bodyStart+lengthSize:]
	if int(size) > len(content) {
		return nil, fmt.Errorf("body of %d bytes in an answer of %d", size, len(answer))
	}
	return content[:size], nil
}
