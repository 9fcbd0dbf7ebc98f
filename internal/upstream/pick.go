package upstream

import (
	"slices"

	"shaleyard/internal/handle"
	"shaleyard/internal/resp"
	"shaleyard/routing"
)

// pickConn returns the connection for a new attempt, or nil if no connection can take the attempt and the limit on file
// descriptors allows no new one.
//
// pickConn prefers the idle connection that was used last, then a new connection if MaxConnsPerEndpoint and the connect
// limiter allow one, then the connection with the fewest attempts in flight. Attempts share a connection only if no
// further one may be opened, because malformed data or a reset ends all attempts on a connection. A non-idempotent
// request gets a new connection where possible, if need be in place of an idle one: if the endpoint closed an idle
// connection while the request was being sent, it would be unknown whether the request was executed.
func (p *Pools) pickConn(endpoint *endpoint, requestID string, nonIdempotent bool) *conn {
	best := endpoint.bestConn(requestID)
	if best == nil {
		return p.dial(endpoint)
	}
	full := len(endpoint.conns) >= p.limits.MaxConnsPerEndpoint
	idle := len(best.inFlight) == 0
	if nonIdempotent && full && idle && best.phase == ready {
		best.close() // a new connection takes its place
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

// bestConn returns the most preferred of the endpoint's connections that can take an attempt of a request, or nil if
// none can. See preferredOver for the order.
func (e *endpoint) bestConn(requestID string) *conn {
	var best *conn
	for _, conn := range slices.Clone(e.conns) { // canAccept may remove connections from e.conns
		if !conn.canAccept(requestID) {
			continue
		}
		if best == nil || conn.preferredOver(best) {
			best = conn
		}
	}
	return best
}

// readyConn returns the first of the endpoint's open connections that can take an attempt of a request, or nil if none
// can.
func (e *endpoint) readyConn(requestID string) *conn {
	for _, conn := range slices.Clone(e.conns) { // canAccept may remove connections from e.conns
		if conn.phase == ready && conn.canAccept(requestID) {
			return conn
		}
	}
	return nil
}

// preferredOver reports whether c is a better connection for a new attempt than other. The connection with fewer
// attempts in flight is better, then an open one, then the one used last, so that connections that are no longer needed
// reach their idle timeout.
func (c *conn) preferredOver(other *conn) bool {
	if len(c.inFlight) != len(other.inFlight) {
		return len(c.inFlight) < len(other.inFlight)
	}
	if (c.phase == connecting) != (other.phase == connecting) {
		return c.phase != connecting
	}
	return c.lastUsedAt > other.lastUsedAt
}

// canAccept reports whether the connection can take an attempt of a request. As a side effect it closes the connection
// if that has no attempts in flight and is stale or unresponsive.
func (c *conn) canAccept(requestID string) bool {
	if c.phase > ready || len(c.inFlight) >= c.pools.limits.MaxAttemptsPerConn {
		return false
	}
	if c.expectsResponseTo(requestID) {
		return false
	}
	if len(c.inFlight) == 0 && c.parser.InProgress() {
		return false // the next response would be parsed as the rest of a cancelled attempt's response
	}
	return !c.closeIfStale() && !c.unresponsive() && !c.backlogged()
}

// expectsResponseTo reports whether a response to an earlier attempt of a request may still arrive on the connection.
// That response would have the same ID as the response to a new attempt and would be taken for it.
func (c *conn) expectsResponseTo(requestID string) bool {
	if _, taken := c.inFlight[requestID]; taken {
		return true
	}
	since, expected := c.lateResponseIDs[requestID]
	return expected && c.pools.now()-since <= c.pools.limits.LateAnswerWindow
}

// closeIfStale closes the connection if it has been idle for too long to be reused, and reports whether it did. The
// endpoint may already be closing such a connection.
func (c *conn) closeIfStale() bool {
	if len(c.inFlight) > 0 || c.phase != ready {
		return false
	}
	now := c.pools.now()
	if now-c.idleSince <= c.pools.idleReuseTimeout.Value(now) {
		return false
	}
	c.pools.Counters.StaleIdleConns++
	c.close()
	return true
}

// unresponsive reports whether nothing has been received for UpstreamSilenceTimeout although a response is due. The
// connections to a machine that vanished stay open; only a new dial shows whether the machine is reachable. An
// unresponsive connection without attempts in flight is closed.
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

// backlogged reports whether written data is still buffered because the endpoint has not read it. A request behind that
// data would be sent at an unpredictable time, possibly after its cancellation.
func (c *conn) backlogged() bool {
	if c.phase != ready || c.socket.OutboundBuffered() == 0 {
		return false
	}
	c.pools.Counters.BackloggedConns++
	return true
}

// descriptorsPerDial is the number of file descriptors that a dial holds until the event loop has taken over its
// connection; an open connection holds one.
const descriptorsPerDial = 2

// dial starts to open a connection to an endpoint and returns it, or nil if that could exceed the limit on file
// descriptors (MaxUpstreamConns).
func (p *Pools) dial(endpoint *endpoint) *conn {
	if !p.ensureDescriptors() {
		return nil
	}
	dialled := &conn{
		pools:           p,
		endpoint:        endpoint,
		inFlight:        map[string]*activeAttempt{},
		lateResponseIDs: map[string]routing.Time{},
	}
	responseLimits := resp.Limits{Fields: p.limits.MaxAnswerFieldBytes, Body: p.limits.MaxAnswerBodyBytes}
	dialled.parser = resp.NewParser(p.buffers, responseLimits, dialled)
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

// ensureDescriptors reports whether another dial may use its file descriptors. If the dial would exceed
// MaxUpstreamConns, ensureDescriptors closes the connection that has been idle for the longest time, so that idle
// connections to some endpoints cannot prevent dials to others. A closed connection's descriptor is in use until the
// event loop has closed the socket; until then MaxReplacementDials bounds the descriptors beyond MaxUpstreamConns.
func (p *Pools) ensureDescriptors() bool {
	needed := p.descriptorsInUse + descriptorsPerDial
	if needed <= p.limits.MaxUpstreamConns {
		return true
	}
	longest := p.longestIdle()
	if longest == nil || needed > p.limits.MaxUpstreamConns+p.limits.MaxReplacementDials {
		return false
	}
	p.Counters.IdleEvictions++
	longest.close()
	return true
}

// longestIdle returns the open connection that has been idle for the longest time, or nil if none is idle.
func (p *Pools) longestIdle() *conn {
	var longest *conn
	p.conns.All(func(_ handle.Handle, conn *conn) bool {
		if conn.phase != ready || len(conn.inFlight) > 0 {
			return true
		}
		if longest == nil || conn.idleSince < longest.idleSince {
			longest = conn
		}
		return true
	})
	return longest
}
