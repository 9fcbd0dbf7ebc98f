package testbed

import (
	"net"
	"sync"
	"testing"
)

// A connection suffers the faults of its director from the moment that it is known whose it is, though answers are
// being written on it by others just then (under the race detector: without a race).
func TestConnectionSuffersTheFaultsOfItsDirector(t *testing.T) {
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	injector := newFaultInjector()
	injector.set("caches", []int{3}, fault{kind: "silence"})
	injector.set("caches", []int{5}, fault{kind: "silence"})
	w := injector.wrap(here, "caches", 3)
	var writers sync.WaitGroup
	for range 4 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for range 200 {
				// Nobody reads from the pipe: a write that is let through would never end.
				if n, err := w.Write([]byte("answer")); n != 6 || err != nil {
					t.Errorf("%d, %v", n, err)
				}
			}
		}()
	}
	for i := range 200 {
		w.setDirector(3 + 2*(i%2))
	}
	writers.Wait()
	injector.set("caches", []int{3, 5}, fault{})
	go func() { _, _ = w.Write([]byte("x")) }()
	var b [1]byte
	if n, err := there.Read(b[:]); n != 1 || err != nil {
		t.Errorf("a link that is well lets nothing through: %d, %v", n, err)
	}
}
