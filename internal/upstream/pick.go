package upstream

import (
	"slices"

	"shaleyard/internal/handle"
	"shaleyard/internal/resp"
	"shaleyard/routing"
)

// pickConn returns the connection for a new attempt; nil: there is none, and no descriptor for a new one.
//
// It is an idle connection, the latest used first; else a new one, up to the endpoint's quota; else the one with the
// fewest attempts in flight. Attempts share a connection only where connections run short, because an invalid response
// or a reset ends all attempts on its connection. A request that is not idempotent gets a new connection where
// possible: when a reset crosses it on an idle one, nobody can tell whether it was executed.
func (p *Pools) pickConn(endpoint *endpoint, requestID string, nonIdempotent bool) *conn {
	best := endpoint.bestConn(requestID)
	if best == nil {
		return p.dial(endpoint)
	}
	full := len(endpoint.conns) >= p.limits.MaxConnsPerEndpoint
	idle := len(best.inFlight) == 0
	if nonIdempotent && full && idle && best.phase == ready {
		best.close() // a new one takes its place
		return p.dial(endpoint)
	}
	if full || (idle && !nonIdempotent) {
		return best
	}
	if !endpoint.connectLimiter.Allow(p.now(), len(endpoint.conns), endpoint.numConnecting()) {
		p.Counters.ConnectLimited++
		return best
	}
	if dialled := p.dial(endpoint); dialled != nil {
		return dialled
	}
	return best
}

// bestConn returns the preferred one of the connections that can take an attempt of a request; nil: none can.
func (e *endpoint) bestConn(requestID string) *conn {
	var best *conn
	for _, conn := range slices.Clone(e.conns) { // usable may close connections
		if !conn.usable(requestID) {
			continue
		}
		if best == nil || conn.preferredOver(best) {
			best = conn
		}
	}
	return best
}

// readyConn returns the first open connection that can take an attempt of a request; nil: none can.
func (e *endpoint) readyConn(requestID string) *conn {
	for _, conn := range slices.Clone(e.conns) { // usable may close connections
		if conn.phase == ready && conn.usable(requestID) {
			return conn
		}
	}
	return nil
}

// preferredOver tells whether c is the better connection for an attempt: the one with fewer in flight, then one that is
// open already, then the one used last, so that connections that are no longer needed reach their idle timeout.
func (c *conn) preferredOver(other *conn) bool {
	if len(c.inFlight) != len(other.inFlight) {
		return len(c.inFlight) < len(other.inFlight)
	}
	if (c.phase == connecting) != (other.phase == connecting) {
		return c.phase != connecting
	}
	return c.lastUsedAt > other.lastUsedAt
}

// usable tells whether the connection can take an attempt of a request. A connection that is found to be of no more use
// to any request is closed on the way.
func (c *conn) usable(requestID string) bool {
	if c.phase > ready || len(c.inFlight) >= c.pools.limits.MaxAttemptsPerConn {
		return false
	}
	if c.mayAnswer(requestID) {
		return false
	}
	if len(c.inFlight) == 0 && c.parser.InProgress() {
		return false // the response would be read as the rest of one that was given up
	}
	return !c.closeIfStale() && !c.unresponsive() && !c.backlogged()
}

// mayAnswer tells whether a response under the id of a request may still come from an earlier attempt. It could not be
// told from that to a new one.
func (c *conn) mayAnswer(requestID string) bool {
	if _, taken := c.inFlight[requestID]; taken {
		return true
	}
	since, expected := c.lateResponseIDs[requestID]
	return expected && c.pools.now()-since <= c.pools.limits.LateAnswerWindow
}

// closeIfStale closes a connection that has been idle for too long to be used again: the endpoint may be closing it.
func (c *conn) closeIfStale() bool {
	if len(c.inFlight) > 0 || c.phase != ready {
		return false
	}
	now := c.pools.now()
	if now-c.idleSince <= c.pools.idleReuse.Value(now) {
		return false
	}
	c.pools.Counters.StaleIdleConns++
	c.close()
	return true
}

// unresponsive tells whether a response has been due for too long. A machine that has vanished leaves its connections
// open, and only a new one shows whether it is there. An unresponsive connection without attempts is closed.
func (c *conn) unresponsive() bool {
	if c.awaitingSince == 0 || c.pools.now()-c.awaitingSince < c.pools.limits.UpstreamSilenceTimeout {
		return false
	}
	if len(c.inFlight) == 0 {
		c.pools.Counters.UnresponsiveConns++
		c.close()
	}
	return true
}

// backlogged tells whether the endpoint has not taken all that was written. What is written behind that would leave at
// a time of the endpoint's choosing, possibly after it was cancelled.
func (c *conn) backlogged() bool {
	if c.phase != ready || c.socket.OutboundBuffered() == 0 {
		return false
	}
	c.pools.Counters.BackloggedConns++
	return true
}

// descriptorsPerDial is the number of descriptors that a dial holds while it is handed to the event loop; the open
// connection holds one.
const descriptorsPerDial = 2

// dial opens a connection; nil: that could take more descriptors than connections to endpoints may hold.
func (p *Pools) dial(endpoint *endpoint) *conn {
	if !p.ensureDescriptors() {
		return nil
	}
	dialled := &conn{
		pools:           p,
		endpoint:        endpoint,
		inFlight:        map[string]*activeAttempt{},
		lateResponseIDs: map[string]routing.Time{},
		parser: resp.NewParser(p.buffers, resp.Limits{
			Fields: p.limits.MaxAnswerFieldBytes,
			Body:   p.limits.MaxAnswerBodyBytes,
		}),
	}
	id, ok := p.conns.Add(dialled)
	if !ok {
		return nil
	}
	dialled.handle = id
	p.descriptorsInUse += descriptorsPerDial
	endpoint.conns = append(endpoint.conns, dialled)
	p.Counters.Dials++
	p.dialer.Dial(endpoint.address, p.limits.ConnectTimeout, dialled)
	return dialled
}

// ensureDescriptors tells whether the descriptors suffice for another dial. Where they don't, the connection that has
// been idle for the longest is closed, so that endpoints used earlier can't lock others out. Its descriptor becomes
// free only when the event loop has closed it; MaxReplacementDials bounds how many may be on their way.
func (p *Pools) ensureDescriptors() bool {
	needed := p.descriptorsInUse + descriptorsPerDial
	if needed <= p.limits.MaxUpstreamConns {
		return true
	}
	eldest := p.longestIdle()
	if eldest == nil || needed > p.limits.MaxUpstreamConns+p.limits.MaxReplacementDials {
		return false
	}
	p.Counters.IdleEvictions++
	eldest.close()
	return true
}

func (p *Pools) longestIdle() *conn {
	var eldest *conn
	p.conns.All(func(_ handle.Handle, conn *conn) bool {
		if conn.phase != ready || len(conn.inFlight) > 0 {
			return true
		}
		if eldest == nil || conn.idleSince < eldest.idleSince {
			eldest = conn
		}
		return true
	})
	return eldest
}
