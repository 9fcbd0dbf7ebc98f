package failover

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Overrides are the table plan of the operators' file: what the settings don't tell, and what an operator wants otherwise
// than it would be worked out. Its zero wishes nothing.
type Overrides struct {
	UsualLoad      float64            `toml:"usual_load"`  // part of what a branch's caches carry
	CacheHitRatio  float64            `toml:"hits"`        // part of the work that caches hold
	ParentHitRatio float64            `toml:"parent_hits"` // part of the fills that parents hold
	OriginCapacity float64            `toml:"origin"`      // transfers that the origin can give at once; 0: half more than usual
	SiteCapacities map[string]float64 `toml:"carries"`     // transfers by site, in place of its servers' weights
	ClassShares    map[string]float64 `toml:"shares"`      // of the work by class; none: all the same
	ServiceTimeMS  map[string]float64 `toml:"work_ms"`     // sending time of a mean object by class
	RejectionOrder []string           `toml:"order"`       // classes as they are refused, first to last; none: by worth
	ShiftRatePerS  float64            `toml:"move_per_s"`  // part of a site's traffic that moves in a second at most
	MinLostMS      float64            `toml:"stay_ms"`     // least stay in a state
	LimitFills     bool               `toml:"follow"`      // directors follow the plan
	Pins           []Pin              `toml:"pin"`
	Forbids        []Forbid           `toml:"forbid"`
}

// Pin has a hub take a set share of a branch's fills while a site is lost.
type Pin struct {
	Lost  string  `toml:"lost"`
	From  string  `toml:"from"`
	To    string  `toml:"to"`
	Share float64 `toml:"share"`
}

// Forbid keeps a hub from taking anything over while a site is lost.
type Forbid struct {
	Lost string `toml:"lost"`
	To   string `toml:"to"`
}

// OverrideError names the key of the operators' file that can't hold, and why.
type OverrideError struct{ Key, Reason string }

func (e *OverrideError) Error() string { return e.Key + ": " + e.Reason }

func overrideErrorf(key, format string, a ...any) error {
	return &OverrideError{key, fmt.Sprintf(format, a...)}
}

// ValidateRanges names the first key whose value can't be used by any installation.
func (w *Overrides) ValidateRanges() error {
	for _, r := range []struct {
		key              string
		value, low, high float64
	}{{"plan.usual_load", w.UsualLoad, 0, 4}, {"plan.hits", w.CacheHitRatio, 0, 1}, {"plan.parent_hits", w.ParentHitRatio, 0, 1},
		{"plan.origin", w.OriginCapacity, 0, 1e9}, {"plan.move_per_s", w.ShiftRatePerS, 0, 1}, {"plan.stay_ms", w.MinLostMS, 0, 600_000}} {
		if !(r.value >= r.low && r.value <= r.high) {
			return overrideErrorf(r.key, "%v is not within %v and %v", r.value, r.low, r.high)
		}
	}
	for _, m := range []struct {
		key  string
		by   map[string]float64
		most float64
	}{{"plan.carries", w.SiteCapacities, 1e9}, {"plan.shares", w.ClassShares, 1}, {"plan.work_ms", w.ServiceTimeMS, 600_000}} {
		for _, name := range slices.Sorted(maps.Keys(m.by)) {
			if v := m.by[name]; !(v >= 0 && v <= m.most) {
				return overrideErrorf(m.key+"."+name, "%v is not within 0 and %v", v, m.most)
			}
		}
	}
	sums := map[string]float64{}
	for i, p := range w.Pins {
		key := fmt.Sprintf("plan.pin[%d].", i)
		if !(p.Share > 0 && p.Share <= 1) {
			return overrideErrorf(key+"share", "%v is not above 0 and at most 1", p.Share)
		}
		of := p.Lost + "\x00" + p.From
		if sums[of] += p.Share; sums[of] > 1+epsilon {
			return overrideErrorf(key+"share", "the pins of %s while %s is lost make %.3f, more than 1", p.From, p.Lost, sums[of])
		}
	}
	return nil
}

// validate holds the wishes against a topology: sites and classes that it does not have, a pin to a site that is lost
// itself, sites that would have to take each other's load, and pins that can't hold at the usual load.
func (w *Overrides) validate(t *Topology) error {
	if err := w.ValidateRanges(); err != nil {
		return err
	}
	hub := func(key, name string) error {
		switch i := t.siteIndex(name); {
		case i < 0:
			return overrideErrorf(key, "%q is no site of the settings", name)
		case !t.Sites[i].Hub:
			return overrideErrorf(key, "%s is a branch: only hubs take fills, and caches of other branches take no clients' requests", name)
		}
		return nil
	}
	for i, p := range w.Pins {
		key := fmt.Sprintf("plan.pin[%d].", i)
		if t.siteIndex(p.Lost) < 0 {
			return overrideErrorf(key+"lost", "%q is no site of the settings", p.Lost)
		}
		from := t.siteIndex(p.From)
		if from < 0 {
			return overrideErrorf(key+"from", "%q is no site of the settings", p.From)
		}
		if t.Sites[from].Hub {
			return overrideErrorf(key+"from", "%s is a hub: fills come from branches", p.From)
		}
		if err := hub(key+"to", p.To); err != nil {
			return err
		}
		if p.To == p.Lost {
			return overrideErrorf(key+"to", "%s can't take what it has lost itself", p.To)
		}
		if p.From == p.Lost && !t.BypassAllowed {
			return overrideErrorf(key+"from", "%s is lost, and parents take no clients' requests here: it has no fills", p.From)
		}
		for j, f := range w.Forbids {
			if f.Lost == p.Lost && f.To == p.To {
				return overrideErrorf(key+"to", "%s may not take anything while %s is lost (plan.forbid[%d])", p.To, p.Lost, j)
			}
		}
	}
	for i, f := range w.Forbids {
		key := fmt.Sprintf("plan.forbid[%d].", i)
		if t.siteIndex(f.Lost) < 0 {
			return overrideErrorf(key+"lost", "%q is no site of the settings", f.Lost)
		}
		if err := hub(key+"to", f.To); err != nil {
			return err
		}
	}
	for i, name := range w.RejectionOrder {
		switch c := t.classIndex(name); {
		case c < 0:
			return overrideErrorf("plan.order", "%q is no class", name)
		case slices.Contains(w.RejectionOrder[:i], name):
			return overrideErrorf("plan.order", "%s is named twice", name)
		}
	}
	return w.checkPinLoops(t)
}

// checkPinLoops finds hubs that are pinned to take all of each other's load: with both lost the pins would send it round.
func (w *Overrides) checkPinLoops(t *Topology) error {
	takes := map[string]map[string]int{} // lost to taker, and by which pin, for what is pinned whole
	for i, p := range w.Pins {
		if p.Share > 1-epsilon {
			if takes[p.Lost] == nil {
				takes[p.Lost] = map[string]int{}
			}
			takes[p.Lost][p.To] = i
		}
	}
	var walk func(at string, way []string) error
	walk = func(at string, way []string) error {
		if slices.Contains(way, at) {
			i := takes[way[len(way)-1]][at]
			return overrideErrorf(fmt.Sprintf("plan.pin[%d].to", i), "sites take each other's load in a loop: %s",
				strings.Join(append(way[slices.Index(way, at):], at), ", "))
		}
		for i, p := range w.Pins { // in the order of the file, so that the same key is named each time
			if p.Lost == at && takes[at][p.To] == i && p.Share > 1-epsilon {
				if err := walk(p.To, append(slices.Clone(way), at)); err != nil {
					return err
				}
			}
		}
		return nil
	}
	for _, s := range t.Sites {
		if err := walk(s.Name, nil); err != nil {
			return err
		}
	}
	return nil
}
