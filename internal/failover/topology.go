// Package failover works out in advance who takes over the load and the fills of a lost site, in what shares, and which
// requests are rejected, in which order. A site is a branch with its caches, or a hub with its parents.
//
// A plan follows from the settings, the endpoint list and the operators' overrides alone, so that hundreds of directors
// that can't talk to each other come to the same one. The package does no I/O, reads no clock and draws no random
// numbers.
package failover

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"shaleyard/routing"
)

// Values that hold where neither the settings nor the operators give one.
const (
	defaultLoad           = 0.6 // of the capacity of a branch's caches
	defaultCacheHitRatio  = 0.7
	defaultParentHitRatio = 0.6
	defaultServiceTime    = 100 * time.Millisecond
	originHeadroom        = 1.5 // capacity of an origin of unknown size, as a multiple of its demand at the usual load

	// nonIdempotent is the value of a class's effect for requests that must not run twice (protocol page).
	nonIdempotent = "non_idempotent"

	shareTolerance = 0.01 // by which the classes' shares may miss a sum of 1
)

// Site is a branch or a hub. Capacities are in transfers: responses that can be sent at once, each at its full rate.
type Site struct {
	Name            string
	Hub             bool
	Capacity        float64 // of the links of all of its servers together
	IngressCapacity float64 // of a branch: of its inbound link; 0: not known, and taken for sufficient
	HomeHub         int     // of a branch: index in Topology.Sites of the hub it is attached to; -1: none
	RingPosition    int     // of a hub: its place in the ring of hubs; -1: none
}

// Class is a class of requests.
type Class struct {
	Name           string
	LoadShare      float64       // of the work that is asked for; the shares of all classes sum to 1
	ServiceTime    time.Duration // to send a mean object at full rate
	PriorityWeight float64       // of one request
	NonIdempotent  bool          // must not run twice: rejected last
	Uncacheable    bool          // runs at the origin, and uses next to nothing of the links
}

// valueDensity is the priority weight for a second of sending: what is lost with each unit of the scarce resource
// saved.
func (c Class) valueDensity() float64 { return c.PriorityWeight / c.ServiceTime.Seconds() }

// Topology is what a plan is made for. Its sites are in the order of the zones in the settings.
type Topology struct {
	Sites         []Site
	Classes       []Class
	BypassAllowed bool // parents and the origin take clients' requests too

	UsualLoad      float64 // as a share of the capacity of a branch's caches
	CacheHitRatio  float64 // share of the work that caches hold
	ParentHitRatio float64 // share of the fills that parents hold
	OriginCapacity float64 // transfers that the origin can give at once; 0: unlimited
	TransitCost    float64 // of a byte for each step round the ring, as a share of the value of a mean byte

	CacheSlowStartDuration  time.Duration // after which a cache is warm
	CacheSlowStartFraction  float64       // share of its capacity that it starts with
	CacheOverloadMultiple   float64       // multiple of its present capacity at which it falls over
	ParentSlowStartDuration time.Duration
	ParentSlowStartFraction float64
	ParentOverloadMultiple  float64
}

// NewTopology derives the topology from a director's settings and the endpoints that it knows. Endpoints that are
// draining or gone add no capacity. The error is an *OverrideError where an override can't hold.
func NewTopology(settings *routing.Settings, endpoints []routing.Endpoint, overrides Overrides) (*Topology, error) {
	tiers, guarantees := &settings.Tiers, &settings.Guarantees
	topology := &Topology{
		BypassAllowed:  tiers.BypassAllowed,
		UsualLoad:      cmp.Or(overrides.UsualLoad, defaultLoad),
		CacheHitRatio:  cmp.Or(overrides.CacheHitRatio, defaultCacheHitRatio),
		ParentHitRatio: cmp.Or(overrides.ParentHitRatio, defaultParentHitRatio),
		OriginCapacity: overrides.OriginCapacity,
		TransitCost:    tiers.TransitCost,

		CacheSlowStartDuration:  guarantees.SlowStartDuration,
		CacheSlowStartFraction:  guarantees.SlowStartFraction,
		CacheOverloadMultiple:   guarantees.OverloadMultiple,
		ParentSlowStartDuration: tiers.ParentSlowStartDuration,
		ParentSlowStartFraction: tiers.ParentSlowStartFraction,
		ParentOverloadMultiple:  tiers.ParentOverloadMultiple,
	}
	topology.addSites(settings, endpoints)
	topology.placeOnRing(tiers.HubByZone)
	topology.addClasses(settings, overrides)
	for name, capacity := range overrides.SiteCapacities {
		if i := topology.siteIndex(name); i >= 0 {
			topology.Sites[i].Capacity = capacity
		}
	}
	if err := topology.checkNames(overrides); err != nil {
		return nil, err
	}
	if topology.OriginCapacity == 0 {
		topology.OriginCapacity = topology.defaultOriginCapacity()
	}
	return topology, topology.validate()
}

// addSites adds a site for each zone. A zone is a hub if it has parents, or neither directors nor any endpoint.
func (t *Topology) addSites(settings *routing.Settings, endpoints []routing.Endpoint) {
	tiers, zones := &settings.Tiers, len(settings.Zones)
	capacities, hasParents, hasEndpoints := make([]float64, zones), make([]bool, zones), make([]bool, zones)
	for _, endpoint := range endpoints {
		zone := endpoint.Zone
		if zone < 0 || zone >= zones || endpoint.Kind == tiers.OriginKind {
			continue
		}
		hasEndpoints[zone] = true
		hasParents[zone] = hasParents[zone] || endpoint.Kind == tiers.ParentKind
		if endpoint.State == routing.Ready {
			capacities[zone] += endpoint.Weight
		}
	}
	for zone, name := range settings.Zones {
		site := Site{Name: name, Capacity: capacities[zone], HomeHub: -1, RingPosition: -1}
		hasDirectors := zone < len(tiers.DirectorsByZone) && tiers.DirectorsByZone[zone] > 0
		site.Hub = hasParents[zone] || (!hasDirectors && !hasEndpoints[zone])
		if !site.Hub && zone < len(tiers.InboundLinkKBPerSecond) && tiers.TransferKBPerSecond > 0 {
			site.IngressCapacity = tiers.InboundLinkKBPerSecond[zone] / tiers.TransferKBPerSecond
		}
		t.Sites = append(t.Sites, site)
	}
}

// placeOnRing attaches branches to their hubs. The settings give places: hubs are the first zones, in the order of the
// ring (protocol page).
func (t *Topology) placeOnRing(hubByZone []int) {
	for zone := range t.Sites {
		if zone >= len(hubByZone) {
			break
		}
		hub, site := hubByZone[zone], &t.Sites[zone]
		switch {
		case site.Hub:
			site.RingPosition = zone
		case hub >= 0 && hub < len(t.Sites) && t.Sites[hub].Hub:
			site.HomeHub = hub
		}
	}
}

func (t *Topology) addClasses(settings *routing.Settings, overrides Overrides) {
	for i, described := range settings.Classes {
		class := Class{
			Name:           described.Name,
			LoadShare:      1 / float64(len(settings.Classes)),
			ServiceTime:    defaultServiceTime,
			PriorityWeight: described.PriorityWeight,
			NonIdempotent:  described.Idempotency == nonIdempotent,
			Uncacheable:    i < len(settings.Tiers.Uncacheable) && settings.Tiers.Uncacheable[i],
		}
		if ms := overrides.ServiceTimeMS[class.Name]; ms > 0 {
			class.ServiceTime = time.Duration(ms * float64(time.Millisecond))
		}
		if len(overrides.ClassShares) > 0 {
			class.LoadShare = overrides.ClassShares[class.Name]
		}
		t.Classes = append(t.Classes, class)
	}
}

// checkNames finds overrides for sites and classes that the settings do not have.
func (t *Topology) checkNames(overrides Overrides) error {
	for _, table := range []struct {
		key     string
		values  map[string]float64
		indexOf func(string) int
		kind    string
	}{
		{"plan.carries", overrides.SiteCapacities, t.siteIndex, "site"},
		{"plan.shares", overrides.ClassShares, t.classIndex, "class"},
		{"plan.work_ms", overrides.ServiceTimeMS, t.classIndex, "class"},
	} {
		for _, name := range slices.Sorted(maps.Keys(table.values)) {
			if table.indexOf(name) < 0 {
				return overrideErrorf(table.key+"."+name, "the settings have no such %s", table.kind)
			}
		}
	}
	return nil
}

// defaultOriginCapacity is that of an origin of unknown size: its demand at the usual load, with some headroom.
func (t *Topology) defaultOriginCapacity() float64 {
	capacity := originHeadroom * t.uncacheableDemand()
	for branch, site := range t.Sites {
		for class := range t.Classes {
			if !site.Hub {
				capacity += originHeadroom * t.fillDemand(branch, class, false) * (1 - t.ParentHitRatio)
			}
		}
	}
	return capacity
}

func (t *Topology) classIndex(name string) int {
	return slices.IndexFunc(t.Classes, func(class Class) bool { return class.Name == name })
}

func (t *Topology) siteIndex(name string) int {
	return slices.IndexFunc(t.Sites, func(s Site) bool { return s.Name == name })
}

// validate finds values for which no plan can be made.
func (t *Topology) validate() error {
	sum := 0.0
	for _, class := range t.Classes {
		if !(class.LoadShare >= 0 && class.LoadShare <= 1) {
			return overrideErrorf("plan.shares."+class.Name, "%v of the work", class.LoadShare)
		}
		if class.ServiceTime <= 0 || !(class.PriorityWeight >= 0) {
			return fmt.Errorf("class %s: work %v, worth %v", class.Name, class.ServiceTime, class.PriorityWeight)
		}
		sum += class.LoadShare
	}
	if math.Abs(sum-1) > shareTolerance {
		return overrideErrorf("plan.shares", "the classes' shares make %.3f, not 1", sum)
	}
	for _, site := range t.Sites {
		if !(site.Capacity >= 0) || !(site.IngressCapacity >= 0) {
			return fmt.Errorf("site %s: carries %v, link in %v", site.Name, site.Capacity, site.IngressCapacity)
		}
	}
	return nil
}

// ringDistance is the number of steps round the ring between two hubs.
func (t *Topology) ringDistance(a, b int) int {
	hubs := 0
	for _, s := range t.Sites {
		if s.Hub {
			hubs++
		}
	}
	distance := t.Sites[a].RingPosition - t.Sites[b].RingPosition
	if distance < 0 {
		distance = -distance
	}
	return min(distance, max(hubs-distance, 0))
}

// demand is the work that a branch is asked for at the usual load, in transfers. It goes with the capacity that the
// branch was built with: the clients of a lost branch are still there.
func (t *Topology) demand(branch int) float64 {
	return t.UsualLoad * t.Sites[branch].Capacity
}

// classDemand is the part of a branch's demand that is of a class.
func (t *Topology) classDemand(branch, class int) float64 {
	return t.demand(branch) * t.Classes[class].LoadShare
}

// fillDemand is the part of a class's work at a branch that comes from hubs: what its caches lack, or all of it where
// the caches are lost and parents may be asked in their place.
func (t *Topology) fillDemand(branch, class int, lost bool) float64 {
	switch {
	case t.Classes[class].Uncacheable:
		return 0
	case lost && !t.BypassAllowed:
		return 0
	case lost:
		return t.classDemand(branch, class)
	}
	return t.classDemand(branch, class) * (1 - t.CacheHitRatio)
}

// uncacheableDemand is the work of all branches that runs at the origin alone.
func (t *Topology) uncacheableDemand() float64 {
	sum := 0.0
	for branch, site := range t.Sites {
		for class := range t.Classes {
			if !site.Hub && t.Classes[class].Uncacheable {
				sum += t.classDemand(branch, class)
			}
		}
	}
	return sum
}
