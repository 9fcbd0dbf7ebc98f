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

// faultInjector holds what is wrong with each link now.
type faultInjector struct {
	mu    sync.Mutex
	links map[string]map[int]fault
	conns map[*faultyConn]bool
}

func newFaultInjector() *faultInjector {
	return &faultInjector{links: map[string]map[int]fault{}, conns: map[*faultyConn]bool{}}
}

// set puts a fault on the links of some directors, or takes it off (kind ""). A cut or reset ends what is open.
func (f *faultInjector) set(link string, directors []int, x fault) {
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
				resetConn(w.Conn)
			}
		}
		if x.kind == "reset" {
			delete(f.links[link], d) // once
		}
	}
}

// faultOf is the fault that a connection suffers now. It is read by all that answer on the connection, while the one
// that reads from it may just have learnt whose it is.
func (f *faultInjector) faultOf(w *faultyConn) fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.links[w.link][w.director]
}

// faultyConn is a connection that suffers the faults of its link. The director behind it may become known later.
type faultyConn struct {
	net.Conn
	injector *faultInjector
	link     string
	director int // guarded by f.mu
}

func (f *faultInjector) wrap(c net.Conn, link string, director int) *faultyConn {
	w := &faultyConn{c, f, link, director}
	f.mu.Lock()
	f.conns[w] = true
	f.mu.Unlock()
	return w
}

func (f *faultInjector) forget(w *faultyConn) {
	f.mu.Lock()
	delete(f.conns, w)
	f.mu.Unlock()
}

// setDirector names the director, once it is known.
func (w *faultyConn) setDirector(director int) {
	w.injector.mu.Lock()
	w.director = director
	w.injector.mu.Unlock()
}

var errLinkCut = errors.New("the link is cut")

// delivers tells whether what was read has arrived.
func (w *faultyConn) delivers() bool {
	switch x := w.injector.faultOf(w); x.kind {
	case "cut":
		resetConn(w.Conn)
		return false
	case "silence":
		return false
	case "delay":
		time.Sleep(x.delay)
	}
	return true
}

// Write passes on what the link lets through.
func (w *faultyConn) Write(b []byte) (int, error) {
	x := w.injector.faultOf(w)
	switch x.kind {
	case "cut":
		resetConn(w.Conn)
		return 0, errLinkCut
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

// resetConn ends a connection so that the other side sees a resetConn.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}
