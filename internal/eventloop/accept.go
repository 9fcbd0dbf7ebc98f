package eventloop

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"shaleyard/internal/listener"
)

// acceptedConn carries an accepted connection to OnOpen.
type acceptedConn struct{ opened bool }

// registerBackoff is the time between tries to hand an accepted connection to the loop.
const registerBackoff = 5 * time.Millisecond

// openListener opens the listener, or takes over the inherited one.
func (l *Loop) openListener(address string) error {
	open := func() (*listener.Listener, error) { return listener.Open(address) }
	if l.InheritedFD != 0 {
		open = func() (*listener.Listener, error) { return listener.Inherit(l.InheritedFD, address) }
	}
	listener, err := open()
	if err != nil {
		return err
	}
	listener.AcceptFailed = l.AcceptFailed
	l.listener = listener
	return nil
}

// SetAccepting says whether connections are accepted; else they wait in the system's queue. It may be called from Boot on.
func (l *Loop) SetAccepting(on bool) {
	if on {
		l.listener.Resume()
		return
	}
	l.listener.Pause()
}

// acceptConnections hands connections to the loop one at a time, so that what is on its way holds few descriptors.
func (l *Loop) acceptConnections() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return // closed
		}
		l.registerAccepted(c.(*net.TCPConn))
	}
}

// registerAccepted hands an accepted connection to the loop. Its client may have sent a request already, so that it must not be lost
// for want of a descriptor: a duplicate is kept until the loop has it.
func (l *Loop) registerAccepted(c *net.TCPConn) {
	kept := -1
	for kept < 0 {
		if kept = duplicateDescriptor(c); kept < 0 && !l.waitToRegister(errDuplicateFailed) {
			c.Close()
			return
		}
	}
	defer func() { unix.Close(kept) }()
	for {
		a := &acceptedConn{}
		err := l.register(c, a)
		if err == nil && a.opened {
			return
		}
		if err == nil {
			err = errNotRegistered
		}
		for c = nil; c == nil; c = connFromDescriptor(kept) {
			if !l.waitToRegister(err) {
				return
			}
		}
	}
}

// errDuplicateFailed is a connection that could not be duplicated.
var errDuplicateFailed = errors.New("an accepted connection could not be duplicated")

// waitToRegister waits before the next try to hand a connection over; false: the loop has been stopped.
func (l *Loop) waitToRegister(why error) bool {
	l.mu.Lock()
	ended := l.stopped
	l.mu.Unlock()
	if ended {
		return false
	}
	if l.AcceptFailed != nil {
		l.AcceptFailed(why)
	}
	time.Sleep(registerBackoff)
	return true
}

// duplicateDescriptor is another descriptor of a connection; -1: there is none to be had.
func duplicateDescriptor(c *net.TCPConn) int {
	kept := -1
	raw, err := c.SyscallConn()
	if err != nil {
		return kept
	}
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0); err == nil {
			kept = n
		}
	})
	return kept
}

// connFromDescriptor is a connection anew, from a descriptor that stays open; nil: it could not be made.
func connFromDescriptor(kept int) *net.TCPConn {
	fd, err := unix.FcntlInt(uintptr(kept), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil
	}
	file := os.NewFile(uintptr(fd), "accepted connection")
	defer file.Close()
	c, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	tcp, _ := c.(*net.TCPConn)
	return tcp
}
