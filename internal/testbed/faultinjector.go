package testbed

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Kinds of link faults. Experiments name them as actions.
const (
	faultNone    = ""
	faultCut     = "cut"     // open connections are reset at once, others when a message is read or written
	faultSilence = "silence" // data is discarded in both directions
	faultOneWay  = "one-way" // data that the testbed writes to the director is discarded
	faultDelay   = "delay"   // each message is delayed
	faultReset   = "reset"   // open connections are reset once; the link then works again
	faultDrip    = "drip"    // data that the testbed writes is written one byte at a time
)

// fault is the present fault of a link. A link connects one director with a group of stand-ins.
type fault struct {
	kind  string
	delay time.Duration // per message of faultDelay, between bytes of faultDrip
}

// faultInjector holds the present fault of each link and the connections of all links, from wrap until forget.
type faultInjector struct {
	mu    sync.Mutex
	links map[string]map[int]fault // by the group's name (list, caches, ...) and the director's number
	conns map[*faultyConn]bool
}

func newFaultInjector() *faultInjector {
	return &faultInjector{links: map[string]map[int]fault{}, conns: map[*faultyConn]bool{}}
}

// set puts a fault on the links between a group of stand-ins and some directors, or removes their fault (faultNone).
// faultCut and faultReset reset the open connections. faultReset leaves the links without a fault.
func (i *faultInjector) set(link string, directors []int, newFault fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.links[link] == nil {
		i.links[link] = map[int]fault{}
	}
	for _, director := range directors {
		if newFault.kind == faultNone {
			delete(i.links[link], director)
			continue
		}
		if newFault.kind == faultCut || newFault.kind == faultReset {
			i.resetConns(link, director)
		}
		i.links[link][director] = newFault
		if newFault.kind == faultReset {
			delete(i.links[link], director)
		}
	}
}

// resetConns resets a link's open connections. The caller holds the lock.
func (i *faultInjector) resetConns(link string, director int) {
	for conn := range i.conns {
		if conn.link == link && conn.director == director {
			resetConn(conn.Conn)
		}
	}
}

// faultOf returns the present fault of a connection's link. The lock is needed because goroutines that write answers
// call faultOf while the goroutine that reads from the connection may call setDirector.
func (i *faultInjector) faultOf(conn *faultyConn) fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.links[conn.link][conn.director]
}

// faultyConn is a connection that is subject to its link's faults. For a connection that a director has opened to a
// server, the director becomes known only with its first request.
type faultyConn struct {
	net.Conn
	injector *faultInjector
	link     string
	director int // guarded by injector.mu
}

// wrap returns conn as a connection that is subject to a link's faults, and adds it to the injector until forget.
func (i *faultInjector) wrap(conn net.Conn, link string, director int) *faultyConn {
	wrapped := &faultyConn{Conn: conn, injector: i, link: link, director: director}
	i.mu.Lock()
	i.conns[wrapped] = true
	i.mu.Unlock()
	return wrapped
}

// forget removes a closed connection from the injector.
func (i *faultInjector) forget(conn *faultyConn) {
	i.mu.Lock()
	delete(i.conns, conn)
	i.mu.Unlock()
}

// setDirector sets the director at the other end of the connection, once it is known.
func (c *faultyConn) setDirector(director int) {
	c.injector.mu.Lock()
	c.director = director
	c.injector.mu.Unlock()
}

var errLinkCut = errors.New("link is cut")

// delivers reports whether the link lets through a message that was just read. It sleeps for the delay of faultDelay
// and resets the connection on faultCut.
func (c *faultyConn) delivers() bool {
	current := c.injector.faultOf(c)
	switch current.kind {
	case faultCut:
		resetConn(c.Conn)
		return false
	case faultSilence:
		return false
	case faultDelay:
		time.Sleep(current.delay)
	}
	return true
}

// Write writes buffer as the link's fault permits: it may delay the data, write it one byte at a time, or discard it
// and report success. On faultCut it resets the connection and returns errLinkCut.
func (c *faultyConn) Write(buffer []byte) (int, error) {
	current := c.injector.faultOf(c)
	switch current.kind {
	case faultCut:
		resetConn(c.Conn)
		return 0, errLinkCut
	case faultSilence, faultOneWay:
		return len(buffer), nil
	case faultDelay:
		time.Sleep(current.delay)
	case faultDrip:
		return c.drip(buffer, max(current.delay, time.Millisecond))
	}
	return c.Conn.Write(buffer)
}

// drip writes buffer one byte at a time, with a pause after each byte.
func (c *faultyConn) drip(buffer []byte, pause time.Duration) (int, error) {
	for i := range buffer {
		if _, err := c.Conn.Write(buffer[i : i+1]); err != nil {
			return i, err
		}
		time.Sleep(pause)
	}
	return len(buffer), nil
}

// resetConn closes a connection with a TCP reset (SO_LINGER 0), or plainly if it is not a TCP connection.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
