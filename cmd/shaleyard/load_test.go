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

// maxPrintedFailures bounds what is printed of a load in which requests were lost.
const maxPrintedFailures = 5

// loadGenerator is clients that send requests one after the other, some each on a new connection, some on one that they
// keep.
type loadGenerator struct {
	t              *testing.T
	address        string
	stopped        atomic.Bool
	serverStopping atomic.Bool // the process ends: no client opens a connection any more
	running        sync.WaitGroup
	answered       atomic.Int64
	retried        atomic.Int64 // crossed the end of a connection, and sent again
	lastRef        atomic.Uint64

	mu       sync.Mutex
	failures []string
}

// startLoad starts so many clients.
func startLoad(t *testing.T, address string, clients int) *loadGenerator {
	t.Helper()
	load := &loadGenerator{t: t, address: address}
	for kind := range clients {
		load.running.Add(1)
		go load.runClient(kind)
	}
	return load
}

// stopAndCheck ends the clients, each after the answer that it waits for; no request may have been lost.
func (g *loadGenerator) stopAndCheck() {
	g.t.Helper()
	g.stopped.Store(true)
	g.running.Wait()
	if len(g.failures) > 0 {
		g.t.Errorf("%d requests without an answer, %d answered; %s", len(g.failures), g.answered.Load(),
			strings.Join(g.failures[:min(len(g.failures), maxPrintedFailures)], "; "))
	}
	if g.answered.Load() == 0 {
		g.t.Error("nothing was answered")
	}
}

func (g *loadGenerator) recordFailure(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures = append(g.failures, fmt.Sprintf(format, args...))
}

// runClient sends requests until the load is stopped or one of them is lost.
func (g *loadGenerator) runClient(kind int) {
	defer g.running.Done()
	client := &loadClient{load: g, kind: kind, rng: rand.New(rand.NewPCG(uint64(kind), 1))}
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

// loadClient is one client of a load. Its kind, a number, says what it does otherwise than others.
type loadClient struct {
	load    *loadGenerator
	kind    int
	rng     *rand.Rand
	conn    net.Conn // nil: none
	reader  *bufio.Reader
	seq     int32 // the latest request on the connection
	retries int   // of the present request
}

func (c *loadClient) writesSlowly() bool        { return c.kind%3 == 1 }
func (c *loadClient) delaysFirstRequest() bool  { return c.kind%5 == 0 }
func (c *loadClient) closesAfterAnswer() bool   { return c.kind%2 == 0 }
func (c *loadClient) idlesBetweenRequest() bool { return c.kind%4 == 3 } // so that its next one may cross an end

// sleep waits for a random time below a number of milliseconds.
func (c *loadClient) sleep(limitMS int) {
	time.Sleep(time.Duration(c.rng.IntN(limitMS)) * time.Millisecond)
}

// connect opens a connection. It returns false if the client is to end.
func (c *loadClient) connect() bool {
	if c.load.serverStopping.Load() {
		return false
	}
	conn, err := net.Dial("tcp", c.load.address)
	if err != nil {
		c.load.recordFailure("connect: %v", err)
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

// extendDeadline gives the connection the time in which a client has its answer.
func (c *loadClient) extendDeadline() {
	if err := c.conn.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		c.load.recordFailure("deadline: %v", err)
	}
}

// request sends a request and waits for its answer. One that crosses the end of a connection is sent again, once. It
// returns false if the request was lost.
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
		} else if c.idlesBetweenRequest() {
			c.sleep(60)
		}
	case c.seq > 1 && elapsed < idleCloseRace && c.retries == 0:
		c.load.retried.Add(1)
		c.retries++
		c.disconnect()
	default:
		c.load.recordFailure(
			"client %d, request %d of its connection: %v, %v after it was sent",
			c.kind,
			c.seq,
			err,
			elapsed,
		)
		return false
	}
	return true
}

// errConnectionEnded reports a connection that the director has ended.
var errConnectionEnded = errors.New("the connection was ended")

// send sends a request and reads its answer. It returns when the last byte of the request was written.
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
