package downstream

import (
	"testing"
	"time"

	"shaleyard/internal/nettest"
)

// A client that does not read its answers must lose its connection. Otherwise its unread output uses up the process's
// memory.
func TestBacklogIsBounded(t *testing.T) {
	harness := newHarness(t)
	slow, other := harness.connect(), harness.connect()
	slow.send(submitMessage(1))
	slow.socket.Buffered = 9_990
	harness.replyServed(0)
	if !slow.socket.Closed || slow.socket.Written.Len() > 0 {
		t.Errorf("client over its limit: closed %v with %d bytes written, want closed with none", slow.socket.Closed,
			slow.socket.Written.Len())
	}
	other.send(submitMessage(1))
	harness.replyServed(1)
	if other.socket.Closed || other.socket.Written.Len() == 0 {
		t.Errorf("other client: closed %v with %d bytes written, want it open with an answer", other.socket.Closed,
			other.socket.Written.Len())
	}
}

// When the unread output of all clients together exceeds its limit, the client with the most unread output must lose
// its connection, not the client whose answer is being written.
func TestTotalBacklogLimitClosesSlowestReader(t *testing.T) {
	harness := newHarness(t)
	var clients [3]*testClient
	for i := range clients {
		clients[i] = harness.connect()
		clients[i].send(submitMessage(1))
	}
	first, second, last := &clients[0].socket, &clients[1].socket, &clients[2].socket
	first.Buffered = 6_000
	second.Buffered = 9_500
	harness.server.outboundEstimate = harness.server.OutboundBuffered()
	harness.replyServed(2)
	if first.Closed || !second.Closed || last.Closed || last.Written.Len() == 0 {
		t.Errorf("closed %v, %v, %v with %d bytes written to the last; want only the second one closed", first.Closed,
			second.Closed, last.Closed, last.Written.Len())
	}
}

// When the connection table is full, a new connection evicts another one: first one that has been idle for longer than
// Limits.ClientKeepAlive, then one that has sent no message yet, then the one that has been idle longest, and last one
// that has sent a part of a message (not tested here). A connection with an open request or with buffered output is
// never evicted; if only such connections are left, the new one is rejected.
func TestFullTableEvictionOrder(t *testing.T) {
	harness := newHarness(t)
	connect := func() *testClient {
		t.Helper()
		harness.now += 100 * time.Millisecond
		return harness.connect()
	}
	waiting := connect()
	waiting.send(submitMessage(1))
	unread := connect()
	unread.send(heartbeatMessage())
	unread.socket.Buffered = 7
	longIdle := connect()
	longIdle.send(heartbeatMessage())
	harness.now += 6 * time.Second
	silent := connect()
	idle := connect()
	idle.send(heartbeatMessage())
	for _, want := range []struct {
		name   string
		client *testClient
	}{{"long idle", longIdle}, {"silent", silent}, {"idle", idle}} {
		connect().send(submitMessage(1))
		if !want.client.socket.Closed {
			t.Errorf("the new connection did not evict the connection that is %s", want.name)
		}
	}
	if waiting.socket.Closed || unread.socket.Closed {
		t.Error("a connection with a pending answer was closed")
	}
	if harness.server.Accept(&nettest.FakeConn{}) != nil || harness.server.Counters.RejectedConnections != 1 {
		t.Error("a new connection was accepted, want it rejected as all others have pending answers")
	}
}
