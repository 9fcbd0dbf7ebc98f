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

// endpointState holds the latest known state of an endpoint. Endpoints that are gone have an entry too.
type endpointState struct {
	state   routing.State
	sinceMS int64        // start time, in Unix milliseconds of the service's clock; 0: started long ago
	started routing.Time // start time on the local clock; 0: started long ago
}

// Bootstrap applies the events that the configuration contains. It must be called before Start. It returns an error if
// an event is invalid or has a higher revision than bootstrap.Revision.
func (w *Watcher) Bootstrap(bootstrap config.Bootstrap) error {
	w.observeServiceClock(bootstrap.Events)
	for i, text := range bootstrap.Events {
		if err := w.applyLine(text, nil); err != nil {
			return fmt.Errorf("known.events[%d]: %w", i, err)
		}
	}
	if w.revision > bootstrap.Revision {
		return fmt.Errorf("known.n: %d, must be at least %d, the last revision of known.events",
			bootstrap.Revision, w.revision)
	}
	w.revision = bootstrap.Revision
	return nil
}

// observeServiceClock estimates the offset of the service's clock from the timestamps of all purges in the backlog. It
// runs before any event of the backlog is applied, because applying a purge converts its timestamp to the local clock.
func (w *Watcher) observeServiceClock(backlog []json.RawMessage) {
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

// applyLine parses one line and applies its event or heartbeat. The line comes from the watch source, or from the
// configuration if source is nil. Events of a watch must have consecutive revisions: a gap is an error, and an event
// that was already applied is ignored.
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

// checkRevision reports whether the event must be applied. This is so if its revision is higher than the last applied
// one, or if it is the first event after a request for all events, even if revision 1 has been applied before. For an
// event of a watch (source is not nil), it returns an error if events between the last one of this watch and this one
// are missing, or if the first event after a request for all events is not a snapshot with revision 1. Events of the
// configuration (source is nil) may have gaps. An event that another watch has brought before is not applied again.
func (w *Watcher) checkRevision(received *event, source *watch) (isNew bool, err error) {
	revision := *received.Revision
	if source == nil {
		return revision > w.revision, nil
	}
	source.caughtUp = false
	if source.fullResync {
		if revision != 1 || received.Update == nil || !received.Update.Snapshot {
			return false, errNotSnapshot
		}
		source.revision = revision
		return true, nil
	}
	if revision <= source.revision { // repeated
		return false, nil
	}
	if revision != source.revision+1 {
		return false, &RevisionError{Got: revision, Last: source.revision}
	}
	source.revision = revision
	source.revisionBehind = false
	source.lagCounted = false
	return revision > w.revision, nil
}

// applyEvent passes the endpoints and the purge of an event to the sink and advances the revision. If the endpoints are
// invalid, nothing is applied; if the purge is invalid, only the endpoints are. In both cases the revision stays
// unchanged.
func (w *Watcher) applyEvent(received *event, source *watch) error {
	if received.Update != nil {
		endpoints, err := w.parseEndpoints(received.Update)
		if err != nil {
			return err
		}
		if source != nil && source.fullResync {
			w.resyncing = true
			w.discardWhere(func(call *watch) bool { return call != source }) // they continue the former revisions
		}
		w.applyEndpoints(received.Update, endpoints)
	}
	if received.Purge != nil {
		if source != nil { // observeServiceClock has observed the timestamps of the configuration's purges.
			w.serviceClock.Observe(received.Purge.serviceTime(), w.now())
		}
		if err := w.applyPurge(received.Purge); err != nil {
			return err
		}
	}
	if source != nil {
		source.fullResync = false
		w.watchesBehind = 0
	}
	w.revision = *received.Revision
	w.Counters.Events++
	return nil
}

// parseEndpoints converts the endpoints of an update. It skips and counts endpoints whose zone or kind is unknown, and
// returns an error if there are more than MaxMembers endpoints or if any endpoint is invalid.
func (w *Watcher) parseEndpoints(update *endpointUpdate) ([]director.Endpoint, error) {
	if count := len(update.Endpoints); count > w.limits.MaxMembers {
		return nil, fmt.Errorf("%w: got %d, limit is %d", errTooManyEndpoints, count, w.limits.MaxMembers)
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

// applyEndpoints passes an update to the sink. During a resync, after the service began again at revision 1, the list
// that it sends may be older than the last list that the director received. An older list is passed on as a partial
// update, so that endpoints that are missing from it are not removed.
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
		w.recordEndpoint(&kept[i])
	}
	w.listVersion = max(w.listVersion, update.Version)
	w.sink.UpdateEndpoints(full, update.Version, kept)
}

// retainDrain prevents a resync from undoing a drain: the list that the service sends after it began again at revision
// 1 may be older than the drain. An entry that is ready in this list, but is known as draining or gone, keeps the known
// state unless the endpoint has been restarted since. retainDrain reports whether the entry must be passed to the sink;
// an endpoint that stays gone need not be.
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

// recordEndpoint stores the state of an endpoint. Once twice MaxMembers endpoints are stored, it first deletes those
// that are gone.
func (w *Watcher) recordEndpoint(entry *director.Endpoint) {
	if len(w.endpoints) >= 2*w.limits.MaxMembers {
		maps.DeleteFunc(w.endpoints, func(_ string, known endpointState) bool { return known.state == routing.Gone })
	}
	w.endpoints[entry.Name] = endpointState{
		state:   entry.State,
		sinceMS: entry.StartedUnixMilli,
		started: entry.Started,
	}
}

// startTime returns when an endpoint was started, on the local clock, or 0 if that was long ago. The time of one start
// is converted once and then reused, even if the estimated offset of the service's clock changes, because a different
// time would mean that the endpoint has restarted.
func (w *Watcher) startTime(entry *endpoint) routing.Time {
	if entry.SinceMS == 0 {
		return 0
	}
	if known, ok := w.endpoints[entry.Name]; ok && known.sinceMS == entry.SinceMS {
		return known.started
	}
	return w.serviceClock.Local(routing.Time(entry.SinceMS) * routing.Time(time.Millisecond))
}

// applyPurge passes a purge to the sink. It returns an InvalidFieldError if the key is not hexadecimal, or if both
// the key and the group are missing.
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

// heartbeat handles a line with only the service's latest revision. It ignores heartbeats in the configuration (source
// is nil) and heartbeats before the first event of a full resync. A revision after the last event of the watch is an
// error, because events are missing. The last applied revision itself shows that the watch has caught up: it ends a
// resync and resets watchesBehind. A revision before the last applied one means that another watch was faster, or that
// the service lags or was restored from a backup; countLag handles the latter.
func (w *Watcher) heartbeat(revision uint64, source *watch) error {
	if source == nil || source.fullResync {
		return nil
	}
	if revision > source.revision {
		return &RevisionError{Got: revision, Last: source.revision}
	}
	source.caughtUp = revision == w.revision
	source.revisionBehind = !source.caughtUp
	if source.caughtUp {
		source.lagCounted = false
		w.watchesBehind = 0
		w.resyncing = false
		return nil
	}
	if revision < source.revision && !source.lagCounted {
		w.countLag(revision, source)
	}
	return nil
}

// countLag counts a watch on which the service's revision is before the last event of the watch, once until the service
// catches up: in Counters.RevisionBehind, and in watchesBehind, the number of consecutive watches of this kind. A
// restored service will use revisions again that were applied here already, and checkRevision ignores the events with
// these revisions although they may differ from the applied ones. When watchesBehind has reached maxWatchesBehind, the
// next subscription therefore requests all events.
func (w *Watcher) countLag(revision uint64, source *watch) {
	source.lagCounted = true
	w.watchesBehind++
	w.Counters.RevisionBehind++
	w.log.Warn("discovery service is behind", zap.String("address", source.address),
		zap.Uint64("service_revision", revision), zap.Uint64("revision", w.revision))
}
