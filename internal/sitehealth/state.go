// Package sitehealth derives the health of whole sites from what one director observes. A site is a branch with its
// caches, or a hub with its parents. A director contacts most servers rarely and knows little about each of them, but
// its observations of all servers of a site together distinguish the loss of the site from the loss of a server.
//
// The package performs no I/O, reads no clock and draws no random numbers: the same observations result in the same
// states. docs/site-loss.md describes what each state means for requests.
package sitehealth

import (
	"fmt"
	"time"
)

// Time is a point in time on the caller's clock.
type Time = time.Duration

// State is the health of a site.
type State uint8

// States of a site.
const (
	Healthy     State = iota
	Degraded          // servers have failed, but too few for the site to count as lost
	Lost              // connections to its servers fail, or the endpoint list has no ready server left
	Unreachable       // its servers send no responses to this director, though they may be serving others
	Recovering        // a server has answered or started after a loss; the load of the site returns
	Relapsed          // the site was lost again while recovering; the next recovery starts after twice the holdoff
	Slow              // used for the origin only: its fills are late, and a part of the fills is not sent to it
)

// String returns the name of the state in logs. The testbed stores these names in its histories.
func (s State) String() string {
	return [...]string{"well", "member lost", "lost", "cut off", "returning", "relapsed", "slow"}[s]
}

// unavailable reports whether a site in this state receives no requests other than probes.
func (s State) unavailable() bool { return s == Lost || s == Unreachable || s == Relapsed }

// Counters holds the number of state transitions of each kind.
type Counters struct{ Losses, Unreachable, RecoveriesStarted, Relapses, Recoveries, Isolations, OriginSlowdowns uint64 }

// StateChange is one transition between states of a site, with the evidence for it.
type StateChange struct {
	Site     string // name of the site; empty for the director itself
	From, To State
	Evidence string
}

// String returns the change as the message of a log line.
func (c StateChange) String() string {
	if c.Site != "" {
		return fmt.Sprintf("site %s: %v, was %v: %s", c.Site, c.To, c.From, c.Evidence)
	}
	if c.To.unavailable() {
		return "we are cut off: " + c.Evidence
	}
	return "we are cut off no more: " + c.Evidence
}
