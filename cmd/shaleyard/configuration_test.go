package main

import (
	"strings"
	"syscall"
	"testing"

	"shaleyard/internal/config"
	"shaleyard/internal/failover"
	"shaleyard/internal/nettest"
)

// A plan that names sites which the platform does not have is logged, and the program starts and serves all the same.
func TestPlanThatCantBeMadeKeepsNobodyFromStarting(t *testing.T) {
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
			t.Fatalf("%s: %v", wantLogged, err)
		}
		logged := strings.Contains(log.String(), "no plan for lost sites")
		if logged != (wantLogged != "") || !strings.Contains(log.String(), wantLogged) {
			t.Errorf("%q: log %q", wantLogged, log.String())
		}
	}
}

// A new configuration comes while requests are open. A bad file, or another director's, must change nothing;
// a good one moves the watch to another address, from the last event on; and SIGHUP must not end the program.
func TestReloadMovesTheFeedAndKeepsRequests(t *testing.T) {
	env := newHarness(t)
	text := env.configJSON(256)
	child := startProcess(t, text, 256)
	old := env.discovery.Accept()
	old.ReadLine()
	old.Send(`{"n":2,"purge":{"group":3,"at":1}}` + "\n")
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
		t.Errorf("the new feed was asked %q", got)
	}
	if got := old.ReadUntilClose(); got != "" {
		t.Errorf("the old feed was told %q", got)
	}
	cacheConn.WriteArray(ref1, "OK", "n=HIT", "kept")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 1, Body: "kept", Good: true})
	child.stopGracefully()
}

// After a loss the watch resumes from the last event on, and a new cache at an old address is another endpoint: nothing
// may go to it on the connections of the one that has gone.
func TestFeedResumesAndANewCacheIsAnotherPeer(t *testing.T) {
	env := startProgram(t)
	watch := env.discovery.Accept()
	if got := watch.ReadLine(); got != "SUB 1" {
		t.Errorf("subscribed with %q", got)
	}
	client := env.dial()
	client.Submit(1, "", requestFields("media", ref1)...)
	old := env.cache.Accept()
	old.ReadCommand()
	old.WriteArray(ref1, "OK", "n=HIT", "old")
	client.ReadReply()
	watch.Send(membersEvent(2, false, endpointJSON("c1", env.cache.Addr(), "here", "edge", "gone"),
		endpointJSON("c2", env.cache.Addr(), "here", "edge", "ready")) + "\nnonsense\n")
	watch.ReadUntilClose()
	watch = env.discovery.Accept()
	if got := watch.ReadLine(); got != "SUB 2" {
		t.Errorf("resumed with %q", got)
	}
	if got := old.ReadUntilClose(); got != "" {
		t.Errorf("the cache that has gone got %q", got)
	}
	client.Submit(2, "", requestFields("media", ref2)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	cacheConn.WriteArray(ref2, "OK", "n=HIT", "new")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 2, Body: "new", Good: true})
}
