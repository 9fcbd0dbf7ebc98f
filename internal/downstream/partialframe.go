package downstream

import (
	"shaleyard/internal/buffer"
	"shaleyard/internal/thrift"
)

// partialFrame is the received part of a frame's content. Its first bytes are held in memory of the connection, so that
// small messages need no buffer, however slowly they arrive. The others are held in buffers of a pool. A frame that has
// been refused for want of buffers holds only its first bytes; the others are counted and discarded.
type partialFrame struct {
	head      []byte // the first bytes, at most headLimit
	headLimit int
	rest      buffer.Chain
	received  int // bytes of the content that have arrived
	progress  buffer.Progress
	refused   bool
	header    thrift.MessageHeader // of a refused frame
}

// store holds data as far as there are buffers, and returns the data that is left.
func (f *partialFrame) store(data []byte) (left []byte) {
	if f.refused {
		f.received += len(data)
		return nil
	}
	size := min(len(data), f.headLimit-len(f.head))
	f.head = append(f.head, data[:size]...)
	f.received += size
	data = data[size:]
	held := f.rest.Len()
	_ = f.rest.Append(data) // what has found no buffer is returned
	size = f.rest.Len() - held
	f.received += size
	return data[size:]
}

// messageHeader returns the message's header. The error is that of a malformed message if the header has not arrived
// with the bytes that are held.
func (f *partialFrame) messageHeader() (thrift.MessageHeader, error) {
	reader := thrift.NewReader(f.head)
	header := reader.MessageHeader()
	return header, reader.Err()
}

// refuse releases the buffers and discards the frame from now on, except for its first bytes. It returns the error of
// messageHeader.
func (f *partialFrame) refuse() error {
	var err error
	f.header, err = f.messageHeader()
	f.rest.Release()
	f.refused = true
	return err
}

// appendTo appends the content to dst.
func (f *partialFrame) appendTo(dst []byte) []byte {
	dst = append(dst, f.head...)
	for _, segment := range f.rest.Segments(nil) {
		dst = append(dst, segment...)
	}
	return dst
}

// reset releases the buffers and forgets the frame. The memory of the first bytes is kept for the next frame.
func (f *partialFrame) reset() {
	f.rest.Release()
	f.head = f.head[:0]
	f.received = 0
	f.progress = buffer.Progress{}
	f.refused = false
	f.header = thrift.MessageHeader{}
}
