package failover

import (
	"fmt"
	"math"
)

// fillNetwork is the flow network of all branches' fills, at a load and with some sites lost. It has a single kind of
// flow: a unit is a transfer, which takes one unit of its branch's inbound link, one of a hub's links, and, for the
// part that parents lack, some of what the origin can give.
//
//	source - class of a branch - inbound link - hub - origin - sink
//
// Whatever a class can't send that way goes from it to the sink directly, at the cost of its rejection. Hubs and
// branches are added in the order of the sites, so that all directors build the same network.
type fillNetwork struct {
	planner   *Planner
	topology  *Topology
	available []float64 // by site: 0 or 1
	load      float64   // as a multiple of the usual one

	network      flowNetwork
	source, sink int
	origin       int   // node of what reaches the origin's limit
	hubs         []int // sites that are hubs
	hubNodes     []int // by site; 0: none yet
	hubRoom      []float64
	noHubLeft    bool // caches fill from the origin directly, all of it

	transitCost    float64 // of a unit for each step round the ring
	congestionCost float64 // of a unit for each step that a hub is fuller, or a class more rejected
	pinReward      float64 // of a unit that goes where it is pinned

	classFlows  []classFlow
	routes      []route
	pinOverload *pinError
}

// classFlow is what a branch is asked for in a class.
type classFlow struct {
	branch, class int
	rejections    [congestionSteps]int // arcs to the sink
}

// route is an arc by which a branch's fills reach a hub.
type route struct{ branch, hub, arc int }

// pinnedWork is the part of a branch's fills that a pin sends to a hub.
type pinnedWork struct {
	hub  int
	work float64
}

// pinError says why a pin can't hold.
type pinError struct {
	pin    int // index in the overrides
	reason string
}

// flowResult is what a solved network comes to.
type flowResult struct {
	fillFlow    [][]float64 // by branch and hub, as indices of sites; in transfers
	servedShare [][]float64 // by branch and class, of what is asked for
	cost        float64     // value of a second of what is rejected, and the cost of transit
	rejects     bool        // something has to be rejected
	pinOverload *pinError   // the first pin that can't hold; nil: none
}

// solveFlow sends the fills of all branches to hubs, at a load given as a multiple of the usual one, so that the value
// that has to be rejected is least, and fills go no further than they must. The hubs' links, the branches' inbound
// links and what the origin can give behind the parents bound it.
func (p *Planner) solveFlow(available []float64, load float64) *flowResult {
	f := p.newFillNetwork(available, load)
	for branch, site := range f.topology.Sites {
		if !site.Hub {
			f.addBranch(branch)
		}
	}
	for _, hub := range f.hubs {
		if f.hubNodes[hub] != 0 {
			f.network.addArc(f.hubNodes[hub], f.origin, f.hubRoom[hub], 0)
		}
	}
	f.network.addArc(f.origin, f.sink, f.originLimit(), 0)
	cost := f.network.minCostMaxFlow()
	return f.result(cost)
}

func (p *Planner) newFillNetwork(available []float64, load float64) *fillNetwork {
	topology := p.topology
	f := &fillNetwork{
		planner:        p,
		topology:       topology,
		available:      available,
		load:           load,
		hubNodes:       make([]int, len(topology.Sites)),
		hubRoom:        make([]float64, len(topology.Sites)),
		noHubLeft:      true,
		transitCost:    topology.TransitCost * p.meanValueDensity(),
		congestionCost: p.congestionCost * p.minValueDensity(),
	}
	// More than any way that a pin has a unit take instead of the cheapest one may cost.
	f.pinReward = homeHubLeaveCost*p.minValueDensity() + f.transitCost*float64(len(topology.Sites)) +
		f.congestionCost*congestionSteps
	f.source, f.sink = f.network.addNode(), f.network.addNode()
	f.origin = f.network.addNode()
	for i, site := range topology.Sites {
		if !site.Hub {
			continue
		}
		f.hubs = append(f.hubs, i)
		f.hubRoom[i] = site.Capacity * available[i]
		f.noHubLeft = f.noHubLeft && f.hubRoom[i] == 0
	}
	return f
}

// originLimit is how much may be sent towards the origin: parents hold a share of it.
func (f *fillNetwork) originLimit() float64 {
	topology := f.topology
	if topology.OriginCapacity <= 0 {
		return math.Inf(1)
	}
	limit := max(0, topology.OriginCapacity-topology.uncacheableDemand()*f.load)
	if f.noHubLeft {
		return limit
	}
	return limit / max(1-topology.ParentHitRatio, epsilon)
}

// addBranch adds a branch with its classes, and its ways to all hubs.
func (f *fillNetwork) addBranch(branch int) {
	lost := f.available[branch] == 0
	asked := 0.0
	for class := range f.topology.Classes {
		asked += f.topology.fillDemand(branch, class, lost) * f.load
	}
	pinned, unpinnedShare := f.applyPins(branch, asked)

	link, linkEnd := f.network.addNode(), f.network.addNode()
	f.network.addArc(link, linkEnd, f.ingressLimit(branch), 0)
	for class := range f.topology.Classes {
		f.addClass(branch, class, link)
	}
	if f.noHubLeft {
		f.network.addArc(linkEnd, f.origin, math.Inf(1), f.transitCost*float64(len(f.hubs)))
	}
	f.addHubRoutes(branch, linkEnd, asked, unpinnedShare, pinned)
	for _, pin := range pinned {
		if pin.work > 0 {
			// An arc past the hub's node: this much goes there, whatever way is shorter.
			f.addRoute(branch, pin.hub, linkEnd, f.origin, pin.work, -f.pinReward)
		}
	}
}

// applyPins reserves room at hubs for what pins send there from a branch. It returns that, and the share of the
// branch's fills that is left.
func (f *fillNetwork) applyPins(branch int, asked float64) (pinned []pinnedWork, unpinnedShare float64) {
	topology := f.topology
	unpinnedShare = 1.0
	for i, pin := range f.planner.overrides.Pins {
		lost, hub := topology.siteIndex(pin.Lost), topology.siteIndex(pin.To)
		if pin.From != topology.Sites[branch].Name || f.available[lost] != 0 || f.available[hub] == 0 {
			continue
		}
		work := pin.Share * asked
		if work > f.hubRoom[hub]+epsilon && f.pinOverload == nil {
			reason := fmt.Sprintf("%s has room for %.1f transfers while %s is lost, and the share is %.1f",
				pin.To, f.hubRoom[hub], pin.Lost, work)
			f.pinOverload = &pinError{pin: i, reason: reason}
		}
		work = min(work, f.hubRoom[hub])
		f.hubRoom[hub] -= work
		unpinnedShare -= pin.Share
		pinned = append(pinned, pinnedWork{hub: hub, work: work})
	}
	return pinned, unpinnedShare
}

func (f *fillNetwork) ingressLimit(branch int) float64 {
	if limit := f.topology.Sites[branch].IngressCapacity; limit > 0 {
		return limit
	}
	return math.Inf(1)
}

// addClass adds the fills of a class: they go to the branch's inbound link, or are rejected.
func (f *fillNetwork) addClass(branch, class, link int) {
	work := f.topology.fillDemand(branch, class, f.available[branch] == 0) * f.load
	if work <= 0 {
		return
	}
	node := f.network.addNode()
	f.network.addArc(f.source, node, work, 0)
	flow := classFlow{branch: branch, class: class}
	for step := range flow.rejections {
		// A little dearer the more of it is rejected, so that branches share what has to be.
		cost := f.planner.rejectionCost(class) + f.congestionCost*float64(step)
		flow.rejections[step] = f.network.addArc(node, f.sink, work/congestionSteps, cost)
	}
	f.classFlows = append(f.classFlows, flow)
	f.network.addArc(node, link, work, 0)
}

// addHubRoutes adds a branch's ways to its own hub and to those that may take over.
func (f *fillNetwork) addHubRoutes(branch, linkEnd int, asked, unpinnedShare float64, pinned []pinnedWork) {
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
			continue // all of the fills are pinned, or those that go to this hub
		}
		unpinned := max(0, unpinnedShare) * asked
		if hub == home || takeover <= 0 {
			f.addRoute(branch, hub, linkEnd, f.hubNodes[hub], unpinned, f.planner.routeCost(branch, hub, f.available))
			continue
		}
		f.addTakeover(branch, hub, linkEnd, unpinned, takeover)
	}
}

// takeoverCapacity is the capacity of all hubs that may take over from a hub.
func (f *fillNetwork) takeoverCapacity(home int) float64 {
	sum := 0.0
	for _, hub := range f.hubs {
		if hub != home && !f.planner.isForbidden(hub, f.available) {
			sum += f.topology.Sites[hub].Capacity * f.available[hub]
		}
	}
	return sum
}

// addTakeover adds a way to a hub that takes over for the branch's own, in steps that share the fills out by capacity:
// the more of its share a hub has, the dearer the rest is.
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

func (f *fillNetwork) addRoute(branch, hub, from, to int, capacity, cost float64) {
	index := f.network.addArc(from, to, capacity, cost)
	f.routes = append(f.routes, route{branch: branch, hub: hub, arc: index})
}

func isPinnedTo(pinned []pinnedWork, hub int) bool {
	for _, pin := range pinned {
		if pin.hub == hub {
			return true
		}
	}
	return false
}

// result reads the solved network.
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
		f.readRejections(flow, result)
	}
	f.limitUncacheable(result)
	for branch, site := range f.topology.Sites {
		if !site.Hub && f.available[branch] == 0 && !f.topology.BypassAllowed && f.topology.demand(branch) > 0 {
			result.rejects = true
		}
	}
	return result
}

// readRejections reads how much of a class is served. What caches hold is served whatever becomes of the fills.
func (f *fillNetwork) readRejections(flow classFlow, result *flowResult) {
	work := f.topology.fillDemand(flow.branch, flow.class, f.available[flow.branch] == 0) * f.load
	rejected := 0.0
	for _, index := range flow.rejections {
		rejected += f.network.flowOn(index)
	}
	if rejected > epsilon*congestionSteps {
		result.rejects = true
	}
	all := f.topology.classDemand(flow.branch, flow.class) * f.load
	result.servedShare[flow.branch][flow.class] = 1 - min(rejected, work)/max(all, epsilon)
}

// limitUncacheable has uncacheable requests, which come before fills, rejected where they alone are too many for the
// origin.
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

// intoHub is what all branches send to a hub, in transfers.
func (r *flowResult) intoHub(hub int) float64 {
	sum := 0.0
	for branch := range r.fillFlow {
		sum += r.fillFlow[branch][hub]
	}
	return sum
}
