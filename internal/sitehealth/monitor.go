package sitehealth

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

const (
	probeInterval = 500 * time.Millisecond // between two probes of a server of our lost branch

	popularUses   = 2   // uses of an object from which on it counts as popular
	unpopularCost = 4.0 // multiple of its work that a request for any other object must find room for

	originSlowBelow   = 0.5 // share of the fills that go on to the origin, below which it is called slow
	originHealthyFrom = 1.0 // share from which on it is called healthy again
)

// self is the zone that recordChange takes for the director itself.
const self = -1

// Config is the place of the director among the sites.
type Config struct {
	ZoneNames []string // by zone
	OwnZone   int      // the director's own branch
	HubZone   int      // the hub that the branch is attached to
}

// FailoverShares say how the load of lost sites is spread. An empty list leaves its part undecided: the remaining hubs
// share evenly, and all fills are made.
type FailoverShares struct {
	HubShares  []float64 // by zone: the share of our branch's fills that a hub takes over
	FillShares []float64 // by class of requests: the share of the fills that is made
}

// PlanFunc gives the shares for a set of lost zones. The capacities are those of all zones with all of their servers
// there.
type PlanFunc func(lostZones []int, capacities []float64) FailoverShares

// Options are what an installation may set. The zero value follows no plan.
type Options struct {
	// Plan, if set, decides how other hubs share the load of a lost one; otherwise they share evenly.
	Plan PlanFunc
	// DiscoveryStale, if set, reports whether the list service is silent as well.
	DiscoveryStale func() bool
	// ShiftRate, if above 0, is the share of a site's traffic that moves within a second at most, away from it and
	// back. Otherwise traffic of a lost hub moves at once, with the origin shield as its guard, and returns at
	// defaultRecoveryRate.
	ShiftRate float64
	// MinLostTime, if above 0, is how long another site stays lost at the least, in place of remoteHoldoff.
	MinLostTime time.Duration
}

// Monitor holds the states of all sites, as one director sees them. It is not safe for concurrent use.
type Monitor struct {
	Options // set before the first observation

	config        Config
	sites         []site    // by zone
	weightFactors []float64 // by zone
	shares        FailoverShares
	sharesCurrent bool // shares are the plan's for the planned values of the sites

	lastResponse Time // from any server
	firstFailure Time // since lastResponse; 0: none

	isolated      bool // nobody answers this director
	isolatedSince Time
	originState   State
	changes       []StateChange // since the last call of Tick

	Counters Counters
}

// New returns a monitor that takes all sites for healthy.
func New(config Config) *Monitor {
	zones := max(len(config.ZoneNames), config.OwnZone+1, config.HubZone+1)
	m := &Monitor{config: config, sites: make([]site, zones), weightFactors: make([]float64, zones)}
	m.weightFactors[config.HubZone] = 1
	return m
}

// Tick brings the states up to date and reports what has changed since its last call. It is meant to be called some
// twenty times a second. originShare is the share of the fills that go on to the origin.
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

// recordChange keeps a change for the next Tick to report. The zone may be self.
func (m *Monitor) recordChange(zone int, from, to State, evidence string) {
	name := ""
	if zone != self {
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

// OwnBranchUnavailable reports whether nothing can be done for the clients of our branch, because its caches are lost
// or the director is isolated. Probes go on at all times: they find out when it is over.
func (m *Monitor) OwnBranchUnavailable() bool {
	return m.isolated || m.sites[m.config.OwnZone].state.unavailable()
}

// AdmissionCost is the multiple of its work that a request must find room for in the slow-start budget of a cache of
// our branch. While the branch recovers, requests for objects used once leave room for popular ones; uncacheable
// requests, which run at the origin, are never held back for that.
func (m *Monitor) AdmissionCost(uses int, uncacheable bool) float64 {
	if uses < popularUses && !uncacheable && m.sites[m.config.OwnZone].state == Recovering {
		return unpopularCost
	}
	return 1
}

// ProbeInterval bounds the time between two probes of a server of our branch while all of it is lost: what is learnt of
// one server tells of all, so that a probe is worth its cost at any time.
func (m *Monitor) ProbeInterval() time.Duration {
	if m.OwnBranchUnavailable() {
		return probeInterval
	}
	return math.MaxInt64
}

// NextProbeIn is how long a lost site will stay so at the least: until the next probe, or until a response counts as
// its recovery. A rejected client may as well stay away for that long. 0: the site is not lost.
func (m *Monitor) NextProbeIn(now Time, zone int) time.Duration {
	site := &m.sites[zone]
	if !site.state.unavailable() {
		return 0
	}
	return max(probeInterval/2, site.since+site.holdoff-now)
}

// initialHoldoff is the shortest time for which a site stays lost.
func (m *Monitor) initialHoldoff(zone int) time.Duration {
	if zone == m.config.OwnZone {
		return ownHoldoff
	}
	return cmp.Or(m.MinLostTime, remoteHoldoff)
}
