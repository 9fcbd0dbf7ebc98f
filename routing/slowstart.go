package routing

import "math"

// Slow start: the budget of servers that have started lately.

// slowStartShare is the part of its capacity that a server can give now. It grows linearly from
// slowStartFraction to 1 while the server warms up.
func (r *Router) slowStartShare(server *serverState) float64 {
	age := r.now - server.warmingUpSince
	if server.warmingUpSince == 0 || server.tier == originTier || age > server.slowStartDuration {
		server.warmingUpSince = 0
		return 1
	}
	start := server.slowStartFraction
	progress := max(0, float64(age)/float64(server.slowStartDuration))
	return min(1, start+(1-start)*progress)
}

// slowStartRate is the work that a server which warms up may get from this director, in seconds of transfer
// time for each second: the director's part of what the server bears.
func (r *Router) slowStartRate(server *serverState) float64 {
	capacity := r.meanRecentWork(server)
	if server.weightIsCapacity {
		capacity = server.Weight / server.sharingDirectors
	}
	return slowStartBudgetFraction * server.overloadMultiple * r.slowStartShare(server) * capacity
}

// fitsSlowStart tells whether the slow-start budget of a server, as target or as source, has room for more
// work. A server that is warm, the origin and no server at all (nil) have no such budget.
func (r *Router) fitsSlowStart(server *serverState, work float64) bool {
	if server == nil || server.warmingUpSince == 0 || server.tier == originTier {
		return true
	}
	rate := r.slowStartRate(server)
	spent := server.slowStartBucket.Spent(r.now, rate)
	burst := rate * r.settings.Guarantees.OverloadWindow.Seconds() / 2
	return spent == 0 || spent+work <= burst
}

// meanRecentWork is a low estimate of the capacity that a server has for this director: what the warm servers
// of its tier have lately done for it, on average, in simultaneous transfers.
func (r *Router) meanRecentWork(server *serverState) float64 {
	sum, count := 0.0, 0.0
	for _, other := range r.sameTier(server) {
		if other.warmingUpSince == 0 && !other.ejected {
			decay := math.Exp(-float64(r.now-other.recentWorkAt) / float64(recentWorkTimeConstant))
			sum += other.recentWork * decay / recentWorkTimeConstant.Seconds()
			count++
		}
	}
	return max(unknownCapacityTransfers/float64(max(r.settings.Directors, 1)), sum/max(count, 1))
}
