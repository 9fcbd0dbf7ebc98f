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
	"shaleyard/internal/resp"
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

	limits           *config.Limits
	loadReportFields []string // of load reports, by the settings' names
	buffers          *buffer.Pool
	dialer           eventloop.Dialer
	completions      CompletionHandler
	timers           *timer.Queue
	now              func() routing.Time
	log              *zap.Logger
	rng              *rand.Rand
	endpoints        map[routing.Host]*endpoint
	attempts         map[handle.Handle]*activeAttempt
	conns            *handle.Table[*conn]
	idleReuse        overload.IdleTimeout // for how long an idle connection is used again
	descriptorsInUse int                  // descriptors in use: two while a dial is handed to the loop, then one
	writesSuspended  bool                 // nothing is written, until Release
	headBuffer       []byte
	writeSegments    [][]byte
}

// endpoint is a member under its name. A new one at an old address is another endpoint, with connections of its own.
type endpoint struct {
	host               routing.Host
	name               string
	address            string
	startedAt          routing.Time
	conns              []*conn
	connectLimiter     overload.ConnectLimiter
	removed            bool
	lastConnLossAt     routing.Time // when it last ended a connection
	idleCloseRaceTimer timer.Timer  // a request was lost to that, as far as is known: its lesson is drawn a moment later
	nextLogAt          routing.Time // no line on it before
}

// activeAttempt is an attempt on a connection.
type activeAttempt struct {
	handle      handle.Handle
	requestID   string
	conn        *conn
	startedAt   routing.Time
	idleBefore  routing.Time // for how long its connection had been idle
	redials     int          // dials that were reset under it
	written     bool
	clientTag   string       // tag of the client's copy; "": none
	writeBefore routing.Time // not to be written later; 0: any time
	write       func()       // writes it, once the connection is up
}

// NewPools returns a fleet without members. Attempts' ends go to the ender.
func NewPools(l *config.Limits, s *routing.Settings, pool *buffer.Pool, d eventloop.Dialer, e CompletionHandler, a *timer.Queue,
	now func() routing.Time, log *zap.Logger, seed uint64) *Pools {
	return &Pools{rng: rand.New(rand.NewPCG(seed, 4)), limits: l, loadReportFields: s.LoadReport.Fields, buffers: pool, dialer: d, completions: e, timers: a, now: now, log: log,
		idleReuse: overload.NewIdleTimeout(l.MinIdleTimeout, l.UpstreamIdleTimeout), endpoints: map[routing.Host]*endpoint{}, attempts: map[handle.Handle]*activeAttempt{},
		conns: handle.NewTable[*conn](l.MaxUpstreamConns)}
}

// logEndpoint writes a line on a peer, at most one a second.
func (f *Pools) logEndpoint(p *endpoint, what string, fields ...zap.Field) {
	if now := f.now(); now >= p.nextLogAt {
		p.nextLogAt = now + time.Second
		f.log.With(zap.String("member", p.name), zap.String("address", p.address)).Info(what, fields...)
	}
}

// NumConns is the number of connections held or being opened.
func (f *Pools) NumConns() int { return f.conns.Len() }

// Join takes a member in, or learns of its new address or life. What is open to an old life is closed: its
// process is gone, and a vanished machine would never say so.
func (f *Pools) UpdateEndpoint(host routing.Host, name, address string, started routing.Time) {
	p := f.endpoints[host]
	if p == nil {
		p = &endpoint{host: host, name: name, address: address, startedAt: started, connectLimiter: overload.NewConnectLimiter(f.rng)}
		p.connectLimiter.Reset(started)
		f.endpoints[host] = p
		return
	}
	p.removed = false
	if p.address == address && p.startedAt == started {
		return
	}
	moved := p.address != address
	p.address, p.startedAt = address, started
	p.connectLimiter.Reset(started)
	f.timers.Cancel(&p.idleCloseRaceTimer)
	f.Counters.EndpointRestarts++
	for _, c := range append([]*conn(nil), p.conns...) {
		// The news come late: what was opened since the start belongs to the new life already, and to
		// close it would lose what is out.
		if moved || (c.phase != connecting && c.openedAt < started) {
			c.close()
		}
	}
}

// Leave lets a member that has gone finish what it has and then closes its connections.
func (f *Pools) RemoveEndpoint(host routing.Host) {
	p := f.endpoints[host]
	if p == nil {
		return
	}
	p.removed = true
	f.timers.Cancel(&p.idleCloseRaceTimer)
	for _, c := range append([]*conn(nil), p.conns...) {
		c.releaseIfIdle()
	}
	if len(p.conns) == 0 {
		delete(f.endpoints, host)
	}
}

// Send starts an attempt on a connection that has room, or on a new one.
func (f *Pools) Send(h handle.Handle, to routing.Host, q director.UpstreamRequest) {
	p := f.endpoints[to]
	if p == nil {
		f.Counters.UnknownEndpoints++
		f.completions.AttemptEnded(h, director.AttemptResult{Result: routing.ConnectFailed})
		return
	}
	c := f.pickConn(p, q.Request.Ref, q.NonIdempotent)
	if c == nil {
		f.Counters.DescriptorLimitHits++ // our shortage: it never ran, and says nothing of the peer
		f.completions.AttemptEnded(h, director.AttemptResult{Result: routing.Abandoned})
		return
	}
	k := &activeAttempt{handle: h, requestID: q.Request.Ref, startedAt: f.now(), clientTag: q.Request.IfNoneMatch, writeBefore: q.IdempotencyWindowEnd}
	until := k.startedAt + q.Timeout
	k.write = func() { f.writeRequest(k, q, until) }
	f.attempts[h] = k
	c.assign(k)
}

// Hold keeps what waits from being written, until Release: the process stood still, and what would call it off may
// be unread yet.
func (f *Pools) SuspendWrites() { f.writesSuspended = true }

// Release writes what has waited.
func (f *Pools) ResumeWrites() {
	f.writesSuspended = false
	var waiting []*conn
	f.conns.All(func(_ handle.Handle, c *conn) bool {
		if c.phase != connecting && len(c.pending) > 0 {
			waiting = append(waiting, c)
		}
		return true
	})
	for _, c := range waiting {
		c.writePending()
	}
}

// Recall gives up an attempt of which nothing has been written; false: some may have been, and it goes on.
func (f *Pools) CancelIfUnwritten(h handle.Handle) bool {
	k := f.attempts[h]
	if k == nil || k.written {
		return false
	}
	f.removeAttempt(k)
	k.conn.releaseIfIdle()
	return true
}

// pickConn is the connection for an attempt: one that has nothing open, the latest used first; else a new one, up
// to the peer's share; else the one with the least open. A spoilt answer or a reset ends all that is open on its
// connection, so attempts share one only where connections run short. What must not run twice takes a new one
// where it can: a reset that crosses a request on an idle connection would leave it unknown whether it ran.
func (f *Pools) pickConn(p *endpoint, id string, once bool) *conn {
	var best *conn
	for _, c := range slices.Clone(p.conns) {
		if c.usable(id) && (best == nil || c.preferredOver(best)) {
			best = c
		}
	}
	full := len(p.conns) >= f.limits.MaxConnsPerEndpoint
	if once && full && best != nil && len(best.inFlight) == 0 && best.phase == ready {
		best.close() // a new one takes its place
		best, full = nil, false
	}
	if best != nil && ((len(best.inFlight) == 0 && !once) || full) {
		return best
	}
	if best != nil && !p.connectLimiter.Allow(f.now(), len(p.conns), p.numConnecting()) {
		f.Counters.ConnectLimited++
		return best
	}
	if c := f.dial(p); c != nil {
		return c
	}
	return best
}

// numConnecting is the number of connections being dialled.
func (p *endpoint) numConnecting() (n int) {
	for _, c := range p.conns {
		if c.phase == connecting {
			n++
		}
	}
	return n
}

// ensureDescriptors tells whether another dial keeps within the descriptors that peers may hold. Where it does not, the connection
// that has been idle for the longest is closed, so that peers met before can't shut others out. Its descriptor is
// free only when the loop comes round: DialRoom bounds how many are on their way.
func (f *Pools) ensureDescriptors() bool {
	if f.descriptorsInUse+2 <= f.limits.MaxUpstreamConns {
		return true
	}
	var eldest *conn
	f.conns.All(func(_ handle.Handle, c *conn) bool {
		if c.phase == ready && len(c.inFlight) == 0 && (eldest == nil || c.idleSince < eldest.idleSince) {
			eldest = c
		}
		return true
	})
	if eldest == nil || f.descriptorsInUse+2 > f.limits.MaxUpstreamConns+f.limits.MaxReplacementDials {
		return false
	}
	f.Counters.IdleEvictions++
	eldest.close()
	return true
}

// dial opens a connection, unless that could take more descriptors than peers may hold.
func (f *Pools) dial(p *endpoint) *conn {
	if !f.ensureDescriptors() {
		return nil
	}
	c := &conn{pools: f, endpoint: p, inFlight: map[string]*activeAttempt{}, lateResponseIDs: map[string]routing.Time{}}
	c.parser = resp.NewParser(f.buffers, resp.Limits{Fields: f.limits.MaxAnswerFieldBytes, Body: f.limits.MaxAnswerBodyBytes})
	h, ok := f.conns.Add(c)
	if !ok {
		return nil
	}
	c.handle = h
	f.descriptorsInUse += 2
	p.conns = append(p.conns, c)
	f.Counters.Dials++
	f.dialer.Dial(p.address, f.limits.ConnectTimeout, c)
	return c
}

// Stop gives an attempt up. Where some of it was written the peer is told, and what it may still answer is
// dropped.
func (f *Pools) Cancel(h handle.Handle) (written bool) {
	k := f.attempts[h]
	if k == nil {
		return true // it has ended some other way: nothing can be proven here
	}
	f.removeAttempt(k)
	c := k.conn
	if !k.written {
		c.releaseIfIdle()
		return false
	}
	f.Counters.CancelsSent++
	c.expectLateResponse(k.requestID)
	if c.phase != closed {
		b := resp.AppendBulkString(resp.AppendBulkString(resp.AppendArrayHeader(f.headBuffer[:0], 2), "STOP"), k.requestID)
		f.headBuffer = b
		if _, err := c.socket.Writev([][]byte{b}); err != nil {
			c.writeFailed()
		}
	}
	c.releaseIfIdle()
	return true
}

func (f *Pools) removeAttempt(k *activeAttempt) {
	delete(f.attempts, k.handle)
	if k.conn.inFlight[k.requestID] == k {
		delete(k.conn.inFlight, k.requestID)
	}
}
