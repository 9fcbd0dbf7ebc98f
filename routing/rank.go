package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// The order in which servers are tried for an object.

// rank orders a group of servers by weighted rendezvous hashing of the object (highest random weight; Thaler
// and Ravishankar, "Using name-based mappings to increase hit rates", 1998), which keeps an object at its
// server when other servers are added or removed. In a group of upstreams, parents whose hub has a share of
// the objects come first, then the other parents, then the origin.
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

// rendezvousScore returns -weight/ln(u), where u is a hash of object and host in the interval (0, 1). With
// this score, the fraction of the objects for which a host has the highest score is proportional to its
// weight.
func rendezvousScore(object uint64, host Host, weight float64) float64 {
	var hash rand.PCG
	hash.Seed(object, uint64(host))
	uniform := (float64(hash.Uint64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// parentScore returns a parent's score multiplied by the share of the objects that its hub receives. A parent
// whose hub has no share ranks after all others, except that an ejected parent of the director's hub ranks
// first when its half-open probe is due.
func (r *Router) parentScore(parent *serverState, score float64) float64 {
	if share := r.sites.WeightFactor(parent.Zone); share > 0 {
		return score * share
	}
	ownHub := r.settings.Tiers.HubByZone[r.settings.Zone]
	if parent.Zone == ownHub && r.mayProbe(parent) {
		return math.Inf(1) // the director's hub is lost: the next request is the half-open probe
	}
	return -1 / score // negative, and increasing with score
}

// effectiveWeight returns the present weight of a server relative to other servers of its tier. The weight of a
// cache decreases with the excess of its latency ratio over that of the fastest third of the local caches. A
// cause that slows all caches down, such as a slow origin or a full link, therefore moves no objects.
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
