package testbed

import "time"

// collapseTolerance is by how much a server bears more than its budget: the rule's own budget is the checker's.
const collapseTolerance = 1.5

// reserveTransfer reserves the link for one answer, and returns how long that takes on it as full as it is now.
func (s *server) reserveTransfer(work float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeTransfers++
	slowdown := max(1, float64(s.activeTransfers)/(s.spec.Weight*s.capacityShare()))
	return time.Duration((work*slowdown + s.spec.LatencyMS/1000) * float64(time.Second))
}

// capacityShare is the share of its link that the server can give now. It is called with the lock held.
func (s *server) capacityShare() float64 {
	ramp := time.Duration(s.spec.RampMS * float64(time.Millisecond))
	if !s.cold || ramp == 0 {
		return 1
	}
	return min(1, s.spec.ColdFrom+(1-s.spec.ColdFrom)*float64(time.Since(s.startedAt))/float64(ramp))
}

// admitWork counts work that has arrived. A cold server that gets more than its multiple of what it can do now, over
// the time of its fall, collapses; false: it has.
func (s *server) admitWork(work float64) bool {
	collapsed, justNow := s.countWork(work)
	if justNow {
		s.stop("fell over")
	}
	return !collapsed
}

func (s *server) countWork(work float64) (collapsed, justNow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.collapsed {
		return true, false
	}
	share := s.capacityShare()
	if s.tier == originTier || share >= 1 {
		return false, false
	}
	window := time.Duration(s.spec.FallMS * float64(time.Millisecond))
	now := time.Now()
	s.recentArrivals = append(s.recentArrivals, arrival{at: now, work: work})
	for now.Sub(s.recentArrivals[0].at) > window {
		s.recentArrivals = s.recentArrivals[1:]
	}
	sum := 0.0
	for _, a := range s.recentArrivals {
		sum += a.work
	}
	s.collapsed = sum > s.spec.Multiple*s.spec.Weight*share*window.Seconds()*collapseTolerance
	return s.collapsed, s.collapsed
}

// setCapacityFactor sets the share of its capacity that the origin has.
func (s *server) setCapacityFactor(factor float64) {
	s.update(func() { s.capacityFactor = factor })
}

// update changes the server under its lock.
func (s *server) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}
