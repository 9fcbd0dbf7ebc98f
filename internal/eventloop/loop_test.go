package eventloop

import (
	"net"
	"syscall"
	"testing"
	"time"

	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// countingAcceptor turns connections away and counts them.
type countingAcceptor struct{ count int }

func (c *countingAcceptor) Accept(Conn) Session { c.count++; return nil }

// Clients go on coming to a director that was down. One that is there before the loop has booted must wait until it has:
// its request sets deadlines and dials, and without a handle on the loop that was a nil call.
func TestFirstConnectionWaitsForTheBoot(t *testing.T) {
	ln, fd := openInheritable(t)
	if _, err := net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	conns, booted := make(connChannel, 1), false
	l := &Loop{Timers: &timer.Queue{}, Now: func() routing.Time { return routing.Time(time.Now().UnixNano()) },
		Logf: t.Logf, InheritedFD: fd}
	l.Acceptor = acceptorFunc(func(c Conn) Session {
		if !booted {
			t.Error("a connection came before the loop had booted")
		}
		return conns.Accept(c)
	})
	l.Boot = func() { booted = true }
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ln.Addr().String()) }()
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

// acceptorFunc is a Front.
type acceptorFunc func(Conn) Session

func (f acceptorFunc) Accept(c Conn) Session { return f(c) }

// connChannel tells of each connection, and turns it away.
type connChannel chan Conn

func (a connChannel) Accept(c Conn) Session {
	a <- c
	return nil
}

// openInheritable opens a listener and duplicates its descriptor, as whoever starts the program would hand it down.
func openInheritable(t *testing.T) (ln *net.TCPListener, fd int) {
	t.Helper()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	f, err := ln.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if fd, err = syscall.Dup(int(f.Fd())); err != nil {
		t.Fatal(err)
	}
	return ln, fd
}

// A program that is started with the address bound already, and the listening socket in its hands, ended at once
// with "address already in use". It accepts on that socket, and leaves it open to others when it ends.
func TestInheritedListenerIsAcceptedOn(t *testing.T) {
	ln, fd := openInheritable(t)
	address, conns := ln.Addr().String(), make(connChannel, 1)
	up := make(chan struct{})
	l := &Loop{Timers: &timer.Queue{}, Now: func() routing.Time { return routing.Time(time.Now().UnixNano()) },
		Logf: t.Logf, Acceptor: conns, Boot: func() { close(up) }, InheritedFD: fd}
	ended := make(chan error, 1)
	go func() { ended <- l.Run(address) }()
	select {
	case <-up:
	case err := <-ended:
		t.Fatal(err)
	}
	if l.Address() != address {
		t.Errorf("listens on %s, want %s", l.Address(), address)
	}
	if _, err := net.Dial("tcp", address); err != nil {
		t.Fatal(err)
	}
	<-conns
	l.Stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", address); err != nil {
		t.Errorf("after the end: %v", err)
	}
	if _, err := ln.Accept(); err != nil {
		t.Errorf("after the end: %v", err)
	}
}

// What is no listener at the configured address must not be accepted on: gnet would end over it, or clients of
// another address would be served.
func TestInheritedDescriptorIsChecked(t *testing.T) {
	_, elsewhere := openInheritable(t)
	silent, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, fd := range []int{elsewhere, silent} {
		if err := (&Loop{InheritedFD: fd}).Run("127.0.0.1:1"); err == nil {
			t.Errorf("descriptor %d was taken", fd)
		}
		syscall.Close(fd)
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

// Where directors are played in their hundreds, a process may open IPv4 sockets alone. The doorbell was a pair
// of Unix sockets and every director ended at its start; the loop must boot with no client and no such pair.
func TestBootsOnAnIPv4Doorbell(t *testing.T) {
	booted := make(chan struct{})
	front := &countingAcceptor{}
	l := &Loop{Timers: &timer.Queue{}, Now: func() routing.Time { return routing.Time(time.Now().UnixNano()) },
		Logf: t.Logf, Acceptor: front, Boot: func() { close(booted) }}
	ended := make(chan error)
	go func() { ended <- l.Run("127.0.0.1:0") }()
	select {
	case <-booted:
	case <-time.After(20 * time.Second): // only so that a failure ends
		t.Fatal("the loop did not boot without a client")
	}
	l.Do(func() {
		if at, ok := l.wakeupSocket.LocalAddr().(*net.UDPAddr); !ok || at.IP.To4() == nil {
			t.Errorf("the doorbell is at %v, not an IPv4 socket", l.wakeupSocket.LocalAddr())
		}
		if front.count != 0 {
			t.Error("the doorbell was taken for a client, and would be closed as one that says nothing")
		}
		l.Stop()
	})
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// The doorbell opens before the loop has booted, when deadlines may be due already: the alarm must wait, as it calls a loop
// that is not there yet.
func TestNoAlarmBeforeTheBoot(t *testing.T) {
	l := &Loop{Timers: &timer.Queue{}, Now: func() routing.Time { return time.Hour }}
	l.Timers.ScheduleFunc(0, func() {})
	l.resetAlarm()
	if l.alarm != nil {
		l.alarm.Stop()
		t.Error("an alarm is set before the loop has booted")
	}
}

// A loop that has not run for longer than it should was paused: deadlines rest until what came meanwhile is read.
func TestDeadlinesRestBehindAPause(t *testing.T) {
	var clock routing.Time = 1000 * time.Second
	told, ran := []string{}, 0
	l := &Loop{Timers: &timer.Queue{}, Now: func() routing.Time { return clock }, PauseThreshold: 300 * time.Millisecond,
		SettleTime: 30 * time.Millisecond, Settled: func() { told = append(told, "settled") }}
	l.Paused = func(gap time.Duration) { told = append(told, "paused "+gap.String()) }
	l.alarm = time.NewTimer(time.Hour)
	defer l.alarm.Stop()
	look := func() { l.checkForPause(); l.runDue(); l.resetAlarm() }
	l.Timers.ScheduleFunc(clock+50*time.Millisecond, func() { ran++ })
	look()
	clock += 290 * time.Millisecond
	look()
	if ran != 1 || len(told) != 0 {
		t.Fatalf("ran %d, told %v without a pause", ran, told)
	}
	l.Timers.ScheduleFunc(clock+time.Second, func() { ran++ })
	clock += 5 * time.Second
	look()
	clock += 20 * time.Millisecond
	look()
	if ran != 1 || len(told) != 1 || told[0] != "paused 5s" {
		t.Errorf("ran %d, told %v within the rest", ran, told)
	}
	clock += 10 * time.Millisecond
	look()
	if ran != 2 || len(told) != 2 {
		t.Errorf("ran %d, told %v behind it", ran, told)
	}
	l.checkForPause()
	clock += 2 * time.Second // amid an event
	l.CheckForPause()
	if len(told) != 3 || told[2] != "paused 2s" {
		t.Errorf("told %v behind a pause amid an event", told)
	}
	clock += time.Second
	l.resetAlarm()
	if len(told) != 4 || told[3] != "paused 1s" {
		t.Errorf("told %v behind a pause at the end of an event", told)
	}
}
