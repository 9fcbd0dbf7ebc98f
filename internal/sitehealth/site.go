package sitehealth

import "time"

const (
	firstTimeoutWeight = 0.5  // failed servers that one timeout counts as: a single response may have been lost
	nextTimeoutWeight  = 0.25 // failed servers that each further consecutive timeout adds
)

// site holds what a monitor knows about the servers of one zone.
type site struct {
	members []*Member
	state   State
	since   Time // time of the last transition

	lastResponse Time          // latest response of any of its servers
	responses    int           // number of responses since the last transition
	holdoff      time.Duration // time after a loss in which no recovery starts; doubled by a relapse

	everReady bool    // the site has had a ready server
	restarted bool    // servers started during the loss or recovery; they are cold, and their load returns gradually
	capacity  float64 // largest total weight of its ready servers so far

	plannedLost     bool    // whether the site counted as lost in the last call of the plan
	plannedCapacity float64 // capacity that was passed in the last call of the plan
}

// failureSummary sums up the failed servers of a site.
type failureSummary struct {
	weight        float64 // number of failed servers; one that timed out counts as a fraction
	timeoutWeight float64 // part of weight that comes from timeouts
	members       int     // number of failed servers, each counted as one
}

// failuresAt returns the servers that have failed since the last response of any server of the site, and within
// failureMaxAge before now.
func (s *site) failuresAt(now Time) failureSummary {
	from := s.lastResponse
	if s.state == Recovering {
		from = max(from, s.since) // earlier failures are no evidence about the recovery
	}
	var sum failureSummary
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

// refusedSince reports whether a connect to any server of the site failed after time from.
func (s *site) refusedSince(from Time) bool {
	for _, member := range s.members {
		if member.lastRefusal > from {
			return true
		}
	}
	return false
}

// readyMembers returns the number of servers that the endpoint list reports as ready.
func (s *site) readyMembers() int {
	count := 0
	for _, member := range s.members {
		if member.ready {
			count++
		}
	}
	return count
}

// readyWeight returns the total weight of the servers that the endpoint list reports as ready.
func (s *site) readyWeight() float64 {
	sum := 0.0
	for _, member := range s.members {
		if member.ready {
			sum += member.weight
		}
	}
	return sum
}

// availableShare returns the share of the site's servers, by weight, that are ready and have had no failed connect
// within failureMaxAge. It returns 0 for a site without weight.
func (s *site) availableShare(now Time) float64 {
	available, total := 0.0, 0.0
	for _, member := range s.members {
		total += member.weight
		if member.ready && (member.lastRefusal == 0 || now-member.lastRefusal > failureMaxAge) {
			available += member.weight
		}
	}
	if total == 0 {
		return 0
	}
	return available / total
}
