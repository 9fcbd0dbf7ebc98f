package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"shaleyard/internal/nettest"
)

// maxPrintedFailures is the maximum number of failures of a load generator that a test prints.
const maxPrintedFailures = 5

// loadGenerator runs clients that each send one request at a time. Some clients open a connection for each request,
// others keep their connection. A request without an answer is recorded as a failure.
type loadGenerator struct {
	t              *testing.T
	address        string
	stopped        atomic.Bool
	serverStopping atomic.Bool // set before the server may refuse connections: clients open no further ones
	running        sync.WaitGroup
	answered       atomic.Int64
	retried        atomic.Int64 // requests that raced with the end of their connection, see loadClient.request
	lastRef        atomic.Uint64

	mu       sync.Mutex
	failures []string
}

// startLoad starts a number of clients that send requests to address.
func startLoad(t *testing.T, address string, clients int) *loadGenerator {
	t.Helper()
	load := &loadGenerator{t: t, address: address}
	for index := range clients {
		load.running.Add(1)
		go load.runClient(index)
	}
	return load
}

// stopAndCheck stops each client after the answer that it waits for. It reports a test error if a request got no
// answer, or if no request was answered at all.
func (g *loadGenerator) stopAndCheck() {
	g.t.Helper()
	g.stopped.Store(true)
	g.running.Wait()
	if len(g.failures) > 0 {
		g.t.Errorf("%d requests got no answer, want 0 (%d were answered): %s", len(g.failures), g.answered.Load(),
			strings.Join(g.failures[:min(len(g.failures), maxPrintedFailures)], "; "))
	}
	if g.answered.Load() == 0 {
		g.t.Error("no request was answered")
	}
}

func (g *loadGenerator) recordFailure(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures = append(g.failures, fmt.Sprintf(format, args...))
}

// runClient runs one client, which sends requests until the load generator is stopped or a request gets no answer.
func (g *loadGenerator) runClient(index int) {
	defer g.running.Done()
	client := &loadClient{load: g, index: index, rng: rand.New(rand.NewPCG(uint64(index), 1))}
	defer client.disconnect()
	for !g.stopped.Load() {
		if client.conn == nil && !client.connect() {
			return
		}
		if !client.request() {
			return
		}
	}
}

// loadClient is one client of a load generator. Its index determines how it behaves.
type loadClient struct {
	load    *loadGenerator
	index   int
	rng     *rand.Rand
	conn    net.Conn // nil while the client is not connected
	reader  *bufio.Reader
	seq     int32 // sequence number of the latest request on the connection
	retries int   // number of races with the end of a connection since the last answer
}

func (c *loadClient) writesSlowly() bool       { return c.index%3 == 1 }
func (c *loadClient) delaysFirstRequest() bool { return c.index%5 == 0 }
func (c *loadClient) closesAfterAnswer() bool  { return c.index%2 == 0 }

// idlesBetweenRequests reports whether the client waits after an answer, so that its next request may race with the
// close of the connection by the server.
func (c *loadClient) idlesBetweenRequests() bool { return c.index%4 == 3 }

// sleep waits for a random time below limitMS milliseconds.
func (c *loadClient) sleep(limitMS int) {
	time.Sleep(time.Duration(c.rng.IntN(limitMS)) * time.Millisecond)
}

// connect opens a connection. It returns false if the client has to end: because the server is stopping, or because
// the connection was not accepted, which is recorded as a failure.
func (c *loadClient) connect() bool {
	if c.load.serverStopping.Load() {
		return false
	}
	conn, err := net.Dial("tcp", c.load.address)
	if err != nil {
		c.load.recordFailure("client %d: connect: %v", c.index, err)
		return false
	}
	c.conn, c.reader, c.seq = conn, bufio.NewReader(conn), 0
	c.extendDeadline()
	if c.delaysFirstRequest() {
		c.sleep(400)
	}
	return true
}

func (c *loadClient) disconnect() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// extendDeadline sets the deadline of the connection to clientTimeout from now.
func (c *loadClient) extendDeadline() {
	if err := c.conn.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		c.load.recordFailure("client %d: set deadline: %v", c.index, err)
	}
}

// request sends a request and waits for its answer. It records a failure and returns false if there is no answer. One
// case is not a failure: a connection that has carried earlier requests ends within idleCloseRace of the request, as an
// idle connection may. The client then sends a new request on a new connection, which must be answered.
func (c *loadClient) request() bool {
	c.seq++
	sent, err := c.send()
	elapsed := time.Since(sent)
	switch {
	case err == nil:
		c.load.answered.Add(1)
		c.retries = 0
		c.extendDeadline()
		if c.closesAfterAnswer() {
			c.disconnect()
		} else if c.idlesBetweenRequests() {
			c.sleep(60)
		}
	case c.seq > 1 && elapsed < idleCloseRace && c.retries == 0:
		c.load.retried.Add(1)
		c.retries++
		c.disconnect()
	default:
		c.load.recordFailure(
			"client %d, request %d on its connection: %v, %v after the request was sent",
			c.index,
			c.seq,
			err,
			elapsed,
		)
		return false
	}
	return true
}

// errConnectionEnded is returned when a connection ended before the answer's length was read.
var errConnectionEnded = errors.New("connection ended before an answer")

// send sends a request and reads its answer. It returns the time at which the last byte of the request was written.
func (c *loadClient) send() (sent time.Time, err error) {
	ref := fmt.Sprintf("%016x", c.load.lastRef.Add(1))
	text := nettest.SubmitFrame(c.seq, "", requestFields("media", ref)...)
	if c.writesSlowly() {
		half := len(text) / 2
		_, err = io.WriteString(c.conn, text[:half])
		c.sleep(300)
		text = text[half:]
	}
	if err == nil {
		_, err = io.WriteString(c.conn, text)
	}
	sent = time.Now()
	if err != nil {
		return sent, err
	}
	var length [4]byte
	if _, err := io.ReadFull(c.reader, length[:]); err != nil {
		return sent, errors.Join(errConnectionEnded, err)
	}
	_, err = io.CopyN(io.Discard, c.reader, int64(binary.BigEndian.Uint32(length[:])))
	return sent, err
}
