package director

import (
	"testing"
	"time"

	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// waiting is a bench on which a read waits for its connection to c1, filled from the origin or not.
func waiting(t *testing.T, unwritten bool) *bench {
	t.Helper()
	b := newBench(t)
	b.recall = func(handle.Handle) bool { return unwritten }
	b.submit(0)
	if len(b.sent) != 1 || b.sent[0].to != hostOf("c1") {
		t.Fatalf("sent %v, want one to c1", b.sent)
	}
	return b
}

func entry(name string, s routing.State, started time.Duration) Endpoint {
	return Endpoint{Name: name, Endpoint: routing.Endpoint{Zone: 1, State: s, Weight: 4, Started: started}}
}

// A dial may come up late, past what the rules leave: so news that overtake an attempt take it back while nothing of it
// has been written, and it is decided anew by them. What has been written goes on.
func TestNewsTakeBackWhatWaits(t *testing.T) {
	for _, c := range []struct {
		name string
		news func(*bench)
		back bool
	}{
		{"target drains", func(b *bench) { b.d.UpdateEndpoints(false, 2, []Endpoint{entry("c1", routing.Draining, 0)}) }, true},
		{"target has gone", func(b *bench) { b.d.UpdateEndpoints(false, 2, []Endpoint{entry("c1", routing.Gone, 0)}) }, true},
		{"target has started anew", func(b *bench) { b.d.UpdateEndpoints(false, 2, []Endpoint{entry("c1", routing.Ready, b.clock)}) }, true},
		{"target is not in a whole list", func(b *bench) {
			b.d.UpdateEndpoints(true, 2, []Endpoint{entry("c2", routing.Ready, 0)})
		}, true},
		{"source drains", func(b *bench) {
			b.d.UpdateEndpoints(false, 2, []Endpoint{{Name: "o", Endpoint: routing.Endpoint{Zone: 0, Kind: 2, State: routing.Draining, Weight: 4}}})
		}, true},
		{"object is purged", func(b *bench) { b.d.Purge(Purge{ObjectKey: 7, IssuedAt: b.clock}) }, true},
		{"group is purged", func(b *bench) { b.d.Purge(Purge{IssuedAt: b.clock}) }, true},
		{"another object is purged", func(b *bench) { b.d.Purge(Purge{ObjectKey: 8, IssuedAt: b.clock}) }, false},
		{"another cache drains", func(b *bench) { b.d.UpdateEndpoints(false, 2, []Endpoint{entry("c2", routing.Draining, 0)}) }, false},
	} {
		for _, unwritten := range []bool{true, false} {
			b := waiting(t, unwritten)
			if b.sent[0].call.Source != "o" {
				t.Fatalf("filled from %q, want o", b.sent[0].call.Source)
			}
			first := b.sent[0].h
			c.news(b)
			_, out := b.d.attempts.Get(first)
			if want := !(c.back && unwritten); out != want {
				t.Errorf("%s, unwritten %v: first attempt out %v, want %v", c.name, unwritten, out, want)
			}
			for _, s := range b.sent[1:] {
				if s.to == hostOf("c1") && (c.name == "target drains" || c.name == "target has gone") {
					t.Errorf("%s: sent there again", c.name)
				}
			}
		}
	}
}

// A purge that overtakes a waiting attempt makes the next one ask for a younger copy.
func TestPurgedWhileItWaitsIsAskedForAnew(t *testing.T) {
	b := waiting(t, true)
	b.d.Purge(Purge{ObjectKey: 7, IssuedAt: b.clock - time.Millisecond})
	if len(b.sent) != 2 || b.sent[0].call.MaxAge != 0 || b.sent[1].call.MaxAge != time.Millisecond {
		t.Fatalf("sent %v, want a second attempt that asks for a copy no older than 1ms", b.sent)
	}
}

// The client has gone while its request waits for a connection, in a process that is held: its attempt is taken back
// at once, not when all goes on.
func TestLeavingIsHeededWhileHeld(t *testing.T) {
	b := newBench(t)
	var back []handle.Handle
	b.recall = func(h handle.Handle) bool { back = append(back, h); return true }
	h := b.submit(0)
	b.d.Suspend(100 * time.Millisecond)
	if !b.held {
		t.Error("the peers are not held")
	}
	b.d.Cancel(h)
	if len(back) != 1 || back[0] != b.sent[0].h {
		t.Errorf("taken back %v, want the one that waits", back)
	}
	b.d.Resume(false)
	if b.held {
		t.Error("the peers are still held")
	}
	b.want()
}

// As the program ends, all is answered by a time, also what waits for caches that hang, and what is still taken.
func TestEverythingIsAnsweredByTheEnd(t *testing.T) {
	b := newBench(t)
	b.d.UpdateEndpoints(false, 2, []Endpoint{entry("c2", routing.Ready, 0)})
	b.submit(0)
	b.submit(1)
	b.pass(100 * time.Millisecond)
	b.d.SetShutdownDeadline(b.clock + time.Second)
	b.submit(0)
	b.pass(990 * time.Millisecond)
	if len(b.answers) != 0 {
		t.Fatalf("answered early: %v", b.answers)
	}
	b.pass(20 * time.Millisecond)
	if c := b.d.Counters; c.RequestsOverdue != 0 || c.AttemptsAbandoned != 0 {
		t.Errorf("%d ended by the guard, %d attempts decided past the end; want the module to end them", c.RequestsOverdue, c.AttemptsAbandoned)
	}
	b.want("refused", "failed", "refused") // the repayment may have run
}

// A request is read behind a pause, or amid one that is only noticed as it is taken: it may have waited for all of it, and
// its cache is told of what its client has left at least. Where that is nothing, it is refused at once.
func TestWhatWaitedUnreadHasLessTime(t *testing.T) {
	b := newBench(t)
	paused := time.Duration(0)
	b.d.CheckForPause = func() {
		if paused > 0 {
			b.d.Suspend(paused)
		}
	}
	b.submit(0)
	whole := b.sent[0].call.Timeout
	paused = 300 * time.Millisecond
	b.submit(0)
	paused = 0
	b.d.Resume(false)
	if got := b.sent[1].call.Timeout; got != whole-300*time.Millisecond {
		t.Errorf("%v passed on, want %v", got, whole-300*time.Millisecond)
	}
	paused = whole
	b.submit(0)
	if n := b.d.Counters.RequestsRejected; n != 1 {
		t.Errorf("%d refused, want the one that has nothing left", n)
	}
	paused = 0
	b.d.Resume(false)
	b.submit(0)
	if got := b.sent[2].call.Timeout; got != whole {
		t.Errorf("%v passed on behind the pause, want %v", got, whole)
	}
}
