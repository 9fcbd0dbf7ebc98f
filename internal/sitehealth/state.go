// Package sitehealth derives, from what one director observes, the health of whole sites: a branch with its caches, or
// a hub with its parents. A director meets most servers seldom and knows little of each; what it knows of all servers
// of a site together is enough to tell a lost site from a lost server.
//
// It does no I/O, reads no clock and draws no random numbers: the same observations give the same states. What each
// state means for requests is in docs/site-loss.md.
package sitehealth

import (
	"fmt"
	"time"
)

// Time is a point in time by the caller's clock.
type Time = time.Duration

// State is the health of a site.
type State uint8

// States of a site.
const (
	Healthy     State = iota
	Degraded          // a server fails while others answer
	Lost              // its servers refuse connections, or the endpoint list has none left
	Unreachable       // its servers are silent: lost as seen from here, though they may be serving others
	Recovering        // it answers again, and its load returns gradually
	Relapsed          // it was lost again while recovering: the next recovery waits twice as long
	Slow              // of the origin alone: it makes fills late, and a part of them is kept from it
)

// String is the name of the state in logs. The testbed stores these names in its histories.
func (s State) String() string {
	return [...]string{"well", "member lost", "lost", "cut off", "returning", "relapsed", "slow"}[s]
}

// unavailable reports whether a site in this state receives nothing but probes.
func (s State) unavailable() bool { return s == Lost || s == Unreachable || s == Relapsed }

// Counters count transitions between states.
type Counters struct{ Losses, Unreachable, RecoveriesStarted, Relapses, Recoveries, Isolations, OriginSlowdowns uint64 }

// StateChange is one transition of a site, with the evidence for it.
type StateChange struct {
	Site     string // name of the site; empty: the director itself
	From, To State
	Evidence string
}

// String is the change as a line of the log.
func (c StateChange) String() string {
	if c.Site != "" {
		return fmt.Sprintf("site %s: %v, was %v: %s", c.Site, c.To, c.From, c.Evidence)
	}
	if c.To.unavailable() {
		return "we are cut off: " + c.Evidence
	}
	return "we are cut off no more: " + c.Evidence
}
