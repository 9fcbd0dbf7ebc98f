package routing

import "time"

// Time is a reading of the caller's monotonic clock. Its zero means "long ago" or "not set".
type Time = time.Duration

// Host is the address of a server: four bytes of IPv4 address and a port, in the low 48 bits.
type Host uint64

// State is the state of an endpoint in discovery.
type State uint8

// States of an endpoint. Only a Ready one gets new attempts.
const (
	Draining State = iota
	Gone
	Ready
)

// String is the state's name.
func (s State) String() string {
	switch s {
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	case Ready:
		return "ready"
	}
	return "unknown"
}

// Endpoint is a server as discovery lists it.
type Endpoint struct {
	Host    Host
	Zone    int // index of Settings.Zones
	Kind    int // index of Settings.Kinds
	State   State
	Started Time    // when its present incarnation started; 0: long ago
	Weight  float64 // its capacity in simultaneous transfers, where Settings.WeightMode says so
	Cell    int
}

// UpdateKind tells how the entries of an EndpointUpdate are to be taken.
type UpdateKind uint8

// Kinds of updates.
const (
	UpdateDelta  UpdateKind = iota // only the changed entries
	UpdateFull                     // the whole list
	UpdateCached                   // the whole list as last known; it may be stale
	UpdateFailed                   // a call failed or the subscription broke; no entries
)
