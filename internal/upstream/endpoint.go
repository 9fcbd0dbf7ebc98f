package upstream

import (
	"slices"

	"shaleyard/internal/overload"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// endpoint is a cache, a parent or the origin, with its pool of connections. Its host identifies it: a different host
// at the same address is a separate endpoint with its own connections.
type endpoint struct {
	host           routing.Host
	name           string
	address        string
	startedAt      routing.Time // when its process started, according to the endpoint list
	conns          []*conn
	connectLimiter overload.ConnectLimiter
	removed        bool // from the endpoint list; the endpoint is kept until its last connection is closed

	lastConnLossAt     routing.Time // when a connection was last lost; 0 if none was
	idleCloseRaceTimer timer.Timer  // pending while the latest loss may still prove to be an idle-close race

	nextLogAt routing.Time // earliest time of the next log line about this endpoint
}

// UpdateEndpoint adds an endpoint, or applies its new address or process start time. If the address has changed, it
// closes all connections to the old address. If only the start time has changed, it closes the connections that were
// opened before the restart, because the process that they lead to has ended. Without this, a connection to a machine
// that vanished would stay open: no close or reset would ever arrive on it.
func (p *Pools) UpdateEndpoint(host routing.Host, name, address string, startedAt routing.Time) {
	known := p.endpoints[host]
	if known == nil {
		p.addEndpoint(host, name, address, startedAt)
		return
	}
	if known.removed {
		p.readdEndpoint(known)
	}
	if known.address == address && known.startedAt == startedAt {
		return
	}
	p.restartEndpoint(known, address, startedAt)
}

// readdEndpoint takes back an endpoint that had left the endpoint list. Another process may run at its address now, so
// its connections, which lead to the old one, get no new attempts.
func (p *Pools) readdEndpoint(known *endpoint) {
	known.removed = false
	known.connectLimiter.Reset(p.now())
	for _, conn := range slices.Clone(known.conns) {
		conn.transition(draining)
		conn.releaseIfIdle()
	}
}

func (p *Pools) addEndpoint(host routing.Host, name, address string, startedAt routing.Time) {
	added := &endpoint{
		host:           host,
		name:           name,
		address:        address,
		startedAt:      startedAt,
		connectLimiter: overload.NewConnectLimiter(p.rng),
	}
	added.connectLimiter.Reset(startedAt)
	p.endpoints[host] = added
}

// restartEndpoint applies a new address or process start time to an endpoint, resets what was learned from the previous
// process, and closes the connections to the previous process or address.
func (p *Pools) restartEndpoint(endpoint *endpoint, address string, startedAt routing.Time) {
	moved := endpoint.address != address
	endpoint.address = address
	endpoint.startedAt = startedAt
	endpoint.connectLimiter.Reset(startedAt)
	p.timers.Cancel(&endpoint.idleCloseRaceTimer)
	p.Counters.EndpointRestarts++
	for _, conn := range slices.Clone(endpoint.conns) {
		// The endpoint list may report a restart late: a connection that was opened after the restart already leads to
		// the new process, and closing the connection would lose its attempts in flight.
		outdated := conn.phase != connecting && conn.openedAt < startedAt
		if moved || outdated {
			conn.close()
		}
	}
}

// RemoveEndpoint removes an endpoint that has left the endpoint list. The attempts in flight may finish; each
// connection of the endpoint is closed when it has no attempts left.
func (p *Pools) RemoveEndpoint(host routing.Host) {
	endpoint := p.endpoints[host]
	if endpoint == nil {
		return
	}
	endpoint.removed = true
	p.timers.Cancel(&endpoint.idleCloseRaceTimer)
	for _, conn := range slices.Clone(endpoint.conns) {
		conn.releaseIfIdle()
	}
	if len(endpoint.conns) == 0 {
		delete(p.endpoints, host)
	}
}

// removeConn removes a closed connection from its endpoint's pool. It also removes the endpoint if that has left the
// endpoint list and this was its last connection.
func (p *Pools) removeConn(closing *conn) {
	endpoint := closing.endpoint
	endpoint.conns = slices.DeleteFunc(endpoint.conns, func(other *conn) bool { return other == closing })
	if endpoint.removed && len(endpoint.conns) == 0 && p.endpoints[endpoint.host] == endpoint {
		delete(p.endpoints, endpoint.host)
	}
}

// numConnecting returns the number of the endpoint's connections that are being dialled.
func (e *endpoint) numConnecting() int {
	count := 0
	for _, conn := range e.conns {
		if conn.phase == connecting {
			count++
		}
	}
	return count
}

// numEstablished returns the number of the endpoint's connections that are not being dialled: the ready and the
// draining ones.
func (e *endpoint) numEstablished() int {
	return len(e.conns) - e.numConnecting()
}
