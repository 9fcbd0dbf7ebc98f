package failover

import "math"

// fromOrigin stands for a hub where none is left: caches fill from the origin.
const fromOrigin = -1

// bruteForce tries every way to send whole transfers to hubs or to reject them, and keeps the cheapest.
type bruteForce struct {
	planner   *Planner
	available []float64
	streams   []wholeStream
	hubs      []int

	// What is left along the way that is tried now.
	hubRoom     map[int]float64
	ingressRoom map[int]float64 // by branch
	originRoom  float64

	cost    float64 // of the cheapest way
	rejects bool    // it rejects something
}

// wholeStream is what a branch is asked for in a class, in whole transfers.
type wholeStream struct{ branch, class, units int }

// bruteForceCost is the least cost over all ways, and whether the cheapest one rejects anything.
func bruteForceCost(p *Planner, available []float64) (cost float64, rejects bool) {
	b := &bruteForce{planner: p, available: available, hubRoom: map[int]float64{}, ingressRoom: map[int]float64{}}
	b.addSites()
	b.limitOrigin()
	if len(b.streams) == 0 {
		return 0, false
	}
	b.cost = math.Inf(1)
	b.try(0, 0, b.streams[0].units, 0, 0)
	return b.cost, b.rejects
}

func (b *bruteForce) addSites() {
	topology := b.planner.topology
	for i, site := range topology.Sites {
		if site.Hub {
			b.hubs = append(b.hubs, i)
			b.hubRoom[i] = site.Capacity * b.available[i]
			continue
		}
		b.ingressRoom[i] = site.IngressCapacity
		if site.IngressCapacity == 0 {
			b.ingressRoom[i] = math.Inf(1)
		}
		for class := range topology.Classes {
			if work := topology.fillDemand(i, class, b.available[i] == 0); work > 0 {
				b.streams = append(b.streams, wholeStream{branch: i, class: class, units: int(work + 0.5)})
			}
		}
	}
}

func (b *bruteForce) limitOrigin() {
	topology, left := b.planner.topology, 0.0
	for _, hub := range b.hubs {
		left += b.hubRoom[hub]
	}
	b.originRoom = math.Inf(1)
	switch {
	case topology.OriginCapacity > 0 && left > 0:
		b.originRoom = topology.OriginCapacity / (1 - topology.ParentHitRatio)
	case topology.OriginCapacity > 0:
		b.originRoom = topology.OriginCapacity
	}
	if left == 0 {
		b.hubs = append(b.hubs, fromOrigin)
		b.hubRoom[fromOrigin] = math.Inf(1)
	}
}

// try sends the units that are left of a stream to the hubs from one on, and then the streams behind it.
func (b *bruteForce) try(stream, hubIndex, left int, cost float64, rejected int) {
	if cost >= b.cost {
		return
	}
	if stream == len(b.streams) {
		b.cost, b.rejects = cost, rejected > 0
		return
	}
	s := b.streams[stream]
	if hubIndex == len(b.hubs) { // the rest of it is rejected
		next := 0
		if stream+1 < len(b.streams) {
			next = b.streams[stream+1].units
		}
		b.try(stream+1, 0, next, cost+float64(left)*b.planner.rejectionCost(s.class), rejected+left)
		return
	}
	hub := b.hubs[hubIndex]
	unitCost := b.unitCost(s.branch, hub)
	for units := 0; units <= left; units++ {
		amount := float64(units)
		if units > 0 && !b.fits(s.branch, hub, amount) {
			break
		}
		b.take(s.branch, hub, amount)
		b.try(stream, hubIndex+1, left-units, cost+amount*unitCost, rejected)
		b.take(s.branch, hub, -amount)
	}
}

func (b *bruteForce) take(branch, hub int, amount float64) {
	b.hubRoom[hub] -= amount
	b.ingressRoom[branch] -= amount
	b.originRoom -= amount
}

func (b *bruteForce) fits(branch, hub int, amount float64) bool {
	if b.hubRoom[hub] < amount || b.ingressRoom[branch] < amount || b.originRoom < amount {
		return false
	}
	home := b.planner.topology.Sites[branch].HomeHub
	return hub == fromOrigin || hub == home || !b.planner.isForbidden(hub, b.available)
}

// unitCost is worked out apart from Planner.routeCost.
func (b *bruteForce) unitCost(branch, hub int) float64 {
	p, topology := b.planner, b.planner.topology
	home := topology.Sites[branch].HomeHub
	switch {
	case hub == fromOrigin:
		return topology.TransitCost * p.meanValueDensity() * float64(len(b.hubs)-1)
	case home == hub || home < 0:
		return 0
	case b.hubRoom[home] > 0 || topology.Sites[home].Capacity*b.available[home] > 0: // its own hub is there
		return 0.5*p.minValueDensity() + p.meanValueDensity()*topology.TransitCost*float64(
			topology.ringDistance(home, hub),
		)
	}
	return p.meanValueDensity() * topology.TransitCost * float64(topology.ringDistance(home, hub))
}
