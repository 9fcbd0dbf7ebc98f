package failover

import "math"

// fromOrigin takes the place of a hub's index when no hub is available and caches fill from the origin.
const fromOrigin = -1

// bruteForce finds the cheapest of all assignments in which each whole transfer goes to a hub or is rejected.
type bruteForce struct {
	planner   *Planner
	available []float64 // by site: 0 if the site is lost, else 1
	demands   []unitDemand
	hubs      []int

	// Capacities, in transfers, that the current partial assignment leaves free.
	hubLeft     map[int]float64
	ingressLeft map[int]float64 // by branch
	originLeft  float64

	cost    float64 // of the cheapest assignment found
	rejects bool    // the cheapest assignment rejects some work
}

// unitDemand is the fill demand of a class at a branch, in whole transfers.
type unitDemand struct{ branch, class, units int }

// bruteForceCost returns the least cost of all assignments at the usual load, and whether the cheapest assignment
// rejects any work. available holds, by site, 0 for each lost site and 1 for each other site.
func bruteForceCost(p *Planner, available []float64) (cost float64, rejects bool) {
	b := &bruteForce{planner: p, available: available, hubLeft: map[int]float64{}, ingressLeft: map[int]float64{}}
	b.addSites()
	b.addOriginLimit()
	if len(b.demands) == 0 {
		return 0, false
	}
	b.cost = math.Inf(1)
	b.search(0, 0, b.demands[0].units, 0, 0)
	return b.cost, b.rejects
}

// addSites adds the capacities of hubs and inbound links, and the demands of branches.
func (b *bruteForce) addSites() {
	topology := b.planner.topology
	for i, site := range topology.Sites {
		if site.Hub {
			b.hubs = append(b.hubs, i)
			b.hubLeft[i] = site.Capacity * b.available[i]
			continue
		}
		b.ingressLeft[i] = site.IngressCapacity
		if site.IngressCapacity == 0 {
			b.ingressLeft[i] = math.Inf(1)
		}
		for class := range topology.Classes {
			if work := topology.fillDemand(i, class, b.available[i] == 0); work > 0 {
				b.demands = append(b.demands, unitDemand{branch: i, class: class, units: int(work + 0.5)})
			}
		}
	}
}

// addOriginLimit sets the largest flow of fills that the origin can support. If no hub has capacity, caches fill from
// the origin: it then adds fromOrigin, which stands for the origin in place of a hub's index, to the hubs.
func (b *bruteForce) addOriginLimit() {
	topology, hubCapacity := b.planner.topology, 0.0
	for _, hub := range b.hubs {
		hubCapacity += b.hubLeft[hub]
	}
	b.originLeft = math.Inf(1)
	switch {
	case topology.OriginCapacity > 0 && hubCapacity > 0:
		b.originLeft = topology.OriginCapacity / (1 - topology.ParentHitRatio)
	case topology.OriginCapacity > 0:
		b.originLeft = topology.OriginCapacity
	}
	if hubCapacity == 0 {
		b.hubs = append(b.hubs, fromOrigin)
		b.hubLeft[fromOrigin] = math.Inf(1)
	}
}

// search tries all assignments of the remaining units of a demand to the hubs from hubIndex on, and of the demands
// after it. cost is the cost of the current partial assignment, and rejected is the number of units that it rejects.
func (b *bruteForce) search(demandIndex, hubIndex, left int, cost float64, rejected int) {
	if cost >= b.cost {
		return
	}
	if demandIndex == len(b.demands) {
		b.cost, b.rejects = cost, rejected > 0
		return
	}
	demand := b.demands[demandIndex]
	if hubIndex == len(b.hubs) { // the remaining units are rejected
		next := 0
		if demandIndex+1 < len(b.demands) {
			next = b.demands[demandIndex+1].units
		}
		b.search(demandIndex+1, 0, next, cost+float64(left)*b.planner.rejectionCost(demand.class), rejected+left)
		return
	}
	hub := b.hubs[hubIndex]
	unitCost := b.unitCost(demand.branch, hub)
	for units := 0; units <= left; units++ {
		amount := float64(units)
		if units > 0 && !b.fits(demand.branch, hub, amount) {
			break
		}
		b.reserve(demand.branch, hub, amount)
		b.search(demandIndex, hubIndex+1, left-units, cost+amount*unitCost, rejected)
		b.reserve(demand.branch, hub, -amount)
	}
}

// reserve subtracts the amount from the remaining capacities of the hub, the branch's inbound link and the origin. A
// negative amount is added to these capacities, which undoes an earlier reservation.
func (b *bruteForce) reserve(branch, hub int, amount float64) {
	b.hubLeft[hub] -= amount
	b.ingressLeft[branch] -= amount
	b.originLeft -= amount
}

// fits reports whether all capacities and the overrides allow the amount to go from the hub to the branch.
func (b *bruteForce) fits(branch, hub int, amount float64) bool {
	if b.hubLeft[hub] < amount || b.ingressLeft[branch] < amount || b.originLeft < amount {
		return false
	}
	home := b.planner.topology.Sites[branch].HomeHub
	return hub == fromOrigin || hub == home || !b.planner.isForbidden(hub, b.available)
}

// unitCost returns the cost of a unit that goes from a hub to a branch. It doesn't call Planner.routeCost, so that a
// fault in that method makes the test fail.
func (b *bruteForce) unitCost(branch, hub int) float64 {
	p, topology := b.planner, b.planner.topology
	home := topology.Sites[branch].HomeHub
	switch {
	case hub == fromOrigin:
		return topology.TransitCost * p.meanValueDensity() * float64(len(b.hubs)-1)
	case home == hub || home < 0:
		return 0
	case b.hubLeft[home] > 0 || topology.Sites[home].Capacity*b.available[home] > 0:
		// The branch's own hub is available, so that fills from another hub cost more.
		return 0.5*p.minValueDensity() + p.meanValueDensity()*topology.TransitCost*float64(
			topology.ringDistance(home, hub),
		)
	}
	return p.meanValueDensity() * topology.TransitCost * float64(topology.ringDistance(home, hub))
}
