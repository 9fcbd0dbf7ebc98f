package checker

import (
	"fmt"
	"strings"
)

// When a director counts as notified of an event of the list service, in milliseconds.
const (
	notifyLimit        = 7000.0 // after the event, whatever happens
	notifyAfterBreak   = 2000.0 // after the service broke a stream off
	notifyAfterSilence = 4000.0 // after the service stopped writing to a stream and left it open
	inFlightWindow     = 100.0  // a stream that ends so soon after an event may not have delivered it any more

	streamEventsShown = 7 // of a director's latest stream events that a violation names
)

// notifiedAt is when a director counts as notified of an event: at once, whether it is connected or not, if the service
// is well from then on; otherwise when the event was written to it, or notifyLimit later. A director whose stream the
// service has ended, while it is well otherwise, has the times of streamNotifiedAt.
func (h *history) notifiedAt(director string, news event) float64 {
	if strings.HasSuffix(news.What, "unheard") || h.serviceFaults.overlap(news.AtMS, news.AtMS+drainLimit) {
		return h.deliveredAt(director, news)
	}
	if h.flapped[director] {
		return h.streamNotifiedAt(director, news)
	}
	return news.AtMS
}

// deliveredAt is when an event was written to a director, but at most notifyLimit after it.
func (h *history) deliveredAt(director string, news event) float64 {
	limit := news.AtMS + notifyLimit
	for _, ev := range h.deliveries[director] {
		if ev.Number >= news.Number && ev.AtMS >= news.AtMS {
			return min(limit, ev.AtMS)
		}
	}
	return limit
}

// streamNotifiedAt is when a director, some of whose streams the service has ended, counts as notified of an event: at
// once, if it has a stream that works; otherwise a while after the end of its last stream, or when the event was
// written to it after a call of its own, or notifyLimit after the event, whichever comes first.
func (h *history) streamNotifiedAt(director string, news event) float64 {
	limit := news.AtMS + notifyLimit
	deaf, deadline := false, 0.0 // without a stream, and until when that excuses it
	streamEnded := func(ev event) {
		deaf, deadline = true, ev.AtMS+notifyAfterBreak
		if ev.What == "silent" {
			deadline = ev.AtMS + notifyAfterSilence
		}
	}
	for _, ev := range h.discoveryEvents[director] {
		if ev.AtMS <= news.AtMS {
			switch {
			case ev.Kind == kindCall && ev.What == outcomeServed:
				deaf = false
			case ev.Kind == kindStream:
				streamEnded(ev)
			}
			continue
		}
		if deaf && ev.AtMS >= deadline {
			break // it counted as notified before this
		}
		switch {
		case ev.Kind == kindTold && ev.Number >= news.Number && deaf:
			return min(ev.AtMS, limit)
		case ev.Kind == kindTold && ev.Number >= news.Number:
			return news.AtMS
		case ev.Kind == kindStream && ev.Number <= news.Number && (deaf || ev.AtMS <= news.AtMS+inFlightWindow):
			streamEnded(ev) // without having delivered the event
		}
	}
	if !deaf {
		return news.AtMS
	}
	return min(max(deadline, news.AtMS), limit)
}

// describeStreams tells of the latest calls of a director, and how its streams ended, up to a time. It is empty for a
// director none of whose streams was ended.
func (h *history) describeStreams(director string, at float64) string {
	if !h.flapped[director] {
		return ""
	}
	var parts []string
	since, up := 0.0, false // the last end or begin of a stream
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
			since, up = ev.AtMS, true
		case kindStream:
			parts = append(parts, fmt.Sprintf("up %.2f s, %s", ev.Value/1000, describeStreamEnd(ev)))
			since, up = ev.AtMS, false
		}
	}
	last := "without a stream for"
	if up {
		last = "up for"
	}
	parts = append(parts, fmt.Sprintf("%s %.2f s", last, (at-since)/1000))
	return "; streams: " + strings.Join(parts[max(0, len(parts)-streamEventsShown):], "; ")
}

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
