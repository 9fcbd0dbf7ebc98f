package downstream

import (
	"encoding/binary"
	"fmt"

	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/thrift"
)

// frameLengthError reports that a frame has a length that is not possible, or over Limits.MaxFrameBytes.
type frameLengthError struct{ length int }

// Error implements error.
func (e *frameLengthError) Error() string { return fmt.Sprintf("frame of %d bytes", e.length) }

// Data takes what has come in. A malformed stream ends the connection, once all requests that were read before are
// answered. The error is always nil: the connection closes itself.
func (c *Connection) Data(data []byte) error {
	c.server.Counters.BytesIn += uint64(len(data))
	if c.phase != phaseReady {
		c.dropData(data)
		return nil
	}
	err := c.readFrames(data)
	if err != nil && c.phase == phaseReady {
		c.server.onProtocolError(err)
		c.drain(flightrecorder.ReasonMalformedStream)
	}
	return nil
}

// dropData counts data that comes after the last request that is read, up to a bound.
func (c *Connection) dropData(data []byte) {
	c.server.Counters.DroppedBytes += uint64(len(data))
	c.droppedBytes += len(data)
	if c.droppedBytes > c.server.limits.MaxLingerBytes {
		c.closeNow(flightrecorder.ReasonTooMuchAfterHalfClose)
		return
	}
	event := flightrecorder.Event{Kind: flightrecorder.ConnClosing, Conn: c.id, Count: len(data)}
	c.server.record(event, flightrecorder.ReasonDroppedAfterHalfClose)
}

// readFrames handles the messages that data completes and keeps the rest.
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

// beginFrame reads a frame's length, or a part of it, and returns the data after it.
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

// readLengthPrefix takes a frame's length off the data. A frame of no bytes is malformed, and its length is set to
// -1, as 0 stands for a length that is not known yet.
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

// continueFrame takes the rest of a frame, or a part of it, off the data, and handles the message once it is
// complete.
func (c *Connection) continueFrame(data []byte) ([]byte, error) {
	if c.partialFrame.Len() == 0 && len(data) >= c.frameLength { // nothing needs to be copied
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

// joinFrame copies a complete frame into the server's buffer and releases its pieces.
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
