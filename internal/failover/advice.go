package failover

import (
	"slices"

	"shaleyard/internal/sitehealth"
	"shaleyard/routing"
)

// LocalPlanner turns plans into what a director's view of the sites asks for. It makes a planner for what the sites carry,
// and a new one when that has changed.
type LocalPlanner struct {
	s       *routing.Settings
	w       Overrides
	carries []float64
	planner *Planner
	err     error
	refused func(error)
}

// NewLocalPlanner checks what can be checked of the wishes before any server is known: an error names the key. What a site
// carries is known later; a pin that can't hold then is told to refused, once for each such state of the fleet, and
// there is no advice: the director goes on as without a plan.
func NewLocalPlanner(s *routing.Settings, w Overrides, refused func(error)) (*LocalPlanner, error) {
	a := &LocalPlanner{s: s, w: w, refused: refused}
	enough := make([]float64, len(s.Zones))
	for i := range enough {
		enough[i] = 1e6
	}
	t, err := NewTopology(s, a.members(enough), w)
	if err != nil {
		return nil, err
	}
	_, err = NewPlanner(t, w)
	return a, err
}

// members stand for all servers of each zone.
func (a *LocalPlanner) members(carries []float64) (list []routing.Endpoint) {
	f := &a.s.Tiers
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
	if !slices.Equal(carries, a.carries) {
		a.carries = slices.Clone(carries)
		t, err := NewTopology(a.s, a.members(carries), a.w)
		if err == nil {
			a.planner, err = NewPlanner(t, a.w)
		}
		if a.err = err; err != nil && a.refused != nil {
			a.refused(err)
		}
	}
	if a.err != nil || a.s.Zone >= len(a.s.Zones) {
		return advice
	}
	var names []string
	for _, z := range lost {
		names = append(names, a.s.Zones[z])
	}
	t, own := a.planner.t, a.s.Zone // sites are in the order of the zones
	if t.Sites[own].Hub {
		return advice
	}
	// The flow at the usual load alone: what else a printed plan tells costs hundreds of them.
	alive := a.planner.alive(names)
	f := a.planner.flow(alive, 1)
	sum := 0.0
	for _, v := range f.fills[own] {
		sum += v
	}
	advice.HubShares = make([]float64, len(carries))
	for z := range advice.HubShares {
		advice.HubShares[z] = f.fills[own][z] / max(sum, whole)
	}
	if a.w.LimitFills {
		for c, k := range t.Classes {
			part := 1.0
			if fills, asked := t.fills(own, c, alive[own] == 0), t.asked(own)*k.LoadShare; fills > whole {
				part = max(0, min(1, 1-(1-f.served[own][c])*asked/fills))
			}
			advice.FillShares = append(advice.FillShares, part)
		}
	}
	return advice
}
