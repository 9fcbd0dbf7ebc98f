package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"shaleyard/internal/config"
	"shaleyard/internal/failover"
	"shaleyard/internal/lifecycle"
	"shaleyard/internal/nettest"
	"shaleyard/routing"
)

// harness is a program under test between scripted peers: a feed, a cache and the origin.
type harness struct {
	t             *testing.T
	program       *program
	cache, origin *nettest.Server
	discovery     *nettest.Server
	exited        chan error
}

const settingsJSON = `{"balancers":1,"dcs":["hub","here"],"kinds":["edge","parent","origin"],"zone":1,
 "registryMode":"automatic","weights":"rough","quantum":2000000,
 "services":[{"name":"media","aim":5000000000,"deadline":20000000000,"worth":2,"effect":"read_like"},
  {"name":"repayment","aim":5000000000,"deadline":20000000000,"worth":3,"effect":"non_idempotent"}],
 "ceilings":{"cancel":true,"maxAttempts":6,"secondCopies":true,"retryAfter":true,"maxRetryAfter":500000000,"connectTimeout":5000000000},
 "guarantees":{"cold":1000000000,"coldFrom":0.5,"fall":1000000000,"drainGrace":2000000000,"tipMultiple":2},
 "familyInfo":{"passOn":[false,true],"mergesFills":true,"flowKbPerS":1000,"masterKind":2,"secondTierKind":1,"notesGiven":"all",
  "purgeTakes":6000000000,"purgeSlack":500000000},
 "report":{"fields":["active"],"via":"inline"}}`

func endpointJSON(name, address, zone, kind, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"status":%q,"weight":4}`,
		name, address, zone, kind, status)
}

func membersEvent(n int, snapshot bool, list ...string) string {
	return fmt.Sprintf(`{"n":%d,"members":{"index":%d,"snapshot":%v,"endpoints":[%s]}}`, n, n, snapshot,
		strings.Join(list, ","))
}

// startProgram runs the program until the test ends. Its feed is accepted by the test.
func startProgram(t *testing.T) *harness {
	t.Helper()
	return startWithDescriptors(t, 1024)
}

// startWithDescriptors limits the program's descriptors.
func startWithDescriptors(t *testing.T, sockets int) *harness {
	t.Helper()
	return startWithLimits(t, sockets, io.Discard, nil)
}

// A plan that names sites which the platform does not have is logged, and the program starts and serves all the same.
func TestPlanThatCantBeMadeKeepsNobodyFromStarting(t *testing.T) {
	s := &harness{t: t, cache: nettest.Listen(t), origin: nettest.Listen(t), discovery: nettest.Listen(t)}
	c, err := config.Parse(s.configJSON(1024), 1024)
	if err != nil {
		t.Fatal(err)
	}
	for text, wishes := range map[string]failover.Overrides{
		"":                       {},
		"plan.forbid[0].lost":    {Forbids: []failover.Forbid{{Lost: "moon", To: "hub"}}},
		"plan.shares: the class": {ClassShares: map[string]float64{"media": 0.2, "repayment": 0.2}},
	} {
		var log strings.Builder
		p, err := newProgram(c, wishes, newLogger(&log, "", c.Name))
		if err != nil || p.discovery.Bootstrap(c.Bootstrap) != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if told := strings.Contains(log.String(), "no plan for lost sites"); told != (text != "") || !strings.Contains(log.String(), text) {
			t.Errorf("%q: log %q", text, log.String())
		}
	}
}

// startWithLimits starts the program with its log going to logTo and its limits changed.
func startWithLimits(t *testing.T, sockets int, logTo io.Writer, change func(*config.Limits)) *harness {
	t.Helper()
	s := &harness{t: t, cache: nettest.Listen(t), origin: nettest.Listen(t), discovery: nettest.Listen(t),
		exited: make(chan error, 1)}
	c, err := config.Parse(s.configJSON(sockets), 1024)
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&c.Limits)
	}
	if s.program, err = newProgram(c, failover.Overrides{}, newLogger(logTo, "", c.Name)); err != nil {
		t.Fatal(err)
	}
	if err := s.program.discovery.Bootstrap(c.Bootstrap); err != nil {
		t.Fatal(err)
	}
	up := make(chan struct{})
	s.program.eventLoop.Boot = func() { s.program.start(); close(up) }
	go func() { s.exited <- s.program.eventLoop.Run(c.ListenAddress) }()
	select {
	case <-up:
	case err := <-s.exited:
		t.Fatalf("ended at its start: %v", err)
	}
	t.Cleanup(s.program.eventLoop.Stop)
	return s
}

func (s *harness) configJSON(sockets int) []byte {
	known := membersEvent(1, true, endpointJSON("c1", s.cache.Addr(), "here", "edge", "ready"),
		endpointJSON("o", s.origin.Addr(), "hub", "origin", "ready"))
	return fmt.Appendf(nil, `{"name":"n1","listen":"127.0.0.1:0","feed":%q,"seed":"1",
		"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":{"n":1,"events":[%s]},"settings":%s}`,
		s.discovery.Addr(), sockets, known, settingsJSON)
}

func (s *harness) dial() *nettest.Conn { return nettest.Dial(s.t, s.program.eventLoop.Address()) }

func requestFields(class, ref string) []string {
	return []string{"service", class, "ref", ref, "allow", "15000", "lookup", "7f3a9c21e0b4d655", "chunk", "3",
		"tag", "17", "room", "412.5"}
}

const ref1, ref2, ref3 = "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42", "9b1f03aa5c7e2d43"

// withoutField drops what hangs on time from the FIELDS of a request.
func withoutField(fields, name string) string {
	var kept []string
	for f := range strings.SplitSeq(fields, ",") {
		if !strings.HasPrefix(f, name+"=") {
			kept = append(kept, f)
		}
	}
	return strings.Join(kept, ",")
}

func (s *harness) wantReply(got, want nettest.Reply) {
	s.t.Helper()
	if d := cmp.Diff(want, got); d != "" {
		s.t.Error(d)
	}
}

func TestAnswerReachesTheClientWhole(t *testing.T) {
	s := startProgram(t)
	cl := s.dial()
	cl.Submit(1, "", append(requestFields("media", ref1), "known", "tag1")...)
	c := s.cache.Accept()
	got := c.ReadCommand()
	if len(got) == 4 {
		got[2] = withoutField(got[2], "patience")
	}
	want := []string{"REQ", ref1, "sort=media,asset=7f3a9c21e0b4d655,slice=3,up=o,store=1,do=share,inm=tag1", ""}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	body := strings.Repeat("0123456789abcdef", 15_000)
	c.WriteArray(ref1, "OK", "n=HIT,rev=tag2,since=1764576000000,l=active:3", body)
	s.wantReply(cl.ReadReply(), nettest.Reply{Seq: 1, Body: body, Good: true})

	cl.Submit(2, "", append(requestFields("media", ref2), "known", "tag2")...)
	c.ReadCommand()
	c.WriteArray(ref2, "SAME", "n=HIT,rev=tag2,since=1764576000000", "")
	s.wantReply(cl.ReadReply(), nettest.Reply{Seq: 2, Good: true, Fields: map[string]string{"valid": "1"}})
}

// A flood meets a director that has just started: it takes as many requests as it can hope to answer, refuses the rest
// at once with a time of its own for each to come back, and takes twice as many when those are answered.
func TestFloodAfterAStartIsLetInAsAnswersCome(t *testing.T) {
	s := startWithLimits(t, 1024, io.Discard, func(l *config.Limits) { l.MaxConnsPerEndpoint = 1 })
	flood := func(cl *nettest.Conn, from, n int) {
		for i := range n {
			cl.Submit(int32(from+i), "", requestFields("media", fmt.Sprintf("%016x", 1000+from+i))...)
		}
	}
	const first, n = 16, 30
	one, two := s.dial(), s.dial()
	flood(one, 1, n)
	waits := map[string]bool{}
	refused := func(cl *nettest.Conn, n int) {
		t.Helper()
		for range n {
			r := cl.ReadReply()
			if r.Field != 1 || r.Fields["cooldown"] == "" {
				t.Fatalf("%+v, want a refusal that says when to come back", r)
			}
			waits[r.Fields["cooldown"]] = true
		}
	}
	refused(one, n-first)
	flood(two, 1, n)
	refused(two, n)
	if len(waits) < 20 {
		t.Errorf("%d different times to come back for %d clients", len(waits), 2*n-first)
	}
	c := s.cache.Accept()
	serve := func(n int) {
		t.Helper()
		for range n {
			c.WriteArray(c.ReadCommand()[1], "OK", "n=HIT,rev=t,since=1764576000000", "x")
		}
		for range n {
			if r := one.ReadReply(); !r.Good {
				t.Fatalf("%+v, want an answer", r)
			}
		}
	}
	serve(first)
	flood(one, n+1, n)
	serve(n)
}

// A reset behind a written repayment may have come after it ran: it must not be sent again, nor refused.
func TestRepaymentIsNotSentAgainAfterAReset(t *testing.T) {
	s := startProgram(t)
	cl := s.dial()
	cl.Submit(1, "pay", requestFields("repayment", ref1)...)
	c := s.cache.Accept()
	if got := c.ReadCommand(); got[3] != "pay" {
		t.Errorf("body %q", got[3])
	}
	c.Reset()
	s.wantReply(cl.ReadReply(), nettest.Reply{Seq: 1, Field: 2})
}

// A spoilt answer ends its connection, and a reset one what is open on it: that must be one attempt, so that a
// repayment does not fail with others' answers. The cache itself is not to blame: it is asked on.
func TestSpoiltAnswerEndsOneAttempt(t *testing.T) {
	s := startProgram(t)
	cl := s.dial()
	cl.Submit(1, "pay", requestFields("repayment", ref1)...)
	pay := s.cache.Accept()
	pay.ReadCommand()
	cl.Submit(2, "", requestFields("media", ref2)...)
	spoilt := s.cache.Accept()
	spoilt.ReadCommand()
	spoilt.Send("*4\r\n$noise")
	spoilt.ReadUntilClose()
	cl.Submit(3, "", requestFields("media", ref3)...)
	c := s.cache.Accept()
	if got := c.ReadCommand(); got[1] != ref3 {
		t.Errorf("the cache was asked for %s, want %s", got[1], ref3)
	}
	pay.WriteArray(ref1, "OK", "-", "paid")
	s.wantReply(cl.ReadReply(), nettest.Reply{Seq: 1, Body: "paid", Good: true})
}

// Refused connections prove that nothing ran: the repayment may be refused, which lets the client retry.
func TestRepaymentIsRefusedWhenItNeverRan(t *testing.T) {
	s := startProgram(t)
	s.cache.Close()
	s.origin.Close()
	cl := s.dial()
	cl.Submit(1, "pay", requestFields("repayment", ref1)...)
	if r := cl.ReadReply(); r.Field != 1 {
		t.Errorf("answer %+v, want a refusal", r)
	}
}

// A revoked request ends its attempts, and what its cache still answers goes to nobody.
func TestRevokeStopsTheAttempt(t *testing.T) {
	s := startProgram(t)
	cl := s.dial()
	cl.Submit(1, "", requestFields("media", ref1)...)
	c := s.cache.Accept()
	c.ReadCommand()
	cl.Revoke(1)
	if d := cmp.Diff([]string{"STOP", ref1}, c.ReadCommand()); d != "" {
		t.Error(d)
	}
	c.WriteArray(ref1, "OK", "n=HIT", "late")
	cl.Submit(2, "", requestFields("media", ref2)...)
	c.ReadCommand()
	c.WriteArray(ref2, "OK", "n=HIT", "in time")
	s.wantReply(cl.ReadReply(), nettest.Reply{Seq: 2, Body: "in time", Good: true})
}

func TestDeadClientEndsItsRequests(t *testing.T) {
	s := startProgram(t)
	cl := s.dial()
	cl.Submit(1, "", requestFields("media", ref1)...)
	c := s.cache.Accept()
	c.ReadCommand()
	cl.Reset()
	if d := cmp.Diff([]string{"STOP", ref1}, c.ReadCommand()); d != "" {
		t.Error(d)
	}
}

// What one connection brings must end neither another nor the program.
func TestBadInputEndsOnlyItsConnection(t *testing.T) {
	s := startProgram(t)
	good := s.dial()
	for _, junk := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x00", "\xff\xff\xff\xff", "\x00\x00\x00\x01\x80"} {
		bad := s.dial()
		bad.Send(junk)
		if got := bad.ReadUntilClose(); got != "" {
			t.Errorf("%q was answered %q", junk, got)
		}
	}
	good.Send(nettest.Frame(1, "nonsense", 1, nil))
	if r := good.ReadReply(); !r.Application || r.Seq != 1 {
		t.Errorf("unknown method: %+v", r)
	}
	good.Submit(2, "", "service", "media", "ref", "short")
	if r := good.ReadReply(); !r.Application || r.Seq != 2 {
		t.Errorf("bad fields: %+v", r)
	}
	good.Submit(3, "", requestFields("media", ref1)...)
	c := s.cache.Accept()
	c.ReadCommand()
	c.WriteArray(ref1, "WHAT", "-", "")
	c = s.cache.Accept() // not on the connection of the first try, where a second copy might still come
	c.ReadCommand()      // the bad answer failed its attempt; the origin or the cache is asked again
	c.WriteArray(ref1, "OK", "n=HIT", "x")
	s.wantReply(good.ReadReply(), nettest.Reply{Seq: 3, Body: "x", Good: true})
}

// The loop accepts with SO_REUSEPORT, which by itself would let two programs share an address unnoticed.
func TestAddressInUseIsAnError(t *testing.T) {
	s := startProgram(t)
	if err := s.program.eventLoop.Run(s.program.eventLoop.Address()); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("a second program on the address: %v", err)
	}
}

// Clients may hold a third of the descriptors. Those who fill the table and say nothing make room for those who
// speak, and nobody who waits for an answer goes.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	s := startWithDescriptors(t, 66)
	waiting := s.dial()
	waiting.Submit(1, "", requestFields("media", ref1)...)
	c := s.cache.Accept()
	c.ReadCommand()
	var silent []*nettest.Conn
	for range 50 {
		silent = append(silent, s.dial())
	}
	if r := s.dial().Heartbeat(1); r.Seq != 1 {
		t.Errorf("answer to call %d, want 1", r.Seq)
	}
	for _, c := range silent[:50-22] {
		c.ReadUntilClose()
	}
	c.WriteArray(ref1, "OK", "n=HIT", "x")
	s.wantReply(waiting.ReadReply(), nettest.Reply{Seq: 1, Body: "x", Good: true})
}

const descriptorLimitEnv = "SHALEYARD_TEST_DESCRIPTORS"

// TestMain is the program itself, with few descriptors, where a test has started it as such.
func TestMain(m *testing.M) {
	n, err := strconv.ParseUint(os.Getenv(descriptorLimitEnv), 10, 64)
	if err != nil {
		os.Exit(m.Run())
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
		panic(err)
	}
	os.Args = os.Args[:1]
	main()
}

// process is the program in a process of its own.
type process struct {
	*exec.Cmd
	t                   *testing.T
	configFile, address string // its configuration; where it listens
	lines               *bufio.Scanner
}

// newProcess prepares the program without starting it, so that a test can change its environment and descriptors first.
func newProcess(t *testing.T, program string, text []byte, descriptors int) *process {
	t.Helper()
	c := &process{Cmd: exec.Command(program), t: t, configFile: filepath.Join(t.TempDir(), "config.json")}
	c.writeConfig(text)
	c.Env = append(os.Environ(), fmt.Sprintf("%s=%d", descriptorLimitEnv, descriptors), "EDGE_CONFIG="+c.configFile,
		"GORACE=atexit_sleep_ms=0") // else the race detector holds each exit up for a second
	return c
}

// launch starts the program; its log is read from here on.
func (c *process) launch() {
	c.t.Helper()
	log, err := c.StderrPipe()
	if err != nil {
		c.t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { c.Process.Kill() })
	c.lines = bufio.NewScanner(log)
	c.lines.Buffer(nil, 1<<20)
}

// waitListening waits until the program accepts clients.
func (c *process) waitListening() {
	c.t.Helper()
	_, rest, _ := strings.Cut(c.waitForLog("listens on"), "listens on ")
	c.address, _, _ = strings.Cut(rest, `"`)
}

func startProcess(t *testing.T, text []byte, descriptors int) *process {
	t.Helper()
	c := newProcess(t, os.Args[0], text, descriptors)
	c.launch()
	c.waitListening()
	return c
}

func (c *process) writeConfig(text []byte) {
	c.t.Helper()
	if err := os.WriteFile(c.configFile, text, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func (c *process) signal(s os.Signal) { c.Process.Signal(s) }

// waitForLog waits for a line of the log that holds the text.
func (c *process) waitForLog(text string) string {
	c.t.Helper()
	last := "nothing"
	for c.lines.Scan() {
		if last = c.lines.Text(); strings.Contains(last, text) {
			return last
		}
	}
	c.t.Fatalf("the log ended without %q, behind %.300s", text, last)
	return ""
}

// stopGracefully ends it as planned: with status 0.
func (c *process) stopGracefully() {
	c.t.Helper()
	c.signal(syscall.SIGTERM)
	for c.lines.Scan() {
	}
	if err := c.Wait(); err != nil {
		c.t.Error(err)
	}
}

// A new configuration comes while requests are open. A bad file, or another director's, must change nothing;
// a good one moves the feed, behind the last event; and SIGHUP must not end the program.
func TestReloadMovesTheFeedAndKeepsRequests(t *testing.T) {
	s := &harness{t: t, cache: nettest.Listen(t), origin: nettest.Listen(t), discovery: nettest.Listen(t)}
	text := s.configJSON(256)
	child := startProcess(t, text, 256)
	old := s.discovery.Accept()
	old.ReadLine()
	old.Send(`{"n":2,"purge":{"group":3,"at":1}}` + "\n")
	cl := nettest.Dial(t, child.address)
	cl.Submit(1, "", requestFields("media", ref1)...)
	c := s.cache.Accept()
	c.ReadCommand()
	for _, bad := range []string{"{", strings.Replace(string(text), `"n1"`, `"n2"`, 1)} {
		child.writeConfig([]byte(bad))
		child.signal(syscall.SIGHUP)
		child.waitForLog("configuration kept as it was")
	}
	s.discovery = nettest.Listen(t)
	child.writeConfig(s.configJSON(256))
	child.signal(syscall.SIGHUP)
	if got := s.discovery.Accept().ReadLine(); got != "SUB 2" {
		t.Errorf("the new feed was asked %q", got)
	}
	if got := old.ReadUntilClose(); got != "" {
		t.Errorf("the old feed was told %q", got)
	}
	c.WriteArray(ref1, "OK", "n=HIT", "kept")
	s.wantReply(cl.ReadReply(), nettest.Reply{Seq: 1, Body: "kept", Good: true})
	child.stopGracefully()
}

// A burst of connections that waits in the backlog must not take the last descriptor: gnet's accept ends the
// engine then. Only a process of its own can run out of them.
func TestBurstOfConnectionsIsSurvived(t *testing.T) {
	s := &harness{t: t, cache: nettest.Listen(t), origin: nettest.Listen(t), discovery: nettest.Listen(t)}
	child := startProcess(t, s.configJSON(66), 66)
	address := child.address
	first := nettest.Dial(t, address)
	first.Heartbeat(1)
	child.signal(syscall.SIGSTOP)
	for range 200 {
		nettest.Dial(t, address)
	}
	child.signal(syscall.SIGCONT)
	first.Heartbeat(2)
	child.stopGracefully()
}

// As the program ends, clients that rest don't close their half, and others come in a flood: what lingers and what is
// new must together keep within the clients' share, or accept finds no descriptor and ends the program over an answer
// that is owed.
func TestFloodWhileTheProgramPartsIsSurvived(t *testing.T) {
	s := &harness{t: t, cache: nettest.Listen(t), origin: nettest.Listen(t), discovery: nettest.Listen(t)}
	child := startProcess(t, s.configJSON(66), 66)
	cl, resting := nettest.Dial(t, child.address), nettest.Dial(t, child.address)
	resting.Heartbeat(1)
	cl.Submit(1, "", requestFields("media", ref1)...)
	c := s.cache.Accept()
	c.ReadCommand()
	child.signal(syscall.SIGTERM)
	resting.ReadUntilEOF() // the program parts
	last := resting
	for range 100 {
		last = nettest.Dial(t, child.address)
	}
	last.ReadUntilClose() // it was accepted, and all before it
	c.WriteArray(ref1, "OK", "n=HIT", "owed")
	s.wantReply(cl.ReadReply(), nettest.Reply{Seq: 1, Body: "owed", Good: true})
	child.stopGracefully()
}

func TestRejectionsAreLoggedSparingly(t *testing.T) {
	var text strings.Builder
	failures := newConnectionFailures(newLogger(&text, "", "n1"), func() routing.Time { return time.Hour }) // a clock that stands
	for range 100 {
		failures.onConnectionRejected(io.ErrUnexpectedEOF)
	}
	if n := strings.Count(text.String(), "\n"); n != 1 || failures.rejected != 100 {
		t.Errorf("%d lines on %d rejections, want one on 100", n, failures.rejected)
	}
}

// After a loss the feed resumes behind the last event, and a new cache at an old address is another peer:
// nothing may go to it on the connections of the one that has gone.
func TestFeedResumesAndANewCacheIsAnotherPeer(t *testing.T) {
	s := startProgram(t)
	f := s.discovery.Accept()
	if got := f.ReadLine(); got != "SUB 1" {
		t.Errorf("subscribed with %q", got)
	}
	cl := s.dial()
	cl.Submit(1, "", requestFields("media", ref1)...)
	old := s.cache.Accept()
	old.ReadCommand()
	old.WriteArray(ref1, "OK", "n=HIT", "old")
	cl.ReadReply()
	f.Send(membersEvent(2, false, endpointJSON("c1", s.cache.Addr(), "here", "edge", "gone"),
		endpointJSON("c2", s.cache.Addr(), "here", "edge", "ready")) + "\nnonsense\n")
	f.ReadUntilClose()
	f = s.discovery.Accept()
	if got := f.ReadLine(); got != "SUB 2" {
		t.Errorf("resumed with %q", got)
	}
	if got := old.ReadUntilClose(); got != "" {
		t.Errorf("the cache that has gone got %q", got)
	}
	cl.Submit(2, "", requestFields("media", ref2)...)
	c := s.cache.Accept()
	c.ReadCommand()
	c.WriteArray(ref2, "OK", "n=HIT", "new")
	s.wantReply(cl.ReadReply(), nettest.Reply{Seq: 2, Body: "new", Good: true})
}

// A stop answers what was taken, and what still comes for a while, before the program ends without an error.
func TestStopAnswersWhatWasTaken(t *testing.T) {
	s := startProgram(t)
	f := s.discovery.Accept()
	f.ReadLine()
	cl := s.dial()
	if r := cl.Heartbeat(1); !r.Good {
		t.Error("not ready with the feed up")
	}
	cl.Submit(2, "", requestFields("media", ref1)...)
	c := s.cache.Accept()
	c.ReadCommand()
	stopping := make(chan struct{})
	s.program.eventLoop.Do(func() { s.program.lifecycle.stop(); close(stopping) })
	<-stopping
	if r := cl.Heartbeat(3); r.Good {
		t.Error("ready while stopping")
	}
	late := s.dial()
	late.Submit(1, "", requestFields("media", ref2)...)
	c2 := s.cache.Accept()
	c2.ReadCommand()
	c2.WriteArray(ref2, "OK", "n=HIT", "late")
	s.wantReply(late.ReadReply(), nettest.Reply{Seq: 1, Body: "late", Good: true})
	c.WriteArray(ref1, "OK", "n=HIT", "taken")
	s.wantReply(cl.ReadReply(), nettest.Reply{Seq: 2, Body: "taken", Good: true})
	if err := <-s.exited; err != nil {
		t.Error(err)
	}
}

// A client sends a request and then what is no message. The answer, which comes later, reaches it whole, and the
// connection ends behind it in good order: a close over what it had sent would have reset it.
func TestAnswerOutlivesABadStream(t *testing.T) {
	s := startProgram(t)
	cl := s.dial()
	cl.Submit(1, "", requestFields("media", ref1)...)
	c := s.cache.Accept()
	c.ReadCommand()
	cl.Send("\xff\xff\xff\xff" + strings.Repeat("junk", 5000))
	rejected := make(chan struct{})
	for done := false; !done; {
		s.program.eventLoop.Do(func() { done = s.program.failures.rejected > 0; rejected <- struct{}{} })
		<-rejected
	}
	c.WriteArray(ref1, "OK", "n=HIT", "whole")
	s.wantReply(cl.ReadReply(), nettest.Reply{Seq: 1, Body: "whole", Good: true})
	if rest := cl.ReadUntilEOF(); rest != "" {
		t.Errorf("%q behind the answer", rest)
	}
}

// Bytes cross the program's half-close at its end: the request is not taken, let alone sent on, and the connection is
// read until the client closes it, so that no reset takes the last answer with it.
func TestRequestBehindTheLastHalfCloseIsNotTaken(t *testing.T) {
	s := startWithLimits(t, 1024, io.Discard, func(l *config.Limits) {
		l.StopGracePeriod, l.StopAnswerDeadline, l.LingerTimeout = 10*time.Millisecond, 10*time.Second, 20*time.Second
		l.StopDeadline = 20 * time.Second
	})
	cl := s.dial()
	cl.Submit(1, "", requestFields("media", ref1)...)
	c := s.cache.Accept()
	c.ReadCommand()
	c.WriteArray(ref1, "OK", "n=HIT", "last")
	s.wantReply(cl.ReadReply(), nettest.Reply{Seq: 1, Body: "last", Good: true})
	s.program.eventLoop.Do(s.program.lifecycle.stop)
	if rest := cl.ReadUntilEOF(); rest != "" {
		t.Errorf("%q before the end", rest)
	}
	cl.Submit(2, "", requestFields("media", ref2)...)
	cl.Close()
	if err := <-s.exited; err != nil {
		t.Error(err)
	}
	if got := s.program.director.Counters.RequestsAccepted; got != 1 {
		t.Errorf("%d requests taken, want 1", got)
	}
	if got := s.program.downstream.Counters; got.DroppedBytes == 0 || got.LingersAborted != 0 {
		t.Errorf("%d bytes dropped, %d lingers cut; want some and none", got.DroppedBytes, got.LingersAborted)
	}
}

// A client reads slowly: as the program parts, the system holds an answer that the client has no room for. It can't know
// of our end, sends its next request long behind it, and still gets the answer whole.
func TestSlowReaderGetsItsAnswerBehindOurHalfClose(t *testing.T) {
	s := startWithLimits(t, 1024, io.Discard, func(l *config.Limits) {
		l.StopGracePeriod, l.StopAnswerDeadline, l.StopDeadline = 10*time.Millisecond, 10*time.Second, 20*time.Second
		l.LingerTimeout = 20 * time.Millisecond
	})
	cl := s.dial()
	cl.SetReadBuffer(16 << 10)
	body := strings.Repeat("0123456789abcdef", 15_000)
	cl.Submit(1, "", requestFields("media", ref1)...)
	c := s.cache.Accept()
	c.ReadCommand()
	c.WriteArray(ref1, "OK", "n=HIT", body)
	at := func(done func() bool) {
		for yes := make(chan bool, 1); ; {
			s.program.eventLoop.Do(func() { yes <- done() })
			select {
			case ok := <-yes:
				if ok {
					return
				}
			case err := <-s.exited: // too soon: the client shows what came of it
				s.exited <- err
				return
			}
		}
	}
	at(func() bool { return s.program.downstream.Counters.Answers == 1 })
	s.program.eventLoop.Do(s.program.lifecycle.stop)
	var parted time.Duration
	at(func() bool { parted = s.program.now(); return s.program.downstream.Counters.Lingering == 1 })
	at(func() bool { return s.program.now()-parted > 3*s.program.limits.LingerTimeout })
	cl.Submit(2, "", requestFields("media", ref2)...)
	s.wantReply(cl.ReadReply(), nettest.Reply{Seq: 1, Body: body, Good: true})
	cl.ReadUntilEOF()
	cl.Close()
	if err := <-s.exited; err != nil {
		t.Error(err)
	}
}

// SIGTERM may come while reloads wait behind one whose file takes long to read, and more of them than any channel holds.
func TestStopIsNotLostBehindReloads(t *testing.T) {
	s := startWithLimits(t, 1024, io.Discard, func(l *config.Limits) { l.StopGracePeriod = 10 * time.Millisecond })
	got := signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	reading, proceed := make(chan struct{}), make(chan struct{})
	s.program.handleSignals(got, func() (*config.Config, error) {
		close(reading)
		<-proceed
		return nil, errors.New("no file")
	})
	got.reload <- syscall.SIGHUP
	<-reading
	got.reload <- syscall.SIGHUP
	got.report <- syscall.SIGUSR1
	got.terminate <- syscall.SIGTERM
	if err := <-s.exited; err != nil {
		t.Error(err)
	}
	if s.program.reloader.failed != 0 {
		t.Errorf("%d reloads are through; the stop waited for them", s.program.reloader.failed)
	}
}

// Caches hang just as the program is told to end: what was taken from them is answered before the program is killed,
// and a request that still comes is refused at once.
func TestStopAnswersWhatHangs(t *testing.T) {
	s := startWithLimits(t, 1024, io.Discard, func(l *config.Limits) {
		l.StopGracePeriod, l.StopAnswerDeadline, l.StopDeadline = 10*time.Millisecond, 300*time.Millisecond, 20*time.Second
		l.NewConnGracePeriod, l.LingerTimeout = 10*time.Second, 10*time.Second // however late the test's own request comes
	})
	cl, second := s.dial(), s.dial()
	second.Heartbeat(1)
	cl.Submit(1, "", requestFields("media", ref1)...)
	s.cache.Accept().ReadCommand()
	s.program.eventLoop.Do(s.program.lifecycle.stop)
	parted := make(chan struct{})
	for done := false; !done; {
		s.program.eventLoop.Do(func() { done = s.program.lifecycle.machine.State() >= lifecycle.Closing; parted <- struct{}{} })
		<-parted
	}
	cl.Submit(2, "", requestFields("media", ref2)...)
	if r := cl.ReadReply(); r.Seq != 2 || r.Field != 1 {
		t.Errorf("behind the time for new work: %+v, want request 2 refused", r)
	}
	late := s.dial() // accepted, and not read yet, as the program parts
	late.Submit(1, "", requestFields("media", ref2)...)
	if r := late.ReadReply(); r.Seq != 1 || r.Field != 1 {
		t.Errorf("on a new connection: %+v, want its request refused", r)
	}
	late.Close()
	if r := cl.ReadReply(); r.Seq != 1 || r.Field != 1 {
		t.Errorf("at a cache that hangs: %+v, want request 1 refused", r)
	}
	cl.ReadUntilEOF()
	cl.Close()
	second.ReadUntilEOF()
	second.Close()
	if err := <-s.exited; err != nil {
		t.Error(err)
	}
}

// logLines passes on each line written to the log.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) {
	select {
	case l <- string(b):
	default: // nobody reads any more: the loop must not wait
	}
	return len(b), nil
}

// Directors in their hundreds are killed at the end of a day: counters written only at the exit were never
// seen, and nothing could be counted across the fleet. They are written as the program runs.
func TestCountersAreLoggedAsTheProgramRuns(t *testing.T) {
	logged := make(logLines, 64)
	startWithLimits(t, 1024, logged, func(l *config.Limits) { l.CountersInterval = 10 * time.Millisecond })
	late := time.After(20 * time.Second) // only so that a failure ends
	for seen := 0; seen < 2; {
		select {
		case line := <-logged:
			if strings.Contains(line, `"counters":{`) {
				seen++
			}
		case <-late:
			t.Fatalf("%d lines of counters while the program runs", seen)
		}
	}
}
