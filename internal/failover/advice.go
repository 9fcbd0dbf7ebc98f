package failover

import (
	"slices"

	"shaleyard/internal/sitehealth"
	"shaleyard/routing"
)

// LocalPlanner turns plans into what a director's view of the sites asks for. It makes a planner for what the sites carry,
// and a new one when that has changed.
type LocalPlanner struct {
	settings    *routing.Settings
	overrides   Overrides
	capacities  []float64
	planner     *Planner
	err         error
	reportError func(error)
}

// NewLocalPlanner checks what can be checked of the wishes before any server is known: an error names the key. What a site
// carries is known later; a pin that can't hold then is told to refused, once for each such state of the fleet, and
// there is no advice: the director goes on as without a plan.
func NewLocalPlanner(s *routing.Settings, w Overrides, refused func(error)) (*LocalPlanner, error) {
	a := &LocalPlanner{settings: s, overrides: w, reportError: refused}
	enough := make([]float64, len(s.Zones))
	for i := range enough {
		enough[i] = 1e6
	}
	t, err := NewTopology(s, a.representatives(enough), w)
	if err != nil {
		return nil, err
	}
	_, err = NewPlanner(t, w)
	return a, err
}

// representatives stand for all servers of each zone.
func (a *LocalPlanner) representatives(carries []float64) (list []routing.Endpoint) {
	f := &a.settings.Tiers
	cache := 0 // the first kind that is neither a parent nor the origin
	for cache == f.OriginKind || cache == f.ParentKind {
		cache++
	}
	for z, c := range carries {
		kind := f.ParentKind
		if z < len(f.DirectorsByZone) && f.DirectorsByZone[z] > 0 {
			kind = cache
		}
		list = append(list, routing.Endpoint{Zone: z, Kind: kind, State: routing.Ready, Weight: c})
	}
	return list
}

// Shares is a siteview.Plan.
func (a *LocalPlanner) Shares(lost []int, carries []float64) (advice sitehealth.FailoverShares) {
	if !slices.Equal(carries, a.capacities) {
		a.capacities = slices.Clone(carries)
		t, err := NewTopology(a.settings, a.representatives(carries), a.overrides)
		if err == nil {
			a.planner, err = NewPlanner(t, a.overrides)
		}
		if a.err = err; err != nil && a.reportError != nil {
			a.reportError(err)
		}
	}
	if a.err != nil || a.settings.Zone >= len(a.settings.Zones) {
		return advice
	}
	var names []string
	for _, z := range lost {
		names = append(names, a.settings.Zones[z])
	}
	t, own := a.planner.topology, a.settings.Zone // sites are in the order of the zones
	if t.Sites[own].Hub {
		return advice
	}
	// The flow at the usual load alone: what else a printed plan tells costs hundreds of them.
	alive := a.planner.availability(names)
	f := a.planner.solveFlow(alive, 1)
	sum := 0.0
	for _, v := range f.fillFlow[own] {
		sum += v
	}
	advice.HubShares = make([]float64, len(carries))
	for z := range advice.HubShares {
		advice.HubShares[z] = f.fillFlow[own][z] / max(sum, epsilon)
	}
	if a.overrides.LimitFills {
		for c, k := range t.Classes {
			part := 1.0
			if fills, asked := t.fillDemand(own, c, alive[own] == 0), t.demand(own)*k.LoadShare; fills > epsilon {
				part = max(0, min(1, 1-(1-f.servedShare[own][c])*asked/fills))
			}
			advice.FillShares = append(advice.FillShares, part)
		}
	}
	return advice
}
