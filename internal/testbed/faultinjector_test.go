package testbed

import (
	"net"
	"sync"
	"testing"
)

// A server learns which director a connection belongs to from the requests on it, while other goroutines write answers
// on the connection. From then on, the faults of this director's link must apply to all writes. Under the race
// detector the test also shows that setDirector and Write don't race.
func TestConnectionHasFaultsOfItsDirector(t *testing.T) {
	serverSide, directorSide := net.Pipe()
	defer serverSide.Close()
	defer directorSide.Close()
	injector := newFaultInjector()
	injector.set("caches", []int{3}, fault{kind: "silence"})
	injector.set("caches", []int{5}, fault{kind: "silence"})
	conn := injector.wrap(serverSide, "caches", 3)
	var writers sync.WaitGroup
	for range 4 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for range 200 {
				// Nothing reads from the pipe: a write that the link lets through would block forever.
				if n, err := conn.Write([]byte("answer")); n != 6 || err != nil {
					t.Errorf("write on a silenced link: got %d, %v, want 6, no error", n, err)
				}
			}
		}()
	}
	for i := range 200 {
		conn.setDirector(3 + 2*(i%2))
	}
	writers.Wait()
	injector.set("caches", []int{3, 5}, fault{})
	go func() { _, _ = conn.Write([]byte("x")) }()
	var buffer [1]byte
	if n, err := directorSide.Read(buffer[:]); n != 1 || err != nil {
		t.Errorf("read on a link without a fault: got %d bytes, error %v, want 1 byte, no error", n, err)
	}
}
