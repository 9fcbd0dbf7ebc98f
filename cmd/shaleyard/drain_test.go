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

// counter asks the process for its counters and gives one of them.
func (o *operatedProcess) counter(name string) int {
	o.process.t.Helper()
	o.signal(syscall.SIGUSR1)
	var line struct {
		Counters struct {
			Conns      int `json:"downstream_conns"`
			Downstream struct{ Answers int }
		} `json:"counters"`
	}
	if err := json.Unmarshal([]byte(o.waitForLog(`"msg":"counters"`)), &line); err != nil {
		o.process.t.Fatal(err)
	}
	return map[string]int{"downstream_conns": line.Counters.Conns, "Answers": line.Counters.Downstream.Answers}[name]
}

// clientConnections is how many client connections the process holds.
func (o *operatedProcess) clientConnections() int { return o.counter("downstream_conns") }

// drain tells the process to drain and returns when that was.
func (o *operatedProcess) drain() time.Time {
	o.process.t.Helper()
	at := time.Now()
	if !o.call(http.MethodPut, "/healthcheck/fail") {
		o.process.t.Fatal("the drain was refused")
	}
	return at
}

// wantDrained waits for the end of a drain, and tells whether no client is held then and the process still says no.
func (o *operatedProcess) wantDrained(since time.Time) {
	o.process.t.Helper()
	time.Sleep(time.Until(since.Add(drainLimit))) // the term is a time
	if o.call(http.MethodGet, "/healthcheck") {
		o.process.t.Error("ready while drained")
	}
	for n := o.clientConnections(); n > 0; n = o.clientConnections() { // a line that was written before may come first
		if time.Since(since) > drainLimit+time.Second {
			o.process.t.Fatalf("%d client connections are held behind the drain", n)
		}
	}
}

// taken ends a drain and waits until the process is ready.
func (o *operatedProcess) cancelDrain() {
	o.process.t.Helper()
	if !o.call(http.MethodPut, "/healthcheck/ok") {
		o.process.t.Fatal("the drain was not taken back")
	}
	o.waitReady(readyAfterResume, true)
}

// A drain meets what else happens to the process and its clients; each order keeps the terms.
func TestDrainMeetsWhatElseHappens(t *testing.T) {
	for name, play := range map[string]func(t *testing.T, o *operatedProcess){
		"a new configuration amid": func(t *testing.T, o *operatedProcess) {
			idle := o.connect()
			idle.Heartbeat(1)
			at := o.drain()
			o.process.writeConfig(o.harness.configJSON(256))
			o.signal(syscall.SIGHUP)
			o.waitForLog("configuration read anew")
			idle.ReadUntilEOF()
			idle.Close()
			o.wantDrained(at)
			o.cancelDrain()
		},
		"a stop behind it": func(t *testing.T, o *operatedProcess) {
			waiting, idle := o.connect(), o.connect()
			waiting.Submit(1, "", requestFields("media", ref1)...)
			cache := o.cache.Accept()
			cache.ReadCommand()
			idle.Heartbeat(1)
			o.drain()
			o.signal(syscall.SIGTERM)
			o.waitForLog(`"to":"stopping"`)
			if o.status(http.MethodPut, "/healthcheck/ok") == http.StatusOK {
				t.Error("a process that stops was called back to work")
			}
			cache.WriteArray(ref1, "OK", "n=HIT", "owed")
			o.wantReply(waiting.ReadReply(), nettest.Reply{Seq: 1, Body: "owed", Good: true})
			waiting.ReadUntilEOF()
			waiting.Close()
			idle.ReadUntilEOF()
			idle.Close()
			o.waitForLog(`"to":"ended"`)
		},
		"taken back at once, and drained again": func(t *testing.T, o *operatedProcess) {
			cl := o.connect()
			for seq := range int32(5) {
				o.drain()
				if cl.Heartbeat(2 * seq).Good {
					t.Error("ready by heartbeat while drained")
				}
				o.cancelDrain()
				if !cl.Heartbeat(2*seq + 1).Good {
					t.Error("not ready by heartbeat behind the drain")
				}
			}
			at := o.drain()
			cl.ReadUntilEOF()
			cl.Close()
			o.wantDrained(at)
			o.cancelDrain()
		},
		"a client that writes slowly": func(t *testing.T, o *operatedProcess) {
			cl := o.connect()
			text := nettest.SubmitFrame(1, "", requestFields("media", ref1)...)
			cl.Send(text[:30])
			at := o.drain()
			time.Sleep(1700 * time.Millisecond) // amid its 2 s
			cl.Send(text[30:])
			if r := cl.ReadReply(); r.Seq != 1 || r.Field != 1 || r.Fields["cooldown"] == "" {
				t.Errorf("%+v, want request 1 refused, with a time to stay away", r)
			}
			cl.ReadUntilEOF()
			cl.Close()
			o.wantDrained(at)
		},
		"a client that comes in spite of it": func(t *testing.T, o *operatedProcess) {
			at := o.drain()
			time.Sleep(250 * time.Millisecond) // the front has heard of it by then
			late := o.connect()
			late.Submit(1, "", requestFields("media", ref1)...)
			cache := o.cache.Accept()
			cache.WriteArray(cache.ReadCommand()[1], "OK", "n=HIT", "late")
			o.wantReply(late.ReadReply(), nettest.Reply{Seq: 1, Body: "late", Good: true})
			late.ReadUntilEOF()
			late.Close()
			time.Sleep(time.Until(at.Add(2 * time.Second)))
			later := o.connect()
			later.Submit(1, "", requestFields("media", ref2)...)
			if r := later.ReadReply(); r.Field != 1 {
				t.Errorf("%+v, want a refusal", r)
			}
			later.ReadUntilEOF()
			later.Close()
			o.wantDrained(at)
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
	o := startOperatedWith(t, func(text string, s *harness) string { return strings.ReplaceAll(text, s.cache.Addr(), cache) })
	cl := o.connect()
	cl.SetReadBuffer(4 << 10)
	const answers = 24 // more than the system takes for a client
	for seq := int32(1); o.counter("Answers") < answers; seq++ {
		if seq > 20*answers {
			t.Fatal("requests are not answered")
		}
		cl.Submit(seq, "", requestFields("media", fmt.Sprintf("%016x", seq))...)
	}
	at := o.drain()
	if n := o.counter("downstream_conns"); n != 1 {
		t.Errorf("%d client connections are held at the start of the drain, want 1", n)
	}
	o.wantDrained(at)
}

// A drain that is asked for while the process starts holds once the list of servers is there, until it is taken back.
func TestDrainDuringTheStart(t *testing.T) {
	s := &harness{t: t, cache: nettest.Listen(t), origin: nettest.Listen(t), discovery: nettest.Listen(t)}
	s.discovery.Close() // the list is waited for in vain
	o := &operatedProcess{process: newProcess(t, os.Args[0], s.configJSON(256), 256), harness: s, operators: unusedAddress(t)}
	o.Env = append(o.Env, "EDGE_OPERATOR="+o.operators)
	o.launch()
	o.waitListening()
	if o.call(http.MethodGet, "/healthcheck") {
		t.Error("ready without the list")
	}
	o.drain()
	cl := o.connect()
	for begun := time.Now(); time.Since(begun) < 2500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		if o.call(http.MethodGet, "/healthcheck") {
			t.Fatal("ready while drained")
		}
	}
	cl.ReadUntilEOF()
	cl.Close()
	o.cancelDrain()
}

// The event loop stands still: operators' calls are answered all the same, the process is not ready, and a drain that is
// asked for meanwhile is carried out as soon as the loop runs.
func TestOperatorsAreAnsweredWhileTheLoopStandsStill(t *testing.T) {
	s := startWithLimits(t, 256, io.Discard, func(l *config.Limits) { l.LoopStallThreshold = 50 * time.Millisecond })
	o := &operatorAPI{program: s.program}
	o.booted.Store(true)
	f := s.discovery.Accept()
	f.ReadLine()
	cl := s.dial()
	cl.Heartbeat(1)
	stands, goOn := make(chan struct{}), make(chan struct{})
	s.program.eventLoop.Do(func() { close(stands); <-goOn })
	<-stands
	for begun := time.Now(); ; {
		if ready, _ := o.Ready(); !ready {
			break
		}
		if time.Since(begun) > operatorCallTimeout {
			t.Fatal("ready though the loop stands still")
		}
	}
	o.Drain()
	if ready, why := o.Ready(); ready || why != lifecycle.Draining.String() {
		t.Errorf("ready %v: %s", ready, why)
	}
	close(goOn)
	cl.ReadUntilEOF()
}
