package routing

import "math"

// Slow start: a budget that limits the work of servers that have recently started.

// slowStartShare returns the fraction of its capacity that a server has now. It grows linearly from the
// server's slowStartFraction to 1 while the server warms up. Once the time for warming up is over,
// slowStartShare marks the server as warm.
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

// slowStartRate returns the rate of work that this director may send to a server that is warming up, in
// seconds of transfer time per second: the director's share of the load that the server can handle, multiplied
// by slowStartBudgetFraction.
func (r *Router) slowStartRate(server *serverState) float64 {
	capacity := r.meanRecentWork(server)
	if server.weightIsCapacity {
		capacity = server.Weight / server.sharingDirectors
	}
	return slowStartBudgetFraction * server.overloadMultiple * r.slowStartShare(server) * capacity
}

// fitsSlowStart reports whether the slow-start budget of a server, as target or as source, has room for
// additional work. A budget of which nothing is spent has room for any work. Warm servers and the origin have
// no such budget, so fitsSlowStart returns true for them, and also for nil.
func (r *Router) fitsSlowStart(server *serverState, work float64) bool {
	if server == nil || server.warmingUpSince == 0 || server.tier == originTier {
		return true
	}
	rate := r.slowStartRate(server)
	spent := server.slowStartBucket.Spent(r.now, rate)
	burst := rate * r.settings.Guarantees.OverloadWindow.Seconds() / 2
	return spent == 0 || spent+work <= burst
}

// meanRecentWork returns a low estimate of the capacity that a server has for this director, in simultaneous
// transfers: the mean of the recent work of the warm servers of its tier for this director, without ejected
// servers, and at least this director's part of unknownCapacityTransfers.
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
