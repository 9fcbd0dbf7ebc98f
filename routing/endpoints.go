package routing

import (
	"cmp"
	"slices"
	"time"
)

// The endpoint list. A server that the list reports as draining or gone receives no new attempts, neither as
// target nor as source.

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

// updateEndpoint adds or updates the server of one entry of the endpoint list.
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

// resetIncarnation resets the health of a server that has restarted and invalidates its location hints.
func (r *Router) resetIncarnation(server *serverState) {
	server.ejected = false
	server.ejectionBackoff = 0
	server.probing = false
	server.logLatencyRatio = 0
	server.invalidatedAt = r.now
}

// startWarmingUp begins the slow start of a server. All directors learn of the server at the same time, so
// each begins with a random part of one transfer already spent from its own slow-start budget for the server,
// which spreads their first attempts. On every director the transfer counts as at least longestObjective,
// because a director that has just started does not yet know how long a transfer takes.
func (r *Router) startWarmingUp(server *serverState, started Time) {
	server.warmingUpSince = started
	longestTransfer := max(r.largestMeanWork(), r.longestObjective)
	initial := r.rng.Float64() * longestTransfer
	server.slowStartBucket.Spend(initial - server.slowStartBucket.Spent(r.now, 0))
}

// assignTier sets the tier of a server, and the parameters that follow from the tier, the settings and the
// server's entry in the endpoint list.
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

// regroupServers sorts all servers by Host, and removes the servers that are no longer listed and have no
// attempts in flight. It then rebuilds localCaches and upstreams from the servers that are listed as ready.
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

// dropIfGone removes a server that is no longer listed and has no attempts in flight, and reports whether it
// removed the server.
func (r *Router) dropIfGone(server *serverState) bool {
	inFlight := len(server.asTarget.inFlight) + len(server.asSource.inFlight)
	if server.listed || inFlight > 0 {
		return false
	}
	delete(r.servers, server.Host)
	server.siteMember.Remove()
	return true
}

// sameTier returns the ready servers of the tier of a server: the local caches, the parents or the origins.
func (r *Router) sameTier(server *serverState) []*serverState {
	if server.tier == edgeTier {
		return r.localCaches
	}
	return slices.DeleteFunc(slices.Clone(r.upstreams), func(other *serverState) bool {
		return other.tier != server.tier
	})
}

// isUsable reports whether a server is known, ready and not ejected. It returns false for nil.
func (r *Router) isUsable(server *serverState) bool {
	return server != nil && server.takesAttempts() && !server.ejected && r.servers[server.Host] == server
}

// takesAttempts reports whether the endpoint list contains the server as ready.
func (s *serverState) takesAttempts() bool { return s.listed && s.State == Ready }
