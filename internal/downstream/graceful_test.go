package downstream

import (
	"testing"
	"time"
)

// A graceful close must half-close a connection as soon as it has no pending answer, and not before: a connection with
// an open request or a partly received message stays open. The limit of lingering connections includes unused places of
// the connection table meanwhile.
func TestGracefulCloseKeepsConnectionsWithPendingAnswers(t *testing.T) {
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
		t.Fatalf("sockets %+v, %+v, %+v, %+v; want only the first and the last half-closed", &first.socket,
			&waiting.socket, &receiving.socket, &last.socket)
	}
	receiving.send(submitMessage(2)[20:])
	harness.server.StartGracefulClose()
	if len(harness.submitted) != 2 || receiving.socket.WriteClosed {
		t.Errorf("%d submitted, half-closed %v; want 2 submitted and an open connection", len(harness.submitted),
			receiving.socket.WriteClosed)
	}
	harness.replyServed(0)
	harness.replyServed(1) // both have sequence number 2; the second replier is the last connection
	harness.advance(60 * time.Millisecond)
	harness.server.StartGracefulClose()
	if !receiving.socket.WriteClosed {
		t.Error("still open without a pending answer, want it half-closed")
	}
}
