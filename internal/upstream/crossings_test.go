package upstream

import (
	"errors"
	"testing"
	"time"

	"shaleyard/internal/director"
	"shaleyard/internal/handle"
	"shaleyard/internal/nettest"
	"shaleyard/routing"
)

// What waits for a dial and is taken back is never written, however late the dial comes up; what was written goes on.
func TestRecalledAttemptIsNeverWritten(t *testing.T) {
	b := newHarness()
	b.pools.limits.MaxConnsPerEndpoint = 2
	b.send(1, "r1")
	b.send(2, "r2")
	up, late := &nettest.FakeConn{}, &nettest.FakeConn{}
	b.dials[0].Opened(up)
	if b.pools.CancelIfUnwritten(1) {
		t.Error("what was written was taken back")
	}
	if !b.pools.CancelIfUnwritten(2) {
		t.Error("what waits for its dial was not taken back")
	}
	b.dials[1].Opened(late)
	if up.Written.Len() == 0 || late.Written.Len() != 0 {
		t.Errorf("%d bytes on the first connection, %d on the second; want some and none", up.Written.Len(), late.Written.Len())
	}
	b.dials[0].Data([]byte(bulkArray("r1", "OK", "-", "x")))
	b.wantResults(t, map[handle.Handle]routing.Result{1: routing.OK})
}

// While all is held, a dial that comes up, and one that fails beside a connection that works, write nothing: what
// would call the attempts off is unread yet.
func TestNothingIsWrittenWhileHeld(t *testing.T) {
	b := newHarness()
	b.pools.limits.MaxConnsPerEndpoint, b.pools.limits.MaxAttemptsPerConn = 2, 10
	b.send(1, "r1")
	b.send(2, "r2")
	b.send(3, "r3") // shares the first
	l := &nettest.FakeConn{}
	b.pools.SuspendWrites()
	b.dials[0].Opened(l)
	b.dials[1].Failed(errors.New("refused"))
	if l.Written.Len() != 0 {
		t.Fatalf("written while held: %q", l.Written.String())
	}
	b.pools.CancelIfUnwritten(1)
	b.pools.ResumeWrites()
	if got := b.pools.Counters.RequestsSent; got != 2 {
		t.Errorf("%d attempts written after the hold, want the two that were not taken back", got)
	}
}

// A repeat whose window ends while it waits for its connection would be a second run: it is not written, and never ran.
func TestRepeatOutsideItsWindowIsNotWritten(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		sent  bool
	}{{400 * time.Millisecond, true}, {500 * time.Millisecond, false}} {
		b := newHarness()
		b.pools.Send(1, 1, director.UpstreamRequest{Request: &director.Request{Ref: "r1"}, Timeout: 2 * time.Second,
			IdempotencyWindowEnd: b.now + 500*time.Millisecond})
		b.now += c.after
		l := &nettest.FakeConn{}
		b.dials[0].Opened(l)
		if got := l.Written.Len() > 0; got != c.sent {
			t.Errorf("dial up after %v: written %v, want %v", c.after, got, c.sent)
		}
		want := map[handle.Handle]routing.Result{}
		if !c.sent {
			want[1] = routing.Abandoned
		}
		b.wantResults(t, want)
	}
}

// A second copy of an answer may come some time after the first, and others between them. Had the next attempt of that
// request gone over the same connection, the copy would say of a repayment that is out that it never ran.
func TestSecondAnswerMeetsNoLaterAttempt(t *testing.T) {
	b := newHarness()
	b.send(1, "r1")
	b.dials[0].Opened(&nettest.FakeConn{})
	b.dials[0].Data([]byte(bulkArray("r1", "BUSY", "-", "")))
	b.send(2, "r2")
	b.dials[0].Data([]byte(bulkArray("r2", "OK", "-", "x"))) // so that r1 is no longer the latest id
	b.send(3, "r1")
	if len(b.dials) != 2 {
		t.Fatalf("%d dials: the second attempt of r1 is where its first was answered", len(b.dials))
	}
	b.dials[1].Opened(&nettest.FakeConn{})
	b.dials[0].Data([]byte(bulkArray("r1", "BUSY", "-", ""))) // the copy
	b.wantResults(t, map[handle.Handle]routing.Result{1: routing.Rejected, 2: routing.OK})
	b.now += b.pools.limits.LateAnswerWindow + 1
	b.dials[1].Data([]byte(bulkArray("r1", "BUSY", "-", "")))
	b.send(4, "r1")
	if b.pools.attempts[4].conn != b.dials[0] {
		t.Error("a connection is passed over for good, though no copy can come any more")
	}
}

// Bytes that the peer has not taken stand before all that comes behind them: it would leave when the peer likes.
func TestConnectionThatTakesNothingGetsNothingNew(t *testing.T) {
	b := newHarness()
	b.send(1, "r1")
	b.dials[0].Opened(&nettest.FakeConn{Buffered: 1})
	b.send(2, "r2")
	if len(b.dials) != 2 {
		t.Errorf("%d dials, want a second one", len(b.dials))
	}
}

// Where idle connections hold all descriptors, the one that was idle for the longest makes room; those in use stay.
func TestLongestIdleMakesRoomForADial(t *testing.T) {
	b := newHarness()
	b.pools.limits.MaxConnsPerEndpoint, b.pools.limits.MaxUpstreamConns, b.pools.limits.MaxReplacementDials = 8, 4, 2
	links := []*nettest.FakeConn{{}, {}, {}}
	for i, l := range links {
		h := handle.Handle(i + 1)
		b.send(h, "r"+string(rune('1'+i)))
		b.dials[i].Opened(l)
	}
	b.dials[1].Data([]byte(bulkArray("r2", "OK", "-", "x")))
	b.now += time.Millisecond
	b.dials[2].Data([]byte(bulkArray("r3", "OK", "-", "x")))
	b.pools.UpdateEndpoint(2, "c2", "a2", 0)
	b.pools.Send(4, 2, director.UpstreamRequest{Request: &director.Request{Ref: "r4"}, Timeout: time.Second})
	if len(b.dials) != 4 {
		t.Fatalf("%d dials: another peer's idle connections shut c2 out", len(b.dials))
	}
	if links[0].Closed || !links[1].Closed || links[2].Closed {
		t.Errorf("closed %v, %v, %v; want the longest idle one alone", links[0].Closed, links[1].Closed, links[2].Closed)
	}
}

// Where the peer's share is used up, what must not run twice takes the place of an idle connection, not the connection
// itself: the peer's close may be on its way.
func TestOnceTakesTheIdleOnesPlace(t *testing.T) {
	b := newHarness()
	b.pools.limits.MaxConnsPerEndpoint = 1
	b.send(1, "r1")
	l := &nettest.FakeConn{}
	b.dials[0].Opened(l)
	b.dials[0].Data([]byte(bulkArray("r1", "OK", "-", "x")))
	b.pools.Send(2, 1, director.UpstreamRequest{Request: &director.Request{Ref: "r2"}, Timeout: time.Second, NonIdempotent: true})
	if len(b.dials) != 2 || !l.Closed || b.pools.NumConns() != 1 {
		t.Errorf("%d dials, idle one closed %v, %d connections; want 2, true, 1", len(b.dials), l.Closed, b.pools.NumConns())
	}
}

// A copy is called current only where the cache names the copy that the client has.
func TestCurrentMeansTheClientsOwnCopy(t *testing.T) {
	for fields, want := range map[string]routing.Result{"rev=tag1,since=1": routing.OK, "rev=tag2,since=1": routing.Errored,
		"since=1": routing.Errored, "-": routing.Errored} {
		b := newHarness()
		b.pools.Send(1, 1, director.UpstreamRequest{Request: &director.Request{Ref: "r1", IfNoneMatch: "tag1"}, Timeout: time.Second})
		b.dials[0].Opened(&nettest.FakeConn{})
		b.dials[0].Data([]byte(bulkArray("r1", "SAME", fields, "")))
		b.wantResults(t, map[handle.Handle]routing.Result{1: want})
	}
}

// Half an answer has come when its attempt is given up: what is asked next on that connection would be answered into
// the other half, which may never come. Once it has come, the connection is as good as any.
func TestConnectionAmidAnAnswerTakesNothingNew(t *testing.T) {
	for _, rest := range []bool{true, false} {
		b := newHarness()
		b.send(1, "r1")
		l := &nettest.FakeConn{}
		b.dials[0].Opened(l)
		whole := bulkArray("r1", "OK", "-", "a long body")
		b.dials[0].Data([]byte(whole[:len(whole)-5]))
		b.pools.Cancel(1)
		b.send(2, "r2")
		if len(b.dials) != 2 {
			t.Fatalf("%d dials: r2 is behind half an answer", len(b.dials))
		}
		if rest {
			b.dials[0].Data([]byte(whole[len(whole)-5:]))
			b.send(3, "r3")
			if b.pools.attempts[3].conn != b.dials[0] {
				t.Error("a connection is not used though the answer on it has ended")
			}
			continue
		}
		b.now += b.pools.limits.UpstreamSilenceTimeout
		b.timers.RunDue(b.now)
		if !l.Closed {
			t.Error("a connection with an answer that does not end is kept")
		}
	}
}
