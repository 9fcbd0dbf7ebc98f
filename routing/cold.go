package routing

import (
	"math"
)

// The budget of servers that have started lately (slow start).

// slowStartShare is the part of its capacity that a server can give now.
func (r *Router) slowStartShare(server *serverState) float64 {
	if server.warmingUpSince == 0 || server.tier == originTier || r.now-server.warmingUpSince > server.slowStartDuration {
		server.warmingUpSince = 0
		return 1
	}
	return min(1, server.slowStartFraction+(1-server.slowStartFraction)*max(0, float64(r.now-server.warmingUpSince)/float64(server.slowStartDuration)))
}

// slowStartRate is the sending time a second that a cold server may get from us: our part of the cold budget.
func (r *Router) slowStartRate(server *serverState) float64 {
	capacity := r.meanRecentWork(server) // our part of it, in transfers
	if server.weightIsCapacity {
		capacity = server.Weight / server.sharingDirectors
	}
	return slowStartBudgetFraction * server.overloadMultiple * r.slowStartShare(server) * capacity
}

// fitsSlowStart is the cold budget of a server, as target or as source: whether work more may reach it.
func (r *Router) fitsSlowStart(server *serverState, work float64) bool {
	if server == nil || server.warmingUpSince == 0 || server.tier == originTier {
		return true
	}
	rate := r.slowStartRate(server)
	spent := server.slowStartBucket.Spent(r.now, rate)
	return spent == 0 || spent+work <= rate*r.settings.Guarantees.OverloadWindow.Seconds()/2
}

// meanRecentWork is what warm servers of like kind carry for us, in transfers: a low estimate of our part.
func (r *Router) meanRecentWork(server *serverState) float64 {
	sum, count := 0.0, 0.0
	for _, other := range r.sameTier(server) {
		if other.warmingUpSince == 0 && !other.ejected {
			sum += other.recentWork * math.Exp(-float64(r.now-other.recentWorkAt)/float64(recentWorkTimeConstant)) / recentWorkTimeConstant.Seconds()
			count++
		}
	}
	return max(unknownCapacityTransfers/float64(max(r.settings.Directors, 1)), sum/max(count, 1))
}
