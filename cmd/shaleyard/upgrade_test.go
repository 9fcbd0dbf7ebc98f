package main

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
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

// newSharedListener opens the socket, and starts a cache that answers and a list service without events.
func newSharedListener(t *testing.T) *sharedListener {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	cache, discovery := serveTCP(t, respondingCache(20*time.Millisecond, "x")), serveTCP(t, idleDiscoveryService)
	known := membersEvent(1, true, endpointJSON("c1", cache, "here", "edge", "ready"),
		endpointJSON("o", cache, "hub", "origin", "ready"))
	return &sharedListener{t, listener, fmt.Appendf(nil, `{"name":"n1","listen":%q,"feed":%q,"seed":"1",
		"limits":{"cores":1,"memory_mb":192,"sockets":512},"known":{"n":1,"events":[%s]},"settings":%s}`,
		listener.Addr(), discovery, known, settingsJSON)}
}

// startProcess starts a process that inherits the socket.
func (l *sharedListener) startProcess() *operatedProcess {
	l.t.Helper()
	socket, err := l.listener.File()
	if err != nil {
		l.t.Fatal(err)
	}
	defer socket.Close()
	devNull, err := os.Open(os.DevNull)
	if err != nil {
		l.t.Fatal(err)
	}
	defer devNull.Close()
	proc := &operatedProcess{process: newProcess(l.t, os.Args[0], l.config, 512), operators: unusedAddress(l.t)}
	proc.ExtraFiles = []*os.File{devNull, socket} // descriptors 3 and 4
	proc.Env = append(proc.Env, "EDGE_OPERATOR="+proc.operators, "EDGE_FD=4")
	proc.launch()
	go proc.skipLog()
	return proc
}

// waitExit waits for the end of a process that was told to stop.
func (p *operatedProcess) waitExit() {
	p.process.t.Helper()
	if err := p.Wait(); err != nil {
		p.process.t.Error(err)
	}
}

// New versions take over from old ones under load, again and again: each is ready in time, the old one is told to stop,
// and every request has an answer, whatever connection it came on.
func TestUpgradeLosesNoRequest(t *testing.T) {
	listener := newSharedListener(t)
	old := listener.startProcess()
	old.waitReady(readyAfterStart, true)
	load := startLoad(t, listener.listener.Addr().String(), 24)
	for range 3 {
		next := listener.startProcess()
		next.waitReady(readyAfterStart, true)
		old.signal(syscall.SIGTERM)
		old.waitExit()
		old = next
	}
	load.stopAndCheck()
	old.signal(syscall.SIGTERM)
	old.waitExit()
}

// A process that operators drain, beside one that is ready, takes nobody's request with it, also when it is killed in
// the end; nor does one that is killed before it is ready.
func TestDrainBesideAnotherProcessLosesNoRequest(t *testing.T) {
	listener := newSharedListener(t)
	old := listener.startProcess()
	old.waitReady(readyAfterStart, true)
	load := startLoad(t, listener.listener.Addr().String(), 24)
	killedEarly := listener.startProcess()
	killedEarly.kill()
	next := listener.startProcess()
	next.waitReady(readyAfterStart, true)
	if !old.call("PUT", "/healthcheck/fail") {
		t.Fatal("the drain was refused")
	}
	time.Sleep(drainLimit) // after which nothing may be held
	old.kill()
	load.stopAndCheck()
	next.signal(syscall.SIGTERM)
	next.waitExit()
}
