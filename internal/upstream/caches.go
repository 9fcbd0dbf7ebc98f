// Package caches speaks with caches, parents and the origin: RESP arrays over connections that carry many
// attempts each. It opens connections as they are needed and tells exactly how each attempt ended.
package upstream

import (
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/buffer"
	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/handle"
	"shaleyard/internal/overload"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// CompletionHandler takes the ends of attempts; it is the director.
type CompletionHandler interface {
	AttemptEnded(handle.Handle, director.AttemptResult)
}

// Counters count what passed between the director and its peers.
type Counters struct {
	Dials, DialFailures, ConnsLost, IdleTimeouts, EndpointRestarts      uint64
	RequestsSent, CancelsSent, Responses, UnmatchedResponses            uint64
	ProtocolErrors, InvalidResponses, BackloggedConns, UnknownEndpoints uint64
	BytesIn, BytesOut, UnresponsiveConns, DescriptorLimitHits           uint64
	Reassigned, StaleIdleConns, IdleCloseRaces, Redials, ConnectLimited uint64
	WindowExpired, IdleEvictions, LocalResourceErrors                   uint64
}

// Pools holds the connections to all peers.
type Pools struct {
	Counters Counters

	limits *config.Limits
	fields []string // of load reports, by the settings' names
	pool   *buffer.Pool
	dialer eventloop.Dialer
	ender  CompletionHandler
	agenda *timer.Queue
	now    func() routing.Time
	log    *zap.Logger
	rng    *rand.Rand
	peers  map[routing.Host]*peer
	calls  map[handle.Handle]*call
	conns  *handle.Table[*conn]
	idle   overload.IdleTimeout // for how long an idle connection is used again
	files  int                  // descriptors in use: two while a dial is handed to the loop, then one
	held   bool                 // nothing is written, until Release
	head   []byte
	iov    [][]byte
}

// peer is a member under its name. A new one at an old address is another peer, with connections of its own.
type peer struct {
	host    routing.Host
	name    string
	address string
	started routing.Time
	conns   []*conn
	pace    overload.ConnectLimiter
	left    bool
	ended   routing.Time // when it last ended a connection
	crossed timer.Timer  // a request was lost to that, as far as is known: its lesson is drawn a moment later
	logAt   routing.Time // no line on it before
}

// call is an attempt on a connection.
type call struct {
	h       handle.Handle
	id      string
	c       *conn
	at      routing.Time
	gap     routing.Time // for how long its connection had been idle
	redials int          // dials that were reset under it
	written bool
	known   string       // tag of the client's copy; "": none
	before  routing.Time // not to be written later; 0: any time
	frame   func()       // writes it, once the connection is up
}

// NewPools returns a fleet without members. Attempts' ends go to the ender.
func NewPools(l *config.Limits, s *routing.Settings, pool *buffer.Pool, d eventloop.Dialer, e CompletionHandler, a *timer.Queue,
	now func() routing.Time, log *zap.Logger, seed uint64) *Pools {
	return &Pools{rng: rand.New(rand.NewPCG(seed, 4)), limits: l, fields: s.LoadReport.Fields, pool: pool, dialer: d, ender: e, agenda: a, now: now, log: log,
		idle: overload.NewIdleTimeout(l.MinIdleTimeout, l.UpstreamIdleTimeout), peers: map[routing.Host]*peer{}, calls: map[handle.Handle]*call{},
		conns: handle.NewTable[*conn](l.MaxUpstreamConns)}
}

// note writes a line on a peer, at most one a second.
func (f *Pools) note(p *peer, what string, fields ...zap.Field) {
	if now := f.now(); now >= p.logAt {
		p.logAt = now + time.Second
		f.log.With(zap.String("member", p.name), zap.String("address", p.address)).Info(what, fields...)
	}
}

// NumConns is the number of connections held or being opened.
func (f *Pools) NumConns() int { return f.conns.Len() }

// Join takes a member in, or learns of its new address or life. What is open to an old life is closed: its
// process is gone, and a vanished machine would never say so.
func (f *Pools) UpdateEndpoint(host routing.Host, name, address string, started routing.Time) {
	p := f.peers[host]
	if p == nil {
		p = &peer{host: host, name: name, address: address, started: started, pace: overload.NewConnectLimiter(f.rng)}
		p.pace.Reset(started)
		f.peers[host] = p
		return
	}
	p.left = false
	if p.address == address && p.started == started {
		return
	}
	moved := p.address != address
	p.address, p.started = address, started
	p.pace.Reset(started)
	f.agenda.Cancel(&p.crossed)
	f.Counters.EndpointRestarts++
	for _, c := range append([]*conn(nil), p.conns...) {
		// The news come late: what was opened since the start belongs to the new life already, and to
		// close it would lose what is out.
		if moved || (c.phase != dialling && c.since < started) {
			c.shut()
		}
	}
}

// Leave lets a member that has gone finish what it has and then closes its connections.
func (f *Pools) RemoveEndpoint(host routing.Host) {
	p := f.peers[host]
	if p == nil {
		return
	}
	p.left = true
	f.agenda.Cancel(&p.crossed)
	for _, c := range append([]*conn(nil), p.conns...) {
		c.rest()
	}
	if len(p.conns) == 0 {
		delete(f.peers, host)
	}
}

// Send starts an attempt on a connection that has room, or on a new one.
func (f *Pools) Send(h handle.Handle, to routing.Host, q director.UpstreamRequest) {
	p := f.peers[to]
	if p == nil {
		f.Counters.UnknownEndpoints++
		f.ender.AttemptEnded(h, director.AttemptResult{Result: routing.ConnectFailed})
		return
	}
	c := f.pick(p, q.Request.Ref, q.NonIdempotent)
	if c == nil {
		f.Counters.DescriptorLimitHits++ // our shortage: it never ran, and says nothing of the peer
		f.ender.AttemptEnded(h, director.AttemptResult{Result: routing.Abandoned})
		return
	}
	k := &call{h: h, id: q.Request.Ref, at: f.now(), known: q.Request.IfNoneMatch, before: q.IdempotencyWindowEnd}
	until := k.at + q.Timeout
	k.frame = func() { f.write(k, q, until) }
	f.calls[h] = k
	c.put(k)
}

// Hold keeps what waits from being written, until Release: the process stood still, and what would call it off may
// be unread yet.
func (f *Pools) SuspendWrites() { f.held = true }

// Release writes what has waited.
func (f *Pools) ResumeWrites() {
	f.held = false
	var waiting []*conn
	f.conns.All(func(_ handle.Handle, c *conn) bool {
		if c.phase != dialling && len(c.line) > 0 {
			waiting = append(waiting, c)
		}
		return true
	})
	for _, c := range waiting {
		c.flush()
	}
}

// Recall gives up an attempt of which nothing has been written; false: some may have been, and it goes on.
func (f *Pools) CancelIfUnwritten(h handle.Handle) bool {
	k := f.calls[h]
	if k == nil || k.written {
		return false
	}
	f.drop(k)
	k.c.rest()
	return true
}

// pick is the connection for an attempt: one that has nothing open, the latest used first; else a new one, up
// to the peer's share; else the one with the least open. A spoilt answer or a reset ends all that is open on its
// connection, so attempts share one only where connections run short. What must not run twice takes a new one
// where it can: a reset that crosses a request on an idle connection would leave it unknown whether it ran.
func (f *Pools) pick(p *peer, id string, once bool) *conn {
	var best *conn
	for _, c := range slices.Clone(p.conns) {
		if c.usable(id) && (best == nil || c.before(best)) {
			best = c
		}
	}
	full := len(p.conns) >= f.limits.MaxConnsPerEndpoint
	if once && full && best != nil && len(best.open) == 0 && best.phase == up {
		best.shut() // a new one takes its place
		best, full = nil, false
	}
	if best != nil && ((len(best.open) == 0 && !once) || full) {
		return best
	}
	if best != nil && !p.pace.Allow(f.now(), len(p.conns), p.opening()) {
		f.Counters.ConnectLimited++
		return best
	}
	if c := f.dial(p); c != nil {
		return c
	}
	return best
}

// opening is the number of connections being dialled.
func (p *peer) opening() (n int) {
	for _, c := range p.conns {
		if c.phase == dialling {
			n++
		}
	}
	return n
}

// room tells whether another dial keeps within the descriptors that peers may hold. Where it does not, the connection
// that has been idle for the longest is closed, so that peers met before can't shut others out. Its descriptor is
// free only when the loop comes round: DialRoom bounds how many are on their way.
func (f *Pools) room() bool {
	if f.files+2 <= f.limits.MaxUpstreamConns {
		return true
	}
	var eldest *conn
	f.conns.All(func(_ handle.Handle, c *conn) bool {
		if c.phase == up && len(c.open) == 0 && (eldest == nil || c.rested < eldest.rested) {
			eldest = c
		}
		return true
	})
	if eldest == nil || f.files+2 > f.limits.MaxUpstreamConns+f.limits.MaxReplacementDials {
		return false
	}
	f.Counters.IdleEvictions++
	eldest.shut()
	return true
}

// dial opens a connection, unless that could take more descriptors than peers may hold.
func (f *Pools) dial(p *peer) *conn {
	if !f.room() {
		return nil
	}
	c := &conn{f: f, p: p, open: map[string]*call{}, ghosts: map[string]routing.Time{}}
	c.parser = parser{pool: f.pool, mostFields: f.limits.MaxAnswerFieldBytes, mostBody: f.limits.MaxAnswerBodyBytes}
	h, ok := f.conns.Add(c)
	if !ok {
		return nil
	}
	c.handle = h
	f.files += 2
	p.conns = append(p.conns, c)
	f.Counters.Dials++
	f.dialer.Dial(p.address, f.limits.ConnectTimeout, c)
	return c
}

// Stop gives an attempt up. Where some of it was written the peer is told, and what it may still answer is
// dropped.
func (f *Pools) Cancel(h handle.Handle) (written bool) {
	k := f.calls[h]
	if k == nil {
		return true // it has ended some other way: nothing can be proven here
	}
	f.drop(k)
	c := k.c
	if !k.written {
		c.rest()
		return false
	}
	f.Counters.CancelsSent++
	c.ghost(k.id)
	if c.phase != closed {
		b := appendBulk(appendBulk(appendArray(f.head[:0], 2), "STOP"), k.id)
		f.head = b
		if _, err := c.link.Writev([][]byte{b}); err != nil {
			c.lost()
		}
	}
	c.rest()
	return true
}

func (f *Pools) drop(k *call) {
	delete(f.calls, k.h)
	if k.c.open[k.id] == k {
		delete(k.c.open, k.id)
	}
}
