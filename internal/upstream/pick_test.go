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

// Malformed data on a connection ends all its attempts, so attempts may share a connection only when
// MaxConnsPerEndpoint is reached. An idle connection must be reused, except for the request that it has just answered:
// a duplicate response may still arrive. A failed dial must not fail its attempt while another connection works: the
// cache may be at its connection limit.
func TestAttemptsSpreadOverConnections(t *testing.T) {
	h := newHarness()
	h.pools.limits.MaxConnsPerEndpoint = 2
	h.send(1, "r1")
	h.open(0)
	h.send(2, "r2")
	h.dials[1].Failed(errRefused)
	h.wantResults(t, map[handle.Handle]routing.Result{})
	if h.pools.attempts[2].conn != h.dials[0] || h.pools.Counters.Reassigned != 1 {
		t.Error("got the attempt of the failed dial elsewhere, want it reassigned to the open connection")
	}
	h.receive(t, 0, bulkArray("r1", "MISS", "-", "")+bulkArray("r2", "MISS", "-", ""))
	h.send(3, "r2")
	if len(h.dials) != 3 || h.pools.attempts[3].conn != h.dials[2] {
		t.Errorf("got %d dials, want 3 with the second attempt of r2 on the new connection", len(h.dials))
	}
	h.open(2)
	h.send(4, "r4")
	h.send(5, "r5")
	if len(h.dials) != 3 || h.pools.attempts[4].conn != h.dials[0] {
		t.Errorf("got %d dials, want 3 with r4 on the idle connection and r5 on an existing one", len(h.dials))
	}
}

// If an endpoint closes an idle connection while a request is being sent, it is unknown whether the request was
// executed. A non-idempotent request must therefore use a new connection even if an idle one is available.
func TestNonIdempotentRequestUsesNewConnection(t *testing.T) {
	h := newHarness()
	h.pools.limits.MaxConnsPerEndpoint = 4
	h.send(1, "r1")
	h.open(0)
	h.respond(t, 0, "r1", "OK", "-", "x")
	h.sendNonIdempotent(2, "r2")
	if len(h.dials) != 2 {
		t.Errorf("got %d dials, want 2", len(h.dials))
	}
}

// If MaxConnsPerEndpoint is reached, a non-idempotent request must close an idle connection and use a new one in its
// place: the endpoint may already be closing the idle one.
func TestNonIdempotentRequestReplacesIdleConnection(t *testing.T) {
	h := newHarness()
	h.pools.limits.MaxConnsPerEndpoint = 1
	h.send(1, "r1")
	socket := h.open(0)
	h.respond(t, 0, "r1", "OK", "-", "x")
	h.sendNonIdempotent(2, "r2")
	if len(h.dials) != 2 || !socket.Closed || h.pools.NumConns() != 1 {
		t.Errorf("got %d dials, idle connection closed %v, %d connections; want 2, true, 1",
			len(h.dials), socket.Closed, h.pools.NumConns())
	}
}

// sendNonIdempotent starts an attempt of a non-idempotent request with a timeout of one second.
func (h *harness) sendNonIdempotent(attemptID handle.Handle, requestID string) {
	request := &director.Request{Ref: requestID}
	h.pools.Send(attemptID, 1, director.UpstreamRequest{Request: request, Timeout: time.Second, NonIdempotent: true})
}

// An unresponsive connection without attempts must be closed. If it were only skipped, it would stay open although no
// attempt can use it.
func TestUnresponsiveConnectionWithoutAttemptsIsClosed(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	socket := h.open(0)
	h.pools.Cancel(1)
	h.now += 2 * time.Second
	h.send(2, "r2")
	if !socket.Closed || h.pools.NumConns() != 1 {
		t.Errorf("got closed %v, %d connections; want true, 1 (the new one)", socket.Closed, h.pools.NumConns())
	}
}

// The connections to a machine that vanished stay open but receive nothing. The next attempt must dial, which shows
// whether the machine is reachable. A wait shorter than UpstreamSilenceTimeout does not make a connection unresponsive.
func TestUnresponsiveConnectionGetsNoNewAttempt(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	h.open(0)
	h.pools.Cancel(1)
	h.now += 900 * time.Millisecond
	h.send(2, "r2")
	if len(h.dials) != 1 {
		t.Errorf("after 900 ms without a response: got %d dials, want 1", len(h.dials))
	}
	h.now += 200 * time.Millisecond
	h.send(3, "r3")
	if len(h.dials) != 2 {
		t.Errorf("after 1.1 s without a response: got %d dials, want 2", len(h.dials))
	}
	h.respond(t, 0, "r2", "OK", "-", "x")
	h.pools.Cancel(3)
	h.send(4, "r4")
	if len(h.dials) != 2 || h.pools.attempts[4].conn != h.dials[0] {
		t.Error("got the attempt elsewhere, want it on the connection that receives responses again")
	}
	h.respond(t, 0, "r4", "OK", "-", "x")
	h.now += 5 * time.Second // idle, not unresponsive: no response is due
	h.send(5, "r5")
	if h.pools.attempts[5].conn != h.dials[0] {
		t.Error("got the attempt elsewhere, want it on the idle connection")
	}
}

// A request behind data that the endpoint has not read would be sent at an unpredictable time, possibly after its
// cancellation. The next attempt must use another connection.
func TestBackloggedConnectionGetsNoNewAttempt(t *testing.T) {
	h := newHarness()
	h.send(1, "r1")
	h.dials[0].Opened(&nettest.FakeConn{Buffered: 1})
	h.send(2, "r2")
	if len(h.dials) != 2 {
		t.Errorf("got %d dials, want 2", len(h.dials))
	}
}

// If file descriptors run out, accept fails and is retried (package listener), so that new clients wait in the accept
// queue, and a dial to any endpoint fails with EMFILE. The number of dials must therefore be bounded by the descriptors
// they hold: two each until the event loop has taken over the connection.
func TestDescriptorsAreBounded(t *testing.T) {
	h := newHarness()
	for attemptID := handle.Handle(1); attemptID <= 9; attemptID++ {
		h.send(attemptID, fmt.Sprintf("r%d", attemptID))
	}
	if len(h.dials) != 4 {
		t.Errorf("got %d dials, want 4", len(h.dials))
	}
	// The attempt failed for lack of the director's own descriptors, which is no failure of the endpoint.
	h.wantResults(t, map[handle.Handle]routing.Result{9: routing.Abandoned})
	h.dials[0].Failed(errRefused)
	h.open(1)
	h.dials[1].Closed()
	h.open(2)
	if h.pools.descriptorsInUse != 3 {
		t.Errorf("got %d descriptors in use, want 3", h.pools.descriptorsInUse)
	}
}

// If idle connections of one endpoint hold all descriptors, a dial to another endpoint must still be possible: the
// connection that has been idle for the longest time is closed, and connections in use stay open.
func TestLongestIdleConnectionIsEvictedForDial(t *testing.T) {
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
		t.Fatalf("got %d dials, want 4 with one to c2 in place of an idle connection to c1", len(h.dials))
	}
	if sockets[0].Closed || !sockets[1].Closed || sockets[2].Closed {
		t.Errorf("got connections closed %v, %v, %v; want false, true, false",
			sockets[0].Closed, sockets[1].Closed, sockets[2].Closed)
	}
}

// The number of connections that an endpoint accepts shows only when a dial fails. From then on attempts must share the
// open connections instead of dialling for each request. A restart of the endpoint lifts this limit.
func TestFailedDialLimitsFurtherConnections(t *testing.T) {
	h := newHarness()
	h.raiseLimits(8, 32)
	h.send(1, "r1")
	h.open(0)
	h.send(2, "r2")
	h.dials[1].Failed(errRefused) // r2 is reassigned to the open connection
	for i := range 20 {
		h.send(handle.Handle(10+i), fmt.Sprintf("s%d", i))
	}
	if len(h.dials) != 2 {
		t.Errorf("got %d dials, want 2: none after the one that failed", len(h.dials))
	}
	if h.pools.Counters.ConnectLimited != 20 || len(h.results) != 0 {
		t.Errorf("got ConnectLimited %d, results %v; want 20, none", h.pools.Counters.ConnectLimited, h.results)
	}
	h.pools.UpdateEndpoint(1, "c1", "b", h.now)
	h.send(50, "r50")
	if len(h.dials) != 3 {
		t.Errorf("got %d dials, want 3: one to the new process", len(h.dials))
	}
}

// A burst of attempts must not open many connections at once: at most three dials may be in progress per endpoint, and
// only one to an endpoint that has just started.
func TestBurstOpensFewConnectionsAtATime(t *testing.T) {
	for _, tc := range []struct {
		name        string
		justStarted bool
		want        int
	}{{"long running", false, 3}, {"just started", true, 1}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness()
			h.raiseLimits(32, 64)
			if tc.justStarted {
				h.pools.UpdateEndpoint(1, "c1", "a", h.now)
			}
			for i := range 20 {
				h.send(handle.Handle(1+i), fmt.Sprintf("s%d", i))
			}
			if len(h.dials) != tc.want {
				t.Errorf("got %d dials at once, want %d", len(h.dials), tc.want)
			}
		})
	}
}

// An endpoint at its connection limit may accept a connection and close it at once, which must count as a failed dial.
// A close is no evidence about the limit if the connection is older or has received a response, or if it was the only
// one.
func TestConnectionClosedUnusedCountsAsRejected(t *testing.T) {
	for _, tc := range []struct {
		name  string
		age   time.Duration // age of the connection when it is closed
		dials int
	}{{"closed at once", 0, 2}, {"closed later", time.Second, 3}} {
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
				t.Errorf("got %d dials, want %d", len(h.dials), tc.dials)
			}
		})
	}
}

// raiseLimits sets the limits on connections. It also raises the limit on attempts per connection to 100, which no test
// reaches.
func (h *harness) raiseLimits(connsPerEndpoint, conns int) {
	h.pools.limits.MaxConnsPerEndpoint = connsPerEndpoint
	h.pools.limits.MaxUpstreamConns = conns
	h.pools.limits.MaxAttemptsPerConn = 100
}
