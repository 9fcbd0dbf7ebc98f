package failover

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Planner makes plans for one topology and the operators' wishes. It keeps those that it has made.
type Planner struct {
	topology  *Topology
	overrides Overrides
	plans     map[string]*Plan

	congestionCost float64 // of what a hub takes over, for each part that it has of it already
}

// NewPlanner checks the wishes against the topology. The error is a *WishError that names the key.
func NewPlanner(t *Topology, w Overrides) (*Planner, error) {
	p := &Planner{topology: t, overrides: w, plans: map[string]*Plan{}, congestionCost: defaultCongestionCost}
	if err := w.validate(t); err != nil {
		return nil, err
	}
	for i, pin := range w.Pins {
		alive := p.availability([]string{pin.Lost})
		if over := p.solveFlow(alive, 1).pinOverload; over != nil && over.pin == i {
			return nil, overrideErrorf(fmt.Sprintf("plan.pin[%d].share", i), "%s", over.reason)
		}
	}
	return p, nil
}

// Plan says what is done while some sites are lost.
type Plan struct {
	Lost       []string         `json:"lost"`
	Branches   []BranchPlan     `json:"branches"`
	Rejections []ClassRejection `json:"refused"` // in the order in which refusing begins
	// RejectionStart is the load, as times the usual one, at which the first request has to be refused; 0: some have to be
	// at any load. Never is set where no load within reason does it.
	RejectionStart float64 `json:"refusing_starts_at_load"`
	NeverRejects   bool    `json:"refusing_never_starts"`
	// RecoveryTime is how long the load takes to come back to the sites once they do, cold and empty.
	RecoveryTime time.Duration `json:"return_ns"`
	Unmet        []string      `json:"cannot"` // what can't be met, plainly
	// ValueServed is the part of the worth asked for at the usual load that is served.
	ValueServed float64 `json:"worth_served"`
}

// BranchPlan is where a branch's load and fills go.
type BranchPlan struct {
	Name         string             `json:"name"`
	ServedBy     string             `json:"load"`   // who answers its clients: caches, parents, nobody
	FillShares   map[string]float64 `json:"fills"`  // share of its fills by hub, of those that are served
	ServedShares map[string]float64 `json:"served"` // share of each class that is served, at the usual load
}

// ClassRejection tells from which load on a class is refused, and at which branches.
type ClassRejection struct {
	Class    string   `json:"class"`
	FromLoad float64  `json:"from_load"` // times the usual one; 0: at any
	Branches []string `json:"branches"`
}

// availability is the part of each site's capacity that is left with some of them lost.
func (p *Planner) availability(lost []string) []float64 {
	part := make([]float64, len(p.topology.Sites))
	for i, s := range p.topology.Sites {
		if part[i] = 1; slices.Contains(lost, s.Name) {
			part[i] = 0
		}
	}
	return part
}

// flowResult is what a network came to.
type flowResult struct {
	fillFlow    [][]float64 // by branch and hub, as places among the sites
	servedShare [][]float64 // by branch and class, part of what is asked
	cost        float64     // worth a second that is refused, and the price of far bytes
	rejects     bool
	pinOverload *pinError
}

type pinError struct {
	pin    int
	reason string
}

// rejectionCost is what the refusal of a unit of work of a class costs. What must not run twice is refused last, and an
// order of the operators' goes before worth; within it worth still tells.
func (p *Planner) rejectionCost(class int) float64 {
	t := p.topology
	most := 0.0
	for _, c := range t.Classes {
		most = max(most, c.valueDensity())
	}
	cost, c := t.Classes[class].valueDensity(), t.Classes[class]
	if i := slices.Index(p.overrides.RejectionOrder, c.Name); i >= 0 {
		cost = most * float64(2+i)
	}
	if c.NonIdempotent {
		cost += most * float64(3+len(p.overrides.RejectionOrder))
	}
	return cost
}

const (
	congestionSteps       = 10   // in which what a hub takes over is priced, half of them for its part by what it carries
	defaultCongestionCost = 0.02 // of the worth of a unit, more for each: a hub with two or three parts more is worth a step round
	homeHubLeaveCost      = 0.5  // of it, for fills that leave a hub that is there: only what it has no room for
)

// routeCost is what a unit costs that a branch takes from a hub: the way round the ring, and that of leaving its own hub.
func (p *Planner) routeCost(branch, hub int, alive []float64) float64 {
	home, price := p.topology.Sites[branch].HomeHub, 0.0
	if home < 0 || home == hub {
		return 0
	}
	if alive[home] > 0 && p.topology.Sites[home].Capacity > 0 {
		price = homeHubLeaveCost
	}
	return p.minValueDensity()*price + p.meanValueDensity()*p.topology.TransitCost*float64(p.topology.ringDistance(home, hub))
}

// solveFlow sends the fills of all branches to hubs, at a load (times the usual one), so that the worth that has to be
// refused is least, and fills go no further than they must. The hubs' links, the branches' links in and what the
// origin can give behind the parents bound it.
//
// It is one network with a single kind of solveFlow: a unit is a transfer, which takes one of the branch's link in, one
// of a hub's link, and the part that parents lack from the origin.
func (p *Planner) solveFlow(alive []float64, load float64) *flowResult {
	t := p.topology
	var n flowNetwork
	source, sink := n.addNode(), n.addNode()
	f := &flowResult{fillFlow: make([][]float64, len(t.Sites)), servedShare: make([][]float64, len(t.Sites))}
	origin, direct := math.Inf(1), true // directly: where no hub is left, caches fill from the origin, all of it
	for h, s := range t.Sites {
		direct = direct && (!s.Hub || s.Capacity*alive[h] == 0)
	}
	if t.OriginCapacity > 0 {
		if origin = max(0, t.OriginCapacity-t.uncacheableDemand()*load); !direct {
			origin /= max(1-t.ParentHitRatio, epsilon)
		}
	}
	originIn, hubIn, hubs := n.addNode(), make([]int, len(t.Sites)), []int{}
	room := make([]float64, len(t.Sites))
	for h, s := range t.Sites {
		if s.Hub {
			room[h] = s.Capacity * alive[h]
			hubs = append(hubs, h)
		}
	}
	type stream struct {
		branch, class int
		refusals      [congestionSteps]int
	}
	var streams []stream
	ways := map[[2]int][]int{}
	far := t.TransitCost * p.meanValueDensity()
	crowd := p.congestionCost * p.minValueDensity()
	pinEarns := homeHubLeaveCost*p.minValueDensity() + far*float64(len(t.Sites)) + crowd*congestionSteps // worth of a unit going where it is pinned
	type fixed struct {
		branch, hub int
		work        float64
	}
	var pinned []fixed
	for b, s := range t.Sites {
		if s.Hub {
			continue
		}
		lost := alive[b] == 0
		asked, left := 0.0, 1.0
		for c := range t.Classes {
			asked += t.fillDemand(b, c, lost) * load
		}
		for i, pin := range p.overrides.Pins {
			if pin.From != s.Name || alive[t.siteIndex(pin.Lost)] != 0 || alive[t.siteIndex(pin.To)] == 0 {
				continue
			}
			h, work := t.siteIndex(pin.To), pin.Share*asked
			if work > room[h]+epsilon && f.pinOverload == nil {
				f.pinOverload = &pinError{i, fmt.Sprintf("%s has room for %.1f transfers while %s is lost, and the share is %.1f",
					pin.To, room[h], pin.Lost, work)}
			}
			work = min(work, room[h])
			room[h] -= work
			left -= pin.Share
			pinned = append(pinned, fixed{b, h, work})
		}
		link, out, in := n.addNode(), n.addNode(), math.Inf(1)
		if s.IngressCapacity > 0 {
			in = s.IngressCapacity
		}
		n.addArc(link, out, in, 0)
		for c := range t.Classes {
			work := t.fillDemand(b, c, lost) * load
			if work <= 0 {
				continue
			}
			k := n.addNode()
			n.addArc(source, k, work, 0)
			x := stream{branch: b, class: c}
			for i := range x.refusals { // a little dearer the more of it is refused, so that branches share what is
				x.refusals[i] = n.addArc(k, sink, work/congestionSteps, p.rejectionCost(c)+crowd*float64(i))
			}
			streams = append(streams, x)
			n.addArc(k, link, work, 0)
		}
		others := 0.0 // what the hubs carry that may take over
		for _, h := range hubs {
			if h != s.HomeHub && !p.isForbidden(h, alive) {
				others += t.Sites[h].Capacity * alive[h]
			}
		}
		if direct {
			n.addArc(out, originIn, math.Inf(1), far*float64(len(hubs)))
		}
		for _, h := range hubs {
			if hubIn[h] == 0 {
				hubIn[h] = n.addNode()
			}
			switch {
			case h != s.HomeHub && p.isForbidden(h, alive):
			case left < epsilon, slices.ContainsFunc(pinned, func(x fixed) bool { return x.branch == b && x.hub == h }):
				// All of it is pinned, or what goes there is.
			default:
				// What goes elsewhere is shared by what the others carry: the more of its part a hub has, the dearer the rest.
				part, parts, most := max(0, left)*asked, 1, max(0, left)*asked
				if h != s.HomeHub && others > 0 {
					part, parts = most*t.Sites[h].Capacity*alive[h]/others/(congestionSteps/2), congestionSteps
				}
				for i := range parts {
					if i == parts-1 {
						part = most
					}
					way := n.addArc(out, hubIn[h], part, p.routeCost(b, h, alive)+crowd*float64(i))
					ways[[2]int{b, h}] = append(ways[[2]int{b, h}], way)
				}
			}
		}
		for _, x := range pinned {
			if x.branch == b && x.work > 0 {
				// A node of its own: this much goes there, whatever is shorter.
				way := n.addArc(out, originIn, x.work, -pinEarns)
				ways[[2]int{b, x.hub}] = append(ways[[2]int{b, x.hub}], way)
			}
		}
	}
	for _, h := range hubs {
		if hubIn[h] != 0 {
			n.addArc(hubIn[h], originIn, room[h], 0)
		}
	}
	n.addArc(originIn, sink, origin, 0)
	f.cost = n.minCostMaxFlow()
	for b := range t.Sites {
		f.fillFlow[b], f.servedShare[b] = make([]float64, len(t.Sites)), make([]float64, len(t.Classes))
		for c := range t.Classes {
			if f.servedShare[b][c] = 1; alive[b] == 0 && !t.BypassAllowed {
				f.servedShare[b][c] = 0
			}
		}
	}
	for key, arcs := range ways {
		for _, way := range arcs {
			f.fillFlow[key[0]][key[1]] += n.flowOn(way)
		}
	}
	for _, s := range streams {
		work := t.fillDemand(s.branch, s.class, alive[s.branch] == 0) * load
		out := 0.0
		for _, arc := range s.refusals {
			out += n.flowOn(arc)
		}
		if out > epsilon*10 {
			f.rejects = true
		}
		// What caches hold is served whatever becomes of the fills.
		all := t.demand(s.branch) * t.Classes[s.class].LoadShare * load
		f.servedShare[s.branch][s.class] = 1 - min(out, work)/max(all, epsilon)
	}
	if t.OriginCapacity > 0 {
		// Writes come before fills; where they alone are too many, the rest of them is refused.
		if on := t.uncacheableDemand() * load; on > t.OriginCapacity+epsilon {
			for b := range t.Sites {
				for c, k := range t.Classes {
					if k.Uncacheable {
						f.servedShare[b][c] = min(f.servedShare[b][c], t.OriginCapacity/on)
					}
				}
			}
			f.rejects = true
		}
	}
	for b, s := range t.Sites {
		if !s.Hub && alive[b] == 0 && !t.BypassAllowed && t.demand(b) > 0 {
			f.rejects = true
		}
	}
	return f
}

// isForbidden tells that a hub may take nothing over while these are lost. What is its own it goes on to serve.
func (p *Planner) isForbidden(hub int, alive []float64) bool {
	return slices.ContainsFunc(p.overrides.Forbids, func(f Forbid) bool {
		return f.To == p.topology.Sites[hub].Name && alive[p.topology.siteIndex(f.Lost)] == 0
	})
}

// minValueDensity is the worth of a second of sending of the class that is worth least: what only settles where fills go
// must cost less, or it would be cheaper to refuse them.
func (p *Planner) minValueDensity() float64 {
	least := math.Inf(1)
	for _, c := range p.topology.Classes {
		least = min(least, c.valueDensity())
	}
	return least
}

// meanValueDensity is the worth of a mean second of sending.
func (p *Planner) meanValueDensity() float64 {
	sum := 0.0
	for _, c := range p.topology.Classes {
		sum += c.LoadShare * c.valueDensity()
	}
	return sum
}

// Plan is the plan for some sites lost. An unknown name is an error.
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

func (p *Planner) buildPlan(lost []string) *Plan {
	t, alive := p.topology, p.availability(lost)
	at := p.solveFlow(alive, 1)
	plan := &Plan{Lost: lost, ValueServed: p.valueServed(at), Unmet: p.unmetDemands(alive, at)}
	for b, s := range t.Sites {
		if s.Hub {
			continue
		}
		x := BranchPlan{Name: s.Name, ServedBy: "caches", FillShares: map[string]float64{}, ServedShares: map[string]float64{}}
		if alive[b] == 0 {
			if x.ServedBy = "nobody"; t.BypassAllowed {
				x.ServedBy = "parents"
			}
		}
		sum := 0.0
		for _, v := range at.fillFlow[b] {
			sum += v
		}
		for h, v := range at.fillFlow[b] {
			if v > epsilon {
				x.FillShares[t.Sites[h].Name] = v / sum
			}
		}
		for c, k := range t.Classes {
			x.ServedShares[k.Name] = at.servedShare[b][c]
		}
		plan.Branches = append(plan.Branches, x)
	}
	plan.RejectionStart, plan.NeverRejects = p.rejectionStart(alive)
	plan.Rejections = p.classRejections(alive)
	for _, name := range lost {
		plan.RecoveryTime = max(plan.RecoveryTime, p.recoveryTime(t.Sites[t.siteIndex(name)]))
	}
	return plan
}

// valueServed is the part of all valueServed that is served.
func (p *Planner) valueServed(f *flowResult) float64 {
	got, all := 0.0, 0.0
	for b, s := range p.topology.Sites {
		if s.Hub {
			continue
		}
		for c, k := range p.topology.Classes {
			w := p.topology.demand(b) * k.LoadShare * k.valueDensity()
			all += w
			got += w * f.servedShare[b][c]
		}
	}
	if all == 0 {
		return 0
	}
	return got / all
}

// rejectionStart is the load at which refusing begins, to a thousandth.
func (p *Planner) rejectionStart(alive []float64) (load float64, never bool) {
	low, high := 0.0, float64(maxLoadSearched)
	if !p.solveFlow(alive, high).rejects {
		return 0, true
	}
	if p.solveFlow(alive, 1e-6).rejects {
		return 0, false
	}
	for high-low > 1e-3 {
		if mid := (low + high) / 2; p.solveFlow(alive, mid).rejects {
			high = mid
		} else {
			low = mid
		}
	}
	return low, false
}

// classRejections tells for each class from which load on, in steps of a twentieth up to four times the usual one, how many
// branches refuse some of it.
func (p *Planner) classRejections(alive []float64) (list []ClassRejection) {
	const least = 0.005 // of a class, that counts as refusing
	t := p.topology
	for c, k := range t.Classes {
		for step := 0; step <= 80; step++ {
			load := float64(step) / 20
			f := p.solveFlow(alive, max(load, 1e-6))
			var where []string
			for b, s := range t.Sites {
				if !s.Hub && t.demand(b) > 0 && f.servedShare[b][c] < 1-least {
					where = append(where, s.Name)
				}
			}
			if len(where) > 0 {
				list = append(list, ClassRejection{k.Name, load, where})
				break
			}
		}
	}
	slices.SortStableFunc(list, func(a, b ClassRejection) int { return cmp.Compare(a.FromLoad, b.FromLoad) })
	return list
}

// recoveryTime is how long the usual load takes to return to a site that starts empty and cold: until the budget, as far
// as directors use it, allows it.
func (p *Planner) recoveryTime(s Site) time.Duration {
	t := p.topology
	from, times, ramp, part := t.CacheSlowStartFraction, t.CacheOverloadMultiple, t.CacheSlowStartDuration, t.UsualLoad
	if s.Hub {
		from, times, ramp, part = t.ParentSlowStartFraction, t.ParentOverloadMultiple, t.ParentSlowStartDuration, 0
		if s.Capacity > 0 {
			part = p.solveFlow(p.availability(nil), 1).intoHub(t, s.Name) / s.Capacity
		}
	}
	if times <= 0 || ramp <= 0 {
		return 0
	}
	need := min(1, part/(coldBudgetUse*times)) // share of its capacity at which the budget allows all
	if need <= from {
		return 0
	}
	return time.Duration(float64(ramp) * (need - from) / max(1-from, epsilon))
}

// intoHub is what a hub is sent by all branches, in transfers.
func (f *flowResult) intoHub(t *Topology, hub string) (sum float64) {
	h := t.siteIndex(hub)
	for b := range t.Sites {
		sum += f.fillFlow[b][h]
	}
	return sum
}

// unmetDemands says plainly what can't be met.
func (p *Planner) unmetDemands(alive []float64, f *flowResult) (list []string) {
	t := p.topology
	hubs := 0
	for h, s := range t.Sites {
		if s.Hub && alive[h] > 0 && s.Capacity > 0 {
			hubs++
		}
	}
	for b, s := range t.Sites {
		switch {
		case s.Hub:
			continue
		case alive[b] == 0 && !t.BypassAllowed:
			list = append(list, s.Name+": nobody may take its clients' requests here (caches of other branches are "+
				"a fault, parents take none): all of them are refused at once")
		case s.Capacity == 0 && alive[b] > 0:
			list = append(list, s.Name+": it has no caches")
		case hubs == 0 && t.demand(b)*(1-t.CacheHitRatio) > 0:
			list = append(list, s.Name+": no hub is left, and what its caches lack comes from the origin as far as that can give it")
		}
	}
	for b, s := range t.Sites {
		if s.Hub || alive[b] == 0 {
			continue
		}
		for c, k := range t.Classes {
			if lack := 1 - f.servedShare[b][c]; lack > 0.005 {
				list = append(list, fmt.Sprintf("%s: %.0f %% of %s at the usual load", s.Name, 100*lack, k.Name))
			}
		}
	}
	return list
}
