// Package thrift reads and writes messages of Apache Thrift's strict binary protocol, as the protocol's specification
// (thrift-binary-protocol.md of the Thrift project) describes it, in the framed transport. It knows values, structs,
// message headers and application exceptions; the methods of a service belong to its user.
//
// Nothing is copied on reading: strings and binaries are views of the message. All integers are big-endian.
package thrift

import (
	"errors"
	"fmt"
)

// MessageType says what a message is.
type MessageType byte

// The types of messages.
const (
	Call      MessageType = 1
	Reply     MessageType = 2
	Exception MessageType = 3
	Oneway    MessageType = 4
)

// Type is the type of a value on the wire.
type Type byte

// The types of values. Stop ends the fields of a struct.
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

// ApplicationError is the type field of an application exception.
type ApplicationError int32

// The application exceptions that are used.
const (
	UnknownMethod ApplicationError = 1
	ProtocolError ApplicationError = 7
)

const (
	version1        = 0x8001_0000
	versionMask     = 0xffff_ff00
	messageTypeMask = 0xff

	// FrameHeaderSize is the number of bytes of a frame's length, which come before the message.
	FrameHeaderSize = 4

	// maxDepth bounds how deep the values that are skipped may be nested.
	maxDepth = 8
)

// Errors of malformed messages. Their texts go to peers in application exceptions: they are part of what is sent.
var (
	ErrTruncated  = errors.New("message cut short")
	ErrTooDeep    = errors.New("values nested too deep")
	ErrBadVersion = errors.New("not the strict binary protocol")
)

// UnknownTypeError reports that a value has a type that the protocol does not know.
type UnknownTypeError struct{ Type Type }

// Error implements error.
func (e *UnknownTypeError) Error() string { return fmt.Sprintf("unknown type %d", e.Type) }

// MessageHeader is what a message begins with.
type MessageHeader struct {
	Type   MessageType
	Method string
	SeqID  int32
}
