package failover

import "math"

// epsilon is what counts as nothing: capacities are transfers, of which there are hundreds at the most.
const epsilon = 1e-9

const (
	sourceNode = 0
	sinkNode   = 1
	noArc      = -1
)

// flowNetwork is a graph through which as much as possible is sent from its first node to its second, at the least
// cost. Nodes and arcs are tried in the order in which they were added, so that all who build the same network get the
// same result. Networks here have some tens of arcs, so plain successive shortest paths with Bellman-Ford will do
// (Ahuja, Magnanti, Orlin: Network Flows, section 9.7).
type flowNetwork struct {
	nodes int
	arcs  []arc // each followed by its reverse
}

type arc struct {
	from, to       int
	residual, cost float64
}

// addNode adds a node and returns its number.
func (n *flowNetwork) addNode() int {
	n.nodes++
	return n.nodes - 1
}

// addArc adds an arc and returns its index, for flowOn.
func (n *flowNetwork) addArc(from, to int, capacity, cost float64) int {
	forward := arc{from: from, to: to, residual: capacity, cost: cost}
	backward := arc{from: to, to: from, residual: 0, cost: -cost}
	n.arcs = append(n.arcs, forward, backward)
	return len(n.arcs) - 2
}

// flowOn is what runs over an arc once the network is solved.
func (n *flowNetwork) flowOn(index int) float64 { return n.arcs[reverse(index)].residual }

// reverse is the index of the arc in the other direction.
func reverse(index int) int { return index ^ 1 }

// minCostMaxFlow sends all that goes from source to sink and returns what that costs.
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

// shortestPaths fills in, for each node, its distance from the source and the arc by which it is reached.
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

// augment sends as much as fits along the path to the sink, and returns how much that is.
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
