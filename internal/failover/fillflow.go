package failover

import (
	"fmt"
	"math"
)

// fillNetwork is the flow network of all branches' fills, for one load and one set of lost sites. It has a single
// commodity, whose unit is a transfer. A transfer uses one unit of its branch's inbound link and one unit of a hub's
// links, and fills that miss the parents also use origin capacity.
//
//	source - class of a branch - inbound link - hub - origin - sink
//
// Work of a class that doesn't fit on these paths is rejected: it takes an arc from the class to the sink, whose cost
// is that of the rejection. Hubs and branches are added in the order of the sites, so that all directors build the same
// network.
type fillNetwork struct {
	planner   *Planner
	topology  *Topology
	available []float64 // by site: 0 if the site is lost, else 1
	load      float64   // multiple of the usual load

	network         flowNetwork
	source, sink    int
	origin          int       // node whose arc to the sink has the capacity originLimit
	hubs            []int     // indices of the sites that are hubs
	hubNodes        []int     // by site; 0: no node added yet
	hubCapacityLeft []float64 // by site: capacity of a hub that no pin has reserved, in transfers
	noUsableHub     bool      // no hub has capacity, so caches fill from the origin directly

	transitCost    float64 // cost of a unit per step along the ring
	congestionCost float64 // rise of a unit's cost from one congestion step to the next, see addTakeover and addClass
	pinReward      float64 // subtracted from the cost of each unit on a pinned route

	classFlows  []classFlow
	routes      []route
	pinOverload *pinError
}

// classFlow identifies the fills of a class at a branch and the arcs by which they are rejected.
type classFlow struct {
	branch, class int
	rejectionArcs [congestionSteps]int // indices of the arcs to the sink, cheapest first
}

// route is an arc by which fills of a branch reach a hub.
type route struct{ branch, hub, arc int }

// pinnedWork is the part of a branch's fills that a pin sends to a hub, in transfers.
type pinnedWork struct {
	hub  int
	work float64
}

// pinError identifies a pin that exceeds the capacity of its hub.
type pinError struct {
	pin    int    // index in Overrides.Pins
	reason string // for OverrideError.Reason
}

// flowResult holds the decisions that follow from a solved fillNetwork.
type flowResult struct {
	fillFlow    [][]float64 // by site indices of the branch and the hub, in transfers
	servedShare [][]float64 // by branch and class: fraction of the requested work that is served
	cost        float64     // rejection costs, plus the costs of routes and congestion steps, less pin rewards
	rejects     bool        // some work is rejected
	pinOverload *pinError   // the first pin that exceeds the capacity of its hub; nil: none
}

// solveFlow assigns the fills of all branches to hubs at a load, given as a multiple of the usual load. available is
// the result of Planner.availability: by site index, 0 for a lost site and 1 for any other. The assignment keeps within
// the capacities of the hubs, the branches' inbound links and the origin. It minimizes flowResult.cost: the rejection
// costs of the rejected work, plus the costs of the routes and of the congestion steps, less pinReward for each unit on
// a pinned route. pinReward is so high that pinned routes are filled first.
func (p *Planner) solveFlow(available []float64, load float64) *flowResult {
	f := p.newFillNetwork(available, load)
	for branch, site := range f.topology.Sites {
		if !site.Hub {
			f.addBranch(branch)
		}
	}
	for _, hub := range f.hubs {
		if f.hubNodes[hub] != 0 {
			f.network.addArc(f.hubNodes[hub], f.origin, f.hubCapacityLeft[hub], 0)
		}
	}
	f.network.addArc(f.origin, f.sink, f.originLimit(), 0)
	cost := f.network.minCostMaxFlow()
	return f.result(cost)
}

// newFillNetwork returns a network that has the nodes of source, sink and origin and the capacities of the hubs, but no
// branches and no arcs yet.
func (p *Planner) newFillNetwork(available []float64, load float64) *fillNetwork {
	topology := p.topology
	f := &fillNetwork{
		planner:         p,
		topology:        topology,
		available:       available,
		load:            load,
		hubNodes:        make([]int, len(topology.Sites)),
		hubCapacityLeft: make([]float64, len(topology.Sites)),
		noUsableHub:     true,
		transitCost:     topology.TransitCost * p.meanValueDensity(),
		congestionCost:  p.congestionCost * p.minValueDensity(),
	}
	// The reward exceeds the cost of any route that is not pinned, so that pinned routes are filled first.
	f.pinReward = homeHubLeaveCost*p.minValueDensity() + f.transitCost*float64(len(topology.Sites)) +
		f.congestionCost*congestionSteps
	f.source, f.sink = f.network.addNode(), f.network.addNode()
	f.origin = f.network.addNode()
	for i, site := range topology.Sites {
		if !site.Hub {
			continue
		}
		f.hubs = append(f.hubs, i)
		f.hubCapacityLeft[i] = site.Capacity * available[i]
		f.noUsableHub = f.noUsableHub && f.hubCapacityLeft[i] == 0
	}
	return f
}

// originLimit returns the largest flow of fills that the origin can support, in transfers. The origin's free
// capacity is its capacity less the demand for uncacheable objects. The limit exceeds the free capacity if a hub is
// usable and parents serve a fraction of the fills themselves.
func (f *fillNetwork) originLimit() float64 {
	topology := f.topology
	if topology.OriginCapacity <= 0 {
		return math.Inf(1)
	}
	limit := max(0, topology.OriginCapacity-topology.uncacheableDemand()*f.load)
	if f.noUsableHub {
		return limit
	}
	return limit / max(1-topology.ParentHitRatio, epsilon)
}

// addBranch adds a branch: its classes, its inbound link and its routes to the hubs.
func (f *fillNetwork) addBranch(branch int) {
	lost := f.available[branch] == 0
	demand := 0.0
	for class := range f.topology.Classes {
		demand += f.topology.fillDemand(branch, class, lost) * f.load
	}
	pinned, unpinnedShare := f.applyPins(branch, demand)

	linkStart, linkEnd := f.network.addNode(), f.network.addNode()
	f.network.addArc(linkStart, linkEnd, f.ingressLimit(branch), 0)
	for class := range f.topology.Classes {
		f.addClass(branch, class, linkStart)
	}
	if f.noUsableHub {
		f.network.addArc(linkEnd, f.origin, math.Inf(1), f.transitCost*float64(len(f.hubs)))
	}
	f.addHubRoutes(branch, linkEnd, demand, unpinnedShare, pinned)
	for _, pin := range pinned {
		if pin.work > 0 {
			// The arc bypasses the hub's node: applyPins has already subtracted this work from the hub's capacity.
			f.addRoute(branch, pin.hub, linkEnd, f.origin, pin.work, -f.pinReward)
		}
	}
}

// applyPins applies the pins of a branch. A pin is an override by which operators send the fraction Share of the fills
// of the branch From to the hub To while the site Lost is lost. It applies only while Lost is lost and To is available.
// applyPins reserves the capacity for the pinned fills at the hub, or all of the hub's remaining capacity if that is
// less. It returns the pinned fills and unpinnedShare, the fraction of the branch's fills that no pin applies to. The
// whole Share of a pin is subtracted from unpinnedShare, even if the hub lacks capacity for it. pinOverload is set to
// the first pin of the network whose hub lacks capacity.
func (f *fillNetwork) applyPins(branch int, demand float64) (pinned []pinnedWork, unpinnedShare float64) {
	topology := f.topology
	unpinnedShare = 1.0
	for i, pin := range f.planner.overrides.Pins {
		lost, hub := topology.siteIndex(pin.Lost), topology.siteIndex(pin.To)
		if pin.From != topology.Sites[branch].Name || f.available[lost] != 0 || f.available[hub] == 0 {
			continue
		}
		work := pin.Share * demand
		if work > f.hubCapacityLeft[hub]+epsilon && f.pinOverload == nil {
			reason := fmt.Sprintf("%s has room for %.1f transfers while %s is lost, and the share is %.1f",
				pin.To, f.hubCapacityLeft[hub], pin.Lost, work)
			f.pinOverload = &pinError{pin: i, reason: reason}
		}
		work = min(work, f.hubCapacityLeft[hub])
		f.hubCapacityLeft[hub] -= work
		unpinnedShare -= pin.Share
		pinned = append(pinned, pinnedWork{hub: hub, work: work})
	}
	return pinned, unpinnedShare
}

// ingressLimit returns the capacity of a branch's inbound link in transfers, +Inf if it is unknown.
func (f *fillNetwork) ingressLimit(branch int) float64 {
	if limit := f.topology.Sites[branch].IngressCapacity; limit > 0 {
		return limit
	}
	return math.Inf(1)
}

// addClass adds the fills of a class at a branch, with arcs to the branch's inbound link and arcs that reject them.
func (f *fillNetwork) addClass(branch, class, linkStart int) {
	work := f.topology.fillDemand(branch, class, f.available[branch] == 0) * f.load
	if work <= 0 {
		return
	}
	node := f.network.addNode()
	f.network.addArc(f.source, node, work, 0)
	flow := classFlow{branch: branch, class: class}
	for step := range flow.rejectionArcs {
		// The cost rises with the rejected part of the class, so that branches share the rejections.
		cost := f.planner.rejectionCost(class) + f.congestionCost*float64(step)
		flow.rejectionArcs[step] = f.network.addArc(node, f.sink, work/congestionSteps, cost)
	}
	f.classFlows = append(f.classFlows, flow)
	f.network.addArc(node, linkStart, work, 0)
}

// addHubRoutes adds a branch's routes to its own hub and to the hubs that may take over its fills. Hubs that the branch
// is pinned to get no other route.
func (f *fillNetwork) addHubRoutes(branch, linkEnd int, demand, unpinnedShare float64, pinned []pinnedWork) {
	home := f.topology.Sites[branch].HomeHub
	takeover := f.takeoverCapacity(home)
	for _, hub := range f.hubs {
		if f.hubNodes[hub] == 0 {
			f.hubNodes[hub] = f.network.addNode()
		}
		if hub != home && f.planner.isForbidden(hub, f.available) {
			continue
		}
		if unpinnedShare < epsilon || isPinnedTo(pinned, hub) {
			continue // all fills of the branch are pinned, or its fills to this hub are
		}
		unpinned := max(0, unpinnedShare) * demand
		if hub == home || takeover <= 0 {
			f.addRoute(branch, hub, linkEnd, f.hubNodes[hub], unpinned, f.planner.routeCost(branch, hub, f.available))
			continue
		}
		f.addTakeover(branch, hub, linkEnd, unpinned, takeover)
	}
}

// takeoverCapacity returns the total capacity of the hubs that may take over fills from the home hub, in transfers.
func (f *fillNetwork) takeoverCapacity(home int) float64 {
	sum := 0.0
	for _, hub := range f.hubs {
		if hub != home && !f.planner.isForbidden(hub, f.available) {
			sum += f.topology.Sites[hub].Capacity * f.available[hub]
		}
	}
	return sum
}

// addTakeover adds congestionSteps routes to a hub that takes over fills from the branch's own hub. Each route costs
// congestionCost more than the one before, so that hubs at the same distance share the fills in proportion to their
// capacities. The first half of the routes together has the capacity for the hub's proportional share of the unpinned
// fills. The last route has the capacity for all unpinned fills. takeover is the total capacity of all hubs that may
// take over fills, see takeoverCapacity.
func (f *fillNetwork) addTakeover(branch, hub, linkEnd int, unpinned, takeover float64) {
	step := unpinned * f.topology.Sites[hub].Capacity * f.available[hub] / takeover / (congestionSteps / 2)
	for i := range congestionSteps {
		capacity := step
		if i == congestionSteps-1 {
			capacity = unpinned
		}
		cost := f.planner.routeCost(branch, hub, f.available) + f.congestionCost*float64(i)
		f.addRoute(branch, hub, linkEnd, f.hubNodes[hub], capacity, cost)
	}
}

// addRoute adds an arc and records that its flow goes from the branch to the hub.
func (f *fillNetwork) addRoute(branch, hub, from, to int, capacity, cost float64) {
	index := f.network.addArc(from, to, capacity, cost)
	f.routes = append(f.routes, route{branch: branch, hub: hub, arc: index})
}

// isPinnedTo reports whether a pin sends fills to the hub.
func isPinnedTo(pinned []pinnedWork, hub int) bool {
	for _, pin := range pinned {
		if pin.hub == hub {
			return true
		}
	}
	return false
}

// result returns the decisions that follow from the flows of the solved network, which has the given cost.
func (f *fillNetwork) result(cost float64) *flowResult {
	sites, classes := len(f.topology.Sites), len(f.topology.Classes)
	result := &flowResult{
		fillFlow:    make([][]float64, sites),
		servedShare: make([][]float64, sites),
		cost:        cost,
		pinOverload: f.pinOverload,
	}
	for branch := range result.fillFlow {
		result.fillFlow[branch], result.servedShare[branch] = make([]float64, sites), make([]float64, classes)
		for class := range classes {
			if f.available[branch] != 0 || f.topology.BypassAllowed {
				result.servedShare[branch][class] = 1
			}
		}
	}
	for _, route := range f.routes {
		result.fillFlow[route.branch][route.hub] += f.network.flowOn(route.arc)
	}
	for _, flow := range f.classFlows {
		f.setServedShare(flow, result)
	}
	f.limitUncacheable(result)
	for branch, site := range f.topology.Sites {
		if !site.Hub && f.available[branch] == 0 && !f.topology.BypassAllowed && f.topology.demand(branch) > 0 {
			result.rejects = true
		}
	}
	return result
}

// setServedShare sets the served fraction of a class at a branch, and sets result.rejects if a part of the class is
// rejected. Cache hits are served even if all fills are rejected.
func (f *fillNetwork) setServedShare(flow classFlow, result *flowResult) {
	work := f.topology.fillDemand(flow.branch, flow.class, f.available[flow.branch] == 0) * f.load
	rejected := 0.0
	for _, index := range flow.rejectionArcs {
		rejected += f.network.flowOn(index)
	}
	if rejected > epsilon*congestionSteps {
		result.rejects = true
	}
	demand := f.topology.classDemand(flow.branch, flow.class) * f.load
	result.servedShare[flow.branch][flow.class] = 1 - min(rejected, work)/max(demand, epsilon)
}

// limitUncacheable rejects a part of the uncacheable requests if they alone exceed the origin's capacity. Fills are not
// added to the load that is compared with this capacity, because the origin serves uncacheable requests before fills.
func (f *fillNetwork) limitUncacheable(result *flowResult) {
	topology := f.topology
	work := topology.uncacheableDemand() * f.load
	if topology.OriginCapacity <= 0 || work <= topology.OriginCapacity+epsilon {
		return
	}
	for branch := range topology.Sites {
		for class, c := range topology.Classes {
			if c.Uncacheable {
				result.servedShare[branch][class] = min(result.servedShare[branch][class], topology.OriginCapacity/work)
			}
		}
	}
	result.rejects = true
}

// hubInflow returns the fills that all branches send to a hub, in transfers.
func (r *flowResult) hubInflow(hub int) float64 {
	sum := 0.0
	for branch := range r.fillFlow {
		sum += r.fillFlow[branch][hub]
	}
	return sum
}
