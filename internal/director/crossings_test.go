package director

import (
	"testing"
	"time"

	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// newHarnessWithWaitingAttempt is a bench on which a read waits for its connection to c1, filled from the origin or not.
func newHarnessWithWaitingAttempt(t *testing.T, unwritten bool) *harness {
	t.Helper()
	b := newHarness(t)
	b.unwritten = func(handle.Handle) bool { return unwritten }
	b.submit(0)
	if len(b.sentAttempts) != 1 || b.sentAttempts[0].host != hostForName("c1") {
		t.Fatalf("sent %v, want one to c1", b.sentAttempts)
	}
	return b
}

func endpointInZone1(name string, s routing.State, started time.Duration) Endpoint {
	return Endpoint{Name: name, Endpoint: routing.Endpoint{Zone: 1, State: s, Weight: 4, Started: started}}
}

// A dial may come up late, past what the rules leave: so news that overtake an attempt take it back while nothing of it
// has been written, and it is decided anew by them. What has been written goes on.
func TestNewsTakeBackWhatWaits(t *testing.T) {
	for _, c := range []struct {
		name string
		news func(*harness)
		back bool
	}{
		{"target drains", func(b *harness) {
			b.director.UpdateEndpoints(false, 2, []Endpoint{endpointInZone1("c1", routing.Draining, 0)})
		}, true},
		{"target has gone", func(b *harness) {
			b.director.UpdateEndpoints(false, 2, []Endpoint{endpointInZone1("c1", routing.Gone, 0)})
		}, true},
		{"target has started anew", func(b *harness) {
			b.director.UpdateEndpoints(false, 2, []Endpoint{endpointInZone1("c1", routing.Ready, b.now)})
		}, true},
		{"target is not in a whole list", func(b *harness) {
			b.director.UpdateEndpoints(true, 2, []Endpoint{endpointInZone1("c2", routing.Ready, 0)})
		}, true},
		{"source drains", func(b *harness) {
			b.director.UpdateEndpoints(false, 2, []Endpoint{{Name: "o", Endpoint: routing.Endpoint{Zone: 0, Kind: 2, State: routing.Draining, Weight: 4}}})
		}, true},
		{"object is purged", func(b *harness) { b.director.Purge(Purge{ObjectKey: 7, IssuedAt: b.now}) }, true},
		{"group is purged", func(b *harness) { b.director.Purge(Purge{IssuedAt: b.now}) }, true},
		{"another object is purged", func(b *harness) { b.director.Purge(Purge{ObjectKey: 8, IssuedAt: b.now}) }, false},
		{"another cache drains", func(b *harness) {
			b.director.UpdateEndpoints(false, 2, []Endpoint{endpointInZone1("c2", routing.Draining, 0)})
		}, false},
	} {
		for _, unwritten := range []bool{true, false} {
			b := newHarnessWithWaitingAttempt(t, unwritten)
			if b.sentAttempts[0].request.Source != "o" {
				t.Fatalf("filled from %q, want o", b.sentAttempts[0].request.Source)
			}
			first := b.sentAttempts[0].handle
			c.news(b)
			_, out := b.director.attempts.Get(first)
			if want := !(c.back && unwritten); out != want {
				t.Errorf("%s, unwritten %v: first attempt out %v, want %v", c.name, unwritten, out, want)
			}
			for _, s := range b.sentAttempts[1:] {
				if s.host == hostForName("c1") && (c.name == "target drains" || c.name == "target has gone") {
					t.Errorf("%s: sent there again", c.name)
				}
			}
		}
	}
}

// A purge that overtakes a waiting attempt makes the next one ask for a younger copy.
func TestPurgedWhileItWaitsIsAskedForAnew(t *testing.T) {
	b := newHarnessWithWaitingAttempt(t, true)
	b.director.Purge(Purge{ObjectKey: 7, IssuedAt: b.now - time.Millisecond})
	if len(b.sentAttempts) != 2 || b.sentAttempts[0].request.MaxAge != 0 || b.sentAttempts[1].request.MaxAge != time.Millisecond {
		t.Fatalf("sent %v, want a second attempt that asks for a copy no older than 1ms", b.sentAttempts)
	}
}

// The client has gone while its request waits for a connection, in a process that is held: its attempt is taken back
// at once, not when all goes on.
func TestLeavingIsHeededWhileHeld(t *testing.T) {
	b := newHarness(t)
	var back []handle.Handle
	b.unwritten = func(h handle.Handle) bool { back = append(back, h); return true }
	h := b.submit(0)
	b.director.Suspend(100 * time.Millisecond)
	if !b.writesSuspended {
		t.Error("the peers are not held")
	}
	b.director.Cancel(h)
	if len(back) != 1 || back[0] != b.sentAttempts[0].handle {
		t.Errorf("taken back %v, want the one that waits", back)
	}
	b.director.Resume(false)
	if b.writesSuspended {
		t.Error("the peers are still held")
	}
	b.wantResponses()
}

// As the program ends, all is answered by a time, also what waits for caches that hang, and what is still taken.
func TestEverythingIsAnsweredByTheEnd(t *testing.T) {
	b := newHarness(t)
	b.director.UpdateEndpoints(false, 2, []Endpoint{endpointInZone1("c2", routing.Ready, 0)})
	b.submit(0)
	b.submit(1)
	b.advance(100 * time.Millisecond)
	b.director.SetShutdownDeadline(b.now + time.Second)
	b.submit(0)
	b.advance(990 * time.Millisecond)
	if len(b.responses) != 0 {
		t.Fatalf("answered early: %v", b.responses)
	}
	b.advance(20 * time.Millisecond)
	if c := b.director.Counters; c.RequestsOverdue != 0 || c.AttemptsAbandoned != 0 {
		t.Errorf("%d ended by the guard, %d attempts decided past the end; want the module to end them", c.RequestsOverdue, c.AttemptsAbandoned)
	}
	b.wantResponses("refused", "failed", "refused") // the repayment may have run
}

// A request is read behind a pause, or amid one that is only noticed as it is taken: it may have waited for all of it, and
// its cache is told of what its client has left at least. Where that is nothing, it is refused at once.
func TestWhatWaitedUnreadHasLessTime(t *testing.T) {
	b := newHarness(t)
	paused := time.Duration(0)
	b.director.CheckForPause = func() {
		if paused > 0 {
			b.director.Suspend(paused)
		}
	}
	b.submit(0)
	whole := b.sentAttempts[0].request.Timeout
	paused = 300 * time.Millisecond
	b.submit(0)
	paused = 0
	b.director.Resume(false)
	if got := b.sentAttempts[1].request.Timeout; got != whole-300*time.Millisecond {
		t.Errorf("%v passed on, want %v", got, whole-300*time.Millisecond)
	}
	paused = whole
	b.submit(0)
	if n := b.director.Counters.RequestsRejected; n != 1 {
		t.Errorf("%d refused, want the one that has nothing left", n)
	}
	paused = 0
	b.director.Resume(false)
	b.submit(0)
	if got := b.sentAttempts[2].request.Timeout; got != whole {
		t.Errorf("%v passed on behind the pause, want %v", got, whole)
	}
}
