package testbed

import (
	"net"
	"path/filepath"
	"testing"
	"time"
)

// A server that takes the address of one that is just going waits until that is free.
func TestReplacementWaitsForItsAddress(t *testing.T) {
	history, err := newHistoryWriter(filepath.Join(t.TempDir(), "record.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	old, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	tried := make(chan struct{})
	time.AfterFunc(20*time.Millisecond, func() { old.Close(); close(tried) })
	testbed, addr := &Testbed{history: history}, old.Addr().(*net.TCPAddr)
	standIn, err := testbed.newServer("s-1", branchName(0), cacheTier, ServerSpec{Weight: 1}, addr, true)
	if err != nil {
		t.Fatal(err)
	}
	<-tried
	standIn.listener.Close()
	if err := history.close(); err != nil {
		t.Fatal(err)
	}
}

// A purge takes away copies from before it, also where it is heeded late; newer ones stay.
func TestPurgeTakesOlderCopies(t *testing.T) {
	at := time.Now()
	standIn := &server{
		cached: map[string]cachedCopy{"a/0": {since: at.Add(-time.Second)}, "a/1": {since: at.Add(time.Second)},
			"b/0": {since: at.Add(-time.Second)}},
	}
	standIn.purge("a", at)
	if _, old := standIn.cached["a/0"]; old || len(standIn.cached) != 2 {
		t.Errorf("left: %v", standIn.cached)
	}
}
