package failover

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	congestionSteps       = 10   // in which a hub's takeover is priced, half of them for its share by capacity
	defaultCongestionCost = 0.02 // of a unit's value, for each step: two or three are worth a step round the ring
	homeHubLeaveCost      = 0.5  // of a unit's value, for fills that leave a hub that is there

	coldBudgetUse   = 0.5 // share of a slow-start budget that is used: the router's own margin for chance
	maxLoadSearched = 16  // multiple of the usual load up to which the begin of rejections is looked for
	loadResolution  = 1e-3
	minLoad         = 1e-6 // stands for no load at all, which would divide by zero

	noticeableShare = 0.005 // of a class, that counts as rejected
)

// Planner makes plans for one topology and the operators' overrides. It keeps the plans that it has made, and is not
// safe for concurrent use.
type Planner struct {
	topology  *Topology
	overrides Overrides
	plans     map[string]*Plan // by lost sites

	congestionCost float64 // of what a hub takes over, for each step of its share that it has already
}

// NewPlanner checks the overrides against the topology. The error is an *OverrideError.
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

// Plan is the plan for a set of lost sites. A name that is no site's is an error.
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

// AllPlans are the plans that operators read in advance: with nothing lost, with each site, and with each pair of
// sites.
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
			panic(err) // the names are the topology's own
		}
		plans = append(plans, plan)
	}
	return plans
}

// availability is the share of each site's capacity that is left while some are lost: 0 or 1.
func (p *Planner) availability(lost []string) []float64 {
	available := make([]float64, len(p.topology.Sites))
	for i, site := range p.topology.Sites {
		if !slices.Contains(lost, site.Name) {
			available[i] = 1
		}
	}
	return available
}

// rejectionCost is what it costs to reject a unit of work of a class. Non-idempotent requests are rejected last, and
// the operators' order goes before priority weights; within each, the weights still count.
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

// routeCost is what a unit costs that a branch fetches from a hub: the way round the ring, and leaving its own hub.
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

// isForbidden reports whether a hub may take nothing over while these sites are lost. What is its own it goes on
// serving.
func (p *Planner) isForbidden(hub int, available []float64) bool {
	return slices.ContainsFunc(p.overrides.Forbids, func(f Forbid) bool {
		return f.To == p.topology.Sites[hub].Name && available[p.topology.siteIndex(f.Lost)] == 0
	})
}

// minValueDensity is that of the class of least value: costs that only settle where fills go must stay below it, or it
// would be cheaper to reject them.
func (p *Planner) minValueDensity() float64 {
	least := math.Inf(1)
	for _, class := range p.topology.Classes {
		least = min(least, class.valueDensity())
	}
	return least
}

// meanValueDensity is that of a mean second of sending.
func (p *Planner) meanValueDensity() float64 {
	sum := 0.0
	for _, class := range p.topology.Classes {
		sum += class.LoadShare * class.valueDensity()
	}
	return sum
}

// valueServed is the share of all value that is served.
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

// rejectionStart finds by bisection the load at which rejections begin, as a multiple of the usual one. never is set
// where no load up to maxLoadSearched brings any.
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

// classRejections finds for each class the load from which on some of it is rejected, and the branches that do so.
func (p *Planner) classRejections(available []float64) []ClassRejection {
	const (
		stepsPerLoad = 20
		maxLoad      = 4 // times the usual one
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

// rejectingBranches are the names of the branches that reject some of a class at a load.
func (p *Planner) rejectingBranches(available []float64, class int, load float64) []string {
	var names []string
	result := p.solveFlow(available, max(load, minLoad))
	for branch, site := range p.topology.Sites {
		if !site.Hub && p.topology.demand(branch) > 0 && result.servedShare[branch][class] < 1-noticeableShare {
			names = append(names, site.Name)
		}
	}
	return names
}

// recoveryTime is how long the usual load takes to return to a site that starts empty and cold: until its slow-start
// budget, as far as directors use it, allows for all of it.
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
	needed := min(1, load/(coldBudgetUse*multiple)) // share of its capacity at which the budget allows for all
	if needed <= start {
		return 0
	}
	return time.Duration(float64(duration) * (needed - start) / max(1-start, epsilon))
}

// hubLoad is what a hub is sent at the usual load with nothing lost, as a share of its capacity.
func (p *Planner) hubLoad(hub Site) float64 {
	if hub.Capacity <= 0 {
		return 0
	}
	return p.solveFlow(p.availability(nil), 1).intoHub(p.topology.siteIndex(hub.Name)) / hub.Capacity
}
