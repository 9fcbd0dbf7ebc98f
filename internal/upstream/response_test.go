package upstream

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"shaleyard/internal/director"
	"shaleyard/internal/handle"
	"shaleyard/routing"
)

func TestInvalidResponseFailsItsAttempt(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	h.send(2, "r2")
	h.open(0)
	h.respond(t, 0, "r1", "SAME", "-", "") // invalid: the client has no copy
	h.respond(t, 0, "r2", "OK", "n=NEVER", "x")
	h.wantResults(t, map[handle.Handle]routing.Result{1: routing.Errored, 2: routing.Errored})
}

func TestLoadReportFollowsSettings(t *testing.T) {
	h := newHarness()
	if diff := cmp.Diff([]float32{7, 0.5}, h.pools.decodeLoadReport("x0:1;inflight:7;x1:0.5")); diff != "" {
		t.Errorf("load report (-want +got):\n%s", diff)
	}
}

// A response with the status SAME must name the tag of the copy that the client has. Otherwise the client would keep a
// copy that the cache has not confirmed.
func TestNotModifiedMustNameClientsCopy(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fields string
		want   routing.Result
	}{
		{"the client's tag", "rev=tag1,since=1", routing.OK},
		{"another tag", "rev=tag2,since=1", routing.Errored},
		{"no tag", "since=1", routing.Errored},
		{"no fields", "-", routing.Errored},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness()
			request := &director.Request{Ref: "r1", IfNoneMatch: "tag1"}
			h.pools.Send(1, 1, director.UpstreamRequest{Request: request, Timeout: time.Second})
			h.open(0)
			h.respond(t, 0, "r1", "SAME", tc.fields, "")
			h.wantResults(t, map[handle.Handle]routing.Result{1: tc.want})
		})
	}
}

// A duplicate of a response may arrive some time after the first, with other responses in between. If the next attempt
// of the same request used the same connection, the duplicate would report a payment that is in flight as never
// executed.
func TestDuplicateResponseEndsNoLaterAttempt(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	h.open(0)
	h.respond(t, 0, "r1", "BUSY", "-", "")
	h.send(2, "r2")
	h.respond(t, 0, "r2", "OK", "-", "x") // r1 is then no longer the ID of the latest response
	h.send(3, "r1")
	if len(h.dials) != 2 {
		t.Fatalf("got %d dials, want 2 with the second attempt of r1 on a new connection", len(h.dials))
	}
	h.open(1)
	h.respond(t, 0, "r1", "BUSY", "-", "") // the duplicate
	h.wantResults(t, map[handle.Handle]routing.Result{1: routing.Rejected, 2: routing.OK})
	h.now += h.pools.limits.LateAnswerWindow + 1
	h.respond(t, 1, "r1", "BUSY", "-", "")
	h.send(4, "r1")
	if h.pools.attempts[4].conn != h.dials[0] {
		t.Error("after LateAnswerWindow: got the attempt elsewhere, want it on the first connection")
	}
}

// If an attempt is cancelled after a part of its response has arrived, the response to a new attempt on that connection
// would follow the missing part, which may never arrive. The connection must get no new attempt until the response is
// complete, and must be closed after UpstreamSilenceTimeout if the response stays incomplete.
func TestConnectionWithPartialResponseGetsNoNewAttempt(t *testing.T) {
	const missing = 5 // number of bytes that are missing at the end of the response
	whole := bulkArray("r1", "OK", "-", "a long body")
	firstPart, rest := whole[:len(whole)-missing], whole[len(whole)-missing:]
	for _, tc := range []struct {
		name      string
		completed bool
	}{{"the rest comes", true}, {"the rest never comes", false}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness()
			h.send(1, "r1")
			socket := h.open(0)
			h.receive(t, 0, firstPart)
			h.pools.Cancel(1)
			h.send(2, "r2")
			if len(h.dials) != 2 {
				t.Fatalf("got %d dials, want 2 with r2 on a new connection", len(h.dials))
			}
			if tc.completed {
				h.receive(t, 0, rest)
				h.send(3, "r3")
				if h.pools.attempts[3].conn != h.dials[0] {
					t.Error("after the complete response: got the attempt elsewhere, want it on the first connection")
				}
				return
			}
			h.now += h.pools.limits.UpstreamSilenceTimeout
			h.runTimers()
			if !socket.Closed {
				t.Error("connection with an incomplete response: got open, want closed")
			}
		})
	}
}
