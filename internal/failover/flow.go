package failover

import "math"

// whole is what counts as nothing: capacities are transfers, of which there are hundreds at the most.
const whole = 1e-9

// network is a graph through which as much as possible is sent from its first node to its second, at the least cost.
// Nodes and arcs are tried in the order in which they were made, so that all who build the same one get the same
// answer. Networks here have some tens of arcs: successive shortest paths, found by relaxing all arcs, do.
type network struct {
	nodes int
	arcs  []arc // each followed by its reverse
}

type arc struct {
	from, to   int
	room, cost float64
}

func (n *network) node() int {
	n.nodes++
	return n.nodes - 1
}

// arc adds one and returns its place; sent tells later what runs over it.
func (n *network) arc(from, to int, room, cost float64) int {
	n.arcs = append(n.arcs, arc{from, to, room, cost}, arc{to, from, 0, -cost})
	return len(n.arcs) - 2
}

// sent is what runs over an arc.
func (n *network) sent(i int) float64 { return n.arcs[i^1].room }

// solve sends all that goes from node 0 to node 1 and returns what that costs.
func (n *network) solve() (cost float64) {
	dist, by := make([]float64, n.nodes), make([]int, n.nodes)
	for {
		for i := range dist {
			dist[i], by[i] = math.Inf(1), -1
		}
		dist[0] = 0
		for changed, round := true, 0; changed && round <= n.nodes; round++ {
			changed = false
			for i, a := range n.arcs {
				if a.room > whole && dist[a.from]+a.cost < dist[a.to]-whole {
					dist[a.to], by[a.to], changed = dist[a.from]+a.cost, i, true
				}
			}
		}
		if by[1] < 0 {
			return cost
		}
		room := math.Inf(1)
		for v := 1; v != 0; v = n.arcs[by[v]].from {
			room = min(room, n.arcs[by[v]].room)
		}
		for v := 1; v != 0; v = n.arcs[by[v]].from {
			n.arcs[by[v]].room -= room
			n.arcs[by[v]^1].room += room
		}
		cost += room * dist[1]
	}
}
