package eventloop

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"shaleyard/internal/listener"
)

// acceptedConn is the context value of an accepted connection that is being registered with the loop. OnOpen sets
// opened.
type acceptedConn struct{ opened bool }

// registerBackoff is the wait between two attempts to register an accepted connection with the loop.
const registerBackoff = 5 * time.Millisecond

// errDuplicateFailed reports that the descriptor of an accepted connection could not be duplicated.
var errDuplicateFailed = errors.New("cannot duplicate the descriptor of an accepted connection")

// openListener opens a listening socket at the address, or takes over the inherited one, and stores it in l.listener.
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

// SetAccepting turns the accepting of connections on or off. While it is off, new connections wait in the kernel's
// accept queue. SetAccepting may be called from any goroutine once Boot has been called.
func (l *Loop) SetAccepting(on bool) {
	if on {
		l.listener.Resume()
		return
	}
	l.listener.Pause()
}

// acceptConnections accepts connections until the listener is closed. It registers them with the loop one at a time,
// so that connections that are not registered yet hold few descriptors.
func (l *Loop) acceptConnections() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		l.registerAccepted(conn.(*net.TCPConn))
	}
}

// registerAccepted registers an accepted connection with the loop and retries until that succeeds or the loop is
// stopped. The client may have sent a request already, so the connection must not be lost when descriptors run out.
// Because a failed registration closes the connection, registerAccepted holds a duplicate of the descriptor meanwhile.
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

// duplicateUntilStopped duplicates the connection's descriptor and retries each failure. ok is false if the loop was
// stopped first.
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

// restoreUntilStopped waits, then recreates a connection from the duplicate of its descriptor, and retries each
// failure. reason is why the registration of the connection failed. ok is false if the loop was stopped first.
func (l *Loop) restoreUntilStopped(duplicate int, reason error) (conn *net.TCPConn, ok bool) {
	for conn == nil {
		if !l.waitToRegister(reason) {
			return nil, false
		}
		conn = connFromDescriptor(duplicate)
	}
	return conn, true
}

// waitToRegister reports the reason of a failure to AcceptFailed and waits for registerBackoff. It returns false, at
// once, if the loop was stopped.
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

// duplicateDescriptor returns a close-on-exec duplicate of the connection's descriptor.
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

// connFromDescriptor returns a new connection on a duplicate of the descriptor, or nil if it cannot be created. The
// descriptor itself stays open.
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
