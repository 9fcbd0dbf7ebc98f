package sitehealth

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

const (
	probeInterval = 500 * time.Millisecond // time between two probes of a server while our branch is unavailable

	popularUses   = 2   // uses at which an object counts as popular
	unpopularCost = 4.0 // AdmissionCost of a request for an object that is not popular

	originSlowBelow   = 0.5 // share of the fills that may go on to the origin, below which the origin counts as slow
	originHealthyFrom = 1.0 // share from which the origin counts as healthy again
)

// selfZone is the zone number that stands for the director itself in calls of recordChange.
const selfZone = -1

// Config describes the sites and the position of the director among them.
type Config struct {
	ZoneNames []string // names of the sites, by zone
	OwnZone   int      // zone of the director's own branch
	HubZone   int      // zone of the hub that the branch is attached to
}

// FailoverShares holds how the load of lost sites is distributed. If HubShares is empty, the remaining hubs share the
// load evenly; if FillShares is empty, all fills are made.
type FailoverShares struct {
	HubShares  []float64 // share of our branch's fills that each hub takes over, by zone
	FillShares []float64 // share of the fills that are made, by class of requests
}

// PlanFunc returns the failover shares for a set of lost zones. capacities holds the capacity of each zone, by zone,
// with all of the zone's servers present.
type PlanFunc func(lostZones []int, capacities []float64) FailoverShares

// Options holds the settings that an installation may change. The zero value uses no plan.
type Options struct {
	// Plan, if set, decides how the other hubs share the load of a lost hub. Otherwise they share it evenly.
	Plan PlanFunc
	// DiscoveryStale, if set, reports whether the director receives no events from the discovery service.
	DiscoveryStale func() bool
	// ShiftRate, if positive, is the largest share of a hub's traffic that moves within a second, away from the hub or
	// back to it. Otherwise the traffic of a lost hub moves at once, limited only by the origin shield, and returns at
	// defaultRecoveryRate.
	ShiftRate float64
	// MinLostTime, if positive, replaces remoteHoldoff as the shortest time for which a site other than our own branch
	// stays lost.
	MinLostTime time.Duration
}

// Monitor tracks the states of all sites, as one director observes them. It is not safe for concurrent use.
type Monitor struct {
	Options // set before the first observation

	config        Config
	sites         []site    // by zone
	weightFactors []float64 // by zone
	shares        FailoverShares
	sharesCurrent bool // shares is the result of the plan for plannedLost and plannedCapacity of the sites

	lastResponse Time // latest response of any server
	firstFailure Time // first failure since lastResponse; 0: none

	isolated      bool // no server responds to this director
	isolatedSince Time
	originState   State
	changes       []StateChange // since the last call of Tick

	Counters Counters
}

// New returns a monitor in which all sites are healthy.
func New(config Config) *Monitor {
	zones := max(len(config.ZoneNames), config.OwnZone+1, config.HubZone+1)
	m := &Monitor{config: config, sites: make([]site, zones), weightFactors: make([]float64, zones)}
	m.weightFactors[config.HubZone] = 1
	return m
}

// Tick updates the states of all sites and calls report for each change since the last call of Tick. It is meant to be
// called about twenty times per second. originShare is the share of the fills that may go on to the origin.
func (m *Monitor) Tick(now Time, originShare float64, report func(StateChange)) {
	m.evaluateOrigin(originShare)
	m.detectIsolation(now)
	for zone := range m.sites {
		if m.sites[zone].everReady {
			m.evaluateSite(now, zone)
		}
	}
	m.updateWeightFactors(now)
	for _, change := range m.changes {
		report(change)
	}
	m.changes = m.changes[:0]
}

// evaluateOrigin updates the state of the origin. originShare is the share of the fills that may go on to the origin.
// If this share falls below originSlowBelow, the origin becomes Slow. Once the share is at least originHealthyFrom, the
// origin becomes Healthy again.
func (m *Monitor) evaluateOrigin(originShare float64) {
	switch {
	case m.originState == Healthy && originShare < originSlowBelow:
		m.originState = Slow
		m.Counters.OriginSlowdowns++
		evidence := fmt.Sprintf("%.2f of the fills go on to it", originShare)
		m.changes = append(m.changes, StateChange{Site: "origin", From: Healthy, To: Slow, Evidence: evidence})
	case m.originState == Slow && originShare >= originHealthyFrom:
		m.originState = Healthy
		evidence := "all fills go on to it"
		m.changes = append(m.changes, StateChange{Site: "origin", From: Slow, To: Healthy, Evidence: evidence})
	}
}

// recordChange stores a state change, which the next call of Tick reports. The zone may be selfZone.
func (m *Monitor) recordChange(zone int, from, to State, evidence string) {
	name := ""
	if zone != selfZone {
		name = m.zoneName(zone)
	}
	m.changes = append(m.changes, StateChange{Site: name, From: from, To: to, Evidence: evidence})
}

func (m *Monitor) zoneName(zone int) string {
	if zone >= 0 && zone < len(m.config.ZoneNames) {
		return m.config.ZoneNames[zone]
	}
	return fmt.Sprint("zone ", zone)
}

// State returns the state of a site and the time of its last transition.
func (m *Monitor) State(zone int) (State, Time) { return m.sites[zone].state, m.sites[zone].since }

// Isolated reports whether the director itself is cut off from all servers.
func (m *Monitor) Isolated() bool { return m.isolated }

// OwnBranchUnavailable reports whether no request of our branch's clients can be served, because the caches of the
// branch are lost or the director is isolated. Probes continue meanwhile, and their responses end that condition.
func (m *Monitor) OwnBranchUnavailable() bool {
	return m.isolated || m.sites[m.config.OwnZone].state.unavailable()
}

// AdmissionCost returns the factor by which the caller multiplies a request's work when it checks whether the
// slow-start budget of a cache of our branch has room for the request. uses is the number of requests for the object so
// far. While the branch recovers, the factor is unpopularCost for objects with fewer than popularUses uses, so that the
// budget has room for popular objects. Otherwise, and for uncacheable requests, which run at the origin, it is 1.
func (m *Monitor) AdmissionCost(uses int, uncacheable bool) float64 {
	if uses < popularUses && !uncacheable && m.sites[m.config.OwnZone].state == Recovering {
		return unpopularCost
	}
	return 1
}

// MaxProbeInterval returns the upper bound of the time between two probes of a server. While our branch is unavailable,
// the bound is short: the response of one server is evidence about all servers of the branch, so that frequent probes
// are worth their cost. Otherwise the bound is the largest possible time.
func (m *Monitor) MaxProbeInterval() time.Duration {
	if m.OwnBranchUnavailable() {
		return probeInterval
	}
	return math.MaxInt64
}

// MinTimeUntilRecovery returns the time after which a client that was rejected because a site is lost should retry at
// the earliest. This is the rest of the site's holdoff, in which no recovery starts, but at least probeInterval/2. The
// result is 0 for a site that is not lost.
func (m *Monitor) MinTimeUntilRecovery(now Time, zone int) time.Duration {
	site := &m.sites[zone]
	if !site.state.unavailable() {
		return 0
	}
	return max(probeInterval/2, site.since+site.holdoff-now)
}

// initialHoldoff returns the holdoff of a site after a loss that is not a relapse.
func (m *Monitor) initialHoldoff(zone int) time.Duration {
	if zone == m.config.OwnZone {
		return ownBranchHoldoff
	}
	return cmp.Or(m.MinLostTime, remoteHoldoff)
}
