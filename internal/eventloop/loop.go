// Package eventloop runs the process's one event loop, on gnet. Everything that owns state runs on it: received data,
// opened and closed connections, results of dials, and all timers. Code that runs on the loop needs no locks and must
// not block.
//
// Properties of gnet v2.9.7 that this package depends on, as read in its source:
//   - EventLoop.Enroll hands a dialled net.Conn to the loop from a worker goroutine: it duplicates the descriptor,
//     closes the first and calls OnOpen on the loop with the value given as context. So a dial holds two descriptors
//     for a moment, and the bound on concurrent dials allows for that.
//   - Engine.Register asks a load balancer for the loop, and the default one counts round-robin without a lock: a data
//     race between dials. SourceAddrHash keeps no state, and dials go to the loop itself.
//   - OnTick runs on a goroutine of its own, not on the loop. Timers therefore fire through EventLoop.Execute. An
//     EventLoop is handed out only through a connection, so the first tick registers a connected UDP socket (the wakeup
//     socket) to get it; OnBoot is called before there is a loop to register with. That socket gets an OnOpen, too.
//   - Write passes on what the socket takes and copies the rest into an elastic buffer without a bound, and nothing
//     reports when the buffer has drained. So bodies are written whole and callers bound OutboundBuffered.
//   - A failed write closes the connection and calls OnClose before Write returns. All handlers must tolerate that, and
//     the director queues the events that arrive while it acts.
//   - An accept that fails ends the engine and closes all connections. So the engine does not accept clients: it is
//     given a UDP socket on loopback as the one address that it requires, and accept.go accepts in its stead.
//   - A connection for which epoll_ctl fails is closed, without a call of OnOpen or an error.
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

// engineAddress is a socket that gnet opens for itself; nothing is sent to it.
const engineAddress = "udp://127.0.0.1:0"

// writeBufferBytes is the size to which gnet's outbound buffers shrink back.
const writeBufferBytes = 64 << 10

// errEndedUnasked reports that gnet ended the loop by itself. gnet logs the cause but does not return it.
var errEndedUnasked = errors.New("the event loop has ended without being stopped")

// Loop is the event loop. Its exported fields are set before Run and not changed after.
type Loop struct {
	gnet.BuiltinEventEngine

	// Boot is called on the loop before anything else.
	Boot func()
	// Acceptor takes accepted connections.
	Acceptor Acceptor
	// Logf takes gnet's warnings and errors. It may be called from any goroutine.
	Logf func(format string, a ...any)
	// SessionFailed is called with the reason when a session's Data has returned an error and its connection is closed.
	SessionFailed func(reason error)
	// PauseThreshold is the time without a run of the loop from which it counts as paused: the process was stopped or
	// got no processor time. 0 disables the detection. Timers must fall due more often than that.
	PauseThreshold time.Duration
	// SettleTime bounds how long timers are delayed after a pause, so that input which has arrived meanwhile is read
	// before they all fire at once. The delay is a tenth of the pause where that is less.
	SettleTime time.Duration
	// Paused is called with the length of a pause before anything else happens, Settled when timers run again.
	Paused  func(gap time.Duration)
	Settled func()
	// InheritedFD is the descriptor of an inherited listening socket; 0: Run opens one of its own.
	InheritedFD int
	// AcceptFailed, where set, is called off the loop for each accept that failed and is retried.
	AcceptFailed func(error)

	// Timers holds what falls due, by the clock Now.
	Timers *timer.Queue
	Now    func() routing.Time

	listener *listener.Listener

	engine       gnet.Engine
	gnetLoop     gnet.EventLoop
	wakeupSocket net.Conn

	alarm       *time.Timer
	alarmAt     routing.Time // what the alarm is set for
	lastCheck   routing.Time // when the loop last checked for a pause
	lastRun     atomic.Int64 // the same, for other goroutines
	settleUntil routing.Time // timers are delayed until then after a pause; 0: they are not

	mu        sync.Mutex
	stopped   bool
	wakeupErr error // why the wakeup socket could not be registered
}

// Run listens on the address and serves until Stop.
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
		return errEndedUnasked
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
		gnet.WithWriteBufferCap(writeBufferBytes),
	}
}

// Address is where the loop listens; it is known from Boot on.
func (l *Loop) Address() string { return l.listener.Addr().String() }

// Stop ends Run; connections are closed. It may be called from any goroutine and more than once.
func (l *Loop) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.stopped = true
	engine := l.engine
	go func() { // it waits for the loop, which may be the caller
		_ = engine.Stop(context.Background()) // it fails only where the engine has ended already
	}()
}

// Do runs f on the loop. It may be called from any goroutine once Boot has been called.
func (l *Loop) Do(f func()) {
	_ = l.gnetLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		l.checkForPause()
		f()
		l.resetAlarm()
		return nil
	}))
}
