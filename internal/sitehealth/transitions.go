package sitehealth

import (
	"fmt"
	"time"
)

const (
	// A site is lost if at least minFailedServers of its servers, and at least failedServersShare of its ready servers
	// plus failedServersMargin, have failed without a response of any server in between. It is also lost if all of its
	// ready servers have failed, or if it has no ready server.
	minFailedServers    = 2.0  // in servers
	failedServersShare  = 0.5  // share of the ready servers
	failedServersMargin = 0.25 // in servers
	roundingTolerance   = 1e-9 // tolerance, in servers, of sums of fractions

	minStateTime  = time.Second            // shortest time in Degraded before the site may become healthy again
	remoteHoldoff = 500 * time.Millisecond // time after a loss in which no recovery starts
	// ownBranchHoldoff replaces remoteHoldoff for our own branch. It is shorter because no other site can take the load
	// of our own branch: a longer holdoff only causes more rejections.
	ownBranchHoldoff = 100 * time.Millisecond
	maxHoldoff       = 8 * time.Second  // upper bound of the holdoff, which each relapse doubles
	relapseResetTime = 20 * time.Second // time since the last transition that resets the holdoff, see markLost

	recoveryResponses = 8 // responses that a recovery needs; time alone never ends a recovery

	isolationDelay    = time.Second // time without responses, while several sites fail, that means isolation
	isolationMinSites = 2           // sites that must be silent; a stale discovery service counts as one
)

// recordFailure records the time of the first failure since the last response of any server.
func (m *Monitor) recordFailure(now Time) {
	if m.firstFailure == 0 {
		m.firstFailure = now
	}
}

// detectIsolation marks the director as isolated if the director itself is cut off: no server has responded for
// isolationDelay, attempts at servers of several sites have timed out, and no connect failed meanwhile. An
// isolated director declares no site lost because of failed servers: without any responses it must not move all of its
// load elsewhere, nor ramp up all sites afterwards.
func (m *Monitor) detectIsolation(now Time) {
	if m.isolated || m.firstFailure == 0 || now-max(m.firstFailure, m.lastResponse) < isolationDelay {
		return
	}
	silentSites, silentMembers := 0, 0
	for zone := range m.sites {
		site := &m.sites[zone]
		if site.refusedSince(m.lastResponse) {
			return // a refusal shows that the director reaches a machine
		}
		if failures := site.failuresAt(now); failures.timeoutWeight > 0 {
			silentSites++
			silentMembers += failures.members
		}
	}
	if m.DiscoveryStale != nil && m.DiscoveryStale() {
		silentSites++
	}
	if silentSites < isolationMinSites {
		return
	}
	m.isolated, m.isolatedSince = true, m.firstFailure
	m.Counters.Isolations++
	m.recordChange(selfZone, Healthy, Lost, fmt.Sprintf("%d servers of %d sites silent for %v, nobody answers",
		silentMembers, silentSites, now-m.firstFailure))
}

// endIsolation ends the isolation of the director after the first response of a server, which is in the given zone.
func (m *Monitor) endIsolation(now Time, zone int) {
	m.isolated = false
	m.recordChange(selfZone, Lost, Healthy, fmt.Sprintf("%s answers after %v", m.zoneName(zone), now-m.isolatedSince))
	// The timeouts were caused by the isolation and are no evidence about the servers.
	for i := range m.sites {
		for _, member := range m.sites[i].members {
			member.clearTimeouts()
		}
	}
}

// evaluateSite moves a site to the state that follows from the failures and responses of its servers.
func (m *Monitor) evaluateSite(now Time, zone int) {
	site := &m.sites[zone]
	failures := site.failuresAt(now)
	ready := site.readyMembers()
	lost, evidence := m.isLost(failures, ready)
	switch {
	case lost && site.state == Recovering:
		site.holdoff = min(maxHoldoff, 2*site.holdoff)
		m.Counters.Relapses++
		m.transition(now, zone, Relapsed, evidence)
	case lost && !site.state.unavailable():
		m.markLost(now, zone, lostState(failures, ready), evidence)
	case lost:
		// The site is already in a lost state.
	case site.state == Recovering && failures.members == 0 && m.hasRecovered(now, site):
		m.Counters.Recoveries++
		m.transition(now, zone, Healthy, fmt.Sprintf("%d answers in %v", site.responses, now-site.since))
	case site.state.unavailable() && site.lastResponse > site.since && now >= site.since+site.holdoff:
		m.transition(now, zone, Recovering, "a server has answered")
	case site.state == Healthy && failures.members > 0:
		m.transition(now, zone, Degraded, fmt.Sprintf("%d of %d servers failed", failures.members, ready))
	case site.state == Degraded && failures.members == 0 && now-site.since >= minStateTime:
		m.transition(now, zone, Healthy, "none fails")
	}
}

// isLost reports whether a site with the given failures and number of ready servers is lost, and returns the evidence.
func (m *Monitor) isLost(failures failureSummary, ready int) (lost bool, evidence string) {
	if ready == 0 {
		return true, "the list has no server left"
	}
	needed := min(max(minFailedServers, failedServersShare*float64(ready)+failedServersMargin), float64(ready))
	if m.isolated || failures.weight < needed-roundingTolerance {
		return false, ""
	}
	return true, fmt.Sprintf("%d of %d servers failed, %.1f of them silent, none answers", failures.members, ready,
		failures.timeoutWeight)
}

// lostState returns the state of a site that has become lost: Unreachable if most of its failed servers timed out, or
// Lost if they refuse connections or no server is listed as ready.
func lostState(failures failureSummary, ready int) State {
	if ready > 0 && failures.timeoutWeight > failures.weight/2 {
		return Unreachable
	}
	return Lost
}

// markLost moves a site to a lost state. If the site's last transition was more than relapseResetTime ago, the holdoff
// starts at its initial value again. Otherwise a longer holdoff from an earlier loss is kept.
func (m *Monitor) markLost(now Time, zone int, state State, evidence string) {
	site := &m.sites[zone]
	if now-site.since > relapseResetTime {
		site.holdoff = 0
	}
	site.holdoff = max(site.holdoff, m.initialHoldoff(zone))
	m.transition(now, zone, state, evidence)
}

// hasRecovered reports whether the recovery of a site is complete: its servers have sent recoveryResponses responses
// since the recovery began and, if servers of the site started during the loss or the recovery, recoveryShare has
// reached 1.
func (m *Monitor) hasRecovered(now Time, recovering *site) bool {
	if recovering.responses < recoveryResponses {
		return false
	}
	return !recovering.restarted || m.recoveryShare(now, recovering) >= 1
}

// transition moves a site to a state, records the change and counts it.
func (m *Monitor) transition(now Time, zone int, to State, evidence string) {
	site := &m.sites[zone]
	m.recordChange(zone, site.state, to, evidence)
	switch to {
	case Lost:
		m.Counters.Losses++
	case Unreachable:
		m.Counters.Unreachable++
	case Recovering:
		m.Counters.RecoveriesStarted++
	}
	site.state, site.since, site.responses = to, now, 0
	site.restarted = site.restarted && (to == Recovering || to.unavailable())
}
