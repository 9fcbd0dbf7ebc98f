package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/routing"
)

// endpointState is what the list last said of an endpoint, also of one that is gone.
type endpointState struct {
	state   routing.State
	sinceMS int64        // when it was started, if that was late, on the service's clock; 0: it was not
	started routing.Time // the same on our clock
}

// Bootstrap applies the events that the configuration holds. It is called before Start.
func (w *Watcher) Bootstrap(bootstrap config.Bootstrap) error {
	w.learnServiceClock(bootstrap.Events)
	for i, text := range bootstrap.Events {
		if err := w.applyLine(text, nil); err != nil {
			return fmt.Errorf("known.events[%d]: %w", i, err)
		}
	}
	if w.revision > bootstrap.Revision {
		return fmt.Errorf("known.n: %d, but its events go to %d", bootstrap.Revision, w.revision)
	}
	w.revision = bootstrap.Revision
	return nil
}

// learnServiceClock learns the offset of the service's clock from the stamps of a backlog, before the first of its
// events is dated by them.
func (w *Watcher) learnServiceClock(backlog []json.RawMessage) {
	now := w.now()
	for _, text := range backlog {
		if !bytes.Contains(text, []byte(`"purge"`)) {
			continue
		}
		var parsed event
		if json.Unmarshal(text, &parsed) == nil && parsed.Purge != nil {
			w.serviceClock.Observe(parsed.Purge.serviceTime(), now)
		}
	}
}

// applyLine reads one line, of a watch or (with source nil) of the configuration, and applies its event. Events of a
// watch must come without a gap; events that were applied before are ignored.
func (w *Watcher) applyLine(text []byte, source *watch) error {
	if revision, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64); err == nil {
		return w.heartbeat(revision, source)
	}
	var parsed event
	if err := json.Unmarshal(text, &parsed); err != nil {
		return fmt.Errorf("line %.80q: %w", text, err)
	}
	if parsed.Revision == nil {
		return fmt.Errorf("line %.80q: %w", text, errNoRevision)
	}
	if parsed.isHeartbeat() {
		return w.heartbeat(*parsed.Revision, source)
	}
	isNew, err := w.checkRevision(&parsed, source)
	if err != nil {
		return fmt.Errorf("event %d: %w", *parsed.Revision, err)
	}
	if !isNew {
		return nil
	}
	if err := w.applyEvent(&parsed, source); err != nil {
		return fmt.Errorf("event %d: %w", *parsed.Revision, err)
	}
	return nil
}

// checkRevision reports whether the event is one to apply. It is an error if events before it are missing.
func (w *Watcher) checkRevision(received *event, source *watch) (isNew bool, err error) {
	revision := *received.Revision
	if source != nil && source.fullResync {
		if revision != 1 || received.Update == nil || !received.Update.Snapshot {
			return false, errNotFullList
		}
		return true, nil
	}
	if revision <= w.revision {
		return false, nil
	}
	if source != nil && revision != w.revision+1 {
		return false, &RevisionError{Got: revision, Last: w.revision}
	}
	return true, nil
}

// applyEvent hands the endpoints and the purge of an event to the sink. An event that is in error is not applied, or
// only its endpoints are, and the revision stays.
func (w *Watcher) applyEvent(received *event, source *watch) error {
	if received.Update != nil {
		endpoints, err := w.parseEndpoints(received.Update)
		if err != nil {
			return err
		}
		if source != nil && source.fullResync {
			w.resyncing = true
		}
		w.applyEndpoints(received.Update, endpoints)
	}
	if received.Purge != nil {
		if source != nil { // learnServiceClock has observed those of the configuration.
			w.serviceClock.Observe(received.Purge.serviceTime(), w.now())
		}
		if err := w.applyPurge(received.Purge); err != nil {
			return err
		}
	}
	if source != nil {
		source.fullResync = false
		source.revisionBehind = false
		w.watchesBehind = 0
	}
	w.revision = *received.Revision
	w.Counters.Events++
	return nil
}

// parseEndpoints converts the endpoints of an update that can be used.
func (w *Watcher) parseEndpoints(update *endpointUpdate) ([]director.Endpoint, error) {
	if count := len(update.Endpoints); count > w.limits.MaxMembers {
		return nil, fmt.Errorf("%w: %d, %d at most", errTooManyEndpoints, count, w.limits.MaxMembers)
	}
	endpoints := make([]director.Endpoint, 0, len(update.Endpoints))
	for i := range update.Endpoints {
		parsed, usable, err := w.parseEndpoint(&update.Endpoints[i])
		if err != nil {
			return nil, fmt.Errorf("endpoints[%d].%w", i, err)
		}
		if !usable {
			w.Counters.SkippedEndpoints++
			continue
		}
		endpoints = append(endpoints, parsed)
	}
	return endpoints, nil
}

// applyEndpoints hands an update to the sink. While the service's numbers have begun anew, its list may be older than
// what is known: then endpoints that are missing from it are not taken for gone.
func (w *Watcher) applyEndpoints(update *endpointUpdate, endpoints []director.Endpoint) {
	full := update.Snapshot || w.revision == 0
	if w.resyncing && update.Version < w.listVersion {
		full = false
	}
	kept := endpoints[:0]
	for _, entry := range endpoints {
		if w.retainDrain(&entry) {
			kept = append(kept, entry)
		}
	}
	if full {
		clear(w.endpoints)
	}
	for i := range kept {
		w.remember(&kept[i])
	}
	w.listVersion = max(w.listVersion, update.Version)
	w.sink.UpdateEndpoints(full, update.Version, kept)
}

// retainDrain keeps an endpoint that was draining or gone in that state where an older list, after the service's
// numbers have begun anew, says that it is ready, unless it has been started anew since. It reports whether there is
// anything to tell of the endpoint: nothing is if it stays gone.
func (w *Watcher) retainDrain(entry *director.Endpoint) bool {
	if !w.resyncing || entry.State != routing.Ready {
		return true
	}
	known, ok := w.endpoints[entry.Name]
	if !ok || known.state == routing.Ready || entry.StartedUnixMilli > known.sinceMS {
		return true
	}
	w.Counters.RetainedDrains++
	entry.State = known.state
	return known.state != routing.Gone
}

// remember notes what the list says of an endpoint. Endpoints that are gone are forgotten when there are too many.
func (w *Watcher) remember(entry *director.Endpoint) {
	if len(w.endpoints) >= 2*w.limits.MaxMembers {
		maps.DeleteFunc(w.endpoints, func(_ string, known endpointState) bool { return known.state == routing.Gone })
	}
	w.endpoints[entry.Name] = endpointState{
		state:   entry.State,
		sinceMS: entry.StartedUnixMilli,
		started: entry.Started,
	}
}

// startTime is when an endpoint was started, on our clock; 0 if it was not started late. One start keeps its time,
// whatever is learnt of the service's clock meanwhile: another time would be another incarnation of the endpoint.
func (w *Watcher) startTime(entry *endpoint) routing.Time {
	if entry.SinceMS == 0 {
		return 0
	}
	if known, ok := w.endpoints[entry.Name]; ok && known.sinceMS == entry.SinceMS {
		return known.started
	}
	return w.serviceClock.Local(routing.Time(entry.SinceMS) * routing.Time(time.Millisecond))
}

// applyPurge hands a purge to the sink.
func (w *Watcher) applyPurge(notice *purgeNotice) error {
	purge := director.Purge{
		RemoteIssuedAt: notice.serviceTime(),
		IssuedAt:       w.serviceClock.Local(notice.serviceTime()),
	}
	if notice.Group != nil {
		purge.Group = *notice.Group
	}
	if notice.Key != "" || notice.Group == nil {
		key, err := strconv.ParseUint(notice.Key, 16, 64)
		if err != nil {
			return &InvalidFieldError{Field: "purge.key", Value: notice.Key}
		}
		purge.ObjectKey = key
	}
	w.sink.Purge(purge)
	return nil
}

// heartbeat takes a line with only the service's latest revision. A revision behind ours comes from a service that lags
// or was restored from a backup: what it sends next is not what comes next for us.
func (w *Watcher) heartbeat(revision uint64, source *watch) error {
	if source == nil || source.fullResync {
		return nil
	}
	if revision > w.revision {
		return &RevisionError{Got: revision, Last: w.revision}
	}
	if revision == w.revision {
		source.revisionBehind = false
		w.watchesBehind = 0
		w.resyncing = false
		return nil
	}
	if source.revisionBehind {
		return nil
	}
	source.revisionBehind = true
	w.watchesBehind++
	w.Counters.RevisionBehind++
	w.log.Warn("discovery service is behind", zap.String("address", w.address),
		zap.Uint64("service_revision", revision), zap.Uint64("revision", w.revision))
	return nil
}
