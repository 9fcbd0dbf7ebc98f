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
	h.respond(t, 0, "r1", "SAME", "-", "") // no copy of the client was passed on
	h.respond(t, 0, "r2", "OK", "n=NEVER", "x")
	h.wantResults(t, map[handle.Handle]routing.Result{1: routing.Errored, 2: routing.Errored})
}

func TestReportFollowsTheSettings(t *testing.T) {
	h := newHarness()
	if diff := cmp.Diff([]float32{7, 0.5}, h.pools.decodeLoadReport("x0:1;inflight:7;x1:0.5")); diff != "" {
		t.Error(diff)
	}
}

// A copy is called current only where the cache names the copy that the client has.
func TestNotModifiedNamesTheClientsOwnCopy(t *testing.T) {
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

// A duplicate of a response may come some time after the first, with others between them. Had the next attempt of that
// request gone over the same connection, the duplicate would say of a payment that is in flight that it was never
// executed.
func TestDuplicateResponseMeetsNoLaterAttempt(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	h.open(0)
	h.respond(t, 0, "r1", "BUSY", "-", "")
	h.send(2, "r2")
	h.respond(t, 0, "r2", "OK", "-", "x") // so that r1 is no longer the latest id
	h.send(3, "r1")
	if len(h.dials) != 2 {
		t.Fatalf("%d dials: the second attempt of r1 is where its first was answered", len(h.dials))
	}
	h.open(1)
	h.respond(t, 0, "r1", "BUSY", "-", "") // the duplicate
	h.wantResults(t, map[handle.Handle]routing.Result{1: routing.Rejected, 2: routing.OK})
	h.now += h.pools.limits.LateAnswerWindow + 1
	h.respond(t, 1, "r1", "BUSY", "-", "")
	h.send(4, "r1")
	if h.pools.attempts[4].conn != h.dials[0] {
		t.Error("a connection is passed over for good, though no duplicate can come any more")
	}
}

// Half a response has come when its attempt is cancelled: what is asked next on that connection would be answered into
// the other half, which may never come. Once it has come, the connection is as good as any.
func TestConnectionAmidAResponseTakesNothingNew(t *testing.T) {
	const missing = 5 // bytes
	whole := bulkArray("r1", "OK", "-", "a long body")
	half, rest := whole[:len(whole)-missing], whole[len(whole)-missing:]
	for _, tc := range []struct {
		name string
		ends bool
	}{{"the rest comes", true}, {"the rest never comes", false}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness()
			h.send(1, "r1")
			socket := h.open(0)
			h.receive(t, 0, half)
			h.pools.Cancel(1)
			h.send(2, "r2")
			if len(h.dials) != 2 {
				t.Fatalf("%d dials: r2 is behind half a response", len(h.dials))
			}
			if tc.ends {
				h.receive(t, 0, rest)
				h.send(3, "r3")
				if h.pools.attempts[3].conn != h.dials[0] {
					t.Error("a connection is not used though the response on it has ended")
				}
				return
			}
			h.now += h.pools.limits.UpstreamSilenceTimeout
			h.runTimers()
			if !socket.Closed {
				t.Error("a connection with a response that does not end is kept")
			}
		})
	}
}
