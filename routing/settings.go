package routing

import (
	"fmt"
	"time"

	"shaleyard/internal/sitehealth"
)

// validate names the first field that cannot work. What is not here may hold anything: a word that is not known counts as
// the most careful one (an effect as non_idempotent, weights and lateral as off), an index out of range as none.
func (s *Settings) validate() error {
	n, z := len(s.Classes), len(s.Zones)
	f, g, c := &s.Tiers, &s.Guarantees, &s.SiteLimits
	switch {
	case n == 0:
		return fmt.Errorf("services: no classes")
	case s.Zone < 0 || s.Zone >= max(z, 1):
		return fmt.Errorf("zone: %d is not among %d dcs", s.Zone, z)
	case c.MaxAttempts < 1:
		return fmt.Errorf("ceilings.maxAttempts: %d", c.MaxAttempts)
	}
	type least struct {
		key string
		is  float64
	}
	notNegative := []least{{"quantum", float64(s.Quantum)},
		{"ceilings.maxRetryAfter", float64(c.MaxRetryAfter)}, {"ceilings.openCap", float64(c.MaxOpenRequests)},
		{"guarantees.askWithin", float64(g.PollWithin)}, {"guarantees.cold", float64(g.SlowStartDuration)},
		{"guarantees.coldFrom", g.SlowStartFraction}, {"guarantees.drainGrace", float64(g.DrainGrace)},
		{"guarantees.fall", float64(g.OverloadWindow)}, {"guarantees.graceToAnswer", float64(g.AnswerGrace)},
		{"guarantees.tipMultiple", g.OverloadMultiple},
		{"familyInfo.originBears", float64(f.OriginTolerance)}, {"familyInfo.parentColdFrom", f.ParentSlowStartFraction},
		{"familyInfo.parentFallMultiple", f.ParentOverloadMultiple}, {"familyInfo.parentRamp", float64(f.ParentSlowStartDuration)},
		{"familyInfo.purgeSlack", float64(f.PurgeSlack)}, {"familyInfo.purgeTakes", float64(f.PurgePropagation)}}
	for i, k := range s.Classes {
		at := fmt.Sprintf("services[%d].", i)
		notNegative = append(notNegative, least{at + "dedupWindow", float64(k.DedupWindow)},
			least{at + "aimStretch", k.LatencyObjectivePerSize}, least{at + "worth", k.PriorityWeight}, least{at + "lateWorth", k.LatePriorityWeight})
		switch {
		case k.LatencyObjective <= 0:
			return fmt.Errorf("%saim: %v, must be above 0", at, k.LatencyObjective)
		case k.Timeout <= 0:
			return fmt.Errorf("%sdeadline: %v, must be above 0", at, k.Timeout)
		}
	}
	for _, l := range notNegative {
		if l.is < 0 {
			return fmt.Errorf("%s: negative", l.key)
		}
	}
	if len(f.HubByZone) > s.Zone {
		if h := f.HubByZone[s.Zone]; h < 0 || h >= max(z, 1) {
			return fmt.Errorf("familyInfo.hubByZone[%d]: our hub %d is not among %d dcs", s.Zone, h, z)
		}
	}
	for _, l := range []struct {
		name      string
		got, want int
	}{
		{"classFresh", len(f.FreshnessLifetime), n}, {"staleFor", len(f.StaleWindow), n},
		{"staleEarns", len(f.StaleValue), n}, {"passOn", len(f.Uncacheable), n},
		{"seatsByZone", len(f.DirectorsByZone), z}, {"hubByZone", len(f.HubByZone), z},
	} {
		if l.got != 0 && l.got != l.want {
			return fmt.Errorf("familyInfo.%s: %d entries, want %d", l.name, l.got, l.want)
		}
	}
	for i, d := range f.FreshnessLifetime {
		if d < 0 {
			return fmt.Errorf("familyInfo.classFresh[%d]: negative", i)
		}
	}
	for i, d := range f.StaleWindow {
		if d < 0 {
			return fmt.Errorf("familyInfo.staleFor[%d]: negative", i)
		}
	}
	return nil
}

// SetSiteOptions sets what is done when whole sites are lost. It comes before the first event.
func (d *Router) SetSiteOptions(o sitehealth.Options) { d.sites.Options = o }

// logSiteChange logs a change of a site's state: each has a line of its own, with its evidence.
func (d *Router) logSiteChange(c sitehealth.StateChange) { d.emit(Log{Message: c.String()}) }

// SiteCounters counts what was seen of whole sites.
func (d *Router) SiteCounters() sitehealth.Counters { return d.sites.Counters }

// applyDefaults gives lists that were left out their full length, with zeros.
func (s *Settings) applyDefaults() {
	n, z, f := len(s.Classes), max(len(s.Zones), 1), &s.Tiers
	f.FreshnessLifetime = append(f.FreshnessLifetime, make([]time.Duration, n-len(f.FreshnessLifetime))...)
	f.StaleWindow = append(f.StaleWindow, make([]time.Duration, n-len(f.StaleWindow))...)
	f.Uncacheable = append(f.Uncacheable, make([]bool, n-len(f.Uncacheable))...)
	f.DirectorsByZone = append(f.DirectorsByZone, make([]int, z-len(f.DirectorsByZone))...)
	f.HubByZone = append(f.HubByZone, make([]int, z-len(f.HubByZone))...)
}
