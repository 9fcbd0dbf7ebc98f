// Package nettest is the one helper for stories over loopback sockets: scripted peers that the test drives
// step by step, and a client of its own making. Its codec is written apart from the program's, so that the
// two check each other.
package nettest

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// stepTimeout is how long a step may take before the story counts as stuck. No story's verdict hangs on it.
const stepTimeout = 20 * time.Second

// Server is a scripted peer's listener.
type Server struct {
	t        testing.TB
	listener *net.TCPListener
}

// Listen opens a listener on a free loopback port.
func Listen(t testing.TB) *Server {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &Server{t, l}
}

// Addr is the listener's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close refuses connections from now on.
func (s *Server) Close() { s.listener.Close() }

// Accept waits for the next connection.
func (s *Server) Accept() *Conn {
	s.t.Helper()
	s.listener.SetDeadline(time.Now().Add(stepTimeout))
	c, err := s.listener.Accept()
	if err != nil {
		s.t.Fatalf("accept: %v", err)
	}
	return newConn(s.t, c)
}

// Conn is one end of a connection; a step that fails ends the test.
type Conn struct {
	t      testing.TB
	conn   net.Conn
	reader *bufio.Reader
}

func newConn(t testing.TB, c net.Conn) *Conn {
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(stepTimeout))
	return &Conn{t, c, bufio.NewReader(c)}
}

// Dial connects to the program.
func Dial(t testing.TB, addr string) *Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return newConn(t, c)
}

// Send writes bytes as they are.
func (c *Conn) Send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatalf("send: %v", err)
	}
}

// TrySend writes bytes and tells whether the other side could still take them.
func (c *Conn) TrySend(text string) bool {
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// TryReadReply reads the next message; false: the other side has ended the connection.
func (c *Conn) TryReadReply() (Reply, bool) {
	if _, err := c.reader.Peek(1); err != nil {
		return Reply{}, false
	}
	return c.ReadReply(), true
}

// SetReadBuffer bounds what the system takes in for the test before the test reads it.
func (c *Conn) SetReadBuffer(bytes int) { c.conn.(*net.TCPConn).SetReadBuffer(bytes) }

// Reset closes the connection so that the other side sees a reset.
func (c *Conn) Reset() {
	c.conn.(*net.TCPConn).SetLinger(0)
	c.conn.Close()
}

// ReadUntilClose waits for the other side to close the connection and tells what came before that.
func (c *Conn) ReadUntilClose() string {
	c.t.Helper()
	b, err := io.ReadAll(c.reader)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		c.t.Fatal("the connection is still open")
	}
	return string(b)
}

// ReadUntilEOF waits for the other side to close its half in good order, and tells what came before that: a reset, which may
// have taken an answer with it, ends the test.
func (c *Conn) ReadUntilEOF() string {
	c.t.Helper()
	b, err := io.ReadAll(c.reader)
	if err != nil {
		c.t.Fatalf("end of the connection: %v", err)
	}
	return string(b)
}

// Close closes the connection.
func (c *Conn) Close() { c.conn.Close() }

// ReadLine reads a line, without its end.
func (c *Conn) ReadLine() string {
	c.t.Helper()
	s, err := c.reader.ReadString('\n')
	if err != nil {
		c.t.Fatalf("line: %v", err)
	}
	return strings.TrimRight(s, "\r\n")
}

// ReadCommand reads a RESP array of bulk strings.
func (c *Conn) ReadCommand() []string {
	c.t.Helper()
	n, err := strconv.Atoi(strings.TrimPrefix(c.ReadLine(), "*"))
	if err != nil {
		c.t.Fatalf("array: %v", err)
	}
	words := make([]string, n)
	for i := range words {
		size, err := strconv.Atoi(strings.TrimPrefix(c.ReadLine(), "$"))
		if err != nil {
			c.t.Fatalf("bulk string: %v", err)
		}
		words[i] = string(c.readBytes(size + 2)[:size])
	}
	return words
}

// WriteArray writes a RESP array of bulk strings.
func (c *Conn) WriteArray(words ...string) {
	c.t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	c.Send(b.String())
}

func (c *Conn) readBytes(n int) []byte {
	c.t.Helper()
	b := make([]byte, n)
	if _, err := io.ReadFull(c.reader, b); err != nil {
		c.t.Fatalf("read: %v", err)
	}
	return b
}

// Frame builds a framed call: kind 1, or 4 for a oneway. args holds the fields of the argument struct.
func Frame(kind byte, name string, seq int32, args []byte) string {
	b := []byte{0x80, 1, 0, kind}
	b = append(binary.BigEndian.AppendUint32(b, uint32(len(name))), name...)
	b = append(binary.BigEndian.AppendUint32(b, uint32(seq)), args...)
	b = append(b, 0)
	return string(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...))
}

// SubmitFrame builds a call of submit with fields, given as name and value in turn, and a body.
func SubmitFrame(seq int32, body string, fields ...string) string {
	b := []byte{13, 0, 1, 11, 11}
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)/2))
	for _, s := range fields {
		b = append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
	}
	b = append(b, 11, 0, 2)
	b = append(binary.BigEndian.AppendUint32(b, uint32(len(body))), body...)
	return Frame(1, "submit", seq, b)
}

// Submit calls submit.
func (c *Conn) Submit(seq int32, body string, fields ...string) {
	c.t.Helper()
	c.Send(SubmitFrame(seq, body, fields...))
}

// Revoke gives a request up.
func (c *Conn) Revoke(seq int32) {
	c.t.Helper()
	c.Send(Frame(4, "revoke", 99, binary.BigEndian.AppendUint32([]byte{8, 0, 1}, uint32(seq))))
}

// Heartbeat asks whether the program is ready.
func (c *Conn) Heartbeat(seq int32) Reply {
	c.t.Helper()
	c.Send(Frame(1, "heartbeat", seq, []byte{2, 0, 1, 0}))
	return c.ReadReply()
}

// Reply is a message of the program. Field is that of the result struct: 0 an Answer, 1 refused, 2 failed;
// an application exception has none and is marked.
type Reply struct {
	Seq         int32
	Application bool
	Field       int16
	Body        string
	Fields      map[string]string
	Good        bool
}

// ReadReply reads the next message.
func (c *Conn) ReadReply() (r Reply) {
	c.t.Helper()
	p := c.readBytes(int(binary.BigEndian.Uint32(c.readBytes(4))))
	take := func(n int) []byte {
		if n > len(p) {
			c.t.Fatalf("message cut short")
		}
		b := p[:n]
		p = p[n:]
		return b
	}
	i32 := func() int { return int(int32(binary.BigEndian.Uint32(take(4)))) }
	str := func() string { return string(take(i32())) }
	head := take(4)
	str()
	r.Seq = int32(i32())
	if r.Application = head[3] == 3; r.Application {
		return r
	}
	take(1)
	r.Field = int16(binary.BigEndian.Uint16(take(2)))
	for kind := take(1)[0]; kind != 0; kind = take(1)[0] {
		take(2)
		switch kind {
		case 11:
			r.Body = str()
		case 13:
			take(2)
			for n := i32(); n > 0; n-- {
				if r.Fields == nil {
					r.Fields = map[string]string{}
				}
				k := str()
				r.Fields[k] = str()
			}
		case 2:
			r.Good = take(1)[0] == 1
		default:
			c.t.Fatalf("field of type %d in an answer", kind)
		}
	}
	if take(1)[0] != 0 || len(p) != 0 {
		c.t.Fatalf("%d bytes behind the answer", len(p))
	}
	return r
}

// FakeConn is a connection for tests without a socket: it keeps what is written.
type FakeConn struct {
	Written     strings.Builder
	Buffered    int // what OutboundBuffered tells
	Unacked     int // what Unacknowledged tells
	WriteClosed bool
	Closed      bool
}

// Writev keeps the pieces.
func (l *FakeConn) Writev(pieces [][]byte) (n int, err error) {
	for _, p := range pieces {
		l.Written.Write(p)
		n += len(p)
	}
	return n, nil
}

// OutboundBuffered is Unread.
func (l *FakeConn) OutboundBuffered() int { return l.Buffered }

// Unacknowledged is OnWay.
func (l *FakeConn) Unacknowledged() int { return l.Unacked }

// CloseWrite notes that it was called.
func (l *FakeConn) CloseWrite() error {
	l.WriteClosed = true
	return nil
}

// Close notes that it was called.
func (l *FakeConn) Close() error {
	l.Closed = true
	return nil
}
