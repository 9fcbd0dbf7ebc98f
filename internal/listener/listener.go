// Package listener opens listening sockets, or takes over inherited ones, and accepts connections on them. An accept
// that fails, such as for lack of descriptors, buffers or memory or because the network is down, is retried with
// exponential backoff until the listener is closed.
package listener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Shortest and longest wait before a failed accept is retried. The wait doubles with each failure in a row.
const (
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// ErrNotListening reports an inherited descriptor that is not a listening socket.
var ErrNotListening = errors.New("not a listening socket")

// Listener is a listening socket whose Accept fails only once the Listener is closed. Pause and Resume may be called
// from any goroutine.
type Listener struct {
	inner        deadlineListener
	acceptFailed func(error) // called for each failed accept; may be nil
	mu           sync.Mutex
	stateChanged *sync.Cond // signals a change of paused or closed
	paused       bool
	closed       bool
}

// Option sets an optional property of a Listener.
type Option func(*Listener)

// WithAcceptFailed returns an Option that has acceptFailed called with the error of each accept that failed and is
// retried. acceptFailed may be nil.
func WithAcceptFailed(acceptFailed func(error)) Option {
	return func(l *Listener) { l.acceptFailed = acceptFailed }
}

// deadlineListener is the part of net.TCPListener that a Listener uses.
type deadlineListener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// Open returns a Listener on a new socket that listens at the TCP address.
func Open(address string, options ...Option) (*Listener, error) {
	config := net.ListenConfig{KeepAlive: -1} // no TCP keep-alive: timeouts of the program close silent connections
	opened, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return newListener(opened.(*net.TCPListener), options...), nil
}

// Inherit returns a Listener on the socket of an inherited descriptor. It fails if the descriptor is not a TCP socket
// that listens at the address. The error wraps ErrNotListening if the descriptor is not a listening socket. Other
// processes may hold the same socket: closing the Listener leaves the socket open to those processes.
func Inherit(descriptor int, address string, options ...Option) (*Listener, error) {
	listening, err := syscall.GetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor %d: %w: %w", descriptor, ErrNotListening, err)
	}
	if listening == 0 {
		return nil, fmt.Errorf("inherited descriptor %d: %w", descriptor, ErrNotListening)
	}
	file := os.NewFile(uintptr(descriptor), "inherited listener")
	defer file.Close() // net.FileListener duplicates the descriptor
	inherited, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor %d: %w", descriptor, err)
	}
	tcp, ok := inherited.(*net.TCPListener)
	if !ok || inherited.Addr().String() != address {
		inherited.Close()
		return nil, fmt.Errorf("inherited descriptor %d listens at %s, want %s", descriptor, inherited.Addr(), address)
	}
	return newListener(tcp, options...), nil
}

func newListener(inner deadlineListener, options ...Option) *Listener {
	l := &Listener{inner: inner}
	l.stateChanged = sync.NewCond(&l.mu)
	for _, set := range options {
		set(l)
	}
	return l
}

// Addr returns the address at which the socket listens.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }

// Accept waits for a connection and returns it. While the Listener is paused, Accept blocks and connections wait in the
// kernel's accept queue. The only error that Accept returns is net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	backoff := initialBackoff
	for {
		if !l.waitUntilAccepting() {
			return nil, net.ErrClosed
		}
		conn, err := l.inner.Accept()
		switch {
		case err == nil:
			return conn, nil
		case errors.Is(err, net.ErrClosed):
			return nil, net.ErrClosed
		case errors.Is(err, os.ErrDeadlineExceeded): // interrupted by Pause
			continue
		}
		if l.acceptFailed != nil {
			l.acceptFailed(err)
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// waitUntilAccepting waits until the Listener is not paused or is closed. It returns false if the Listener is closed.
func (l *Listener) waitUntilAccepting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.paused && !l.closed {
		l.stateChanged.Wait()
	}
	return !l.closed
}

// Pause stops accepting. New connections stay in the kernel's accept queue until Resume is called or another process
// that holds the socket accepts them.
func (l *Listener) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused {
		return
	}
	l.paused = true
	_ = l.inner.SetDeadline(time.Unix(1, 0)) // interrupts a waiting Accept; fails only if the socket is closed
}

// Resume ends a Pause: connections are accepted again, first those in the accept queue.
func (l *Listener) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.paused {
		return
	}
	l.paused = false
	_ = l.inner.SetDeadline(time.Time{})
	l.stateChanged.Broadcast()
}

// Close closes the socket. Accept returns net.ErrClosed from then on.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.stateChanged.Broadcast()
	return l.inner.Close()
}
