package downstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A connection must be closed within 3 s if its client sends no message, or sends one byte by byte. A connection that
// is idle between requests is closed only at the idle timeout, and a connection with an open request never.
func TestIdleAndIncompleteConnectionsAreClosed(t *testing.T) {
	harness := newHarness(t)
	var clients [5]*testClient
	for i := range clients {
		clients[i] = harness.connect()
	}
	bytewise, idle, waiting, incomplete := clients[1], clients[2], clients[3], clients[4] // clients[0] sends nothing
	idle.send(heartbeatMessage())
	waiting.send(submitMessage(1))
	incomplete.send(heartbeatMessage() + heartbeatMessage()[:9])
	var closedAt [5]int // second
	for second := 1; second <= 40; second++ {
		harness.now += time.Second
		if !bytewise.socket.Closed {
			bytewise.send("\x00") // one byte per second
		}
		harness.timers.RunDue(harness.now)
		for i, client := range clients {
			if client.socket.Closed && closedAt[i] == 0 {
				closedAt[i] = second
			}
		}
	}
	if difference := cmp.Diff([5]int{2, 2, 30, 0, 2}, closedAt); difference != "" {
		t.Errorf("seconds until closed of: no message, byte by byte, idle, waiting, incomplete (-want +got):\n%s",
			difference)
	}
}

// A partly received message must time out after 2 s, also if only a part of its length prefix has been received.
// A client that stops within a message must not occupy its connection any longer.
func TestIncompleteMessageTimesOut(t *testing.T) {
	for _, size := range []int{1, 4, 9} {
		t.Run(fmt.Sprintf("%d bytes of a message", size), func(t *testing.T) {
			harness := newLingeringHarness(t)
			client := harness.connect()
			client.send(heartbeatMessage())
			harness.advance(5 * time.Second)
			client.send(submitMessage(2)[:size])
			harness.advance(1900 * time.Millisecond)
			early := client.socket.WriteClosed
			harness.advance(200 * time.Millisecond)
			if early || !client.socket.WriteClosed {
				t.Errorf("half-closed %v before 2 s, %v after 2 s; want false and true", early,
					client.socket.WriteClosed)
			}
		})
	}
}

// A connection with a partly received message must not be closed by the idle timeout, by a graceful close, or by a new
// connection at the limit, which evicts an idle connection. Its client is still writing, and a request that is complete
// only after our half-close is lost.
func TestPartlyReceivedMessageIsNotInterrupted(t *testing.T) {
	begin := func(t *testing.T) (*testHarness, *testClient) {
		t.Helper()
		harness := newLingeringHarness(t)
		client := harness.connect()
		client.send(heartbeatMessage())
		harness.advance(29 * time.Second)
		client.send(submitMessage(2)[:9])
		return harness, client
	}
	rest := submitMessage(2)[9:]
	closeGracefully := func(harness *testHarness, times int) {
		for range times {
			harness.server.StartGracefulClose()
			harness.advance(5 * time.Millisecond)
		}
	}
	t.Run("idle timeout", func(t *testing.T) {
		harness, client := begin(t)
		harness.advance(1900 * time.Millisecond)
		client.send(rest)
		if client.socket.WriteClosed || len(harness.submitted) != 1 {
			t.Errorf("half-closed %v, %d submitted after the idle timeout; want the request submitted",
				client.socket.WriteClosed, len(harness.submitted))
		}
	})
	t.Run("new connections", func(t *testing.T) {
		harness, client := begin(t)
		var others [5]*testClient
		for i := range others {
			others[i] = harness.connect()
			others[i].send(heartbeatMessage())
		}
		client.send(rest)
		if client.socket.WriteClosed || len(harness.submitted) != 1 || !others[0].socket.WriteClosed {
			t.Errorf("half-closed %v, %d submitted, the longest idle one half-closed %v; want false, 1, true",
				client.socket.WriteClosed, len(harness.submitted), others[0].socket.WriteClosed)
		}
	})
	t.Run("graceful close", func(t *testing.T) {
		harness, client := begin(t)
		closeGracefully(harness, 100)
		client.send(rest)
		if client.socket.WriteClosed || len(harness.submitted) != 1 {
			t.Errorf("half-closed %v, %d submitted 0.5 s after the graceful close began; want the request "+
				"submitted, to be rejected", client.socket.WriteClosed, len(harness.submitted))
		}
	})
	t.Run("message timeout in a graceful close", func(t *testing.T) {
		harness, client := begin(t)
		closeGracefully(harness, 420)
		if !client.socket.WriteClosed {
			t.Error("not half-closed 2.1 s after the graceful close began, although the message is incomplete")
		}
	})
}
