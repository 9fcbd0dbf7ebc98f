package main

import (
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"shaleyard/internal/nettest"
	"shaleyard/routing"
)

// TestInvalidInputClosesOnlyItsConnection checks that invalid input on a connection closes neither another connection
// nor the program. Input that is a valid frame with an unknown method or invalid fields is answered and keeps its
// connection open, and an invalid answer of a cache fails only its attempt.
func TestInvalidInputClosesOnlyItsConnection(t *testing.T) {
	env := startProgram(t)
	client := env.dial()
	for _, junk := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x00", "\xff\xff\xff\xff",
		"\x00\x00\x00\x01\x80"} {
		invalid := env.dial()
		invalid.Send(junk)
		if got := invalid.ReadUntilClose(); got != "" {
			t.Errorf("%q was answered %q, want no answer", junk, got)
		}
	}
	client.Send(nettest.Frame(1, "nonsense", 1, nil))
	if reply := client.ReadReply(); !reply.Application || reply.Seq != 1 {
		t.Errorf("unknown method: got %+v, want an application error for call 1", reply)
	}
	client.Submit(2, "", "service", "media", "ref", "short")
	if reply := client.ReadReply(); !reply.Application || reply.Seq != 2 {
		t.Errorf("invalid fields: got %+v, want an application error for call 2", reply)
	}
	client.Submit(3, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	cacheConn.WriteArray(ref1, "WHAT", "-", "")
	// The invalid answer failed its attempt. The next attempt uses a new connection, because another answer to the
	// first attempt might still arrive on the old one.
	cacheConn = env.cache.Accept()
	cacheConn.ReadCommand()
	cacheConn.WriteArray(ref1, "OK", "n=HIT", "x")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 3, Body: "x", Good: true})
}

// TestAnswerIsDeliveredAfterInvalidFrame has a client send a request and then an invalid frame before the request is
// answered. The answer must still arrive complete, followed by an orderly close. Closing the connection before all
// input of the client was read would reset it, and the answer would be lost.
func TestAnswerIsDeliveredAfterInvalidFrame(t *testing.T) {
	env := startProgram(t)
	client := env.dial()
	client.Submit(1, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	client.Send("\xff\xff\xff\xff" + strings.Repeat("junk", 5000))
	rejected := make(chan struct{})
	for done := false; !done; {
		env.program.eventLoop.Do(func() {
			done = env.program.failures.rejectedConns > 0
			rejected <- struct{}{}
		})
		<-rejected
	}
	cacheConn.WriteArray(ref1, "OK", "n=HIT", "whole")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 1, Body: "whole", Good: true})
	if rest := client.ReadUntilEOF(); rest != "" {
		t.Errorf("received %q after the answer, want nothing", rest)
	}
}

// TestAddressInUseIsAnError checks that a second call of Run in the same process can't listen on an address in use.
// SO_REUSEPORT would let two programs share an address without an error. The event loop's TCP listener is opened
// without it: gnet.WithReusePort applies only to gnet's own UDP socket.
func TestAddressInUseIsAnError(t *testing.T) {
	env := startProgram(t)
	err := env.program.eventLoop.Run(env.program.eventLoop.Address())
	if err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("second Run on the address: got error %v, want \"in use\"", err)
	}
}

// TestSilentConnectionsAreEvicted opens more client connections than the limit, which is a third of the descriptors.
// Connections on which no request has come must be evicted for new ones, but not a connection that waits for an answer.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	env := startWithDescriptors(t, 66)
	waiting := env.dial()
	waiting.Submit(1, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	const dialled, maxClientConns = 50, 22 // the limit is a third of the 66 descriptors
	silent := make([]*nettest.Conn, dialled)
	for i := range silent {
		silent[i] = env.dial()
	}
	if reply := env.dial().Heartbeat(1); reply.Seq != 1 {
		t.Errorf("got an answer to call %d, want 1", reply.Seq)
	}
	for _, evicted := range silent[:dialled-maxClientConns] {
		evicted.ReadUntilClose()
	}
	cacheConn.WriteArray(ref1, "OK", "n=HIT", "x")
	env.wantReply(waiting.ReadReply(), nettest.Reply{Seq: 1, Body: "x", Good: true})
}

// TestConnectionBurstDoesNotExhaustDescriptors checks that the program survives a burst of 200 connections in the
// accept queue while it may open only 66 descriptors: a connection that was open before is still served, and the
// program stops gracefully. The event loop accepts through package listener, which retries an accept that fails for
// lack of a descriptor. The program runs in a separate process, with a descriptor limit of its own.
func TestConnectionBurstDoesNotExhaustDescriptors(t *testing.T) {
	env := newHarness(t)
	child := startProcess(t, env.configJSON(66), 66)
	address := child.address
	first := nettest.Dial(t, address)
	first.Heartbeat(1)
	child.pause()
	for range 200 {
		nettest.Dial(t, address)
	}
	child.signal(syscall.SIGCONT)
	first.Heartbeat(2)
	child.stopGracefully()
}

// TestRejectionLogIsRateLimited checks that of many connections rejected within a second all are counted and only one
// is logged, so that clients that send invalid data can't flood the log.
func TestRejectionLogIsRateLimited(t *testing.T) {
	var text strings.Builder
	stoppedClock := func() routing.Time { return time.Hour }
	failures := newConnectionFailures(newLogger(&text, "", "n1"), stoppedClock)
	for range 100 {
		failures.onConnectionRejected(io.ErrUnexpectedEOF)
	}
	if count := strings.Count(text.String(), "\n"); count != 1 || failures.rejectedConns != 100 {
		t.Errorf("got %d log lines on %d rejections, want 1 on 100", count, failures.rejectedConns)
	}
}
