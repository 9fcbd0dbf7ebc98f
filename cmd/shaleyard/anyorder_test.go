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

// simulation is clients, director and caches put together without sockets, on a clock of its own, among peers that do
// whatever a draw says: every order of events that the parts can meet, the same for each seed. It holds what must hold
// after each step.
type simulation struct {
	t          *testing.T
	seed       uint64
	rng        *rand.Rand
	clock      routing.Time
	timers     timer.Queue
	director   *director.Director
	upstream   *upstream.Pools
	downstream *downstream.Server
	buffers    *buffer.Pool

	dials            []*cachePeer
	cachePeers       []*cachePeer
	clientPeers      []*clientPeer
	pendingCloses    []func() // closes that the loop carries out later
	requests         map[string]*simulatedRequest
	endpointStates   map[string]routing.State
	hedgingForbidden bool // no second copies are allowed
	suspended        bool
	finalDeadline    routing.Time // when all is to be answered; 0: it goes on
	lastRef          int
	served           int
	events           []string
}

// simulatedRequest is a request as its client and the caches know it.
type simulatedRequest struct {
	class              string
	client             *clientPeer
	seq                int32
	deadline           routing.Time                // when an answer is owed at the latest
	cancelled          bool                        // revoked, or its client has gone
	answered           bool                        // answered
	possibleExecutions int                         // attempts that may have run
	firstWrittenAt     routing.Time                // when the first of those was written
	outstanding        map[*cachePeer]routing.Time // attempts out, and until when: what calls them off takes its way
}

type cachePeer struct {
	nettest.FakeConn
	simulation   *simulation
	name         string
	stream       eventloop.Stream
	pending      []string // refs asked and not answered
	answered     []string // refs answered, of which a second copy may come
	unsent       string   // of an answer under way
	onComplete   func()   // what it tells once it is whole
	disconnected bool
}

type clientPeer struct {
	nettest.FakeConn
	simulation   *simulation
	session      eventloop.Session
	seq          int32
	open         map[int32]*simulatedRequest
	disconnected bool
	malformed    bool // has sent what can't be followed
	halfClosed   bool
}

func (c *simulation) failf(format string, a ...any) {
	c.t.Helper()
	c.t.Fatalf("seed %d: %s\nlast events:\n%s", c.seed, fmt.Sprintf(format, a...), strings.Join(c.events[max(0, len(c.events)-30):], "\n"))
}

func (c *simulation) record(format string, a ...any) {
	c.events = append(c.events, fmt.Sprintf("%v ", c.clock-1000*time.Second)+fmt.Sprintf(format, a...))
}

// Dial implements loop.Dialer.
func (c *simulation) Dial(address string, _ time.Duration, s eventloop.Stream) {
	c.dials = append(c.dials, &cachePeer{simulation: c, name: strings.TrimPrefix(address, "at-"), stream: s})
}

// Writev takes what the program asks of a cache.
func (e *cachePeer) Writev(pieces [][]byte) (int, error) {
	c := e.simulation
	words := strings.Split(string(joinPieces(pieces)), "\r\n")
	switch words[2] {
	case "STOP":
		c.requests[words[4]].cancelAttempt(e)
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
	a := c.requests[ref]
	c.record("%s of %s to %s, up %q", ref, a.class, e.name, up)
	switch {
	case c.suspended:
		c.failf("%s was written while all is held", ref)
	case a.cancelled:
		c.failf("%s was begun though its client had gone", ref)
	case a.answered:
		c.failf("%s was begun though it was answered", ref)
	case c.endpointStates[e.name] != routing.Ready:
		c.failf("%s went to %s, which is %v", ref, e.name, c.endpointStates[e.name])
	case up != "" && c.endpointStates[up] != routing.Ready:
		c.failf("%s has source %s, which is %v", ref, up, c.endpointStates[up])
	case a.class == "pay" && a.possibleExecutions > 0:
		c.failf("%s was sent again though it may have run", ref)
	case a.class == "keyed" && a.possibleExecutions > 0 && c.clock >= a.firstWrittenAt+700*time.Millisecond:
		c.failf("%s was repeated %v after it may first have run", ref, c.clock-a.firstWrittenAt)
	}
	for _, until := range a.outstanding {
		if c.hedgingForbidden && c.clock < until {
			c.failf("%s got a second copy, which is not allowed", ref)
		}
	}
	a.outstanding[e] = 1 << 62
	if a.possibleExecutions++; a.possibleExecutions == 1 {
		a.firstWrittenAt = c.clock
	}
	e.pending = append(e.pending, ref)
	return 1, nil
}

// cancelDelay is for how long an attempt that is called off may still be out.
const cancelDelay = 20 * time.Millisecond

// cancelAttempt calls off an attempt on a connection.
func (a *simulatedRequest) cancelAttempt(e *cachePeer) {
	if _, out := a.outstanding[e]; out {
		a.outstanding[e] = min(a.outstanding[e], e.simulation.clock+cancelDelay)
	}
}

// Close implements loop.Conn; it takes effect later.
func (e *cachePeer) Close() error {
	for _, a := range e.simulation.requests {
		a.cancelAttempt(e)
	}
	if !e.disconnected {
		e.simulation.pendingCloses = append(e.simulation.pendingCloses, e.disconnect)
	}
	return nil
}

func (e *cachePeer) disconnect() {
	if !e.disconnected {
		e.disconnected = true
		for _, a := range e.simulation.requests {
			delete(a.outstanding, e)
		}
		e.stream.Closed()
	}
}

// Writev takes an answer to a client.
func (e *clientPeer) Writev(pieces [][]byte) (int, error) {
	c, p := e.simulation, joinPieces(pieces)
	name := int(binary.BigEndian.Uint32(p[8:]))
	seq := int32(binary.BigEndian.Uint32(p[12+name:]))
	a := e.open[seq]
	c.record("answer to %d", seq)
	switch {
	case e.disconnected, e.halfClosed:
		c.failf("an answer on a connection that has ended")
	case a == nil && string(p[12:12+name]) == "heartbeat":
		return len(p), nil
	case a == nil:
		c.failf("sequence number %d was answered, which is not open", seq)
	case a.answered:
		c.failf("sequence number %d was answered twice", seq)
	}
	if p[7] == 2 && p[17+name] == 0 && p[18+name] == 0 {
		c.served++
	}
	a.answered = true
	delete(e.open, seq)
	return len(p), nil
}

// CloseWrite implements loop.Conn.
func (e *clientPeer) CloseWrite() error {
	e.halfClosed = true
	for seq, a := range e.open {
		if !a.cancelled {
			e.simulation.failf("sequence number %d was left without an answer", seq)
		}
	}
	return nil
}

// Close implements loop.Conn; it takes effect later.
func (e *clientPeer) Close() error {
	if !e.disconnected && !e.halfClosed && e.Buffered == 0 {
		for seq, a := range e.open {
			if !a.cancelled {
				e.simulation.failf("sequence number %d was closed upon", seq)
			}
		}
	}
	e.simulation.pendingCloses = append(e.simulation.pendingCloses, e.disconnect)
	return nil
}

func (e *clientPeer) disconnect() {
	if !e.disconnected {
		e.disconnected = true
		for _, a := range e.open {
			a.cancelled = true
		}
		e.session.Closed()
	}
}

func joinPieces(pieces [][]byte) (b []byte) {
	for _, p := range pieces {
		b = append(b, p...)
	}
	return b
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	c := &simulation{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), clock: 1000 * time.Second,
		buffers: buffer.NewPool(1024, 512), requests: map[string]*simulatedRequest{}, endpointStates: map[string]routing.State{}}
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
	if c.hedgingForbidden = seed%3 == 0; c.hedgingForbidden {
		s.SiteLimits.HedgingAllowed = false
	}
	var err error
	if c.director, err = director.New(s, seed, l, &c.timers, now, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	c.upstream = upstream.NewPools(l, s, c.buffers, c, c.director, &c.timers, now, zap.NewNop(), seed)
	c.director.SetUpstream(c.upstream)
	c.director.Admission = overload.NewAdmission(seed)
	c.downstream = downstream.NewServer(l, s, c.buffers, c.director, &c.timers, now)
	for _, n := range []string{"c1", "c2", "c3", "p1", "o"} {
		c.updateEndpoint(n, routing.Ready, 0)
	}
	return c
}

// updateEndpoint tells of a member.
func (c *simulation) updateEndpoint(name string, state routing.State, started routing.Time) {
	m := director.Endpoint{Name: name, Address: "at-" + name, Endpoint: routing.Endpoint{Zone: 1, State: state, Weight: 8, Started: started}}
	switch name[0] {
	case 'p':
		m.Zone, m.Kind = 0, 1
	case 'o':
		m.Zone, m.Kind = 0, 2
	}
	c.record("%s is %v", name, state)
	c.endpointStates[name] = state
	c.director.UpdateEndpoints(false, 1, []director.Endpoint{m})
}

func pickMatching[T any](c *simulation, of []T, fits func(T) bool) (v T, ok bool) {
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
func (c *simulation) step() {
	client, hasClient := pickMatching(c, c.clientPeers, func(e *clientPeer) bool { return !e.disconnected })
	end, hasEnd := pickMatching(c, c.cachePeers, func(e *cachePeer) bool { return !e.disconnected })
	n := c.rng.IntN(100)
	switch {
	case n < 4 || !hasClient:
		e := &clientPeer{simulation: c, open: map[int32]*simulatedRequest{}}
		if x := c.downstream.Accept(e); x != nil {
			e.session = x
			c.clientPeers = append(c.clientPeers, e)
		}
	case n < 24:
		c.submit(client)
	case n < 27:
		for seq, a := range client.open {
			c.record("revoke %d", seq)
			a.cancelled = a.cancelled || !client.malformed && !client.halfClosed
			client.data(nettest.Frame(4, "revoke", 99, binary.BigEndian.AppendUint32([]byte{8, 0, 1}, uint32(seq))))
			if a.cancelled {
				delete(client.open, seq)
			}
			break
		}
	case n < 29:
		c.record("a client closes")
		client.disconnect()
	case n < 30:
		c.record("junk from a client")
		client.malformed = true
		client.data("\xff\xff\xff\xff" + strings.Repeat("j", c.rng.IntN(3000)))
	case n < 31:
		client.data(nettest.Frame(1, "heartbeat", 1000, []byte{2, 0, 1, 0}))
	case n < 45 && len(c.dials) > 0:
		i := c.rng.IntN(len(c.dials))
		e := c.dials[i]
		c.dials = append(c.dials[:i], c.dials[i+1:]...)
		switch k := c.rng.IntN(10); {
		case k < 7:
			c.record("%s is connected", e.name)
			c.cachePeers = append(c.cachePeers, e)
			e.stream.Opened(e)
		case k < 9:
			c.record("%s refuses", e.name)
			e.stream.Failed(errors.New("refused"))
		default:
			c.record("%s resets a dial", e.name)
			e.stream.Failed(fmt.Errorf("dial: %w", syscall.ECONNRESET))
		}
	case n < 72 && hasEnd:
		c.respond(end)
	case n < 75:
		c.updateEndpoint([]string{"c1", "c2", "c3", "p1"}[c.rng.IntN(4)], []routing.State{routing.Draining, routing.Gone, routing.Ready, routing.Ready}[c.rng.IntN(4)], 0)
	case n < 76:
		c.updateEndpoint([]string{"c1", "c2", "c3", "p1"}[c.rng.IntN(4)], routing.Ready, c.clock)
	case n < 77:
		c.director.Purge(director.Purge{ObjectKey: uint64(1 + c.rng.IntN(20)), IssuedAt: c.clock})
	case n < 78 && !c.suspended:
		c.record("hold")
		c.suspended = true
		c.director.Suspend(time.Duration(c.rng.IntN(2)) * time.Duration(c.rng.IntN(400)) * time.Millisecond)
	case n < 82 && c.suspended:
		c.record("release")
		c.suspended = false
		c.director.Resume(c.rng.IntN(2) == 0)
		c.timers.RunDue(c.clock)
	case n < 83 && hasEnd:
		end.Buffered = 5 - end.Buffered
	case n < 84:
		client.Buffered = 5 - client.Buffered
	case len(c.pendingCloses) > 0 && n < 92:
		do := c.pendingCloses[0]
		c.pendingCloses = c.pendingCloses[1:]
		do()
	default:
		c.advance(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	}
}

func (c *simulation) advance(d time.Duration) {
	for end := c.clock + d; c.clock < end; {
		if c.clock += time.Millisecond; !c.suspended {
			c.timers.RunDue(c.clock)
		}
	}
	if c.suspended {
		return // deadlines rest, and answers are owed when it goes on
	}
	for ref, a := range c.requests {
		if !a.answered && !a.cancelled && !a.client.disconnected && c.clock > a.deadline {
			c.failf("%s was not answered in its time", ref)
		}
	}
}

func (e *clientPeer) data(text string) {
	if !e.disconnected {
		_ = e.session.Data([]byte(text))
	}
}

func (c *simulation) submit(e *clientPeer) {
	c.lastRef++
	e.seq++
	ref, class := fmt.Sprintf("%016x", c.lastRef), []string{"read", "read", "pay", "keyed"}[c.rng.IntN(4)]
	allow := 100 + c.rng.IntN(1900)
	a := &simulatedRequest{outstanding: map[*cachePeer]routing.Time{}, class: class, client: e, seq: e.seq, deadline: c.clock + time.Duration(allow)*time.Millisecond + 30*time.Millisecond}
	if c.finalDeadline != 0 {
		a.deadline = max(min(a.deadline, c.finalDeadline+30*time.Millisecond), c.clock+time.Millisecond)
	}
	c.requests[ref] = a
	if e.malformed || e.halfClosed {
		a.cancelled = true // nothing is taken there any more
	} else {
		e.open[e.seq] = a
	}
	c.record("%s asks for %s of %s, %d ms", fmt.Sprintf("%p", e), ref, class, allow)
	frame := nettest.SubmitFrame(e.seq, strings.Repeat("b", c.rng.IntN(200)), "service", class, "ref", ref, "allow", fmt.Sprint(allow),
		"lookup", fmt.Sprintf("%016x", 1+c.rng.IntN(20)), "chunk", "0", "tag", "0", "room", "50", "known", "tag1", "replay", "key"+ref)
	if cut := c.rng.IntN(8 * len(frame)); cut < len(frame) {
		e.data(frame[:cut])
		frame = frame[cut:]
	}
	e.data(frame)
}

// respond has a cache do something on a connection.
func (c *simulation) respond(e *cachePeer) {
	feed := func(text string) {
		if err := e.stream.Data([]byte(text)); err != nil {
			e.disconnected = true // the loop closes at once what can't be followed
			e.stream.Closed()
		}
	}
	if e.unsent != "" { // the end of half an answer comes, or never does
		rest, then := e.unsent, e.onComplete
		if e.unsent = ""; c.rng.IntN(2) == 0 {
			c.record("%s resets amid an answer", e.name)
			e.disconnect()
			return
		}
		then()
		feed(rest)
		return
	}
	// say answers, whole or in pieces; told is what it tells of the attempt once it is whole.
	say := func(ref, word, fields, body string, told func()) {
		c.record("%s answers %s %s", e.name, ref, word)
		text := fmt.Sprintf("*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(ref), ref, len(word), word,
			len(fields), fields, len(body), body)
		if cut := c.rng.IntN(12 * len(text)); cut < len(text) {
			feed(text[:cut])
			e.unsent, e.onComplete = text[cut:], told
			return
		}
		told()
		feed(text)
	}
	nothing := func() {}
	if len(e.answered) > 0 && c.rng.IntN(8) == 0 {
		say(e.answered[c.rng.IntN(len(e.answered))], []string{"BUSY", "MISS", "OK"}[c.rng.IntN(3)], "n=HIT", "copy", nothing)
		return
	}
	if len(e.pending) == 0 || c.rng.IntN(25) == 0 {
		c.record("%s resets", e.name)
		e.disconnect()
		return
	}
	i := c.rng.IntN(len(e.pending))
	ref := e.pending[i]
	e.pending = append(e.pending[:i], e.pending[i+1:]...)
	a := c.requests[ref]
	answered := func() { e.answered = append(e.answered, ref); delete(a.outstanding, e) }
	neverRan := func() { a.possibleExecutions--; answered() }
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
		c := newSimulation(t, seed)
		for range 1500 {
			c.step()
		}
		if c.suspended {
			c.suspended = false
			c.director.Resume(false)
			c.timers.RunDue(c.clock)
		}
		for _, e := range c.clientPeers {
			e.Buffered = 0
		}
		if seed%2 == 0 { // the program is told to end
			last := c.clock + 300*time.Millisecond
			c.finalDeadline = last
			c.director.SetShutdownDeadline(last)
			for _, a := range c.requests {
				a.deadline = min(a.deadline, last+30*time.Millisecond)
			}
		}
		for range 100 {
			if c.step(); c.suspended {
				c.suspended = false
				c.director.Resume(false)
				c.timers.RunDue(c.clock)
			}
		}
		for _, e := range c.clientPeers {
			e.Buffered = 0
		}
		c.downstream.StartGracefulClose()
		for range 100 { // to the end: dials fail, closes are carried out, time passes
			for _, e := range c.dials {
				e.stream.Failed(errors.New("refused"))
			}
			c.dials = nil
			for len(c.pendingCloses) > 0 {
				do := c.pendingCloses[0]
				c.pendingCloses = c.pendingCloses[1:]
				do()
			}
			c.advance(50 * time.Millisecond)
			c.downstream.StartGracefulClose()
		}
		for _, e := range c.cachePeers {
			e.disconnect()
		}
		if n, m, k, b := c.director.OpenRequests(), c.downstream.Conns(), c.upstream.NumConns(), c.buffers.InUse(); n+m+k+b != 0 {
			c.failf("%d requests, %d client connections, %d peer connections and %d buffers are left", n, m, k, b)
		}
		if c.director.Counters.RequestsOverdue != 0 {
			c.failf("%d requests were ended by the guard", c.director.Counters.RequestsOverdue)
		}
		served += c.served
	}
	if served < 10_000 {
		t.Errorf("only %d requests were served: little was shown", served)
	}
}
