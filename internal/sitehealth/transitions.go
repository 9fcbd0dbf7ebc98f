package sitehealth

import (
	"fmt"
	"time"
)

const (
	minFailedServers = 2.0  // servers that must have failed, with no response from any between, to call their site lost
	failedShare      = 0.5  // and the share of the ready servers that they must exceed
	failedMargin     = 0.25 // of a server, by which they must exceed it
	roundingError    = 1e-9

	minStateTime  = time.Second            // in Degraded, before the site may be called healthy again
	remoteHoldoff = 500 * time.Millisecond // after a loss, before a response counts as a recovery
	ownHoldoff    = 100 * time.Millisecond // the same of our own branch: waiting moves no load, and only rejects it
	maxHoldoff    = 8 * time.Second
	relapseMemory = 20 * time.Second // a site that was healthy for longer has its relapses forgotten

	recoveryResponses = 8 // responses in a row that end a recovery: no clock alone ends it

	isolationDelay    = time.Second // without any response while servers of several sites were asked: it is us
	isolationMinSites = 2
)

// noteFailure notes the time of the first failure since any server responded.
func (m *Monitor) noteFailure(now Time) {
	if m.firstFailure == 0 {
		m.firstFailure = now
	}
}

// detectIsolation finds out whether the director itself is cut off: nobody has responded for a while, and servers of
// several sites were asked in vain. No site is called lost then, however silent it is: a director that sees nothing
// must not send all of its load elsewhere, nor ramp everything up again afterwards.
func (m *Monitor) detectIsolation(now Time) {
	if m.isolated || m.firstFailure == 0 || now-max(m.firstFailure, m.lastResponse) < isolationDelay {
		return
	}
	silentSites, silentMembers := 0, 0
	for zone := range m.sites {
		site := &m.sites[zone]
		if site.refusedSince(m.lastResponse) {
			return // a machine refuses: we do get through
		}
		if found := site.failuresAt(now); found.timeoutWeight > 0 {
			silentSites++
			silentMembers += found.members
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
	m.recordChange(self, Healthy, Lost, fmt.Sprintf("%d servers of %d sites silent for %v, nobody answers",
		silentMembers, silentSites, now-m.firstFailure))
}

// endIsolation follows the first response of a server, in a zone, to an isolated director.
func (m *Monitor) endIsolation(now Time, zone int) {
	m.isolated = false
	m.recordChange(self, Lost, Healthy, fmt.Sprintf("%s answers after %v", m.zoneName(zone), now-m.isolatedSince))
	// What was silent meanwhile was silent because of us.
	for i := range m.sites {
		for _, member := range m.sites[i].members {
			member.clearTimeouts()
		}
	}
}

// evaluateSite moves a site to the state that the evidence calls for.
func (m *Monitor) evaluateSite(now Time, zone int) {
	site := &m.sites[zone]
	found := site.failuresAt(now)
	ready := site.readyMembers()
	lost, evidence := m.isLost(found, ready)
	switch {
	case lost && site.state == Recovering:
		site.holdoff = min(maxHoldoff, 2*site.holdoff)
		m.Counters.Relapses++
		m.transition(now, zone, Relapsed, evidence)
	case lost && !site.state.unavailable():
		m.lose(now, zone, lostState(found, ready), evidence)
	case lost:
		// It is known as lost.
	case site.state == Recovering && found.members == 0 && m.hasRecovered(now, site):
		m.Counters.Recoveries++
		m.transition(now, zone, Healthy, fmt.Sprintf("%d answers in %v", site.responses, now-site.since))
	case site.state.unavailable() && site.lastResponse > site.since && now >= site.since+site.holdoff:
		m.transition(now, zone, Recovering, "a server has answered")
	case site.state == Healthy && found.members > 0:
		m.transition(now, zone, Degraded, fmt.Sprintf("%d of %d servers failed", found.members, ready))
	case site.state == Degraded && found.members == 0 && now-site.since >= minStateTime:
		m.transition(now, zone, Healthy, "none fails")
	}
}

// isLost decides whether what counts against a site makes it a lost one, and says why.
func (m *Monitor) isLost(found failures, ready int) (lost bool, evidence string) {
	if ready == 0 {
		return true, "the list has no server left"
	}
	needed := min(max(minFailedServers, failedShare*float64(ready)+failedMargin), float64(ready))
	if m.isolated || found.weight < needed-roundingError {
		return false, ""
	}
	return true, fmt.Sprintf("%d of %d servers failed, %.1f of them silent, none answers", found.members, ready,
		found.timeoutWeight)
}

// lostState tells a site whose servers refuse, or are not listed, from one most of whose failed servers are silent.
func lostState(found failures, ready int) State {
	if ready > 0 && found.timeoutWeight > found.weight/2 {
		return Unreachable
	}
	return Lost
}

// lose calls a site lost. One that was healthy for long starts with the shortest holdoff again.
func (m *Monitor) lose(now Time, zone int, state State, evidence string) {
	site := &m.sites[zone]
	if now-site.since > relapseMemory {
		site.holdoff = 0
	}
	site.holdoff = max(site.holdoff, m.initialHoldoff(zone))
	m.transition(now, zone, state, evidence)
}

// hasRecovered reports whether a recovering site has responded often enough, and has its whole load back.
func (m *Monitor) hasRecovered(now Time, recovering *site) bool {
	if recovering.responses < recoveryResponses {
		return false
	}
	return !recovering.restarted || m.recoveryShare(now, recovering) >= 1
}

// transition moves a site to a state and records the change.
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
