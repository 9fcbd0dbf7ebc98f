// Package loop runs the one event loop, on gnet. Everything that owns state runs on it: data, opened and
// closed connections, the ends of dials and all deadlines.
//
// What gnet (v2.9.7) does, read in its source, and what follows here:
//   - EventLoop.Enroll hands a dialled net.Conn to the loop from a worker goroutine: it duplicates the
//     descriptor, closes the first and calls OnOpen on the loop with the value given as context. So a dial
//     holds two descriptors for a moment, and the count of dials is bounded with that in mind.
//   - Engine.Register asks a load balancer for the loop, and the default one counts round without a lock:
//     a data race between dials. SourceAddrHash keeps no state, and dials go to the loop itself.
//   - OnTick runs on a goroutine of its own, not on the loop. Deadlines come through EventLoop.Execute, and
//     an EventLoop is handed out only through a Conn: the first tick registers a connected UDP socket to
//     get it, as OnBoot is called before there is a loop to register with. Such a socket gets an OnOpen, too.
//   - Write passes on what the socket takes and copies the rest into an elastic buffer without a bound;
//     nothing tells when it has drained. So bodies are written whole and OutboundBuffered is bounded here.
//   - A failed write closes the connection and calls OnClose before Write returns: all handlers must bear
//     that, and the director queues what comes back while it acts.
//   - An accept that fails ends the engine, with all that it holds. So the engine has no listener of its own for
//     clients (it wants one address, and is given a UDP socket on loopback, on which nothing is accepted): accept.go.
//   - A connection for which epoll_ctl fails is closed, without a call of OnOpen or an error.
package eventloop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"shaleyard/internal/listener"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// Conn is a connection as its owner sees it. A write never blocks; what the socket does not take at once is
// kept and counted by OutboundBuffered; what the socket has taken and the peer's has not is counted by
// Unacknowledged, as far as the system tells, without our half's end. Close comes into effect after the caller has returned; over bytes that were
// not read it resets the connection, and what the peer has not read of our answers is lost. CloseWrite ends our half
// alone, behind all that was written.
type Conn interface {
	Writev([][]byte) (int, error)
	OutboundBuffered() int
	Unacknowledged() int
	CloseWrite() error
	Close() error
}

// gnetConn is gnet's connection as a Conn.
type gnetConn struct{ gnet.Conn }

// CloseWrite implements Conn.
func (s gnetConn) CloseWrite() error {
	return os.NewSyscallError("shutdown", syscall.Shutdown(s.Fd(), syscall.SHUT_WR))
}

// Unacknowledged implements Conn. Where the system can't tell it is 0.
func (s gnetConn) Unacknowledged() int {
	n, err := unix.IoctlGetInt(s.Fd(), unix.TIOCOUTQ)
	if err != nil {
		return 0
	}
	return max(0, n-1) // the end of our half counts as a byte
}

// Session takes what a connection brings, on the loop. An error of Data closes the connection.
type Session interface {
	Data([]byte) error
	Closed()
}

// Stream is the session of a dialled connection. Either Opened or Failed comes, once; Closed follows Opened.
type Stream interface {
	Session
	Opened(Conn)
	Failed(error)
}

// Dialer opens connections without blocking the loop, within a time limit.
type Dialer interface {
	Dial(address string, limit time.Duration, s Stream)
}

// Acceptor accepts connections; nil turns one away.
type Acceptor interface {
	Accept(c Conn) Session
}

// Loop is the event loop. Its fields are set before Run.
type Loop struct {
	gnet.BuiltinEventEngine

	// Boot is called on the loop before anything else.
	Boot func()
	// Acceptor takes accepted connections.
	Acceptor Acceptor
	// Logf takes gnet's warnings and errors.
	Logf func(format string, a ...any)
	// SessionFailed is told why a stream was closed for what came on it.
	SessionFailed func(reason error)
	// PauseThreshold is the time between two looks of the loop at the world from which it was paused: stopped, or kept
	// from the processor. 0: pauses are not looked for. Something must be due on the Agenda more often than that.
	PauseThreshold time.Duration
	// SettleTime is how long deadlines wait behind a pause, so that what has come meanwhile is read before they fall
	// due, all at once; a tenth of the pause, where that is less.
	SettleTime time.Duration
	// Paused is told of a pause before anything else happens, Settled when deadlines run again.
	Paused  func(gap time.Duration)
	Settled func()
	// InheritedFD is the descriptor of a listening socket that was handed down; 0: Run opens one of its own.
	InheritedFD int
	// AcceptFailed, where set, is told, off the loop, of each accept that failed and is tried again.
	AcceptFailed func(error)

	Timers *timer.Queue
	Now    func() routing.Time

	listener *listener.Listener

	engine       gnet.Engine
	gnetLoop     gnet.EventLoop
	wakeupSocket net.Conn
	alarmAt      routing.Time
	alarm        *time.Timer
	lastCheck    routing.Time // when the loop last looked at the world
	lastRun      atomic.Int64 // the same, for other goroutines
	settleUntil  routing.Time // until when deadlines wait behind a pause; 0: they don't
	mu           sync.Mutex
	stopped      bool
	wakeupErr    error
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
	if l.wakeupErr == nil && !l.stopped { // gnet logs what ended it, and returns nothing
		return errors.New("the event loop has ended without being stopped")
	}
	return l.wakeupErr
}

func (l *Loop) options() []gnet.Option {
	return []gnet.Option{gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithLoadBalancing(gnet.SourceAddrHash),
		gnet.WithLogger(&logger{logf: l.Logf, now: time.Now}), gnet.WithTicker(true), gnet.WithWriteBufferCap(64 << 10)}
}

// logger passes on what gnet has to say in earnest, from whatever goroutine: of warnings one a second, as gnet
// has one for each event that finds its connection closed, and clients could bring those in any number.
type logger struct {
	logf        func(string, ...any)
	now         func() time.Time
	mu          sync.Mutex
	lastWarning time.Time
}

func (l *logger) Debugf(string, ...any) {}
func (l *logger) Infof(string, ...any)  {}
func (l *logger) Warnf(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.now(); now.Sub(l.lastWarning) >= time.Second {
		l.lastWarning = now
		l.logf("gnet: "+format, a...)
	}
}
func (l *logger) Errorf(format string, a ...any) { l.logf("gnet: "+format, a...) }
func (l *logger) Fatalf(format string, a ...any) { l.logf("gnet: "+format, a...) }

// Address is where the loop listens; it is known from Boot on.
func (l *Loop) Address() string { return l.listener.Addr().String() }

// Stop ends Run; connections are closed.
func (l *Loop) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.stopped = true
	go l.engine.Stop(context.Background()) // it waits for the loop, which may be the caller
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

// engineAddress is a socket that gnet opens for itself; nothing is sent to it.
const engineAddress = "udp://127.0.0.1:0"

// wakeupContext is the context of the socket that hands the loop over.
type wakeupContext struct{}

// OnBoot implements gnet.EventHandler. The engine has no event loop yet: the doorbell must wait for OnTick.
func (l *Loop) OnBoot(eng gnet.Engine) gnet.Action {
	l.engine = eng
	return gnet.None
}

// OnTick implements gnet.EventHandler. Its first call comes when the event loop is there, aside of it, and
// registers the doorbell; there is nothing to do in later ones.
func (l *Loop) OnTick() (time.Duration, gnet.Action) {
	const never = 24 * time.Hour
	if l.wakeupSocket != nil {
		return never, gnet.None
	}
	if err := l.registerWakeup(); err != nil {
		l.wakeupErr = fmt.Errorf("doorbell: %w", err)
		return never, gnet.Shutdown
	}
	return never, gnet.None
}

func (l *Loop) registerWakeup() error {
	bell, err := openWakeupSocket()
	if err != nil {
		return err
	}
	l.wakeupSocket = bell
	ctx := gnet.NewContext(gnet.NewNetConnContext(context.Background(), bell), wakeupContext{})
	registered, err := l.engine.Register(ctx)
	if err != nil {
		return err
	}
	r := <-registered
	if r.Err != nil {
		return r.Err
	}
	el := r.Conn.EventLoop()
	return el.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		defer l.resetAlarm()
		l.boot(el)
		return nil
	}))
}

// openWakeupSocket opens the doorbell: a UDP socket on loopback, connected to one of its own that is closed again. Where
// directors are played in numbers, a process has sockets of IPv4 alone, TCP and UDP, and a pair of Unix
// sockets ended the program at its start; nothing is ever sent on this one.
func openWakeupSocket() (net.Conn, error) {
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	defer peer.Close()
	return net.DialUDP("udp4", nil, peer.LocalAddr().(*net.UDPAddr))
}

// boot hands the loop over and boots, once, on the loop. Connections are accepted from then on.
func (l *Loop) boot(el gnet.EventLoop) {
	l.gnetLoop = el
	l.Boot()
	go l.acceptConnections()
}

// OnOpen implements gnet.EventHandler.
func (l *Loop) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	defer l.resetAlarm()
	l.checkForPause()
	switch x := c.Context().(type) {
	case wakeupContext: // no client, and not to be closed as one that says nothing
	case *pendingDial:
		x.opened = true
		c.SetContext(x.stream)
		x.stream.Opened(gnetConn{c})
	case *acceptedConn:
		x.opened = true
		s := l.Acceptor.Accept(gnetConn{c})
		if s == nil {
			return nil, gnet.Close
		}
		c.SetContext(s)
	}
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	defer l.resetAlarm()
	l.checkForPause()
	s, ok := c.Context().(Session)
	b, _ := c.Next(-1)
	if !ok {
		return gnet.None
	}
	if err := s.Data(b); err != nil {
		l.SessionFailed(err)
		return gnet.Close
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (l *Loop) OnClose(c gnet.Conn, _ error) gnet.Action {
	defer l.resetAlarm()
	l.checkForPause()
	if s, ok := c.Context().(Session); ok {
		s.Closed()
	}
	return gnet.None
}

// checkForPause notices that the loop was paused, between two events or amid one. What it believes is as old as the pause, and what
// it should know waits in its sockets, in no order: so deadlines rest for a moment, and whoever decides is told.
func (l *Loop) checkForPause() {
	now := l.Now()
	gap := now - l.lastCheck
	if l.PauseThreshold > 0 && l.lastCheck != 0 && gap > l.PauseThreshold {
		l.settleUntil = now + min(l.SettleTime, gap/10)
		l.Paused(gap)
	}
	l.lastCheck = now
	l.lastRun.Store(int64(now))
}

// CheckForPause notices whether the process has stood still amid the event that is being handled.
func (l *Loop) CheckForPause() { l.checkForPause() }

// LastRun is when the loop last ran. It may be called from any goroutine.
func (l *Loop) LastRun() routing.Time { return routing.Time(l.lastRun.Load()) }

// resetAlarm sets the alarm for the earliest deadline, or for the end of a rest.
func (l *Loop) resetAlarm() {
	l.checkForPause()
	if l.gnetLoop == nil {
		return // the doorbell opens before the boot, which arms for all that is due
	}
	at, ok := l.Timers.NextDeadline()
	if l.settleUntil != 0 {
		at, ok = l.settleUntil, true
	}
	if !ok || (at == l.alarmAt && l.alarm != nil) {
		return
	}
	l.alarmAt = at
	wait := max(0, at-l.Now())
	if l.alarm == nil {
		l.alarm = time.AfterFunc(wait, func() { l.Do(l.runDue) })
		return
	}
	l.alarm.Reset(wait)
}

// runDue runs the deadlines that have come.
func (l *Loop) runDue() {
	l.alarmAt = 0
	now := l.Now()
	if now < l.settleUntil {
		return
	}
	if l.settleUntil != 0 {
		l.settleUntil = 0
		l.Settled()
	}
	l.Timers.RunDue(now)
}

// pendingDial carries a stream from its pendingDial to OnOpen.
type pendingDial struct {
	stream Stream
	opened bool
}

// Dial opens a connection within the limit, off the loop, and hands the result in on the loop.
func (l *Loop) Dial(address string, limit time.Duration, s Stream) {
	go func() {
		c, err := net.DialTimeout("tcp", address, limit)
		if err == nil {
			d := &pendingDial{stream: s}
			if err = l.register(c, d); err == nil && !d.opened {
				err = errNotRegistered
			}
		}
		if err != nil {
			l.Do(func() { s.Failed(err) })
		}
	}()
}

// errNotRegistered is a connection that the loop could not wait on: it was closed before anything came or went on it.
var errNotRegistered = errors.New("the event loop could not take the connection")

// register hands a connection to the loop, which has called OnOpen when it returns without an error, unless the system
// refused to wait on it. The connection is closed, but for a duplicate that the loop holds.
func (l *Loop) register(c net.Conn, carries any) error {
	joined, err := l.gnetLoop.Enroll(gnet.NewContext(context.Background(), carries), c)
	if err != nil {
		c.Close()
		return err
	}
	return (<-joined).Err
}
