package routing

import (
	"cmp"
	"slices"
	"time"
)

// The endpoint list. Draining and gone servers are dropped at once, as targets and as sources.

func (r *Router) handleEndpointUpdate(update EndpointUpdate) {
	if update.Kind == UpdateFailed {
		r.resubscribeLater()
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
	r.regroupServers()
}

func (r *Router) resubscribeLater() {
	jitter := time.Duration(r.rng.Int64N(int64(time.Second)))
	delay := r.settings.Guarantees.PollWithin/8 + jitter
	r.emit(SetTimer{Token: resubscribeTimer, At: r.now + delay})
}

// updateEndpoint takes one entry of the list.
func (r *Router) updateEndpoint(endpoint Endpoint) {
	server := r.servers[endpoint.Host]
	switch {
	case server == nil:
		isKnownZone := endpoint.Zone >= 0 && endpoint.Zone < len(r.settings.Tiers.DirectorsByZone)
		if endpoint.State == Gone || !isKnownZone {
			return
		}
		server = &serverState{}
		r.servers[endpoint.Host] = server
		r.orderedServers = append(r.orderedServers, server)
	case endpoint.Started != server.Started && endpoint.State != Gone:
		r.resetIncarnation(server)
	}
	if endpoint.Started != 0 && endpoint.Started != server.Started {
		r.startWarmingUp(server, endpoint.Started)
	}
	server.Endpoint = endpoint
	server.listed = endpoint.State != Gone
	r.assignTier(server)
	if server.tier != originTier {
		server.siteMember = r.sites.UpdateMember(r.now, server.siteMember, endpoint.Zone, endpoint.Weight,
			endpoint.State == Ready, endpoint.Started)
	}
}

// resetIncarnation forgets the health and the holdings of a server that has started anew.
func (r *Router) resetIncarnation(server *serverState) {
	server.ejected = false
	server.ejectionBackoff = 0
	server.probing = false
	server.logLatencyRatio = 0
	server.invalidatedAt = r.now
}

// startWarmingUp begins the slow start of a server. All directors hear of it at once, and a director that has
// just started does not know yet how long a transfer takes; so each begins with a random part of one transfer
// already spent.
func (r *Router) startWarmingUp(server *serverState, started Time) {
	server.warmingUpSince = started
	longestTransfer := max(r.largestMeanWork(), r.longestObjective)
	initial := r.rng.Float64() * longestTransfer
	server.slowStartBucket.Spend(initial - server.slowStartBucket.Spent(r.now, 0))
}

// assignTier sets what follows from a server's entry and the settings.
func (r *Router) assignTier(server *serverState) {
	tiers, guarantees := &r.settings.Tiers, &r.settings.Guarantees
	mode := r.settings.WeightMode
	server.weightIsCapacity = (mode == WeightModeNominal || mode == WeightModeRough) && server.Weight > 0
	server.sharingDirectors = float64(max(r.settings.Directors, 1))
	server.slowStartFraction = guarantees.SlowStartFraction
	server.slowStartDuration = guarantees.SlowStartDuration
	server.overloadMultiple = guarantees.OverloadMultiple
	switch {
	case server.Kind == tiers.OriginKind:
		server.tier = originTier
	case server.Kind == tiers.ParentKind:
		server.tier = parentTier
		server.slowStartFraction = tiers.ParentSlowStartFraction
		server.slowStartDuration = tiers.ParentSlowStartDuration
		server.overloadMultiple = tiers.ParentOverloadMultiple
	case server.Zone == r.settings.Zone:
		server.sharingDirectors = float64(max(tiers.DirectorsByZone[server.Zone], 1))
	}
}

// regroupServers sorts all servers by address, drops those that are gone, and groups those that are ready by
// tier.
func (r *Router) regroupServers() {
	slices.SortFunc(r.orderedServers, func(a, b *serverState) int { return cmp.Compare(a.Host, b.Host) })
	r.orderedServers = slices.DeleteFunc(r.orderedServers, r.dropIfGone)
	r.localCaches = r.localCaches[:0]
	r.upstreams = r.upstreams[:0]
	for _, server := range r.orderedServers {
		switch {
		case !server.takesAttempts():
		case server.tier != edgeTier:
			r.upstreams = append(r.upstreams, server)
		case server.Zone == r.settings.Zone:
			r.localCaches = append(r.localCaches, server)
		}
	}
}

// dropIfGone forgets a server that is not listed any more, once nothing is in flight to it, and tells whether
// it did.
func (r *Router) dropIfGone(server *serverState) bool {
	inFlight := len(server.asTarget.inFlight) + len(server.asSource.inFlight)
	if server.listed || inFlight > 0 {
		return false
	}
	delete(r.servers, server.Host)
	server.siteMember.Remove()
	return true
}

// sameTier returns the ready servers of a server's tier: the local caches, or the parents.
func (r *Router) sameTier(server *serverState) []*serverState {
	if server.tier == edgeTier {
		return r.localCaches
	}
	return slices.DeleteFunc(slices.Clone(r.upstreams), func(other *serverState) bool {
		return other.tier != server.tier
	})
}

// isUsable tells that a server is ready and not ejected; nil is not.
func (r *Router) isUsable(server *serverState) bool {
	return server != nil && server.takesAttempts() && !server.ejected && r.servers[server.Host] == server
}

// takesAttempts tells that a server is listed as ready.
func (s *serverState) takesAttempts() bool { return s.listed && s.State == Ready }
