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

// An attempt that waited for a failed dial was never executed, and an attempt that was written before a reset may have
// been: the director resends non-idempotent requests according to these results.
func TestResultsTellWhetherAttemptMayHaveRun(t *testing.T) {
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
		t.Errorf("got %d connections, want 0", n)
	}
}

func TestCancelReportsWhetherAttemptWasWritten(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	if h.pools.Cancel(1) {
		t.Error("Cancel of an attempt that waits for its dial: got written, want not written")
	}
	socket := h.open(0)
	if got := socket.Written.String(); got != "" {
		t.Errorf("got %q written for a cancelled attempt, want nothing", got)
	}
	h.send(2, "r2")
	if !h.pools.Cancel(2) {
		t.Error("Cancel of a written attempt: got not written, want written")
	}
	if !strings.HasSuffix(socket.Written.String(), bulkArray("STOP", "r2")) {
		t.Errorf("got %q written, want a STOP command at the end", socket.Written.String())
	}
}

// A response that the endpoint sent before it received a STOP cannot be distinguished from the response to a second
// attempt with the same ID on the same connection. The second attempt must therefore use another connection.
func TestRetryAvoidsConnectionOfCancelledAttempt(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	h.open(0)
	h.pools.Cancel(1)
	h.send(2, "r1")
	if len(h.dials) != 2 {
		t.Fatalf("got %d dials, want 2", len(h.dials))
	}
	h.open(1)
	h.respond(t, 0, "r1", "OK", "n=HIT", "late")
	h.wantResults(t, map[handle.Handle]routing.Result{})
	h.respond(t, 1, "r1", "MISS", "-", "")
	h.wantResults(t, map[handle.Handle]routing.Result{2: routing.Miss})
}

// CancelIfUnwritten must cancel an attempt that waits for its dial, so that nothing is written when the dial succeeds
// later, and must leave an attempt that was written in flight.
func TestCancelledAttemptIsNeverWritten(t *testing.T) {
	h := newHarness()
	h.pools.limits.MaxConnsPerEndpoint = 2
	h.send(1, "r1")
	h.send(2, "r2")
	first := h.open(0)
	if h.pools.CancelIfUnwritten(1) {
		t.Error("CancelIfUnwritten of a written attempt: got true, want false")
	}
	if !h.pools.CancelIfUnwritten(2) {
		t.Error("CancelIfUnwritten of an attempt that waits for its dial: got false, want true")
	}
	second := h.open(1)
	if first.Written.Len() == 0 || second.Written.Len() != 0 {
		t.Errorf("got %d bytes on the first connection and %d on the second, want more than 0 and 0",
			first.Written.Len(), second.Written.Len())
	}
	h.respond(t, 0, "r1", "OK", "-", "x")
	h.wantResults(t, map[handle.Handle]routing.Result{1: routing.OK})
}

// Writes are suspended after a pause of the process until the director has read the input that its clients sent during
// the pause, because that input may cancel requests. Until ResumeWrites is called, no request may be written: neither
// when a dial succeeds, nor when a dial fails and its attempts are reassigned to an open connection.
func TestNoRequestIsWrittenWhileSuspended(t *testing.T) {
	h := newHarness()
	h.pools.limits.MaxConnsPerEndpoint = 2
	h.pools.limits.MaxAttemptsPerConn = 10
	h.send(1, "r1")
	h.send(2, "r2")
	h.send(3, "r3") // shares the first connection
	h.pools.SuspendWrites()
	socket := h.open(0)
	h.dials[1].Failed(errRefused)
	if socket.Written.Len() != 0 {
		t.Fatalf("got %q written while writes were suspended, want nothing", socket.Written.String())
	}
	h.pools.CancelIfUnwritten(1)
	h.pools.ResumeWrites()
	if got := h.pools.Counters.RequestsSent; got != 2 {
		t.Errorf("got %d attempts written after ResumeWrites, want the 2 that were not cancelled", got)
	}
}

// A reset dial, unlike a refused one, does not show that the endpoint is down, and nothing was executed. The pools dial
// again, a limited number of times.
func TestResetDialIsRetried(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	for i := range 3 {
		h.wantResults(t, map[handle.Handle]routing.Result{})
		h.dials[i].Failed(fmt.Errorf("connect: %w", syscall.ECONNRESET))
	}
	h.wantResults(t, map[handle.Handle]routing.Result{1: routing.ConnectFailed})
	if len(h.dials) != 3 {
		t.Errorf("got %d dials, want 3", len(h.dials))
	}
}
