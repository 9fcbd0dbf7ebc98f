package discovery

import (
	"net/netip"
	"strings"
	"time"

	"shaleyard/internal/director"
	"shaleyard/routing"
)

// maxNameLength is the maximum length of an endpoint's name, in bytes.
const maxNameLength = 64

// event is one line of a watch as JSON. An event with only a revision is a heartbeat.
type event struct {
	Revision *uint64         `json:"n"`
	Update   *endpointUpdate `json:"members"`
	Purge    *purgeNotice    `json:"purge"`
}

// isHeartbeat reports whether the event holds nothing but the service's latest revision.
func (e *event) isHeartbeat() bool { return e.Update == nil && e.Purge == nil }

// endpointUpdate holds the full list of endpoints (Snapshot), or only the endpoints that have changed.
type endpointUpdate struct {
	Version   uint64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// endpoint is one entry of the discovery service's list.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"` // start time, in Unix milliseconds of the service's clock; 0: long ago
}

// purgeNotice announces the purge of an object, of a group, or of an object in a group.
type purgeNotice struct {
	Key      string `json:"key"` // hexadecimal
	Group    *int   `json:"group"`
	IssuedAt int64  `json:"at"` // Unix milliseconds of the service's clock
}

// serviceTime returns when the purge was issued, on the service's clock.
func (p *purgeNotice) serviceTime() routing.Time {
	return routing.Time(p.IssuedAt) * routing.Time(time.Millisecond)
}

// state returns the endpoint's state, or an InvalidFieldError if the status is unknown.
func (e *endpoint) state() (routing.State, error) {
	switch e.Status {
	case "ready":
		return routing.Ready, nil
	case "draining":
		return routing.Draining, nil
	case "gone":
		return routing.Gone, nil
	}
	return 0, &InvalidFieldError{Field: "status", Value: e.Status}
}

// validate returns an InvalidFieldError if the name is invalid, or if the address is invalid and the endpoint is not
// gone.
func (e *endpoint) validate(state routing.State) error {
	if e.Name == "" || len(e.Name) > maxNameLength || strings.ContainsAny(e.Name, ",=\r\n ") {
		return &InvalidFieldError{Field: "name", Value: e.Name}
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil && state != routing.Gone {
		return &InvalidFieldError{Field: "address", Value: e.Address}
	}
	return nil
}

// parseEndpoint converts an entry of the list. It reports usable as false if the settings do not have the zone or the
// kind of an endpoint that is not gone; no request is sent to such an endpoint.
func (w *Watcher) parseEndpoint(entry *endpoint) (parsed director.Endpoint, usable bool, err error) {
	state, err := entry.state()
	if err != nil {
		return director.Endpoint{}, false, err
	}
	if err := entry.validate(state); err != nil {
		return director.Endpoint{}, false, err
	}
	zone, zoneKnown := w.zones[entry.Zone]
	kind, kindKnown := w.kinds[entry.Type]
	if state != routing.Gone && (!zoneKnown || !kindKnown) {
		return director.Endpoint{}, false, nil
	}
	parsed = director.Endpoint{Name: entry.Name, Address: entry.Address, StartedUnixMilli: entry.SinceMS}
	parsed.Weight = entry.Weight
	parsed.Cell = entry.Group
	parsed.State = state
	parsed.Started = w.startTime(entry)
	parsed.Zone = zone
	parsed.Kind = kind
	return parsed, true, nil
}
