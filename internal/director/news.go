package director

import (
	"hash/fnv"

	"go.uber.org/zap"

	"shaleyard/routing"
)

// What the list of servers tells: members and purges.

const maxLoggedEntries = 8 // entries of one event

// Members takes a change of the list of servers; full: what is not in it has gone.
func (d *Director) UpdateEndpoints(full bool, version uint64, list []Endpoint) {
	d.Counters.EndpointEvents++
	m := routing.EndpointUpdate{Kind: routing.UpdateDelta, Version: version}
	seen := map[routing.Host]bool{}
	left := map[routing.Host]bool{} // draining, gone, or with a new life
	if full {
		m.Kind = routing.UpdateFull
	}
	for i, e := range list {
		d.Counters.EndpointEntries++
		if !full && i < maxLoggedEntries { // the news of a release, not the list of a start
			d.log.Info("member", zap.String("member", e.Name), zap.String("address", e.Address), zap.Uint8("state", uint8(e.State)))
		}
		e.Host = hostForName(e.Name)
		seen[e.Host] = true
		m.Endpoints = append(m.Endpoints, e.Endpoint)
		left[e.Host] = e.State != routing.Ready || d.incarnations[e.Host] != incarnation{e.Name, e.Started}
		if e.State == routing.Gone {
			delete(d.incarnations, e.Host)
			continue
		}
		d.incarnations[e.Host] = incarnation{e.Name, e.Started}
		d.upstream.UpdateEndpoint(e.Host, e.Name, e.Address, e.Started)
	}
	d.postDiscoveryEvent(m)
	d.cancelOvertaken(func(a *attempt, _ *request) bool {
		return left[a.host] || left[a.source] || full && (!seen[a.host] || a.source != 0 && !seen[a.source])
	})
	for _, e := range m.Endpoints {
		if e.State == routing.Gone {
			d.upstream.RemoveEndpoint(e.Host)
		}
	}
	if full {
		for h := range d.incarnations {
			if !seen[h] {
				delete(d.incarnations, h)
				d.upstream.RemoveEndpoint(h)
			}
		}
	}
}

// Purge takes a purge. How old it is follows from when it was made on our clock: a stamp of the feed's says nothing here.
func (d *Director) Purge(p Purge) {
	d.Counters.PurgeEvents++
	d.postDiscoveryEvent(routing.Purge{Age: max(0, d.now()-p.IssuedAt), Group: p.Group, Object: p.ObjectKey})
	d.cancelOvertaken(func(_ *attempt, r *request) bool {
		return r.ObjectKey == p.ObjectKey || p.ObjectKey == 0 && r.Group == p.Group
	})
}

// hostForName turns a member's name into the module's address. It hangs on the name alone: all directors must
// rank the same, a process that restarts under its name stays the same server, and a new one at an old
// address is another.
func hostForName(name string) routing.Host {
	h := fnv.New64a()
	h.Write([]byte(name))
	v := h.Sum64()
	return routing.Host((v ^ v>>48) & (1<<48 - 1))
}

// postDiscoveryEvent gives the router what the list service tells, also while all else is held.
func (d *Director) postDiscoveryEvent(ev routing.Event) {
	if d.dispatching || !d.suspended {
		d.postEvent(queuedEvent{routerEvent: ev})
		return
	}
	for _, a := range d.router.Handle(d.now(), ev) {
		d.performAction(a)
	}
}
