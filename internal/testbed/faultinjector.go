package testbed

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Kinds of faults of a link.
const (
	faultNone    = ""
	faultCut     = "cut"     // connections are reset, and nothing passes
	faultSilence = "silence" // nothing passes, in either direction
	faultOneWay  = "one-way" // nothing passes from the stand-in to the director
	faultDelay   = "delay"
	faultReset   = "reset" // open connections are reset, once
	faultDrip    = "drip"  // a byte at a time
)

// fault is what is wrong with a link between one director and a group of stand-ins.
type fault struct {
	kind  string
	delay time.Duration
}

// faultInjector holds what is wrong with each link now.
type faultInjector struct {
	mu    sync.Mutex
	links map[string]map[int]fault // by link and director
	conns map[*faultyConn]bool
}

func newFaultInjector() *faultInjector {
	return &faultInjector{links: map[string]map[int]fault{}, conns: map[*faultyConn]bool{}}
}

// set puts a fault on the links of some directors, or takes it off (faultNone). A cut or reset ends what is open.
func (i *faultInjector) set(link string, directors []int, new fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.links[link] == nil {
		i.links[link] = map[int]fault{}
	}
	for _, director := range directors {
		if new.kind == faultNone {
			delete(i.links[link], director)
			continue
		}
		if new.kind == faultCut || new.kind == faultReset {
			i.resetConns(link, director)
		}
		i.links[link][director] = new
		if new.kind == faultReset {
			delete(i.links[link], director) // once
		}
	}
}

// resetConns is called with the lock held.
func (i *faultInjector) resetConns(link string, director int) {
	for conn := range i.conns {
		if conn.link == link && conn.director == director {
			resetConn(conn.Conn)
		}
	}
}

// faultOf is the fault that a connection suffers now. It is read by all that answer on the connection, while the one
// that reads from it may just have learnt whose it is.
func (i *faultInjector) faultOf(conn *faultyConn) fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.links[conn.link][conn.director]
}

// faultyConn is a connection that suffers the faults of its link. The director behind it may become known later.
type faultyConn struct {
	net.Conn
	injector *faultInjector
	link     string
	director int // guarded by injector.mu
}

func (i *faultInjector) wrap(conn net.Conn, link string, director int) *faultyConn {
	wrapped := &faultyConn{Conn: conn, injector: i, link: link, director: director}
	i.mu.Lock()
	i.conns[wrapped] = true
	i.mu.Unlock()
	return wrapped
}

func (i *faultInjector) forget(conn *faultyConn) {
	i.mu.Lock()
	delete(i.conns, conn)
	i.mu.Unlock()
}

// setDirector names the director, once it is known.
func (c *faultyConn) setDirector(director int) {
	c.injector.mu.Lock()
	c.director = director
	c.injector.mu.Unlock()
}

var errLinkCut = errors.New("the link is cut")

// delivers reports whether what was read has arrived.
func (c *faultyConn) delivers() bool {
	new := c.injector.faultOf(c)
	switch new.kind {
	case faultCut:
		resetConn(c.Conn)
		return false
	case faultSilence:
		return false
	case faultDelay:
		time.Sleep(new.delay)
	}
	return true
}

// Write passes on what the link lets through.
func (c *faultyConn) Write(buffer []byte) (int, error) {
	new := c.injector.faultOf(c)
	switch new.kind {
	case faultCut:
		resetConn(c.Conn)
		return 0, errLinkCut
	case faultSilence, faultOneWay:
		return len(buffer), nil
	case faultDelay:
		time.Sleep(new.delay)
	case faultDrip:
		return c.drip(buffer, max(new.delay, time.Millisecond))
	}
	return c.Conn.Write(buffer)
}

// drip writes a byte at a time, with pauses.
func (c *faultyConn) drip(buffer []byte, pause time.Duration) (int, error) {
	for i := range buffer {
		if _, err := c.Conn.Write(buffer[i : i+1]); err != nil {
			return i, err
		}
		time.Sleep(pause)
	}
	return len(buffer), nil
}

// resetConn ends a connection so that the other side sees a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
