package downstream

import (
	"encoding/binary"
	"fmt"

	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/thrift"
)

// frameLengthError is the error for a frame whose length is not positive or exceeds Limits.MaxFrameBytes. The length is
// in bytes; -1 also stands for a length of 0.
type frameLengthError struct{ length int }

// Error implements error.
func (e *frameLengthError) Error() string {
	return fmt.Sprintf("invalid frame length %d, must be positive and at most the frame limit", e.length)
}

// Data handles bytes received from the client. A malformed stream ends the connection after all requests that were read
// before have been answered. The returned error is always nil, because the connection closes itself.
func (c *Connection) Data(data []byte) error {
	c.server.Counters.BytesIn += uint64(len(data))
	if c.phase != phaseReady {
		c.discardData(data)
		return nil
	}
	err := c.readFrames(data)
	if err != nil && c.phase == phaseReady {
		c.server.onProtocolError(err)
		c.drain(flightrecorder.ReasonMalformedStream)
	}
	return nil
}

// discardData counts, records and discards data received after the connection has stopped reading requests. It closes
// the connection once more than Limits.MaxLingerBytes have been discarded. In spite of the names of its two reasons, it
// also applies before the half-close, while the connection is draining.
func (c *Connection) discardData(data []byte) {
	c.server.Counters.DroppedBytes += uint64(len(data))
	c.discardedBytes += len(data)
	if c.discardedBytes > c.server.limits.MaxLingerBytes {
		c.closeNow(flightrecorder.ReasonTooMuchAfterHalfClose)
		return
	}
	event := flightrecorder.Event{Kind: flightrecorder.ConnClosing, Conn: c.id, Count: len(data)}
	c.server.record(event, flightrecorder.ReasonDroppedAfterHalfClose)
}

// readFrames handles the messages that data completes, and keeps a partly received one for the next call.
func (c *Connection) readFrames(data []byte) error {
	for len(data) > 0 && c.phase == phaseReady {
		var err error
		if c.frameLength == 0 {
			data, err = c.beginFrame(data)
		} else {
			data, err = c.continueFrame(data)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// beginFrame reads a frame's length prefix, or a part of it, and returns the data after it.
func (c *Connection) beginFrame(data []byte) ([]byte, error) {
	if c.messageStarted == 0 {
		c.messageStarted = c.server.now()
	}
	data, complete := c.readLengthPrefix(data)
	if !complete {
		c.scheduleTimeout()
		return nil, nil
	}
	if c.frameLength < 0 || c.frameLength > c.server.limits.MaxFrameBytes {
		c.server.Counters.BadFrame++
		return nil, &frameLengthError{length: c.frameLength}
	}
	if len(data) == 0 {
		c.scheduleTimeout()
	}
	return data, nil
}

// readLengthPrefix reads a frame's length prefix, or a part of it, and sets frameLength once the prefix is complete. It
// returns the data after the prefix. A length of 0 is malformed and is stored as -1, because a frameLength of 0 means
// that the length is not known yet.
func (c *Connection) readLengthPrefix(data []byte) (rest []byte, complete bool) {
	n := min(thrift.FrameHeaderSize-len(c.lengthPrefix), len(data))
	c.lengthPrefix = append(c.lengthPrefix, data[:n]...)
	if len(c.lengthPrefix) < thrift.FrameHeaderSize {
		return data[n:], false
	}
	c.frameLength = int(int32(binary.BigEndian.Uint32(c.lengthPrefix)))
	if c.frameLength == 0 {
		c.frameLength = -1
	}
	c.lengthPrefix = c.lengthPrefix[:0]
	return data[n:], true
}

// continueFrame reads the rest of a frame, or a part of it, and returns the data after it. It handles the message once
// the frame is complete.
func (c *Connection) continueFrame(data []byte) ([]byte, error) {
	if c.partialFrame.Len() == 0 && len(data) >= c.frameLength { // the whole frame is in data: no copy is needed
		frame, rest := data[:c.frameLength], data[c.frameLength:]
		c.frameLength = 0
		return rest, c.handleMessage(frame)
	}
	n := min(len(data), c.frameLength-c.partialFrame.Len())
	if err := c.partialFrame.Append(data[:n]); err != nil {
		return nil, err
	}
	if c.partialFrame.Len() < c.frameLength {
		c.scheduleTimeout()
		return nil, nil
	}
	return data[n:], c.handleMessage(c.joinFrame())
}

// joinFrame copies a complete frame from the pool's buffers into the server's frameBuffer, releases the pool's buffers,
// and returns the copy. All connections of the server share frameBuffer, so the copy is valid until the next call of
// joinFrame on any of them.
func (c *Connection) joinFrame() []byte {
	frame := c.server.frameBuffer[:0]
	for _, segment := range c.partialFrame.Segments(nil) {
		frame = append(frame, segment...)
	}
	c.server.frameBuffer = frame
	c.partialFrame.Release()
	c.frameLength = 0
	return frame
}
