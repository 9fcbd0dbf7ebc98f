package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/buffer"
	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/downstream"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/nettest"
	"shaleyard/internal/overload"
	"shaleyard/internal/timer"
	"shaleyard/internal/upstream"
	"shaleyard/routing"
)

// chaos is clients, director and caches put together without sockets, on a clock of its own, among peers that do
// whatever a draw says: every order of events that the parts can meet, the same for each seed. It holds what must hold
// after each step.
type chaos struct {
	t      *testing.T
	seed   uint64
	rng    *rand.Rand
	clock  routing.Time
	agenda timer.Queue
	d      *director.Director
	f      *upstream.Pools
	s      *downstream.Server
	pool   *buffer.Pool

	dials   []*cacheEnd
	ends    []*cacheEnd
	clients []*clientEnd
	closing []func() // closes that the loop carries out later
	asked   map[string]*asked
	states  map[string]routing.State
	single  bool // no second copies are allowed
	held    bool
	last    routing.Time // when all is to be answered; 0: it goes on
	refs    int
	served  int
	log     []string
}

// asked is a request as its client and the caches know it.
type asked struct {
	class   string
	by      *clientEnd
	seq     int32
	due     routing.Time               // when an answer is owed at the latest
	gone    bool                       // revoked, or its client has gone
	over    bool                       // answered
	mayRun  int                        // attempts that may have run
	firstAt routing.Time               // when the first of those was written
	out     map[*cacheEnd]routing.Time // attempts out, and until when: what calls them off takes its way
}

type cacheEnd struct {
	nettest.FakeConn
	c       *chaos
	name    string
	stream  eventloop.Stream
	waiting []string // refs asked and not answered
	done    []string // refs answered, of which a second copy may come
	rest    string   // of an answer under way
	then    func()   // what it tells once it is whole
	ended   bool
}

type clientEnd struct {
	nettest.FakeConn
	c     *chaos
	x     eventloop.Session
	seq   int32
	open  map[int32]*asked
	ended bool
	bad   bool // has sent what can't be followed
	half  bool
}

func (c *chaos) failf(format string, a ...any) {
	c.t.Helper()
	c.t.Fatalf("seed %d: %s\nlast events:\n%s", c.seed, fmt.Sprintf(format, a...), strings.Join(c.log[max(0, len(c.log)-30):], "\n"))
}

func (c *chaos) note(format string, a ...any) {
	c.log = append(c.log, fmt.Sprintf("%v ", c.clock-1000*time.Second)+fmt.Sprintf(format, a...))
}

// Dial implements loop.Dialer.
func (c *chaos) Dial(address string, _ time.Duration, s eventloop.Stream) {
	c.dials = append(c.dials, &cacheEnd{c: c, name: strings.TrimPrefix(address, "at-"), stream: s})
}

// Writev takes what the program asks of a cache.
func (e *cacheEnd) Writev(pieces [][]byte) (int, error) {
	c := e.c
	words := strings.Split(string(joined(pieces)), "\r\n")
	switch words[2] {
	case "STOP":
		c.asked[words[4]].off(e)
		return 1, nil
	case "REQ":
	default:
		c.failf("%q to a cache", words[2])
	}
	ref, up := words[4], ""
	for f := range strings.SplitSeq(words[6], ",") {
		if v, ok := strings.CutPrefix(f, "up="); ok {
			up = v
		}
	}
	a := c.asked[ref]
	c.note("%s of %s to %s, up %q", ref, a.class, e.name, up)
	switch {
	case c.held:
		c.failf("%s was written while all is held", ref)
	case a.gone:
		c.failf("%s was begun though its client had gone", ref)
	case a.over:
		c.failf("%s was begun though it was answered", ref)
	case c.states[e.name] != routing.Ready:
		c.failf("%s went to %s, which is %v", ref, e.name, c.states[e.name])
	case up != "" && c.states[up] != routing.Ready:
		c.failf("%s has source %s, which is %v", ref, up, c.states[up])
	case a.class == "pay" && a.mayRun > 0:
		c.failf("%s was sent again though it may have run", ref)
	case a.class == "keyed" && a.mayRun > 0 && c.clock >= a.firstAt+700*time.Millisecond:
		c.failf("%s was repeated %v after it may first have run", ref, c.clock-a.firstAt)
	}
	for _, until := range a.out {
		if c.single && c.clock < until {
			c.failf("%s got a second copy, which is not allowed", ref)
		}
	}
	a.out[e] = 1 << 62
	if a.mayRun++; a.mayRun == 1 {
		a.firstAt = c.clock
	}
	e.waiting = append(e.waiting, ref)
	return 1, nil
}

// wayTakes is for how long an attempt that is called off may still be out.
const wayTakes = 20 * time.Millisecond

// off has an attempt called off on a connection.
func (a *asked) off(e *cacheEnd) {
	if _, out := a.out[e]; out {
		a.out[e] = min(a.out[e], e.c.clock+wayTakes)
	}
}

// Close implements loop.Conn; it takes effect later.
func (e *cacheEnd) Close() error {
	for _, a := range e.c.asked {
		a.off(e)
	}
	if !e.ended {
		e.c.closing = append(e.c.closing, e.end)
	}
	return nil
}

func (e *cacheEnd) end() {
	if !e.ended {
		e.ended = true
		for _, a := range e.c.asked {
			delete(a.out, e)
		}
		e.stream.Closed()
	}
}

// Writev takes an answer to a client.
func (e *clientEnd) Writev(pieces [][]byte) (int, error) {
	c, p := e.c, joined(pieces)
	name := int(binary.BigEndian.Uint32(p[8:]))
	seq := int32(binary.BigEndian.Uint32(p[12+name:]))
	a := e.open[seq]
	c.note("answer to %d", seq)
	switch {
	case e.ended, e.half:
		c.failf("an answer on a connection that has ended")
	case a == nil && string(p[12:12+name]) == "heartbeat":
		return len(p), nil
	case a == nil:
		c.failf("sequence number %d was answered, which is not open", seq)
	case a.over:
		c.failf("sequence number %d was answered twice", seq)
	}
	if p[7] == 2 && p[17+name] == 0 && p[18+name] == 0 {
		c.served++
	}
	a.over = true
	delete(e.open, seq)
	return len(p), nil
}

// CloseWrite implements loop.Conn.
func (e *clientEnd) CloseWrite() error {
	e.half = true
	for seq, a := range e.open {
		if !a.gone {
			e.c.failf("sequence number %d was left without an answer", seq)
		}
	}
	return nil
}

// Close implements loop.Conn; it takes effect later.
func (e *clientEnd) Close() error {
	if !e.ended && !e.half && e.Buffered == 0 {
		for seq, a := range e.open {
			if !a.gone {
				e.c.failf("sequence number %d was closed upon", seq)
			}
		}
	}
	e.c.closing = append(e.c.closing, e.end)
	return nil
}

func (e *clientEnd) end() {
	if !e.ended {
		e.ended = true
		for _, a := range e.open {
			a.gone = true
		}
		e.x.Closed()
	}
}

func joined(pieces [][]byte) (b []byte) {
	for _, p := range pieces {
		b = append(b, p...)
	}
	return b
}

func newChaos(t *testing.T, seed uint64) *chaos {
	c := &chaos{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), clock: 1000 * time.Second,
		pool: buffer.NewPool(1024, 512), asked: map[string]*asked{}, states: map[string]routing.State{}}
	s := &routing.Settings{Directors: 1, Zones: []string{"hub", "here"}, Zone: 1, Kinds: []string{"edge", "parent", "origin"},
		Classes: []routing.Class{{Name: "read", LatencyObjective: 300 * time.Millisecond, Timeout: 2 * time.Second, Idempotency: "read_like", DedupScope: "all"},
			{Name: "pay", LatencyObjective: 300 * time.Millisecond, Timeout: 2 * time.Second, Idempotency: "non_idempotent", DedupScope: "all"},
			{Name: "keyed", LatencyObjective: 300 * time.Millisecond, Timeout: 2 * time.Second, Idempotency: "idempotency_key", DedupScope: "all",
				DedupWindow: 700 * time.Millisecond}},
		SiteLimits: routing.SiteLimits{CancelAllowed: true, MaxAttempts: 6, HedgingAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: 500 * time.Millisecond},
		Tiers: routing.TierSettings{Uncacheable: []bool{false, true, true}, OriginKind: 2, ParentKind: 1, FillStatusReported: "all", SiblingFills: "location",
			TransferKBPerSecond: 1000}}
	l := &config.Limits{MaxOpenRequests: 200, OverdueGracePeriod: 25 * time.Millisecond, MaxClientConns: 6, MaxRequestsPerConn: 8, MaxFrameBytes: 4096,
		MaxRequestBodyBytes: 1000, MaxRequestFields: 16, ClientBacklogBytes: 100_000, TotalBacklogBytes: 1 << 20, MessageTimeout: 2 * time.Second,
		ClientKeepAlive: 4 * time.Second, ClientIdleTimeout: 5 * time.Second, LingerTimeout: 500 * time.Millisecond, MaxLingeringConns: 3,
		MaxLingerBytes: 1 << 20, FlushCheckInterval: 10 * time.Millisecond, NewConnGracePeriod: 50 * time.Millisecond, MaxRequestTimeout: time.Minute,
		MaxUpstreamConns: 16, MaxReplacementDials: 4, MaxConnsPerEndpoint: 3, MaxAttemptsPerConn: 4, ConnectTimeout: time.Second, UpstreamIdleTimeout: 3 * time.Second,
		MinIdleTimeout: 50 * time.Millisecond, UpstreamSilenceTimeout: time.Second, LateAnswerWindow: 5 * time.Second, MaxAnswerBodyBytes: 2000, MaxAnswerFieldBytes: 500}
	now := func() routing.Time { return c.clock }
	if c.single = seed%3 == 0; c.single {
		s.SiteLimits.HedgingAllowed = false
	}
	var err error
	if c.d, err = director.New(s, seed, l, &c.agenda, now, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	c.f = upstream.NewPools(l, s, c.pool, c, c.d, &c.agenda, now, zap.NewNop(), seed)
	c.d.SetUpstream(c.f)
	c.d.Admission = overload.NewAdmission(seed)
	c.s = downstream.NewServer(l, s, c.pool, c.d, &c.agenda, now)
	for _, n := range []string{"c1", "c2", "c3", "p1", "o"} {
		c.list(n, routing.Ready, 0)
	}
	return c
}

// list tells of a member.
func (c *chaos) list(name string, state routing.State, started routing.Time) {
	m := director.Endpoint{Name: name, Address: "at-" + name, Endpoint: routing.Endpoint{Zone: 1, State: state, Weight: 8, Started: started}}
	switch name[0] {
	case 'p':
		m.Zone, m.Kind = 0, 1
	case 'o':
		m.Zone, m.Kind = 0, 2
	}
	c.note("%s is %v", name, state)
	c.states[name] = state
	c.d.UpdateEndpoints(false, 1, []director.Endpoint{m})
}

func pickOf[T any](c *chaos, of []T, fits func(T) bool) (v T, ok bool) {
	if len(of) == 0 {
		return v, false
	}
	for range 8 {
		if v = of[c.rng.IntN(len(of))]; fits(v) {
			return v, true
		}
	}
	return v, false
}

// step lets one thing happen.
func (c *chaos) step() {
	client, hasClient := pickOf(c, c.clients, func(e *clientEnd) bool { return !e.ended })
	end, hasEnd := pickOf(c, c.ends, func(e *cacheEnd) bool { return !e.ended })
	n := c.rng.IntN(100)
	switch {
	case n < 4 || !hasClient:
		e := &clientEnd{c: c, open: map[int32]*asked{}}
		if x := c.s.Accept(e); x != nil {
			e.x = x
			c.clients = append(c.clients, e)
		}
	case n < 24:
		c.submit(client)
	case n < 27:
		for seq, a := range client.open {
			c.note("revoke %d", seq)
			a.gone = a.gone || !client.bad && !client.half
			client.data(nettest.Frame(4, "revoke", 99, binary.BigEndian.AppendUint32([]byte{8, 0, 1}, uint32(seq))))
			if a.gone {
				delete(client.open, seq)
			}
			break
		}
	case n < 29:
		c.note("a client closes")
		client.end()
	case n < 30:
		c.note("junk from a client")
		client.bad = true
		client.data("\xff\xff\xff\xff" + strings.Repeat("j", c.rng.IntN(3000)))
	case n < 31:
		client.data(nettest.Frame(1, "heartbeat", 1000, []byte{2, 0, 1, 0}))
	case n < 45 && len(c.dials) > 0:
		i := c.rng.IntN(len(c.dials))
		e := c.dials[i]
		c.dials = append(c.dials[:i], c.dials[i+1:]...)
		switch k := c.rng.IntN(10); {
		case k < 7:
			c.note("%s is connected", e.name)
			c.ends = append(c.ends, e)
			e.stream.Opened(e)
		case k < 9:
			c.note("%s refuses", e.name)
			e.stream.Failed(errors.New("refused"))
		default:
			c.note("%s resets a dial", e.name)
			e.stream.Failed(fmt.Errorf("dial: %w", syscall.ECONNRESET))
		}
	case n < 72 && hasEnd:
		c.answer(end)
	case n < 75:
		c.list([]string{"c1", "c2", "c3", "p1"}[c.rng.IntN(4)], []routing.State{routing.Draining, routing.Gone, routing.Ready, routing.Ready}[c.rng.IntN(4)], 0)
	case n < 76:
		c.list([]string{"c1", "c2", "c3", "p1"}[c.rng.IntN(4)], routing.Ready, c.clock)
	case n < 77:
		c.d.Purge(director.Purge{ObjectKey: uint64(1 + c.rng.IntN(20)), IssuedAt: c.clock})
	case n < 78 && !c.held:
		c.note("hold")
		c.held = true
		c.d.Suspend(time.Duration(c.rng.IntN(2)) * time.Duration(c.rng.IntN(400)) * time.Millisecond)
	case n < 82 && c.held:
		c.note("release")
		c.held = false
		c.d.Resume(c.rng.IntN(2) == 0)
		c.agenda.RunDue(c.clock)
	case n < 83 && hasEnd:
		end.Buffered = 5 - end.Buffered
	case n < 84:
		client.Buffered = 5 - client.Buffered
	case len(c.closing) > 0 && n < 92:
		do := c.closing[0]
		c.closing = c.closing[1:]
		do()
	default:
		c.pass(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	}
}

func (c *chaos) pass(d time.Duration) {
	for end := c.clock + d; c.clock < end; {
		if c.clock += time.Millisecond; !c.held {
			c.agenda.RunDue(c.clock)
		}
	}
	if c.held {
		return // deadlines rest, and answers are owed when it goes on
	}
	for ref, a := range c.asked {
		if !a.over && !a.gone && !a.by.ended && c.clock > a.due {
			c.failf("%s was not answered in its time", ref)
		}
	}
}

func (e *clientEnd) data(text string) {
	if !e.ended {
		_ = e.x.Data([]byte(text))
	}
}

func (c *chaos) submit(e *clientEnd) {
	c.refs++
	e.seq++
	ref, class := fmt.Sprintf("%016x", c.refs), []string{"read", "read", "pay", "keyed"}[c.rng.IntN(4)]
	allow := 100 + c.rng.IntN(1900)
	a := &asked{out: map[*cacheEnd]routing.Time{}, class: class, by: e, seq: e.seq, due: c.clock + time.Duration(allow)*time.Millisecond + 30*time.Millisecond}
	if c.last != 0 {
		a.due = max(min(a.due, c.last+30*time.Millisecond), c.clock+time.Millisecond)
	}
	c.asked[ref] = a
	if e.bad || e.half {
		a.gone = true // nothing is taken there any more
	} else {
		e.open[e.seq] = a
	}
	c.note("%s asks for %s of %s, %d ms", fmt.Sprintf("%p", e), ref, class, allow)
	frame := nettest.SubmitFrame(e.seq, strings.Repeat("b", c.rng.IntN(200)), "service", class, "ref", ref, "allow", fmt.Sprint(allow),
		"lookup", fmt.Sprintf("%016x", 1+c.rng.IntN(20)), "chunk", "0", "tag", "0", "room", "50", "known", "tag1", "replay", "key"+ref)
	if cut := c.rng.IntN(8 * len(frame)); cut < len(frame) {
		e.data(frame[:cut])
		frame = frame[cut:]
	}
	e.data(frame)
}

// answer has a cache do something on a connection.
func (c *chaos) answer(e *cacheEnd) {
	feed := func(text string) {
		if err := e.stream.Data([]byte(text)); err != nil {
			e.ended = true // the loop closes at once what can't be followed
			e.stream.Closed()
		}
	}
	if e.rest != "" { // the end of half an answer comes, or never does
		rest, then := e.rest, e.then
		if e.rest = ""; c.rng.IntN(2) == 0 {
			c.note("%s resets amid an answer", e.name)
			e.end()
			return
		}
		then()
		feed(rest)
		return
	}
	// say answers, whole or in pieces; told is what it tells of the attempt once it is whole.
	say := func(ref, word, fields, body string, told func()) {
		c.note("%s answers %s %s", e.name, ref, word)
		text := fmt.Sprintf("*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(ref), ref, len(word), word,
			len(fields), fields, len(body), body)
		if cut := c.rng.IntN(12 * len(text)); cut < len(text) {
			feed(text[:cut])
			e.rest, e.then = text[cut:], told
			return
		}
		told()
		feed(text)
	}
	nothing := func() {}
	if len(e.done) > 0 && c.rng.IntN(8) == 0 {
		say(e.done[c.rng.IntN(len(e.done))], []string{"BUSY", "MISS", "OK"}[c.rng.IntN(3)], "n=HIT", "copy", nothing)
		return
	}
	if len(e.waiting) == 0 || c.rng.IntN(25) == 0 {
		c.note("%s resets", e.name)
		e.end()
		return
	}
	i := c.rng.IntN(len(e.waiting))
	ref := e.waiting[i]
	e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
	a := c.asked[ref]
	answered := func() { e.done = append(e.done, ref); delete(a.out, e) }
	neverRan := func() { a.mayRun--; answered() }
	switch k := c.rng.IntN(20); {
	case k < 10:
		say(ref, "OK", "n=HIT,rev=t,since=1", strings.Repeat("o", c.rng.IntN(1500)), answered)
	case k < 11:
		say(ref, "SAME", "n=HIT,rev=tag1,since=1", "", answered)
	case k < 14:
		say(ref, "MISS", "-", "", neverRan)
	case k < 17:
		say(ref, "BUSY", "n=UP_BUSY", "", neverRan)
	case k < 18:
		say(ref, "ERR", "-", "", answered)
	case k < 19:
		say(ref, "WHAT", "n=NEVER", "x", answered)
	default:
		say("ffffffffffffffff", "OK", "n=HIT", "nobody asked", nothing)
	}
}

// Whatever comes in whatever order, each request has one answer in its time while its client is there, nothing is begun
// for one that has gone, nothing new goes to a cache past the news that it drains, what must not run twice does not,
// and at the end nothing is left.
func TestAnythingInAnyOrder(t *testing.T) {
	served := 0
	for seed := range uint64(300) {
		c := newChaos(t, seed)
		for range 1500 {
			c.step()
		}
		if c.held {
			c.held = false
			c.d.Resume(false)
			c.agenda.RunDue(c.clock)
		}
		for _, e := range c.clients {
			e.Buffered = 0
		}
		if seed%2 == 0 { // the program is told to end
			last := c.clock + 300*time.Millisecond
			c.last = last
			c.d.SetShutdownDeadline(last)
			for _, a := range c.asked {
				a.due = min(a.due, last+30*time.Millisecond)
			}
		}
		for range 100 {
			if c.step(); c.held {
				c.held = false
				c.d.Resume(false)
				c.agenda.RunDue(c.clock)
			}
		}
		for _, e := range c.clients {
			e.Buffered = 0
		}
		c.s.StartGracefulClose()
		for range 100 { // to the end: dials fail, closes are carried out, time passes
			for _, e := range c.dials {
				e.stream.Failed(errors.New("refused"))
			}
			c.dials = nil
			for len(c.closing) > 0 {
				do := c.closing[0]
				c.closing = c.closing[1:]
				do()
			}
			c.pass(50 * time.Millisecond)
			c.s.StartGracefulClose()
		}
		for _, e := range c.ends {
			e.end()
		}
		if n, m, k, b := c.d.OpenRequests(), c.s.Conns(), c.f.NumConns(), c.pool.InUse(); n+m+k+b != 0 {
			c.failf("%d requests, %d client connections, %d peer connections and %d buffers are left", n, m, k, b)
		}
		if c.d.Counters.RequestsOverdue != 0 {
			c.failf("%d requests were ended by the guard", c.d.Counters.RequestsOverdue)
		}
		served += c.served
	}
	if served < 10_000 {
		t.Errorf("only %d requests were served: little was shown", served)
	}
}
