package failover

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// congestionSteps is the number of steps of increasing cost in which a hub takes over fills or a class is rejected.
	// Half of the steps of a takeover make up the hub's share by capacity.
	congestionSteps = 10
	// defaultCongestionCost is the additional cost of each step, as a fraction of the least value of a unit. Two or
	// three steps cost as much as one step along the ring.
	defaultCongestionCost = 0.02
	// homeHubLeaveCost is the cost, as a fraction of the least value of a unit, of fills that go to another hub
	// although the branch's own hub is available.
	homeHubLeaveCost = 0.5

	// slowStartBudgetFraction is the part of a slow-start budget that the router uses. The rest is a margin for random
	// variation of the load.
	slowStartBudgetFraction = 0.5

	// maxLoadSearched is the upper end of the search for the start of rejections, as a multiple of the usual load.
	maxLoadSearched = 16
	loadResolution  = 1e-3 // resolution of that search, as a multiple of the usual load
	minLoad         = 1e-6 // multiple of the usual load that replaces 0, where there are no fills to reject

	rejectedShareThreshold = 0.005 // rejected fraction of a class above which a plan reports the rejection
)

// Planner computes and caches the plans for one topology and the operators' overrides. It is not safe for concurrent
// use.
type Planner struct {
	topology  *Topology
	overrides Overrides
	plans     map[string]*Plan // by the sorted names of the lost sites

	congestionCost float64 // defaultCongestionCost, except in tests without tie-breaking
}

// NewPlanner returns a planner for the topology. The error is an *OverrideError if the overrides don't fit the
// topology, or if the hub of a pin lacks the capacity for the pinned share at the usual load.
func NewPlanner(topology *Topology, overrides Overrides) (*Planner, error) {
	p := &Planner{
		topology:       topology,
		overrides:      overrides,
		plans:          map[string]*Plan{},
		congestionCost: defaultCongestionCost,
	}
	if err := overrides.validate(topology); err != nil {
		return nil, err
	}
	for i, pin := range overrides.Pins {
		available := p.availability([]string{pin.Lost})
		if overload := p.solveFlow(available, 1).pinOverload; overload != nil && overload.pin == i {
			return nil, overrideErrorf(fmt.Sprintf("plan.pin[%d].share", i), "%s", overload.reason)
		}
	}
	return p, nil
}

// Plan returns the plan for a set of lost sites, given in any order. It returns an error for a name that is not a
// site's.
func (p *Planner) Plan(lost ...string) (*Plan, error) {
	lost = slices.Compact(slices.Sorted(slices.Values(lost)))
	for _, name := range lost {
		if p.topology.siteIndex(name) < 0 {
			return nil, fmt.Errorf("lost: %q is no site of the settings", name)
		}
	}
	key := fmt.Sprint(lost)
	if known := p.plans[key]; known != nil {
		return known, nil
	}
	plan := p.buildPlan(lost)
	p.plans[key] = plan
	return plan, nil
}

// AllPlans returns the plans that operators read in advance: with no site lost, with each single site lost, and with
// each pair of sites lost.
func (p *Planner) AllPlans() []*Plan {
	sets := [][]string{nil}
	for i, first := range p.topology.Sites {
		sets = append(sets, []string{first.Name})
		for _, second := range p.topology.Sites[i+1:] {
			sets = append(sets, []string{first.Name, second.Name})
		}
	}
	slices.SortStableFunc(sets, func(a, b []string) int { return len(a) - len(b) })
	plans := make([]*Plan, 0, len(sets))
	for _, lost := range sets {
		plan, err := p.Plan(lost...)
		if err != nil {
			panic(err) // can't happen: the names come from the topology
		}
		plans = append(plans, plan)
	}
	return plans
}

// availability returns, by site index, the fraction of the site's capacity that is available: 0 for the lost sites, 1
// for all others.
func (p *Planner) availability(lost []string) []float64 {
	available := make([]float64, len(p.topology.Sites))
	for i, site := range p.topology.Sites {
		if !slices.Contains(lost, site.Name) {
			available[i] = 1
		}
	}
	return available
}

// rejectionCost returns the cost of rejecting a unit of work of a class; classes of lower cost are rejected first.
// Classes outside of the operators' rejection order come first, by value density, then the classes of that order, in
// its sequence. Non-idempotent classes follow last and are ordered among themselves in the same way.
func (p *Planner) rejectionCost(class int) float64 {
	highest := 0.0
	for _, c := range p.topology.Classes {
		highest = max(highest, c.valueDensity())
	}
	c := p.topology.Classes[class]
	cost := c.valueDensity()
	if i := slices.Index(p.overrides.RejectionOrder, c.Name); i >= 0 {
		cost = highest * float64(2+i)
	}
	if c.NonIdempotent {
		cost += highest * float64(3+len(p.overrides.RejectionOrder))
	}
	return cost
}

// routeCost returns the cost of a unit that a branch fetches from a hub: the transit cost along the ring from the
// branch's own hub, plus homeHubLeaveCost if its own hub is available. The cost is 0 for the branch's own hub, and for
// a branch that has none.
func (p *Planner) routeCost(branch, hub int, available []float64) float64 {
	home := p.topology.Sites[branch].HomeHub
	if home < 0 || home == hub {
		return 0
	}
	leaveCost := 0.0
	if available[home] > 0 && p.topology.Sites[home].Capacity > 0 {
		leaveCost = homeHubLeaveCost
	}
	distance := float64(p.topology.ringDistance(home, hub))
	return p.minValueDensity()*leaveCost + p.meanValueDensity()*p.topology.TransitCost*distance
}

// isForbidden reports whether an override forbids a hub to take over fills while the unavailable sites are lost.
// Callers exempt the fills of branches that are attached to the hub.
func (p *Planner) isForbidden(hub int, available []float64) bool {
	return slices.ContainsFunc(p.overrides.Forbids, func(f Forbid) bool {
		return f.To == p.topology.Sites[hub].Name && available[p.topology.siteIndex(f.Lost)] == 0
	})
}

// minValueDensity returns the lowest value density of all classes. Costs that only determine which hub serves a fill
// must stay below it; otherwise rejecting the fill would be cheaper.
func (p *Planner) minValueDensity() float64 {
	least := math.Inf(1)
	for _, class := range p.topology.Classes {
		least = min(least, class.valueDensity())
	}
	return least
}

// meanValueDensity returns the mean value density of the classes, weighted by their load shares.
func (p *Planner) meanValueDensity() float64 {
	sum := 0.0
	for _, class := range p.topology.Classes {
		sum += class.LoadShare * class.valueDensity()
	}
	return sum
}

// valueServed returns the fraction of the value of all requests that is served, from 0 to 1.
func (p *Planner) valueServed(result *flowResult) float64 {
	served, all := 0.0, 0.0
	for branch, site := range p.topology.Sites {
		if site.Hub {
			continue
		}
		for class, c := range p.topology.Classes {
			value := p.topology.classDemand(branch, class) * c.valueDensity()
			all += value
			served += value * result.servedShare[branch][class]
		}
	}
	if all == 0 {
		return 0
	}
	return served / all
}

// rejectionStart returns the load at which rejections begin, as a multiple of the usual load, found by bisection to
// within loadResolution. It returns 0 if there are rejections at any load, and 0 and true if there are none at
// maxLoadSearched.
func (p *Planner) rejectionStart(available []float64) (load float64, never bool) {
	low, high := 0.0, float64(maxLoadSearched)
	if !p.solveFlow(available, high).rejects {
		return 0, true
	}
	if p.solveFlow(available, minLoad).rejects {
		return 0, false
	}
	for high-low > loadResolution {
		middle := (low + high) / 2
		if p.solveFlow(available, middle).rejects {
			high = middle
		} else {
			low = middle
		}
	}
	return low, false
}

// classRejections returns, for each class that is rejected at one of the tried loads, the lowest such load and the
// branches that reject the class at that load. The list is ordered by load.
func (p *Planner) classRejections(available []float64) []ClassRejection {
	const (
		stepsPerLoad = 20 // loads tried per multiple of the usual load
		maxLoad      = 4  // highest load tried, as a multiple of the usual load
	)
	var list []ClassRejection
	for class, c := range p.topology.Classes {
		for step := 0; step <= maxLoad*stepsPerLoad; step++ {
			load := float64(step) / stepsPerLoad
			if branches := p.rejectingBranches(available, class, load); len(branches) > 0 {
				list = append(list, ClassRejection{Class: c.Name, FromLoad: load, Branches: branches})
				break
			}
		}
	}
	slices.SortStableFunc(list, func(a, b ClassRejection) int { return cmp.Compare(a.FromLoad, b.FromLoad) })
	return list
}

// rejectingBranches returns the names of the branches that reject more than rejectedShareThreshold of a class at a
// load, given as a multiple of the usual load.
func (p *Planner) rejectingBranches(available []float64, class int, load float64) []string {
	var names []string
	result := p.solveFlow(available, max(load, minLoad))
	for branch, site := range p.topology.Sites {
		if !site.Hub && p.topology.demand(branch) > 0 && result.servedShare[branch][class] < 1-rejectedShareThreshold {
			names = append(names, site.Name)
		}
	}
	return names
}

// recoveryTime returns the time from the start of a site with empty caches until it takes its usual load again: until
// the part of the slow-start budget that directors use is as large as that load.
func (p *Planner) recoveryTime(site Site) time.Duration {
	topology := p.topology
	start, multiple := topology.CacheSlowStartFraction, topology.CacheOverloadMultiple
	duration := topology.CacheSlowStartDuration
	load := topology.UsualLoad
	if site.Hub {
		start, multiple = topology.ParentSlowStartFraction, topology.ParentOverloadMultiple
		duration = topology.ParentSlowStartDuration
		load = p.hubLoad(site)
	}
	if multiple <= 0 || duration <= 0 {
		return 0
	}
	// needed is the fraction of full capacity at which the budget covers the load.
	needed := min(1, load/(slowStartBudgetFraction*multiple))
	if needed <= start {
		return 0
	}
	return time.Duration(float64(duration) * (needed - start) / max(1-start, epsilon))
}

// hubLoad returns the fills that a hub serves at the usual load with no site lost, as a fraction of the hub's capacity.
func (p *Planner) hubLoad(hub Site) float64 {
	if hub.Capacity <= 0 {
		return 0
	}
	return p.solveFlow(p.availability(nil), 1).hubInflow(p.topology.siteIndex(hub.Name)) / hub.Capacity
}
