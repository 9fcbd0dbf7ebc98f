package checker

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// cleanHistory is a record in which everything is as it should be.
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

// checkWith judges the clean history with some lines more, in order of time, and without those that hold a text.
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
	thirdDeparture       = `{"ms":250,"kind":"leave","ref":"r3","director":"d0","what":"cancel"}`
	lastEvent            = `{"ms":20000,"kind":"lag","value":0}`
	lateAnswer           = `{"ms":3030,"kind":"answer","ref":"r2","director":"d0","what":"served","since":900}`
)

func requestEvent(ms int, ref string) string {
	const format = `{"ms":%d,"kind":"ask","ref":%q,"director":"d0","class":"media","object":"o1","allow":1000}`
	return fmt.Sprintf(format, ms, ref)
}

func attemptEvent(ms int, ref string) string {
	const format = `{"ms":%d,"kind":"req","who":"c1","director":"d0","ref":%q,"object":"o1","work":0.02}`
	return fmt.Sprintf(format, ms, ref)
}

func answerEvent(ms int, ref, what string) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"answer","ref":%q,"director":"d0","what":%q}`, ms, ref, what)
}

func processEvent(ms int, who, what string) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"process","who":%q,"what":%q}`, ms, who, what)
}

func readyEvent(ms int, who string, after int) string {
	return fmt.Sprintf(`{"ms":%d,"kind":"ready","who":%q,"value":%d}`, ms, who, after)
}

// Each rule broken, and its nearest neighbour that keeps it.
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
		name, without string
		more          []string
		rule          string // "": all is kept
	}{
		{"as it should be", "", nil, ""},
		{"never answered", "", []string{requestEvent(200, "r2")}, "answer"},
		{"lost", "", []string{requestEvent(200, "r2"), answerEvent(300, "r2", "lost")}, "answer"},
		{"spoilt", "", []string{requestEvent(200, "r2"), answerEvent(300, "r2", "spoilt")}, "answer"},
		{"late", "", []string{requestEvent(200, "r2"), answerEvent(1260, "r2", "failed")}, "answer"},
		{"just in time", "", []string{requestEvent(200, "r2"), answerEvent(1240, "r2", "failed")}, ""},
		{"late on a machine that lags", "", []string{requestEvent(200, "r2"), `{"ms":1200,"kind":"lag","value":20}`,
			answerEvent(1300, "r2", "failed")}, ""},
		{"twice", "", []string{answerEvent(300, "r1", "refused")}, "answer"},
		{"a stray answer", "", []string{`{"ms":300,"kind":"stray","who":"d0","n":3}`}, "answer"},
		{"lost with its director", "", []string{requestEvent(200, "r2"), processEvent(250, "d0", "kill"),
			answerEvent(260, "r2", "lost"),
			`{"ms":265,"kind":"process","who":"d0","what":"gone","class":"killed"}`}, ""},
		{"lost by a planned stop", "", []string{requestEvent(200, "r2"), processEvent(150, "d0", "term"),
			answerEvent(260, "r2", "lost")}, "answer"},
		{"taken long after a planned stop", "", []string{requestEvent(2200, "r2"),
			processEvent(1400, "d0", "term"),
			answerEvent(2260, "r2", "lost")}, ""},
		{"late from a stopped one", "", []string{requestEvent(200, "r2"), processEvent(300, "d0", "stop"),
			processEvent(5300, "d0", "cont"),
			answerEvent(5400, "r2", "failed")}, ""},
		{"ran twice", "", []string{`{"ms":155,"kind":"run","who":"s-origin","ref":"p1"}`}, "repayment"},
		{"ran and refused", `"served","since":150`,
			[]string{`{"ms":160,"kind":"answer","ref":"p1","director":"d1","what":"refused"}`}, "repayment"},
		{"ran and failed", `"served","since":150`,
			[]string{`{"ms":160,"kind":"answer","ref":"p1","director":"d1","what":"failed"}`}, ""},
		{"to a draining cache", "", []string{drainEvent, attemptEvent(3100, "r2")}, "drain"},
		{"soon to a draining cache", "", []string{drainEvent, attemptEvent(3040, "r2")}, ""},
		{"filled from a draining cache", "",
			[]string{drainEvent, `{"ms":3100,"kind":"source","who":"c1","director":"d0","ref":"r1"}`}, "drain"},
		{"the drain was not told yet", "", []string{`{"ms":900,"kind":"list","what":"down","value":1}`,
			`{"ms":1000,"kind":"news","who":"c1","what":"draining unheard","n":2}`, attemptEvent(3100, "r2")}, ""},
		{"told late, and heeded later still", "", []string{`{"ms":900,"kind":"list","what":"down","value":1}`,
			`{"ms":1000,"kind":"news","who":"c1","what":"draining unheard","n":2}`,
			`{"ms":2000,"kind":"told","director":"d0","n":2}`, attemptEvent(4100, "r2")}, "drain"},
		{"counts as told after 7 s", "", []string{`{"ms":900,"kind":"list","what":"down","value":1}`,
			`{"ms":1000,"kind":"news","who":"c1","what":"draining unheard","n":2}`,
			`{"ms":10100,"kind":"req","who":"c1","director":"d0","ref":"r1","work":0.02}`}, "drain"},
		{"started with the drain", "",
			[]string{drainEvent, `{"ms":3000,"kind":"process","who":"d0","what":"start","n":1}`, attemptEvent(3100,
				"r2")}, ""},
		{"a cold cache pushed over by two", "", fillsFromTwoDirectors(120), "cold"},
		{"a cold cache that bears it", "", fillsFromTwoDirectors(90), ""},
		{"a cold cache pushed over by who was not told", "",
			append(fillsFromTwoDirectors(120), `{"ms":900,"kind":"news","who":"c2","what":"ready","n":2}`), ""},
		{"an older copy than the purge", "",
			[]string{purgeEvent, requestEvent(3000, "r2"), attemptEvent(3001, "r2"), staleAnswerFromCache,
				lateAnswer}, "purge"},
		{"the purge was just told", "",
			[]string{`{"ms":2600,"kind":"news","what":"purge","object":"o1","since":2600,"n":2}`,
				requestEvent(3000, "r2"), attemptEvent(3001, "r2"), staleAnswerFromCache, lateAnswer}, ""},
		{"a copy since the purge", "",
			[]string{purgeEvent, requestEvent(3000, "r2"), attemptEvent(3001, "r2"),
				strings.Replace(staleAnswerFromCache, "900", "1001", 1), lateAnswer}, ""},
		{"begun after its client had gone, three times", "",
			[]string{requestEvent(200, "r2"), departure, attemptEvent(361, "r2"), attemptEvent(370, "r2"),
				attemptEvent(380, "r2")},
			"left"},
		{"begun after its client had gone, twice", "",
			append([]string{requestEvent(200, "r2"), departure}, attemptEvent(361, "r2"), attemptEvent(370, "r2")), ""},
		{"begun just after its client had gone", "",
			[]string{requestEvent(200, "r2"), departure, attemptEvent(320, "r2"), attemptEvent(340, "r2"),
				attemptEvent(349, "r2")},
			""},
		{"sent on though their clients left as they waited", "",
			[]string{requestEvent(200, "r2"), departure, attemptEvent(600, "r2"), requestEvent(200, "r3"), thirdDeparture,
				attemptEvent(600, "r3")}, "left"},
		{"one of them sent on", "",
			[]string{requestEvent(200, "r2"), departure, attemptEvent(600, "r2"), requestEvent(200, "r3"), thirdDeparture}, ""},
		{"the client of one that is out leaves", "",
			[]string{requestEvent(200, "r2"), attemptEvent(210, "r2"), departure}, ""},
		{"not ready in time", "",
			[]string{processEvent(100, "d2", "start"), readyEvent(10200, "d2", 10100), lastEvent}, "ready"},
		{"never ready", "", []string{processEvent(100, "d2", "start"), lastEvent}, "ready"},
		{"ready in time", "", []string{processEvent(100, "d2", "start"), readyEvent(9900, "d2", 9800), lastEvent}, ""},
		{"killed before it was ready", "",
			[]string{processEvent(100, "d2", "start"), processEvent(5000, "d2", "kill"), lastEvent}, ""},
		{"thirty directors with one call each", "", attemptsFromDistinctDirectors(30, 0.4), "cold"},
		{"twenty directors with one call each", "", attemptsFromDistinctDirectors(20, 0.4), ""},
		{"a crash", "", []string{`{"ms":4000,"kind":"process","who":"d1","what":"gone","class":"status 2"}`}, "crash"},
		{"bad words", "", []string{`{"ms":4000,"kind":"fault","who":"c1","what":"can't use"}`}, "protocol"},
	} {
		t.Run(test.name, func(t *testing.T) {
			verdict := checkWith(t, test.without, test.more...)
			var rules []string
			for _, violation := range verdict.Violations {
				rules = append(rules, violation.Rule)
			}
			var want []string
			if test.rule != "" {
				want = []string{test.rule}
			}
			if !slices.Equal(rules, want) {
				t.Errorf("violations %+v, want %q", verdict.Violations, test.rule)
			}
		})
	}
}

func TestDiscoveryCallMetrics(t *testing.T) {
	var more []string
	for i := range 20 { // twenty directors that start together and call within 100 ms, half of them twice
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
	if metrics["list_peak_ratio"] < 14 || metrics["list_peak_ratio"] > 16 { // all 20 in one of 15 bins
		t.Errorf("peak ratio %v, want about 15", metrics["list_peak_ratio"])
	}
	if got, want := metrics["list_calls_per_start"], 32.0/22; got != want {
		t.Errorf("%v calls a start, want %v", got, want)
	}
	if metrics["list_timeouts"] != 20 {
		t.Errorf("%v time-outs, want 20", metrics["list_timeouts"])
	}
	if metrics["served_share"] != 1 || metrics["requests"] != 2 {
		t.Errorf("served %v of %v", metrics["served_share"], metrics["requests"])
	}
}

// Only requests that are asked 5 s after the end of the last trouble count, with all their attempts.
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
		t.Errorf("%v attempts for a request, want (3+2+1)/3", got)
	}
}

// The share of the largest tenth is held against that of all reads; who left, and repayments, don't count.
func TestLargeReadsShare(t *testing.T) {
	const reads = 39
	more := make([]string, 0, 2*reads+2)
	more = append(more, requestEvent(200, "r2"), departure)
	for i := range reads { // with r1 40 reads, four of which are the largest
		ref := fmt.Sprintf("b%02d", i)
		what := "served"
		if i >= 37 || i%2 == 0 { // of the four largest (35 to 38), one is served
			what = "refused"
		}
		ask := strings.Replace(requestEvent(300, ref), `"allow"`, fmt.Sprintf(`"work":%d,"allow"`, 1+i), 1)
		more = append(more, ask, answerEvent(310, ref, what))
	}
	metrics := checkWith(t, "", more...).Metrics
	if got, want := metrics["large_share"], (1.0/4)/(19.0/40); got != want {
		t.Errorf("share of the largest %v, want %v", got, want)
	}
	if metrics["left"] != 1 {
		t.Errorf("%v left, want 1", metrics["left"])
	}
}

func TestInvalidHistoryIsAnError(t *testing.T) {
	for _, text := range []string{"{", "{}", `{"ms":"x"}`} {
		if _, err := Check(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), "line 1") {
			t.Errorf("%s: error %v", text, err)
		}
	}
}
