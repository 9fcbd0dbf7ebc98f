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

// registerBackoff is the time between attempts to hand an accepted connection to the loop.
const registerBackoff = 5 * time.Millisecond

// errDuplicateFailed reports that an accepted connection could not be duplicated.
var errDuplicateFailed = errors.New("an accepted connection could not be duplicated")

// openListener opens the listener, or takes over the inherited one.
func (l *Loop) openListener(address string) error {
	opened, err := l.openOrInherit(address)
	if err != nil {
		return err
	}
	l.listener = opened
	return nil
}

func (l *Loop) openOrInherit(address string) (*listener.Listener, error) {
	acceptFailed := listener.WithAcceptFailed(l.AcceptFailed)
	if l.InheritedFD != 0 {
		return listener.Inherit(l.InheritedFD, address, acceptFailed)
	}
	return listener.Open(address, acceptFailed)
}

// SetAccepting turns accepting on or off; while it is off, connections wait in the system's queue. It may be called
// from Boot on, from any goroutine.
func (l *Loop) SetAccepting(on bool) {
	if on {
		l.listener.Resume()
		return
	}
	l.listener.Pause()
}

// acceptConnections hands connections to the loop one at a time, so that those on their way hold few descriptors.
func (l *Loop) acceptConnections() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return // closed
		}
		l.registerAccepted(conn.(*net.TCPConn))
	}
}

// registerAccepted hands an accepted connection to the loop. Its client may have sent a request already, so that the
// connection must not be lost for want of a descriptor: a duplicate is kept until the loop has taken it.
func (l *Loop) registerAccepted(conn *net.TCPConn) {
	duplicate, ok := l.duplicateUntilStopped(conn)
	if !ok {
		conn.Close()
		return
	}
	defer unix.Close(duplicate)
	for {
		accepted := &acceptedConn{}
		err := l.register(conn, accepted)
		if err == nil && accepted.opened {
			return
		}
		if err == nil {
			err = errNotRegistered
		}
		if conn, ok = l.restoreUntilStopped(duplicate, err); !ok {
			return
		}
	}
}

// duplicateUntilStopped duplicates a connection's descriptor, however often that fails; false: the loop was stopped.
func (l *Loop) duplicateUntilStopped(conn *net.TCPConn) (descriptor int, ok bool) {
	for {
		descriptor, err := duplicateDescriptor(conn)
		if err == nil {
			return descriptor, true
		}
		if !l.waitToRegister(errDuplicateFailed) {
			return 0, false
		}
	}
}

// restoreUntilStopped makes the connection again from its duplicate, after a wait, when it could not be registered for
// a reason; false: the loop was stopped.
func (l *Loop) restoreUntilStopped(duplicate int, reason error) (conn *net.TCPConn, ok bool) {
	for conn == nil {
		if !l.waitToRegister(reason) {
			return nil, false
		}
		conn = connFromDescriptor(duplicate)
	}
	return conn, true
}

// waitToRegister waits before the next attempt to hand a connection over; false: the loop was stopped.
func (l *Loop) waitToRegister(reason error) bool {
	l.mu.Lock()
	stopped := l.stopped
	l.mu.Unlock()
	if stopped {
		return false
	}
	if l.AcceptFailed != nil {
		l.AcceptFailed(reason)
	}
	time.Sleep(registerBackoff)
	return true
}

// duplicateDescriptor duplicates the descriptor of a connection.
func duplicateDescriptor(conn *net.TCPConn) (duplicate int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		duplicate, err = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return duplicate, err
}

// connFromDescriptor makes a connection from a descriptor that stays open; nil: it could not be made.
func connFromDescriptor(descriptor int) *net.TCPConn {
	fd, err := unix.FcntlInt(uintptr(descriptor), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil
	}
	file := os.NewFile(uintptr(fd), "accepted connection")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	tcp, _ := conn.(*net.TCPConn)
	return tcp
}
