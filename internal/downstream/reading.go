package downstream

import (
	"time"

	"shaleyard/routing"
)

// This file estimates whether a client has read its answers. A half-close stands behind all output, and a client sees
// it only when it has read that far. Until then it goes on sending requests, which would get no answer. What the
// client's own system holds for it is not reported, so it is estimated.

const (
	// assumedReadPace is the pace in bytes per second at which a client is assumed to read if output has not shown that
	// it reads more slowly.
	assumedReadPace = 128 << 10
	// minReadPace is the least pace in bytes per second that is measured.
	minReadPace = 16 << 10
	// receiveBufferBytes is how much output a client's system is assumed to hold while the client reads more slowly
	// than output is sent.
	receiveBufferBytes = 256 << 10
	// paceSampleTime is the time over which a pace is measured.
	paceSampleTime = 500 * time.Millisecond
	// maxUnreadAtHalfClose is how many bytes a client may have left unread when its connection is half-closed: 32 small
	// answers, which are read within 40 ms at assumedReadPace. A request that crosses the close of a connection without
	// open requests within 50 ms is sent again, as the protocol page specifies.
	maxUnreadAtHalfClose = 5 << 10
)

// readEstimate estimates how much output a client has not read yet: output leaves the estimate at the client's pace.
type readEstimate struct {
	unread    float64 // bytes, at updatedAt
	updatedAt routing.Time
	pace      float64 // bytes per second; 0: assumedReadPace

	// The pace is measured while output waits to be sent, from the bytes that the client's system has acknowledged.
	sampledAt    routing.Time // start of the current measurement; 0: there is none
	sampledBytes int64        // acknowledged at sampledAt
}

// bytesPerSecond returns the pace at which the client reads.
func (e *readEstimate) bytesPerSecond() float64 {
	if e.pace == 0 {
		return assumedReadPace
	}
	return e.pace
}

// addOutput adds output of the given size in bytes.
func (e *readEstimate) addOutput(now routing.Time, size int) {
	e.advance(now)
	e.unread += float64(size)
}

// advance removes what the client has read since the last call.
func (e *readEstimate) advance(now routing.Time) {
	read := (now - e.updatedAt).Seconds() * e.bytesPerSecond()
	e.unread = max(0, e.unread-read)
	e.updatedAt = now
}

// observe corrects the estimate by what the sockets tell: queued is the number of bytes that have not been sent yet,
// acknowledged the number of bytes that the client's system has received, and latest an upper bound of what the client
// can have left unread.
func (e *readEstimate) observe(now routing.Time, queued int, acknowledged int64, latest int) {
	e.advance(now)
	if queued > 0 {
		e.unread = max(e.unread, float64(queued+receiveBufferBytes))
		e.measurePace(now, acknowledged)
	} else {
		e.unread = min(e.unread, receiveBufferBytes)
		e.sampledAt = 0
	}
	e.unread = min(e.unread, float64(latest))
}

// measurePace measures the pace over paceSampleTime or longer.
func (e *readEstimate) measurePace(now routing.Time, acknowledged int64) {
	elapsed := now - e.sampledAt
	if e.sampledAt != 0 && elapsed < paceSampleTime {
		return
	}
	if e.sampledAt != 0 {
		measured := float64(acknowledged-e.sampledBytes) / elapsed.Seconds()
		e.pace = min(max(measured, minReadPace), assumedReadPace)
	}
	e.sampledAt, e.sampledBytes = now, acknowledged
}

// canHalfClose reports whether the connection may be half-closed: nothing is owed on it, all output has been sent, and
// the client is likely to have read it. A client has at most Limits.MaxRequestsPerConn requests without an answer, so
// it has read all but as many of the latest answers.
func (c *Connection) canHalfClose(now routing.Time) bool {
	if len(c.openRequests) > 0 || c.receivingFrame() {
		return false
	}
	buffered := c.socket.OutboundBuffered()
	if buffered == 0 && c.output.written == 0 {
		return true
	}
	queued := buffered + c.socket.Unsent()
	c.reading.observe(now, queued, c.acknowledged(), c.output.sizeOfLatest(c.server.limits.MaxRequestsPerConn))
	return queued == 0 && c.reading.unread <= maxUnreadAtHalfClose
}

// acknowledged returns the number of bytes written to the connection that the client's system has acknowledged.
func (c *Connection) acknowledged() int64 {
	return c.output.written - int64(c.socket.OutboundBuffered()+c.socket.Unacknowledged())
}
