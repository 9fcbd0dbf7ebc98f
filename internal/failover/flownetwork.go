package failover

import "math"

// epsilon is the amount up to which flows, capacities, shares and differences of costs count as zero. Capacities of
// real sites are at most some hundreds of transfers.
const epsilon = 1e-9

const (
	sourceNode = 0  // node that is added first
	sinkNode   = 1  // node that is added second
	noArc      = -1 // index that stands for no arc
)

// flowNetwork is a minimum-cost maximum-flow problem. Its first node is the source and its second node the sink. Arcs
// are examined in the order in which they were added, so that equal networks have equal results on all directors.
// Networks have up to some hundreds of arcs, for which successive shortest paths with Bellman-Ford are fast enough
// (Ahuja, Magnanti, Orlin: Network Flows, section 9.7).
type flowNetwork struct {
	nodes int
	arcs  []arc // each is followed by its reverse arc
}

// arc is a directed arc of the residual network: residual is its remaining capacity, cost the cost of a unit.
type arc struct {
	from, to       int
	residual, cost float64
}

// addNode adds a node and returns its number.
func (n *flowNetwork) addNode() int {
	n.nodes++
	return n.nodes - 1
}

// addArc adds an arc and its reverse arc, and returns the index of the arc, which flowOn takes.
func (n *flowNetwork) addArc(from, to int, capacity, cost float64) int {
	forward := arc{from: from, to: to, residual: capacity, cost: cost}
	backward := arc{from: to, to: from, residual: 0, cost: -cost}
	n.arcs = append(n.arcs, forward, backward)
	return len(n.arcs) - 2
}

// flowOn returns the flow on an arc after minCostMaxFlow.
func (n *flowNetwork) flowOn(index int) float64 { return n.arcs[reverse(index)].residual }

// reverse returns the index of the reverse arc.
func reverse(index int) int { return index ^ 1 }

// minCostMaxFlow sends the maximum flow from source to sink at the minimum cost, and returns that cost.
func (n *flowNetwork) minCostMaxFlow() float64 {
	cost := 0.0
	distances, arcInto := make([]float64, n.nodes), make([]int, n.nodes)
	for {
		n.shortestPaths(distances, arcInto)
		if arcInto[sinkNode] == noArc {
			return cost
		}
		cost += n.augment(arcInto) * distances[sinkNode]
	}
}

// shortestPaths sets, for each node, its distance from the source (+Inf: unreachable) and the last arc of the shortest
// path to it (noArc: none).
func (n *flowNetwork) shortestPaths(distances []float64, arcInto []int) {
	for node := range distances {
		distances[node], arcInto[node] = math.Inf(1), noArc
	}
	distances[sourceNode] = 0
	changed := true
	for round := 0; changed && round <= n.nodes; round++ {
		changed = false
		for i, a := range n.arcs {
			if a.residual > epsilon && distances[a.from]+a.cost < distances[a.to]-epsilon {
				distances[a.to], arcInto[a.to] = distances[a.from]+a.cost, i
				changed = true
			}
		}
	}
}

// augment sends the largest possible flow along the shortest path from the source to the sink, and returns the amount
// of that flow. arcInto holds the last arc of the shortest path to each node, as shortestPaths sets it.
func (n *flowNetwork) augment(arcInto []int) float64 {
	amount := math.Inf(1)
	for node := sinkNode; node != sourceNode; node = n.arcs[arcInto[node]].from {
		amount = min(amount, n.arcs[arcInto[node]].residual)
	}
	for node := sinkNode; node != sourceNode; node = n.arcs[arcInto[node]].from {
		n.arcs[arcInto[node]].residual -= amount
		n.arcs[reverse(arcInto[node])].residual += amount
	}
	return amount
}
