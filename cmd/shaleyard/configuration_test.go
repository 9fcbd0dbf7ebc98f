package main

import (
	"strings"
	"syscall"
	"testing"

	"shaleyard/internal/config"
	"shaleyard/internal/failover"
	"shaleyard/internal/nettest"
)

// TestInvalidPlanDoesNotPreventStart checks that plan overrides which name unknown sites or don't fit the classes are
// logged, and that the program can be created and bootstrapped anyway.
func TestInvalidPlanDoesNotPreventStart(t *testing.T) {
	env := newHarness(t)
	conf, err := config.Parse(env.configJSON(1024), 1024)
	if err != nil {
		t.Fatal(err)
	}
	for wantLogged, overrides := range map[string]failover.Overrides{
		"":                       {},
		"plan.forbid[0].lost":    {Forbids: []failover.Forbid{{Lost: "moon", To: "hub"}}},
		"plan.shares: the class": {ClassShares: map[string]float64{"media": 0.2, "repayment": 0.2}},
	} {
		var log strings.Builder
		prog, err := newProgram(conf, overrides, newLogger(&log, "", conf.Name))
		if err != nil || prog.discovery.Bootstrap(conf.Bootstrap) != nil {
			t.Fatalf("%q: newProgram or Bootstrap failed: %v", wantLogged, err)
		}
		logged := strings.Contains(log.String(), "no plan for lost sites")
		if logged != (wantLogged != "") || !strings.Contains(log.String(), wantLogged) {
			t.Errorf("got log %q, want a failed plan with %q", log.String(), wantLogged)
		}
	}
}

// TestReloadRedirectsWatchAndKeepsRequests reloads the configuration by SIGHUP while a request is open. An invalid
// file, or one for another director, must change nothing. A valid file must redirect the watch to the new address,
// where it resumes after the last applied event. The request must still be answered, and SIGHUP must not end the
// program.
func TestReloadRedirectsWatchAndKeepsRequests(t *testing.T) {
	env := newHarness(t)
	text := env.configJSON(256)
	child := startProcess(t, text, 256)
	oldWatch := env.discovery.Accept()
	oldWatch.ReadLine()
	oldWatch.Send(`{"n":2,"purge":{"group":3,"at":1}}` + "\n")
	client := nettest.Dial(t, child.address)
	client.Submit(1, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	for _, bad := range []string{"{", strings.Replace(string(text), `"n1"`, `"n2"`, 1)} {
		child.writeConfig([]byte(bad))
		child.signal(syscall.SIGHUP)
		child.waitForLog("configuration rejected, keeping the current one")
	}
	env.discovery = nettest.Listen(t)
	child.writeConfig(env.configJSON(256))
	child.signal(syscall.SIGHUP)
	if got := env.discovery.Accept().ReadLine(); got != "SUB 2" {
		t.Errorf("the new discovery service received %q, want %q", got, "SUB 2")
	}
	if got := oldWatch.ReadUntilClose(); got != "" {
		t.Errorf("the old discovery service received %q, want nothing", got)
	}
	cacheConn.WriteArray(ref1, "OK", "n=HIT", "kept")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 1, Body: "kept", Good: true})
	child.stopGracefully()
}

// TestWatchResumesAndReplacedCacheGetsNewConnection checks that a lost watch resumes after the last applied event, and
// that a new cache at the address of a removed cache is a different endpoint: requests to the new cache must not be
// sent on connections to the removed one.
func TestWatchResumesAndReplacedCacheGetsNewConnection(t *testing.T) {
	env := startProgram(t)
	watch := env.discovery.Accept()
	if got := watch.ReadLine(); got != "SUB 1" {
		t.Errorf("subscribed with %q, want %q", got, "SUB 1")
	}
	client := env.dial()
	client.Submit(1, "", requestFields("media", ref1)...)
	oldConn := env.cache.Accept()
	oldConn.ReadCommand()
	oldConn.WriteArray(ref1, "OK", "n=HIT", "old")
	client.ReadReply()
	watch.Send(membersEvent(2, false, endpointJSON("c1", env.cache.Addr(), "here", "edge", "gone"),
		endpointJSON("c2", env.cache.Addr(), "here", "edge", "ready")) + "\nnonsense\n")
	watch.ReadUntilClose()
	watch = env.discovery.Accept()
	if got := watch.ReadLine(); got != "SUB 2" {
		t.Errorf("resumed with %q, want %q", got, "SUB 2")
	}
	if got := oldConn.ReadUntilClose(); got != "" {
		t.Errorf("the removed cache received %q, want nothing", got)
	}
	client.Submit(2, "", requestFields("media", ref2)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	cacheConn.WriteArray(ref2, "OK", "n=HIT", "new")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 2, Body: "new", Good: true})
}
