package main

import (
	"errors"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"shaleyard/internal/config"
	"shaleyard/internal/lifecycle"
	"shaleyard/internal/nettest"
)

// A stop answers what was accepted, and what comes within the grace period, before the program ends without an error.
func TestStopAnswersWhatWasTaken(t *testing.T) {
	env := startProgram(t)
	watch := env.discovery.Accept()
	watch.ReadLine()
	client := env.dial()
	if reply := client.Heartbeat(1); !reply.Good {
		t.Error("not ready with the feed up")
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
		t.Error("ready while stopping")
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

// Caches hang just as the program is told to end: requests that wait for them are answered before the program is
// killed, and a request that still comes is rejected at once.
func TestStopAnswersWhatHangs(t *testing.T) {
	env := startWithLimits(t, 1024, io.Discard, func(limits *config.Limits) {
		limits.StopGracePeriod = 10 * time.Millisecond
		limits.StopAnswerDeadline = 300 * time.Millisecond
		limits.StopDeadline = 20 * time.Second
		limits.NewConnGracePeriod = 10 * time.Second // however late the test's own request comes
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
		t.Errorf("after the grace period: %+v, want request 2 refused", reply)
	}
	late := env.dial() // accepted, and not read yet, while the program is closing
	late.Submit(1, "", requestFields("media", ref2)...)
	if reply := late.ReadReply(); reply.Seq != 1 || reply.Field != 1 {
		t.Errorf("on a new connection: %+v, want its request refused", reply)
	}
	late.Close()
	if reply := client.ReadReply(); reply.Seq != 1 || reply.Field != 1 {
		t.Errorf("at a cache that hangs: %+v, want request 1 refused", reply)
	}
	client.ReadUntilEOF()
	client.Close()
	second.ReadUntilEOF()
	second.Close()
	if err := <-env.exited; err != nil {
		t.Error(err)
	}
}

// SIGTERM may come while reloads wait behind one whose file takes long to read, and more of them than any channel
// holds.
func TestStopIsNotLostBehindReloads(t *testing.T) {
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
		t.Errorf("%d reloads are through; the stop waited for them", env.program.reloader.failed)
	}
}

// During shutdown idle clients don't close their half, and others come in a flood: lingering and new connections must
// together keep within the clients' share of descriptors, or accept finds none and ends the program with an answer
// owed.
func TestFloodWhileTheProgramPartsIsSurvived(t *testing.T) {
	env := newHarness(t)
	child := startProcess(t, env.configJSON(66), 66)
	client, idle := nettest.Dial(t, child.address), nettest.Dial(t, child.address)
	idle.Heartbeat(1)
	client.Submit(1, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	child.signal(syscall.SIGTERM)
	idle.ReadUntilEOF() // the shutdown has begun
	last := idle
	for range 100 {
		last = nettest.Dial(t, child.address)
	}
	last.ReadUntilClose() // it was accepted, and all before it
	cacheConn.WriteArray(ref1, "OK", "n=HIT", "owed")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 1, Body: "owed", Good: true})
	child.stopGracefully()
}

// Bytes cross the program's half-close during shutdown: the request is not accepted, let alone forwarded, and the
// connection is read until the client closes it, so that no reset takes the last answer with it.
func TestRequestBehindTheLastHalfCloseIsNotTaken(t *testing.T) {
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
		t.Errorf("%q before the end", rest)
	}
	client.Submit(2, "", requestFields("media", ref2)...)
	client.Close()
	if err := <-env.exited; err != nil {
		t.Error(err)
	}
	if got := env.program.director.Counters.RequestsAccepted; got != 1 {
		t.Errorf("%d requests taken, want 1", got)
	}
	if got := env.program.downstream.Counters; got.DroppedBytes == 0 || got.LingersAborted != 0 {
		t.Errorf("%d bytes dropped, %d lingers cut; want some and none", got.DroppedBytes, got.LingersAborted)
	}
}

// A client reads slowly: during shutdown the system buffers an answer that the client has no room for. The client can't
// know of our half-close, sends its next request long after it, and still gets the complete answer.
func TestSlowReaderGetsItsAnswerBehindOurHalfClose(t *testing.T) {
	env := startWithLimits(t, 1024, io.Discard, func(limits *config.Limits) {
		limits.StopGracePeriod = 10 * time.Millisecond
		limits.StopAnswerDeadline = 10 * time.Second
		limits.StopDeadline = 20 * time.Second
		limits.LingerTimeout = 20 * time.Millisecond
	})
	client := env.dial()
	client.SetReadBuffer(16 << 10)
	body := strings.Repeat("0123456789abcdef", 15_000)
	client.Submit(1, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	cacheConn.WriteArray(ref1, "OK", "n=HIT", body)
	waitUntil := func(condition func() bool) {
		result := make(chan bool, 1)
		for {
			env.program.eventLoop.Do(func() { result <- condition() })
			select {
			case holds := <-result:
				if holds {
					return
				}
			case err := <-env.exited: // too soon: the client shows what came of it
				env.exited <- err
				return
			}
		}
	}
	waitUntil(func() bool { return env.program.downstream.Counters.Answers == 1 })
	env.program.eventLoop.Do(env.program.lifecycle.stop)
	var lingeringSince time.Duration
	waitUntil(func() bool {
		lingeringSince = env.program.now()
		return env.program.downstream.Counters.Lingering == 1
	})
	waitUntil(func() bool { return env.program.now()-lingeringSince > 3*env.program.limits.LingerTimeout })
	client.Submit(2, "", requestFields("media", ref2)...)
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 1, Body: body, Good: true})
	client.ReadUntilEOF()
	client.Close()
	if err := <-env.exited; err != nil {
		t.Error(err)
	}
}
