package nettest

import "strings"

// FakeConn is a connection without a socket, for tests that call the program's connection handlers directly. It
// implements eventloop.Conn. It records all data written, and each write succeeds in full. It is not safe for
// concurrent use.
type FakeConn struct {
	Written     strings.Builder // everything written so far
	Buffered    int             // result of OutboundBuffered; the test sets it
	NotSent     int             // result of Unsent; the test sets it
	Unacked     int             // result of Unacknowledged; the test sets it
	NotRead     int             // result of Unread; the test sets it
	Left        bool            // result of PeerClosed; the test sets it
	WriteClosed bool            // CloseWrite was called
	Closed      bool            // Close was called
}

// Writev records all pieces and returns their total length.
func (c *FakeConn) Writev(pieces [][]byte) (int, error) {
	written := 0
	for _, piece := range pieces {
		c.Written.Write(piece)
		written += len(piece)
	}
	return written, nil
}

// OutboundBuffered returns Buffered, in bytes.
func (c *FakeConn) OutboundBuffered() int { return c.Buffered }

// Unsent returns NotSent, in bytes.
func (c *FakeConn) Unsent() int { return c.NotSent }

// Unacknowledged returns Unacked, in bytes.
func (c *FakeConn) Unacknowledged() int { return c.Unacked }

// Unread returns NotRead, in bytes.
func (c *FakeConn) Unread() int { return c.NotRead }

// PeerClosed returns Left.
func (c *FakeConn) PeerClosed() bool { return c.Left }

// CloseWrite sets WriteClosed.
func (c *FakeConn) CloseWrite() error {
	c.WriteClosed = true
	return nil
}

// Close sets Closed.
func (c *FakeConn) Close() error {
	c.Closed = true
	return nil
}
