package director

import (
	"hash/fnv"

	"go.uber.org/zap"

	"shaleyard/routing"
)

// maxLoggedEntries is the number of endpoints of one event that are logged.
const maxLoggedEntries = 8

// incarnation tells one process under an endpoint's name from another that was started later.
type incarnation struct {
	name      string
	startedAt routing.Time
}

// endpointChanges are the endpoints that an event of the endpoint list concerns.
type endpointChanges struct {
	full    bool // an endpoint that is not listed has been removed
	listed  map[routing.Host]bool
	changed map[routing.Host]bool // draining, removed, or restarted
}

// overtakes tells whether the event makes it wrong to start something at a host that was chosen before.
func (c endpointChanges) overtakes(host routing.Host) bool {
	return c.changed[host] || c.full && !c.listed[host]
}

// UpdateEndpoints applies an event of the endpoint list. A full list replaces the one known before: endpoints that are
// not in it have been removed.
func (d *Director) UpdateEndpoints(full bool, version uint64, list []Endpoint) {
	d.Counters.EndpointEvents++
	update := routing.EndpointUpdate{Kind: routing.UpdateDelta, Version: version}
	if full {
		update.Kind = routing.UpdateFull
	}
	changes := endpointChanges{full: full, listed: map[routing.Host]bool{}, changed: map[routing.Host]bool{}}
	for i, endpoint := range list {
		d.Counters.EndpointEntries++
		if !full && i < maxLoggedEntries { // the events of a release are of interest, not the list at the start
			d.logEndpoint(endpoint)
		}
		endpoint.Host = hostForName(endpoint.Name)
		update.Endpoints = append(update.Endpoints, endpoint.Endpoint)
		changes.listed[endpoint.Host] = true
		changes.changed[endpoint.Host] = d.updateIncarnation(endpoint)
	}
	d.postDiscoveryEvent(update)
	d.cancelOvertaken(func(attempt *activeAttempt, _ *openRequest) bool {
		return changes.overtakes(attempt.host) || attempt.source != 0 && changes.overtakes(attempt.source)
	})
	d.removeEndpoints(update, changes)
}

// updateIncarnation applies the entry of one endpoint, and tells whether it is draining, removed or restarted.
func (d *Director) updateIncarnation(endpoint Endpoint) (changed bool) {
	known := d.incarnations[endpoint.Host]
	current := incarnation{name: endpoint.Name, startedAt: endpoint.Started}
	changed = endpoint.State != routing.Ready || known != current
	if endpoint.State == routing.Gone {
		delete(d.incarnations, endpoint.Host)
		return changed
	}
	d.incarnations[endpoint.Host] = current
	d.upstream.UpdateEndpoint(endpoint.Host, endpoint.Name, endpoint.Address, endpoint.Started)
	return changed
}

// removeEndpoints removes the endpoints that an event reports as gone, or that a full list lacks. It comes behind the
// router, which may still cancel attempts there.
func (d *Director) removeEndpoints(update routing.EndpointUpdate, changes endpointChanges) {
	for _, endpoint := range update.Endpoints {
		if endpoint.State == routing.Gone {
			d.upstream.RemoveEndpoint(endpoint.Host)
		}
	}
	if !changes.full {
		return
	}
	for host := range d.incarnations {
		if !changes.listed[host] {
			delete(d.incarnations, host)
			d.upstream.RemoveEndpoint(host)
		}
	}
}

func (d *Director) logEndpoint(endpoint Endpoint) {
	d.log.Info("endpoint update", zap.String("endpoint", endpoint.Name), zap.String("address", endpoint.Address),
		zap.Uint8("state", uint8(endpoint.State)))
}

// Purge applies a purge of an object or a group of objects.
func (d *Director) Purge(purge Purge) {
	d.Counters.PurgeEvents++
	age := max(0, d.now()-purge.IssuedAt)
	d.postDiscoveryEvent(routing.Purge{Age: age, Group: purge.Group, Object: purge.ObjectKey})
	d.cancelOvertaken(func(_ *activeAttempt, request *openRequest) bool {
		return request.ObjectKey == purge.ObjectKey || purge.ObjectKey == 0 && request.Group == purge.Group
	})
}

// hostForName returns the router's address of an endpoint: the 64-bit FNV-1a hash of its name, folded to 48 bits. It
// depends on the name alone. So all directors rank the same, a process that restarts under its name stays the same
// server, and a new one at an old address is another.
func hostForName(name string) routing.Host {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	sum := hash.Sum64()
	return routing.Host((sum ^ sum>>48) & (1<<48 - 1))
}
