package thrift

import "encoding/binary"

// Writer encodes a framed message, or a part of one, into a buffer that it reuses for the next message. The zero value
// is ready for use.
type Writer struct{ buffer []byte }

// Reset empties the writer, to encode a part of a message that has no frame header of its own.
func (w *Writer) Reset() { w.buffer = w.buffer[:0] }

// Begin empties the writer and starts a frame with a message header. Frame sets the frame's length later.
func (w *Writer) Begin(messageType MessageType, method string, seqID int32) {
	w.buffer = append(w.buffer[:0], 0, 0, 0, 0) // the frame's length, set by Frame
	w.buffer = binary.BigEndian.AppendUint32(w.buffer, version1|uint32(messageType))
	w.PutString(method)
	w.PutInt32(seqID)
}

// Frame sets the frame's length and returns the frame. The length includes following, the number of bytes of the
// message that the caller sends after the returned ones. The frame is valid until the next Begin or Reset.
func (w *Writer) Frame(following int) []byte {
	binary.BigEndian.PutUint32(w.buffer, uint32(len(w.buffer)-FrameHeaderSize+following))
	return w.buffer
}

// Bytes returns all that was written since the last Begin or Reset. It is valid until the next Begin or Reset.
func (w *Writer) Bytes() []byte { return w.buffer }

// PutByte writes a byte.
func (w *Writer) PutByte(value byte) { w.buffer = append(w.buffer, value) }

// PutBool writes a bool.
func (w *Writer) PutBool(value bool) {
	if value {
		w.PutByte(1)
		return
	}
	w.PutByte(0)
}

// PutInt32 writes an i32.
func (w *Writer) PutInt32(value int32) {
	w.buffer = binary.BigEndian.AppendUint32(w.buffer, uint32(value))
}

// PutString writes a string.
func (w *Writer) PutString(value string) {
	w.PutInt32(int32(len(value)))
	w.buffer = append(w.buffer, value...)
}

// PutField writes the header of a struct's field. The caller writes the field's value next.
func (w *Writer) PutField(valueType Type, id int16) {
	w.PutByte(byte(valueType))
	w.buffer = binary.BigEndian.AppendUint16(w.buffer, uint16(id))
}

// PutStop writes the stop byte that ends a struct.
func (w *Writer) PutStop() { w.PutByte(byte(Stop)) }

// PutStringMap writes a map from strings to strings. The arguments are keys and values alternately.
func (w *Writer) PutStringMap(pairs ...string) {
	w.PutByte(byte(String))
	w.PutByte(byte(String))
	w.PutInt32(int32(len(pairs) / 2))
	for _, text := range pairs {
		w.PutString(text)
	}
}

// ApplicationException encodes an application exception and returns its whole frame, which is valid until the next
// Begin or Reset.
func (w *Writer) ApplicationException(method string, seqID int32, errorType ApplicationError, text string) []byte {
	const messageField, typeField = 1, 2
	w.Begin(Exception, method, seqID)
	w.PutField(String, messageField)
	w.PutString(text)
	w.PutField(I32, typeField)
	w.PutInt32(int32(errorType))
	w.PutStop()
	return w.Frame(0)
}
