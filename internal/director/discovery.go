package director

import (
	"hash/fnv"

	"go.uber.org/zap"

	"shaleyard/routing"
)

// maxLoggedEntries is the maximum number of endpoints that are logged for one update of the endpoint list.
const maxLoggedEntries = 8

// incarnation identifies the process that runs under an endpoint's name. A process that is started later under the same
// name is another incarnation.
type incarnation struct {
	name      string
	startedAt routing.Time
}

// endpointChanges holds the endpoints that an update of the endpoint list contains or changes.
type endpointChanges struct {
	full    bool                  // the update is a full list: an endpoint that it does not contain has been removed
	listed  map[routing.Host]bool // contained in the update
	changed map[routing.Host]bool // draining, removed, restarted or new
}

// affects reports whether the update invalidates an earlier decision to send an attempt to the host or to fill from the
// host.
func (c endpointChanges) affects(host routing.Host) bool {
	return c.changed[host] || c.full && !c.listed[host]
}

// UpdateEndpoints applies an update of the endpoint list. A full list replaces the previous list: endpoints that the
// full list does not contain are removed.
func (d *Director) UpdateEndpoints(full bool, version uint64, list []Endpoint) {
	d.Counters.EndpointEvents++
	update := routing.EndpointUpdate{Kind: routing.UpdateDelta, Version: version}
	if full {
		update.Kind = routing.UpdateFull
	}
	changes := endpointChanges{full: full, listed: map[routing.Host]bool{}, changed: map[routing.Host]bool{}}
	for i, endpoint := range list {
		d.Counters.EndpointEntries++
		if !full && i < maxLoggedEntries { // incremental updates show a rollout; full lists aren't logged
			d.logEndpoint(endpoint)
		}
		endpoint.Host = hostForName(endpoint.Name)
		update.Endpoints = append(update.Endpoints, endpoint.Endpoint)
		changes.listed[endpoint.Host] = true
		changes.changed[endpoint.Host] = d.updateIncarnation(endpoint)
	}
	d.postDiscoveryEvent(update)
	d.cancelAffected(func(attempt *activeAttempt, _ *openRequest) bool {
		return changes.affects(attempt.host) || attempt.source != 0 && changes.affects(attempt.source)
	})
	d.removeEndpoints(update, changes)
}

// updateIncarnation applies one entry of an update. It reports whether the endpoint is draining, removed, restarted or
// new.
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

// removeEndpoints removes the endpoints that an update reports as gone, and those that a full list does not contain. It
// is called after the router has handled the update, because the router may still cancel attempts at these endpoints.
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
	d.cancelAffected(func(_ *activeAttempt, request *openRequest) bool {
		return request.ObjectKey == purge.ObjectKey || purge.ObjectKey == 0 && request.Group == purge.Group
	})
}

// hostForName returns the identifier of an endpoint in the router: the 64-bit FNV-1a hash of the endpoint's name,
// folded to 48 bits. The identifier depends on the name alone. All directors therefore rank servers in the same way, a
// process that restarts under the same name remains the same server, and a process with a new name at a known address
// is another server.
func hostForName(name string) routing.Host {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	sum := hash.Sum64()
	return routing.Host((sum ^ sum>>48) & (1<<48 - 1))
}
