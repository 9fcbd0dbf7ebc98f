package testbed

import (
	"net"
	"path/filepath"
	"testing"
	"time"
)

// A replacement server must retry while the old server's socket still holds the address. The address stays in use for a
// moment after the old listener is closed; here it is closed 20 ms after the replacement starts.
func TestReplacementWaitsForItsAddress(t *testing.T) {
	history, err := newHistoryWriter(filepath.Join(t.TempDir(), "record.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	old, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	oldClosed := make(chan struct{})
	time.AfterFunc(20*time.Millisecond, func() { old.Close(); close(oldClosed) })
	testbed, addr := &Testbed{history: history}, old.Addr().(*net.TCPAddr)
	standIn, err := testbed.newServer("s-1", branchName(0), cacheTier, ServerSpec{Weight: 1}, addr, true)
	if err != nil {
		t.Fatal(err)
	}
	<-oldClosed
	standIn.listener.Close()
	if err := history.close(); err != nil {
		t.Fatal(err)
	}
}

// A purge must remove the object's copies from before the purge and keep newer copies, which a server may fetch before
// it processes a late purge. Copies of other objects stay.
func TestPurgeRemovesOlderCopies(t *testing.T) {
	at := time.Now()
	standIn := &server{
		cached: map[string]cachedCopy{"a/0": {since: at.Add(-time.Second)}, "a/1": {since: at.Add(time.Second)},
			"b/0": {since: at.Add(-time.Second)}},
	}
	standIn.purge("a", at)
	if _, old := standIn.cached["a/0"]; old || len(standIn.cached) != 2 {
		t.Errorf("copies after the purge: %v, want a/1 and b/0", standIn.cached)
	}
}
