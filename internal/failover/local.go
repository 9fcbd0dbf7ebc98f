package failover

import (
	"slices"

	"shaleyard/internal/sitehealth"
	"shaleyard/routing"
)

// placeholderCapacity is the capacity, in transfers, that NewLocalPlanner assumes for each site to validate the
// overrides before any capacity is known. No plan is computed with it.
const placeholderCapacity = 1e6

// LocalPlanner computes the failover shares of one director's branch, for its sitehealth.Monitor. It keeps a Planner
// for the current capacities of the sites and replaces it when they change. It is not safe for concurrent use.
type LocalPlanner struct {
	settings    *routing.Settings
	overrides   Overrides
	reportError func(error)

	capacities []float64 // by zone: the capacities that planner was made for
	planner    *Planner
	err        error // why no planner could be made for capacities; nil: planner is valid
}

// NewLocalPlanner returns a planner for the director's settings. It validates the overrides as far as that is possible
// before the capacities of the sites are known; the error is an *OverrideError if an override is invalid.
//
// Whether pins fit the capacities is known later, at a call of Shares. If no planner can be made for the capacities,
// for this or any other reason, reportError (if not nil) is called once for each change of the capacities, and Shares
// returns no shares. As without a plan, the remaining hubs then share the load of lost hubs evenly, and all fills are
// made.
func NewLocalPlanner(settings *routing.Settings, overrides Overrides, reportError func(error)) (*LocalPlanner, error) {
	l := &LocalPlanner{settings: settings, overrides: overrides, reportError: reportError}
	placeholders := make([]float64, len(settings.Zones))
	for zone := range placeholders {
		placeholders[zone] = placeholderCapacity
	}
	topology, err := NewTopology(settings, l.zoneEndpoints(placeholders), overrides)
	if err != nil {
		return nil, err
	}
	_, err = NewPlanner(topology, overrides)
	return l, err
}

// zoneEndpoints returns one endpoint for each zone, which stands for all servers of the zone and has their total
// capacity. The endpoint is a cache if the zone has directors, and otherwise a parent, which makes the zone a hub.
func (l *LocalPlanner) zoneEndpoints(capacities []float64) []routing.Endpoint {
	tiers := &l.settings.Tiers
	cacheKind := 0 // lowest Endpoint.Kind that is neither the parents' nor the origin's
	for cacheKind == tiers.OriginKind || cacheKind == tiers.ParentKind {
		cacheKind++
	}
	endpoints := make([]routing.Endpoint, 0, len(capacities))
	for zone, capacity := range capacities {
		kind := tiers.ParentKind
		if zone < len(tiers.DirectorsByZone) && tiers.DirectorsByZone[zone] > 0 {
			kind = cacheKind
		}
		endpoints = append(endpoints, routing.Endpoint{Zone: zone, Kind: kind, State: routing.Ready, Weight: capacity})
	}
	return endpoints
}

// Shares returns the failover shares of the director's own branch while the given zones are lost. It serves as a
// sitehealth.PlanFunc. HubShares holds, by zone, the fraction of the branch's fills that goes to each hub. FillShares
// holds, by class, the fraction of the fills that the plan doesn't reject; it is set only if Overrides.LimitFills is.
// If the capacities differ from those of the last call, Shares first replaces the planner. The shares are empty if no
// planner can be made for the capacities, or if the director's zone is a hub or unknown.
func (l *LocalPlanner) Shares(lostZones []int, capacities []float64) sitehealth.FailoverShares {
	if !slices.Equal(capacities, l.capacities) {
		l.replan(capacities)
	}
	ownZone := l.settings.Zone
	if l.err != nil || ownZone >= len(l.settings.Zones) {
		return sitehealth.FailoverShares{}
	}
	if l.planner.topology.Sites[ownZone].Hub { // the index of a site is its zone
		return sitehealth.FailoverShares{}
	}
	var lost []string
	for _, zone := range lostZones {
		lost = append(lost, l.settings.Zones[zone])
	}
	// This solves the flow at the usual load only. A whole Plan would need hundreds of solutions, for other loads.
	available := l.planner.availability(lost)
	result := l.planner.solveFlow(available, 1)
	shares := sitehealth.FailoverShares{HubShares: hubShares(result.fillFlow[ownZone])}
	if l.overrides.LimitFills {
		shares.FillShares = l.fillShares(available, result)
	}
	return shares
}

// replan sets planner for new capacities. If that fails, it sets err and reports the error.
func (l *LocalPlanner) replan(capacities []float64) {
	l.capacities = slices.Clone(capacities)
	topology, err := NewTopology(l.settings, l.zoneEndpoints(capacities), l.overrides)
	if err == nil {
		l.planner, err = NewPlanner(topology, l.overrides)
	}
	l.err = err
	if err != nil && l.reportError != nil {
		l.reportError(err)
	}
}

// hubShares returns, by zone, the fraction of a branch's fills that go to each hub. All are 0 if the branch has no
// fills.
func hubShares(fillFlow []float64) []float64 {
	sum := 0.0
	for _, flow := range fillFlow {
		sum += flow
	}
	shares := make([]float64, len(fillFlow))
	for zone, flow := range fillFlow {
		shares[zone] = flow / max(sum, epsilon)
	}
	return shares
}

// fillShares returns, by class, the fraction of the fills of the director's own branch that the plan doesn't reject.
func (l *LocalPlanner) fillShares(available []float64, result *flowResult) []float64 {
	topology, branch := l.planner.topology, l.settings.Zone
	shares := make([]float64, 0, len(topology.Classes))
	for class := range topology.Classes {
		share := 1.0
		fills := topology.fillDemand(branch, class, available[branch] == 0)
		if fills > epsilon {
			rejected := 1 - result.servedShare[branch][class]
			share = max(0, min(1, 1-rejected*topology.classDemand(branch, class)/fills))
		}
		shares = append(shares, share)
	}
	return shares
}
