package thrift

import "encoding/binary"

// Reader decodes the values of one message in order. After the first error, all reads return zero values, so callers
// check Err once, after the last read.
type Reader struct {
	data []byte
	err  error
}

// NewReader returns a reader of a message without its frame's length prefix. The message must not change while values
// that were read from it are in use, because strings and binaries are views of it.
func NewReader(message []byte) Reader { return Reader{data: message} }

// Err returns the first error of the reader, or nil.
func (r *Reader) Err() error { return r.err }

// Fail sets the reader's error to err, unless the reader has an error already. It does nothing if err is nil.
func (r *Reader) Fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// End fails with ErrTrailingBytes if bytes of the message are left. It is called after the last value of a message: a
// wrong length or count inside the message can end the last value early.
func (r *Reader) End() {
	if len(r.data) > 0 {
		r.Fail(ErrTrailingBytes)
	}
}

// next consumes the next n bytes and returns them as a view of the message. It returns nil after an error, and fails
// with ErrTruncated if n is negative or greater than the number of bytes left.
func (r *Reader) next(n int) []byte {
	if r.err != nil || n < 0 || n > len(r.data) {
		r.Fail(ErrTruncated)
		return nil
	}
	taken := r.data[:n]
	r.data = r.data[n:]
	return taken
}

// Byte reads a byte.
func (r *Reader) Byte() byte {
	if b := r.next(1); b != nil {
		return b[0]
	}
	return 0
}

// Int16 reads an i16.
func (r *Reader) Int16() int16 {
	if b := r.next(2); b != nil {
		return int16(binary.BigEndian.Uint16(b))
	}
	return 0
}

// Int32 reads an i32.
func (r *Reader) Int32() int32 {
	if b := r.next(4); b != nil {
		return int32(binary.BigEndian.Uint32(b))
	}
	return 0
}

// Bytes reads a string or binary and returns it as a view of the message.
func (r *Reader) Bytes() []byte { return r.next(int(r.Int32())) }

// CheckVersion returns ErrBadVersion if a message that begins with the given bytes does not have version 1 of the
// strict binary protocol. It returns nil if there are too few bytes to tell.
func CheckVersion(beginning []byte) error {
	if len(beginning) >= 4 && binary.BigEndian.Uint32(beginning)&versionMask != version1 {
		return ErrBadVersion
	}
	return nil
}

// MessageHeader reads the header of a message. It fails with ErrBadVersion unless the header has version 1 of the
// strict binary protocol.
func (r *Reader) MessageHeader() MessageHeader {
	r.Fail(CheckVersion(r.data))
	version := uint32(r.Int32())
	header := MessageHeader{Type: MessageType(version & messageTypeMask)}
	header.Method = string(r.Bytes())
	header.SeqID = r.Int32()
	return header
}

// MapHeader reads the header of a map: the types of its keys and values, and the number of its entries. The number is
// not validated here: Repeat validates it.
func (r *Reader) MapHeader() (key, value Type, count int32) {
	key = Type(r.Byte())
	value = Type(r.Byte())
	count = r.Int32()
	return key, value, count
}

// ListHeader reads the header of a list or a set: the type of its elements and their number. The number is not
// validated here: Repeat validates it.
func (r *Reader) ListHeader() (element Type, count int32) {
	element = Type(r.Byte())
	count = r.Int32()
	return element, count
}

// Repeat calls element count times, or until the first error; each call must read one element. Every element has at
// least one byte, so a count that is negative or greater than the number of bytes left fails with ErrTruncated before
// the first call.
func (r *Reader) Repeat(count int32, element func()) {
	if count < 0 || int(count) > len(r.data) {
		r.Fail(ErrTruncated)
	}
	for ; count > 0 && r.err == nil; count-- {
		element()
	}
}

// Fields calls field for each field of a struct, up to the stop byte or the first error. Each call must read the
// field's value or Skip it.
func (r *Reader) Fields(field func(id int16, valueType Type)) {
	for r.err == nil {
		valueType := Type(r.Byte())
		if valueType == Stop {
			return
		}
		id := r.Int16()
		field(id, valueType)
	}
}

// Skip reads a value of the given type and discards it, as for a field with an unknown id. It fails with ErrTooDeep for
// values nested more than 8 levels below the skipped one, and with an UnknownTypeError for an undefined type.
func (r *Reader) Skip(valueType Type) { r.skip(valueType, 0) }

func (r *Reader) skip(valueType Type, depth int) {
	if depth > maxDepth {
		r.Fail(ErrTooDeep)
		return
	}
	switch valueType {
	case Bool, Byte:
		r.next(1)
	case I16:
		r.next(2)
	case I32:
		r.next(4)
	case Double, I64:
		r.next(8)
	case String:
		r.Bytes()
	case Struct:
		r.Fields(func(_ int16, valueType Type) { r.skip(valueType, depth+1) })
	case Map:
		r.skipMap(depth)
	case Set, List:
		element, count := r.ListHeader()
		r.Repeat(count, func() { r.skip(element, depth+1) })
	default:
		r.Fail(&UnknownTypeError{Type: valueType})
	}
}

func (r *Reader) skipMap(depth int) {
	key, value, count := r.MapHeader()
	r.Repeat(count, func() {
		r.skip(key, depth+1)
		r.skip(value, depth+1)
	})
}
