package eventloop

import (
	"os"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// Conn is a connection of the loop. Its methods are called on the loop.
type Conn interface {
	// Writev writes without blocking. Bytes that the socket does not accept at once are buffered.
	Writev([][]byte) (int, error)
	// OutboundBuffered returns the number of written bytes that the socket has not accepted yet.
	OutboundBuffered() int
	// Unsent returns the number of bytes that the socket has accepted and the system has not sent to the peer, because
	// the peer's receive window is full or the network does not keep up. It returns 0 where the system does not report
	// the number.
	Unsent() int
	// Unacknowledged returns the number of bytes that the socket has accepted and the peer has not acknowledged. A FIN
	// of ours is not counted. It returns 0 where the system does not report the number.
	Unacknowledged() int
	// Unread returns the number of bytes that have been received from the peer and have not been passed to the session.
	// It returns 0 where the system does not report the number.
	Unread() int
	// PeerClosed reports whether the peer has closed its half of the connection or reset it, even if input that it sent
	// before is unread. It returns false where the system does not report it.
	PeerClosed() bool
	// CloseWrite shuts down the write half of the connection (SHUT_WR). The peer receives the bytes that the socket has
	// accepted, then a FIN. Bytes that are still buffered are not sent.
	CloseWrite() error
	// Close closes the connection after the caller has returned to the loop. If input is left unread, the connection is
	// reset, and output that the peer has not read is lost.
	Close() error
}

// Session handles the events of one connection, on the loop. Data receives input; if it returns an error, the loop
// closes the connection. Closed is called once the connection is closed.
type Session interface {
	Data([]byte) error
	Closed()
}

// Stream is the session of a dialled connection. The loop calls either Opened or Failed, once. Closed is called only
// after Opened.
type Stream interface {
	Session
	Opened(Conn)
	Failed(error)
}

// Dialer opens connections without blocking the loop. A dial that takes longer than the limit fails. The result of Dial
// gives the dial up, so that it fails at once; it has no effect on a dial that has succeeded or failed.
type Dialer interface {
	Dial(address string, limit time.Duration, s Stream) (cancel func())
}

// Acceptor handles accepted connections. Accept returns the session of a connection, or nil to
// close the connection.
type Acceptor interface {
	Accept(c Conn) Session
}

// gnetConn implements Conn on a connection of gnet.
type gnetConn struct{ gnet.Conn }

// CloseWrite implements Conn.
func (c gnetConn) CloseWrite() error {
	return os.NewSyscallError("shutdown", syscall.Shutdown(c.Fd(), syscall.SHUT_WR))
}

// Unread implements Conn.
func (c gnetConn) Unread() int {
	unread, err := unix.IoctlGetInt(c.Fd(), unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return unread
}

// States of a TCP connection in tcp_info whose peer has sent a FIN or a reset (include/net/tcp_states.h of Linux).
const (
	tcpStateClose     = 7
	tcpStateCloseWait = 8
)

// PeerClosed implements Conn.
func (c gnetConn) PeerClosed() bool {
	info, err := unix.GetsockoptTCPInfo(c.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && (info.State == tcpStateClose || info.State == tcpStateCloseWait)
}

// Unsent implements Conn.
func (c gnetConn) Unsent() int {
	unsent, err := unix.IoctlGetInt(c.Fd(), unix.SIOCOUTQNSD)
	if err != nil {
		return 0
	}
	return unsent
}

// Unacknowledged implements Conn.
func (c gnetConn) Unacknowledged() int {
	queued, err := unix.IoctlGetInt(c.Fd(), unix.TIOCOUTQ)
	if err != nil {
		return 0
	}
	return max(0, queued-1) // TIOCOUTQ counts an unacknowledged FIN as one byte
}
