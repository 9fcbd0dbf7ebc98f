package rig2

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// crossing is the time within which a request that crosses a close is sent again, by the protocol page.
const crossing = 50 * time.Millisecond

// readStep is the time between two reads of a SlowClient.
const readStep = 10 * time.Millisecond

// States of a connection in TCP_INFO in which the peer's close has reached this machine.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// SlowClient is a client that reads at a limited pace. It keeps one connection and sends its next request while it
// reads the answer to the one before.
type SlowClient struct {
	Record    *Record
	Name      string
	Rate      int     // bytes per second that it reads at most
	SendAfter float64 // share of an answer that it has read when it sends its next request
	Allow     time.Duration
	Until     func() bool              // reports whether it still sends requests
	Fields    func() map[string]string // of the next request
	Check     func(ref string, answer Answer)

	conn     *net.TCPConn
	closedAt atomic.Int64 // Unix nanoseconds at which the director's close reached this machine; 0: not yet
	open     []slowRequest
	lastSeq  int32
}

type slowRequest struct {
	seq    int32
	ref    string
	sentAt time.Time
}

// SlowResult counts what became of a client's requests.
type SlowResult struct {
	Answered, Lost, Crossed, First int
}

// Run connects, and sends and reads until the director closes the connection or Until reports false. It returns what
// became of the requests.
func (c *SlowClient) Run(address string) (SlowResult, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return SlowResult{}, err
	}
	defer func() { _ = conn.Close() }()
	c.conn = conn.(*net.TCPConn)
	_ = c.conn.SetReadBuffer(receiveBuffer)
	c.lastSeq, c.open = 0, nil
	c.closedAt.Store(0)
	over := make(chan struct{})
	defer close(over)
	go c.watchClose(over)
	result := SlowResult{}
	c.send()
	for len(c.open) > 0 && c.readAnswer() == nil {
		result.Answered++
	}
	c.judge(&result)
	return result, nil
}

// receiveBuffer is the client's receive buffer: what its system holds for it while it reads slowly.
const receiveBuffer = 256 << 10

// watchClose notes when the director's close reaches this machine.
func (c *SlowClient) watchClose(over chan struct{}) {
	raw, err := c.conn.SyscallConn()
	for err == nil {
		closed := false
		err = raw.Control(func(fd uintptr) {
			info, failed := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			closed = failed == nil && (info.State == tcpClose || info.State == tcpCloseWait)
		})
		if closed {
			c.closedAt.Store(time.Now().UnixNano())
			return
		}
		select {
		case <-over:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

func (c *SlowClient) send() {
	fields := c.Fields()
	c.lastSeq++
	if _, err := c.conn.Write(Frame(c.lastSeq, fields, nil)); err != nil {
		return // not written, so that the director has not taken it
	}
	request := slowRequest{seq: c.lastSeq, ref: fields["ref"], sentAt: time.Now()}
	c.open = append(c.open, request)
	c.Record.Logf("%s: sent %s as request %d on its connection", c.Name, request.ref, request.seq)
}

// readAnswer reads one answer at the client's pace, and sends the next request meanwhile.
func (c *SlowClient) readAnswer() error {
	_ = c.conn.SetReadDeadline(time.Now().Add(c.Allow + time.Second))
	var length [4]byte
	if err := c.readAll(length[:]); err != nil {
		return err
	}
	message := make([]byte, binary.BigEndian.Uint32(length[:]))
	piece := max(1, c.Rate*int(readStep)/int(time.Second))
	sent := false
	for done := 0; done < len(message); {
		size := min(piece, len(message)-done)
		_ = c.conn.SetReadDeadline(time.Now().Add(c.Allow))
		if err := c.readAll(message[done : done+size]); err != nil {
			return err
		}
		done += size
		if !sent && float64(done) >= c.SendAfter*float64(len(message)) && c.Until() {
			sent = true
			c.send()
		}
		time.Sleep(readStep)
	}
	return c.finish(append(length[:], message...))
}

func (c *SlowClient) readAll(data []byte) error {
	for len(data) > 0 {
		n, err := c.conn.Read(data)
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// finish takes the answered request off the open ones.
func (c *SlowClient) finish(data []byte) error {
	seq, answer, err := readAnswer(&sliceReader{data})
	if err != nil {
		return err
	}
	for i, request := range c.open {
		if request.seq != seq {
			continue
		}
		c.Record.Logf("%s: %s for %s, %d bytes", c.Name, answer.Kind, request.ref, len(answer.Body))
		c.open = append(c.open[:i:i], c.open[i+1:]...)
		if c.Check != nil {
			c.Check(request.ref, answer)
		}
		return nil
	}
	return errAnswer
}

// judge counts the requests without an answer. One that crossed the close within 50 ms is sent again, and the first one
// of a connection has failed; the others are lost.
func (c *SlowClient) judge(result *SlowResult) {
	closedAt := c.closedAt.Load()
	for _, request := range c.open {
		late := time.Duration(request.sentAt.UnixNano() - closedAt)
		switch {
		case closedAt == 0:
			c.Record.Logf("%s: no answer for %s, and its connection is open", c.Name, request.ref)
			continue
		case request.seq == 1:
			result.First++
		case late.Abs() <= crossing:
			result.Crossed++
		default:
			result.Lost++
			c.Record.Logf("%s: LOST %s: whole request written %v after the director's close had arrived; "+
				"the connection ended with no answer", c.Name, request.ref, late)
			continue
		}
		c.Record.Logf("%s: %s crossed the close, or was the first of its connection", c.Name, request.ref)
	}
}

type sliceReader struct{ data []byte }

func (r *sliceReader) Read(into []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, errAnswer
	}
	n := copy(into, r.data)
	r.data = r.data[n:]
	return n, nil
}
