// Package failover computes failover plans. A plan states, for a set of lost sites, which sites take over their load
// and fills, in which shares, and which requests are rejected, in which order. A site is a branch with its caches, or a
// hub with its parents.
//
// A plan depends only on the settings, the endpoint list and the operators' overrides, so that hundreds of directors
// that can't communicate with each other compute the same plan. The package does no I/O, reads no clock and draws no
// random numbers.
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

const (
	// Defaults for values that neither the settings nor the operators' overrides contain.
	defaultLoad           = 0.6                    // fraction of the capacity of a branch's caches
	defaultCacheHitRatio  = 0.7                    // see Topology.CacheHitRatio
	defaultParentHitRatio = 0.6                    // see Topology.ParentHitRatio
	defaultServiceTime    = 100 * time.Millisecond // see Class.ServiceTime
	// originHeadroom is the capacity of an origin of unknown size, as a multiple of its demand at the usual load.
	originHeadroom = 1.5

	// nonIdempotent is the value of routing.Class.Idempotency for requests that must not run twice (protocol page).
	nonIdempotent = "non_idempotent"

	// shareTolerance is the largest deviation from 1 that Topology.validate accepts for the sum of the classes' shares.
	shareTolerance = 0.01
)

// Site is a branch or a hub. Its capacities are in transfers: the number of responses that can be sent concurrently,
// each at its full rate.
type Site struct {
	Name            string
	Hub             bool
	Capacity        float64 // total of the links of all its servers
	IngressCapacity float64 // of a branch's inbound link; 0: unknown, treated as unlimited
	HomeHub         int     // of a branch: index in Topology.Sites of the hub that it is attached to; -1: none
	RingPosition    int     // of a hub: its position in the ring of hubs; -1: none
}

// Class describes a class of requests: its share of the load and its value.
type Class struct {
	Name           string
	LoadShare      float64       // fraction of all requested work; the shares of all classes sum to 1
	ServiceTime    time.Duration // time to send an object of mean size at full rate
	PriorityWeight float64       // value of one request
	NonIdempotent  bool          // must not run twice, and is rejected last
	Uncacheable    bool          // runs at the origin, and uses almost no link capacity
}

// valueDensity returns the priority weight per second of sending: the value that is lost for each unit of link time
// that a rejection saves.
func (c Class) valueDensity() float64 { return c.PriorityWeight / c.ServiceTime.Seconds() }

// Topology holds the sites, classes, loads and capacities that plans are computed from. Its sites are in the order of
// the zones in the settings.
type Topology struct {
	Sites         []Site
	Classes       []Class
	BypassAllowed bool // parents and the origin also answer clients' requests

	UsualLoad      float64 // fraction of the capacity of a branch's caches
	CacheHitRatio  float64 // fraction of the work that caches serve without a fill
	ParentHitRatio float64 // fraction of the fills that parents serve without the origin
	OriginCapacity float64 // concurrent transfers of the origin; 0: unlimited
	TransitCost    float64 // cost of a byte per step along the ring, as a fraction of the value of a mean byte

	CacheSlowStartDuration time.Duration // time from a cache's start until it has its full capacity
	CacheSlowStartFraction float64       // fraction of its full capacity that a cache has at its start
	CacheOverloadMultiple  float64       // load, as a multiple of its present capacity, at which a cache fails
	// The same values for parents.
	ParentSlowStartDuration time.Duration
	ParentSlowStartFraction float64
	ParentOverloadMultiple  float64
}

// NewTopology derives the topology from a director's settings, the endpoints that the director knows, and the
// overrides. Only endpoints in state Ready add capacity. The error is an *OverrideError if an override is invalid, and
// a plain error if a site or class has invalid values.
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

// addSites adds a site for each zone. A zone is a hub if it has parents, or if it has neither directors nor endpoints.
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

// placeOnRing sets the ring positions of hubs and attaches branches to their hubs. In the settings, hubs are the first
// zones, in the order of the ring (protocol page), so a hub's zone is its position.
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

// addClasses adds the classes of the settings, with the shares and service times of the overrides or the defaults.
func (t *Topology) addClasses(settings *routing.Settings, overrides Overrides) {
	for i, settingsClass := range settings.Classes {
		class := Class{
			Name:           settingsClass.Name,
			LoadShare:      1 / float64(len(settings.Classes)),
			ServiceTime:    defaultServiceTime,
			PriorityWeight: settingsClass.PriorityWeight,
			NonIdempotent:  settingsClass.Idempotency == nonIdempotent,
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

// checkNames returns an *OverrideError for the first override that names a site or class that the settings lack.
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

// defaultOriginCapacity returns the capacity assumed for an origin of unknown size, in transfers: originHeadroom times
// its demand at the usual load with no site lost.
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

// classIndex returns the index of the class in Classes, or -1 if there is none of that name.
func (t *Topology) classIndex(name string) int {
	return slices.IndexFunc(t.Classes, func(class Class) bool { return class.Name == name })
}

// siteIndex returns the index of the site in Sites, or -1 if there is none of that name.
func (t *Topology) siteIndex(name string) int {
	return slices.IndexFunc(t.Sites, func(s Site) bool { return s.Name == name })
}

// validate returns an error for the first value for which no plan can be computed. For each class, LoadShare must be
// between 0 and 1, ServiceTime above 0 and PriorityWeight at least 0; the sum of the LoadShares must be 1 within
// shareTolerance. For each site, Capacity and IngressCapacity must be at least 0. NaN is always invalid.
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

// ringDistance returns the number of steps along the ring between two hubs, by the shorter way.
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

// demand returns the work that the clients of a branch request at the usual load, in transfers. It is proportional to
// the branch's full capacity even while the branch is lost, because the clients of a lost branch go on sending
// requests.
func (t *Topology) demand(branch int) float64 {
	return t.UsualLoad * t.Sites[branch].Capacity
}

// classDemand returns the part of a branch's demand that belongs to a class, in transfers.
func (t *Topology) classDemand(branch, class int) float64 {
	return t.demand(branch) * t.Classes[class].LoadShare
}

// fillDemand returns the part of a class's demand at a branch that hubs have to serve, in transfers. This is the demand
// that misses the caches; if the branch is lost, it is all of the demand where BypassAllowed is set, and 0 otherwise.
// Uncacheable classes have no fills.
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

// uncacheableDemand returns the demand of all branches for uncacheable classes, in transfers. The origin serves it.
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
