package failover

import "math"

// epsilon is what counts as nothing: capacities are transfers, of which there are hundreds at the most.
const epsilon = 1e-9

// flowNetwork is a graph through which as much as possible is sent from its first node to its second, at the least cost.
// Nodes and arcs are tried in the order in which they were made, so that all who build the same one get the same
// answer. Networks here have some tens of arcs: successive shortest paths, found by relaxing all arcs, do.
type flowNetwork struct {
	nodes int
	arcs  []arc // each followed by its reverse
}

type arc struct {
	from, to       int
	residual, cost float64
}

func (n *flowNetwork) addNode() int {
	n.nodes++
	return n.nodes - 1
}

// addArc adds one and returns its place; sent tells later what runs over it.
func (n *flowNetwork) addArc(from, to int, room, cost float64) int {
	n.arcs = append(n.arcs, arc{from, to, room, cost}, arc{to, from, 0, -cost})
	return len(n.arcs) - 2
}

// flowOn is what runs over an arc.
func (n *flowNetwork) flowOn(i int) float64 { return n.arcs[i^1].residual }

// minCostMaxFlow sends all that goes from node 0 to node 1 and returns what that costs.
func (n *flowNetwork) minCostMaxFlow() (cost float64) {
	dist, by := make([]float64, n.nodes), make([]int, n.nodes)
	for {
		for i := range dist {
			dist[i], by[i] = math.Inf(1), -1
		}
		dist[0] = 0
		for changed, round := true, 0; changed && round <= n.nodes; round++ {
			changed = false
			for i, a := range n.arcs {
				if a.residual > epsilon && dist[a.from]+a.cost < dist[a.to]-epsilon {
					dist[a.to], by[a.to], changed = dist[a.from]+a.cost, i, true
				}
			}
		}
		if by[1] < 0 {
			return cost
		}
		room := math.Inf(1)
		for v := 1; v != 0; v = n.arcs[by[v]].from {
			room = min(room, n.arcs[by[v]].residual)
		}
		for v := 1; v != 0; v = n.arcs[by[v]].from {
			n.arcs[by[v]].residual -= room
			n.arcs[by[v]^1].residual += room
		}
		cost += room * dist[1]
	}
}
