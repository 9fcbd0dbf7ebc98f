package upstream

import (
	"fmt"
	"testing"
	"time"

	"shaleyard/internal/director"
	"shaleyard/internal/handle"
	"shaleyard/internal/nettest"
	"shaleyard/routing"
)

// Attempts share a connection only where the endpoint's quota is used up, as one invalid response ends all on it. What
// is idle is used again, but not for the id it has just answered: a duplicate may still come. A dial that fails proves
// nothing while others work: a cache rejects more connections than it holds.
func TestAttemptsSpreadOverConnections(t *testing.T) {
	h := newHarness()
	h.pools.limits.MaxConnsPerEndpoint = 2
	h.send(1, "r1")
	h.open(0)
	h.send(2, "r2")
	h.dials[1].Failed(errRefused)
	h.wantResults(t, map[handle.Handle]routing.Result{})
	if h.pools.attempts[2].conn != h.dials[0] || h.pools.Counters.Reassigned != 1 {
		t.Error("the attempt behind a failed dial is not on the connection that works")
	}
	h.receive(t, 0, bulkArray("r1", "MISS", "-", "")+bulkArray("r2", "MISS", "-", ""))
	h.send(3, "r2")
	if len(h.dials) != 3 || h.pools.attempts[3].conn != h.dials[2] {
		t.Errorf("%d dials: the second attempt of r2 is on the connection of the first", len(h.dials))
	}
	h.open(2)
	h.send(4, "r4")
	h.send(5, "r5")
	if len(h.dials) != 3 || h.pools.attempts[4].conn != h.dials[0] {
		t.Errorf("%d dials: r4 has no idle connection, or r5 one beyond the quota", len(h.dials))
	}
}

// A request that is not idempotent takes a new connection though an idle one is there: a reset that crosses it on an
// idle one would leave it unknown whether it was executed.
func TestNonIdempotentTakesANewConnection(t *testing.T) {
	h := newHarness()
	h.pools.limits.MaxConnsPerEndpoint = 4
	h.send(1, "r1")
	h.open(0)
	h.respond(t, 0, "r1", "OK", "-", "x")
	h.sendNonIdempotent(2, "r2")
	if len(h.dials) != 2 {
		t.Errorf("%d dials, want a second one", len(h.dials))
	}
}

// Where the endpoint's quota is used up, a request that is not idempotent takes the place of an idle connection, not
// the connection itself: the endpoint's close may be on its way.
func TestNonIdempotentTakesTheIdleOnesPlace(t *testing.T) {
	h := newHarness()
	h.pools.limits.MaxConnsPerEndpoint = 1
	h.send(1, "r1")
	socket := h.open(0)
	h.respond(t, 0, "r1", "OK", "-", "x")
	h.sendNonIdempotent(2, "r2")
	if len(h.dials) != 2 || !socket.Closed || h.pools.NumConns() != 1 {
		t.Errorf("%d dials, idle one closed %v, %d connections; want 2, true, 1",
			len(h.dials), socket.Closed, h.pools.NumConns())
	}
}

func (h *harness) sendNonIdempotent(attemptID handle.Handle, requestID string) {
	request := &director.Request{Ref: requestID}
	h.pools.Send(attemptID, 1, director.UpstreamRequest{Request: request, Timeout: time.Second, NonIdempotent: true})
}

// A silent connection that carries no attempt is of no use: it is closed, not passed over for good.
func TestSilentConnectionIsClosedOnceEmpty(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	socket := h.open(0)
	h.pools.Cancel(1)
	h.now += 2 * time.Second
	h.send(2, "r2")
	if !socket.Closed || h.pools.NumConns() != 1 {
		t.Errorf("closed %v, %d connections held, want the new one only", socket.Closed, h.pools.NumConns())
	}
}

// A machine that vanishes leaves its connections open and silent: the next attempt must dial, which proves whether it
// is there. A short wait is no silence.
func TestSilentConnectionTakesNothingNew(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	h.open(0)
	h.pools.Cancel(1)
	h.now += 900 * time.Millisecond
	h.send(2, "r2")
	if len(h.dials) != 1 {
		t.Errorf("%d dials after a short wait, want 1", len(h.dials))
	}
	h.now += 200 * time.Millisecond
	h.send(3, "r3")
	if len(h.dials) != 2 {
		t.Errorf("%d dials after a long silence, want 2", len(h.dials))
	}
	h.respond(t, 0, "r2", "OK", "-", "x")
	h.pools.Cancel(3)
	h.send(4, "r4")
	if len(h.dials) != 2 || h.pools.attempts[4].conn != h.dials[0] {
		t.Error("a connection that speaks again is not used")
	}
	h.respond(t, 0, "r4", "OK", "-", "x")
	h.now += 5 * time.Second // idle, not silent: no response is due
	h.send(5, "r5")
	if h.pools.attempts[5].conn != h.dials[0] {
		t.Error("an idle connection is not used")
	}
}

// Bytes that the endpoint has not taken stand before all that comes behind them: it would leave when the endpoint
// likes.
func TestConnectionThatTakesNothingGetsNothingNew(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	h.dials[0].Opened(&nettest.FakeConn{Buffered: 1})
	h.send(2, "r2")
	if len(h.dials) != 2 {
		t.Errorf("%d dials, want a second one", len(h.dials))
	}
}

// A dial holds two descriptors until it has joined the loop. Accept ends the engine when they run out.
func TestDescriptorsAreBounded(t *testing.T) {
	h := newHarness()
	for attemptID := handle.Handle(1); attemptID <= 9; attemptID++ {
		h.send(attemptID, fmt.Sprintf("r%d", attemptID))
	}
	if len(h.dials) != 4 {
		t.Errorf("%d dials, want 4", len(h.dials))
	}
	h.wantResults(t, map[handle.Handle]routing.Result{9: routing.Abandoned}) // our shortage, not the endpoint's failure
	h.dials[0].Failed(errRefused)
	h.open(1)
	h.dials[1].Closed()
	h.open(2)
	if h.pools.descriptorsInUse != 3 {
		t.Errorf("%d descriptors counted, want 3", h.pools.descriptorsInUse)
	}
}

// Where idle connections hold all descriptors, the one that was idle for the longest makes room; those in use stay.
func TestLongestIdleIsEvictedForADial(t *testing.T) {
	h := newHarness()
	h.pools.limits.MaxConnsPerEndpoint = 8
	h.pools.limits.MaxUpstreamConns = 4
	h.pools.limits.MaxReplacementDials = 2
	sockets := make([]*nettest.FakeConn, 0, 3)
	for i := range 3 {
		h.send(handle.Handle(i+1), fmt.Sprintf("r%d", i+1))
		sockets = append(sockets, h.open(i))
	}
	h.respond(t, 1, "r2", "OK", "-", "x")
	h.now += time.Millisecond
	h.respond(t, 2, "r3", "OK", "-", "x")
	h.pools.UpdateEndpoint(2, "c2", "a2", 0)
	request := &director.Request{Ref: "r4"}
	h.pools.Send(4, 2, director.UpstreamRequest{Request: request, Timeout: time.Second})
	if len(h.dials) != 4 {
		t.Fatalf("%d dials: another endpoint's idle connections shut c2 out", len(h.dials))
	}
	if sockets[0].Closed || !sockets[1].Closed || sockets[2].Closed {
		t.Errorf("closed %v, %v, %v; want the longest idle one alone",
			sockets[0].Closed, sockets[1].Closed, sockets[2].Closed)
	}
}

// How many connections an endpoint takes shows only in dials that fail. From then on attempts share those that hold,
// and no request tries the endpoint's patience anew; a restart of the endpoint is a new beginning.
func TestFailedDialLimitsFurtherConnections(t *testing.T) {
	h := newHarness()
	h.raiseLimits(8, 32)
	h.send(1, "r1")
	h.open(0)
	h.send(2, "r2")
	h.dials[1].Failed(errRefused) // r2 is reassigned to the one that holds
	for i := range 20 {
		h.send(handle.Handle(10+i), fmt.Sprintf("s%d", i))
	}
	if len(h.dials) != 2 {
		t.Errorf("%d dials, want none behind the one that failed", len(h.dials))
	}
	if h.pools.Counters.ConnectLimited != 20 || len(h.results) != 0 {
		t.Errorf("%d attempts shared a connection, want 20; ended: %v", h.pools.Counters.ConnectLimited, h.results)
	}
	h.pools.UpdateEndpoint(1, "c1", "b", h.now)
	h.send(50, "r50")
	if len(h.dials) != 3 {
		t.Errorf("%d dials, want one to the new process", len(h.dials))
	}
}

// A burst opens few connections at a time, and one to an endpoint that has only just started.
func TestBurstOpensFewConnectionsAtATime(t *testing.T) {
	for _, tc := range []struct {
		name  string
		young bool
		want  int
	}{{"long running", false, 3}, {"just started", true, 1}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness()
			h.raiseLimits(32, 64)
			if tc.young {
				h.pools.UpdateEndpoint(1, "c1", "a", h.now)
			}
			for i := range 20 {
				h.send(handle.Handle(1+i), fmt.Sprintf("s%d", i))
			}
			if len(h.dials) != tc.want {
				t.Errorf("%d dials at once, want %d", len(h.dials), tc.want)
			}
		})
	}
}

// An endpoint that is full may accept a connection only to close it: that counts like a failed dial. One that has
// served, or that is the only one, says nothing of capacity.
func TestConnectionClosedUnusedCountsAsRejected(t *testing.T) {
	for _, tc := range []struct {
		name  string
		age   time.Duration // of the connection when it is closed
		dials int
	}{{"rejected", 0, 2}, {"after a while", time.Second, 3}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness()
			h.raiseLimits(8, 32)
			h.send(1, "r1")
			h.open(0)
			h.send(2, "r2")
			h.open(1)
			h.now += tc.age
			h.dials[1].Closed()
			h.send(3, "r3")
			if len(h.dials) != tc.dials {
				t.Errorf("%d dials, want %d", len(h.dials), tc.dials)
			}
		})
	}
}

// raiseLimits sets the limits on connections, and that on attempts on one of them out of reach.
func (h *harness) raiseLimits(connsPerEndpoint, conns int) {
	h.pools.limits.MaxConnsPerEndpoint = connsPerEndpoint
	h.pools.limits.MaxUpstreamConns = conns
	h.pools.limits.MaxAttemptsPerConn = 100
}
