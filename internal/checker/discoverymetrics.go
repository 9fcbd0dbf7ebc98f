package checker

import "slices"

const (
	maxStartGap      = 500.0   // ms between consecutive process starts of one batch
	minStartPeriod   = 1_500.0 // ms; shortest period over which the mean rate of first calls is computed
	callBinWidth     = 100.0   // ms; bin of the call rate
	startCallsPeriod = 3_000.0 // ms after a process start, in which a director's calls belong to that start
	youngStreamAge   = 3_000.0 // ms; a stream that ends at a lower age counts in list_young_ends
)

// streamMetrics counts purges and the streams that the testbed ended before youngStreamAge. It also measures the
// longest time in milliseconds that a director was without a stream after the testbed had ended its stream. That time
// lasts until the discovery service serves a call of the director or the load ends; it is not counted if the process
// ends.
func (h *history) streamMetrics(metrics map[string]float64) {
	disconnectedSince := map[string]float64{} // by director
	endDisconnection := func(director string, at float64) {
		if since, ok := disconnectedSince[director]; ok {
			metrics["list_deaf_ms_max"] = max(metrics["list_deaf_ms_max"], at-since)
			delete(disconnectedSince, director)
		}
	}
	for _, ev := range h.events {
		switch {
		case ev.Kind == kindNews && ev.Object != "":
			metrics["purges"]++
		case ev.Kind == kindStream:
			if ev.Value < youngStreamAge {
				metrics["list_young_ends"]++
			}
			disconnectedSince[ev.Director] = ev.AtMS
		case ev.Kind == kindCall && ev.What == outcomeServed:
			endDisconnection(ev.Director, ev.AtMS)
		case ev.Kind == kindProcess && ev.What == "gone":
			delete(disconnectedSince, ev.Who) // a director without a process needs no stream
		case ev.Kind == kindLoad && ev.What == "end":
			for director := range disconnectedSince {
				endDisconnection(director, ev.AtMS)
			}
		}
	}
}

// discoveryMetrics counts the calls of the discovery service and their timeouts. It computes the mean number of calls
// per process start and, for the largest batch of starts, the ratio of the peak rate of first calls to their mean
// rate.
func (h *history) discoveryMetrics(metrics map[string]float64) {
	var starts []event
	calls := map[string][]float64{} // times, by director
	for _, ev := range h.events {
		switch {
		case ev.Kind == kindProcess && ev.What == "start":
			starts = append(starts, ev)
		case ev.Kind == kindCall:
			metrics["list_calls"]++
			if ev.What == "timed out" {
				metrics["list_timeouts"]++
			}
			// A call is recorded when its stream starts or when it fails, and Value is the time since its arrival in
			// milliseconds. A call that hangs is recorded at once, with the value 0.
			calls[ev.Director] = append(calls[ev.Director], ev.AtMS-ev.Value)
		}
	}
	largestBatch := largestStartBatch(starts)
	var firstCalls []float64
	startupCallCount := 0
	for _, start := range starts {
		startupCalls := slices.DeleteFunc(slices.Clone(calls[start.Who]), func(at float64) bool {
			return at < start.AtMS || at > start.AtMS+startCallsPeriod
		})
		startupCallCount += len(startupCalls)
		if len(startupCalls) > 0 && slices.Contains(largestBatch, start) {
			firstCalls = append(firstCalls, slices.Min(startupCalls))
		}
	}
	metrics["list_calls_per_start"] = ratio(float64(startupCallCount), float64(len(starts)))
	if len(firstCalls) >= 2 {
		metrics["list_peak_ratio"] = peakRatio(firstCalls)
	}
}

// largestStartBatch returns the longest sequence of process starts in which each start follows the previous one within
// maxStartGap.
func largestStartBatch(starts []event) []event {
	var largest []event
	for first := range starts {
		end := first + 1
		for end < len(starts) && starts[end].AtMS-starts[end-1].AtMS <= maxStartGap {
			end++
		}
		if end-first > len(largest) {
			largest = starts[first:end]
		}
	}
	return largest
}

// peakRatio returns the largest number of calls in one bin, divided by the mean number per bin over the period of the
// calls, which counts as at least minStartPeriod. The argument holds the times of the calls in milliseconds. It must
// not be empty, and peakRatio sorts it.
func peakRatio(calls []float64) float64 {
	slices.Sort(calls)
	period := max(minStartPeriod, calls[len(calls)-1]-calls[0])
	bins := make([]int, int(period/callBinWidth)+1)
	for _, at := range calls {
		bins[int((at-calls[0])/callBinWidth)]++
	}
	return float64(slices.Max(bins)) / (float64(len(calls)) * callBinWidth / period)
}
