package sitehealth

import "time"

const (
	firstTimeoutWeight = 0.5  // of a failed server that one timeout counts for: a response may have been lost
	nextTimeoutWeight  = 0.25 // of a failed server that each further timeout in a row counts for
)

// site is what a monitor knows of all servers of one zone.
type site struct {
	members []*Member
	state   State
	since   Time // of the last transition

	lastResponse Time          // of any of its servers
	responses    int           // since the last transition
	holdoff      time.Duration // after a loss, before a response counts as a recovery; doubled by each relapse

	everReady bool    // it has had a ready server
	restarted bool    // some recovering servers started anew: they are cold and empty, and get their load gradually
	capacity  float64 // the largest weight of its ready servers so far

	plannedLost     bool // what the plan was last asked with
	plannedCapacity float64
}

// failures are what counts against a site.
type failures struct {
	weight        float64 // of servers that have failed; a server that has timed out counts as a part of one
	timeoutWeight float64 // of those, the weight of servers that have timed out
	members       int
}

// failuresAt sums up the servers that have failed since any server of the site responded last.
func (s *site) failuresAt(now Time) failures {
	from := s.lastResponse
	if s.state == Recovering {
		from = max(from, s.since) // failures from before the recovery say nothing of it
	}
	var sum failures
	for _, member := range s.members {
		refused := member.lastRefusal > from && now-member.lastRefusal <= failureMaxAge
		timedOut := member.lastTimeout > from && now-member.lastTimeout <= failureMaxAge
		switch {
		case refused:
			sum.weight++
			sum.members++
		case timedOut:
			weight := min(1, firstTimeoutWeight+nextTimeoutWeight*float64(member.timeouts-1))
			sum.weight += weight
			sum.timeoutWeight += weight
			sum.members++
		}
	}
	return sum
}

// refusedSince reports whether a server has refused a connection after a time.
func (s *site) refusedSince(from Time) bool {
	for _, member := range s.members {
		if member.lastRefusal > from {
			return true
		}
	}
	return false
}

// readyMembers is the number of servers that the endpoint list has as ready.
func (s *site) readyMembers() int {
	count := 0
	for _, member := range s.members {
		if member.ready {
			count++
		}
	}
	return count
}

// readyWeight is the weight of the servers that the endpoint list has as ready.
func (s *site) readyWeight() float64 {
	sum := 0.0
	for _, member := range s.members {
		if member.ready {
			sum += member.weight
		}
	}
	return sum
}

// presentShare is the share of the site's servers, by weight, that are ready and have refused nothing lately.
func (s *site) presentShare(now Time) float64 {
	present, all := 0.0, 0.0
	for _, member := range s.members {
		all += member.weight
		if member.ready && (member.lastRefusal == 0 || now-member.lastRefusal > failureMaxAge) {
			present += member.weight
		}
	}
	if all == 0 {
		return 0
	}
	return present / all
}
