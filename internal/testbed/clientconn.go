package testbed

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// Outcomes of a request, as its client saw them.
const (
	outcomeServed    = "served"
	outcomeRefused   = "refused"
	outcomeFailed    = "failed"
	outcomeNotGood   = "not good"  // an answer that says so of itself
	outcomeLost      = "lost"      // the connection ended first
	outcomeNone      = "none"      // no answer came in time
	outcomeLeft      = "left"      // the client did not wait
	outcomeUnreached = "unreached" // there was no connection
	outcomeCorrupted = "spoilt"    // served with the wrong body
)

const (
	maxOpenRequests = 32      // on one connection (protocol page)
	maxFrameBytes   = 1 << 20 // of an answer
	clientDialLimit = time.Second
)

// reply is what came of one request.
type reply struct {
	outcome    string
	retryAfter time.Duration
	body       string
}

// clientConn is a client's connection to one director: calls by number, answers in any order.
type clientConn struct {
	*faultyConn
	mu      sync.Mutex
	seq     int32
	pending map[int32]chan reply
	closed  bool
}

func (t *Testbed) dialDirector(director int) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", t.directors[director].addr(), clientDialLimit)
	if err != nil {
		return nil, err
	}
	c := &clientConn{faultyConn: t.faults.wrap(conn, "clients", director), pending: map[int32]chan reply{}}
	go c.readReplies(t)
	return c, nil
}

// readReplies hands answers to those that wait for them, until the connection ends.
func (c *clientConn) readReplies(testbed *Testbed) {
	for c.handleReply(testbed) {
	}
	_ = c.Close()
	testbed.faults.forget(c.faultyConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for seq, waiting := range c.pending {
		delete(c.pending, seq)
		waiting <- reply{outcome: outcomeLost}
	}
}

// handleReply reads one answer; false: the connection has ended, or has brought something that can't be used.
func (c *clientConn) handleReply(testbed *Testbed) bool {
	frame, err := readFrame(c.Conn)
	if err != nil {
		return false
	}
	seq, answer, err := readReply(frame)
	if err != nil {
		testbed.history.record(Event{Kind: "fault", Who: directorName(c.director), What: err.Error()})
		return false
	}
	c.mu.Lock()
	waiting := c.pending[seq]
	delete(c.pending, seq)
	c.mu.Unlock()
	if waiting == nil {
		testbed.history.record(Event{Kind: "stray", Who: directorName(c.director), Number: int(seq)})
		return true
	}
	waiting <- answer
	return true
}

// readFrame reads a message behind its length.
func readFrame(r io.Reader) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > maxFrameBytes {
		return nil, errTruncated
	}
	frame := make([]byte, length)
	_, err := io.ReadFull(r, frame)
	return frame, err
}

// call writes a call and returns where its answer comes; nil: this connection takes no more.
func (c *clientConn) call(build func(seq int32) []byte) (answer chan reply, seq int32) {
	c.mu.Lock()
	if c.closed || len(c.pending) >= maxOpenRequests {
		c.mu.Unlock()
		return nil, 0
	}
	c.seq++
	seq, answer = c.seq, make(chan reply, 1)
	c.pending[seq] = answer
	_, err := c.Write(build(seq))
	c.mu.Unlock()
	if err != nil {
		_ = c.Close()
	}
	return answer, seq
}

// cancel gives a request up: no answer is owed from now on, and one that is on its way already is dropped.
func (c *clientConn) cancel(seq int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[seq] == nil {
		return
	}
	c.pending[seq] = make(chan reply, 1) // nobody takes a late answer
	_, _ = c.Write(revokeCall(seq))
}
