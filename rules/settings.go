package rules

import (
	"fmt"
	"time"

	"shaleyard/internal/siteview"
)

// validate names the first field that cannot work.
func (s *Settings) validate() error {
	n, z := len(s.Services), len(s.Zones)
	f, g := &s.Family, &s.Guarantees
	switch {
	case n == 0:
		return fmt.Errorf("services: no classes")
	case s.Zone < 0 || s.Zone >= max(z, 1):
		return fmt.Errorf("zone: %d is not among %d dcs", s.Zone, z)
	case s.Ceilings.MaxAttempts < 1:
		return fmt.Errorf("ceilings.maxAttempts: %d", s.Ceilings.MaxAttempts)
	case s.Quantum < 0:
		return fmt.Errorf("quantum: negative")
	case g.Cold < 0 || g.Fall < 0 || g.DrainGrace < 0 || g.AskWithin < 0 || g.GraceToAnswer < 0:
		return fmt.Errorf("guarantees: negative time")
	case g.ColdFrom < 0 || g.TipMultiple < 0:
		return fmt.Errorf("guarantees: negative coldFrom or tipMultiple")
	case f.PurgeTakes < 0 || f.PurgeSlack < 0 || f.ParentRamp < 0 || f.OriginBears < 0:
		return fmt.Errorf("familyInfo: negative time")
	}
	for i := range s.Services {
		if c := &s.Services[i]; c.Aim <= 0 || c.Deadline <= 0 || c.DedupWindow < 0 {
			return fmt.Errorf("services[%d]: aim and deadline must be above 0", i)
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
func (d *Router) Follow(o siteview.Options) { d.sites.Options = o }

// changed logs a change of a site's state: each has a line of its own, with its evidence.
func (d *Router) changed(c siteview.Change) { d.do(Log{Text: c.String()}) }

// Sites counts what was seen of whole sites.
func (d *Router) Sites() siteview.Counters { return d.sites.Counters }

// fill gives lists that were left out their full length, with zeros.
func (s *Settings) fill() {
	n, z, f := len(s.Services), max(len(s.Zones), 1), &s.Family
	f.ClassFresh = append(f.ClassFresh, make([]time.Duration, n-len(f.ClassFresh))...)
	f.StaleFor = append(f.StaleFor, make([]time.Duration, n-len(f.StaleFor))...)
	f.PassOn = append(f.PassOn, make([]bool, n-len(f.PassOn))...)
	f.SeatsByZone = append(f.SeatsByZone, make([]int, z-len(f.SeatsByZone))...)
	f.HubByZone = append(f.HubByZone, make([]int, z-len(f.HubByZone))...)
}
