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

// counter has the process log its counters, and returns one of them.
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
		p.process.t.Fatalf("no counter %s", name)
		return 0
	}
}

// clientConnections is how many client connections the process holds.
func (p *operatedProcess) clientConnections() int { return p.counter("downstream_conns") }

// drain requests a drain and returns when that was.
func (p *operatedProcess) drain() time.Time {
	p.process.t.Helper()
	drainedAt := time.Now()
	if !p.call(http.MethodPut, "/healthcheck/fail") {
		p.process.t.Fatal("the drain was refused")
	}
	return drainedAt
}

// wantDrained waits for the end of a drain. No connection of a client may be left then, and the process must not be
// ready.
func (p *operatedProcess) wantDrained(since time.Time) {
	p.process.t.Helper()
	time.Sleep(time.Until(since.Add(drainLimit)))
	if p.call(http.MethodGet, "/healthcheck") {
		p.process.t.Error("ready while drained")
	}
	// A line of counters that was logged before may come first.
	for conns := p.clientConnections(); conns > 0; conns = p.clientConnections() {
		if time.Since(since) > drainLimit+time.Second {
			p.process.t.Fatalf("%d client connections are held after the drain", conns)
		}
	}
}

// cancelDrain ends a drain and waits until the process is ready.
func (p *operatedProcess) cancelDrain() {
	p.process.t.Helper()
	if !p.call(http.MethodPut, "/healthcheck/ok") {
		p.process.t.Fatal("the drain was not cancelled")
	}
	p.waitReady(readyAfterResume, true)
}

// A drain coincides with other events of the process and its clients; each order keeps the terms.
func TestDrainMeetsWhatElseHappens(t *testing.T) {
	for name, play := range map[string]func(t *testing.T, proc *operatedProcess){
		"a new configuration during it": func(t *testing.T, proc *operatedProcess) {
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
		"a stop after it": func(t *testing.T, proc *operatedProcess) {
			waiting, idle := proc.connect(), proc.connect()
			waiting.Submit(1, "", requestFields("media", ref1)...)
			cache := proc.cache.Accept()
			cache.ReadCommand()
			idle.Heartbeat(1)
			proc.drain()
			proc.signal(syscall.SIGTERM)
			proc.waitForLog(`"to":"stopping"`)
			if proc.status(http.MethodPut, "/healthcheck/ok") == http.StatusOK {
				t.Error("a process that stops was called back to work")
			}
			cache.WriteArray(ref1, "OK", "n=HIT", "owed")
			proc.wantReply(waiting.ReadReply(), nettest.Reply{Seq: 1, Body: "owed", Good: true})
			waiting.ReadUntilEOF()
			waiting.Close()
			idle.ReadUntilEOF()
			idle.Close()
			proc.waitForLog(`"to":"ended"`)
		},
		"cancelled at once, and requested again": func(t *testing.T, proc *operatedProcess) {
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
		"a client that writes slowly": func(t *testing.T, proc *operatedProcess) {
			client := proc.connect()
			text := nettest.SubmitFrame(1, "", requestFields("media", ref1)...)
			client.Send(text[:30])
			drainedAt := proc.drain()
			time.Sleep(1700 * time.Millisecond) // within its 2 s
			client.Send(text[30:])
			if reply := client.ReadReply(); reply.Seq != 1 || reply.Field != 1 || reply.Fields["cooldown"] == "" {
				t.Errorf("%+v, want request 1 refused, with a time to stay away", reply)
			}
			client.ReadUntilEOF()
			client.Close()
			proc.wantDrained(drainedAt)
		},
		"a client that comes in spite of it": func(t *testing.T, proc *operatedProcess) {
			drainedAt := proc.drain()
			time.Sleep(250 * time.Millisecond) // the load balancer has heard of it by then
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
				t.Errorf("%+v, want a refusal", reply)
			}
			later.ReadUntilEOF()
			later.Close()
			proc.wantDrained(drainedAt)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play(t, startOperated(t))
		})
	}
}

// A client that reads none of its answers holds its connection no longer than others.
func TestDrainEndsAClientThatDoesNotRead(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 15_000)
	cache := serveTCP(t, respondingCache(0, body))
	proc := startOperatedWith(t, func(text string, env *harness) string {
		return strings.ReplaceAll(text, env.cache.Addr(), cache)
	})
	client := proc.connect()
	client.SetReadBuffer(4 << 10)
	const answers = 24 // more than the system takes for a client
	for seq := int32(1); proc.counter("Answers") < answers; seq++ {
		if seq > 20*answers {
			t.Fatal("requests are not answered")
		}
		client.Submit(seq, "", requestFields("media", fmt.Sprintf("%016x", seq))...)
	}
	drainedAt := proc.drain()
	if conns := proc.counter("downstream_conns"); conns != 1 {
		t.Errorf("%d client connections are held at the start of the drain, want 1", conns)
	}
	proc.wantDrained(drainedAt)
}

// A drain that is requested while the process starts holds also once the list service is waited for no longer, until it
// is cancelled.
func TestDrainDuringTheStart(t *testing.T) {
	env := newHarness(t)
	env.discovery.Close() // so that the list service is waited for in vain
	proc := launchOperated(t, os.Args[0], env, env.configJSON(256))
	if proc.call(http.MethodGet, "/healthcheck") {
		t.Error("ready without the list")
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

// The event loop is stalled: operators' calls are answered all the same, the process is not ready, and a drain that is
// requested meanwhile is carried out as soon as the loop runs.
func TestOperatorsAreAnsweredWhileTheLoopStandsStill(t *testing.T) {
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
			t.Fatal("ready though the event loop is stalled")
		}
	}
	operators.Drain()
	if ready, why := operators.Ready(); ready || why != lifecycle.Draining.String() {
		t.Errorf("ready %v: %s", ready, why)
	}
	close(proceed)
	client.ReadUntilEOF()
}
