package thrift

import "encoding/binary"

// Reader takes values off one message. After the first error, which Err returns, all values are zero: callers check
// once, when all is read.
type Reader struct {
	data []byte
	err  error
}

// NewReader returns a reader of a message, without the frame's length. The message must stay unchanged as long as
// values that were read from it are in use.
func NewReader(message []byte) Reader { return Reader{data: message} }

// Err is the first error met.
func (r *Reader) Err() error { return r.err }

// Fail ends the reading with an error, unless there was one before.
func (r *Reader) Fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// take returns the next n bytes as a view.
func (r *Reader) take(n int) []byte {
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
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

// Int16 reads an i16.
func (r *Reader) Int16() int16 {
	if b := r.take(2); b != nil {
		return int16(binary.BigEndian.Uint16(b))
	}
	return 0
}

// Int32 reads an i32.
func (r *Reader) Int32() int32 {
	if b := r.take(4); b != nil {
		return int32(binary.BigEndian.Uint32(b))
	}
	return 0
}

// Bytes reads a string or binary; it is a view of the message.
func (r *Reader) Bytes() []byte { return r.take(int(r.Int32())) }

// MessageHeader reads the head of a message.
func (r *Reader) MessageHeader() MessageHeader {
	version := uint32(r.Int32())
	if r.err == nil && version&versionMask != version1 {
		r.Fail(ErrBadVersion)
	}
	header := MessageHeader{Type: MessageType(version & messageTypeMask)}
	header.Method = string(r.Bytes())
	header.SeqID = r.Int32()
	return header
}

// MapHeader reads what a map begins with: the types of its keys and values, and the number of its entries, which may
// be anything: Repeat checks it.
func (r *Reader) MapHeader() (key, value Type, count int32) {
	key = Type(r.Byte())
	value = Type(r.Byte())
	count = r.Int32()
	return key, value, count
}

// ListHeader reads what a list or a set begins with: the type and the number of its elements.
func (r *Reader) ListHeader() (element Type, count int32) {
	element = Type(r.Byte())
	count = r.Int32()
	return element, count
}

// Repeat reads count elements by a function. Each takes a byte at least, so a count of more than the bytes that are
// left is an error before anything is read.
func (r *Reader) Repeat(count int32, element func()) {
	if count < 0 || int(count) > len(r.data) {
		r.Fail(ErrTruncated)
	}
	for ; count > 0 && r.err == nil; count-- {
		element()
	}
}

// Fields calls field for each field of a struct, up to its end. The function must read the field's value, or Skip it.
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

// Skip passes over a value, as of a field that this side does not know. Values nested deeper than 8 levels are an
// error.
func (r *Reader) Skip(valueType Type) { r.skip(valueType, 0) }

func (r *Reader) skip(valueType Type, depth int) {
	if depth > maxDepth {
		r.Fail(ErrTooDeep)
		return
	}
	switch valueType {
	case Bool, Byte:
		r.take(1)
	case I16:
		r.take(2)
	case I32:
		r.take(4)
	case Double, I64:
		r.take(8)
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
