package routing

import (
	"fmt"
	"time"

	"shaleyard/internal/sitehealth"
)

// validate names the first field that cannot work. What is not here may hold anything: a word that is not known counts as
// the most careful one (an effect as non_idempotent, weights and lateral as off), an index out of range as none.
func (s *Settings) validate() error {
	n, z := len(s.Services), len(s.Zones)
	f, g, c := &s.Family, &s.Guarantees, &s.Ceilings
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
		{"ceilings.maxRetryAfter", float64(c.MaxRetryAfter)}, {"ceilings.openCap", float64(c.OpenCap)},
		{"guarantees.askWithin", float64(g.AskWithin)}, {"guarantees.cold", float64(g.Cold)},
		{"guarantees.coldFrom", g.ColdFrom}, {"guarantees.drainGrace", float64(g.DrainGrace)},
		{"guarantees.fall", float64(g.Fall)}, {"guarantees.graceToAnswer", float64(g.GraceToAnswer)},
		{"guarantees.tipMultiple", g.TipMultiple},
		{"familyInfo.originBears", float64(f.OriginBears)}, {"familyInfo.parentColdFrom", f.ParentColdFrom},
		{"familyInfo.parentFallMultiple", f.ParentFallMultiple}, {"familyInfo.parentRamp", float64(f.ParentRamp)},
		{"familyInfo.purgeSlack", float64(f.PurgeSlack)}, {"familyInfo.purgeTakes", float64(f.PurgeTakes)}}
	for i, k := range s.Services {
		at := fmt.Sprintf("services[%d].", i)
		notNegative = append(notNegative, least{at + "dedupWindow", float64(k.DedupWindow)},
			least{at + "aimStretch", k.AimStretch}, least{at + "worth", k.Worth}, least{at + "lateWorth", k.LateWorth})
		switch {
		case k.Aim <= 0:
			return fmt.Errorf("%saim: %v, must be above 0", at, k.Aim)
		case k.Deadline <= 0:
			return fmt.Errorf("%sdeadline: %v, must be above 0", at, k.Deadline)
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
		{"classFresh", len(f.ClassFresh), n}, {"staleFor", len(f.StaleFor), n},
		{"staleEarns", len(f.StaleEarns), n}, {"passOn", len(f.PassOn), n},
		{"seatsByZone", len(f.SeatsByZone), z}, {"hubByZone", len(f.HubByZone), z},
	} {
		if l.got != 0 && l.got != l.want {
			return fmt.Errorf("familyInfo.%s: %d entries, want %d", l.name, l.got, l.want)
		}
	}
	for i, d := range f.ClassFresh {
		if d < 0 {
			return fmt.Errorf("familyInfo.classFresh[%d]: negative", i)
		}
	}
	for i, d := range f.StaleFor {
		if d < 0 {
			return fmt.Errorf("familyInfo.staleFor[%d]: negative", i)
		}
	}
	return nil
}

// Follow sets what is done when whole sites are lost. It comes before the first event.
func (d *Router) Follow(o sitehealth.Options) { d.sites.Options = o }

// changed logs a change of a site's state: each has a line of its own, with its evidence.
func (d *Router) changed(c sitehealth.Change) { d.do(Log{Text: c.String()}) }

// Sites counts what was seen of whole sites.
func (d *Router) Sites() sitehealth.Counters { return d.sites.Counters }

// fill gives lists that were left out their full length, with zeros.
func (s *Settings) fill() {
	n, z, f := len(s.Services), max(len(s.Zones), 1), &s.Family
	f.ClassFresh = append(f.ClassFresh, make([]time.Duration, n-len(f.ClassFresh))...)
	f.StaleFor = append(f.StaleFor, make([]time.Duration, n-len(f.StaleFor))...)
	f.PassOn = append(f.PassOn, make([]bool, n-len(f.PassOn))...)
	f.SeatsByZone = append(f.SeatsByZone, make([]int, z-len(f.SeatsByZone))...)
	f.HubByZone = append(f.HubByZone, make([]int, z-len(f.HubByZone))...)
}
