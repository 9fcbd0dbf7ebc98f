package eventloop

import (
	"net"
	"syscall"
	"testing"
	"time"

	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// countingAcceptor counts connections and rejects them.
type countingAcceptor struct{ count int }

func (a *countingAcceptor) Accept(Conn) Session {
	a.count++
	return nil
}

// acceptorFunc implements Acceptor by a function.
type acceptorFunc func(Conn) Session

func (f acceptorFunc) Accept(c Conn) Session { return f(c) }

// connChannel is an Acceptor that sends each connection on the channel and rejects the connection.
type connChannel chan Conn

func (a connChannel) Accept(c Conn) Session {
	a <- c
	return nil
}

// newTestLoop returns a loop on the wall clock that logs to the test.
func newTestLoop(t *testing.T) *Loop {
	t.Helper()
	now := func() routing.Time { return routing.Time(time.Now().UnixNano()) }
	return &Loop{Timers: &timer.Queue{}, Now: now, Logf: t.Logf}
}

// start runs the loop at the address on a new goroutine. The channel delivers the result of Run.
func start(l *Loop, address string) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- l.Run(address) }()
	return ended
}

// dialLoop opens a connection to the address, which is closed at the end of the test.
func dialLoop(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
}

// openInheritable opens a listener and duplicates its descriptor, as a process that starts the program does to pass the
// socket on.
func openInheritable(t *testing.T) (listener *net.TCPListener, fd int) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	file, err := listener.File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	fd, err = syscall.Dup(int(file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	return listener, fd
}

// Clients keep connecting while a director is down, so a connection may be queued before the loop has booted. The
// connection must not be accepted before the boot: its request sets timers and dials, which calls a nil event loop.
func TestConnectionsAreAcceptedOnlyAfterBoot(t *testing.T) {
	listener, fd := openInheritable(t)
	address := listener.Addr().String()
	dialLoop(t, address)
	conns, booted := make(connChannel, 1), false
	l := newTestLoop(t)
	l.InheritedFD = fd
	l.Acceptor = acceptorFunc(func(c Conn) Session {
		if !booted {
			t.Error("a connection was accepted before the loop had booted")
		}
		return conns.Accept(c)
	})
	l.Boot = func() { booted = true }
	ended := start(l, address)
	select {
	case <-conns:
	case err := <-ended:
		t.Fatal(err)
	}
	l.Stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A program that ignores its inherited listening socket opens another socket at the same address and ends with "address
// already in use". The loop must accept on the inherited socket, and must leave that socket open to other processes
// when the loop ends.
func TestLoopAcceptsOnInheritedListener(t *testing.T) {
	listener, fd := openInheritable(t)
	address, conns := listener.Addr().String(), make(connChannel, 1)
	booted := make(chan struct{})
	l := newTestLoop(t)
	l.InheritedFD, l.Acceptor, l.Boot = fd, conns, func() { close(booted) }
	ended := start(l, address)
	select {
	case <-booted:
	case err := <-ended:
		t.Fatal(err)
	}
	if l.Address() != address {
		t.Errorf("listens on %s, want %s", l.Address(), address)
	}
	dialLoop(t, address)
	<-conns
	l.Stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", address); err != nil {
		t.Errorf("dial after the loop ended: %v", err)
	}
	if _, err := listener.Accept(); err != nil {
		t.Errorf("accept by the original listener after the loop ended: %v", err)
	}
}

// An inherited descriptor that is not a listening socket at the configured address must be rejected. Otherwise the loop
// ends on the first accept, or serves the clients of another address.
func TestInheritedDescriptorIsChecked(t *testing.T) {
	_, otherAddressFD := openInheritable(t)
	notListeningFD, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	for name, fd := range map[string]int{"another address": otherAddressFD, "does not listen": notListeningFD} {
		t.Run(name, func(t *testing.T) {
			defer syscall.Close(fd)
			if err := (&Loop{InheritedFD: fd}).Run("127.0.0.1:1"); err == nil {
				t.Errorf("Run with descriptor %d: no error", fd)
			}
		})
	}
}

// gnet logs a warning for each event on a connection that has just been closed. Clients can cause any number of such
// events, and the warnings must not fill the log.
func TestWarningsAreRateLimited(t *testing.T) {
	var clock time.Time
	lines := 0
	l := &logger{logf: func(string, ...any) { lines++ }, now: func() time.Time { return clock }}
	for range 3 {
		clock = clock.Add(2 * time.Second)
		for range 100 {
			l.Warnf("stale connection")
		}
	}
	l.Errorf("in earnest")
	if lines != 4 {
		t.Errorf("got %d lines, want 4: 3 of 300 warnings, and the error", lines)
	}
}

// In tests with hundreds of directors, a process may open IPv4 sockets only. With a pair of Unix sockets as the wakeup
// socket, every director ends at its start there. The loop must boot on an IPv4 wakeup socket and without a client.
func TestBootsOnAnIPv4WakeupSocket(t *testing.T) {
	booted := make(chan struct{})
	acceptor := &countingAcceptor{}
	l := newTestLoop(t)
	l.Acceptor, l.Boot = acceptor, func() { close(booted) }
	ended := start(l, "127.0.0.1:0")
	select {
	case <-booted:
	case <-time.After(20 * time.Second): // bounds the test if it fails
		t.Fatal("the loop did not boot without a client")
	}
	l.Do(func() {
		if at, ok := l.wakeupSocket.LocalAddr().(*net.UDPAddr); !ok || at.IP.To4() == nil {
			t.Errorf("wakeup socket at %v, want an IPv4 UDP address", l.wakeupSocket.LocalAddr())
		}
		if acceptor.count != 0 {
			t.Error("the wakeup socket was passed to the acceptor, which would close it for sending nothing")
		}
		l.Stop()
	})
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// The wakeup socket is opened before the loop has booted, and timers may be due by then. The alarm must not be set
// before the boot, as it calls an event loop that does not exist yet.
func TestNoAlarmBeforeTheBoot(t *testing.T) {
	l := &Loop{Timers: &timer.Queue{}, Now: func() routing.Time { return time.Hour }}
	l.Timers.ScheduleFunc(0, func() {})
	l.resetAlarm()
	if l.alarm != nil {
		l.alarm.Stop()
		t.Error("the alarm was set before the loop had booted")
	}
}

// A loop that has not run for longer than PauseThreshold was paused. Timers must be delayed after the pause until input
// that arrived during it is read, and pauses between events and during an event must both be reported.
func TestTimersAreDelayedAfterAPause(t *testing.T) {
	clock := 1000 * time.Second
	var calls []string
	timersRun := 0
	l := &Loop{
		Timers:         &timer.Queue{},
		Now:            func() routing.Time { return clock },
		PauseThreshold: 300 * time.Millisecond,
		SettleTime:     30 * time.Millisecond,
		Settled:        func() { calls = append(calls, "settled") },
	}
	l.Paused = func(gap time.Duration) { calls = append(calls, "paused "+gap.String()) }
	l.alarm = time.NewTimer(time.Hour)
	defer l.alarm.Stop()
	runOnce := func() {
		l.checkForPause()
		l.runDue()
		l.resetAlarm()
	}
	l.Timers.ScheduleFunc(clock+50*time.Millisecond, func() { timersRun++ })
	runOnce()
	clock += 290 * time.Millisecond
	runOnce()
	if timersRun != 1 || len(calls) != 0 {
		t.Fatalf("without a pause: %d timers run, calls %v; want 1 and none", timersRun, calls)
	}
	l.Timers.ScheduleFunc(clock+time.Second, func() { timersRun++ })
	clock += 5 * time.Second
	runOnce()
	clock += 20 * time.Millisecond
	runOnce()
	if timersRun != 1 || len(calls) != 1 || calls[0] != "paused 5s" {
		t.Errorf("during the delay: %d timers run, calls %v; want 1 and [paused 5s]", timersRun, calls)
	}
	clock += 10 * time.Millisecond
	runOnce()
	if timersRun != 2 || len(calls) != 2 {
		t.Errorf("after the delay: %d timers run, calls %v; want 2 and 2 calls", timersRun, calls)
	}
	l.checkForPause()
	clock += 2 * time.Second // a pause during an event
	l.CheckForPause()
	if len(calls) != 3 || calls[2] != "paused 2s" {
		t.Errorf("after a pause during an event: calls %v, want \"paused 2s\" as the third", calls)
	}
	clock += time.Second
	l.resetAlarm()
	if len(calls) != 4 || calls[3] != "paused 1s" {
		t.Errorf("after a pause at the end of an event: calls %v, want \"paused 1s\" as the fourth", calls)
	}
}
