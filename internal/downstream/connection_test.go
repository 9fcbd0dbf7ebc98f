package downstream

import (
	"strings"
	"testing"
	"time"
)

// What a client has asked for before its stream goes bad, or before a message of it gets stuck, is owed an answer all
// the same: a close would lose it. Nothing more is read, and the connection ends after the answer.
func TestAnswersOwedGoOutBeforeABadStreamEnds(t *testing.T) {
	for _, test := range []struct {
		name  string
		spoil func(*testHarness, *testClient)
	}{
		{"bad frame", func(_ *testHarness, client *testClient) { client.send("GET / HTTP/1.1\r\n\r\n") }},
		{"stuck message", func(harness *testHarness, client *testClient) {
			client.send(submitMessage(2)[:9])
			harness.advance(2100 * time.Millisecond)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness := newLingeringHarness(t)
			client := harness.connect()
			socket := &client.socket
			client.send(submitMessage(1))
			test.spoil(harness, client)
			client.send(submitMessage(3))
			phase := client.connection.phase
			if phase != phaseDraining || socket.WriteClosed || socket.Closed || harness.canceled != 0 ||
				len(harness.submitted) != 1 {
				t.Fatalf("phase %d, half-closed %v, closed %v, %d canceled, %d submitted; want an open connection "+
					"with one request", phase, socket.WriteClosed, socket.Closed, harness.canceled,
					len(harness.submitted))
			}
			socket.Buffered = 100 // the client reads slowly
			harness.replyServed(0)
			harness.advance(100 * time.Millisecond)
			if socket.WriteClosed || socket.Written.Len() == 0 {
				t.Fatalf("half-closed %v with %d bytes written, before the client has read them", socket.WriteClosed,
					socket.Written.Len())
			}
			socket.Buffered = 0
			harness.advance(20 * time.Millisecond)
			if !socket.WriteClosed || socket.Closed {
				t.Errorf("half-closed %v, closed %v; want our half closed after the answer", socket.WriteClosed,
					socket.Closed)
			}
			client.connection.Closed()
			if n := harness.server.Conns(); n != 0 || client.connection.phase != phaseClosed {
				t.Errorf("%d connections left, phase %d", n, client.connection.phase)
			}
		})
	}
}

// A request that is read after our half-close must not be forwarded: its client has seen the connection end. What
// comes is read and dropped, so that no reset takes the last answer with it, for a bounded time and a bounded number
// of bytes.
func TestNothingIsTakenBehindAHalfClose(t *testing.T) {
	harness := newLingeringHarness(t)
	harness.server.limits.ClientIdleTimeout = time.Second
	var clients [3]*testClient
	for i := range clients {
		clients[i] = harness.connect()
		clients[i].send(heartbeatMessage())
		harness.advance(5 * time.Millisecond)
	}
	oldest, second, last := clients[0], clients[1], clients[2]
	harness.advance(995 * time.Millisecond) // all have been idle for too long
	second.send(submitMessage(2))
	last.send(submitMessage(2))
	if len(harness.submitted) != 0 {
		t.Errorf("%d requests submitted after the half-close", len(harness.submitted))
	}
	if !oldest.socket.Closed || second.socket.Closed || last.socket.Closed || !second.socket.WriteClosed ||
		!last.socket.WriteClosed {
		t.Errorf("sockets %+v, %+v, %+v; want the oldest closed, as two may linger", &oldest.socket, &second.socket,
			&last.socket)
	}
	last.send(strings.Repeat("x", 5000))
	if !last.socket.Closed {
		t.Error("a client that sends without end is still read")
	}
	harness.advance(510 * time.Millisecond)
	if !second.socket.Closed || harness.server.Conns() != 0 {
		t.Errorf("closed %v, %d connections; want none after the linger timeout", second.socket.Closed,
			harness.server.Conns())
	}
}

// A client that never reads its last answer, and never closes, does not hold its place for good: neither one that is
// served as usual nor one whose stream went bad.
func TestWhoNeverReadsIsClosed(t *testing.T) {
	for _, test := range []struct {
		name string
		sent string // after the request
	}{
		{"good stream", ""},
		{"bad stream", "\xff\xff\xff\xff"},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness := newLingeringHarness(t)
			client := harness.connect()
			socket := &client.socket
			client.send(submitMessage(1))
			client.send(test.sent)
			harness.advance(40 * time.Second) // a client waits for its answer for as long as that takes
			if socket.Closed || harness.canceled != 0 {
				t.Fatalf("closed %v, %d canceled while an answer was owed", socket.Closed, harness.canceled)
			}
			socket.Buffered = 100
			harness.replyServed(0)
			harness.advance(29 * time.Second)
			if socket.Closed {
				t.Error("closed within 29 s")
			}
			harness.advance(2 * time.Second)
			if !socket.Closed || harness.server.Conns() != 0 {
				t.Errorf("closed %v, %d connections after 31 s", socket.Closed, harness.server.Conns())
			}
		})
	}
}
