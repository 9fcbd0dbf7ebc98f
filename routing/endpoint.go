package routing

import "time"

// Time is a reading of the caller's monotonic clock. Zero means "long ago" or "not set".
type Time = time.Duration

// Host identifies a server. The caller chooses the value and uses only the low 48 bits. The Router compares and
// sorts hosts and hashes them to rank servers, but does not interpret them. 0 means no server.
type Host uint64

// State is the state of an endpoint as discovery reports it.
type State uint8

// States of an endpoint. Only Ready endpoints receive new attempts.
const (
	Draining State = iota
	Gone
	Ready
)

// String returns the name of the state in lower case, or "unknown".
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

// Endpoint is an entry of the endpoint list: one server.
type Endpoint struct {
	Host    Host
	Zone    int // index of Settings.Zones
	Kind    int // index of Settings.Kinds
	State   State
	Started Time // start of the server's current incarnation; 0: long ago
	// Weight is the capacity of the server in simultaneous transfers, if Settings.WeightMode is
	// WeightModeNominal or WeightModeRough. With any other mode, the Router takes the capacity of the server as
	// unknown and uses Weight only for the failover of lost sites.
	Weight float64
	Cell   int // deduplication cell, see DedupScopeCell
}

// UpdateKind is the meaning of the entries of an EndpointUpdate.
type UpdateKind uint8

// Kinds of updates.
const (
	UpdateDelta  UpdateKind = iota // only the entries that have changed
	UpdateFull                     // the whole list
	UpdateCached                   // the whole list as last known, possibly stale
	UpdateFailed                   // no entries: a call failed or the subscription broke
)
