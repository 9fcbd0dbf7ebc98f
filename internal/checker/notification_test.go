package checker

import (
	"fmt"
	"strings"
	"testing"
)

// Lines of a record: how a stream of the list service ended before event n, a call of it, what it was told, a purge.
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

func callEvent(ms int, what string) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"call","director":"d0","what":%q,"value":10}`, ms, what)
}

func deliveryEvent(ms, n int) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"told","director":"d0","n":%d}`, ms, n)
}

func purgeEventAt(ms, n int) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"news","what":"purge","object":"o1","since":%d,"n":%d}`, ms, ms, n)
}

// staleRequestEvents is a request of d0 that is answered from a copy older than all purges.
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

// When an event counts as told to a director whose streams the service ends. Each case is played just within and just
// past the limit that follows from its time, which the breach must give: told sooner, the first would break the rule,
// told later, the second would not.
func TestNotificationAfterEndedStreams(t *testing.T) {
	for _, test := range []struct {
		name       string
		notifiedAt int // when the purge counts as told
		events     []string
	}{
		{"2 s after a break", 7000, []string{streamEndEvent(5000, "d0", "break", 2, 4960), purgeEventAt(5100, 2)}},
		{"4 s after a stop", 9000, []string{streamEndEvent(5000, "d0", "silent", 2, 4960), purgeEventAt(5100, 2)}},
		{"as the director asks again after a break", 5610, []string{
			streamEndEvent(5000, "d0", "break", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(5600, "served"),
			deliveryEvent(5610, 2),
		}},
		{"as the director asks again after a stop", 6810, []string{
			streamEndEvent(5000, "d0", "silent", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(6800, "served"),
			deliveryEvent(6810, 3),
		}},
		{"an ask in vain is none", 7000, []string{
			streamEndEvent(5000, "d0", "break", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(5600, "turned away"),
		}},
		{"asked again too late", 7000, []string{
			streamEndEvent(5000, "d0", "break", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(7200, "served"),
			deliveryEvent(7210, 2),
		}},
		{"7 s after the event, whatever ends again", 12100, []string{
			streamEndEvent(5000, "d0", "silent", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(8000, "served"),
			streamEndEvent(8001, "d0", "silent", 2, 1),
			callEvent(11000, "served"),
			streamEndEvent(11001, "d0", "silent", 2, 1),
		}},
		{"half an event is none", 7101, []string{purgeEventAt(5100, 2), streamEndEvent(5101, "d0", "half", 2, 5061)}},
		{"half an event after the ask", 8001, []string{
			streamEndEvent(5000, "d0", "break", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(6000, "served"),
			streamEndEvent(6001, "d0", "half", 2, 1),
		}},
		{"the last fault counts, a stop after a break", 10001, []string{
			streamEndEvent(5000, "d0", "break", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(6000, "served"),
			streamEndEvent(6001, "d0", "silent", 2, 1),
		}},
		{"a stream that ends behind the event is no fault that counts", 7000, []string{
			streamEndEvent(5000, "d0", "break", 2, 4960),
			purgeEventAt(5100, 2),
			callEvent(5600, "served"),
			streamEndEvent(5601, "d0", "break", 3, 1),
		}},
		{"one that comes long after the fault", 8500, []string{
			streamEndEvent(5000, "d0", "break", 2, 4960),
			purgeEventAt(8500, 2),
		}},
		{"at once with a stream that works again", 5100, []string{
			streamEndEvent(4000, "d0", "silent", 2, 3960),
			callEvent(5000, "served"),
			purgeEventAt(5100, 2),
			deliveryEvent(5101, 2),
		}},
		{"at once if written before the break", 5100, []string{
			purgeEventAt(5100, 2),
			deliveryEvent(5101, 2),
			streamEndEvent(5102, "d0", "break", 3, 5062),
		}},
		{"at once if there was time to write it", 5100, []string{
			purgeEventAt(5100, 2),
			streamEndEvent(5201, "d0", "break", 2, 5161),
		}},
		{"at once if another's stream has ended", 5100, []string{
			streamEndEvent(5000, "d1", "break", 2, 4100),
			purgeEventAt(5100, 2),
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			limit := test.notifiedAt + int(purgeLimit+slack)
			verdict := checkWith(t, "", append(staleRequestEvents(limit), test.events...)...)
			if len(verdict.Violations) > 0 {
				t.Errorf("asked just within the limit, and broken %+v", verdict.Violations)
			}
			verdict = checkWith(t, "", append(staleRequestEvents(limit+5), test.events...)...)
			wantViolation(t, verdict, "purge", "asked for 555 ms after that was told")
		})
	}
}

// Drains are told as purges are.
func TestDrainAfterEndedStream(t *testing.T) {
	more := []string{
		streamEndEvent(5000, "d0", "break", 2, 4960),
		`{"ms":5100,"kind":"news","who":"c1","what":"draining","n":2}`,
	}
	if verdict := checkWith(t, "", append(more, attemptEvent(9050, "r2"))...); len(verdict.Violations) > 0 {
		t.Errorf("within the limit, and broken %+v", verdict.Violations)
	}
	verdict := checkWith(t, "", append(more, attemptEvent(9055, "r2"))...)
	wantViolation(t, verdict, "drain", "2055 ms after it was told", "up 4.96 s, broke; without a stream for 4.05 s")
}

// wantViolation makes sure that there is one violation, of a rule, whose detail holds some texts.
func wantViolation(t *testing.T, verdict *Verdict, rule string, texts ...string) {
	t.Helper()
	if len(verdict.Violations) != 1 || verdict.Violations[0].Rule != rule {
		t.Errorf("violations %+v, want one of %s", verdict.Violations, rule)
		return
	}
	for _, text := range texts {
		if !strings.Contains(verdict.Violations[0].Detail, text) {
			t.Errorf("violation %+v, want %q in it", verdict.Violations[0], text)
		}
	}
}

// A breach tells after which happenings of the director's streams it came, the last few: here all but the first call.
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
		t.Errorf("%+v, want %q", verdict.Violations, want)
	}
}

// What young streams come to: those that ended, the longest time without one, and old copies that shows in.
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
			t.Errorf("%s %v, want %v", name, metrics[name], want)
		}
	}
	more = append(more, streamEndEvent(7000, "d0", "silent", 2, 100))
	if got := checkWith(t, "", more...).Metrics["list_deaf_ms_max"]; got != 2000 { // to the end of the load
		t.Errorf("%v ms without a stream, want 2000", got)
	}
}
