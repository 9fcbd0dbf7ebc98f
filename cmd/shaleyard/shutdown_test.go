package main

import (
	"errors"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"shaleyard/internal/config"
	"shaleyard/internal/lifecycle"
	"shaleyard/internal/nettest"
)

// During a stop the program must report not ready by heartbeat, answer the requests that it has accepted as well as
// those that arrive within the grace period, also on new connections, and then end without an error.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	env := startProgram(t)
	watch := env.discovery.Accept()
	watch.ReadLine()
	client := env.dial()
	if reply := client.Heartbeat(1); !reply.Good {
		t.Error("not ready while connected to the discovery service, want ready")
	}
	client.Submit(2, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	stopping := make(chan struct{})
	env.program.eventLoop.Do(func() {
		env.program.lifecycle.stop()
		close(stopping)
	})
	<-stopping
	if reply := client.Heartbeat(3); reply.Good {
		t.Error("ready while stopping, want not ready")
	}
	late := env.dial()
	late.Submit(1, "", requestFields("media", ref2)...)
	secondCacheConn := env.cache.Accept()
	secondCacheConn.ReadCommand()
	secondCacheConn.WriteArray(ref2, "OK", "n=HIT", "late")
	env.wantReply(late.ReadReply(), nettest.Reply{Seq: 1, Body: "late", Good: true})
	cacheConn.WriteArray(ref1, "OK", "n=HIT", "taken")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 2, Body: "taken", Good: true})
	if err := <-env.exited; err != nil {
		t.Error(err)
	}
}

// If a cache does not respond when the program is stopped, the requests that wait for it must be rejected by
// StopAnswerDeadline, before the platform kills the program. A request that arrives after the grace period is rejected
// at once, on an open connection as well as on a new one.
func TestStopRejectsRequestsAtUnresponsiveCache(t *testing.T) {
	env := startWithLimits(t, 1024, io.Discard, func(limits *config.Limits) {
		limits.StopGracePeriod = 10 * time.Millisecond
		limits.StopAnswerDeadline = 300 * time.Millisecond
		limits.StopDeadline = 20 * time.Second
		limits.NewConnGracePeriod = 10 * time.Second // long enough for the test's request on a slow machine
		limits.LingerTimeout = 10 * time.Second
	})
	client, second := env.dial(), env.dial()
	second.Heartbeat(1)
	client.Submit(1, "", requestFields("media", ref1)...)
	env.cache.Accept().ReadCommand()
	env.program.eventLoop.Do(env.program.lifecycle.stop)
	checked := make(chan struct{})
	for closing := false; !closing; {
		env.program.eventLoop.Do(func() {
			closing = env.program.lifecycle.machine.State() >= lifecycle.Closing
			checked <- struct{}{}
		})
		<-checked
	}
	client.Submit(2, "", requestFields("media", ref2)...)
	if reply := client.ReadReply(); reply.Seq != 2 || reply.Field != 1 {
		t.Errorf("after the grace period: reply %+v, want request 2 rejected", reply)
	}
	late := env.dial() // a connection that the program accepts, or has yet to read, while it is closing
	late.Submit(1, "", requestFields("media", ref2)...)
	if reply := late.ReadReply(); reply.Seq != 1 || reply.Field != 1 {
		t.Errorf("on a new connection: reply %+v, want request 1 rejected", reply)
	}
	late.Close()
	if reply := client.ReadReply(); reply.Seq != 1 || reply.Field != 1 {
		t.Errorf("at a cache that does not respond: reply %+v, want request 1 rejected", reply)
	}
	client.ReadUntilEOF()
	client.Close()
	second.ReadUntilEOF()
	second.Close()
	if err := <-env.exited; err != nil {
		t.Error(err)
	}
}

// SIGTERM must begin the stop without delay, even if it arrives while a reload is blocked on reading its file and
// further signals are queued. A queue that all signals share could be full then and lose SIGTERM, or delay it until the
// reload ends.
func TestStopDoesNotWaitForReloads(t *testing.T) {
	env := startWithLimits(
		t,
		1024,
		io.Discard,
		func(limits *config.Limits) { limits.StopGracePeriod = 10 * time.Millisecond },
	)
	received := signals{
		terminate: make(chan os.Signal, 1),
		reload:    make(chan os.Signal, 1),
		report:    make(chan os.Signal, 1),
	}
	reading, proceed := make(chan struct{}), make(chan struct{})
	env.program.handleSignals(received, func() (*config.Config, error) {
		close(reading)
		<-proceed
		return nil, errors.New("no file")
	})
	received.reload <- syscall.SIGHUP
	<-reading
	received.reload <- syscall.SIGHUP
	received.report <- syscall.SIGUSR1
	received.terminate <- syscall.SIGTERM
	if err := <-env.exited; err != nil {
		t.Error(err)
	}
	if env.program.reloader.failed != 0 {
		t.Errorf("%d reloads ended before the stop, want 0", env.program.reloader.failed)
	}
}

// Lingering and new connections together must not exceed the clients' share of descriptors during shutdown. Otherwise,
// when idle clients do not close their half and many new clients connect, no descriptor is free. A failed accept is
// retried (see TestConnectionBurstDoesNotExhaustDescriptors), but a dial to a cache fails with EMFILE, so that an
// accepted request that needs a new connection waits and is refused if no descriptor becomes free in time.
func TestConnectionFloodDuringShutdown(t *testing.T) {
	env := newHarness(t)
	child := startProcess(t, env.configJSON(66), 66)
	client, idle := nettest.Dial(t, child.address), nettest.Dial(t, child.address)
	idle.Heartbeat(1)
	client.Submit(1, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	child.signal(syscall.SIGTERM)
	idle.ReadUntilEOF() // the program closes idle connections once the shutdown has begun
	last := idle
	for range 100 {
		last = nettest.Dial(t, child.address)
	}
	last.ReadUntilClose() // connections are accepted in order, so all earlier ones were accepted too
	cacheConn.WriteArray(ref1, "OK", "n=HIT", "owed")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 1, Body: "owed", Good: true})
	child.stopGracefully()
}

// During shutdown, a request may arrive after the program has closed its half of the connection. The program must
// neither accept nor forward the request. It reads and drops the bytes until the client closes, because closing with
// unread bytes sends a reset, and a reset may discard the last answer before the client reads it.
func TestRequestAfterHalfCloseIsNotAccepted(t *testing.T) {
	env := startWithLimits(t, 1024, io.Discard, func(limits *config.Limits) {
		limits.StopGracePeriod = 10 * time.Millisecond
		limits.StopAnswerDeadline = 10 * time.Second
		limits.StopDeadline = 20 * time.Second
		limits.LingerTimeout = 20 * time.Second
	})
	client := env.dial()
	client.Submit(1, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	cacheConn.WriteArray(ref1, "OK", "n=HIT", "last")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 1, Body: "last", Good: true})
	env.program.eventLoop.Do(env.program.lifecycle.stop)
	if rest := client.ReadUntilEOF(); rest != "" {
		t.Errorf("got %q before the end of the connection, want nothing", rest)
	}
	client.Submit(2, "", requestFields("media", ref2)...)
	client.Close()
	if err := <-env.exited; err != nil {
		t.Error(err)
	}
	if got := env.program.director.Counters.RequestsAccepted; got != 1 {
		t.Errorf("%d requests accepted, want 1", got)
	}
	if got := env.program.downstream.Counters; got.DroppedBytes == 0 || got.LingersAborted != 0 {
		t.Errorf("DroppedBytes = %d, LingersAborted = %d, want > 0 and 0", got.DroppedBytes, got.LingersAborted)
	}
}

// During shutdown, a client that reads slowly cannot see a half-close behind an answer that it has not read, and goes
// on sending requests. Its connection must stay open until it has read the answer, and its next request must be
// answered: a request after a half-close is dropped, and a reset would discard the rest of the answer.
func TestSlowReaderIsAnsweredDuringStop(t *testing.T) {
	env := startWithLimits(t, 1024, io.Discard, func(limits *config.Limits) {
		limits.StopGracePeriod = 10 * time.Millisecond
		limits.StopAnswerDeadline = 10 * time.Second
		limits.StopDeadline = 20 * time.Second
		limits.LingerTimeout = 20 * time.Millisecond
	})
	client := env.dial()
	client.SetReadBuffer(16 << 10)
	client.Submit(1, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	cacheConn.WriteArray(ref1, "OK", "n=HIT", largeBody)
	env.waitUntil(func() bool { return env.program.downstream.Counters.Answers == 1 })
	env.program.eventLoop.Do(env.program.lifecycle.stop)
	var closingSince time.Duration
	env.waitUntil(func() bool {
		closingSince = env.program.now()
		return env.program.lifecycle.machine.State() >= lifecycle.Closing
	})
	env.waitUntil(func() bool { return env.program.now()-closingSince > 10*env.program.limits.LingerTimeout })
	env.waitUntil(func() bool {
		if lingering := env.program.downstream.Counters.Lingering; lingering != 0 {
			t.Error("half-closed while the answer is unread")
		}
		return true
	})
	client.Submit(2, "", requestFields("media", ref2)...)
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 1, Body: largeBody, Good: true})
	if reply := client.ReadReply(); reply.Seq != 2 || reply.Field != 1 {
		t.Errorf("request after the grace period: reply %+v, want request 2 rejected", reply)
	}
	client.ReadUntilEOF()
	client.Close()
	if err := <-env.exited; err != nil {
		t.Error(err)
	}
}
