package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/discovery"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// maxSiteEndpoints is the maximum number of endpoints that the plan command reads from a configuration.
const maxSiteEndpoints = 4096

// readSite returns the settings and the known endpoints from a director's configuration file. The file may also hold
// the settings alone, in which case no endpoints are returned.
func readSite(path string) (*routing.Settings, []routing.Endpoint, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	var document struct {
		Settings json.RawMessage  `json:"settings"`
		Known    config.Bootstrap `json:"known"`
	}
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(document.Settings) == 0 {
		document.Settings = text
	}
	settings := &routing.Settings{}
	if err := json.Unmarshal(document.Settings, settings); err != nil {
		return nil, nil, fmt.Errorf("%s: settings: %w", path, err)
	}
	if len(settings.Classes) == 0 || len(settings.Zones) == 0 {
		return nil, nil, fmt.Errorf("%s: no services or no zones (dcs) in it", path)
	}
	endpoints, err := bootstrapEndpoints(settings, document.Known)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: known: %w", path, err)
	}
	return settings, endpoints, nil
}

// bootstrapEndpoints returns the endpoints that result from the events of a bootstrap. It applies the events with a
// discovery.Watcher, as a director does, but does not call the discovery service.
func bootstrapEndpoints(settings *routing.Settings, known config.Bootstrap) ([]routing.Endpoint, error) {
	list := &endpointList{}
	limits := &config.Limits{MaxMembers: maxSiteEndpoints}
	backoff := discovery.NewBackoff(discovery.BackoffConfig{
		Directors:     1,
		CallDuration:  time.Second,
		ApplyWithin:   2 * time.Second,
		NotifiedAfter: 7 * time.Second,
	}, 0)
	watcher := discovery.New(discovery.Config{ // never started, so it needs no address and no dialer
		Limits:   limits,
		Settings: settings,
		Backoff:  backoff,
		Sink:     list,
		Timers:   &timer.Queue{},
		Now:      func() routing.Time { return 0 },
		Log:      zap.NewNop(),
	})
	if err := watcher.Bootstrap(known); err != nil {
		return nil, err
	}
	return list.routingEndpoints(), nil
}

// endpointList holds the endpoints that a discovery.Watcher reports, at most one for each name. It implements
// discovery.Sink.
type endpointList struct{ entries []director.Endpoint }

// UpdateEndpoints implements discovery.Sink. It replaces the whole list if full is set, and otherwise the endpoints
// with the names in changed.
func (l *endpointList) UpdateEndpoints(full bool, _ uint64, changed []director.Endpoint) {
	if full {
		l.entries = l.entries[:0]
	}
	for _, endpoint := range changed {
		l.entries = slices.DeleteFunc(
			l.entries,
			func(other director.Endpoint) bool { return other.Name == endpoint.Name },
		)
		l.entries = append(l.entries, endpoint)
	}
}

// Purge implements discovery.Sink. It does nothing, because purges don't affect a plan.
func (*endpointList) Purge(director.Purge) {}

// routingEndpoints returns the endpoints in the form that package routing uses.
func (l *endpointList) routingEndpoints() []routing.Endpoint {
	endpoints := make([]routing.Endpoint, 0, len(l.entries))
	for _, entry := range l.entries {
		endpoints = append(endpoints, entry.Endpoint)
	}
	return endpoints
}
