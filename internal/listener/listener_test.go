package listener

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// failingListener is a listener whose accepts fail with the given errors, in order, before they succeed.
type failingListener struct {
	net.Listener
	errors []error
}

func (f *failingListener) SetDeadline(time.Time) error { return nil }

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errors) > 0 {
		err := f.errors[0]
		f.errors = f.errors[1:]
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	conn, _ := net.Pipe()
	return conn, nil
}

// acceptErrors are the errors of accept(2) that Linux documents.
var acceptErrors = []syscall.Errno{
	syscall.ECONNABORTED,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EPERM,
	syscall.EPROTO,
	syscall.ENETDOWN,
	syscall.ENOPROTOOPT,
	syscall.EHOSTDOWN,
	syscall.ENONET,
	syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP,
	syscall.ENETUNREACH,
	syscall.EINTR,
	syscall.ETIMEDOUT,
	syscall.ENOSR,
	syscall.ESOCKTNOSUPPORT,
	syscall.EINVAL,
}

// An accept that fails with any of the documented errors must be retried, and each failure must be reported. Otherwise
// a temporary failure ends the accepting for good.
func TestAcceptRetriesEveryError(t *testing.T) {
	for _, errno := range acceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			failures := 0
			acceptFailed := func(err error) {
				failures++
				if !errors.Is(err, errno) {
					t.Errorf("reported error %v, want %v", err, errno)
				}
			}
			failing := &failingListener{errors: []error{errno, errno}}
			l := newListener(failing, WithAcceptFailed(acceptFailed))
			conn, err := l.Accept()
			if err != nil || conn == nil || failures != 2 {
				t.Errorf("got %v, error %v after %d reported failures, want a connection after 2", conn, err, failures)
			}
		})
	}
}

// A paused listener must leave connections in the accept queue, where a process that shares the socket can accept them.
// After Resume it must accept the connections that still wait.
func TestPausedListenerLeavesConnectionsInAcceptQueue(t *testing.T) {
	l, err := Open("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- conn
		}
	}()
	dial := func() {
		t.Helper()
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
	}
	dial()
	<-accepted
	l.Pause()
	file, err := l.inner.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	other, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	dial()
	if _, err := other.Accept(); err != nil {
		t.Fatalf("accept by another holder of the socket: %v", err)
	}
	dial()
	l.Resume()
	<-accepted
	l.Close()
	if _, more := <-accepted; more {
		t.Error("a connection was accepted after Close")
	}
}
