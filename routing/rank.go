package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// The order in which servers are asked for an object.

// rank orders a group of servers by weighted rendezvous hashing of the object (highest random weight; Thaler
// and Ravishankar, "Using name-based mappings to increase hit rates", 1998). An object so stays with its
// server while others come and go. In a group of upstreams, parents that get a share of the objects come
// first, then other parents, then the origin.
func (r *Router) rank(group []*serverState, object uint64) {
	for _, server := range group {
		score := rendezvousScore(object, server.Host, r.effectiveWeight(server))
		switch server.tier {
		case originTier:
			score = math.Inf(-1)
		case parentTier:
			score = r.parentScore(server, score)
		}
		server.rankScore = score
	}
	slices.SortFunc(group, func(a, b *serverState) int {
		return cmp.Or(cmp.Compare(b.rankScore, a.rankScore), cmp.Compare(a.Host, b.Host))
	})
}

// rendezvousScore is -weight/ln(u) for a u in (0, 1) that is a hash of object and host: each host of a group
// then has the highest score for a part of the objects that is proportional to its weight.
func rendezvousScore(object uint64, host Host, weight float64) float64 {
	var hash rand.PCG
	hash.Seed(object, uint64(host))
	uniform := (float64(hash.Uint64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// parentScore weighs a parent's score with the share of the objects that its hub gets.
func (r *Router) parentScore(parent *serverState, score float64) float64 {
	if share := r.sites.WeightFactor(parent.Zone); share > 0 {
		return score * share
	}
	ownHub := r.settings.Tiers.HubByZone[r.settings.Zone]
	if parent.Zone == ownHub && r.mayProbe(parent) {
		return math.Inf(1) // our hub is lost: the next request is the half-open probe
	}
	return -1 / score // negative, in the same order
}

// effectiveWeight is what a server can take now, compared with others of its tier. A cache that answers more
// slowly than the faster third of its zone loses weight by degrees. What slows all of them down, such as a
// slow origin or a full link, moves nothing.
func (r *Router) effectiveWeight(server *serverState) float64 {
	weight := r.slowStartShare(server)
	if server.weightIsCapacity {
		weight *= server.Weight
	}
	if server.tier == edgeTier {
		excess := max(0, server.logLatencyRatio-r.baselineLogLatencyRatio-latencyRatioTolerance)
		weight *= math.Exp(-latencyRatioPenalty * excess)
	}
	return weight
}
