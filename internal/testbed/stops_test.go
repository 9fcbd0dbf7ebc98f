package testbed

import (
	"context"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
)

var (
	stopSeed = flag.Uint64("stop-seed", 1, "first seed of TestStopsOfDiscoveryKeepTheRules")
	stopRuns = flag.Uint64("stop-runs", 1, "number of seeds that TestStopsOfDiscoveryKeepTheRules plays")
)

// Bounds of the drawn stops of the discovery service, in seconds. A stop is judged by notifyAfterSilence of the
// checker (4 s) or by its own end, so the lengths lie on both sides of it.
const (
	stopsPerRun            = 3
	minStop, maxStop       = 0.5, 9.0
	minBetween, maxBetween = 2.5, 4.0 // between the end of a stop, or the start of the run, and the next stop
	maxBreaksInStop        = 2
	purgesPerSecond        = 10

	minOldCopies = 100.0 // attempts answered from purged copies, so that a run shows something
	// callsPerStop is the largest number of calls of a director during a stop of up to maxStop without breaks, as the
	// waits after calls that time out grow. Each break adds one call at most.
	callsPerStop = 3
)

// drawStops returns fault events that stop the discovery service at random times and for random lengths, with up to
// maxBreaksInStop breaks of all streams in each stop, and purge objects all the time. It also returns the time in
// seconds at which the run ends.
func drawStops(seed uint64) (events []FaultEvent, end float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	between := func(low, high float64) float64 { return low + rng.Float64()*(high-low) }
	for range stopsPerRun {
		end += between(minBetween, maxBetween)
		length := between(minStop, maxStop)
		events = append(events, FaultEvent{At: end, Action: "list-stop", Duration: length})
		for range rng.IntN(maxBreaksInStop + 1) {
			events = append(events, FaultEvent{At: end + between(0, length), Action: "list-break"})
		}
		end += length
	}
	end += minBetween
	purges := FaultEvent{
		Action:       "purge",
		Count:        int(end * purgesPerSecond),
		Duration:     end,
		RetainCopies: purgeRetention.Seconds(),
	}
	return append(events, purges), end
}

// stopBounds returns the bounds of a run of drawn stops: enough old copies to show that the rule was at stake, and the
// largest number of calls of all directors, each of which makes one at its start.
func stopBounds(experiment *Experiment) []Bound {
	callsOfEach := 1
	for _, event := range experiment.FaultEvents {
		switch event.Action {
		case "list-stop":
			callsOfEach += callsPerStop
		case "list-break":
			callsOfEach++
		}
	}
	minCopies, maxCalls := minOldCopies, float64(experiment.Directors*callsOfEach)
	return []Bound{{Metric: "old_copies", Min: &minCopies}, {Metric: "list_calls", Max: &maxCalls}}
}

// The discovery service stops again and again while it stays open, at random times and for random lengths, and also
// breaks streams meanwhile. No director may use a copy that was purged meanwhile after it counts as notified, which is
// at the end of the stop at the latest once 4 s have passed: the fault of the incident of 2026-12-06.
func TestStopsOfDiscoveryKeepTheRules(t *testing.T) {
	binary := buildDirector(t)
	for seed := *stopSeed; seed < *stopSeed+*stopRuns; seed++ {
		experiment, err := LoadExperiment("../../experiments/list-stops.toml")
		if err != nil {
			t.Fatal(err)
		}
		experiment.Seed = seed
		experiment.FaultEvents, experiment.Seconds = drawStops(seed)
		experiment.Bounds = stopBounds(experiment)
		dir := t.TempDir()
		if err := Run(context.Background(), experiment, Options{Binary: binary, Dir: dir}); err != nil {
			t.Fatal(err)
		}
		verdict := checkRun(t, dir)
		for _, violation := range slices.Concat(verdict.Violations, experiment.CheckBounds(verdict.Metrics, nil)) {
			t.Errorf("seed %d: %s at %.0f ms, %s: %s",
				seed, violation.Rule, violation.AtMS, violation.Who, violation.Detail)
		}
		if t.Failed() {
			t.Fatalf("seed %d: fault events %+v", seed, experiment.FaultEvents)
		}
	}
}
