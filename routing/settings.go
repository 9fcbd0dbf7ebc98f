package routing

import (
	"fmt"
	"time"

	"shaleyard/internal/sitehealth"
)

// validate names the first field that cannot work. What is not here may hold anything: a word that is not known counts as
// the most careful one (an effect as non_idempotent, weights and lateral as off), an index out of range as none.
func (s *Settings) validate() error {
	classes, zones := len(s.Classes), len(s.Zones)
	tiers, guarantees, limits := &s.Tiers, &s.Guarantees, &s.SiteLimits
	switch {
	case classes == 0:
		return fmt.Errorf("services: no classes")
	case s.Zone < 0 || s.Zone >= max(zones, 1):
		return fmt.Errorf("zone: %d is not among %d dcs", s.Zone, zones)
	case limits.MaxAttempts < 1:
		return fmt.Errorf("ceilings.maxAttempts: %d", limits.MaxAttempts)
	}
	type least struct {
		key string
		is  float64
	}
	notNegative := []least{{"quantum", float64(s.Quantum)},
		{"ceilings.maxRetryAfter", float64(limits.MaxRetryAfter)}, {"ceilings.openCap", float64(limits.MaxOpenRequests)},
		{"guarantees.askWithin", float64(guarantees.PollWithin)}, {"guarantees.cold", float64(guarantees.SlowStartDuration)},
		{"guarantees.coldFrom", guarantees.SlowStartFraction}, {"guarantees.drainGrace", float64(guarantees.DrainGrace)},
		{"guarantees.fall", float64(guarantees.OverloadWindow)}, {"guarantees.graceToAnswer", float64(guarantees.AnswerGrace)},
		{"guarantees.tipMultiple", guarantees.OverloadMultiple},
		{"familyInfo.originBears", float64(tiers.OriginTolerance)}, {"familyInfo.parentColdFrom", tiers.ParentSlowStartFraction},
		{"familyInfo.parentFallMultiple", tiers.ParentOverloadMultiple}, {"familyInfo.parentRamp", float64(tiers.ParentSlowStartDuration)},
		{"familyInfo.purgeSlack", float64(tiers.PurgeSlack)}, {"familyInfo.purgeTakes", float64(tiers.PurgePropagation)}}
	for i, class := range s.Classes {
		prefix := fmt.Sprintf("services[%d].", i)
		notNegative = append(notNegative, least{prefix + "dedupWindow", float64(class.DedupWindow)},
			least{prefix + "aimStretch", class.LatencyObjectivePerSize}, least{prefix + "worth", class.PriorityWeight}, least{prefix + "lateWorth", class.LatePriorityWeight})
		switch {
		case class.LatencyObjective <= 0:
			return fmt.Errorf("%saim: %v, must be above 0", prefix, class.LatencyObjective)
		case class.Timeout <= 0:
			return fmt.Errorf("%sdeadline: %v, must be above 0", prefix, class.Timeout)
		}
	}
	for _, l := range notNegative {
		if l.is < 0 {
			return fmt.Errorf("%s: negative", l.key)
		}
	}
	if len(tiers.HubByZone) > s.Zone {
		if hub := tiers.HubByZone[s.Zone]; hub < 0 || hub >= max(zones, 1) {
			return fmt.Errorf("familyInfo.hubByZone[%d]: our hub %d is not among %d dcs", s.Zone, hub, zones)
		}
	}
	for _, l := range []struct {
		name      string
		got, want int
	}{
		{"classFresh", len(tiers.FreshnessLifetime), classes}, {"staleFor", len(tiers.StaleWindow), classes},
		{"staleEarns", len(tiers.StaleValue), classes}, {"passOn", len(tiers.Uncacheable), classes},
		{"seatsByZone", len(tiers.DirectorsByZone), zones}, {"hubByZone", len(tiers.HubByZone), zones},
	} {
		if l.got != 0 && l.got != l.want {
			return fmt.Errorf("familyInfo.%s: %d entries, want %d", l.name, l.got, l.want)
		}
	}
	for i, duration := range tiers.FreshnessLifetime {
		if duration < 0 {
			return fmt.Errorf("familyInfo.classFresh[%d]: negative", i)
		}
	}
	for i, duration := range tiers.StaleWindow {
		if duration < 0 {
			return fmt.Errorf("familyInfo.staleFor[%d]: negative", i)
		}
	}
	return nil
}

// SetSiteOptions sets what is done when whole sites are lost. It comes before the first event.
func (r *Router) SetSiteOptions(options sitehealth.Options) { r.sites.Options = options }

// logSiteChange logs a change of a site's state: each has a line of its own, with its evidence.
func (r *Router) logSiteChange(change sitehealth.StateChange) { r.emit(Log{Message: change.String()}) }

// SiteCounters counts what was seen of whole sites.
func (r *Router) SiteCounters() sitehealth.Counters { return r.sites.Counters }

// applyDefaults gives lists that were left out their full length, with zeros.
func (s *Settings) applyDefaults() {
	classes, zones, tiers := len(s.Classes), max(len(s.Zones), 1), &s.Tiers
	tiers.FreshnessLifetime = append(tiers.FreshnessLifetime, make([]time.Duration, classes-len(tiers.FreshnessLifetime))...)
	tiers.StaleWindow = append(tiers.StaleWindow, make([]time.Duration, classes-len(tiers.StaleWindow))...)
	tiers.Uncacheable = append(tiers.Uncacheable, make([]bool, classes-len(tiers.Uncacheable))...)
	tiers.DirectorsByZone = append(tiers.DirectorsByZone, make([]int, zones-len(tiers.DirectorsByZone))...)
	tiers.HubByZone = append(tiers.HubByZone, make([]int, zones-len(tiers.HubByZone))...)
}
