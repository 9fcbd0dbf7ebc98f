package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"shaleyard/internal/config"
	"shaleyard/internal/lifecycle"
	"shaleyard/internal/nettest"
)

// counter sends SIGUSR1 to the process, which then logs its counters, and returns the value of the named counter. The
// name is downstream_conns or Answers.
func (p *operatedProcess) counter(name string) int {
	p.process.t.Helper()
	p.signal(syscall.SIGUSR1)
	var line struct {
		Counters struct {
			Conns      int `json:"downstream_conns"`
			Downstream struct{ Answers int }
		} `json:"counters"`
	}
	if err := json.Unmarshal([]byte(p.waitForLog(`"msg":"counters"`)), &line); err != nil {
		p.process.t.Fatal(err)
	}
	switch name {
	case "downstream_conns":
		return line.Counters.Conns
	case "Answers":
		return line.Counters.Downstream.Answers
	default:
		p.process.t.Fatalf("unknown counter %s", name)
		return 0
	}
}

// clientConnections returns the number of client connections that the process holds.
func (p *operatedProcess) clientConnections() int { return p.counter("downstream_conns") }

// drain requests a drain and returns the time of the request.
func (p *operatedProcess) drain() time.Time {
	p.process.t.Helper()
	drainedAt := time.Now()
	if !p.call(http.MethodPut, "/healthcheck/fail") {
		p.process.t.Fatal("the call to drain failed")
	}
	return drainedAt
}

// wantDrained waits until drainLimit has passed since the request for a drain. The process must then hold no client
// connection and must not be ready. wantDrained reads the number of connections for up to 1 s more, because the first
// counters line that it reads may be old.
func (p *operatedProcess) wantDrained(since time.Time) {
	p.process.t.Helper()
	time.Sleep(time.Until(since.Add(drainLimit)))
	if p.call(http.MethodGet, "/healthcheck") {
		p.process.t.Error("ready while drained")
	}
	// The first line with counters that is read may have been logged before the drain ended.
	for conns := p.clientConnections(); conns > 0; conns = p.clientConnections() {
		if time.Since(since) > drainLimit+time.Second {
			p.process.t.Fatalf("got %d client connections after the drain, want 0", conns)
		}
	}
}

// cancelDrain cancels a drain and waits until the process is ready.
func (p *operatedProcess) cancelDrain() {
	p.process.t.Helper()
	if !p.call(http.MethodPut, "/healthcheck/ok") {
		p.process.t.Fatal("the call to cancel the drain failed")
	}
	p.waitReady(readyAfterResume, true)
}

// TestDrainWithConcurrentEvents combines a drain with a reload, a stop, cancellations and clients that send or connect
// during it. In each case, open requests must be answered, and client connections must be closed in time.
func TestDrainWithConcurrentEvents(t *testing.T) {
	for name, scenario := range map[string]func(t *testing.T, proc *operatedProcess){
		"configuration reload during the drain": func(t *testing.T, proc *operatedProcess) {
			idle := proc.connect()
			idle.Heartbeat(1)
			drainedAt := proc.drain()
			proc.writeConfig(proc.configJSON(256))
			proc.signal(syscall.SIGHUP)
			proc.waitForLog("configuration reloaded")
			idle.ReadUntilEOF()
			idle.Close()
			proc.wantDrained(drainedAt)
			proc.cancelDrain()
		},
		"SIGTERM during the drain": func(t *testing.T, proc *operatedProcess) {
			waiting, idle := proc.connect(), proc.connect()
			waiting.Submit(1, "", requestFields("media", ref1)...)
			cache := proc.cache.Accept()
			cache.ReadCommand()
			idle.Heartbeat(1)
			proc.drain()
			proc.signal(syscall.SIGTERM)
			proc.waitForLog(`"to":"stopping"`)
			if proc.status(http.MethodPut, "/healthcheck/ok") == http.StatusOK {
				t.Error("the drain of a stopping process was cancelled, want the call to fail")
			}
			cache.WriteArray(ref1, "OK", "n=HIT", "owed")
			proc.wantReply(waiting.ReadReply(), nettest.Reply{Seq: 1, Body: "owed", Good: true})
			waiting.ReadUntilEOF()
			waiting.Close()
			idle.ReadUntilEOF()
			idle.Close()
			proc.waitForLog(`"to":"ended"`)
		},
		"repeatedly cancelled and requested again": func(t *testing.T, proc *operatedProcess) {
			client := proc.connect()
			for seq := range int32(5) {
				proc.drain()
				if client.Heartbeat(2 * seq).Good {
					t.Error("ready by heartbeat while drained")
				}
				proc.cancelDrain()
				if !client.Heartbeat(2*seq + 1).Good {
					t.Error("not ready by heartbeat after the drain")
				}
			}
			drainedAt := proc.drain()
			client.ReadUntilEOF()
			client.Close()
			proc.wantDrained(drainedAt)
			proc.cancelDrain()
		},
		"client that sends a request slowly": func(t *testing.T, proc *operatedProcess) {
			client := proc.connect()
			text := nettest.SubmitFrame(1, "", requestFields("media", ref1)...)
			client.Send(text[:30])
			drainedAt := proc.drain()
			time.Sleep(1700 * time.Millisecond) // less than the 2 s that a client may take to send a message
			client.Send(text[30:])
			if reply := client.ReadReply(); reply.Seq != 1 || reply.Field != 1 || reply.Fields["cooldown"] == "" {
				t.Errorf("got %+v, want request 1 rejected with a cooldown", reply)
			}
			client.ReadUntilEOF()
			client.Close()
			proc.wantDrained(drainedAt)
		},
		"clients that connect during the drain": func(t *testing.T, proc *operatedProcess) {
			drainedAt := proc.drain()
			time.Sleep(250 * time.Millisecond) // the load balancer has detected the drain by then
			late := proc.connect()
			late.Submit(1, "", requestFields("media", ref1)...)
			cache := proc.cache.Accept()
			cache.WriteArray(cache.ReadCommand()[1], "OK", "n=HIT", "late")
			proc.wantReply(late.ReadReply(), nettest.Reply{Seq: 1, Body: "late", Good: true})
			late.ReadUntilEOF()
			late.Close()
			time.Sleep(time.Until(drainedAt.Add(2 * time.Second)))
			later := proc.connect()
			later.Submit(1, "", requestFields("media", ref2)...)
			if reply := later.ReadReply(); reply.Field != 1 {
				t.Errorf("got %+v, want a rejection", reply)
			}
			later.ReadUntilEOF()
			later.Close()
			proc.wantDrained(drainedAt)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario(t, startOperated(t))
		})
	}
}

// TestDrainClosesClientThatDoesNotRead drains the process while a client reads none of its answers. The drain must
// close that client's connection within drainLimit, as it closes any other, although answers for the client are still
// buffered in the process.
func TestDrainClosesClientThatDoesNotRead(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 15_000)
	cache := serveTCP(t, respondingCache(0, body))
	proc := startOperatedWith(t, func(text string, env *harness) string {
		return strings.ReplaceAll(text, env.cache.Addr(), cache)
	})
	client := proc.connect()
	client.SetReadBuffer(4 << 10)
	const answers = 24 // more than the socket buffers of a connection hold
	for seq := int32(1); proc.counter("Answers") < answers; seq++ {
		if seq > 20*answers {
			t.Fatalf("fewer than %d of %d requests were answered", answers, 20*answers)
		}
		client.Submit(seq, "", requestFields("media", fmt.Sprintf("%016x", seq))...)
	}
	drainedAt := proc.drain()
	if conns := proc.counter("downstream_conns"); conns != 1 {
		t.Errorf("got %d client connections at the start of the drain, want 1", conns)
	}
	proc.wantDrained(drainedAt)
}

// TestDrainDuringTheStart requests a drain during the start, while the process waits for its first connection to the
// discovery service, which is unreachable. Without a drain the process becomes ready after InitialListTimeout (2 s).
// With the drain it must still not be ready after that time, and become ready only when the drain is cancelled.
func TestDrainDuringTheStart(t *testing.T) {
	env := newHarness(t)
	env.discovery.Close() // makes the discovery service unreachable
	proc := launchOperated(t, os.Args[0], env, env.configJSON(256))
	if proc.call(http.MethodGet, "/healthcheck") {
		t.Error("ready before the endpoint list was received or its wait timed out")
	}
	proc.drain()
	client := proc.connect()
	for begun := time.Now(); time.Since(begun) < 2500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		if proc.call(http.MethodGet, "/healthcheck") {
			t.Fatal("ready while drained")
		}
	}
	client.ReadUntilEOF()
	client.Close()
	proc.cancelDrain()
}

// TestOperatorCallsWhileEventLoopIsStalled stalls the event loop. Operators' calls must still be answered, the process
// must not be ready, and a drain that is requested during the stall must take effect when the loop runs again.
func TestOperatorCallsWhileEventLoopIsStalled(t *testing.T) {
	env := startWithLimits(
		t,
		256,
		io.Discard,
		func(limits *config.Limits) { limits.LoopStallThreshold = 50 * time.Millisecond },
	)
	operators := &operatorAPI{program: env.program}
	operators.booted.Store(true)
	watch := env.discovery.Accept()
	watch.ReadLine()
	client := env.dial()
	client.Heartbeat(1)
	stalled, proceed := make(chan struct{}), make(chan struct{})
	env.program.eventLoop.Do(func() {
		close(stalled)
		<-proceed
	})
	<-stalled
	for begun := time.Now(); ; {
		if ready, _ := operators.Ready(); !ready {
			break
		}
		if time.Since(begun) > operatorCallTimeout {
			t.Fatal("ready while the event loop is stalled, want not ready")
		}
	}
	operators.Drain()
	if ready, why := operators.Ready(); ready || why != lifecycle.Draining.String() {
		t.Errorf("got ready %v, reason %q; want false, %q", ready, why, lifecycle.Draining)
	}
	close(proceed)
	client.ReadUntilEOF()
}
