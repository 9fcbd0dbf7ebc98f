package downstream

import (
	"testing"
	"time"
)

// In a graceful close, a connection ends as soon as nothing is owed on it: not one that waits for an answer, nor one
// on which a message is just arriving. Any number may linger then.
func TestPartEndsWhatOwesNothing(t *testing.T) {
	harness := newLingeringHarness(t)
	harness.server.limits.MaxLingeringConns = 0
	var clients [4]*testClient
	for i := range clients {
		clients[i] = harness.connect()
		clients[i].send(heartbeatMessage())
	}
	first, waiting, receiving, last := clients[0], clients[1], clients[2], clients[3]
	waiting.send(submitMessage(2))
	receiving.send(submitMessage(2)[:20])
	harness.server.StartGracefulClose()
	if !first.socket.WriteClosed || waiting.socket.WriteClosed || receiving.socket.WriteClosed ||
		!last.socket.WriteClosed || first.socket.Closed || last.socket.Closed {
		t.Fatalf("sockets %+v, %+v, %+v, %+v; want the first and the last half-closed alone", &first.socket,
			&waiting.socket, &receiving.socket, &last.socket)
	}
	receiving.send(submitMessage(2)[20:])
	harness.server.StartGracefulClose()
	if len(harness.submitted) != 2 || receiving.socket.WriteClosed {
		t.Errorf("%d submitted, half-closed %v: a message that had begun was cut off", len(harness.submitted),
			receiving.socket.WriteClosed)
	}
	harness.replyServed(0)
	harness.replyServed(1) // both have sequence number 2; the second replier is the last connection
	harness.advance(60 * time.Millisecond)
	harness.server.StartGracefulClose()
	if !receiving.socket.WriteClosed {
		t.Error("still open with nothing owed")
	}
}
