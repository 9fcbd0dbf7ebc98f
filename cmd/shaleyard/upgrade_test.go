package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"shaleyard/internal/nettest"
)

// Terms of a new version under load (docs/terms.md).
const (
	readyAfterStart = 6 * time.Second       // a process that is started beside another is ready by then
	idleCloseRace   = 50 * time.Millisecond // a request that crosses the end of a connection by less is sent again
	clientTimeout   = 10 * time.Second      // a client that has waited for so long has no answer
)

// sharedListener holds the listening socket that its processes inherit, and the stand-ins that they meet.
type sharedListener struct {
	t        *testing.T
	listener *net.TCPListener
	config   []byte
}

func newSharedListener(t *testing.T) *sharedListener {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	cache, feed := serveTCP(t, respondingCache(20*time.Millisecond, "x")), serveTCP(t, idleDiscoveryService)
	known := membersEvent(1, true, endpointJSON("c1", cache, "here", "edge", "ready"), endpointJSON("o", cache, "hub", "origin", "ready"))
	return &sharedListener{t, listener, fmt.Appendf(nil, `{"name":"n1","listen":%q,"feed":%q,"seed":"1",
		"limits":{"cores":1,"memory_mb":192,"sockets":512},"known":{"n":1,"events":[%s]},"settings":%s}`,
		listener.Addr(), feed, known, settingsJSON)}
}

// startProcess starts a process on the platform's socket.
func (p *sharedListener) startProcess() *operatedProcess {
	p.t.Helper()
	socket, err := p.listener.File()
	if err != nil {
		p.t.Fatal(err)
	}
	defer socket.Close()
	nothing, err := os.Open(os.DevNull)
	if err != nil {
		p.t.Fatal(err)
	}
	defer nothing.Close()
	o := &operatedProcess{process: newProcess(p.t, os.Args[0], p.config, 512), operators: unusedAddress(p.t)}
	o.ExtraFiles = []*os.File{nothing, socket} // descriptors 3 and 4
	o.Env = append(o.Env, "EDGE_OPERATOR="+o.operators, "EDGE_FD=4")
	o.launch()
	go func() {
		for o.lines.Scan() {
		}
	}()
	return o
}

// loadGenerator is clients that send requests one after the other, some each on a new connection, some on one that they keep.
type loadGenerator struct {
	t              *testing.T
	address        string
	stopped        atomic.Bool
	serverStopping atomic.Bool // the process ends: nobody opens a connection any more
	running        sync.WaitGroup
	answered       atomic.Int64
	retried        atomic.Int64 // crossed the end of a connection, and sent again
	lastRef        atomic.Uint64

	mu       sync.Mutex
	failures []string
}

// startLoad starts clients; wrote is what they need for writing a request.
func startLoad(t *testing.T, address string, clients int) *loadGenerator {
	c := &loadGenerator{t: t, address: address}
	for i := range clients {
		c.running.Add(1)
		go c.runClient(i)
	}
	return c
}

// stopAndCheck ends the clients, each behind the answer that it waits for.
func (c *loadGenerator) stopAndCheck() {
	c.t.Helper()
	c.stopped.Store(true)
	c.running.Wait()
	if len(c.failures) > 0 {
		c.t.Errorf("%d requests without an answer, %d answered; %s", len(c.failures), c.answered.Load(),
			strings.Join(c.failures[:min(len(c.failures), 5)], "; "))
	}
	if c.answered.Load() == 0 {
		c.t.Error("nothing was answered")
	}
}

func (c *loadGenerator) recordFailure(format string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, a...))
}

// runClient sends requests: kinds of client differ in whether they keep their connection and in how they write.
func (c *loadGenerator) runClient(kind int) {
	defer c.running.Done()
	rng := rand.New(rand.NewPCG(uint64(kind), 1))
	var conn net.Conn
	var from *bufio.Reader
	seq := int32(0)
	end := func() {
		if conn != nil {
			conn.Close()
		}
		conn = nil
	}
	defer end()
	for tries := 0; !c.stopped.Load(); {
		if conn == nil {
			if c.serverStopping.Load() {
				return
			}
			var err error
			if conn, err = net.Dial("tcp", c.address); err != nil {
				c.recordFailure("connect: %v", err)
				return
			}
			conn.SetDeadline(time.Now().Add(clientTimeout))
			from, seq = bufio.NewReader(conn), 0
			if kind%5 == 0 { // its first request comes later
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			}
		}
		seq++
		sent, err := c.sendRequest(conn, from, seq, kind%3 == 1, rng)
		ended := time.Since(sent)
		switch {
		case err == nil:
			c.answered.Add(1)
			tries = 0
			conn.SetDeadline(time.Now().Add(clientTimeout))
			if kind%2 == 0 {
				end()
			} else if kind%4 == 3 { // it rests, so that its next request may cross an end
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
			}
		case seq > 1 && ended < idleCloseRace && tries == 0: // once
			c.retried.Add(1)
			tries++
			end()
		default:
			c.recordFailure("client %d, request %d of its connection: %v, %v after it was sent", kind, seq, err, ended)
			return
		}
	}
}

// errConnectionEnded is the end of a connection by the director.
var errConnectionEnded = errors.New("the connection was ended")

// sendRequest sends a request, slowly where asked to, and waits for its answer. Sent is when its last byte was written.
func (c *loadGenerator) sendRequest(conn net.Conn, from *bufio.Reader, seq int32, slowly bool, rng *rand.Rand) (sent time.Time, err error) {
	text := nettest.SubmitFrame(seq, "", requestFields("media", fmt.Sprintf("%016x", c.lastRef.Add(1)))...)
	if slowly {
		half := len(text) / 2
		_, err = io.WriteString(conn, text[:half])
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		text = text[half:]
	}
	if err == nil {
		_, err = io.WriteString(conn, text)
	}
	sent = time.Now()
	if err != nil {
		return sent, err
	}
	var head [4]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return sent, errors.Join(errConnectionEnded, err)
	}
	if _, err := io.CopyN(io.Discard, from, int64(binary.BigEndian.Uint32(head[:]))); err != nil {
		return sent, err
	}
	return sent, nil
}

// waitExit waits for the end of a process that was told to stop.
func (o *operatedProcess) waitExit() {
	o.process.t.Helper()
	if err := o.Wait(); err != nil {
		o.process.t.Error(err)
	}
}

// New versions take over from old ones under load, again and again: each is ready in time, the old one is told to stop, and
// every request has an answer, whatever connection it came on.
func TestUpgradeLosesNoRequest(t *testing.T) {
	p := newSharedListener(t)
	old := p.startProcess()
	old.waitReady(readyAfterStart, true)
	clients := startLoad(t, p.listener.Addr().String(), 24)
	for range 3 {
		next := p.startProcess()
		next.waitReady(readyAfterStart, true)
		old.signal(syscall.SIGTERM)
		old.waitExit()
		old = next
	}
	clients.stopAndCheck()
	old.signal(syscall.SIGTERM)
	old.waitExit()
}

// A process that operators drain, beside one that is ready, takes nobody's request with it, also when it is killed in the
// end; nor does one that is killed before it is ready.
func TestDrainBesideAnotherProcessLosesNoRequest(t *testing.T) {
	p := newSharedListener(t)
	old := p.startProcess()
	old.waitReady(readyAfterStart, true)
	clients := startLoad(t, p.listener.Addr().String(), 24)
	killedEarly := p.startProcess()
	killedEarly.Process.Kill()
	killedEarly.Wait()
	next := p.startProcess()
	next.waitReady(readyAfterStart, true)
	if !old.call("PUT", "/healthcheck/fail") {
		t.Fatal("the drain was refused")
	}
	time.Sleep(drainLimit) // the term is a time: nothing is held behind it
	old.Process.Kill()
	old.Wait()
	clients.stopAndCheck()
	next.signal(syscall.SIGTERM)
	next.waitExit()
}
