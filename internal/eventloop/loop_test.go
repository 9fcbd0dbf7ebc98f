package eventloop

import (
	"net"
	"syscall"
	"testing"
	"time"

	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// countingAcceptor rejects connections and counts them.
type countingAcceptor struct{ count int }

func (a *countingAcceptor) Accept(Conn) Session {
	a.count++
	return nil
}

// acceptorFunc is an Acceptor.
type acceptorFunc func(Conn) Session

func (f acceptorFunc) Accept(c Conn) Session { return f(c) }

// connChannel passes on each connection, and rejects it.
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

// start runs a loop on an address; the channel has the error of Run.
func start(l *Loop, address string) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- l.Run(address) }()
	return ended
}

// dialLoop opens a connection that ends with the test.
func dialLoop(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
}

// openInheritable opens a listener and duplicates its descriptor, as whoever starts the program would pass it on.
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

// Clients keep connecting to a director that was down. A connection that is there before the loop has booted must wait
// until it has: its request sets timers and dials, and without a handle on the loop that was a nil call.
func TestFirstConnectionWaitsForTheBoot(t *testing.T) {
	listener, fd := openInheritable(t)
	address := listener.Addr().String()
	dialLoop(t, address)
	conns, booted := make(connChannel, 1), false
	l := newTestLoop(t)
	l.InheritedFD = fd
	l.Acceptor = acceptorFunc(func(c Conn) Session {
		if !booted {
			t.Error("a connection came before the loop had booted")
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

// A program that was started with the address bound already, and the listening socket inherited, ended at once with
// "address already in use". It accepts on that socket, and leaves it open to others when it ends.
func TestInheritedListenerIsAcceptedOn(t *testing.T) {
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
		t.Errorf("after the end: %v", err)
	}
	if _, err := listener.Accept(); err != nil {
		t.Errorf("after the end: %v", err)
	}
}

// A descriptor that is no listener at the configured address must not be accepted on: the loop would end over it, or
// clients of another address would be served.
func TestInheritedDescriptorIsChecked(t *testing.T) {
	_, elsewhere := openInheritable(t)
	notListening, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	for name, fd := range map[string]int{"listens elsewhere": elsewhere, "does not listen": notListening} {
		t.Run(name, func(t *testing.T) {
			defer syscall.Close(fd)
			if err := (&Loop{InheritedFD: fd}).Run("127.0.0.1:1"); err == nil {
				t.Errorf("descriptor %d was taken", fd)
			}
		})
	}
}

// Clients can make gnet warn for each event on a connection that has just been closed: that must not fill the log.
func TestWarningsAreLoggedSparingly(t *testing.T) {
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
		t.Errorf("%d lines, want 3 of 300 warnings and the error", lines)
	}
}

// Where directors are tested in their hundreds, a process may open IPv4 sockets alone. The wakeup socket was a pair of
// Unix sockets and every director ended at its start; the loop must boot with no client and no such pair.
func TestBootsOnAnIPv4WakeupSocket(t *testing.T) {
	booted := make(chan struct{})
	acceptor := &countingAcceptor{}
	l := newTestLoop(t)
	l.Acceptor, l.Boot = acceptor, func() { close(booted) }
	ended := start(l, "127.0.0.1:0")
	select {
	case <-booted:
	case <-time.After(20 * time.Second): // only so that a failure ends
		t.Fatal("the loop did not boot without a client")
	}
	l.Do(func() {
		if at, ok := l.wakeupSocket.LocalAddr().(*net.UDPAddr); !ok || at.IP.To4() == nil {
			t.Errorf("the wakeup socket is at %v, not an IPv4 socket", l.wakeupSocket.LocalAddr())
		}
		if acceptor.count != 0 {
			t.Error("the wakeup socket was taken for a client, and would be closed for sending nothing")
		}
		l.Stop()
	})
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// The wakeup socket opens before the loop has booted, when timers may be due already: the alarm must wait, as it calls
// a loop that is not there yet.
func TestNoAlarmBeforeTheBoot(t *testing.T) {
	l := &Loop{Timers: &timer.Queue{}, Now: func() routing.Time { return time.Hour }}
	l.Timers.ScheduleFunc(0, func() {})
	l.resetAlarm()
	if l.alarm != nil {
		l.alarm.Stop()
		t.Error("an alarm is set before the loop has booted")
	}
}

// A loop that has not run for longer than it should was paused: timers are delayed until input that came meanwhile is
// read.
func TestDeadlinesRestBehindAPause(t *testing.T) {
	clock := 1000 * time.Second
	var told []string
	ran := 0
	l := &Loop{
		Timers:         &timer.Queue{},
		Now:            func() routing.Time { return clock },
		PauseThreshold: 300 * time.Millisecond,
		SettleTime:     30 * time.Millisecond,
		Settled:        func() { told = append(told, "settled") },
	}
	l.Paused = func(gap time.Duration) { told = append(told, "paused "+gap.String()) }
	l.alarm = time.NewTimer(time.Hour)
	defer l.alarm.Stop()
	runOnce := func() {
		l.checkForPause()
		l.runDue()
		l.resetAlarm()
	}
	l.Timers.ScheduleFunc(clock+50*time.Millisecond, func() { ran++ })
	runOnce()
	clock += 290 * time.Millisecond
	runOnce()
	if ran != 1 || len(told) != 0 {
		t.Fatalf("ran %d, told %v without a pause", ran, told)
	}
	l.Timers.ScheduleFunc(clock+time.Second, func() { ran++ })
	clock += 5 * time.Second
	runOnce()
	clock += 20 * time.Millisecond
	runOnce()
	if ran != 1 || len(told) != 1 || told[0] != "paused 5s" {
		t.Errorf("ran %d, told %v during the delay", ran, told)
	}
	clock += 10 * time.Millisecond
	runOnce()
	if ran != 2 || len(told) != 2 {
		t.Errorf("ran %d, told %v after it", ran, told)
	}
	l.checkForPause()
	clock += 2 * time.Second // during an event
	l.CheckForPause()
	if len(told) != 3 || told[2] != "paused 2s" {
		t.Errorf("told %v after a pause during an event", told)
	}
	clock += time.Second
	l.resetAlarm()
	if len(told) != 4 || told[3] != "paused 1s" {
		t.Errorf("told %v after a pause at the end of an event", told)
	}
}
