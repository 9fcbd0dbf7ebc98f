// Package nettest provides helpers for the tests of the client, cache and discovery protocols: scripted peers
// on loopback sockets, which a test drives step by step, and a fake connection without a socket. A step of
// a scripted peer that fails or times out ends the test.
//
// The Thrift and RESP codecs in this package are independent of the program's codecs and import nothing from
// the program, so that an error in one codec does not go unnoticed in the other.
package nettest

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// stepTimeout limits the wait for a connection and the lifetime of each connection. It only ends tests that
// hang: no test result depends on how long a step takes within stepTimeout.
const stepTimeout = 20 * time.Second

// Server is the listener of a scripted peer.
type Server struct {
	t        testing.TB
	listener *net.TCPListener
}

// Listen opens a listener on a free loopback port. It is closed when the test ends.
func Listen(t testing.TB) *Server {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	server := &Server{t: t, listener: listener}
	t.Cleanup(server.Close)
	return server
}

// Addr returns the address of the listener, as host and port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes the listener, so that later connection attempts are refused. It may be called more than once.
func (s *Server) Close() {
	_ = s.listener.Close() // Close fails only if the listener is closed already
}

// Accept waits for the next connection and returns it.
func (s *Server) Accept() *Conn {
	s.t.Helper()
	if err := s.listener.SetDeadline(time.Now().Add(stepTimeout)); err != nil {
		s.t.Fatalf("set the accept deadline: %v", err)
	}
	conn, err := s.listener.Accept()
	if err != nil {
		s.t.Fatalf("accept: %v", err)
	}
	return newConn(s.t, conn)
}

// Conn is the test's end of a connection to the program.
type Conn struct {
	t      testing.TB
	conn   net.Conn
	reader *bufio.Reader
}

// readBufferSize is the size in bytes of a connection's read buffer. Small messages are read together, so that a paced
// connection is limited by their bytes and not by their number.
const readBufferSize = 32 << 10

// newConn wraps conn, limits its lifetime to stepTimeout and closes it when the test ends.
func newConn(t testing.TB, conn net.Conn) *Conn {
	t.Helper()
	c := &Conn{t: t, conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize)}
	t.Cleanup(c.Close)
	if err := conn.SetDeadline(time.Now().Add(stepTimeout)); err != nil {
		t.Fatalf("set the deadline of the connection: %v", err)
	}
	return c
}

// Dial connects to the program at an address of the form host:port.
func Dial(t testing.TB, addr string) *Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	return newConn(t, conn)
}

// pacedReceiveBuffer is the size in bytes of the receive buffer of a connection that DialPaced opens.
const pacedReceiveBuffer = 128 << 10

// DialPaced is like Dial, but the connection is read at the given pace in bytes per second, without a break.
func DialPaced(t testing.TB, addr string, pace int) *Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	if err := conn.(*net.TCPConn).SetReadBuffer(pacedReceiveBuffer); err != nil {
		t.Fatalf("set the read buffer: %v", err)
	}
	return newConn(t, &pacedConn{Conn: conn, pace: pace})
}

// pacedConn is a connection that is read at a pace in bytes per second.
type pacedConn struct {
	net.Conn
	pace int
}

// pacedReadInterval is the time between two reads of a pacedConn.
const pacedReadInterval = 10 * time.Millisecond

// Read reads what the pace allows in pacedReadInterval.
func (c *pacedConn) Read(into []byte) (int, error) {
	time.Sleep(pacedReadInterval)
	size := c.pace / int(time.Second/pacedReadInterval)
	return c.Conn.Read(into[:min(len(into), size)])
}

// Send writes text to the connection unchanged.
func (c *Conn) Send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatalf("send: %v", err)
	}
}

// TrySend writes text to the connection unchanged and reports whether the write succeeded.
func (c *Conn) TrySend(text string) bool {
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// SetReadBuffer sets the size in bytes of the socket's receive buffer, which limits how much data the operating
// system accepts before the test reads it.
func (c *Conn) SetReadBuffer(bytes int) {
	c.t.Helper()
	if err := c.conn.(*net.TCPConn).SetReadBuffer(bytes); err != nil {
		c.t.Fatalf("set the read buffer: %v", err)
	}
}

// Reset closes the connection with a TCP reset instead of an orderly close.
func (c *Conn) Reset() {
	c.t.Helper()
	if err := c.conn.(*net.TCPConn).SetLinger(0); err != nil {
		c.t.Fatalf("reset: %v", err)
	}
	c.Close()
}

// Close closes the connection. It may be called more than once.
func (c *Conn) Close() {
	_ = c.conn.Close() // Close fails only if the connection is closed already
}

// ReadUntilClose reads until the other side closes or resets the connection, and returns the data read.
func (c *Conn) ReadUntilClose() string {
	c.t.Helper()
	content, err := io.ReadAll(c.reader)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		c.t.Fatal("timeout: the other side did not close the connection")
	}
	return string(content)
}

// ReadUntilEOF reads until the other side closes its half of the connection in order, and returns the data
// read. A reset ends the test, because it may have discarded a reply.
func (c *Conn) ReadUntilEOF() string {
	c.t.Helper()
	content, err := io.ReadAll(c.reader)
	if err != nil {
		c.t.Fatalf("read until EOF: %v", err)
	}
	return string(content)
}

// ReadLine reads a line and returns it without the trailing line feed and carriage returns.
func (c *Conn) ReadLine() string {
	c.t.Helper()
	line, err := c.reader.ReadString('\n')
	if err != nil {
		c.t.Fatalf("read line: %v", err)
	}
	return strings.TrimRight(line, "\r\n")
}

// readBytes reads exactly size bytes.
func (c *Conn) readBytes(size int) []byte {
	c.t.Helper()
	content := make([]byte, size)
	if _, err := io.ReadFull(c.reader, content); err != nil {
		c.t.Fatalf("read %d bytes: %v", size, err)
	}
	return content
}
