package downstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A client that connects and sends nothing, or sends a message byte by byte, is owed a close within 3 s; one that is
// idle between requests is not, and one that waits for an answer never.
func TestIdleAndStuckConnectionsAreClosed(t *testing.T) {
	harness := newHarness(t)
	var clients [5]*testClient
	for i := range clients {
		clients[i] = harness.connect()
	}
	dripping, idle, waiting, stuck := clients[1], clients[2], clients[3], clients[4] // the first one is silent
	idle.send(heartbeatMessage())
	waiting.send(submitMessage(1))
	stuck.send(heartbeatMessage() + heartbeatMessage()[:9])
	var closedAt [5]int // second
	for second := 1; second <= 40; second++ {
		harness.now += time.Second
		if !dripping.socket.Closed {
			dripping.send("\x00") // never more than a byte, and never none for long
		}
		harness.timers.RunDue(harness.now)
		for i, client := range clients {
			if client.socket.Closed && closedAt[i] == 0 {
				closedAt[i] = second
			}
		}
	}
	if difference := cmp.Diff([5]int{2, 2, 30, 0, 2}, closedAt); difference != "" {
		t.Errorf("silent, dripping, idle, waiting, stuck: %s", difference)
	}
}

// Whatever part of a message has come, be it a part of its length, the rest is owed within 2 s.
func TestStuckMessageEndsItsConnection(t *testing.T) {
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
				t.Errorf("half-closed %v before 2 s, %v after", early, client.socket.WriteClosed)
			}
		})
	}
}

// A message that has begun to come may come to its end: neither the idle timeout nor a new connection nor a graceful
// close cuts it off. Its client is still writing, and a request whose end comes long after our half-close would be
// lost.
func TestMessageThatHasBegunIsNotCutOff(t *testing.T) {
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
			t.Errorf("half-closed %v, %d submitted, the longest idle one half-closed %v; want that one gone",
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
	t.Run("stuck in a graceful close", func(t *testing.T) {
		harness, client := begin(t)
		closeGracefully(harness, 420)
		if !client.socket.WriteClosed {
			t.Error("a message that is stuck keeps the program from ending")
		}
	})
}
