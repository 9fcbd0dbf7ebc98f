package eventloop

import (
	"os"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// Conn is a connection as its owner uses it, on the loop.
type Conn interface {
	// Writev never blocks: what the socket does not take at once is buffered.
	Writev([][]byte) (int, error)
	// OutboundBuffered is the number of written bytes that the socket has not taken.
	OutboundBuffered() int
	// Unacknowledged is the number of bytes that the socket has taken and the peer has not acknowledged, not counting
	// the end of our half; 0 where the system does not report it.
	Unacknowledged() int
	// CloseWrite ends our half of the connection, after all that was written.
	CloseWrite() error
	// Close takes effect after the caller has returned. Over unread input it resets the connection, and what the peer
	// has not read of our output is lost.
	Close() error
}

// Session handles a connection's events, on the loop. An error of Data closes the connection.
type Session interface {
	Data([]byte) error
	Closed()
}

// Stream is the session of a dialled connection. Either Opened or Failed is called, once; Closed follows Opened.
type Stream interface {
	Session
	Opened(Conn)
	Failed(error)
}

// Dialer opens connections without blocking the loop, within a time limit.
type Dialer interface {
	Dial(address string, limit time.Duration, s Stream)
}

// Acceptor accepts connections. A nil Session rejects the connection.
type Acceptor interface {
	Accept(c Conn) Session
}

// gnetConn is gnet's connection as a Conn.
type gnetConn struct{ gnet.Conn }

// CloseWrite implements Conn.
func (c gnetConn) CloseWrite() error {
	return os.NewSyscallError("shutdown", syscall.Shutdown(c.Fd(), syscall.SHUT_WR))
}

// Unacknowledged implements Conn.
func (c gnetConn) Unacknowledged() int {
	queued, err := unix.IoctlGetInt(c.Fd(), unix.TIOCOUTQ)
	if err != nil {
		return 0
	}
	return max(0, queued-1) // the end of our half counts as a byte
}
