package routing

import (
	"math"
)

// The budget of servers that have started lately (slow start).

// slowStartShare is the part of its capacity that a server can give now.
func (d *Router) slowStartShare(s *serverState) float64 {
	if s.warmingUpSince == 0 || s.tier == originTier || d.now-s.warmingUpSince > s.slowStartDuration {
		s.warmingUpSince = 0
		return 1
	}
	return min(1, s.slowStartFraction+(1-s.slowStartFraction)*max(0, float64(d.now-s.warmingUpSince)/float64(s.slowStartDuration)))
}

// slowStartRate is the sending time a second that a cold server may get from us: our part of the cold budget.
func (d *Router) slowStartRate(s *serverState) float64 {
	capacity := d.meanRecentWork(s) // our part of it, in transfers
	if s.weightIsCapacity {
		capacity = s.Weight / s.sharingDirectors
	}
	return slowStartBudgetFraction * s.overloadMultiple * d.slowStartShare(s) * capacity
}

// fitsSlowStart is the cold budget of a server, as target or as source: whether work more may reach it.
func (d *Router) fitsSlowStart(s *serverState, work float64) bool {
	if s == nil || s.warmingUpSince == 0 || s.tier == originTier {
		return true
	}
	rate := d.slowStartRate(s)
	spent := s.slowStartBucket.Spent(d.now, rate)
	return spent == 0 || spent+work <= rate*d.settings.Guarantees.OverloadWindow.Seconds()/2
}

// meanRecentWork is what warm servers of like kind carry for us, in transfers: a low estimate of our part.
func (d *Router) meanRecentWork(s *serverState) float64 {
	sum, n := 0.0, 0.0
	for _, o := range d.sameTier(s) {
		if o.warmingUpSince == 0 && !o.ejected {
			sum += o.recentWork * math.Exp(-float64(d.now-o.recentWorkAt)/float64(recentWorkTimeConstant)) / recentWorkTimeConstant.Seconds()
			n++
		}
	}
	return max(unknownCapacityTransfers/float64(max(d.settings.Directors, 1)), sum/max(n, 1))
}
