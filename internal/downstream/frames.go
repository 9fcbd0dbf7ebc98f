package downstream

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/internal/thrift"
	"shaleyard/routing"
)

// frameLengthError is the error for a frame whose length is not positive or exceeds Limits.MaxFrameBytes. The length is
// in bytes; -1 also stands for a length of 0.
type frameLengthError struct{ length int }

// Error implements error.
func (e *frameLengthError) Error() string {
	return fmt.Sprintf("invalid frame length %d, must be positive and at most the frame limit", e.length)
}

// Data handles bytes received from the client. A malformed stream ends the connection after all requests that were read
// before have been answered. Bytes of a client that has left are not read: its requests would be forwarded for nobody.
// The returned error is always nil, because the connection closes itself.
func (c *Connection) Data(data []byte) error {
	c.server.Counters.BytesIn += uint64(len(data))
	if c.phase != phaseReady {
		c.discardData(data)
		return nil
	}
	if c.socket.PeerClosed() { // nobody waits for what it has sent before
		c.closeNow(flightrecorder.ReasonClosedByClient)
		return nil
	}
	c.lastInput = c.server.now()
	c.inputUnread = c.socket.Unread() > 0
	if !c.inputUnread {
		c.submitHeld()
	}
	err := c.readFrames(data)
	if err != nil && c.phase == phaseReady {
		c.endMalformedStream(err)
	}
	return nil
}

// endMalformedStream stops reading the connection because of the given error. Requests that were read before are still
// answered.
func (c *Connection) endMalformedStream(cause error) {
	c.server.onProtocolError(cause)
	c.drain(flightrecorder.ReasonMalformedStream)
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
	if c.partialFrame.received == 0 && len(data) >= c.frameLength { // the whole frame is in data: no copy is needed
		frame, rest := data[:c.frameLength], data[c.frameLength:]
		c.frameLength = 0
		return rest, c.handleMessage(frame)
	}
	n := min(len(data), c.frameLength-c.partialFrame.received)
	if err := c.storePart(data[:n]); err != nil {
		return nil, err
	}
	if c.partialFrame.received < c.frameLength {
		c.scheduleTimeout()
		return nil, nil
	}
	if c.partialFrame.refused {
		return data[n:], c.completeRefusedFrame()
	}
	return data[n:], c.handleMessage(c.joinFrame())
}

// storePart stores a part of a frame's content. If there is no buffer left, other frames are refused, or this one.
func (c *Connection) storePart(part []byte) error {
	frame := &c.partialFrame
	for {
		part = frame.store(part)
		frame.progress.Record(c.server.now(), frame.received)
		if err := thrift.CheckVersion(frame.head); err != nil {
			c.server.Counters.BadMessage++
			return err
		}
		if len(part) == 0 {
			return nil
		}
		if err := c.server.freeFrameBuffers(c); err != nil {
			return err
		}
	}
}

// freeFrameBuffers refuses the frame that has the least claim to its buffers, which is the frame of needy if no other
// one has a smaller claim. An error means that the message of needy is malformed.
func (s *Server) freeFrameBuffers(needy *Connection) error {
	worst := s.leastClaimToBuffers(needy)
	s.Counters.RefusedFrames++
	err := worst.partialFrame.refuse()
	if worst == needy {
		return err
	}
	if err != nil {
		worst.endMalformedStream(err)
	}
	return nil
}

// leastClaimToBuffers returns the connection whose frame has the least claim to its buffers: needy, or another one that
// holds some. A frame of which more has arrived than has been read makes progress.
func (s *Server) leastClaimToBuffers(needy *Connection) *Connection {
	now := s.now()
	compare := func(a, b *Connection) int { return a.compareClaims(b, now) }
	var candidates []*Connection
	s.connections.All(func(_ handle.Handle, connection *Connection) bool {
		if connection.partialFrame.rest.Buffers() > 0 && compare(connection, needy) < 0 {
			candidates = append(candidates, connection)
		}
		return true
	})
	slices.SortStableFunc(candidates, compare)
	for _, candidate := range candidates {
		if candidate.socket.Unread() == 0 {
			return candidate
		}
		candidate.partialFrame.progress.Renew(now)
	}
	worst := needy // all make progress
	for _, candidate := range candidates {
		if compare(candidate, worst) < 0 {
			worst = candidate
		}
	}
	return worst
}

// compareClaims compares the claims of two connections to the buffers that they hold for partly received frames. It
// returns a negative number if c has the smaller claim. Frames that don't arrive in good time come first. Among those
// that do, clients that have never completed a message come first, because a client that is turned away comes back at
// once. Of equals, the frame that has made no progress for longest comes first.
func (c *Connection) compareClaims(other *Connection, now routing.Time) int {
	inGoodTime := c.writesInGoodTime(now)
	if inGoodTime != other.writesInGoodTime(now) {
		return orderFirst(!inGoodTime)
	}
	if inGoodTime && c.receivedMessage != other.receivedMessage {
		return orderFirst(!c.receivedMessage)
	}
	return cmp.Compare(other.partialFrame.progress.Stalled(now), c.partialFrame.progress.Stalled(now))
}

// orderFirst returns the result of a comparison whose first operand comes first if first is true, and else second.
func orderFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// completeRefusedFrame answers the message of a frame that was refused for want of buffers, now that all of it has been
// received.
func (c *Connection) completeRefusedFrame() error {
	header := c.partialFrame.header
	c.partialFrame.reset()
	c.frameLength = 0
	c.recordMessage()
	if header.Type == thrift.Call && header.Method == methodSubmit {
		return c.rejectUnread(header.SeqID, flightrecorder.ReasonBuffersExhausted)
	}
	c.handleUnknownMethod(header)
	return nil
}

// joinFrame copies a complete frame from the pool's buffers into the server's frameBuffer, releases the pool's buffers,
// and returns the copy. All connections of the server share frameBuffer, so the copy is valid until the next call of
// joinFrame on any of them.
func (c *Connection) joinFrame() []byte {
	frame := c.server.frameBuffer[:0]
	frame = c.partialFrame.appendTo(frame)
	c.server.frameBuffer = frame
	c.partialFrame.reset()
	c.frameLength = 0
	return frame
}
