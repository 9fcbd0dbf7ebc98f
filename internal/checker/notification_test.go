package checker

import (
	"fmt"
	"strings"
	"testing"
)

// streamEndEvent returns the history line for the end of a director's stream before list event n, at the given age of
// the stream in milliseconds.
func streamEndEvent(ms int, director, what string, n int, age float64) string {
	return fmt.Sprintf(
		`{"ms":%d,"kind":"stream","director":%q,"what":%q,"n":%d,"value":%v}`,
		ms,
		director,
		what,
		n,
		age,
	)
}

// callEvent returns the history line for a call of the discovery service by d0, with its outcome.
func callEvent(ms int, what string) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"call","director":"d0","what":%q,"value":10}`, ms, what)
}

// serviceEvent returns the history line for a change of the discovery service's state, or for a break of all streams.
func serviceEvent(ms int, what string) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"list","what":%q}`, ms, what)
}

// deliveryEvent returns the history line for the delivery of list event n to d0.
func deliveryEvent(ms, n int) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"told","director":"d0","n":%d}`, ms, n)
}

// purgeEventAt returns the history line for a purge of o1, published as list event n.
func purgeEventAt(ms, n int) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"news","what":"purge","object":"o1","since":%d,"n":%d}`, ms, ms, n)
}

// staleRequestEvents returns the history lines of a request to d0 that is answered from a copy older than all purges.
// Its attempt is made at ms.
func staleRequestEvents(ms int) []string {
	return []string{
		fmt.Sprintf(
			`{"ms":%d,"kind":"ask","ref":"r2","director":"d0","class":"media","object":"o1","allow":1000}`,
			ms-1,
		),
		attemptEvent(ms, "r2"),
		fmt.Sprintf(`{"ms":%d,"kind":"done","who":"c1","director":"d0","ref":"r2","what":"OK","since":900}`, ms+20),
		fmt.Sprintf(`{"ms":%d,"kind":"answer","ref":"r2","director":"d0","what":"served","since":900}`, ms+30),
	}
}

// TestNotificationAfterEndedStreams guards against a wrong notification time for a director whose streams the
// discovery service ends, or to which it writes nothing while it has stopped. Each case checks an attempt just within
// and one just past the limit that follows from the expected time. If the checker's time is too early, the first
// attempt is a violation; if it is too late, the second is none. The violation's detail must hold the time since the
// notification.
func TestNotificationAfterEndedStreams(t *testing.T) {
	for _, test := range []struct {
		name       string
		notifiedAt int // ms; when the director counts as notified of the purge
		events     []string
	}{
		{"2 s after a break", 7000, []string{
			streamEndEvent(5000, "d0", "break", 2, 4960),
			purgeEventAt(5100, 2),
		}},
		{"4 s after a silent end", 9000, []string{
			streamEndEvent(5000, "d0", "silent", 2, 4960),
			purgeEventAt(5100, 2),
		}},
		{"delivered by a new call after a break", 5610, []string{
			streamEndEvent(5000, "d0", "break", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(5600, "served"),
			deliveryEvent(5610, 2),
		}},
		{"delivered by a new call after a silent end", 6810, []string{
			streamEndEvent(5000, "d0", "silent", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(6800, "served"),
			deliveryEvent(6810, 3),
		}},
		{"a rejected call does not notify", 7000, []string{
			streamEndEvent(5000, "d0", "break", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(5600, "turned away"),
		}},
		{"new call after the grace period", 7000, []string{
			streamEndEvent(5000, "d0", "break", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(7200, "served"),
			deliveryEvent(7210, 2),
		}},
		{"7 s after the event despite further stream ends", 12100, []string{
			streamEndEvent(5000, "d0", "silent", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(8000, "served"),
			streamEndEvent(8001, "d0", "silent", 2, 1),
			callEvent(11000, "served"),
			streamEndEvent(11001, "d0", "silent", 2, 1),
		}},
		{"a partial event does not notify", 7101, []string{
			purgeEventAt(5100, 2),
			streamEndEvent(5101, "d0", "half", 2, 5061),
		}},
		{"a partial event after a new call", 8001, []string{
			streamEndEvent(5000, "d0", "break", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(6000, "served"),
			streamEndEvent(6001, "d0", "half", 2, 1),
		}},
		{"the latest stream end counts, silent after a break", 10001, []string{
			streamEndEvent(5000, "d0", "break", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(6000, "served"),
			streamEndEvent(6001, "d0", "silent", 2, 1),
		}},
		{"a stream end after the event's delivery does not count", 7000, []string{
			streamEndEvent(5000, "d0", "break", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(5600, "served"),
			streamEndEvent(5601, "d0", "break", 3, 1),
		}},
		{"event long after the stream end", 8500, []string{
			streamEndEvent(5000, "d0", "break", 2, 4960),
			purgeEventAt(8500, 2),
		}},
		{"immediate with a working new stream", 5100, []string{
			streamEndEvent(4000, "d0", "silent", 2, 3960),
			callEvent(5000, "served"),
			purgeEventAt(5100, 2),
			deliveryEvent(5101, 2),
		}},
		{"immediate if delivered before the break", 5100, []string{
			purgeEventAt(5100, 2),
			deliveryEvent(5101, 2),
			streamEndEvent(5102, "d0", "break", 3, 5062),
		}},
		{"immediate if the stream ends after the in-flight window", 5100, []string{
			purgeEventAt(5100, 2),
			streamEndEvent(5201, "d0", "break", 2, 5161),
		}},
		{"4 s after a stop of the service, although it goes on before", 9000, []string{
			serviceEvent(5000, "stop"),
			purgeEventAt(5100, 2),
			serviceEvent(7000, "well"),
		}},
		{"at the end of a stop of more than 4 s", 14000, []string{
			serviceEvent(5000, "stop"),
			purgeEventAt(5100, 2),
			serviceEvent(14000, "well"),
			deliveryEvent(14900, 2),
		}},
		{"2 s after a break in a stop", 9800, []string{
			serviceEvent(5000, "stop"),
			purgeEventAt(5100, 2),
			serviceEvent(7800, "break"),
			serviceEvent(8000, "well"),
			serviceEvent(9500, "break"),
		}},
		{"delivered on any stream when the service goes on", 7010, []string{
			serviceEvent(5000, "stop"),
			purgeEventAt(5100, 2),
			serviceEvent(7000, "well"),
			deliveryEvent(7010, 2),
		}},
		{"immediate after a stop", 7100, []string{
			serviceEvent(5000, "stop"),
			serviceEvent(7000, "well"),
			purgeEventAt(7100, 2),
		}},
		{"not delivered before a stop", 9020, []string{
			purgeEventAt(5000, 2),
			serviceEvent(5020, "stop"),
			serviceEvent(6000, "well"),
		}},
		{"immediate if only another director's stream ended", 5100, []string{
			streamEndEvent(5000, "d1", "break", 2, 4100),
			purgeEventAt(5100, 2),
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			limit := test.notifiedAt + int(purgeLimit+slack)
			verdict := checkWith(t, "", append(staleRequestEvents(limit), test.events...)...)
			if len(verdict.Violations) > 0 {
				t.Errorf("attempt just within the limit: got violations %+v, want none", verdict.Violations)
			}
			verdict = checkWith(t, "", append(staleRequestEvents(limit+5), test.events...)...)
			wantViolation(t, verdict, "purge", "asked for 555 ms after that was told")
		})
	}
}

// TestDrainAfterEndedStream checks that a drain, like a purge, counts as notified 2 s after the director's stream
// broke.
func TestDrainAfterEndedStream(t *testing.T) {
	more := []string{
		streamEndEvent(5000, "d0", "break", 2, 4960),
		`{"ms":5100,"kind":"news","who":"c1","what":"draining","n":2}`,
	}
	if verdict := checkWith(t, "", append(more, attemptEvent(9050, "r2"))...); len(verdict.Violations) > 0 {
		t.Errorf("attempt within the limit: got violations %+v, want none", verdict.Violations)
	}
	verdict := checkWith(t, "", append(more, attemptEvent(9055, "r2"))...)
	wantViolation(t, verdict, "drain", "2055 ms after it was told", "up 4.96 s, broke; without a stream for 4.05 s")
}

// wantViolation reports an error unless the verdict has exactly one violation, which is of the given rule and whose
// detail contains all texts.
func wantViolation(t *testing.T, verdict *Verdict, rule string, texts ...string) {
	t.Helper()
	if len(verdict.Violations) != 1 || verdict.Violations[0].Rule != rule {
		t.Errorf("got violations %+v, want one of rule %s", verdict.Violations, rule)
		return
	}
	for _, text := range texts {
		if !strings.Contains(verdict.Violations[0].Detail, text) {
			t.Errorf("got violation %+v, want a detail that contains %q", verdict.Violations[0], text)
		}
	}
}

// TestViolationDescribesStreams checks that a violation's detail lists the latest events of the director's streams,
// limited to streamEventsShown: all events here but the first call.
func TestViolationDescribesStreams(t *testing.T) {
	more := append(
		staleRequestEvents(9000),
		streamEndEvent(1240, "d0", "break", 2, 1200),
		callEvent(1650, "turned away"),
		callEvent(2010, "served"),
		streamEndEvent(
			2810,
			"d0",
			"silent",
			2,
			800,
		),
		callEvent(4120, "served"),
		purgeEventAt(4500, 2),
		streamEndEvent(4510, "d0", "half", 2, 390),
		streamEndEvent(8000, "d1", "break", 3, 4),
	)
	verdict := checkWith(t, "", more...)
	want := "that was told; streams: up 1.20 s, broke; called after 0.40 s, turned away; called after 0.76 s; " +
		"up 0.80 s, silent; called after 1.30 s; up 0.39 s, broke in event 2; without a stream for 4.49 s"
	if len(verdict.Violations) != 1 || !strings.HasSuffix(verdict.Violations[0].Detail, want) {
		t.Errorf("got violations %+v, want one whose detail ends with %q", verdict.Violations, want)
	}
}

// TestStreamMetrics checks the metrics of streams that the testbed ends: the number of young streams, the longest time
// without a stream, and the answers from old copies, which a late notification of a purge causes.
func TestStreamMetrics(t *testing.T) {
	more := append(
		staleRequestEvents(4000),
		streamEndEvent(1000, "d0", "break", 2, 960),
		callEvent(1400, "turned away"),
		callEvent(1900, "served"),
		streamEndEvent(5000, "d0", "silent", 2, 3100),
		streamEndEvent(8000, "d1", "half", 2, 2999),
		callEvent(6200, "served"),
		purgeEventAt(3900, 2),
		`{"ms":3950,"kind":"news","what":"purge","object":"o9","since":3950,"n":3}`,
	)
	metrics := checkWith(t, "", more...).Metrics
	for name, want := range map[string]float64{"list_young_ends": 2, "list_deaf_ms_max": 1200, "purges": 2,
		"old_copies": 1} {
		if metrics[name] != want {
			t.Errorf("%s: got %v, want %v", name, metrics[name], want)
		}
	}
	more = append(more, streamEndEvent(7000, "d0", "silent", 2, 100))
	if got := checkWith(t, "", more...).Metrics["list_deaf_ms_max"]; got != 2000 { // until the end of the load
		t.Errorf("list_deaf_ms_max: got %v, want 2000", got)
	}
}
