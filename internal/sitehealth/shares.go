package sitehealth

import "cmp"

const (
	defaultRecoveryRate  = 0.25 // share of a hub's objects that returns to it within a second
	initialRecoveryShare = 0.1  // share of its load that a recovering site gets at once
)

// updateWeightFactors works out how much of our branch's fills each hub attracts. Parents of the branch's own hub count
// with their weight, those of other hubs not at all, but for the share that the own hub does not get: the plan says how
// the others divide that. Objects are placed by a hash in which these weights count, so that a change moves only the
// objects that have to move.
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

// refreshShares asks the plan, but only if what it is asked with has changed: a plan takes far longer than a tick may.
func (m *Monitor) refreshShares() {
	if m.Plan == nil {
		return
	}
	current := m.sharesCurrent
	for zone := range m.sites {
		site := &m.sites[zone]
		// Our hub counts as lost also while it recovers: the share that it does not get yet goes where all of it went.
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

// WeightFactor is what the weights of a zone's parents are multiplied with for the objects of our branch; 0: they are
// used after all others only.
func (m *Monitor) WeightFactor(zone int) float64 {
	if zone < 0 || zone >= len(m.weightFactors) {
		return 0
	}
	return m.weightFactors[zone]
}

// FillShare is the share of a class's fills that may go on to the origin, by the plan and by the rate at which a lost
// hub's objects move to other hubs, which hold none of them yet.
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

// CapacityShare is the share of its usual load that a site may get now, from 0 to 1. A site that is back in part gets
// the share of its servers that are ready and have not failed.
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
		return min(m.recoveryShare(now, site), max(site.presentShare(now), initialRecoveryShare))
	default:
		// It still holds its objects: to spread them now would have other caches fetch them once more.
		return max(site.presentShare(now), initialRecoveryShare)
	}
}

// recoveryShare is the share of its load that a recovering hub may have by the time since it came back.
func (m *Monitor) recoveryShare(now Time, hub *site) float64 {
	return min(1, initialRecoveryShare+cmp.Or(m.ShiftRate, defaultRecoveryRate)*(now-hub.since).Seconds())
}
