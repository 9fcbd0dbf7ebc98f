package routing

import (
	"cmp"
	"slices"
	"time"
)

// What the list of servers tells.

// handleEndpointUpdate follows the list. Draining and gone servers are dropped at once, as targets and as sources.
func (r *Router) handleEndpointUpdate(update EndpointUpdate) {
	if update.Kind == UpdateFailed {
		again := r.settings.Guarantees.PollWithin/8 + time.Duration(r.rng.Int64N(int64(time.Second)))
		r.emit(SetTimer{Token: resubscribeTimer, At: r.now + again})
		return
	}
	if update.Kind != UpdateDelta {
		for _, server := range r.orderedServers {
			server.listed = false
		}
	}
	for _, endpoint := range update.Endpoints {
		r.updateEndpoint(endpoint)
	}
	slices.SortFunc(r.orderedServers, func(a, b *serverState) int { return cmp.Compare(a.Host, b.Host) })
	r.localCaches, r.upstreams = r.localCaches[:0], r.upstreams[:0]
	r.orderedServers = slices.DeleteFunc(r.orderedServers, func(server *serverState) bool {
		switch {
		case !server.listed || server.State != Ready:
			if server.listed || len(server.asTarget.inFlight) > 0 || len(server.asSource.inFlight) > 0 {
				return false
			}
			delete(r.servers, server.Host)
			server.siteMember.Remove()
			return true
		case server.tier != edgeTier:
			r.upstreams = append(r.upstreams, server)
		case server.Zone == r.settings.Zone:
			r.localCaches = append(r.localCaches, server)
		}
		return false
	})
}

// updateEndpoint takes one entry; a new start time voids holdings and health of the old life.
func (r *Router) updateEndpoint(endpoint Endpoint) {
	server := r.servers[endpoint.Host]
	if server == nil {
		if endpoint.State == Gone || endpoint.Zone < 0 || endpoint.Zone >= len(r.settings.Tiers.DirectorsByZone) {
			return
		}
		server = &serverState{}
		r.servers[endpoint.Host] = server
		r.orderedServers = append(r.orderedServers, server)
	} else if endpoint.Started != server.Started && endpoint.State != Gone {
		server.ejected, server.ejectionBackoff, server.probing, server.logLatencyRatio = false, 0, false, 0
		server.invalidatedAt = r.now
	}
	if endpoint.Started != 0 && endpoint.Started != server.Started {
		server.warmingUpSince = endpoint.Started
		initialCharge := max(r.largestMeanWork(), r.longestObjective) // all hear at once; who is new has not seen what a call takes
		server.slowStartBucket.Spend(r.rng.Float64()*initialCharge - server.slowStartBucket.Spent(r.now, 0))
	}
	tiers, guarantees := &r.settings.Tiers, &r.settings.Guarantees
	server.Endpoint, server.listed, server.sharingDirectors = endpoint, endpoint.State != Gone, float64(max(r.settings.Directors, 1))
	server.slowStartFraction, server.slowStartDuration, server.overloadMultiple = guarantees.SlowStartFraction, guarantees.SlowStartDuration, guarantees.OverloadMultiple
	server.weightIsCapacity = (r.settings.WeightMode == "nominal" || r.settings.WeightMode == "rough") && server.Weight > 0
	switch {
	case endpoint.Kind == tiers.OriginKind:
		server.tier = originTier
	case endpoint.Kind == tiers.ParentKind:
		server.tier = parentTier
		server.slowStartFraction, server.slowStartDuration, server.overloadMultiple = tiers.ParentSlowStartFraction, tiers.ParentSlowStartDuration, tiers.ParentOverloadMultiple
	case endpoint.Zone == r.settings.Zone:
		server.sharingDirectors = float64(max(tiers.DirectorsByZone[endpoint.Zone], 1))
	}
	if server.tier != originTier {
		server.siteMember = r.sites.UpdateMember(r.now, server.siteMember, endpoint.Zone, endpoint.Weight, endpoint.State == Ready, endpoint.Started)
	}
}

// sameTier are the servers of the same part: caches of our location, or parents.
func (r *Router) sameTier(server *serverState) []*serverState {
	if server.tier == edgeTier {
		return r.localCaches
	}
	return slices.DeleteFunc(slices.Clone(r.upstreams), func(other *serverState) bool { return other.tier != server.tier })
}

func (r *Router) isUsable(server *serverState) bool {
	return server != nil && server.listed && server.State == Ready && !server.ejected && r.servers[server.Host] == server
}
