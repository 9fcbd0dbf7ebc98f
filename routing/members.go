package routing

import (
	"cmp"
	"slices"
	"time"
)

// What the list of servers tells.

// handleEndpointUpdate follows the list. Draining and gone servers are dropped at once, as targets and as sources.
func (d *Router) handleEndpointUpdate(m EndpointUpdate) {
	if m.Kind == UpdateFailed {
		again := d.settings.Guarantees.PollWithin/8 + time.Duration(d.rng.Int64N(int64(time.Second)))
		d.emit(SetTimer{Token: resubscribeTimer, At: d.now + again})
		return
	}
	if m.Kind != UpdateDelta {
		for _, s := range d.orderedServers {
			s.listed = false
		}
	}
	for _, e := range m.Endpoints {
		d.updateEndpoint(e)
	}
	slices.SortFunc(d.orderedServers, func(a, b *serverState) int { return cmp.Compare(a.Host, b.Host) })
	d.localCaches, d.upstreams = d.localCaches[:0], d.upstreams[:0]
	d.orderedServers = slices.DeleteFunc(d.orderedServers, func(s *serverState) bool {
		switch {
		case !s.listed || s.State != Ready:
			if s.listed || len(s.asTarget.inFlight) > 0 || len(s.asSource.inFlight) > 0 {
				return false
			}
			delete(d.servers, s.Host)
			s.siteMember.Remove()
			return true
		case s.tier != edgeTier:
			d.upstreams = append(d.upstreams, s)
		case s.Zone == d.settings.Zone:
			d.localCaches = append(d.localCaches, s)
		}
		return false
	})
}

// updateEndpoint takes one entry; a new start time voids holdings and health of the old life.
func (d *Router) updateEndpoint(e Endpoint) {
	s := d.servers[e.Host]
	if s == nil {
		if e.State == Gone || e.Zone < 0 || e.Zone >= len(d.settings.Tiers.DirectorsByZone) {
			return
		}
		s = &serverState{}
		d.servers[e.Host] = s
		d.orderedServers = append(d.orderedServers, s)
	} else if e.Started != s.Started && e.State != Gone {
		s.ejected, s.ejectionBackoff, s.probing, s.logLatencyRatio = false, 0, false, 0
		s.invalidatedAt = d.now
	}
	if e.Started != 0 && e.Started != s.Started {
		s.warmingUpSince = e.Started
		owes := max(d.largestMeanWork(), d.longestObjective) // all hear at once; who is new has not seen what a call takes
		s.slowStartBucket.Spend(d.rng.Float64()*owes - s.slowStartBucket.Spent(d.now, 0))
	}
	f, g := &d.settings.Tiers, &d.settings.Guarantees
	s.Endpoint, s.listed, s.sharingDirectors = e, e.State != Gone, float64(max(d.settings.Directors, 1))
	s.slowStartFraction, s.slowStartDuration, s.overloadMultiple = g.SlowStartFraction, g.SlowStartDuration, g.OverloadMultiple
	s.weightIsCapacity = (d.settings.WeightMode == "nominal" || d.settings.WeightMode == "rough") && s.Weight > 0
	switch {
	case e.Kind == f.OriginKind:
		s.tier = originTier
	case e.Kind == f.ParentKind:
		s.tier = parentTier
		s.slowStartFraction, s.slowStartDuration, s.overloadMultiple = f.ParentSlowStartFraction, f.ParentSlowStartDuration, f.ParentOverloadMultiple
	case e.Zone == d.settings.Zone:
		s.sharingDirectors = float64(max(f.DirectorsByZone[e.Zone], 1))
	}
	if s.tier != originTier {
		s.siteMember = d.sites.UpdateMember(d.now, s.siteMember, e.Zone, e.Weight, e.State == Ready, e.Started)
	}
}

// sameTier are the servers of the same part: caches of our location, or parents.
func (d *Router) sameTier(s *serverState) []*serverState {
	if s.tier == edgeTier {
		return d.localCaches
	}
	return slices.DeleteFunc(slices.Clone(d.upstreams), func(o *serverState) bool { return o.tier != s.tier })
}

func (d *Router) isUsable(s *serverState) bool {
	return s != nil && s.listed && s.State == Ready && !s.ejected && d.servers[s.Host] == s
}
