package testbed

import (
	"fmt"
	"slices"
	"strings"

	"shaleyard/internal/checker"
)

// keyError is the error for a key of an experiment whose value is invalid.
type keyError struct{ key, reason string }

// Error returns the key and the reason.
func (e *keyError) Error() string { return e.key + ": " + e.reason }

// valueRange is the value that a key has and the range of its valid values, bounds included.
type valueRange struct {
	key              string
	value, low, high float64
}

// validate returns an error for one key with an invalid value, or nil if all values are valid.
func (x *Experiment) validate() *keyError {
	ranges := x.ranges()
	for i, event := range x.FaultEvents {
		if invalid := x.validateAction(i, event); invalid != nil {
			return invalid
		}
		ranges = append(ranges, x.eventRanges(i, event)...)
		if invalid := validateStreamEnds(i, event); invalid != nil {
			return invalid
		}
	}
	for _, r := range ranges {
		if !(r.value >= r.low && r.value <= r.high) { // also true of NaN
			return &keyError{r.key, fmt.Sprintf("%v is not within %v and %v", r.value, r.low, r.high)}
		}
	}
	if begin := x.Discovery.Begin; !slices.Contains([]string{"", modeWell, modeDown, modeHang, modeTruncated}, begin) {
		return &keyError{"list.begin", fmt.Sprintf("%q is not a mode that the service can start in", begin)}
	}
	for i, bound := range x.Bounds {
		if !slices.Contains(checker.MetricNames, bound.Metric) {
			return &keyError{fmt.Sprintf("bound[%d].figure", i), fmt.Sprintf("%q is not a known figure", bound.Metric)}
		}
	}
	return nil
}

// ranges returns the ranges of the numeric keys outside the fault events and the bounds.
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

// ranges returns the values and the ranges of valid values of the keys in the table of a group of servers; table is the
// table's name in the file.
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

// eventKey returns the full key of a field of the fault event with index i.
func eventKey(i int, field string) string { return fmt.Sprintf("step[%d].%s", i, field) }

// eventRanges returns the ranges of the numeric keys of the fault event with index i.
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

// validateAction returns an error if the action of the fault event with index i is unknown, if the action needs a link
// and the link is missing or unknown, or if the site is missing, unknown or not valid for the action. It does not check
// the link of an action that needs no link.
func (x *Experiment) validateAction(i int, event FaultEvent) *keyError {
	target, known := faultTargets[event.Action]
	if !known {
		return &keyError{eventKey(i, "do"), fmt.Sprintf("%q is not a known action", event.Action)}
	}
	if target == targetLink && !slices.Contains([]string{"list", "caches", "parents", "clients"}, event.Link) {
		return &keyError{eventKey(i, "link"), fmt.Sprintf("%q is not a known link", event.Link)}
	}
	sites := x.siteNames()
	switch {
	case target == targetSite && event.Site == "":
		return &keyError{eventKey(i, "do"), fmt.Sprintf("%s needs a site", event.Action)}
	case event.Site != "" && !slices.Contains(sites, event.Site):
		return &keyError{eventKey(i, "site"), fmt.Sprintf("%q is not one of %s", event.Site, strings.Join(sites, ", "))}
	case event.Site != "" && target != targetSite && target != targetDirectors && target != targetLink:
		return &keyError{eventKey(i, "site"), fmt.Sprintf("%s does not accept a site", event.Action)}
	}
	return nil
}

// validateStreamEnds returns an error if the fault event with index i is a list-flap without ends or age_to, or if it
// has an unknown end.
func validateStreamEnds(i int, event FaultEvent) *keyError {
	if event.Action == "list-flap" && (len(event.StreamEnds) == 0 || event.MaxStreamAge == 0) {
		return &keyError{eventKey(i, "do"), "list-flap needs the keys ends and age_to"}
	}
	for _, end := range event.StreamEnds {
		if !slices.Contains([]string{endReset, endTruncated, endSilent}, end) {
			return &keyError{eventKey(i, "ends"), fmt.Sprintf("%q is not a known way to end a stream", end)}
		}
	}
	return nil
}
