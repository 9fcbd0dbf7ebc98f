package failover

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Overrides holds the table "plan" of the operators' file: values that the settings don't contain, and decisions of
// operators that replace computed ones. The zero value overrides nothing.
type Overrides struct {
	UsualLoad      float64            `toml:"usual_load"`  // load, as a fraction of the capacity of a branch's caches
	CacheHitRatio  float64            `toml:"hits"`        // fraction of the work that caches serve without a fill
	ParentHitRatio float64            `toml:"parent_hits"` // fraction of the fills that parents serve themselves
	OriginCapacity float64            `toml:"origin"`      // concurrent transfers; 0: 1.5 times the usual demand
	SiteCapacities map[string]float64 `toml:"carries"`     // transfers by site; replaces its servers' weights
	ClassShares    map[string]float64 `toml:"shares"`      // fraction of the work by class; empty: equal shares
	ServiceTimeMS  map[string]float64 `toml:"work_ms"`     // by class: time to send an object of mean size
	RejectionOrder []string           `toml:"order"`       // classes, first rejected first; empty: by value
	ShiftRatePerS  float64            `toml:"move_per_s"`  // largest fraction of a site's traffic moved per second
	MinLostMS      float64            `toml:"stay_ms"`     // shortest time for which a site counts as lost
	LimitFills     bool               `toml:"follow"`      // directors limit fills to the plan's shares
	Pins           []Pin              `toml:"pin"`
	Forbids        []Forbid           `toml:"forbid"`
}

// Pin assigns a fixed fraction of a branch's fills to a hub while a site is lost.
type Pin struct {
	Lost  string  `toml:"lost"`
	From  string  `toml:"from"` // the branch
	To    string  `toml:"to"`   // the hub
	Share float64 `toml:"share"`
}

// Forbid excludes a hub from taking over fills of branches of other hubs while a site is lost.
type Forbid struct {
	Lost string `toml:"lost"`
	To   string `toml:"to"` // the hub
}

// OverrideError reports a key of the operators' file whose value is invalid or can't be satisfied, and the reason.
type OverrideError struct{ Key, Reason string }

// Error returns the key and the reason.
func (e *OverrideError) Error() string { return e.Key + ": " + e.Reason }

// overrideErrorf returns an *OverrideError with a formatted reason.
func overrideErrorf(key, format string, args ...any) error {
	return &OverrideError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// pinKey and forbidKey return the key, in the operators' file, of a field of the pin or forbid with index i.
func pinKey(i int, field string) string    { return fmt.Sprintf("plan.pin[%d].%s", i, field) }
func forbidKey(i int, field string) string { return fmt.Sprintf("plan.forbid[%d].%s", i, field) }

// ValidateRanges checks all values against the ranges that hold in any installation. It returns an *OverrideError for
// the first key whose value is out of range.
func (o *Overrides) ValidateRanges() error {
	const (
		maxUsualLoad = 4       // multiple of the capacity of the caches
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

// validatePinShares returns an *OverrideError for the first pin whose share is not in (0, 1], or with which the shares
// of a branch's pins for one lost site sum to more than 1.
func (o *Overrides) validatePinShares() error {
	type pinSource struct{ lost, from string }
	sums := map[pinSource]float64{}
	for i, pin := range o.Pins {
		if !(pin.Share > 0 && pin.Share <= 1) {
			return overrideErrorf(pinKey(i, "share"), "%v is not above 0 and at most 1", pin.Share)
		}
		key := pinSource{lost: pin.Lost, from: pin.From}
		sums[key] += pin.Share
		if sums[key] > 1+epsilon {
			return overrideErrorf(pinKey(i, "share"), "the pins of %s while %s is lost make %.3f, more than 1",
				pin.From, pin.Lost, sums[key])
		}
	}
	return nil
}

// validate checks the overrides against a topology. It returns an *OverrideError for values out of range, unknown sites
// and classes, pins that contradict the topology or a forbid, and loops of pins. It doesn't check whether hubs have the
// capacity for their pins, which NewPlanner does.
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

// validatePin checks the sites of the pin with index i against the topology and against the forbids.
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

// checkHub returns an *OverrideError for the key unless name is the name of a hub.
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

// checkPinLoops returns an *OverrideError if pins that take all of a branch's fills form a loop of hubs: with all hubs
// of the loop lost, each pin would name a lost hub as its replacement.
func (o *Overrides) checkPinLoops(topology *Topology) error {
	search := loopSearch{pins: o.Pins, receivers: map[string]map[string]int{}}
	for i, pin := range o.Pins {
		if !pin.takesAllFills() {
			continue
		}
		if search.receivers[pin.Lost] == nil {
			search.receivers[pin.Lost] = map[string]int{}
		}
		search.receivers[pin.Lost][pin.To] = i
	}
	for _, site := range topology.Sites {
		if err := search.visit(site.Name, nil); err != nil {
			return err
		}
	}
	return nil
}

// takesAllFills reports whether the pin assigns all fills of the branch.
func (p Pin) takesAllFills() bool { return p.Share > 1-epsilon }

// loopSearch is a depth-first search for loops among pins that take all of a branch's fills.
type loopSearch struct {
	pins      []Pin
	receivers map[string]map[string]int // by lost site and hub that takes over: index of the last such pin
}

// visit follows the pins that apply while a site is lost. path holds the sites that were followed to reach it. visit
// returns an *OverrideError if a site occurs twice on a path.
func (s *loopSearch) visit(site string, path []string) error {
	if start := slices.Index(path, site); start >= 0 {
		pin := s.receivers[path[len(path)-1]][site]
		loop := append(slices.Clone(path[start:]), site)
		return overrideErrorf(pinKey(pin, "to"), "sites take each other's load in a loop: %s", strings.Join(loop, ", "))
	}
	// Pins are followed in the order of the file, so that the error names the same key on each run.
	for i, pin := range s.pins {
		if pin.Lost != site || !pin.takesAllFills() || s.receivers[site][pin.To] != i {
			continue
		}
		if err := s.visit(pin.To, append(slices.Clone(path), site)); err != nil {
			return err
		}
	}
	return nil
}
