package downstream

import (
	"testing"
	"time"

	"shaleyard/internal/nettest"
)

// A client that does not read must lose its connection, not the program its memory.
func TestBacklogIsBounded(t *testing.T) {
	harness := newHarness(t)
	slow, other := harness.connect(), harness.connect()
	slow.send(submitMessage(1))
	slow.socket.Buffered = 9_990
	harness.replyServed(0)
	if !slow.socket.Closed || slow.socket.Written.Len() > 0 {
		t.Errorf("closed %v with %d bytes written", slow.socket.Closed, slow.socket.Written.Len())
	}
	other.send(submitMessage(1))
	harness.replyServed(1)
	if other.socket.Closed || other.socket.Written.Len() == 0 {
		t.Error("another client suffers from it")
	}
}

// Where all together leave too much unread, the client that has left the most loses its connection, not the one that
// is just answered.
func TestTotalBacklogIsChargedToWhoLeavesMost(t *testing.T) {
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
		t.Errorf("closed %v, %v, %v with %d bytes written to the last; want the second closed alone", first.Closed,
			second.Closed, last.Closed, last.Written.Len())
	}
}

// When the table is full a connection has to go: first one that has long been idle, then one that has sent nothing
// yet, then the one that is idle longest; never one that is owed an answer, or has one in our buffer. Else the new
// connection is rejected.
func TestFullTableEvictsWhoIsMissedLeast(t *testing.T) {
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
			t.Errorf("the new connection did not take the place of the one that is %s", want.name)
		}
	}
	if waiting.socket.Closed || unread.socket.Closed {
		t.Error("a connection that is owed an answer was closed")
	}
	if harness.server.Accept(&nettest.FakeConn{}) != nil || harness.server.Counters.RejectedConnections != 1 {
		t.Error("one more was taken, though all others wait for answers")
	}
}
