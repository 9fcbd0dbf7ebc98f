package checker

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// siteLossHistory returns a history of two branches, each with one director and one cache (10 concurrent transfers of
// 50 ms, so 200 requests per second), and a hub. Branch b1 is lost from 2 s to 6 s. Each branch gets one media request
// and one repayment every 100 ms for 10 s, whose outcome is the result of served.
func siteLossHistory(served func(ms float64, branch string) string, more ...string) string {
	const (
		ask     = `{"ms":%v,"kind":"ask","ref":"r%d","director":"d%d","site":%q,"class":%q,"allow":2000}`
		request = `{"ms":%v,"kind":"req","ref":"r%d","who":"c%d","director":"d%d","class":%q,"work":0.05}`
		answer  = `{"ms":%v,"kind":"answer","ref":"r%d","director":"d%d","what":%q,"class":%q}`
	)
	lines := []string{
		`{"ms":0,"kind":"capacity","who":"s-origin","value":100}`,
		`{"ms":0,"kind":"home","who":"b1","what":"h1"}`, `{"ms":0,"kind":"home","who":"b2","what":"h1"}`,
		`{"ms":0,"kind":"life","who":"c1","what":"up","site":"b1","weight":10}`,
		`{"ms":0,"kind":"life","who":"c2","what":"up","site":"b2","weight":10}`,
		`{"ms":0,"kind":"life","who":"p1","what":"up","site":"h1","weight":1}`,
		`{"ms":0,"kind":"load","what":"begin"}`}
	n := 0
	for ms := 0.0; ms < 10_000; ms += 100 {
		switch ms {
		case 2000:
			lines = append(lines, `{"ms":2000,"kind":"site","who":"b1","what":"site-kill","value":1}`,
				`{"ms":2000,"kind":"life","who":"c1","what":"down","site":"b1"}`)
		case 6000:
			lines = append(lines, `{"ms":6000,"kind":"life","who":"c3","what":"up","site":"b1","weight":10}`,
				`{"ms":6000,"kind":"site","who":"b1","what":"back"}`)
		}
		for i, branch := range []string{"b1", "b2"} {
			for _, class := range []string{"media", "repayment"} {
				n++
				what := served(ms, branch)
				lines = append(lines,
					fmt.Sprintf(ask, ms, n, i, branch, class),
					fmt.Sprintf(request, ms+1, n, i+1, i, class),
					fmt.Sprintf(answer, ms+20, n, i, what, class))
			}
		}
	}
	lines = append(lines, more...)
	lines = append(lines, `{"ms":10000,"kind":"load","what":"end"}`)
	return strings.Join(lines, "\n")
}

// metricsOf checks a history and returns its metrics.
func metricsOf(t *testing.T, text string) map[string]float64 {
	t.Helper()
	verdict, err := Check(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return verdict.Metrics
}

// wantMetrics reports an error for each metric that differs from its wanted value by more than 1e-6.
func wantMetrics(t *testing.T, metrics map[string]float64, want map[string]float64) {
	t.Helper()
	for name, wantValue := range want {
		if math.Abs(metrics[name]-wantValue) > 1e-6 {
			t.Errorf("%s: got %v, want %v", name, metrics[name], wantValue)
		}
	}
}

// TestSiteLossMetrics checks the metrics of a lost site: one that is detected, one that half of the servers survive,
// one that no director detects while a survivor is overloaded, and one that never ends.
func TestSiteLossMetrics(t *testing.T) {
	refusedDuringLoss := func(ms float64, branch string) string {
		if branch == "b1" && ms >= 2000 && ms < 6700 {
			return "refused"
		}
		return "served"
	}
	metrics := metricsOf(t, siteLossHistory(refusedDuringLoss,
		`{"ms":2300,"kind":"state","who":"d0","site":"b1","what":"lost"}`,
		`{"ms":6100,"kind":"state","who":"d0","site":"b1","what":"returning"}`,
		`{"ms":7500,"kind":"state","who":"d1","site":"b2","what":"cut off"}`))
	wantMetrics(t, metrics, map[string]float64{"served_share_loss": 0.5, "served_share_bound": 0.5, "bound_share": 1,
		"false_alarms":             1,
		"repayments_refused_share": 0.5, "others_refused_share": 0.5, "return_ms_90": 1000, "moves_per_event": 3})
	if metrics["detect_ms_p95"] < 299 || metrics["detect_ms_p95"] > 301 {
		t.Errorf("detect_ms_p95: got %v, want 299 to 301", metrics["detect_ms_p95"])
	}
	// The same report is a false alarm if half of the site's servers are available.
	half := strings.Replace(
		siteLossHistory(refusedDuringLoss, `{"ms":2300,"kind":"state","who":"d0","site":"b1","what":"lost"}`),
		`"what":"site-kill","value":1`, `"what":"site-kill","value":0.5`, 1)
	wantMetrics(t, metricsOf(t, half), map[string]float64{"false_alarms": 1, "moves_per_event": 0, "detect_ms_p95": 0})
	// No director detects the loss, and the hub's cache gets 15 times its capacity within a second.
	overload := make([]string, 0, 300)
	for i := range 300 {
		overload = append(
			overload,
			fmt.Sprintf(`{"ms":%v,"kind":"source","who":"p1","director":"d1","ref":"x","work":0.05}`, 3000+i),
		)
	}
	metrics = metricsOf(t, siteLossHistory(refusedDuringLoss, overload...))
	if metrics["survivor_peak"] < 14.9 || metrics["survivor_peak"] > 15.1 ||
		metrics["detect_ms_p95"] < undetectedMS*0.99 {
		t.Errorf("got survivor_peak %v and detect_ms_p95 %v, want 14.9 to 15.1 and at least 99%% of undetectedMS",
			metrics["survivor_peak"], metrics["detect_ms_p95"])
	}
	// A loss without a "back" event counts up to the end of the load. From 2 s on, all requests of both branches are
	// refused. The served share and its share of the bound must be 0, and because repayments and other requests are
	// refused alike, the difference between their refused shares must be 0 too.
	endless := strings.ReplaceAll(siteLossHistory(func(ms float64, branch string) string {
		if ms >= 2000 {
			return "refused"
		}
		return "served"
	}), `"kind":"site","who":"b1","what":"back"`, `"kind":"none"`)
	wantMetrics(t, metricsOf(t, endless), map[string]float64{"served_share_loss": 0, "bound_share": 0,
		"repayments_refused_excess": 0})
}

// TestServableShareBound checks that the bound of the served share takes into account that the origin limits the
// repayments of all branches, and that a cold cache has a reduced capacity.
func TestServableShareBound(t *testing.T) {
	allServed := func(float64, string) string { return "served" }
	// 10 of the 20 repayments per second come from the available branch, and the origin serves 5 per second.
	slowOrigin := strings.Replace(siteLossHistory(allServed), `"value":100}`, `"value":5}`, 1)
	wantMetrics(t, metricsOf(t, slowOrigin), map[string]float64{"served_share_bound": (0.5 + 0.25) / 2})
	const up = `"what":"up","site":"b2","weight":`
	cold := strings.Replace(siteLossHistory(allServed), up+`10`, up+`1,"cold_from":0.25,"ramp":1000000`, 1)
	bound := metricsOf(t, cold)["served_share_bound"]
	if bound < 0.12 || bound > 0.14 { // 5 of 20 requests per second in b2, none in b1
		t.Errorf("served_share_bound: got %v, want 0.12 to 0.14", bound)
	}
}

// TestLinkFaultMetricsWithoutSiteLoss checks the metrics of a history with a fault of the links to the caches, from 100
// to 900 ms, and without a site loss. The report "cut off" at 200 ms is no false alarm, because it comes during the
// fault. The report "lost" at 20000 ms is the one false alarm, because it comes later than alarmGrace (6 s) after the
// fault's end. The two reports "alone" of one director count once in cut_off_told. The loss metrics served_share_loss
// and detect_ms_p95 must be 0.
func TestLinkFaultMetricsWithoutSiteLoss(t *testing.T) {
	linkFault := strings.Join([]string{
		`{"ms":0,"kind":"load","what":"begin"}`,
		`{"ms":100,"kind":"link","who":"caches","what":"one-way"}`,
		`{"ms":200,"kind":"state","who":"d0","site":"b1","what":"cut off"}`,
		`{"ms":900,"kind":"link","who":"caches","what":"well"}`,
		`{"ms":20000,"kind":"state","who":"d0","site":"b1","what":"lost"}`,
		`{"ms":20100,"kind":"state","who":"d0","what":"alone"}`,
		`{"ms":20900,"kind":"state","who":"d0","what":"alone"}`,
	}, "\n")
	wantMetrics(
		t,
		metricsOf(t, linkFault),
		map[string]float64{"false_alarms": 1, "served_share_loss": 0, "detect_ms_p95": 0,
			"cut_off_told": 1},
	)
}
