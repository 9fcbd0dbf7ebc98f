package failover

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Overrides are the table plan of the operators' file: what the settings don't tell, and what operators want otherwise
// than it would be worked out. The zero value overrides nothing.
type Overrides struct {
	UsualLoad      float64            `toml:"usual_load"`  // share of the capacity of a branch's caches
	CacheHitRatio  float64            `toml:"hits"`        // share of the work that caches hold
	ParentHitRatio float64            `toml:"parent_hits"` // share of the fills that parents hold
	OriginCapacity float64            `toml:"origin"`      // transfers at once; 0: half more than usual
	SiteCapacities map[string]float64 `toml:"carries"`     // transfers by site, in place of its servers' weights
	ClassShares    map[string]float64 `toml:"shares"`      // of the work by class; empty: all the same
	ServiceTimeMS  map[string]float64 `toml:"work_ms"`     // sending time of a mean object by class
	RejectionOrder []string           `toml:"order"`       // classes as they are rejected; empty: by value
	ShiftRatePerS  float64            `toml:"move_per_s"`  // share of a site's traffic that may move in a second
	MinLostMS      float64            `toml:"stay_ms"`     // for which a site stays lost at the least
	LimitFills     bool               `toml:"follow"`      // directors keep fills to the plan's shares
	Pins           []Pin              `toml:"pin"`
	Forbids        []Forbid           `toml:"forbid"`
}

// Pin has a hub take a fixed share of a branch's fills while a site is lost.
type Pin struct {
	Lost  string  `toml:"lost"`
	From  string  `toml:"from"` // the branch
	To    string  `toml:"to"`   // the hub
	Share float64 `toml:"share"`
}

// Forbid keeps a hub from taking anything over while a site is lost.
type Forbid struct {
	Lost string `toml:"lost"`
	To   string `toml:"to"` // the hub
}

// OverrideError names the key of the operators' file that can't hold, and the reason.
type OverrideError struct{ Key, Reason string }

// Error is the key and the reason.
func (e *OverrideError) Error() string { return e.Key + ": " + e.Reason }

func overrideErrorf(key, format string, args ...any) error {
	return &OverrideError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// pinKey and forbidKey are the keys of a field of the i-th pin or forbid in the operators' file.
func pinKey(i int, field string) string    { return fmt.Sprintf("plan.pin[%d].%s", i, field) }
func forbidKey(i int, field string) string { return fmt.Sprintf("plan.forbid[%d].%s", i, field) }

// ValidateRanges finds the first key whose value no installation can use. The error is an *OverrideError.
func (o *Overrides) ValidateRanges() error {
	const (
		maxUsualLoad = 4       // times the capacity of the caches
		maxTransfers = 1e9     // of a site or the origin
		maxMS        = 600_000 // ten minutes
	)
	for _, limit := range []struct {
		key              string
		value, low, high float64
	}{
		{"plan.usual_load", o.UsualLoad, 0, maxUsualLoad},
		{"plan.hits", o.CacheHitRatio, 0, 1},
		{"plan.parent_hits", o.ParentHitRatio, 0, 1},
		{"plan.origin", o.OriginCapacity, 0, maxTransfers},
		{"plan.move_per_s", o.ShiftRatePerS, 0, 1},
		{"plan.stay_ms", o.MinLostMS, 0, maxMS},
	} {
		if !(limit.value >= limit.low && limit.value <= limit.high) {
			return overrideErrorf(limit.key, "%v is not within %v and %v", limit.value, limit.low, limit.high)
		}
	}
	for _, table := range []struct {
		key    string
		values map[string]float64
		high   float64
	}{
		{"plan.carries", o.SiteCapacities, maxTransfers},
		{"plan.shares", o.ClassShares, 1},
		{"plan.work_ms", o.ServiceTimeMS, maxMS},
	} {
		for _, name := range slices.Sorted(maps.Keys(table.values)) {
			if value := table.values[name]; !(value >= 0 && value <= table.high) {
				return overrideErrorf(table.key+"."+name, "%v is not within 0 and %v", value, table.high)
			}
		}
	}
	return o.validatePinShares()
}

// validatePinShares finds shares out of range, and pins of a branch that exceed all of its fills.
func (o *Overrides) validatePinShares() error {
	type source struct{ lost, from string }
	sums := map[source]float64{}
	for i, pin := range o.Pins {
		if !(pin.Share > 0 && pin.Share <= 1) {
			return overrideErrorf(pinKey(i, "share"), "%v is not above 0 and at most 1", pin.Share)
		}
		key := source{lost: pin.Lost, from: pin.From}
		sums[key] += pin.Share
		if sums[key] > 1+epsilon {
			return overrideErrorf(pinKey(i, "share"), "the pins of %s while %s is lost make %.3f, more than 1",
				pin.From, pin.Lost, sums[key])
		}
	}
	return nil
}

// validate holds the overrides against a topology: sites and classes that it does not have, a pin to a site that is
// lost itself, sites that would have to take each other's load. Whether pins have room is found with the plan.
func (o *Overrides) validate(topology *Topology) error {
	if err := o.ValidateRanges(); err != nil {
		return err
	}
	for i, pin := range o.Pins {
		if err := o.validatePin(topology, i, pin); err != nil {
			return err
		}
	}
	for i, forbid := range o.Forbids {
		if topology.siteIndex(forbid.Lost) < 0 {
			return overrideErrorf(forbidKey(i, "lost"), "%q is no site of the settings", forbid.Lost)
		}
		if err := checkHub(topology, forbidKey(i, "to"), forbid.To); err != nil {
			return err
		}
	}
	for i, name := range o.RejectionOrder {
		if topology.classIndex(name) < 0 {
			return overrideErrorf("plan.order", "%q is no class", name)
		}
		if slices.Contains(o.RejectionOrder[:i], name) {
			return overrideErrorf("plan.order", "%s is named twice", name)
		}
	}
	return o.checkPinLoops(topology)
}

func (o *Overrides) validatePin(topology *Topology, i int, pin Pin) error {
	if topology.siteIndex(pin.Lost) < 0 {
		return overrideErrorf(pinKey(i, "lost"), "%q is no site of the settings", pin.Lost)
	}
	from := topology.siteIndex(pin.From)
	if from < 0 {
		return overrideErrorf(pinKey(i, "from"), "%q is no site of the settings", pin.From)
	}
	if topology.Sites[from].Hub {
		return overrideErrorf(pinKey(i, "from"), "%s is a hub: fills come from branches", pin.From)
	}
	if err := checkHub(topology, pinKey(i, "to"), pin.To); err != nil {
		return err
	}
	if pin.To == pin.Lost {
		return overrideErrorf(pinKey(i, "to"), "%s can't take what it has lost itself", pin.To)
	}
	if pin.From == pin.Lost && !topology.BypassAllowed {
		return overrideErrorf(
			pinKey(i, "from"),
			"%s is lost, and parents take no clients' requests here: it has no fills",
			pin.From,
		)
	}
	for j, forbid := range o.Forbids {
		if forbid.Lost == pin.Lost && forbid.To == pin.To {
			return overrideErrorf(pinKey(i, "to"), "%s may not take anything while %s is lost (plan.forbid[%d])",
				pin.To, pin.Lost, j)
		}
	}
	return nil
}

// checkHub makes sure that the value of a key names a hub.
func checkHub(topology *Topology, key, name string) error {
	i := topology.siteIndex(name)
	if i < 0 {
		return overrideErrorf(key, "%q is no site of the settings", name)
	}
	if !topology.Sites[i].Hub {
		return overrideErrorf(
			key,
			"%s is a branch: only hubs take fills, and caches of other branches take no clients' requests",
			name,
		)
	}
	return nil
}

// checkPinLoops finds hubs that are pinned to take all of each other's load: with both lost, the pins would send it
// round.
func (o *Overrides) checkPinLoops(topology *Topology) error {
	search := loopSearch{pins: o.Pins, takers: map[string]map[string]int{}}
	for i, pin := range o.Pins {
		if !pin.isWhole() {
			continue
		}
		if search.takers[pin.Lost] == nil {
			search.takers[pin.Lost] = map[string]int{}
		}
		search.takers[pin.Lost][pin.To] = i
	}
	for _, site := range topology.Sites {
		if err := search.visit(site.Name, nil); err != nil {
			return err
		}
	}
	return nil
}

// isWhole reports whether the pin takes all of a branch's fills.
func (p Pin) isWhole() bool { return p.Share > 1-epsilon }

// loopSearch is a depth-first search for loops among pins that take all of a site's load.
type loopSearch struct {
	pins   []Pin
	takers map[string]map[string]int // lost site to taker, and the last pin that says so
}

// visit follows the pins from a site that was reached by a path of others.
func (s *loopSearch) visit(site string, path []string) error {
	if start := slices.Index(path, site); start >= 0 {
		pin := s.takers[path[len(path)-1]][site]
		loop := append(slices.Clone(path[start:]), site)
		return overrideErrorf(pinKey(pin, "to"), "sites take each other's load in a loop: %s", strings.Join(loop, ", "))
	}
	// In the order of the file, so that the same key is named each time.
	for i, pin := range s.pins {
		if pin.Lost != site || !pin.isWhole() || s.takers[site][pin.To] != i {
			continue
		}
		if err := s.visit(pin.To, append(slices.Clone(path), site)); err != nil {
			return err
		}
	}
	return nil
}
