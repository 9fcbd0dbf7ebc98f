package lab

import (
	"net"
	"path/filepath"
	"testing"
	"time"
)

// A server that takes the address of one that is just going waits until that is free.
func TestReplacementWaitsForItsAddress(t *testing.T) {
	r, err := newRecorder(filepath.Join(t.TempDir(), "record.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	old, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	tried := make(chan struct{})
	time.AfterFunc(20*time.Millisecond, func() { old.Close(); close(tried) })
	s, err := (&Lab{record: r}).newServer("s-1", branchName(0), cacheTier, ServerSpec{Weight: 1}, old.Addr().(*net.TCPAddr), true)
	if err != nil {
		t.Fatal(err)
	}
	<-tried
	s.ln.Close()
	if err := r.close(); err != nil {
		t.Fatal(err)
	}
}
