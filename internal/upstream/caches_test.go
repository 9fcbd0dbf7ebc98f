package upstream

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"shaleyard/internal/buffer"
	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/handle"
	"shaleyard/internal/nettest"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// harness is a fleet on scripted dials, with a clock that the test moves.
type harness struct {
	pools   *Pools
	timers  timer.Queue
	now     routing.Time
	dials   []eventloop.Stream
	results map[handle.Handle]routing.Result
}

func (b *harness) Dial(_ string, _ time.Duration, s eventloop.Stream) { b.dials = append(b.dials, s) }
func (b *harness) AttemptEnded(h handle.Handle, e director.AttemptResult) {
	b.results[h] = e.Result
	e.Body.Release()
}

func newHarness() *harness {
	b := &harness{now: 1000 * time.Second, results: map[handle.Handle]routing.Result{}}
	l := &config.Limits{MaxUpstreamConns: 8, MaxAttemptsPerConn: 2, UpstreamIdleTimeout: 10 * time.Second, MinIdleTimeout: 50 * time.Millisecond,
		IdleCloseRaceWindow: 50 * time.Millisecond, LateAnswerWindow: 5 * time.Second, UpstreamSilenceTimeout: time.Second,
		MaxAnswerBodyBytes: 100, MaxAnswerFieldBytes: 100}
	s := &routing.Settings{LoadReport: routing.LoadReportSettings{Fields: []string{"active", "x1"}}}
	b.pools = NewPools(l, s, buffer.NewPool(64, 64), b, b, &b.timers, func() routing.Time { return b.now }, zap.NewNop(), 1)
	b.pools.UpdateEndpoint(1, "c1", "a", 0)
	return b
}

func (b *harness) send(h handle.Handle, ref string) {
	b.pools.Send(h, 1, director.UpstreamRequest{Request: &director.Request{Ref: ref, Service: "s", Object: "o", Part: "0"},
		Timeout: time.Second})
}

func (b *harness) wantResults(t *testing.T, ends map[handle.Handle]routing.Result) {
	t.Helper()
	if d := cmp.Diff(ends, b.results); d != "" {
		t.Error(d)
	}
}

func TestRequestFields(t *testing.T) {
	r := director.Request{Service: "media", Object: "7f3a", Part: "3", IfNoneMatch: "k"}
	keyed := r
	keyed.IdempotencyKey = "5c0f"
	for _, c := range []struct {
		call director.UpstreamRequest
		want string
	}{
		{director.UpstreamRequest{Request: &r, Source: "s-1", RetentionRank: 2, FetchFlags: routing.CoalesceFill | routing.StaleWhileRevalidate, MaxAge: 8999 * time.Microsecond},
			"sort=media,asset=7f3a,slice=3,patience=1500,up=s-1,store=2,cap=8,do=share+swr,inm=k"},
		{director.UpstreamRequest{Request: &r, FetchFlags: routing.OnlyIfCached, MaxAge: 1},
			"sort=media,asset=7f3a,slice=3,patience=1500,cap=1,do=peek,inm=k"},
		{director.UpstreamRequest{Request: &keyed, Source: "s-1"}, "sort=media,asset=7f3a,slice=3,patience=1500,op=5c0f,up=s-1,inm=k"},
	} {
		if got := string(appendRequestFields(nil, c.call, 1500*time.Millisecond)); got != c.want {
			t.Errorf("got  %s\nwant %s", got, c.want)
		}
	}
}

// Nothing that waited for a dial has run when it fails; what was written may have run when it is reset.
func TestEndsAreExact(t *testing.T) {
	b := newHarness()
	b.send(1, "r1")
	b.dials[0].Failed(errors.New("refused"))
	b.send(2, "r2")
	b.dials[1].Opened(&nettest.FakeConn{})
	b.dials[1].Closed()
	b.pools.Send(3, 99, director.UpstreamRequest{Request: &director.Request{Ref: "r3"}})
	b.wantResults(t, map[handle.Handle]routing.Result{1: routing.ConnectFailed, 2: routing.Reset, 3: routing.ConnectFailed})
	if n := b.pools.NumConns(); n != 0 {
		t.Errorf("%d connections left", n)
	}
}

func TestStopTellsWhetherItWasWritten(t *testing.T) {
	b := newHarness()
	b.send(1, "r1")
	if b.pools.Cancel(1) {
		t.Error("an attempt that waits for its dial counts as written")
	}
	l := &nettest.FakeConn{}
	b.dials[0].Opened(l)
	if got := l.Written.String(); got != "" {
		t.Errorf("after its stop %q was sent", got)
	}
	b.send(2, "r2")
	if !b.pools.Cancel(2) {
		t.Error("a written attempt counts as not written")
	}
	if !strings.HasSuffix(l.Written.String(), bulkArray("STOP", "r2")) {
		t.Errorf("no STOP in %q", l.Written.String())
	}
}

// An answer that crosses a STOP can't be told from that to a second attempt with the same id on the same
// connection: the second one takes another.
func TestSecondAttemptAvoidsTheStoppedOnesConnection(t *testing.T) {
	b := newHarness()
	b.send(1, "r1")
	b.dials[0].Opened(&nettest.FakeConn{})
	b.pools.Cancel(1)
	b.send(2, "r1")
	if len(b.dials) != 2 {
		t.Fatalf("%d dials, want a second one", len(b.dials))
	}
	b.dials[1].Opened(&nettest.FakeConn{})
	b.dials[0].Data([]byte(bulkArray("r1", "OK", "n=HIT", "late")))
	b.wantResults(t, map[handle.Handle]routing.Result{})
	b.dials[1].Data([]byte(bulkArray("r1", "MISS", "-", "")))
	b.wantResults(t, map[handle.Handle]routing.Result{2: routing.Miss})
}

// Attempts share a connection only where the peer's share is used up, as one spoilt answer ends all on it. What
// is idle is used again, but not for the id it has just answered: a second copy may still come. A dial that
// fails proves nothing while others work: a cache turns away more connections than it holds.
func TestAttemptsSpreadOverConnections(t *testing.T) {
	b := newHarness()
	b.pools.limits.MaxConnsPerEndpoint = 2
	b.send(1, "r1")
	b.dials[0].Opened(&nettest.FakeConn{})
	b.send(2, "r2")
	b.dials[1].Failed(errors.New("refused"))
	b.wantResults(t, map[handle.Handle]routing.Result{})
	if b.pools.attempts[2].conn != b.dials[0] || b.pools.Counters.Reassigned != 1 {
		t.Error("the attempt behind a failed dial is not on the connection that works")
	}
	b.dials[0].Data([]byte(bulkArray("r1", "MISS", "-", "") + bulkArray("r2", "MISS", "-", "")))
	b.send(3, "r2")
	if len(b.dials) != 3 || b.pools.attempts[3].conn != b.dials[2] {
		t.Errorf("%d dials: the second try of r2 is on the connection of the first", len(b.dials))
	}
	b.dials[2].Opened(&nettest.FakeConn{})
	b.send(4, "r4")
	b.send(5, "r5")
	if len(b.dials) != 3 || b.pools.attempts[4].conn != b.dials[0] {
		t.Errorf("%d dials: r4 has no idle connection, or r5 one beyond the share", len(b.dials))
	}
}

// What must not run twice takes a new connection though an idle one is there: a reset that crosses it on an
// idle one would leave it unknown whether it ran.
func TestOnceTakesANewConnection(t *testing.T) {
	b := newHarness()
	b.pools.limits.MaxConnsPerEndpoint = 4
	b.send(1, "r1")
	b.dials[0].Opened(&nettest.FakeConn{})
	b.dials[0].Data([]byte(bulkArray("r1", "OK", "-", "x")))
	b.pools.Send(2, 1, director.UpstreamRequest{Request: &director.Request{Ref: "r2"}, Timeout: time.Second, NonIdempotent: true})
	if len(b.dials) != 2 {
		t.Errorf("%d dials, want a second one", len(b.dials))
	}
}

// Peers may drop idle connections sooner than they say. A reset under the first request after an idle time teaches
// not to use connections again that were idle for so long; what was spoilt, or reset under a first request,
// teaches nothing.
func TestIdleTimeIsLearntFromResets(t *testing.T) {
	for _, c := range []struct {
		idle time.Duration
		end  func(eventloop.Stream)
		want bool // that a connection idle for as long is used again
	}{
		{300 * time.Millisecond, func(s eventloop.Stream) { s.Closed() }, false},
		{300 * time.Millisecond, func(s eventloop.Stream) { s.Data([]byte("noise")); s.Closed() }, true},
		{300 * time.Millisecond, func(s eventloop.Stream) { s.Data([]byte(bulkArray("r2", "OK", "-", "x"))); s.Closed() }, true},
		{0, func(s eventloop.Stream) { s.Closed() }, true},
	} {
		b := newHarness()
		b.pools.limits.MaxConnsPerEndpoint = 4
		b.send(1, "r1")
		b.dials[0].Opened(&nettest.FakeConn{})
		b.dials[0].Data([]byte(bulkArray("r1", "OK", "-", "x")))
		b.now += c.idle
		b.send(2, "r2")
		c.end(b.dials[0])
		b.send(3, "r3")
		b.dials[1].Opened(&nettest.FakeConn{})
		b.dials[1].Data([]byte(bulkArray("r3", "OK", "-", "x")))
		b.now += 300 * time.Millisecond
		b.timers.RunDue(b.now)
		b.send(4, "r4")
		if got := len(b.dials) == 2; got != c.want {
			t.Errorf("after %v idle: used again %v, want %v", c.idle, got, c.want)
		}
	}
}

// Found on a day with cold caches: each director took the resets of a cache that died for idle times that were too long,
// at all caches, and for good: every attempt opened a connection from then on. Only a request that crossed the close of
// its connection alone tells of idle times, and what it tells ages.
func TestOnlyCrossingsTeachIdleTimes(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*harness)
		want time.Duration // idle connections are used again for
	}{
		"crossed":               {func(b *harness) { b.dials[0].Closed() }, 225 * time.Millisecond},
		"reset while it worked": {func(b *harness) { b.now += 51 * time.Millisecond; b.dials[0].Closed() }, 10 * time.Second},
		"the peer has died": {func(b *harness) {
			b.dials[0].Closed()
			b.now += 10 * time.Millisecond
			b.dials[1].Closed()
		}, 10 * time.Second},
		"an idle one first": {func(b *harness) { b.dials[1].Closed(); b.dials[0].Closed() }, 10 * time.Second},
		"the next is refused": {func(b *harness) {
			b.dials[0].Closed()
			b.dials[1].Closed()
			b.now += 200 * time.Millisecond
			b.send(9, "r9")
			b.dials[2].Opened(&nettest.FakeConn{})
			b.dials[2].Data([]byte(bulkArray("r9", "OK", "-", "x")))
			b.now += 300 * time.Millisecond
			b.send(10, "r10")
			b.dials[2].Closed()
			b.send(11, "r11")
			b.dials[3].Failed(fmt.Errorf("connect: %w", syscall.ECONNREFUSED))
		}, 10 * time.Second},
		"a new life": {func(b *harness) { b.dials[0].Closed(); b.pools.UpdateEndpoint(1, "c1", "a", b.now) }, 10 * time.Second},
		"gone":       {func(b *harness) { b.dials[0].Closed(); b.pools.RemoveEndpoint(1) }, 10 * time.Second},
	} {
		b := newHarness()
		b.pools.limits.MaxConnsPerEndpoint = 4
		b.send(1, "r1")
		b.send(2, "r2")
		for i, ref := range []string{"r1", "r2"} {
			b.dials[i].Opened(&nettest.FakeConn{})
			b.dials[i].Data([]byte(bulkArray(ref, "OK", "-", "x")))
		}
		b.now += 300 * time.Millisecond
		b.send(3, "r3")
		if b.pools.attempts[3].conn != b.dials[0] {
			b.dials[0], b.dials[1] = b.dials[1], b.dials[0]
		}
		c.end(b)
		b.now += b.pools.limits.IdleCloseRaceWindow
		b.timers.RunDue(b.now)
		if got := b.pools.idleReuse.Value(b.now); got != c.want {
			t.Errorf("%s: idle ones are used again for %v, want %v", name, got, c.want)
		}
	}
}

// A dial that is reset, other than one that is refused, does not prove that nobody is there: nothing has run, and
// it is made again, but not without end.
func TestResetDialIsMadeAgain(t *testing.T) {
	b := newHarness()
	b.send(1, "r1")
	for i := range 3 {
		b.wantResults(t, map[handle.Handle]routing.Result{})
		b.dials[i].Failed(fmt.Errorf("connect: %w", syscall.ECONNRESET))
	}
	b.wantResults(t, map[handle.Handle]routing.Result{1: routing.ConnectFailed})
	if len(b.dials) != 3 {
		t.Errorf("%d dials, want 3", len(b.dials))
	}
}

// A silent connection that has nothing left open is of no use: it is closed, not passed over for good.
func TestSilentConnectionIsClosedOnceEmpty(t *testing.T) {
	b := newHarness()
	b.send(1, "r1")
	l := &nettest.FakeConn{}
	b.dials[0].Opened(l)
	b.pools.Cancel(1)
	b.now += 2 * time.Second
	b.send(2, "r2")
	if !l.Closed || b.pools.NumConns() != 1 {
		t.Errorf("closed %v, %d connections held, want the new one only", l.Closed, b.pools.NumConns())
	}
}

// A machine that vanishes leaves its connections open and silent: the next attempt must dial, which proves
// whether it is there. A short wait is no silence.
func TestSilentConnectionTakesNothingNew(t *testing.T) {
	b := newHarness()
	b.send(1, "r1")
	b.dials[0].Opened(&nettest.FakeConn{})
	b.pools.Cancel(1)
	b.now += 900 * time.Millisecond
	b.send(2, "r2")
	if len(b.dials) != 1 {
		t.Errorf("%d dials after a short wait, want 1", len(b.dials))
	}
	b.now += 200 * time.Millisecond
	b.send(3, "r3")
	if len(b.dials) != 2 {
		t.Errorf("%d dials after a long silence, want 2", len(b.dials))
	}
	b.dials[0].Data([]byte(bulkArray("r2", "OK", "-", "x")))
	b.pools.Cancel(3)
	b.send(4, "r4")
	if len(b.dials) != 2 || b.pools.attempts[4].conn != b.dials[0] {
		t.Error("a connection that speaks again is not used")
	}
	b.dials[0].Data([]byte(bulkArray("r4", "OK", "-", "x")))
	b.now += 5 * time.Second // idle, not silent: nothing is owed
	b.send(5, "r5")
	if b.pools.attempts[5].conn != b.dials[0] {
		t.Error("an idle connection is not used")
	}
}

// A restarted process, or a new member at an old address, must get nothing over its predecessor's sockets.
func TestNewLifeGetsNewConnections(t *testing.T) {
	b := newHarness()
	b.send(1, "r1")
	l := &nettest.FakeConn{}
	b.dials[0].Opened(l)
	b.pools.UpdateEndpoint(1, "c1", "a", b.now+1)
	b.wantResults(t, map[handle.Handle]routing.Result{1: routing.Reset})
	b.send(2, "r2")
	if len(b.dials) != 2 || !l.Closed {
		t.Errorf("%d dials, old connection closed: %v", len(b.dials), l.Closed)
	}
	b.pools.RemoveEndpoint(1)
	b.dials[1].Opened(&nettest.FakeConn{})
	b.dials[1].Data([]byte(bulkArray("r2", "OK", "-", "x")))
	b.wantResults(t, map[handle.Handle]routing.Result{1: routing.Reset, 2: routing.OK})
	if n := b.pools.NumConns(); n != 0 {
		t.Errorf("%d connections to a member that has gone", n)
	}
}

// News of a start come late. What was opened to the new life already must stay: a reset would fail the
// repayments that are out on it.
func TestLateNewsOfAStartKeepNewConnections(t *testing.T) {
	b := newHarness()
	b.send(1, "r1")
	b.send(2, "r2")
	b.send(3, "r3") // on a second connection, still being dialled when the news come
	l := &nettest.FakeConn{}
	b.now += time.Second
	b.dials[0].Opened(l)
	b.pools.UpdateEndpoint(1, "c1", "a", b.now-time.Second/2)
	if l.Closed {
		t.Error("a connection to the new life was closed")
	}
	b.wantResults(t, map[handle.Handle]routing.Result{})
}

func TestBadAnswerFailsItsAttempt(t *testing.T) {
	b := newHarness()
	b.send(1, "r1")
	b.send(2, "r2")
	b.dials[0].Opened(&nettest.FakeConn{})
	b.dials[0].Data([]byte(bulkArray("r1", "SAME", "-", ""))) // no copy of the client was passed on
	b.dials[0].Data([]byte(bulkArray("r2", "OK", "n=NEVER", "x")))
	b.wantResults(t, map[handle.Handle]routing.Result{1: routing.Errored, 2: routing.Errored})
}

// A dial holds two descriptors until it has joined the loop. Accept ends the engine when they run out.
func TestDescriptorsAreBounded(t *testing.T) {
	b := newHarness()
	for h := handle.Handle(1); h <= 9; h++ {
		b.send(h, "r"+string(rune('0'+h)))
	}
	if len(b.dials) != 4 {
		t.Errorf("%d dials, want 4", len(b.dials))
	}
	b.wantResults(t, map[handle.Handle]routing.Result{9: routing.Abandoned}) // our shortage, not the peer's failure
	b.dials[0].Failed(errors.New("refused"))
	b.dials[1].Opened(&nettest.FakeConn{})
	b.dials[1].Closed()
	b.dials[2].Opened(&nettest.FakeConn{})
	if b.pools.descriptorsInUse != 3 {
		t.Errorf("%d descriptors counted, want 3", b.pools.descriptorsInUse)
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	b := newHarness()
	b.send(1, "r1")
	l := &nettest.FakeConn{}
	b.dials[0].Opened(l)
	b.dials[0].Data([]byte(bulkArray("r1", "OK", "l=inflight:7;x1:0.5", "x")))
	b.timers.RunDue(b.now + 9*time.Second)
	if l.Closed {
		t.Error("closed before the idle time")
	}
	b.timers.RunDue(b.now + 11*time.Second)
	if !l.Closed {
		t.Error("still open after the idle time")
	}
}

func TestReportFollowsTheSettings(t *testing.T) {
	b := newHarness()
	if d := cmp.Diff([]float32{7, 0.5}, b.pools.decodeLoadReport("x0:1;inflight:7;x1:0.5")); d != "" {
		t.Error(d)
	}
}

// How many connections a peer takes shows only in dials that fail. From then on attempts share those that hold, and
// no request tries the peer's patience anew; a new life of the peer is a new beginning.
func TestPeerShortOfConnectionsIsNotAskedForMore(t *testing.T) {
	b := newHarness()
	b.pools.limits.MaxConnsPerEndpoint, b.pools.limits.MaxUpstreamConns, b.pools.limits.MaxAttemptsPerConn = 8, 32, 100
	b.send(1, "r1")
	b.dials[0].Opened(&nettest.FakeConn{})
	b.send(2, "r2")
	b.dials[1].Failed(errors.New("refused")) // r2 moves to the one that holds
	for i := range 20 {
		b.send(handle.Handle(10+i), fmt.Sprintf("s%d", i))
	}
	if len(b.dials) != 2 {
		t.Errorf("%d dials, want none behind the one that failed", len(b.dials))
	}
	if b.pools.Counters.ConnectLimited != 20 || len(b.results) != 0 {
		t.Errorf("%d attempts shared a connection, want 20; ended: %v", b.pools.Counters.ConnectLimited, b.results)
	}
	b.pools.UpdateEndpoint(1, "c1", "b", b.now)
	b.send(50, "r50")
	if len(b.dials) != 3 {
		t.Errorf("%d dials, want one to the new life", len(b.dials))
	}
}

// A burst opens few connections at a time, and one to a peer that has only just started.
func TestBurstOpensFewConnectionsAtATime(t *testing.T) {
	for _, young := range []bool{false, true} {
		b := newHarness()
		b.pools.limits.MaxConnsPerEndpoint, b.pools.limits.MaxUpstreamConns, b.pools.limits.MaxAttemptsPerConn = 32, 64, 100
		want := 3
		if young {
			b.pools.UpdateEndpoint(1, "c1", "a", b.now)
			want = 1
		}
		for i := range 20 {
			b.send(handle.Handle(1+i), fmt.Sprintf("s%d", i))
		}
		if len(b.dials) != want {
			t.Errorf("young %v: %d dials at once, want %d", young, len(b.dials), want)
		}
	}
}

// A peer that is full may accept a connection only to close it: that counts like a failed dial. One that has served,
// or that is the only one, says nothing of room.
func TestConnectionClosedUnusedCountsAsTurnedAway(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(b *harness)
		dials  int
	}{
		{"turned away", func(*harness) {}, 2},
		{"after a while", func(b *harness) { b.now += time.Second }, 3},
	} {
		b := newHarness()
		b.pools.limits.MaxConnsPerEndpoint, b.pools.limits.MaxUpstreamConns, b.pools.limits.MaxAttemptsPerConn = 8, 32, 100
		b.send(1, "r1")
		b.dials[0].Opened(&nettest.FakeConn{})
		b.send(2, "r2")
		b.dials[1].Opened(&nettest.FakeConn{})
		tc.before(b)
		b.dials[1].Closed()
		b.send(3, "r3")
		if len(b.dials) != tc.dials {
			t.Errorf("%s: %d dials, want %d", tc.name, len(b.dials), tc.dials)
		}
	}
}
