package testbed

import (
	"errors"
	"net"
	"sync"
	"time"
)

// fault is what is wrong with a link between one director and a group of stand-ins.
type fault struct {
	kind  string // cut, silence, one-way, delay, reset, drip
	delay time.Duration
}

// faults holds what is wrong with each link now.
type faults struct {
	mu    sync.Mutex
	links map[string]map[int]fault
	conns map[*wire]bool
}

func newFaults() *faults {
	return &faults{links: map[string]map[int]fault{}, conns: map[*wire]bool{}}
}

// set puts a fault on the links of some directors, or takes it off (kind ""). A cut or reset ends what is open.
func (f *faults) set(link string, directors []int, x fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links[link] == nil {
		f.links[link] = map[int]fault{}
	}
	for _, d := range directors {
		if x.kind == "" {
			delete(f.links[link], d)
			continue
		}
		f.links[link][d] = x
		for w := range f.conns {
			if w.link == link && w.director == d && (x.kind == "cut" || x.kind == "reset") {
				reset(w.Conn)
			}
		}
		if x.kind == "reset" {
			delete(f.links[link], d) // once
		}
	}
}

// of is the fault that a connection suffers now. It is read by all that answer on the connection, while the one
// that reads from it may just have learnt whose it is.
func (f *faults) of(w *wire) fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.links[w.link][w.director]
}

// wire is a connection that suffers the faults of its link. The director behind it may become known later.
type wire struct {
	net.Conn
	f        *faults
	link     string
	director int // guarded by f.mu
}

func (f *faults) wrap(c net.Conn, link string, director int) *wire {
	w := &wire{c, f, link, director}
	f.mu.Lock()
	f.conns[w] = true
	f.mu.Unlock()
	return w
}

func (f *faults) drop(w *wire) {
	f.mu.Lock()
	delete(f.conns, w)
	f.mu.Unlock()
}

// belongs names the director, once it is known.
func (w *wire) belongs(director int) {
	w.f.mu.Lock()
	w.director = director
	w.f.mu.Unlock()
}

var errCut = errors.New("the link is cut")

// arrives tells whether what was read has arrived.
func (w *wire) arrives() bool {
	switch x := w.f.of(w); x.kind {
	case "cut":
		reset(w.Conn)
		return false
	case "silence":
		return false
	case "delay":
		time.Sleep(x.delay)
	}
	return true
}

// Write passes on what the link lets through.
func (w *wire) Write(b []byte) (int, error) {
	x := w.f.of(w)
	switch x.kind {
	case "cut":
		reset(w.Conn)
		return 0, errCut
	case "silence", "one-way":
		return len(b), nil
	case "delay":
		time.Sleep(x.delay)
	case "drip":
		for i := range b {
			if _, err := w.Conn.Write(b[i : i+1]); err != nil {
				return i, err
			}
			time.Sleep(max(x.delay, time.Millisecond))
		}
		return len(b), nil
	}
	return w.Conn.Write(b)
}

// reset ends a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}
