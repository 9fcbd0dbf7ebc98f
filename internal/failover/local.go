package failover

import (
	"slices"

	"shaleyard/internal/sitehealth"
	"shaleyard/routing"
)

// plentyCapacity is that of sites whose servers are not known yet, in transfers.
const plentyCapacity = 1e6

// LocalPlanner turns plans into the shares that one director's health monitor asks for. It makes a planner for the
// capacities of the sites, and a new one when those have changed. It is not safe for concurrent use.
type LocalPlanner struct {
	settings    *routing.Settings
	overrides   Overrides
	reportError func(error)

	capacities []float64 // by zone: those that planner is for
	planner    *Planner
	err        error // why there is no planner for them
}

// NewLocalPlanner checks what can be checked of the overrides before any server is known; the error is an
// *OverrideError. The capacities of sites are known later. A pin that can't hold then is reported to reportError, once
// for each such state of the fleet, and there are no shares: the director goes on as without a plan.
func NewLocalPlanner(settings *routing.Settings, overrides Overrides, reportError func(error)) (*LocalPlanner, error) {
	l := &LocalPlanner{settings: settings, overrides: overrides, reportError: reportError}
	plenty := make([]float64, len(settings.Zones))
	for zone := range plenty {
		plenty[zone] = plentyCapacity
	}
	topology, err := NewTopology(settings, l.representatives(plenty), overrides)
	if err != nil {
		return nil, err
	}
	_, err = NewPlanner(topology, overrides)
	return l, err
}

// representatives are endpoints that each stand for all servers of a zone.
func (l *LocalPlanner) representatives(capacities []float64) []routing.Endpoint {
	tiers := &l.settings.Tiers
	cacheKind := 0 // the first kind that is neither a parent nor the origin
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

// Shares is a sitehealth.PlanFunc.
func (l *LocalPlanner) Shares(lostZones []int, capacities []float64) sitehealth.FailoverShares {
	if !slices.Equal(capacities, l.capacities) {
		l.replan(capacities)
	}
	ownZone := l.settings.Zone
	if l.err != nil || ownZone >= len(l.settings.Zones) {
		return sitehealth.FailoverShares{}
	}
	if l.planner.topology.Sites[ownZone].Hub { // sites are in the order of the zones
		return sitehealth.FailoverShares{}
	}
	var lost []string
	for _, zone := range lostZones {
		lost = append(lost, l.settings.Zones[zone])
	}
	// The flow at the usual load alone: what else a printed plan tells takes hundreds of them.
	available := l.planner.availability(lost)
	result := l.planner.solveFlow(available, 1)
	shares := sitehealth.FailoverShares{HubShares: hubShares(result.fillFlow[ownZone])}
	if l.overrides.LimitFills {
		shares.FillShares = l.fillShares(available, result)
	}
	return shares
}

// replan makes a planner for new capacities, or keeps the error.
func (l *LocalPlanner) replan(capacities []float64) {
	l.capacities = slices.Clone(capacities)
	topology, err := NewTopology(l.settings, l.representatives(capacities), l.overrides)
	if err == nil {
		l.planner, err = NewPlanner(topology, l.overrides)
	}
	l.err = err
	if err != nil && l.reportError != nil {
		l.reportError(err)
	}
}

// hubShares are the shares of a branch's fills by hub. Without any fills they are all 0.
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

// fillShares are the shares of our branch's fills that the plan makes, by class.
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
