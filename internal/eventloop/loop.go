// Package eventloop runs the process's one event loop, on gnet. All code that owns state runs on the loop: it handles
// received data, opened and closed connections, results of dials, and all timers. Code that runs on the loop needs no
// locks and must not block.
//
// Properties of gnet v2.9.7 that this package depends on, as read in its source:
//   - EventLoop.Enroll registers a dialled net.Conn with the loop, from a worker goroutine: it duplicates the
//     descriptor, closes the original and calls OnOpen on the loop with the value given as context. A dial therefore
//     holds two descriptors for a moment, and the bound on concurrent dials allows for that.
//   - Engine.Register chooses the loop through a load balancer. The default balancer counts round-robin without a lock,
//     which is a data race between dials. The engine therefore uses SourceAddrHash, which keeps no state, and dials are
//     registered with the loop itself.
//   - OnTick runs on a goroutine of its own, not on the loop. Timers therefore fire through EventLoop.Execute. gnet
//     gives access to its EventLoop only through a connection, and calls OnBoot before the loop exists. The first
//     OnTick therefore registers a connected UDP socket (the wakeup socket) to get the EventLoop. gnet calls OnOpen for
//     that socket, too.
//   - Write passes to the socket what the socket accepts and copies the rest into an elastic buffer without a bound.
//     gnet does not report when the buffer has drained. Bodies are therefore written whole, and callers bound
//     OutboundBuffered.
//   - A failed write closes the connection and calls OnClose before Write returns. All handlers must tolerate that call
//     during a write, and the director queues the events that arrive while it handles another event.
//   - An accept that fails ends the engine and closes all connections. The engine therefore does not accept clients:
//     the one address that it requires is a UDP socket on loopback, and accept.go accepts the clients' connections.
//   - A connection for which epoll_ctl fails is closed, without a call of OnOpen and without an error.
package eventloop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"shaleyard/internal/listener"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// engineAddress is the one address that gnet requires: a UDP socket on loopback to which nothing is sent.
const engineAddress = "udp://127.0.0.1:0"

// readBufferBytes is the most input of one connection that is handled before the other connections have their turn. It
// bounds how long one client that sends small messages at full speed delays the others.
const readBufferBytes = 16 << 10

// writeBufferBytes is the size to which gnet's outbound buffers shrink back.
const writeBufferBytes = 64 << 10

// errUnexpectedEnd reports that gnet ended the loop without a call of Stop. gnet logs the cause but does not return it.
var errUnexpectedEnd = errors.New("event loop ended without having been stopped")

// Loop is the event loop. Its exported fields are set before Run and not changed after.
type Loop struct {
	gnet.BuiltinEventEngine

	// Boot is called once, on the loop, before any connection is accepted and any timer runs.
	Boot func()
	// Acceptor creates the sessions of accepted connections.
	Acceptor Acceptor
	// Logf logs gnet's warnings and errors. It may be called from any goroutine.
	Logf func(format string, a ...any)
	// SessionFailed is called with the error that a session's Data has returned, before the connection is closed.
	SessionFailed func(reason error)
	// PauseThreshold is the longest time without an event or timer on the loop that does not count as a pause. After a
	// longer time, the process is taken to have been suspended or starved of processor time. Timers must therefore fall
	// due more often than that. 0 disables the detection.
	PauseThreshold time.Duration
	// SettleTime is the longest delay of timers after a pause. The delay lets the loop read the input that arrived
	// during the pause before all overdue timers fire at once. It is a tenth of the pause where that is shorter.
	SettleTime time.Duration
	// Paused is called with the length of a pause when the pause is detected, before timers run. Settled is called
	// when the delay after a pause has ended, before timers run again.
	Paused  func(gap time.Duration)
	Settled func()
	// InheritedFD is the descriptor of an inherited listening socket, or 0 if Run is to open a socket.
	InheritedFD int
	// AcceptFailed, if not nil, is called for each failure to accept or register a connection that is retried. It is
	// not called on the loop.
	AcceptFailed func(error)

	// Timers holds the loop's timers. Their deadlines are readings of the clock Now.
	Timers *timer.Queue
	Now    func() routing.Time

	listener *listener.Listener

	engine       gnet.Engine
	gnetLoop     gnet.EventLoop
	wakeupSocket net.Conn

	alarm       *time.Timer
	alarmAt     routing.Time // time for which the alarm is set
	lastCheck   routing.Time // when the loop last checked for a pause
	lastRun     atomic.Int64 // copy of lastCheck for other goroutines
	settleUntil routing.Time // end of the delay of timers after a pause; 0 if there is none

	mu        sync.Mutex
	stopped   bool
	wakeupErr error // why the wakeup socket could not be registered
}

// Run listens on the address and runs the loop until Stop is called. It returns an error if the listening socket or the
// wakeup socket cannot be opened, or if the loop ends without a call of Stop.
func (l *Loop) Run(address string) error {
	if err := l.openListener(address); err != nil {
		return fmt.Errorf("listen %s: %w", address, err)
	}
	defer l.listener.Close()
	err := gnet.Run(l, engineAddress, l.options()...)
	if l.alarm != nil {
		l.alarm.Stop()
	}
	if err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wakeupErr == nil && !l.stopped {
		return errUnexpectedEnd
	}
	return l.wakeupErr
}

func (l *Loop) options() []gnet.Option {
	return []gnet.Option{
		gnet.WithNumEventLoop(1),
		gnet.WithReusePort(true),
		gnet.WithLoadBalancing(gnet.SourceAddrHash),
		gnet.WithLogger(&logger{logf: l.Logf, now: time.Now}),
		gnet.WithTicker(true),
		gnet.WithReadBufferCap(readBufferBytes),
		gnet.WithWriteBufferCap(writeBufferBytes),
	}
}

// Address returns the address on which the loop listens. It may be called once Boot has been called.
func (l *Loop) Address() string { return l.listener.Addr().String() }

// Stop ends Run and closes all connections. It may be called from any goroutine and more than once.
func (l *Loop) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.stopped = true
	engine := l.engine
	go func() { // engine.Stop waits for the loop, on which Stop may have been called
		_ = engine.Stop(context.Background()) // fails only if the engine has ended already
	}()
}

// Do schedules f to run on the loop. It may be called from any goroutine once Boot has been called.
func (l *Loop) Do(f func()) {
	_ = l.gnetLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		l.checkForPause()
		f()
		l.resetAlarm()
		return nil
	}))
}
