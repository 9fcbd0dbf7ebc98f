package checker

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// MetricNames are the figures that a verdict has.
var MetricNames = append([]string{"list_peak_ratio", "list_calls_per_start", "list_timeouts", "list_calls", "cold_budget_worst",
	"origin_fetches_per_object", "origin_busy", "ready_ms_p99", "served_share", "served_share_all", "refused_share",
	"attempts_per_request", "attempts_after", "conns_turned_away", "answer_ms_p50", "answer_ms_p99", "lag_ms_max", "requests",
	"large_share", "left", "purges", "old_copies", "list_young_ends", "list_deaf_ms_max"}, siteMetricNames...)

const (
	initialPeriod    = 20_000.0 // of the load, that served_share counts
	maxStartGap      = 500.0    // starts that are no further apart, one to the next, are one start of the fleet
	minStartPeriod   = 1_500.0  // of calls, over which the mean of a start is taken
	binWidth         = 100.0
	startCallsPeriod = 3_000.0 // of a director's calls that belong to its start
	youngStreamAge   = 3_000.0 // of a stream of the list service, its age
	settlingTime     = 5_000.0 // after the end of the last trouble, from when on attempts_after counts
)

// metrics reads all metrics but those that come of a rule.
func (r *history) metrics() map[string]float64 {
	f := map[string]float64{}
	for _, n := range MetricNames {
		f[n] = 0
	}
	r.discoveryMetrics(f)
	r.streamMetrics(f)
	begin, objects, fetches := 0.0, map[string]bool{}, 0.0
	answers, ready := hdrhistogram.New(1, 120_000, 3), hdrhistogram.New(1, 120_000, 3)
	asks := map[string]event{}
	var first, firstServed, firstAll, servedAll, refused, attempts, requests float64
	for _, l := range r.events {
		switch l.Kind {
		case "load":
			if l.What == "begin" {
				begin = l.AtMS
			}
		case "ask":
			asks[l.Ref] = l
			requests++
			if !l.Retry {
				firstAll++
				if l.AtMS-begin <= initialPeriod {
					first++
				}
			}
		case "nowhere":
			first++
			firstAll++
		case "answer":
			q := asks[l.Ref]
			switch l.What {
			case "served":
				servedAll++
				_ = answers.RecordValue(int64(max(1, l.AtMS-q.AtMS)))
				if q.AtMS-begin <= initialPeriod {
					firstServed++
				}
			case "refused":
				refused++
			}
		case "req":
			attempts++
		case "origin":
			if l.What == "busy" {
				f["origin_busy"]++
				break
			}
			fetches++
			objects[l.Object] = true
		case "ready":
			_ = ready.RecordValue(int64(max(1, l.Value)))
		case "conn":
			if l.What == "turned away" {
				f["conns_turned_away"]++
			}
		case "lag":
			f["lag_ms_max"] = max(f["lag_ms_max"], l.Value)
		}
	}
	f["requests"] = requests
	f["left"] = float64(len(r.departures))
	f["large_share"] = r.largeReadsShare(asks)
	r.siteMetrics(f)
	f["bound_share"] = ratio(f["served_share_loss"], f["served_share_bound"])
	f["attempts_after"] = r.attemptsAfterFaults(asks)
	f["origin_fetches_per_object"] = ratio(fetches, float64(len(objects)))
	f["ready_ms_p99"] = float64(ready.ValueAtQuantile(99))
	f["served_share"] = min(1, ratio(firstServed, first))
	f["served_share_all"] = min(1, ratio(servedAll, firstAll))
	f["refused_share"] = ratio(refused, requests)
	f["attempts_per_request"] = ratio(attempts, requests)
	f["answer_ms_p50"] = float64(answers.ValueAtQuantile(50))
	f["answer_ms_p99"] = float64(answers.ValueAtQuantile(99))
	return f
}

// largeReadsShare is the answered share of the tenth of all reads that want the largest objects, over that of all reads.
func (r *history) largeReadsShare(asks map[string]event) float64 {
	var reads []event
	for ref, q := range asks {
		if _, left := r.departures[ref]; q.Class != "repayment" && !left {
			reads = append(reads, q)
		}
	}
	slices.SortFunc(reads, func(a, b event) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Ref, b.Ref))
	})
	share := func(of []event) float64 {
		served := 0.0
		for _, q := range of {
			if r.answers[q.Ref].What == "served" {
				served++
			}
		}
		return ratio(served, float64(len(of)))
	}
	return ratio(share(reads[:len(reads)/10]), share(reads))
}

// attemptsAfterFaults is how many attempts a request takes once the last trouble has been over for a while.
func (r *history) attemptsAfterFaults(asks map[string]event) float64 {
	end, attempts, requests := 0.0, 0.0, 0.0
	for _, l := range r.events {
		if l.Kind == "step" { // done, and nothing undoes it; or undone
			end = l.AtMS
		}
	}
	for _, q := range asks {
		if q.AtMS >= end+settlingTime {
			requests++
		}
	}
	for _, l := range r.events {
		if q, known := asks[l.Ref]; known && l.Kind == "req" && q.AtMS >= end+settlingTime {
			attempts++
		}
	}
	return ratio(attempts, requests)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// streamMetrics counts purges and young streams that a flap ended, and measures the longest time that a director was
// without a stream after that, until a call was served, or the load was over.
func (r *history) streamMetrics(f map[string]float64) {
	deaf := map[string]float64{} // by director: since when
	ends := func(who string, at float64) {
		if since, ok := deaf[who]; ok {
			f["list_deaf_ms_max"] = max(f["list_deaf_ms_max"], at-since)
			delete(deaf, who)
		}
	}
	for _, l := range r.events {
		switch {
		case l.Kind == "news" && l.Object != "":
			f["purges"]++
		case l.Kind == "stream":
			if l.Value < youngStreamAge {
				f["list_young_ends"]++
			}
			deaf[l.Director] = l.AtMS
		case l.Kind == "call" && l.What == "served":
			ends(l.Director, l.AtMS)
		case l.Kind == "process" && l.What == "gone": // without a process there is nobody to be deaf
			delete(deaf, l.Who)
		case l.Kind == "load" && l.What == "end":
			for who := range deaf {
				ends(who, l.AtMS)
			}
		}
	}
}

// discoveryMetrics counts calls of the list service: how they crowd at the largest start of the fleet, and how many
// a start takes.
func (r *history) discoveryMetrics(f map[string]float64) {
	var starts []event
	calls := map[string][]float64{}
	for _, l := range r.events {
		switch {
		case l.Kind == "process" && l.What == "start":
			starts = append(starts, l)
		case l.Kind == "call":
			f["list_calls"]++
			switch l.What {
			case "timed out":
				f["list_timeouts"]++
			}
			// The line is written when the call ends; it came so much sooner.
			calls[l.Director] = append(calls[l.Director], l.AtMS-l.Value)
		}
	}
	var fleet []event // the largest start
	for i := range starts {
		n := i
		for n < len(starts) && (n == i || starts[n].AtMS-starts[n-1].AtMS <= maxStartGap) {
			n++
		}
		if n-i > len(fleet) {
			fleet = starts[i:n]
		}
	}
	var first []float64
	inStart := 0
	for _, s := range starts {
		within := slices.DeleteFunc(slices.Clone(calls[s.Who]), func(at float64) bool {
			return at < s.AtMS || at > s.AtMS+startCallsPeriod
		})
		inStart += len(within)
		if len(within) > 0 && slices.Contains(fleet, s) {
			first = append(first, slices.Min(within))
		}
	}
	f["list_calls_per_start"] = ratio(float64(inStart), float64(len(starts)))
	if len(first) < 2 {
		return
	}
	slices.Sort(first)
	span := max(minStartPeriod, first[len(first)-1]-first[0])
	bins := make([]int, int(span/binWidth)+1)
	for _, at := range first {
		bins[int((at-first[0])/binWidth)]++
	}
	f["list_peak_ratio"] = float64(slices.Max(bins)) / (float64(len(first)) * binWidth / span)
}
