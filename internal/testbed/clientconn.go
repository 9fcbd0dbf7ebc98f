package testbed

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// Outcomes of a client's attempt at a director, as the client observes them. The history records them.
const (
	outcomeServed      = "served"
	outcomeRefused     = "refused"
	outcomeFailed      = "failed"
	outcomeNotOK       = "not good"  // the answer reports its own failure
	outcomeLost        = "lost"      // the connection ended before the answer
	outcomeTimedOut    = "none"      // no answer before the timeout
	outcomeAbandoned   = "left"      // the client cancelled or closed the connection
	outcomeUnreachable = "unreached" // no connection to the director
	outcomeCorrupted   = "spoilt"    // served, but with an unexpected body
)

const (
	maxOpenRequests   = 32      // limit for one connection (client protocol)
	maxFrameBytes     = 1 << 20 // limit for an answer
	clientDialTimeout = time.Second
)

// reply is the outcome of one call. retryAfter is the delay that a rejection asks for; 0 means none.
type reply struct {
	outcome    string
	retryAfter time.Duration
	body       string
}

// clientConn is a client's connection to one director. It multiplexes calls by sequence number; answers may arrive in
// any order.
type clientConn struct {
	*faultyConn
	mu      sync.Mutex
	seq     int32
	pending map[int32]chan reply
	closed  bool
}

func (t *Testbed) dialDirector(director int) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", t.directors[director].addr(), clientDialTimeout)
	if err != nil {
		return nil, err
	}
	c := &clientConn{faultyConn: t.faults.wrap(conn, "clients", director), pending: map[int32]chan reply{}}
	go c.readReplies(t)
	return c, nil
}

// readReplies delivers each answer to the caller that waits for it. When the connection ends, all pending calls get
// outcomeLost.
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

// handleReply reads one answer and delivers it to its caller. An answer to no pending call is recorded as "stray". It
// returns false if the connection has ended or the answer is invalid.
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

// readFrame reads a message that is prefixed with its length (32 bits, big-endian). It returns errTruncated, whose text
// does not fit this case, if the message is longer than maxFrameBytes.
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

// call sends the message that build returns and returns a channel that receives the answer. The channel is nil if the
// connection is closed or has maxOpenRequests open requests.
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

// cancel revokes a pending request. An answer that arrives afterwards is dropped.
func (c *clientConn) cancel(seq int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[seq] == nil {
		return
	}
	c.pending[seq] = make(chan reply, 1) // receives a late answer, which nobody reads
	_, _ = c.Write(revokeCall(seq))
}
