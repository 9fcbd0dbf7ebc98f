package upstream

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"shaleyard/internal/director"
	"shaleyard/internal/handle"
	"shaleyard/routing"
)

var errRefused = errors.New("refused")

// Nothing that waited for a dial was executed when it fails; what was written may have been when it is reset.
func TestEndsAreExact(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	h.dials[0].Failed(errRefused)
	h.send(2, "r2")
	h.open(1)
	h.dials[1].Closed()
	h.pools.Send(3, 99, director.UpstreamRequest{Request: &director.Request{Ref: "r3"}})
	h.wantResults(t, map[handle.Handle]routing.Result{
		1: routing.ConnectFailed,
		2: routing.Reset,
		3: routing.ConnectFailed,
	})
	if n := h.pools.NumConns(); n != 0 {
		t.Errorf("%d connections left", n)
	}
}

func TestCancelReportsWhetherItWasWritten(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	if h.pools.Cancel(1) {
		t.Error("an attempt that waits for its dial counts as written")
	}
	socket := h.open(0)
	if got := socket.Written.String(); got != "" {
		t.Errorf("after its cancellation %q was sent", got)
	}
	h.send(2, "r2")
	if !h.pools.Cancel(2) {
		t.Error("a written attempt counts as not written")
	}
	if !strings.HasSuffix(socket.Written.String(), bulkArray("STOP", "r2")) {
		t.Errorf("no STOP in %q", socket.Written.String())
	}
}

// A response that crosses a STOP can't be told from that to a second attempt with the same id on the same connection:
// the second one takes another.
func TestSecondAttemptAvoidsTheCancelledOnesConnection(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	h.open(0)
	h.pools.Cancel(1)
	h.send(2, "r1")
	if len(h.dials) != 2 {
		t.Fatalf("%d dials, want a second one", len(h.dials))
	}
	h.open(1)
	h.respond(t, 0, "r1", "OK", "n=HIT", "late")
	h.wantResults(t, map[handle.Handle]routing.Result{})
	h.respond(t, 1, "r1", "MISS", "-", "")
	h.wantResults(t, map[handle.Handle]routing.Result{2: routing.Miss})
}

// What waits for a dial and is cancelled is never written, however late the dial succeeds; what was written goes on.
func TestCancelledAttemptIsNeverWritten(t *testing.T) {
	h := newHarness()
	h.pools.limits.MaxConnsPerEndpoint = 2
	h.send(1, "r1")
	h.send(2, "r2")
	early := h.open(0)
	if h.pools.CancelIfUnwritten(1) {
		t.Error("what was written was taken back")
	}
	if !h.pools.CancelIfUnwritten(2) {
		t.Error("what waits for its dial was not taken back")
	}
	late := h.open(1)
	if early.Written.Len() == 0 || late.Written.Len() != 0 {
		t.Errorf("%d bytes on the first connection, %d on the second; want some and none",
			early.Written.Len(), late.Written.Len())
	}
	h.respond(t, 0, "r1", "OK", "-", "x")
	h.wantResults(t, map[handle.Handle]routing.Result{1: routing.OK})
}

// While writes are suspended, a dial that succeeds, and one that fails beside a connection that works, write nothing:
// what would cancel the attempts is unread yet.
func TestNothingIsWrittenWhileSuspended(t *testing.T) {
	h := newHarness()
	h.pools.limits.MaxConnsPerEndpoint = 2
	h.pools.limits.MaxAttemptsPerConn = 10
	h.send(1, "r1")
	h.send(2, "r2")
	h.send(3, "r3") // shares the first
	h.pools.SuspendWrites()
	socket := h.open(0)
	h.dials[1].Failed(errRefused)
	if socket.Written.Len() != 0 {
		t.Fatalf("written while suspended: %q", socket.Written.String())
	}
	h.pools.CancelIfUnwritten(1)
	h.pools.ResumeWrites()
	if got := h.pools.Counters.RequestsSent; got != 2 {
		t.Errorf("%d attempts written after the suspension, want the two that were not taken back", got)
	}
}

// A dial that is reset, other than one that is refused, does not prove that nobody is there: nothing was executed, and
// it is made again, but not without end.
func TestResetDialIsMadeAgain(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	for i := range 3 {
		h.wantResults(t, map[handle.Handle]routing.Result{})
		h.dials[i].Failed(fmt.Errorf("connect: %w", syscall.ECONNRESET))
	}
	h.wantResults(t, map[handle.Handle]routing.Result{1: routing.ConnectFailed})
	if len(h.dials) != 3 {
		t.Errorf("%d dials, want 3", len(h.dials))
	}
}
