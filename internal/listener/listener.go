// Package listener opens listening sockets, or takes over inherited ones, and accepts on them without ever giving up:
// an accept that fails temporarily, for want of descriptors, buffers or memory or because the network is down, is
// retried with exponential backoff.
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

// Waits between attempts of an accept that fails: the first, doubled with each failure up to the longest.
const (
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// ErrNotListening reports an inherited descriptor that is no listening socket.
var ErrNotListening = errors.New("does not listen")

// Listener is a listening socket. Accept fails only once it is closed; Pause and Resume may be called from any
// goroutine.
type Listener struct {
	inner        deadlineListener
	acceptFailed func(error) // nil: none
	mu           sync.Mutex
	stateChanged *sync.Cond // paused or closed
	paused       bool
	closed       bool
}

// Option sets what is optional of a Listener.
type Option func(*Listener)

// WithAcceptFailed has a function called for each accept that failed and is retried; nil: none.
func WithAcceptFailed(acceptFailed func(error)) Option {
	return func(l *Listener) { l.acceptFailed = acceptFailed }
}

// deadlineListener is what a Listener needs of a TCP listener.
type deadlineListener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// Open listens at an address.
func Open(address string, options ...Option) (*Listener, error) {
	config := net.ListenConfig{KeepAlive: -1} // silent clients are disconnected by timeouts of our own
	opened, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return newListener(opened.(*net.TCPListener), options...), nil
}

// Inherit takes over a descriptor that must be a socket that listens at the address. Other processes may hold the same
// socket: closing the Listener leaves it open to them.
func Inherit(descriptor int, address string, options ...Option) (*Listener, error) {
	listening, err := syscall.GetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor %d %w (%w)", descriptor, ErrNotListening, err)
	}
	if listening == 0 {
		return nil, fmt.Errorf("inherited descriptor %d %w", descriptor, ErrNotListening)
	}
	file := os.NewFile(uintptr(descriptor), "inherited listener")
	defer file.Close() // FileListener has a duplicate
	inherited, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor %d: %w", descriptor, err)
	}
	tcp, ok := inherited.(*net.TCPListener)
	if !ok || inherited.Addr().String() != address {
		inherited.Close()
		return nil, fmt.Errorf("inherited descriptor %d listens at %s", descriptor, inherited.Addr())
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

// Addr is the address at which the socket listens.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }

// Accept waits for a connection. While the Listener is paused, connections wait in the system's queue. Its one error is
// net.ErrClosed.
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
		case errors.Is(err, os.ErrDeadlineExceeded): // paused
			continue
		}
		if l.acceptFailed != nil {
			l.acceptFailed(err)
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// waitUntilAccepting waits until the Listener is not paused; false: it is closed.
func (l *Listener) waitUntilAccepting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.paused && !l.closed {
		l.stateChanged.Wait()
	}
	return !l.closed
}

// Pause leaves new connections in the system's queue, for Resume or for another process that holds the socket.
func (l *Listener) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused {
		return
	}
	l.paused = true
	_ = l.inner.SetDeadline(time.Unix(1, 0)) // ends an Accept that waits; it fails only where the socket is closed
}

// Resume accepts again.
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

// Close ends Accept for good.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.stateChanged.Broadcast()
	return l.inner.Close()
}
