package checker

import (
	"cmp"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// MetricNames are the metrics that a verdict has.
var MetricNames = append(strings.Fields(`
	list_peak_ratio list_calls_per_start list_timeouts list_calls cold_budget_worst origin_fetches_per_object
	origin_busy ready_ms_p99 served_share served_share_all refused_share attempts_per_request attempts_after
	conns_turned_away answer_ms_p50 answer_ms_p99 lag_ms_max requests large_share left purges old_copies
	list_young_ends list_deaf_ms_max`), siteMetricNames...)

const (
	initialPeriod = 20_000.0 // of the load, that served_share counts
	settlingTime  = 5_000.0  // after the end of the last fault, from when on attempts_after counts

	maxHistogramMS     = 120_000
	significantFigures = 3
)

// metrics computes all metrics but those that come from checking a rule.
func (h *history) metrics() map[string]float64 {
	metrics := map[string]float64{}
	for _, name := range MetricNames {
		metrics[name] = 0
	}
	h.discoveryMetrics(metrics)
	h.streamMetrics(metrics)
	asks := h.requestMetrics(metrics)
	h.serverMetrics(metrics)
	h.processMetrics(metrics)
	metrics["left"] = float64(len(h.departures))
	metrics["large_share"] = h.largeReadsShare(asks)
	h.siteMetrics(metrics)
	metrics["bound_share"] = ratio(metrics["served_share_loss"], metrics["served_share_bound"])
	metrics["attempts_after"] = h.attemptsAfterFaults(asks)
	return metrics
}

// newHistogram is one of milliseconds, from 1 to maxHistogramMS.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHistogramMS, significantFigures)
}

// record adds a time to a histogram. A time beyond its range is left out.
func record(histogram *hdrhistogram.Histogram, ms float64) {
	_ = histogram.RecordValue(int64(max(1, ms)))
}

// requestMetrics counts requests and their outcomes. It returns the requests, by ref.
func (h *history) requestMetrics(metrics map[string]float64) (asks map[string]event) {
	asks = map[string]event{}
	var first, firstServed, firstAll, servedAll, refused, attempts, requests float64
	begin, answerTimes := 0.0, newHistogram()
	for _, ev := range h.events {
		switch ev.Kind {
		case kindLoad:
			if ev.What == "begin" {
				begin = ev.AtMS
			}
		case kindAsk:
			asks[ev.Ref] = ev
			requests++
			if ev.Retry {
				break
			}
			firstAll++
			if ev.AtMS-begin <= initialPeriod {
				first++
			}
		case kindNowhere:
			first++
			firstAll++
		case kindAnswer:
			ask := asks[ev.Ref]
			switch ev.What {
			case outcomeServed:
				servedAll++
				record(answerTimes, ev.AtMS-ask.AtMS)
				if ask.AtMS-begin <= initialPeriod {
					firstServed++
				}
			case outcomeRefused:
				refused++
			}
		case kindReq:
			attempts++
		}
	}
	metrics["requests"] = requests
	metrics["served_share"] = min(1, ratio(firstServed, first))
	metrics["served_share_all"] = min(1, ratio(servedAll, firstAll))
	metrics["refused_share"] = ratio(refused, requests)
	metrics["attempts_per_request"] = ratio(attempts, requests)
	metrics["answer_ms_p50"] = float64(answerTimes.ValueAtQuantile(50))
	metrics["answer_ms_p99"] = float64(answerTimes.ValueAtQuantile(99))
	return asks
}

// serverMetrics counts what the origin and the caches met.
func (h *history) serverMetrics(metrics map[string]float64) {
	fetches, objects := 0.0, map[string]bool{}
	for _, ev := range h.events {
		switch {
		case ev.Kind == kindOrigin && ev.What == "busy":
			metrics["origin_busy"]++
		case ev.Kind == kindOrigin:
			fetches++
			objects[ev.Object] = true
		case ev.Kind == kindConn && ev.What == "turned away":
			metrics["conns_turned_away"]++
		}
	}
	metrics["origin_fetches_per_object"] = ratio(fetches, float64(len(objects)))
}

// processMetrics measures how soon processes were ready, and how late the testbed was.
func (h *history) processMetrics(metrics map[string]float64) {
	readyTimes := newHistogram()
	for _, ev := range h.events {
		switch ev.Kind {
		case kindReady:
			record(readyTimes, ev.Value)
		case kindLag:
			metrics["lag_ms_max"] = max(metrics["lag_ms_max"], ev.Value)
		}
	}
	metrics["ready_ms_p99"] = float64(readyTimes.ValueAtQuantile(99))
}

// largeReadsShare is the served share of the tenth of all reads that want the largest objects, over that of all reads.
func (h *history) largeReadsShare(asks map[string]event) float64 {
	var reads []event
	for ref, ask := range asks {
		if _, left := h.departures[ref]; ask.Class != classRepayment && !left {
			reads = append(reads, ask)
		}
	}
	slices.SortFunc(reads, func(a, b event) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Ref, b.Ref))
	})
	servedShare := func(asks []event) float64 {
		served := 0.0
		for _, ask := range asks {
			if h.answers[ask.Ref].What == outcomeServed {
				served++
			}
		}
		return ratio(served, float64(len(asks)))
	}
	return ratio(servedShare(reads[:len(reads)/10]), servedShare(reads))
}

// attemptsAfterFaults is how many attempts a request takes once the last fault has been over for a while.
func (h *history) attemptsAfterFaults(asks map[string]event) float64 {
	lastFault, attempts, requests := 0.0, 0.0, 0.0
	for _, ev := range h.events {
		if ev.Kind == kindStep { // done and never undone, or undone
			lastFault = ev.AtMS
		}
	}
	settled := lastFault + settlingTime
	for _, ask := range asks {
		if ask.AtMS >= settled {
			requests++
		}
	}
	for _, ev := range h.events {
		if ask, known := asks[ev.Ref]; known && ev.Kind == kindReq && ask.AtMS >= settled {
			attempts++
		}
	}
	return ratio(attempts, requests)
}

// ratio is a/b, or 0 where b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
