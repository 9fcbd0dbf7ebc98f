package downstream

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"shaleyard/internal/buffer"
	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/handle"
	"shaleyard/internal/nettest"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// testHarness is a server that hands requests to the test.
type testHarness struct {
	server         *Server
	timers         timer.Queue
	now            routing.Time
	pool           *buffer.Pool
	submitted      []director.Request
	tokens         []uint64
	replier        director.Replier
	canceled       int
	shortened      map[handle.Handle]routing.Time
	tableFull      bool
	protocolErrors int
	duringSubmit   func() // what comes while Submit runs
}

func (b *testHarness) Submit(q director.Request, r director.Replier, token uint64) (handle.Handle, bool) {
	if b.tableFull {
		return 0, false
	}
	b.submitted, b.tokens, b.replier = append(b.submitted, q), append(b.tokens, token), r
	if b.duringSubmit != nil {
		b.duringSubmit()
	}
	return handle.Handle(len(b.submitted)), true
}
func (b *testHarness) ShortenDeadline(h handle.Handle, giveUp routing.Time) { b.shortened[h] = giveUp }

func (b *testHarness) Cancel(h handle.Handle) {
	if h != 0 {
		b.canceled++
	}
}

func newHarness() *testHarness {
	b := &testHarness{now: 1000 * time.Second, pool: buffer.NewPool(64, 64), shortened: map[handle.Handle]routing.Time{}}
	l := &config.Limits{MaxClientConns: 5, MaxRequestsPerConn: 2, MaxFrameBytes: 4096, MaxRequestBodyBytes: 100, MaxRequestFields: 16,
		ClientBacklogBytes: 10_000, TotalBacklogBytes: 15_000, ClientIdleTimeout: 30 * time.Second, MessageTimeout: 2 * time.Second,
		ClientKeepAlive: 5 * time.Second, MaxRequestTimeout: time.Minute}
	s := &routing.Settings{Classes: []routing.Class{{Name: "pages"}, {Name: "media"}}}
	b.server = NewServer(l, s, b.pool, b, &b.timers, func() routing.Time { return b.now })
	b.server.OnProtocolError = func(error) { b.protocolErrors++ }
	return b
}

func submitFields(ref string) []string {
	return []string{"service", "media", "ref", ref, "allow", "1500", "lookup", "7f3a9c21e0b4d655", "chunk", "3",
		"tag", "17", "room", "412.5", "known", "4be0c1927d55a6f3", "replay", "5c0f6e1a2b3d4c59", "unheard", "of"}
}

const testRef = "9b1f03aa5c7e2d41"

func TestRequestIsReadInAnyPieces(t *testing.T) {
	stream := nettest.SubmitFrame(1, strings.Repeat("b", 99), submitFields(testRef)...) +
		nettest.SubmitFrame(2, "", submitFields(testRef)...)
	for _, piece := range []int{1, 3, 64, 65, len(stream)} {
		b := newHarness()
		x := b.server.Accept(&nettest.FakeConn{})
		for rest := stream; rest != ""; {
			k := min(piece, len(rest))
			if err := x.Data([]byte(rest[:k])); err != nil {
				t.Fatalf("pieces of %d: %v", piece, err)
			}
			rest = rest[k:]
		}
		if len(b.submitted) != 2 {
			t.Fatalf("pieces of %d: %d requests", piece, len(b.submitted))
		}
		q := b.submitted[0]
		got := []any{q.Ref, q.Service, q.Object, q.Part, q.Class, q.ObjectKey, q.PartNumber, q.Group, q.SizeKB, q.IfNoneMatch, q.IdempotencyKey, q.Timeout,
			q.Body.Len()}
		want := []any{testRef, "media", "7f3a9c21e0b4d655", "3", 1, uint64(0x7f3a9c21e0b4d655), 3, 17, 412.5,
			"4be0c1927d55a6f3", "5c0f6e1a2b3d4c59", 1500 * time.Millisecond, 99}
		if d := cmp.Diff(want, got); d != "" {
			t.Fatalf("pieces of %d: %s", piece, d)
		}
		q.Body.Release()
		if b.pool.InUse() != 0 {
			t.Fatalf("pieces of %d: %d buffers left", piece, b.pool.InUse())
		}
	}
}

func TestBadFieldsAreNamed(t *testing.T) {
	for _, c := range []struct{ name, value string }{{"service", "nobody"}, {"ref", "xyz"}, {"ref", "9b1f03aa5c7e2d4g"},
		{"allow", "0"}, {"allow", "soon"}, {"lookup", ""}, {"chunk", "-1"}, {"chunk", "+3"}, {"chunk", "03"}, {"tag", "256"}, {"room", "NaN"},
		{"room", "-1"}, {"known", "a,up=b"}, {"replay", "a,up=b"}} {
		b := newHarness()
		w := &nettest.FakeConn{}
		x := b.server.Accept(w)
		if err := x.Data([]byte(nettest.SubmitFrame(1, "", append(submitFields(testRef), c.name, c.value)...))); err != nil {
			t.Errorf("%v: %v", c, err)
		}
		if len(b.submitted) != 0 || !strings.Contains(w.Written.String(), c.name+":") {
			t.Errorf("%v: taken %d, answered %q", c, len(b.submitted), w.Written.String())
		}
	}
}

// A client that does not read must lose its connection, not the program its memory.
func TestBacklogIsBounded(t *testing.T) {
	b := newHarness()
	w, w2 := &nettest.FakeConn{}, &nettest.FakeConn{}
	x, y := b.server.Accept(w), b.server.Accept(w2)
	x.Data([]byte(nettest.SubmitFrame(1, "", submitFields(testRef)...)))
	w.Buffered = 9_990
	b.replier.Reply(b.tokens[0], director.Response{Outcome: director.Served})
	if !w.Closed || w.Written.Len() > 0 {
		t.Errorf("closed %v with %d bytes written", w.Closed, w.Written.Len())
	}
	y.Data([]byte(nettest.SubmitFrame(1, "", submitFields(testRef)...)))
	b.replier.Reply(b.tokens[1], director.Response{Outcome: director.Served})
	if w2.Closed || w2.Written.Len() == 0 {
		t.Error("another client suffers from it")
	}
}

// Where all together leave too much unread, who has left the most loses its connection, not who is just answered.
func TestTotalBacklogIsChargedToWhoLeavesMost(t *testing.T) {
	b := newHarness()
	links := [3]nettest.FakeConn{}
	for i := range links {
		b.server.Accept(&links[i]).Data([]byte(nettest.SubmitFrame(1, "", submitFields(testRef)...)))
	}
	links[0].Buffered, links[1].Buffered = 6_000, 9_500
	b.server.outboundEstimate = b.server.OutboundBuffered()
	b.replier.Reply(b.tokens[2], director.Response{Outcome: director.Served})
	if links[0].Closed || !links[1].Closed || links[2].Closed || links[2].Written.Len() == 0 {
		t.Errorf("closed %v, %v, %v with %d bytes written to the last; want the second closed alone", links[0].Closed,
			links[1].Closed, links[2].Closed, links[2].Written.Len())
	}
}

func TestOpenRequestsAreBounded(t *testing.T) {
	b := newHarness()
	w := &nettest.FakeConn{}
	x := b.server.Accept(w)
	for seq := range int32(3) {
		x.Data([]byte(nettest.SubmitFrame(seq+1, "", submitFields(testRef)...)))
	}
	if len(b.submitted) != 2 || b.server.Counters.TooManyOpenRequests != 1 || w.Written.Len() == 0 {
		t.Errorf("taken %d, over %d, answered %d bytes", len(b.submitted), b.server.Counters.TooManyOpenRequests, w.Written.Len())
	}
	x.Data([]byte(nettest.SubmitFrame(2, "", submitFields(testRef)...)))
	if len(b.submitted) != 2 || b.protocolErrors != 1 || x.phase != phaseDraining {
		t.Errorf("an open sequence number again: taken %d, %d rejected, phase %d", len(b.submitted), b.protocolErrors, x.phase)
	}
	x.Closed()
	if b.canceled != 2 {
		t.Errorf("%d requests withdrawn with their connection, want 2", b.canceled)
	}
}

// Who connects and says nothing, or drips a message byte by byte, is owed a close within 3 s; who rests between
// requests is not, and who waits for an answer never.
func TestIdleAndStuckConnectionsAreClosed(t *testing.T) {
	b := newHarness()
	links := [5]nettest.FakeConn{}
	var x [5]*Connection
	for i := range x {
		x[i] = b.server.Accept(&links[i])
	}
	heartbeat := nettest.Frame(1, "heartbeat", 1, []byte{2, 0, 1, 0})
	x[2].Data([]byte(heartbeat))
	x[3].Data([]byte(nettest.SubmitFrame(1, "", submitFields(testRef)...)))
	x[4].Data([]byte(heartbeat + heartbeat[:9]))
	var closed [5]int // in which second
	for second := 1; second <= 40; second++ {
		b.now += time.Second
		if !links[1].Closed {
			x[1].Data([]byte("\x00")) // never more than a byte, and never none for long
		}
		b.timers.RunDue(b.now)
		for i := range links {
			if links[i].Closed && closed[i] == 0 {
				closed[i] = second
			}
		}
	}
	if d := cmp.Diff([5]int{2, 2, 30, 0, 2}, closed); d != "" {
		t.Errorf("silent, dripping, resting, waiting, stuck: %s", d)
	}
}

// When the table is full somebody has to go: first who has long been idle, then who never spoke, then who is
// idle longest; never one whose answer is owed, or still in our buffer. Else the newcomer is turned away.
func TestFullTableEvictsWhoIsMissedLeast(t *testing.T) {
	b := newHarness()
	links := [8]nettest.FakeConn{}
	accept := func(i int) *Connection {
		b.now += 100 * time.Millisecond
		return b.server.Accept(&links[i])
	}
	heartbeat := []byte(nettest.Frame(1, "heartbeat", 1, []byte{2, 0, 1, 0}))
	accept(0).Data([]byte(nettest.SubmitFrame(1, "", submitFields(testRef)...)))
	accept(1).Data(heartbeat)
	links[1].Buffered = 7
	accept(2).Data(heartbeat)
	b.now += 6 * time.Second
	accept(3) // has not spoken
	accept(4).Data(heartbeat)
	for i, want := range []int{2, 3, 4} {
		x := accept(5 + i)
		x.Data([]byte(nettest.SubmitFrame(1, "", submitFields(testRef)...)))
		if !links[want].Closed {
			t.Errorf("newcomer %d did not take the place of %d", 5+i, want)
		}
	}
	if links[0].Closed || links[1].Closed {
		t.Error("a connection that is owed an answer was closed")
	}
	if b.server.Accept(&nettest.FakeConn{}) != nil || b.server.Counters.RejectedConnections != 1 {
		t.Error("one more was taken, though all others wait for answers")
	}
}

func FuzzData(f *testing.F) {
	f.Add([]byte(nettest.SubmitFrame(1, "body", submitFields(testRef)...)), uint8(5))
	f.Add([]byte(nettest.Frame(4, "revoke", 3, []byte{8, 0, 1, 0, 0, 0, 1})), uint8(1))
	f.Add([]byte(nettest.Frame(1, "heartbeat", 3, []byte{15, 0, 1, 12, 0, 0, 0, 9, 13, 0, 2, 11, 11})), uint8(200))
	f.Fuzz(func(t *testing.T, stream []byte, piece uint8) {
		b := newHarness()
		w := &nettest.FakeConn{}
		x := b.server.Accept(w)
		for len(stream) > 0 && !w.Closed {
			k := min(int(piece)+1, len(stream))
			if x.Data(stream[:k]) != nil {
				break
			}
			stream = stream[k:]
		}
		x.Closed()
		for i := range b.submitted {
			b.submitted[i].Body.Release()
		}
		if n := b.pool.InUse(); n != 0 {
			t.Errorf("%d buffers left", n)
		}
	})
}
