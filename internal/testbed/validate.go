package testbed

import (
	"fmt"
	"slices"
	"strings"

	"shaleyard/internal/checker"
)

// keyError says which key of an experiment has a value that can't be used.
type keyError struct{ key, reason string }

// Error is the key and the reason.
func (e *keyError) Error() string { return e.key + ": " + e.reason }

// valueRange is the range of a key's values, bounds included.
type valueRange struct {
	key              string
	value, low, high float64
}

// firstInvalid finds the first key whose value can't be used; nil: none.
func (x *Experiment) firstInvalid() *keyError {
	ranges := x.ranges()
	for i, event := range x.FaultEvents {
		if invalid := x.invalidAction(i, event); invalid != nil {
			return invalid
		}
		ranges = append(ranges, x.eventRanges(i, event)...)
		if invalid := invalidStreamEnds(i, event); invalid != nil {
			return invalid
		}
	}
	for _, key := range ranges {
		if !(key.value >= key.low && key.value <= key.high) {
			return &keyError{key.key, fmt.Sprintf("%v is not within %v and %v", key.value, key.low, key.high)}
		}
	}
	if begin := x.Discovery.Begin; !slices.Contains([]string{"", modeWell, modeDown, modeHang, modeHalf}, begin) {
		return &keyError{"list.begin", fmt.Sprintf("%q is no state of the service", begin)}
	}
	for i, bound := range x.Bounds {
		if !slices.Contains(checker.MetricNames, bound.Metric) {
			return &keyError{fmt.Sprintf("bound[%d].figure", i), fmt.Sprintf("%q is no figure", bound.Metric)}
		}
	}
	return nil
}

// ranges are those of all keys but the fault events'.
func (x *Experiment) ranges() []valueRange {
	ranges := []valueRange{
		{"directors", float64(x.Directors), 1, 400},
		{"seconds", x.Seconds, 1, 900},
		{"branches", float64(x.Branches), 1, float64(x.Directors)},
		{"hubs", float64(x.Hubs), 1, float64(x.Parents.Count)},
		{"list.calls_per_second", x.Discovery.CallsPerSecond, 0, 1e5},
		{"list.queue", float64(x.Discovery.Queue), 0, 1e5},
		{"origin.per_second", x.Origin.PerSecond, 1, 1e6},
		{"origin.latency_ms", x.Origin.LatencyMS, 0, 1e4},
		{"clients.per_second", x.Clients.PerSecond, 0, 1e5},
		{"clients.objects", float64(x.Clients.Objects), 1, 1e6},
		{"clients.zipf", x.Clients.Zipf, 1.01, 4},
		{"clients.repayments", x.Clients.Repayments, 0, 1},
		{"clients.tries", float64(x.Clients.MaxAttempts), 1, 10},
		{"clients.skew", x.Clients.Skew, 0, 50},
		{"clients.transfer_ms", x.Clients.TransferMS, 1, 1e4},
		{"clients.leave", x.Clients.LeaveShare, 0, 1},
		{"clients.leave_ms", x.Clients.LeaveAfterMS, 1, 1e4},
		{"clients.size_sigma", x.Clients.SizeSigma, 0, 2},
		{"sockets", float64(x.Sockets), 64, 1 << 16},
	}
	return slices.Concat(ranges, x.Caches.ranges("caches"), x.Parents.ranges("parents"))
}

func (s ServerSpec) ranges(table string) []valueRange {
	return []valueRange{
		{table + ".count", float64(s.Count), 1, 200},
		{table + ".weight", s.Weight, 0.1, 1e5},
		{table + ".conns", float64(s.MaxConns), 0, 1e5},
		{table + ".fill_slots", float64(s.FillSlots), 0, 1e5},
		{table + ".cold_from", s.ColdFrom, 0.01, 1},
		{table + ".ramp_ms", s.RampMS, 0, 1e5},
		{table + ".fall_ms", s.FallMS, 100, 1e5},
		{table + ".multiple", s.Multiple, 0.5, 100},
		{table + ".latency_ms", s.LatencyMS, 0, 1e4},
	}
}

// eventKey is the key of a field of the i-th fault event.
func eventKey(i int, field string) string { return fmt.Sprintf("step[%d].%s", i, field) }

func (x *Experiment) eventRanges(i int, event FaultEvent) []valueRange {
	return []valueRange{
		{eventKey(i, "late"), event.ListDelay, 0, 60},
		{eventKey(i, "only"), float64(event.OnlyDirector), 0, float64(x.Directors)},
		{eventKey(i, "at"), event.At, 0, x.Seconds},
		{eventKey(i, "share"), event.Share, 0, 1},
		{eventKey(i, "for"), event.Duration, 0, 600},
		{eventKey(i, "factor"), event.Factor, 0, 100},
		{eventKey(i, "back"), float64(event.ForgottenEvents), 0, 1e4},
		{eventKey(i, "over"), event.ReplaceOver, 0, 600},
		{eventKey(i, "delay_ms"), event.DelayMS, 0, 1e4},
		{eventKey(i, "count"), float64(event.Count), 0, 1e4},
		{eventKey(i, "keep"), event.RetainCopies, 0, purgeRetention.Seconds()},
		{eventKey(i, "age_from"), event.MinStreamAge, 0, 60},
		{eventKey(i, "age_to"), event.MaxStreamAge, event.MinStreamAge, 60},
	}
}

// invalidAction finds a fault event whose action, link or site can't be used.
func (x *Experiment) invalidAction(i int, event FaultEvent) *keyError {
	target, known := faultTargets[event.Action]
	if !known {
		return &keyError{eventKey(i, "do"), fmt.Sprintf("%q is nothing that can be done", event.Action)}
	}
	if target == targetLink && !slices.Contains([]string{"list", "caches", "parents", "clients"}, event.Link) {
		return &keyError{eventKey(i, "link"), fmt.Sprintf("%q is no link", event.Link)}
	}
	sites := x.siteNames()
	switch {
	case target == targetSite && event.Site == "":
		return &keyError{eventKey(i, "do"), fmt.Sprintf("%s needs a site", event.Action)}
	case event.Site != "" && !slices.Contains(sites, event.Site):
		return &keyError{eventKey(i, "site"), fmt.Sprintf("%q is none of %s", event.Site, strings.Join(sites, ", "))}
	case event.Site != "" && target != targetSite && target != targetDirectors && target != targetLink:
		return &keyError{eventKey(i, "site"), fmt.Sprintf("%s is not done to a site", event.Action)}
	}
	return nil
}

func invalidStreamEnds(i int, event FaultEvent) *keyError {
	if event.Action == "list-flap" && (len(event.StreamEnds) == 0 || event.MaxStreamAge == 0) {
		return &keyError{eventKey(i, "do"), "list-flap needs ends and age_to"}
	}
	for _, end := range event.StreamEnds {
		if !slices.Contains([]string{endBreak, endHalf, endSilent}, end) {
			return &keyError{eventKey(i, "ends"), fmt.Sprintf("%q is no end of a stream", end)}
		}
	}
	return nil
}
