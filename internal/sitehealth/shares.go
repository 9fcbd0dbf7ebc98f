package sitehealth

import "cmp"

const (
	defaultRecoveryRate  = 0.25 // share of a hub's objects that returns to it per second
	initialRecoveryShare = 0.1  // share of its load that a recovering site gets immediately
)

// updateWeightFactors computes the weight factor of each zone, which determines the share of our branch's fills that
// the parents of the zone attract. The factor of the own hub is the share of its load that the hub may get now. The
// other hubs divide the rest in the shares of the plan; their factor is 0 while the own hub gets its whole load.
// Objects are placed by a hash that depends on the weights, so that a change moves only the objects that have to move.
func (m *Monitor) updateWeightFactors(now Time) {
	hub := m.config.HubZone
	ownShare := m.CapacityShare(now, hub)
	clear(m.weightFactors)
	m.weightFactors[hub] = ownShare
	if ownShare >= 1 {
		m.shares, m.sharesCurrent = FailoverShares{}, false
		return
	}
	m.refreshShares()
	hubCapacity := max(m.sites[hub].capacity, 1)
	for zone := range m.sites {
		share, capacity := 1.0, m.sites[zone].capacity
		if len(m.shares.HubShares) == len(m.sites) {
			share = m.shares.HubShares[zone]
		}
		if zone != hub && capacity > 0 {
			m.weightFactors[zone] = (1 - ownShare) * share * m.CapacityShare(now, zone) * hubCapacity / capacity
		}
	}
}

// refreshShares calls the plan once for each loss of our hub, and again when the set of lost zones or a capacity
// changes before the hub has its whole load again. It does not call the plan at each tick, because a plan takes far
// longer than a tick may take. It must be called only while our hub gets less than its whole load.
func (m *Monitor) refreshShares() {
	if m.Plan == nil {
		return
	}
	current := m.sharesCurrent
	for zone := range m.sites {
		site := &m.sites[zone]
		// Our hub also counts as lost while it recovers: the share of its load that it does not get yet stays with the
		// hubs that took over its fills when it was lost.
		lost := site.state.unavailable() || zone == m.config.HubZone
		current = current && lost == site.plannedLost && site.capacity == site.plannedCapacity
		site.plannedLost, site.plannedCapacity = lost, site.capacity
	}
	if current {
		return
	}
	var lostZones []int
	capacities := make([]float64, len(m.sites))
	for zone := range m.sites {
		capacities[zone] = m.sites[zone].capacity
		if m.sites[zone].plannedLost {
			lostZones = append(lostZones, zone)
		}
	}
	m.shares, m.sharesCurrent = m.Plan(lostZones, capacities), true
}

// WeightFactor returns the factor by which the weights of a zone's parents are multiplied for the objects of our
// branch. Parents with the factor 0 are used only after all others.
func (m *Monitor) WeightFactor(zone int) float64 {
	if zone < 0 || zone >= len(m.weightFactors) {
		return 0
	}
	return m.weightFactors[zone]
}

// FillShare returns the share of a class's fills that may go on to the origin. FillShares of the plan limits this
// share. If ShiftRate is positive and our hub is lost, the share is also at most ShiftRate times the seconds since the
// hub's last transition: the objects of the hub move to other hubs, which hold none of them yet and have to fill them.
func (m *Monitor) FillShare(now Time, class int) float64 {
	share := 1.0
	if class < len(m.shares.FillShares) {
		share = m.shares.FillShares[class]
	}
	hub := &m.sites[m.config.HubZone]
	if m.ShiftRate > 0 && hub.state.unavailable() {
		share = min(share, m.ShiftRate*(now-hub.since).Seconds())
	}
	return share
}

// CapacityShare returns the share of its usual load, from 0 to 1, that a site may get now. A recovering site gets the
// share of its servers that are ready and have had no failed connect lately, but at least initialRecoveryShare. If
// servers of the site started during the loss or the recovery, recoveryShare limits that share further.
func (m *Monitor) CapacityShare(now Time, zone int) float64 {
	if zone < 0 || zone >= len(m.sites) {
		return 0
	}
	site := &m.sites[zone]
	switch {
	case !site.everReady, site.state == Healthy, site.state == Degraded:
		return 1
	case site.state.unavailable():
		return 0
	case site.restarted:
		return min(m.recoveryShare(now, site), max(site.availableShare(now), initialRecoveryShare))
	default:
		// The site still holds its objects. With a smaller share, other caches would have to fetch them again.
		return max(site.availableShare(now), initialRecoveryShare)
	}
}

// recoveryShare returns the share of its load that a recovering site may get, which grows with the time since its
// recovery began.
func (m *Monitor) recoveryShare(now Time, recovering *site) float64 {
	return min(1, initialRecoveryShare+cmp.Or(m.ShiftRate, defaultRecoveryRate)*(now-recovering.since).Seconds())
}
