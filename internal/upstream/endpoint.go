package upstream

import (
	"slices"

	"shaleyard/internal/overload"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// endpoint is a cache, a parent or the origin, with its pool of connections. It is identified by its host: another one
// at the same address is another endpoint, with connections of its own.
type endpoint struct {
	host           routing.Host
	name           string
	address        string
	startedAt      routing.Time // of its process, as the endpoint list gives it
	conns          []*conn
	connectLimiter overload.ConnectLimiter
	removed        bool // from the endpoint list; it stays until its last connection is closed

	lastConnLossAt     routing.Time
	idleCloseRaceTimer timer.Timer // pending while a loss may turn out to be an idle-close race

	nextLogAt routing.Time
}

// UpdateEndpoint adds an endpoint, or takes in its new address or start. Connections to an earlier process of the
// endpoint are closed: that process is gone, and if its machine vanished they would never report it.
func (p *Pools) UpdateEndpoint(host routing.Host, name, address string, startedAt routing.Time) {
	known := p.endpoints[host]
	if known == nil {
		p.addEndpoint(host, name, address, startedAt)
		return
	}
	known.removed = false
	if known.address == address && known.startedAt == startedAt {
		return
	}
	p.restartEndpoint(known, address, startedAt)
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

func (p *Pools) restartEndpoint(endpoint *endpoint, address string, startedAt routing.Time) {
	moved := endpoint.address != address
	endpoint.address = address
	endpoint.startedAt = startedAt
	endpoint.connectLimiter.Reset(startedAt)
	p.timers.Cancel(&endpoint.idleCloseRaceTimer)
	p.Counters.EndpointRestarts++
	for _, conn := range slices.Clone(endpoint.conns) {
		// The endpoint list is late: a connection that was opened after the start leads to the new process already, and
		// closing it would lose the attempts in flight on it.
		outdated := conn.phase != connecting && conn.openedAt < startedAt
		if moved || outdated {
			conn.close()
		}
	}
}

// RemoveEndpoint lets an endpoint that has left the list finish the attempts in flight to it, and closes each of its
// connections after its last one.
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

// removeConn takes a closed connection out of its endpoint's pool, and the endpoint out of the pools where it was the
// last connection of one that has left the list.
func (p *Pools) removeConn(closing *conn) {
	endpoint := closing.endpoint
	endpoint.conns = slices.DeleteFunc(endpoint.conns, func(other *conn) bool { return other == closing })
	if endpoint.removed && len(endpoint.conns) == 0 && p.endpoints[endpoint.host] == endpoint {
		delete(p.endpoints, endpoint.host)
	}
}

// numConnecting returns the number of the endpoint's connections that are being opened.
func (e *endpoint) numConnecting() int {
	count := 0
	for _, conn := range e.conns {
		if conn.phase == connecting {
			count++
		}
	}
	return count
}

// numEstablished returns the number of its connections that are open.
func (e *endpoint) numEstablished() int {
	return len(e.conns) - e.numConnecting()
}
