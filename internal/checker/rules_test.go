package checker

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// cleanHistory is a history without violations.
var cleanHistory = []string{
	`{"ms":1,"kind":"meta","what":"story","n":2}`,
	`{"ms":2,"kind":"life","who":"c1","what":"up","class":"edge","weight":10}`,
	`{"ms":2,"kind":"life","who":"c2","what":"up","class":"edge","weight":10,` +
		`"cold_from":0.5,"ramp":10000,"fall":1000,"multiple":2}`,
	`{"ms":3,"kind":"news","what":"list","n":1}`,
	`{"ms":5,"kind":"process","who":"d0","what":"start","n":1}`,
	`{"ms":5,"kind":"process","who":"d1","what":"start","n":1}`,
	`{"ms":30,"kind":"ready","who":"d0","value":25}`,
	`{"ms":40,"kind":"call","director":"d0","what":"served","value":1}`,
	`{"ms":900,"kind":"call","director":"d1","what":"served","value":1}`,
	`{"ms":100,"kind":"load","what":"begin"}`,
	`{"ms":110,"kind":"ask","ref":"r1","director":"d0","class":"media","object":"o1","allow":1000}`,
	`{"ms":111,"kind":"req","who":"c1","director":"d0","ref":"r1","class":"media","object":"o1","work":0.02}`,
	`{"ms":130,"kind":"done","who":"c1","director":"d0","ref":"r1","what":"OK","class":"HIT","since":50}`,
	`{"ms":131,"kind":"answer","ref":"r1","director":"d0","what":"served","since":50}`,
	`{"ms":140,"kind":"ask","ref":"p1","director":"d1","class":"repayment","object":"o2","allow":1000}`,
	`{"ms":150,"kind":"run","who":"s-origin","ref":"p1"}`,
	`{"ms":160,"kind":"answer","ref":"p1","director":"d1","what":"served","since":150}`,
	`{"ms":9000,"kind":"load","what":"end"}`,
	`{"ms":9010,"kind":"process","who":"d0","what":"gone","class":"killed"}`,
	`{"ms":9010,"kind":"process","who":"d1","what":"gone","class":"killed"}`,
}

// checkWith checks cleanHistory without the lines that contain omit, if omit is not empty, and with further events. It
// sorts the lines by time.
func checkWith(t *testing.T, omit string, events ...string) *Verdict {
	t.Helper()
	lines := slices.DeleteFunc(slices.Clone(cleanHistory), func(line string) bool {
		return omit != "" && strings.Contains(line, omit)
	})
	lines = append(lines, events...)
	at := func(line string) (ms float64) {
		if _, err := fmt.Sscanf(line, `{"ms":%f`, &ms); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		return ms
	}
	slices.SortStableFunc(lines, func(a, b string) int { return int(at(a) - at(b)) })
	verdict, err := Check(strings.NewReader(strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	return verdict
}

const (
	drainEvent           = `{"ms":1000,"kind":"news","who":"c1","what":"draining","n":2}`
	purgeEvent           = `{"ms":1000,"kind":"news","what":"purge","object":"o1","since":1000,"n":2}`
	staleAnswerFromCache = `{"ms":3021,"kind":"done","who":"c1","director":"d0","ref":"r2","what":"OK","since":900}`
	departure            = `{"ms":250,"kind":"leave","ref":"r2","director":"d0","what":"close"}`
	departureOfR3        = `{"ms":250,"kind":"leave","ref":"r3","director":"d0","what":"cancel"}`
	lastEvent            = `{"ms":20000,"kind":"lag","value":0}`
	lateAnswer           = `{"ms":3030,"kind":"answer","ref":"r2","director":"d0","what":"served","since":900}`
)

// requestEvent returns the history line for a client's request to d0.
func requestEvent(ms int, ref string) string {
	const format = `{"ms":%d,"kind":"ask","ref":%q,"director":"d0","class":"media","object":"o1","allow":1000}`
	return fmt.Sprintf(format, ms, ref)
}

// attemptEvent returns the history line for an attempt of d0 at the cache c1.
func attemptEvent(ms int, ref string) string {
	const format = `{"ms":%d,"kind":"req","who":"c1","director":"d0","ref":%q,"object":"o1","work":0.02}`
	return fmt.Sprintf(format, ms, ref)
}

// answerEvent returns the history line for an answer of d0 to its client.
func answerEvent(ms int, ref, what string) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"answer","ref":%q,"director":"d0","what":%q}`, ms, ref, what)
}

// processEvent returns the history line for a start or signal of a director's process.
func processEvent(ms int, who, what string) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"process","who":%q,"what":%q}`, ms, who, what)
}

// readyEvent returns the history line for a director that became ready after the given milliseconds.
func readyEvent(ms int, who string, after int) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"ready","who":%q,"value":%d}`, ms, who, after)
}

// TestRules guards against rules that miss a violation or report one where there is none. For each rule it checks
// histories that violate the rule, and similar histories that just comply with it.
func TestRules(t *testing.T) {
	fillsFromTwoDirectors := func(n int) (lines []string) {
		for i := range n {
			const format = `{"ms":%d,"kind":"source","who":"c2","director":"d%d","ref":"x","work":0.1}`
			lines = append(lines, fmt.Sprintf(format, 500+i, i%2))
		}
		return lines
	}
	attemptsFromDistinctDirectors := func(n int, work float64) (lines []string) {
		for i := range n {
			const format = `{"ms":%d,"kind":"req","who":"c2","director":"d%d","ref":"x","work":%v}`
			lines = append(lines, fmt.Sprintf(format, 500+i, 10+i, work))
		}
		return lines
	}
	for _, test := range []struct {
		name, omit string
		events     []string
		rule       string // rule of the expected violation; empty for none
	}{
		{"no violations", "", nil, ""},
		{"no answer", "", []string{requestEvent(200, "r2")}, "answer"},
		{"lost answer", "", []string{requestEvent(200, "r2"), answerEvent(300, "r2", "lost")}, "answer"},
		{"corrupt answer", "", []string{requestEvent(200, "r2"), answerEvent(300, "r2", "spoilt")}, "answer"},
		{"late answer", "", []string{requestEvent(200, "r2"), answerEvent(1260, "r2", "failed")}, "answer"},
		{"answer just within the limit", "", []string{requestEvent(200, "r2"), answerEvent(1240, "r2", "failed")}, ""},
		{"late answer within the lag allowance", "", []string{requestEvent(200, "r2"),
			`{"ms":1200,"kind":"lag","value":20}`,
			answerEvent(1300, "r2", "failed")}, ""},
		{"answered twice", "", []string{answerEvent(300, "r1", "refused")}, "answer"},
		{"answer without an open call", "", []string{`{"ms":300,"kind":"stray","who":"d0","n":3}`}, "answer"},
		{"lost answer of a killed director", "", []string{requestEvent(200, "r2"), processEvent(250, "d0", "kill"),
			answerEvent(260, "r2", "lost"),
			`{"ms":265,"kind":"process","who":"d0","what":"gone","class":"killed"}`}, ""},
		{"lost answer in a graceful shutdown", "", []string{requestEvent(200, "r2"), processEvent(150, "d0", "term"),
			answerEvent(260, "r2", "lost")}, "answer"},
		{"request after the shutdown grace", "", []string{requestEvent(2200, "r2"),
			processEvent(1400, "d0", "term"),
			answerEvent(2260, "r2", "lost")}, ""},
		{"late answer of a suspended director", "", []string{requestEvent(200, "r2"), processEvent(300, "d0", "stop"),
			processEvent(5300, "d0", "cont"),
			answerEvent(5400, "r2", "failed")}, ""},
		{"ran twice", "", []string{`{"ms":155,"kind":"run","who":"s-origin","ref":"p1"}`}, "repayment"},
		{"ran and refused", `"served","since":150`,
			[]string{`{"ms":160,"kind":"answer","ref":"p1","director":"d1","what":"refused"}`}, "repayment"},
		{"ran and failed", `"served","since":150`,
			[]string{`{"ms":160,"kind":"answer","ref":"p1","director":"d1","what":"failed"}`}, ""},
		{"request to a draining cache", "", []string{drainEvent, attemptEvent(3100, "r2")}, "drain"},
		{"request to a draining cache within the limit", "", []string{drainEvent, attemptEvent(3040, "r2")}, ""},
		{"fill from a draining cache", "",
			[]string{drainEvent, `{"ms":3100,"kind":"source","who":"c1","director":"d0","ref":"r1"}`}, "drain"},
		{"drain not delivered yet", "", []string{`{"ms":900,"kind":"list","what":"down","value":1}`,
			`{"ms":1000,"kind":"news","who":"c1","what":"draining unheard","n":2}`, attemptEvent(3100, "r2")}, ""},
		{"drain delivered late, request past the limit", "", []string{
			`{"ms":900,"kind":"list","what":"down","value":1}`,
			`{"ms":1000,"kind":"news","who":"c1","what":"draining unheard","n":2}`,
			`{"ms":2000,"kind":"told","director":"d0","n":2}`, attemptEvent(4100, "r2")}, "drain"},
		{"drain counts as notified after 7 s", "", []string{`{"ms":900,"kind":"list","what":"down","value":1}`,
			`{"ms":1000,"kind":"news","who":"c1","what":"draining unheard","n":2}`,
			`{"ms":10100,"kind":"req","who":"c1","director":"d0","ref":"r1","work":0.02}`}, "drain"},
		{"process started after the drain", "",
			[]string{drainEvent, `{"ms":3000,"kind":"process","who":"d0","what":"start","n":1}`, attemptEvent(3100,
				"r2")}, ""},
		{"cold cache overloaded by two directors", "", fillsFromTwoDirectors(120), "cold"},
		{"cold cache within its budget", "", fillsFromTwoDirectors(90), ""},
		{"cold cache overloaded by directors not yet notified", "",
			append(fillsFromTwoDirectors(120), `{"ms":900,"kind":"news","who":"c2","what":"ready","n":2}`), ""},
		{"copy older than the purge", "",
			[]string{purgeEvent, requestEvent(3000, "r2"), attemptEvent(3001, "r2"), staleAnswerFromCache,
				lateAnswer}, "purge"},
		{"purge just notified", "",
			[]string{`{"ms":2600,"kind":"news","what":"purge","object":"o1","since":2600,"n":2}`,
				requestEvent(3000, "r2"), attemptEvent(3001, "r2"), staleAnswerFromCache, lateAnswer}, ""},
		{"copy newer than the purge", "",
			[]string{purgeEvent, requestEvent(3000, "r2"), attemptEvent(3001, "r2"),
				strings.Replace(staleAnswerFromCache, "900", "1001", 1), lateAnswer}, ""},
		{"three attempts after the client left", "",
			[]string{requestEvent(200, "r2"), departure, attemptEvent(361, "r2"), attemptEvent(370, "r2"),
				attemptEvent(380, "r2")},
			"left"},
		{"two attempts after the client left", "",
			append([]string{requestEvent(200, "r2"), departure}, attemptEvent(361, "r2"), attemptEvent(370, "r2")), ""},
		{"attempts within the grace after the client left", "",
			[]string{requestEvent(200, "r2"), departure, attemptEvent(320, "r2"), attemptEvent(340, "r2"),
				attemptEvent(349, "r2")},
			""},
		{"two waiting requests sent after their clients left", "",
			[]string{requestEvent(200, "r2"), departure, attemptEvent(600, "r2"), requestEvent(200, "r3"),
				departureOfR3, attemptEvent(600, "r3")}, "left"},
		{"one waiting request sent after its client left", "",
			[]string{requestEvent(200, "r2"), departure, attemptEvent(600, "r2"), requestEvent(200, "r3"),
				departureOfR3}, ""},
		{"client leaves during an attempt", "",
			[]string{requestEvent(200, "r2"), attemptEvent(210, "r2"), departure}, ""},
		{"not ready in time", "",
			[]string{processEvent(100, "d2", "start"), readyEvent(10200, "d2", 10100), lastEvent}, "ready"},
		{"never ready", "", []string{processEvent(100, "d2", "start"), lastEvent}, "ready"},
		{"ready in time", "", []string{processEvent(100, "d2", "start"), readyEvent(9900, "d2", 9800), lastEvent}, ""},
		{"killed before it was ready", "",
			[]string{processEvent(100, "d2", "start"), processEvent(5000, "d2", "kill"), lastEvent}, ""},
		{"cold cache overloaded by thirty directors with one attempt each", "",
			attemptsFromDistinctDirectors(30, 0.4), "cold"},
		{"cold cache within its budget with twenty directors", "", attemptsFromDistinctDirectors(20, 0.4), ""},
		{"crash", "", []string{`{"ms":4000,"kind":"process","who":"d1","what":"gone","class":"status 2"}`}, "crash"},
		{"invalid message", "", []string{`{"ms":4000,"kind":"fault","who":"c1","what":"can't use"}`}, "protocol"},
	} {
		t.Run(test.name, func(t *testing.T) {
			verdict := checkWith(t, test.omit, test.events...)
			var rules []string
			for _, violation := range verdict.Violations {
				rules = append(rules, violation.Rule)
			}
			var want []string
			if test.rule != "" {
				want = []string{test.rule}
			}
			if !slices.Equal(rules, want) {
				t.Errorf("got violations %+v, want rules %q", verdict.Violations, want)
			}
		})
	}
}

// TestDiscoveryCallMetrics checks the metrics of calls of the discovery service, with a batch of directors whose first
// calls come at almost the same time and time out.
func TestDiscoveryCallMetrics(t *testing.T) {
	var more []string
	for i := range 20 { // 20 directors start in one batch and call within 100 ms, half of them twice
		more = append(more, fmt.Sprintf(`{"ms":%d,"kind":"process","who":"e%d","what":"start"}`, 2000+i, i),
			fmt.Sprintf(`{"ms":%d,"kind":"call","director":"e%d","what":"timed out","value":100}`, 2200+i, i))
		if i%2 == 0 {
			more = append(
				more,
				fmt.Sprintf(`{"ms":%d,"kind":"call","director":"e%d","what":"served","value":1}`, 2400+i, i),
			)
		}
	}
	metrics := checkWith(t, "", more...).Metrics
	if metrics["list_peak_ratio"] < 14 || metrics["list_peak_ratio"] > 16 { // all 20 calls fall into one of 15 bins
		t.Errorf("list_peak_ratio: got %v, want 14 to 16", metrics["list_peak_ratio"])
	}
	if got, want := metrics["list_calls_per_start"], 32.0/22; got != want {
		t.Errorf("list_calls_per_start: got %v, want %v", got, want)
	}
	if metrics["list_timeouts"] != 20 {
		t.Errorf("list_timeouts: got %v, want 20", metrics["list_timeouts"])
	}
	if metrics["served_share"] != 1 || metrics["requests"] != 2 {
		t.Errorf("got served_share %v of %v requests, want 1 of 2", metrics["served_share"], metrics["requests"])
	}
}

// TestAttemptsAfterFaults checks that attempts_after covers only the requests that come at least 5 s after the end of
// the last fault, and counts all their attempts.
func TestAttemptsAfterFaults(t *testing.T) {
	more := []string{
		`{"ms":2000,"kind":"step","who":"origin-slow","what":"done"}`,
		`{"ms":4000,"kind":"step","who":"origin-slow","what":"undone"}`,
	}
	for i, at := range []int{8990, 9000, 9500, 9600} {
		ref := fmt.Sprintf("a%d", i)
		more = append(more, requestEvent(at, ref), answerEvent(at+50, ref, "refused"))
		for range 4 - i {
			more = append(more, attemptEvent(at+10, ref))
		}
	}
	if got := checkWith(t, "", more...).Metrics["attempts_after"]; got != 2 {
		t.Errorf("attempts_after: got %v, want (3+2+1)/3 = 2", got)
	}
}

// TestLargeReadsShare checks that large_share is the served share of the largest tenth of the reads, divided by the
// served share of all reads, and that repayments and requests whose client left do not count.
func TestLargeReadsShare(t *testing.T) {
	const reads = 39
	more := make([]string, 0, 2*reads+2)
	more = append(more, requestEvent(200, "r2"), departure)
	for i := range reads { // 40 reads including r1, so the largest tenth are four
		ref := fmt.Sprintf("b%02d", i)
		what := "served"
		if i >= 37 || i%2 == 0 { // one of the four largest (35 to 38) is served
			what = "refused"
		}
		ask := strings.Replace(requestEvent(300, ref), `"allow"`, fmt.Sprintf(`"work":%d,"allow"`, 1+i), 1)
		more = append(more, ask, answerEvent(310, ref, what))
	}
	metrics := checkWith(t, "", more...).Metrics
	if got, want := metrics["large_share"], (1.0/4)/(19.0/40); got != want {
		t.Errorf("large_share: got %v, want %v", got, want)
	}
	if metrics["left"] != 1 {
		t.Errorf("left: got %v, want 1", metrics["left"])
	}
}

func TestInvalidHistoryIsAnError(t *testing.T) {
	for _, text := range []string{"{", "{}", `{"ms":"x"}`} {
		if _, err := Check(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), "line 1") {
			t.Errorf("Check(%q): got error %v, want one that names line 1", text, err)
		}
	}
}
