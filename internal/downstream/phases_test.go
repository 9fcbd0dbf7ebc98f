package downstream

import (
	"strings"
	"testing"
	"time"

	"shaleyard/internal/director"
	"shaleyard/internal/nettest"
)

// newLingeringHarness is a bench whose connections linger.
func newLingeringHarness() *testHarness {
	b := newHarness()
	l := b.server.limits
	l.LingerTimeout, l.MaxLingeringConns, l.MaxLingerBytes = 500*time.Millisecond, 2, 5000
	l.FlushCheckInterval, l.NewConnGracePeriod = 10*time.Millisecond, 50*time.Millisecond
	return b
}

func (b *testHarness) advance(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 5 * time.Millisecond
		b.timers.RunDue(b.now)
	}
}

func (b *testHarness) replyServed(i int) {
	b.replier.Reply(b.tokens[i], director.Response{Outcome: director.Served})
}

func submitMessage(seq int32) []byte {
	return []byte(nettest.SubmitFrame(seq, "", submitFields(testRef)...))
}

// What a client has asked for before its stream goes bad, or before a message of it gets stuck, is owed an answer all
// the same: a close would lose it. Nothing more is taken, and the connection ends behind the answer.
func TestAnswersOwedGoOutBeforeABadStreamEnds(t *testing.T) {
	for name, spoil := range map[string]func(*testHarness, *Connection){
		"bad frame": func(_ *testHarness, x *Connection) { x.Data([]byte("GET / HTTP/1.1\r\n\r\n")) },
		"stuck message": func(b *testHarness, x *Connection) {
			x.Data(submitMessage(2)[:9])
			b.advance(2100 * time.Millisecond)
		},
	} {
		b := newLingeringHarness()
		w := &nettest.FakeConn{}
		x := b.server.Accept(w)
		x.Data(submitMessage(1))
		spoil(b, x)
		x.Data(submitMessage(3))
		if x.phase != phaseDraining || w.WriteClosed || w.Closed || b.canceled != 0 || len(b.submitted) != 1 {
			t.Fatalf("%s: phase %d, half %v, closed %v, %d withdrawn, %d taken; want an open connection with one request",
				name, x.phase, w.WriteClosed, w.Closed, b.canceled, len(b.submitted))
		}
		w.Buffered = 100 // the client reads slowly
		b.replyServed(0)
		b.advance(100 * time.Millisecond)
		if w.WriteClosed || w.Written.Len() == 0 {
			t.Fatalf("%s: half %v with %d bytes written, before the client has read them", name, w.WriteClosed, w.Written.Len())
		}
		w.Buffered = 0
		b.advance(20 * time.Millisecond)
		if !w.WriteClosed || w.Closed {
			t.Errorf("%s: half %v, closed %v; want our half closed behind the answer", name, w.WriteClosed, w.Closed)
		}
		x.Closed()
		if n := b.server.Conns(); n != 0 || x.phase != phaseClosed {
			t.Errorf("%s: %d connections left, phase %d", name, n, x.phase)
		}
	}
}

// A request that is read behind our half-close must not be sent on: its client has seen the connection end. What comes
// is read and dropped, so that no reset takes the last answer with it, for a bounded time and a bounded number of bytes.
func TestNothingIsTakenBehindAHalfClose(t *testing.T) {
	b := newLingeringHarness()
	b.server.limits.ClientIdleTimeout = time.Second
	links := [3]nettest.FakeConn{}
	var x [3]*Connection
	for i := range x {
		x[i] = b.server.Accept(&links[i])
		x[i].Data([]byte(nettest.Frame(1, "heartbeat", 1, []byte{2, 0, 1, 0})))
		b.advance(5 * time.Millisecond)
	}
	b.advance(995 * time.Millisecond) // all have been idle for too long
	x[1].Data(submitMessage(2))
	x[2].Data(submitMessage(2))
	if len(b.submitted) != 0 {
		t.Errorf("%d requests taken behind the half-close", len(b.submitted))
	}
	if !links[0].Closed || links[1].Closed || links[2].Closed || !links[1].WriteClosed || !links[2].WriteClosed {
		t.Errorf("links %+v; want the eldest closed, as two may linger", links)
	}
	x[2].Data([]byte(strings.Repeat("x", 5000)))
	if !links[2].Closed {
		t.Error("a client that sends without end is still read")
	}
	b.advance(510 * time.Millisecond)
	if !links[1].Closed || b.server.Conns() != 0 {
		t.Errorf("closed %v, %d connections; want none past the linger", links[1].Closed, b.server.Conns())
	}
}

// As the program ends, a connection ends as soon as nothing is owed on it: not one that waits for an answer, nor one on
// which a message is just arriving. Any number may linger then.
func TestPartEndsWhatOwesNothing(t *testing.T) {
	b := newLingeringHarness()
	b.server.limits.MaxLingeringConns = 0
	links := [4]nettest.FakeConn{}
	var x [4]*Connection
	for i := range x {
		x[i] = b.server.Accept(&links[i])
		x[i].Data([]byte(nettest.Frame(1, "heartbeat", 1, []byte{2, 0, 1, 0})))
	}
	x[1].Data(submitMessage(2))
	x[2].Data(submitMessage(2)[:20])
	b.server.StartGracefulClose()
	if !links[0].WriteClosed || links[1].WriteClosed || links[2].WriteClosed || !links[3].WriteClosed || links[0].Closed || links[3].Closed {
		t.Fatalf("links %+v; want the first and the last half-closed alone", links)
	}
	x[2].Data(submitMessage(2)[20:])
	b.server.StartGracefulClose()
	if len(b.submitted) != 2 || links[2].WriteClosed {
		t.Errorf("%d taken, half %v: a message that had begun was cut off", len(b.submitted), links[2].WriteClosed)
	}
	b.replyServed(0)
	b.replyServed(1) // both have sequence number 2; the second replier is the last session
	b.advance(60 * time.Millisecond)
	b.server.StartGracefulClose()
	if !links[2].WriteClosed {
		t.Error("still open with nothing owed")
	}
}

// A connection may die under the answer to one request while another of it is being taken: that one is withdrawn as soon
// as it has a handle, or it would go on for a client that has gone.
func TestRequestTakenAsItsConnectionDiesIsWithdrawn(t *testing.T) {
	b := newLingeringHarness()
	x := b.server.Accept(&nettest.FakeConn{})
	x.Data(submitMessage(1))
	b.duringSubmit = x.Closed
	x.Data(submitMessage(2))
	if len(b.submitted) != 2 || b.canceled != 2 {
		t.Errorf("%d taken, %d withdrawn; want 2 and 2", len(b.submitted), b.canceled)
	}
}

// A client that never reads its last answer, and never closes, does not hold its place for good: neither one that is served
// as ever nor one whose stream went bad.
func TestWhoNeverReadsIsClosed(t *testing.T) {
	for _, bad := range []bool{false, true} {
		b := newLingeringHarness()
		w := &nettest.FakeConn{}
		x := b.server.Accept(w)
		x.Data(submitMessage(1))
		if bad {
			x.Data([]byte("\xff\xff\xff\xff"))
		}
		b.advance(40 * time.Second) // what waits for its answer waits for as long as that takes
		if w.Closed || b.canceled != 0 {
			t.Fatalf("bad %v: closed %v, %d withdrawn while an answer was owed", bad, w.Closed, b.canceled)
		}
		w.Buffered = 100
		b.replyServed(0)
		b.advance(29 * time.Second)
		if w.Closed {
			t.Errorf("bad %v: closed within 29 s", bad)
		}
		b.advance(2 * time.Second)
		if !w.Closed || b.server.Conns() != 0 {
			t.Errorf("bad %v: closed %v, %d connections after 31 s", bad, w.Closed, b.server.Conns())
		}
	}
}

// Whatever part of a message has come, be it its length alone, the rest is owed within 2 s.
func TestStuckMessageEndsItsConnection(t *testing.T) {
	for _, bytes := range []int{1, 4, 9} {
		b, w := newLingeringHarness(), &nettest.FakeConn{}
		x := b.server.Accept(w)
		x.Data([]byte(nettest.Frame(1, "heartbeat", 1, []byte{2, 0, 1, 0})))
		b.advance(5 * time.Second)
		x.Data(submitMessage(2)[:bytes])
		b.advance(1900 * time.Millisecond)
		early := w.WriteClosed
		b.advance(200 * time.Millisecond)
		if early || !w.WriteClosed {
			t.Errorf("%d bytes of a message: half-closed %v before 2 s, %v behind it", bytes, early, w.WriteClosed)
		}
	}
}

// A message that has begun to come may come whole: neither the end of an idle time nor a newcomer nor the program's parting cuts it off. Its client
// writes on, and a request whose end comes long behind our half-close would be lost.
func TestMessageThatHasBegunIsNotCutOff(t *testing.T) {
	begin := func() (b *testHarness, x *Connection, w *nettest.FakeConn) {
		b, w = newLingeringHarness(), &nettest.FakeConn{}
		x = b.server.Accept(w)
		x.Data([]byte(nettest.Frame(1, "heartbeat", 1, []byte{2, 0, 1, 0})))
		b.advance(29 * time.Second)
		x.Data(submitMessage(2)[:9])
		return b, x, w
	}
	b, x, w := begin()
	b.advance(1900 * time.Millisecond)
	x.Data(submitMessage(2)[9:])
	if w.WriteClosed || len(b.submitted) != 1 {
		t.Errorf("half %v, %d taken past the idle time; want the request taken", w.WriteClosed, len(b.submitted))
	}
	b, x, w = begin()
	others := [5]nettest.FakeConn{}
	for i := range others {
		b.server.Accept(&others[i]).Data([]byte(nettest.Frame(1, "heartbeat", 1, []byte{2, 0, 1, 0})))
	}
	x.Data(submitMessage(2)[9:])
	if w.WriteClosed || len(b.submitted) != 1 || !others[0].WriteClosed {
		t.Errorf("half %v, %d taken, the longest resting half-closed %v; want that one gone", w.WriteClosed, len(b.submitted), others[0].WriteClosed)
	}
	b, x, w = begin()
	for range 100 {
		b.server.StartGracefulClose()
		b.advance(5 * time.Millisecond)
	}
	x.Data(submitMessage(2)[9:])
	if w.WriteClosed || len(b.submitted) != 1 {
		t.Errorf("half %v, %d taken 0.5 s behind the parting; want the request taken, to be refused", w.WriteClosed, len(b.submitted))
	}
	b, _, w = begin()
	for range 420 {
		b.server.StartGracefulClose()
		b.advance(5 * time.Millisecond)
	}
	if !w.WriteClosed {
		t.Error("a message that is stuck keeps the program from ending")
	}
}

// All forms that the protocol allows are one message each, however they come: fields of the structs in any order, absent
// or unknown, a oneway sent as a call, maps without types where they are empty, several messages in one segment.
func TestEveryFormOfAMessageIsRead(t *testing.T) {
	whole := nettest.SubmitFrame(1, "body", submitFields(testRef)...)[4:]
	args := whole[4+4+len("submit")+4 : len(whole)-1]
	fieldMap, body := args[:len(args)-11], args[len(args)-11:]
	unknown := "\x02\x00\x09\x01" + "\x03\x00\x0a\x07" + "\x04\x00\x0b12345678" + "\x06\x00\x0c12" + "\x08\x00\x0d1234" +
		"\x0a\x00\x0e12345678" + "\x0b\x00\x0f\x00\x00\x00\x01x" + "\x0c\x00\x10\x0b\x00\x01\x00\x00\x00\x00\x00" +
		"\x0d\x00\x11\x08\x0b\x00\x00\x00\x01\x00\x00\x00\x07\x00\x00\x00\x01y" + "\x0d\x00\x12\x00\x00\x00\x00\x00\x00" +
		"\x0e\x00\x13\x08\x00\x00\x00\x01\x00\x00\x00\x01" + "\x0f\x00\x14\x0c\x00\x00\x00\x01\x00" + "\x0b\xff\xff\x00\x00\x00\x00"
	submit := func(seq int32, args string) string { return nettest.Frame(1, "submit", seq, []byte(args)) }
	stream := submit(1, body+fieldMap) + submit(2, unknown+fieldMap+unknown) +
		nettest.Frame(1, "revoke", 8, []byte(unknown+"\x08\x00\x01\x00\x00\x00\x01")) + // sent as a call
		nettest.Frame(4, "revoke", 9, nil) + nettest.Frame(4, "revoke", 9, []byte("\x08\x00\x01\x00\x00\x00\x63")) +
		submit(3, fieldMap) + submit(4, "") + submit(5, "\x0d\x00\x01\x00\x00\x00\x00\x00\x00") +
		nettest.Frame(1, "heartbeat", 6, nil) + nettest.Frame(1, "heartbeat", 7, []byte(unknown))
	for _, piece := range []int{1, 7, len(stream)} {
		b, w := newLingeringHarness(), &nettest.FakeConn{}
		x := b.server.Accept(w)
		for rest := stream; rest != ""; {
			k := min(piece, len(rest))
			x.Data([]byte(rest[:k]))
			rest = rest[k:]
		}
		c := b.server.Counters
		if x.phase != phaseReady || len(b.submitted) != 3 || b.canceled != 1 || c.Heartbeats != 2 || c.BadFields != 2 || c.BadMessage != 0 {
			t.Errorf("pieces of %d: phase %d, %d taken, %d withdrawn, %+v", piece, x.phase, len(b.submitted), b.canceled, c)
		}
	}
}
