package checker

import "slices"

const (
	maxStartGap      = 500.0   // starts that are no further apart, one to the next, are one start of the fleet
	minStartPeriod   = 1_500.0 // of first calls, over which their mean rate is taken
	callBinWidth     = 100.0
	startCallsPeriod = 3_000.0 // after its start, in which a director's calls belong to it
	youngStreamAge   = 3_000.0
)

// streamMetrics counts purges and the young streams that the testbed ended, and measures the longest time that a
// director was without a stream after that, until a call was served, or the load was over.
func (h *history) streamMetrics(metrics map[string]float64) {
	deafSince := map[string]float64{} // by director
	endDeafness := func(director string, at float64) {
		if since, ok := deafSince[director]; ok {
			metrics["list_deaf_ms_max"] = max(metrics["list_deaf_ms_max"], at-since)
			delete(deafSince, director)
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
			deafSince[ev.Director] = ev.AtMS
		case ev.Kind == kindCall && ev.What == outcomeServed:
			endDeafness(ev.Director, ev.AtMS)
		case ev.Kind == kindProcess && ev.What == "gone":
			delete(deafSince, ev.Who) // without a process nobody is deaf
		case ev.Kind == kindLoad && ev.What == "end":
			for director := range deafSince {
				endDeafness(director, ev.AtMS)
			}
		}
	}
}

// discoveryMetrics counts calls of the list service: how many a start takes, and how they crowd at the largest start of
// the fleet.
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
			// The event is recorded when the call ends; it came so much sooner.
			calls[ev.Director] = append(calls[ev.Director], ev.AtMS-ev.Value)
		}
	}
	fleet := largestStart(starts)
	var firstCalls []float64
	callsInStarts := 0
	for _, start := range starts {
		inStart := slices.DeleteFunc(slices.Clone(calls[start.Who]), func(at float64) bool {
			return at < start.AtMS || at > start.AtMS+startCallsPeriod
		})
		callsInStarts += len(inStart)
		if len(inStart) > 0 && slices.Contains(fleet, start) {
			firstCalls = append(firstCalls, slices.Min(inStart))
		}
	}
	metrics["list_calls_per_start"] = ratio(float64(callsInStarts), float64(len(starts)))
	if len(firstCalls) >= 2 {
		metrics["list_peak_ratio"] = peakRatio(firstCalls)
	}
}

// largestStart is the longest run of starts that follow each other closely.
func largestStart(starts []event) []event {
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

// peakRatio is the largest number of calls in a bin, over the mean of all bins.
func peakRatio(calls []float64) float64 {
	slices.Sort(calls)
	period := max(minStartPeriod, calls[len(calls)-1]-calls[0])
	bins := make([]int, int(period/callBinWidth)+1)
	for _, at := range calls {
		bins[int((at-calls[0])/callBinWidth)]++
	}
	return float64(slices.Max(bins)) / (float64(len(calls)) * callBinWidth / period)
}
