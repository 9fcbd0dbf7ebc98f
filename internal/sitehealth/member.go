package sitehealth

import (
	"slices"
	"time"
)

// failureMaxAge is the age from which on a failure counts no more.
const failureMaxAge = 5 * time.Second

// Member is a server of a site. All methods take a nil Member, and do nothing then.
type Member struct {
	monitor *Monitor
	zone    int
	weight  float64
	ready   bool // by the endpoint list
	started Time // by the endpoint list; 0: long ago

	lastResponse Time
	lastRefusal  Time // 0: none since lastResponse
	lastTimeout  Time // 0: none since lastResponse
	timeouts     int  // in a row
}

// UpdateMember takes what the endpoint list says of a server: a new one, if member is nil. It returns the member, or
// the one given where the zone is not known. The list is late, so that what it says of a server's start is news only if
// that start was not known yet.
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
		// It counts as a sign of life of a lost site, but not as a response.
		m.transition(now, zone, Recovering, "the list has a new server")
	}
	site.restarted = site.restarted || (newStart && (site.state.unavailable() || site.state == Recovering))
	site.everReady = site.everReady || ready
	return member
}

// Remove takes away a server that the endpoint list no longer has.
func (mem *Member) Remove() {
	if mem == nil {
		return
	}
	site := mem.site()
	if i := slices.Index(site.members, mem); i >= 0 {
		site.members = slices.Delete(site.members, i, i+1)
	}
}

// RecordResponse notes that the server has answered, whatever the answer was.
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

// RecordRefusal notes that the server's machine says that nothing listens there, or that a cache was told so at once.
func (mem *Member) RecordRefusal(now Time) {
	if mem == nil {
		return
	}
	mem.lastRefusal = now
	mem.monitor.noteFailure(now)
}

// RecordSourceFailure notes that a cache could not reach the server as the source of a fill that was asked for at a
// time: quickly, which is a refusal, or after a wait, which is a timeout.
func (mem *Member) RecordSourceFailure(now, sent Time, quickly bool) {
	if quickly {
		mem.RecordRefusal(now)
		return
	}
	mem.RecordTimeout(now, sent)
}

// RecordTimeout notes that an attempt, sent at a time, got nothing out of the server though a response was due. If the
// server has responded since, it was a response that got lost, and nothing is noted.
func (mem *Member) RecordTimeout(now, sent Time) {
	if mem == nil || mem.lastResponse > sent {
		return
	}
	mem.lastTimeout = now
	mem.timeouts++
	mem.monitor.noteFailure(now)
}

// HasHealthyPeer reports whether another ready server of the same site has not failed lately: to eject this one leaves
// a server in its place. A site all of whose servers fail is taken out as a whole, by its state.
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
