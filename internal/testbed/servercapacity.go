package testbed

import "time"

// collapseTolerance is the multiple of its budget at which a cold server collapses. The checker, not the server,
// enforces the exact budget.
const collapseTolerance = 1.5

// reserveTransfer adds one transfer to the link and returns the time that the transfer takes at the current load,
// latency included. The caller decrements activeTransfers when the transfer ends.
func (s *server) reserveTransfer(work float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeTransfers++
	slowdown := max(1, float64(s.activeTransfers)/(s.spec.Weight*s.capacityShare()))
	return time.Duration((work*slowdown + s.spec.LatencyMS/1000) * float64(time.Second))
}

// capacityShare returns the fraction of its link, up to 1, that the server can use now. The caller holds s.mu.
func (s *server) capacityShare() float64 {
	ramp := time.Duration(s.spec.RampMS * float64(time.Millisecond))
	if !s.cold || ramp == 0 {
		return 1
	}
	return min(1, s.spec.ColdFrom+(1-s.spec.ColdFrom)*float64(time.Since(s.startedAt))/float64(ramp))
}

// admitWork counts arrived work, in seconds of transfer at full rate, and reports whether the server has not collapsed.
// A cold server collapses if the work within spec.FallMS exceeds spec.Multiple times what its current capacity can
// carry in that time, multiplied by collapseTolerance.
func (s *server) admitWork(work float64) bool {
	collapsed, justCollapsed := s.countWork(work)
	if justCollapsed {
		s.stop("fell over")
	}
	return !collapsed
}

// countWork adds arrived work to the window of a cold server. It returns whether the server has collapsed, and whether
// this work made it collapse.
func (s *server) countWork(work float64) (collapsed, justCollapsed bool) {
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

// setCapacityFactor sets the factor by which the rate limit of the origin is multiplied.
func (s *server) setCapacityFactor(factor float64) {
	s.update(func() { s.capacityFactor = factor })
}

// update calls f with s.mu held.
func (s *server) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}
