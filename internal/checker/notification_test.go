package checker

import (
	"fmt"
	"strings"
	"testing"
)

// Lines of a record: how a stream of the list service ended before event n, a call of it, what it was told, a purge.
func streamEnd(ms int, director, what string, n int, age float64) string {
	return fmt.Sprintf(
		`{"ms":%d,"kind":"stream","director":%q,"what":%q,"n":%d,"value":%v}`,
		ms,
		director,
		what,
		n,
		age,
	)
}

func callAt(ms int, what string) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"call","director":"d0","what":%q,"value":10}`, ms, what)
}

func toldAt(ms, n int) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"told","director":"d0","n":%d}`, ms, n)
}

func purgeAt(ms, n int) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"news","what":"purge","object":"o1","since":%d,"n":%d}`, ms, ms, n)
}

// askedAt is a request of d0 that is answered from a copy older than all purges.
func askedAt(ms int) []string {
	return []string{
		fmt.Sprintf(
			`{"ms":%d,"kind":"ask","ref":"r2","director":"d0","class":"media","object":"o1","allow":1000}`,
			ms-1,
		),
		requestEvent(ms, "r2"),
		fmt.Sprintf(`{"ms":%d,"kind":"done","who":"c1","director":"d0","ref":"r2","what":"OK","since":900}`, ms+20),
		fmt.Sprintf(`{"ms":%d,"kind":"answer","ref":"r2","director":"d0","what":"served","since":900}`, ms+30),
	}
}

// When an event counts as told to a director whose streams the service ends. Each case is played just within and just
// past the limit that follows from its time, which the breach must give: told sooner, the first would break the rule,
// told later, the second would not.
func TestNotificationAfterEndedStreams(t *testing.T) {
	for _, test := range []struct {
		name string
		told int // when the purge counts as told
		more []string
	}{
		{"2 s after a break", 7000, []string{streamEnd(5000, "d0", "break", 2, 4960), purgeAt(5100, 2)}},
		{"4 s after a stop", 9000, []string{streamEnd(5000, "d0", "silent", 2, 4960), purgeAt(5100, 2)}},
		{"as the director asks again after a break", 5610, []string{
			streamEnd(5000, "d0", "break", 2, 4960),
			purgeAt(5100, 2),
			callAt(5600, "served"),
			toldAt(5610, 2),
		}},
		{"as the director asks again after a stop", 6810, []string{
			streamEnd(5000, "d0", "silent", 2, 4960),
			purgeAt(5100, 2),
			callAt(6800, "served"),
			toldAt(6810, 3),
		}},
		{"an ask in vain is none", 7000, []string{
			streamEnd(5000, "d0", "break", 2, 4960),
			purgeAt(5100, 2),
			callAt(5600, "turned away"),
		}},
		{"asked again too late", 7000, []string{
			streamEnd(5000, "d0", "break", 2, 4960),
			purgeAt(5100, 2),
			callAt(7200, "served"),
			toldAt(7210, 2),
		}},
		{"7 s after the event, whatever ends again", 12100, []string{
			streamEnd(5000, "d0", "silent", 2, 4960),
			purgeAt(5100, 2),
			callAt(8000, "served"),
			streamEnd(8001, "d0", "silent", 2, 1),
			callAt(11000, "served"),
			streamEnd(11001, "d0", "silent", 2, 1),
		}},
		{"half an event is none", 7101, []string{purgeAt(5100, 2), streamEnd(5101, "d0", "half", 2, 5061)}},
		{"half an event after the ask", 8001, []string{
			streamEnd(5000, "d0", "break", 2, 4960),
			purgeAt(5100, 2),
			callAt(6000, "served"),
			streamEnd(6001, "d0", "half", 2, 1),
		}},
		{"the last fault counts, a stop after a break", 10001, []string{
			streamEnd(5000, "d0", "break", 2, 4960),
			purgeAt(5100, 2),
			callAt(6000, "served"),
			streamEnd(6001, "d0", "silent", 2, 1),
		}},
		{"a stream that ends behind the event is no fault that counts", 7000, []string{
			streamEnd(5000, "d0", "break", 2, 4960),
			purgeAt(5100, 2),
			callAt(5600, "served"),
			streamEnd(5601, "d0", "break", 3, 1),
		}},
		{"one that comes long after the fault", 8500, []string{
			streamEnd(5000, "d0", "break", 2, 4960),
			purgeAt(8500, 2),
		}},
		{"at once with a stream that works again", 5100, []string{
			streamEnd(4000, "d0", "silent", 2, 3960),
			callAt(5000, "served"),
			purgeAt(5100, 2),
			toldAt(5101, 2),
		}},
		{"at once if written before the break", 5100, []string{
			purgeAt(5100, 2),
			toldAt(5101, 2),
			streamEnd(5102, "d0", "break", 3, 5062),
		}},
		{"at once if there was time to write it", 5100, []string{
			purgeAt(5100, 2),
			streamEnd(5201, "d0", "break", 2, 5161),
		}},
		{"at once if another's stream has ended", 5100, []string{
			streamEnd(5000, "d1", "break", 2, 4100),
			purgeAt(5100, 2),
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			limit := test.told + int(purgeLimit+slack)
			verdict := checkWith(t, "", append(askedAt(limit), test.more...)...)
			if len(verdict.Violations) > 0 {
				t.Errorf("asked just within the limit, and broken %+v", verdict.Violations)
			}
			verdict = checkWith(t, "", append(askedAt(limit+5), test.more...)...)
			wantViolation(t, verdict, "purge", "asked for 555 ms after that was told")
		})
	}
}

// Drains are told as purges are.
func TestDrainIsNotifiedAfterTheBreak(t *testing.T) {
	more := []string{
		streamEnd(5000, "d0", "break", 2, 4960),
		`{"ms":5100,"kind":"news","who":"c1","what":"draining","n":2}`,
	}
	if verdict := checkWith(t, "", append(more, requestEvent(9050, "r2"))...); len(verdict.Violations) > 0 {
		t.Errorf("within the limit, and broken %+v", verdict.Violations)
	}
	verdict := checkWith(t, "", append(more, requestEvent(9055, "r2"))...)
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
		askedAt(9000),
		streamEnd(1240, "d0", "break", 2, 1200),
		callAt(1650, "turned away"),
		callAt(2010, "served"),
		streamEnd(
			2810,
			"d0",
			"silent",
			2,
			800,
		),
		callAt(4120, "served"),
		purgeAt(4500, 2),
		streamEnd(4510, "d0", "half", 2, 390),
		streamEnd(8000, "d1", "break", 3, 4),
	)
	verdict := checkWith(t, "", more...)
	want := "that was told; streams: up 1.20 s, broke; called after 0.40 s, turned away; called after 0.76 s; " +
		"up 0.80 s, silent; called after 1.30 s; up 0.39 s, broke in event 2; without a stream for 4.49 s"
	if len(verdict.Violations) != 1 || !strings.HasSuffix(verdict.Violations[0].Detail, want) {
		t.Errorf("%+v, want %q", verdict.Violations, want)
	}
}

// What young streams come to: those that ended, the longest time without one, and old copies that shows in.
func TestMetricsOfStreams(t *testing.T) {
	more := append(
		askedAt(4000),
		streamEnd(1000, "d0", "break", 2, 960),
		callAt(1400, "turned away"),
		callAt(1900, "served"),
		streamEnd(5000, "d0", "silent", 2, 3100),
		streamEnd(8000, "d1", "half", 2, 2999),
		callAt(6200, "served"),
		purgeAt(3900, 2),
		`{"ms":3950,"kind":"news","what":"purge","object":"o9","since":3950,"n":3}`,
	)
	metrics := checkWith(t, "", more...).Metrics
	for name, want := range map[string]float64{"list_young_ends": 2, "list_deaf_ms_max": 1200, "purges": 2,
		"old_copies": 1} {
		if metrics[name] != want {
			t.Errorf("%s %v, want %v", name, metrics[name], want)
		}
	}
	more = append(more, streamEnd(7000, "d0", "silent", 2, 100))
	if got := checkWith(t, "", more...).Metrics["list_deaf_ms_max"]; got != 2000 { // to the end of the load
		t.Errorf("%v ms without a stream, want 2000", got)
	}
}
