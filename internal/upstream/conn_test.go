package upstream

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// A restarted process, or a new endpoint at an old address, must get nothing over its predecessor's sockets.
func TestRestartedEndpointGetsNewConnections(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	socket := h.open(0)
	h.pools.UpdateEndpoint(1, "c1", "a", h.now+1)
	h.wantResults(t, map[handle.Handle]routing.Result{1: routing.Reset})
	h.send(2, "r2")
	if len(h.dials) != 2 || !socket.Closed {
		t.Errorf("%d dials, old connection closed: %v", len(h.dials), socket.Closed)
	}
	h.pools.RemoveEndpoint(1)
	h.open(1)
	h.respond(t, 1, "r2", "OK", "-", "x")
	h.wantResults(t, map[handle.Handle]routing.Result{1: routing.Reset, 2: routing.OK})
	if n := h.pools.NumConns(); n != 0 {
		t.Errorf("%d connections to an endpoint that has left", n)
	}
}

// The endpoint list is late with starts. A connection that was opened to the new process already must stay: a reset
// would fail the payments that are in flight on it.
func TestLateNoticeOfARestartKeepsNewConnections(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	h.send(2, "r2")
	h.send(3, "r3") // on a second connection, still being opened when the update comes
	h.now += time.Second
	socket := h.open(0)
	h.pools.UpdateEndpoint(1, "c1", "a", h.now-time.Second/2)
	if socket.Closed {
		t.Error("a connection to the new process was closed")
	}
	h.wantResults(t, map[handle.Handle]routing.Result{})
}

func TestIdleConnectionIsClosed(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	socket := h.open(0)
	h.respond(t, 0, "r1", "OK", "l=inflight:7;x1:0.5", "x")
	h.timers.RunDue(h.now + 9*time.Second)
	if socket.Closed {
		t.Error("closed before the idle timeout")
	}
	h.timers.RunDue(h.now + 11*time.Second)
	if !socket.Closed {
		t.Error("still open after the idle timeout")
	}
}

// Connects fail in every way that Linux documents. A shortage of our own is told apart from what the endpoint has done,
// and neither ejects nor limits the endpoint; the attempt was never executed in any case.
func TestLocalShortagesAreNoEvidence(t *testing.T) {
	for errno, want := range map[syscall.Errno]routing.Result{
		syscall.EMFILE:        routing.LocalResourcesExhausted,
		syscall.ENFILE:        routing.LocalResourcesExhausted,
		syscall.ENOBUFS:       routing.LocalResourcesExhausted,
		syscall.ENOMEM:        routing.LocalResourcesExhausted,
		syscall.EADDRNOTAVAIL: routing.Unreachable,
		syscall.EAGAIN:        routing.Unreachable,
		syscall.ENETUNREACH:   routing.Unreachable,
		syscall.EHOSTUNREACH:  routing.Unreachable,
		syscall.EACCES:        routing.Unreachable,
		syscall.EPERM:         routing.Unreachable,
		syscall.EADDRINUSE:    routing.Unreachable,
		syscall.ECONNREFUSED:  routing.ConnectFailed,
		syscall.ECONNRESET:    routing.ConnectFailed,
		syscall.ETIMEDOUT:     routing.ConnectFailed,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			h := newHarness()
			h.send(1, "r1")
			err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
			for range 1 + maxRedials { // a dial that was reset is made again
				if len(h.results) == 0 {
					h.dials[len(h.dials)-1].Failed(fmt.Errorf("attempt: %w", err))
				}
			}
			h.wantResults(t, map[handle.Handle]routing.Result{1: want})
			ours := h.pools.Counters.LocalResourceErrors != 0
			if ours != (want != routing.ConnectFailed) || h.pools.NumConns() != 0 {
				t.Errorf("%d shortages counted, %d connections left",
					h.pools.Counters.LocalResourceErrors, h.pools.NumConns())
			}
		})
	}
}
