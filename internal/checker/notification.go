package checker

import (
	"fmt"
	"strings"
)

// Times in milliseconds that determine when a director counts as notified of an event of the discovery service. The
// first three are the times after which the director counts as notified at the latest.
const (
	notifyLimit        = 7000.0 // after the event, in all cases
	notifyAfterBreak   = 2000.0 // after the director's stream ended in any way other than "silent"
	notifyAfterSilence = 4000.0 // after the service stopped writing to the director's stream and left it open

	// inFlightWindow is the time that a stream needs to deliver an event. If a stream ends at most this long after an
	// event without having delivered it, the director counts as disconnected. If the stream ends later, it had time to
	// deliver the event, and the director counts as notified at the time of the event.
	inFlightWindow = 100.0

	streamEventsShown = 7 // number of a director's latest stream events that a violation lists
)

// notifiedAt returns the time from which a director counts as notified of a list event, which is a published change of
// the endpoint list or a purge. If the discovery service or the links to it are faulty at the event or within
// drainLimit after it, notifiedAt returns the result of deliveredAt. Without such a fault, it returns the result of
// stopNotifiedAt for an event that the service could not write because it stopped, the result of streamNotifiedAt for a
// director with a stream that the testbed ended, and the time of the event for any other director, connected or not.
func (h *history) notifiedAt(director string, listEvent event) float64 {
	if strings.HasSuffix(listEvent.What, "unheard") ||
		h.serviceFaults.overlap(listEvent.AtMS, listEvent.AtMS+drainLimit) {
		return h.deliveredAt(director, listEvent)
	}
	if stop, stopped := h.serviceStops.firstOverlap(listEvent.AtMS, listEvent.AtMS+inFlightWindow); stopped {
		return h.stopNotifiedAt(director, listEvent, stop)
	}
	if h.streamsEnded[director] {
		return h.streamNotifiedAt(director, listEvent)
	}
	return listEvent.AtMS
}

// stopNotifiedAt returns when a director counts as notified of a list event that was published while the service had
// stopped: when the event, or a later one in its place, was written to one of the director's streams, and at the latest
// when the service is well and the grace periods of the stop and of the breaks in it have ended. A director that is
// without a stream then, because it has closed those that it had or because it waits before its next call, counts as
// notified all the same.
func (h *history) stopNotifiedAt(director string, listEvent event, stop interval) float64 {
	latest := max(listEvent.AtMS, stop.to, stop.from+notifyAfterSilence)
	for _, brokenAt := range h.serviceBreaks {
		if brokenAt >= stop.from && brokenAt <= stop.to {
			latest = max(latest, brokenAt+notifyAfterBreak)
		}
	}
	if at, delivered := h.firstDelivery(director, listEvent); delivered {
		return min(latest, at)
	}
	return latest
}

// deliveredAt returns when a list event, or a later list event in its place, was written to a director's stream, but at
// most notifyLimit after the event.
func (h *history) deliveredAt(director string, listEvent event) float64 {
	limit := listEvent.AtMS + notifyLimit
	if at, delivered := h.firstDelivery(director, listEvent); delivered {
		return min(limit, at)
	}
	return limit
}

// firstDelivery returns when a list event, or a later list event in its place, was first written to one of a director's
// streams, and whether that has happened.
func (h *history) firstDelivery(director string, listEvent event) (at float64, delivered bool) {
	for _, ev := range h.deliveries[director] {
		if ev.Number >= listEvent.Number && ev.AtMS >= listEvent.AtMS {
			return ev.AtMS, true
		}
	}
	return 0, false
}

// streamNotifiedAt returns when a director counts as notified of a list event if the testbed has ended some of the
// director's streams. With a working stream, that is the time of the event. Without one, it is the earliest of three
// times: the end of the grace period after its last stream ended (notifyAfterBreak or notifyAfterSilence), the delivery
// of the event over a new stream, and notifyLimit after the event.
func (h *history) streamNotifiedAt(director string, listEvent event) float64 {
	limit := listEvent.AtMS + notifyLimit
	disconnected, graceEnd := false, 0.0 // without a stream, and the end of its grace period
	streamEnded := func(ev event) {      // starts the grace period of the stream that ended
		disconnected, graceEnd = true, ev.AtMS+notifyAfterBreak
		if ev.What == "silent" {
			graceEnd = ev.AtMS + notifyAfterSilence
		}
	}
	for _, ev := range h.discoveryEvents[director] {
		if ev.AtMS <= listEvent.AtMS {
			switch {
			case ev.Kind == kindCall && ev.What == outcomeServed:
				disconnected = false
			case ev.Kind == kindStream:
				streamEnded(ev)
			}
			continue
		}
		if disconnected && ev.AtMS >= graceEnd {
			break // the grace period ended before this event
		}
		switch {
		case ev.Kind == kindTold && ev.Number >= listEvent.Number && disconnected:
			return min(ev.AtMS, limit)
		case ev.Kind == kindTold && ev.Number >= listEvent.Number:
			return listEvent.AtMS
		case ev.Kind == kindStream && ev.Number <= listEvent.Number &&
			(disconnected || ev.AtMS <= listEvent.AtMS+inFlightWindow):
			streamEnded(ev) // the stream ended before it delivered the list event
		}
	}
	if !disconnected {
		return listEvent.AtMS
	}
	return min(max(graceEnd, listEvent.AtMS), limit)
}

// describeStreams returns a description of a director's latest calls and stream ends up to a time, for the detail of a
// violation. It returns an empty string if the testbed ended none of the director's streams.
func (h *history) describeStreams(director string, at float64) string {
	if !h.streamsEnded[director] {
		return ""
	}
	var parts []string
	since, connected := 0.0, false // time of the latest start or end of a stream, and whether it was a start
	for _, ev := range h.discoveryEvents[director] {
		if ev.AtMS > at {
			break
		}
		switch ev.Kind {
		case kindCall:
			part := fmt.Sprintf("called after %.2f s", max(0, ev.AtMS-ev.Value-since)/1000)
			if ev.What != outcomeServed {
				parts = append(parts, part+", "+ev.What)
				continue
			}
			parts = append(parts, part)
			since, connected = ev.AtMS, true
		case kindStream:
			parts = append(parts, fmt.Sprintf("up %.2f s, %s", ev.Value/1000, describeStreamEnd(ev)))
			since, connected = ev.AtMS, false
		}
	}
	last := "without a stream for"
	if connected {
		last = "up for"
	}
	parts = append(parts, fmt.Sprintf("%s %.2f s", last, (at-since)/1000))
	return "; streams: " + strings.Join(parts[max(0, len(parts)-streamEventsShown):], "; ")
}

// describeStreamEnd returns how the testbed ended a stream, or an empty string for an unknown way.
func describeStreamEnd(ev event) string {
	switch ev.What {
	case "break":
		return "broke"
	case "half":
		return fmt.Sprintf("broke in event %d", ev.Number)
	case "silent":
		return "silent"
	}
	return ""
}
