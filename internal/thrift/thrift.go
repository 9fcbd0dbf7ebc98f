// Package thrift reads and writes messages of Apache Thrift's strict binary protocol in the framed transport, as
// specified in thrift-binary-protocol.md of the Thrift project. It encodes and decodes values, structs, message headers
// and application exceptions; its users define the methods of their service.
//
// Values are read without copying: strings and binaries are views of the message. Only the method name of a message
// header is copied. All integers are big-endian.
package thrift

import (
	"errors"
	"fmt"
)

// MessageType is the type of a message in its header.
type MessageType byte

// Message types of the protocol.
const (
	Call      MessageType = 1
	Reply     MessageType = 2
	Exception MessageType = 3
	Oneway    MessageType = 4
)

// Type is the wire type of a value.
type Type byte

// Wire types of the protocol. Stop is not the type of a value: it marks the end of a struct's fields.
const (
	Stop   Type = 0
	Bool   Type = 2
	Byte   Type = 3
	Double Type = 4
	I16    Type = 6
	I32    Type = 8
	I64    Type = 10
	String Type = 11
	Struct Type = 12
	Map    Type = 13
	Set    Type = 14
	List   Type = 15
)

// ApplicationError is the error code in the type field of an application exception.
type ApplicationError int32

// Error codes of the application exceptions that directors send.
const (
	UnknownMethod ApplicationError = 1
	ProtocolError ApplicationError = 7
)

const (
	version1        = 0x8001_0000
	versionMask     = 0xffff_ff00
	messageTypeMask = 0xff

	// FrameHeaderSize is the size in bytes of the length prefix that precedes the message in a frame.
	FrameHeaderSize = 4

	// maxDepth is the number of nesting levels that Skip accepts below the skipped value.
	maxDepth = 8
)

// Errors of malformed messages. Their texts are sent to peers in application exceptions, so a new text changes what
// peers receive.
var (
	ErrTruncated     = errors.New("message cut short")
	ErrTrailingBytes = errors.New("bytes left behind the message")
	ErrTooDeep       = errors.New("values nested too deep")
	ErrBadVersion    = errors.New("not the strict binary protocol")
)

// UnknownTypeError is the error for a value whose wire type the protocol does not define.
type UnknownTypeError struct{ Type Type }

// Error implements error.
func (e *UnknownTypeError) Error() string { return fmt.Sprintf("unknown type %d", e.Type) }

// MessageHeader is the header of a message. SeqID relates a reply to its call.
type MessageHeader struct {
	Type   MessageType
	Method string
	SeqID  int32
}
