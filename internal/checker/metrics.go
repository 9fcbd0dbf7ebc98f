package checker

import (
	"cmp"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// MetricNames lists the names of all metrics of a verdict.
var MetricNames = append(strings.Fields(`
	list_peak_ratio list_calls_per_start list_timeouts list_calls cold_budget_worst origin_fetches_per_object
	origin_busy ready_ms_p99 served_share served_share_all refused_share attempts_per_request attempts_after
	conns_turned_away answer_ms_p50 answer_ms_p99 lag_ms_max requests large_share left purges old_copies
	list_young_ends list_deaf_ms_max`), siteMetricNames...)

const (
	initialPeriod = 20_000.0 // ms after the start of the load whose requests served_share counts
	settlingTime  = 5_000.0  // ms after the last fault until attempts_after starts to count requests

	maxHistogramMS     = 120_000 // longest time that a histogram records
	significantFigures = 3       // precision of a histogram, in decimal digits
)

// metrics computes all metrics except cold_budget_worst and old_copies, which Check takes from the rules' results.
func (h *history) metrics() map[string]float64 {
	metrics := map[string]float64{}
	for _, name := range MetricNames {
		metrics[name] = 0
	}
	h.discoveryMetrics(metrics)
	h.streamMetrics(metrics)
	requests := h.requestMetrics(metrics)
	h.serverMetrics(metrics)
	h.processMetrics(metrics)
	metrics["left"] = float64(len(h.departures))
	metrics["large_share"] = h.largeReadsShare(requests)
	h.siteMetrics(metrics)
	metrics["bound_share"] = ratio(metrics["served_share_loss"], metrics["served_share_bound"])
	metrics["attempts_after"] = h.attemptsAfterFaults(requests)
	return metrics
}

// newHistogram returns a histogram of times from 1 to maxHistogramMS, in milliseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHistogramMS, significantFigures)
}

// record adds a time in milliseconds to a histogram. A time below 1 ms counts as 1 ms; a time above the histogram's
// range is ignored.
func record(histogram *hdrhistogram.Histogram, ms float64) {
	_ = histogram.RecordValue(int64(max(1, ms)))
}

// requestMetrics computes the metrics of requests, their outcomes and their attempts. Served shares divide the served
// requests, including clients' retries, by the clients' first tries, and are at most 1. served_share_all counts the
// requests of the whole run. served_share counts only those sent within initialPeriod (20 s) after the start of the
// load. Its first tries also include those of the whole run for which the load generator found no director
// (kindNowhere). requestMetrics returns the requests by ref.
func (h *history) requestMetrics(metrics map[string]float64) (requests map[string]event) {
	requests = map[string]event{}
	var initialFirstTries, initialServed, firstTries, served, refused, attemptCount, requestCount float64
	begin, answerTimes := 0.0, newHistogram()
	for _, ev := range h.events {
		switch ev.Kind {
		case kindLoad:
			if ev.What == "begin" {
				begin = ev.AtMS
			}
		case kindAsk:
			requests[ev.Ref] = ev
			requestCount++
			if ev.Retry {
				break
			}
			firstTries++
			if ev.AtMS-begin <= initialPeriod {
				initialFirstTries++
			}
		case kindNowhere:
			initialFirstTries++
			firstTries++
		case kindAnswer:
			request := requests[ev.Ref]
			switch ev.What {
			case outcomeServed:
				served++
				record(answerTimes, ev.AtMS-request.AtMS)
				if request.AtMS-begin <= initialPeriod {
					initialServed++
				}
			case outcomeRefused:
				refused++
			}
		case kindReq:
			attemptCount++
		}
	}
	metrics["requests"] = requestCount
	metrics["served_share"] = min(1, ratio(initialServed, initialFirstTries))
	metrics["served_share_all"] = min(1, ratio(served, firstTries))
	metrics["refused_share"] = ratio(refused, requestCount)
	metrics["attempts_per_request"] = ratio(attemptCount, requestCount)
	metrics["answer_ms_p50"] = float64(answerTimes.ValueAtQuantile(50))
	metrics["answer_ms_p99"] = float64(answerTimes.ValueAtQuantile(99))
	return requests
}

// serverMetrics computes the metrics of the origin's fetches and rejections, and of connections that servers rejected.
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

// processMetrics measures the time from the start of a process until it is ready, and the largest delay of the
// testbed's own timers.
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

// largeReadsShare returns the served share of the tenth of all reads that ask for the largest objects, divided by the
// served share of all reads. Requests whose client left do not count.
func (h *history) largeReadsShare(requests map[string]event) float64 {
	var reads []event
	for ref, request := range requests {
		if _, departed := h.departures[ref]; request.Class != classRepayment && !departed {
			reads = append(reads, request)
		}
	}
	slices.SortFunc(reads, func(a, b event) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Ref, b.Ref))
	})
	servedShare := func(requests []event) float64 {
		served := 0.0
		for _, request := range requests {
			if h.answers[request.Ref].What == outcomeServed {
				served++
			}
		}
		return ratio(served, float64(len(requests)))
	}
	return ratio(servedShare(reads[:len(reads)/10]), servedShare(reads))
}

// attemptsAfterFaults returns the mean number of attempts per request, over the requests that come at least
// settlingTime after the last fault.
func (h *history) attemptsAfterFaults(requests map[string]event) float64 {
	lastFault, attemptCount, requestCount := 0.0, 0.0, 0.0
	for _, ev := range h.events {
		if ev.Kind == kindStep { // the end of a fault, or the start of a fault that never ends
			lastFault = ev.AtMS
		}
	}
	settled := lastFault + settlingTime
	for _, request := range requests {
		if request.AtMS >= settled {
			requestCount++
		}
	}
	for _, ev := range h.events {
		if request, known := requests[ev.Ref]; known && ev.Kind == kindReq && request.AtMS >= settled {
			attemptCount++
		}
	}
	return ratio(attemptCount, requestCount)
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
