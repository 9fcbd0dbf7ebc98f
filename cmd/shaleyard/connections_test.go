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

// What one connection brings must end neither another nor the program.
func TestBadInputEndsOnlyItsConnection(t *testing.T) {
	env := startProgram(t)
	good := env.dial()
	for _, junk := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x00", "\xff\xff\xff\xff",
		"\x00\x00\x00\x01\x80"} {
		bad := env.dial()
		bad.Send(junk)
		if got := bad.ReadUntilClose(); got != "" {
			t.Errorf("%q was answered %q", junk, got)
		}
	}
	good.Send(nettest.Frame(1, "nonsense", 1, nil))
	if reply := good.ReadReply(); !reply.Application || reply.Seq != 1 {
		t.Errorf("unknown method: %+v", reply)
	}
	good.Submit(2, "", "service", "media", "ref", "short")
	if reply := good.ReadReply(); !reply.Application || reply.Seq != 2 {
		t.Errorf("bad fields: %+v", reply)
	}
	good.Submit(3, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	cacheConn.WriteArray(ref1, "WHAT", "-", "")
	cacheConn = env.cache.Accept() // not on the connection of the first attempt, where another answer might still come
	cacheConn.ReadCommand()        // the bad answer failed its attempt; the origin or the cache gets another
	cacheConn.WriteArray(ref1, "OK", "n=HIT", "x")
	env.wantReply(good.ReadReply(), nettest.Reply{Seq: 3, Body: "x", Good: true})
}

// A client sends a request and then what is no message. The answer, which comes later, reaches it whole, and the
// connection ends in good order after it: a close before all that it sent was read would have reset it.
func TestAnswerOutlivesABadStream(t *testing.T) {
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
		t.Errorf("%q behind the answer", rest)
	}
}

// The loop accepts with SO_REUSEPORT, which by itself would let two programs share an address unnoticed.
func TestAddressInUseIsAnError(t *testing.T) {
	env := startProgram(t)
	err := env.program.eventLoop.Run(env.program.eventLoop.Address())
	if err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("a second program on the address: %v", err)
	}
}

// Clients may hold a third of the descriptors. Connections on which nothing has come are evicted for those on which
// requests come, and none that waits for an answer is.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	env := startWithDescriptors(t, 66)
	waiting := env.dial()
	waiting.Submit(1, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	const dialled, clientShare = 50, 22 // a third of the descriptors
	silent := make([]*nettest.Conn, dialled)
	for i := range silent {
		silent[i] = env.dial()
	}
	if reply := env.dial().Heartbeat(1); reply.Seq != 1 {
		t.Errorf("answer to call %d, want 1", reply.Seq)
	}
	for _, evicted := range silent[:dialled-clientShare] {
		evicted.ReadUntilClose()
	}
	cacheConn.WriteArray(ref1, "OK", "n=HIT", "x")
	env.wantReply(waiting.ReadReply(), nettest.Reply{Seq: 1, Body: "x", Good: true})
}

// A burst of connections that waits in the backlog must not take the last descriptor: gnet's accept ends the
// engine then. Only a process of its own can run out of them.
func TestBurstOfConnectionsIsSurvived(t *testing.T) {
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

func TestRejectionsAreLoggedSparingly(t *testing.T) {
	var text strings.Builder
	stoppedClock := func() routing.Time { return time.Hour }
	failures := newConnectionFailures(newLogger(&text, "", "n1"), stoppedClock)
	for range 100 {
		failures.onConnectionRejected(io.ErrUnexpectedEOF)
	}
	if count := strings.Count(text.String(), "\n"); count != 1 || failures.rejectedConns != 100 {
		t.Errorf("%d lines on %d rejections, want one on 100", count, failures.rejectedConns)
	}
}
