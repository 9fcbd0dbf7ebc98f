package loop

import (
	"net"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"

	"shaleyard/internal/director"
	"shaleyard/rules"
)

// early is a loop whose first tick does not come; it tells where it listens.
type early struct {
	*Loop
	up chan string
}

func (e early) OnBoot(eng gnet.Engine) gnet.Action {
	a := e.Loop.OnBoot(eng)
	e.up <- e.Address()
	return a
}

type nobody struct{}

func (nobody) Accept(Conn) Session { return nil }

// Clients go on coming to a director that was down. One that is there before the first tick must find a
// loop that has booted: its request sets deadlines and dials, and without a handle on the loop that was a
// nil call.
func TestFirstConnectionBoots(t *testing.T) {
	booted := make(chan struct{})
	l := &Loop{Agenda: &director.Agenda{}, Now: func() rules.Time { return rules.Time(time.Now().UnixNano()) },
		Logf: t.Logf, Front: nobody{}, Boot: func() { close(booted) }}
	l.bell, _ = net.Pipe() // the doorbell hangs already, so that the tick does nothing
	e := early{l, make(chan string, 1)}
	ended := make(chan error)
	go func() { ended <- gnet.Run(e, "tcp://127.0.0.1:0", l.options()...) }()
	c, err := net.Dial("tcp", <-e.up)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	select {
	case <-booted:
	case <-time.After(20 * time.Second): // only so that a failure ends
		t.Error("a client's connection did not boot the loop")
	}
	l.Stop()
	if err := <-ended; err != nil {
		t.Error(err)
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
