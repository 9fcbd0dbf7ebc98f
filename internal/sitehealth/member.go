package sitehealth

import (
	"slices"
	"time"
)

// failureMaxAge is the age up to which a failure counts as evidence about a server.
const failureMaxAge = 5 * time.Second

// Member is a server of a site. All exported methods accept a nil receiver: HasHealthyPeer then returns false, and the
// others do nothing.
type Member struct {
	monitor *Monitor
	zone    int
	weight  float64
	ready   bool // as reported by the endpoint list
	started Time // as reported by the endpoint list; 0: long ago

	lastResponse Time
	lastRefusal  Time // 0: none since lastResponse
	lastTimeout  Time // 0: none since lastResponse
	timeouts     int  // consecutive
}

// UpdateMember applies an entry of the endpoint list to a server and returns its member. A nil member adds a new
// server. If the zone is unknown, UpdateMember changes nothing and returns the given member. The list lags behind the
// servers, so a start time in the list counts as a new start only if it was not known yet.
func (m *Monitor) UpdateMember(now Time, member *Member, zone int, weight float64, ready bool, started Time) *Member {
	if zone < 0 || zone >= len(m.sites) {
		return member
	}
	site := &m.sites[zone]
	newStart := ready && started != 0 && (member == nil || started != member.started)
	if member == nil {
		member = &Member{monitor: m, zone: zone}
		site.members = append(site.members, member)
	} else if started != member.started {
		member.clearFailures()
		member.lastResponse = 0
	}
	member.weight, member.ready, member.started = weight, ready, started
	site.capacity = max(site.capacity, site.readyWeight())
	if newStart && site.state.unavailable() && now >= site.since+site.holdoff {
		// A new start shows that a lost site is returning, but it is not a response of the server.
		m.transition(now, zone, Recovering, "the list has a new server")
	}
	site.restarted = site.restarted || (newStart && (site.state.unavailable() || site.state == Recovering))
	site.everReady = site.everReady || ready
	return member
}

// Remove removes a server that the endpoint list no longer contains from its site.
func (mem *Member) Remove() {
	if mem == nil {
		return
	}
	site := mem.site()
	if i := slices.Index(site.members, mem); i >= 0 {
		site.members = slices.Delete(site.members, i, i+1)
	}
}

// RecordResponse records that the server has sent a response, whatever the response was. It clears the failures of the
// server and ends an isolation of the director. If the server's site is lost and its holdoff has passed, it starts the
// site's recovery.
func (mem *Member) RecordResponse(now Time) {
	if mem == nil {
		return
	}
	m, site := mem.monitor, mem.site()
	mem.clearFailures()
	mem.lastResponse = now
	site.lastResponse = now
	site.responses++
	m.lastResponse, m.firstFailure = now, 0
	if m.isolated {
		m.endIsolation(now, mem.zone)
	}
	if site.state.unavailable() && now >= site.since+site.holdoff {
		m.transition(now, mem.zone, Recovering, "a server answers")
	}
}

// RecordConnectFailure records that a connection to the server failed, usually because its machine reports that nothing
// listens there, or that a cache failed at once to reach the server as a source.
func (mem *Member) RecordConnectFailure(now Time) {
	if mem == nil {
		return
	}
	mem.lastRefusal = now
	mem.monitor.recordFailure(now)
}

// RecordSourceFailure records that a cache could not reach the server as the source of a fill that was requested at
// time sent. A failure that came quickly counts as a failed connect, a failure after a wait as a timeout.
func (mem *Member) RecordSourceFailure(now, sent Time, quickly bool) {
	if quickly {
		mem.RecordConnectFailure(now)
		return
	}
	mem.RecordTimeout(now, sent)
}

// RecordTimeout records that an attempt, sent at time sent, got no response from the server although a response was
// due. If the server has responded after that time, only the response to this attempt was lost, and nothing is
// recorded.
func (mem *Member) RecordTimeout(now, sent Time) {
	if mem == nil || mem.lastResponse > sent {
		return
	}
	mem.lastTimeout = now
	mem.timeouts++
	mem.monitor.recordFailure(now)
}

// HasHealthyPeer reports whether another ready server of the same site has not failed within failureMaxAge, so that the
// site keeps a server if this one is ejected. A site whose servers all fail is taken out of use as a whole, by its
// state.
func (mem *Member) HasHealthyPeer(now Time) bool {
	if mem == nil {
		return false
	}
	for _, other := range mem.site().members {
		if other == mem || !other.ready {
			continue
		}
		lastFailure := max(other.lastRefusal, other.lastTimeout)
		if lastFailure == 0 || now-lastFailure > failureMaxAge {
			return true
		}
	}
	return false
}

func (mem *Member) site() *site { return &mem.monitor.sites[mem.zone] }

func (mem *Member) clearFailures() {
	mem.clearTimeouts()
	mem.lastRefusal = 0
}

func (mem *Member) clearTimeouts() {
	mem.lastTimeout, mem.timeouts = 0, 0
}
