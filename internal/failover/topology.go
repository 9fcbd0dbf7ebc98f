// Package siteplan works out, before the bad day, who takes the load and the fills of a site that is lost, in what
// shares, and what is refused, in which order. A site is a branch with its caches or a hub with its parents.
//
// A plan follows from the settings, the list of servers and the operators' wishes alone, so that hundreds of directors
// that can't talk to each other come to the same one. Nothing here does I/O or knows a clock, and nothing is random.
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

// Site is a branch or a hub. Capacities are in transfers: answers that can be sent at once at the full pace of one.
type Site struct {
	Name            string
	Hub             bool
	Capacity        float64 // transfers that the links of its servers carry together
	IngressCapacity float64 // of a branch: transfers that its link in takes; 0: not told, and taken for enough
	HomeHub         int     // of a branch: its hub's place in Topology.Sites; -1: it has none
	RingPosition    int     // of a hub: its place in the ring; each step is a longer way
}

// Class is a class of requests.
type Class struct {
	Name           string
	LoadShare      float64       // of the work asked for; those of all classes make 1
	ServiceTime    time.Duration // sending time of a mean object at full pace
	PriorityWeight float64       // of one request
	NonIdempotent  bool          // must not run twice: refused last
	Uncacheable    bool          // runs at the origin, and takes next to nothing of links
}

// valueDensity is the worth of a second of sending: what is lost for each unit of the scarce thing that is saved.
func (c Class) valueDensity() float64 { return c.PriorityWeight / c.ServiceTime.Seconds() }

// Topology is what a plan is made for.
type Topology struct {
	Sites         []Site
	Classes       []Class
	BypassAllowed bool // parents and the origin take clients' requests too

	UsualLoad      float64 // usual load, as a part of what a branch's caches carry
	CacheHitRatio  float64 // part of the work that caches hold
	ParentHitRatio float64 // part of the fills that parents hold
	OriginCapacity float64 // transfers that the origin can give at once; 0: any number
	TransitCost    float64 // price of a byte for each step round the ring, as a part of the worth of a mean byte

	CacheSlowStartDuration  time.Duration // a cache is warm after so long
	CacheSlowStartFraction  float64       // part of its capacity that it starts with
	CacheOverloadMultiple   float64       // times its present capacity at which it falls over
	ParentSlowStartDuration time.Duration
	ParentSlowStartFraction float64
	ParentOverloadMultiple  float64
}

// Figures that hold where neither settings nor operators tell one.
const (
	defaultLoad           = 0.6 // of a branch's links
	defaultCacheHitRatio  = 0.7
	defaultParentHitRatio = 0.6
	defaultServiceTime    = 100 * time.Millisecond
	originHeadroom        = 1.5 // times what it is asked for at the usual load that an origin of unknown size can give
	coldBudgetUse         = 0.5 // part of a cold budget that is used: the router's own margin for chance
	maxLoadSearched       = 16  // times the usual load beyond which nobody asks when refusing begins
)

// NewTopology takes the topology from a director's settings and the list of servers that it knows. Draining and gone
// servers carry nothing.
func NewTopology(s *routing.Settings, members []routing.Endpoint, w Overrides) (*Topology, error) {
	f, g := &s.Tiers, &s.Guarantees
	t := &Topology{BypassAllowed: f.BypassAllowed, UsualLoad: cmp.Or(w.UsualLoad, defaultLoad),
		CacheHitRatio: cmp.Or(w.CacheHitRatio, defaultCacheHitRatio), ParentHitRatio: cmp.Or(w.ParentHitRatio, defaultParentHitRatio), OriginCapacity: w.OriginCapacity,
		TransitCost:            f.TransitCost,
		CacheSlowStartDuration: g.SlowStartDuration, CacheSlowStartFraction: g.SlowStartFraction, CacheOverloadMultiple: g.OverloadMultiple,
		ParentSlowStartDuration: f.ParentSlowStartDuration, ParentSlowStartFraction: f.ParentSlowStartFraction, ParentOverloadMultiple: f.ParentOverloadMultiple}
	carries, hubs, seen := make([]float64, len(s.Zones)), make([]bool, len(s.Zones)), make([]bool, len(s.Zones))
	for _, m := range members {
		if m.Zone < 0 || m.Zone >= len(s.Zones) || m.Kind == f.OriginKind {
			continue
		}
		seen[m.Zone] = true
		hubs[m.Zone] = hubs[m.Zone] || m.Kind == f.ParentKind
		if m.State == routing.Ready {
			carries[m.Zone] += m.Weight
		}
	}
	place := make([]int, len(s.Zones)) // of a zone among the sites
	for z, name := range s.Zones {
		site := Site{Name: name, Capacity: carries[z], HomeHub: -1, RingPosition: -1}
		seats := z < len(f.DirectorsByZone) && f.DirectorsByZone[z] > 0
		site.Hub = hubs[z] || (!seats && !seen[z])
		if !site.Hub && z < len(f.InboundLinkKBPerSecond) && f.TransferKBPerSecond > 0 {
			site.IngressCapacity = f.InboundLinkKBPerSecond[z] / f.TransferKBPerSecond
		}
		place[z] = len(t.Sites)
		t.Sites = append(t.Sites, site)
	}
	for z := range s.Zones {
		if z >= len(f.HubByZone) {
			break
		}
		// The settings give places: hubs are the first zones, in the order of the ring (protocol page).
		hub, site := f.HubByZone[z], &t.Sites[place[z]]
		switch {
		case site.Hub:
			site.RingPosition = z
		case hub >= 0 && hub < len(place) && t.Sites[place[hub]].Hub:
			site.HomeHub = place[hub]
		}
	}
	for i, c := range s.Classes {
		k := Class{Name: c.Name, LoadShare: 1 / float64(len(s.Classes)), ServiceTime: defaultServiceTime, PriorityWeight: c.PriorityWeight,
			NonIdempotent: c.Idempotency == "non_idempotent"}
		k.Uncacheable = i < len(f.Uncacheable) && f.Uncacheable[i]
		if ms := w.ServiceTimeMS[c.Name]; ms > 0 {
			k.ServiceTime = time.Duration(ms * float64(time.Millisecond))
		}
		if len(w.ClassShares) > 0 {
			k.LoadShare = w.ClassShares[c.Name]
		}
		t.Classes = append(t.Classes, k)
	}
	for name, carries := range w.SiteCapacities {
		if i := t.siteIndex(name); i >= 0 {
			t.Sites[i].Capacity = carries
		}
	}
	for _, m := range []struct {
		key   string
		by    map[string]float64
		place func(string) int
		kind  string
	}{{"plan.carries", w.SiteCapacities, t.siteIndex, "site"}, {"plan.shares", w.ClassShares, t.classIndex, "class"},
		{"plan.work_ms", w.ServiceTimeMS, t.classIndex, "class"}} {
		for _, name := range slices.Sorted(maps.Keys(m.by)) {
			if m.place(name) < 0 {
				return nil, overrideErrorf(m.key+"."+name, "the settings have no such %s", m.kind)
			}
		}
	}
	if t.OriginCapacity == 0 {
		t.OriginCapacity = originHeadroom * t.uncacheableDemand()
		for b, s := range t.Sites {
			for c := range t.Classes {
				if !s.Hub {
					t.OriginCapacity += originHeadroom * t.fillDemand(b, c, false) * (1 - t.ParentHitRatio)
				}
			}
		}
	}
	return t, t.validate()
}

func (t *Topology) classIndex(name string) int {
	return slices.IndexFunc(t.Classes, func(c Class) bool { return c.Name == name })
}

func (t *Topology) siteIndex(name string) int {
	return slices.IndexFunc(t.Sites, func(s Site) bool { return s.Name == name })
}

// validate names what a plan can't be made of.
func (t *Topology) validate() error {
	sum := 0.0
	for _, c := range t.Classes {
		if !(c.LoadShare >= 0 && c.LoadShare <= 1) {
			return overrideErrorf("plan.shares."+c.Name, "%v of the work", c.LoadShare)
		}
		if c.ServiceTime <= 0 || !(c.PriorityWeight >= 0) {
			return fmt.Errorf("class %s: work %v, worth %v", c.Name, c.ServiceTime, c.PriorityWeight)
		}
		sum += c.LoadShare
	}
	if math.Abs(sum-1) > 0.01 {
		return overrideErrorf("plan.shares", "the classes' shares make %.3f, not 1", sum)
	}
	for _, s := range t.Sites {
		if !(s.Capacity >= 0) || !(s.IngressCapacity >= 0) {
			return fmt.Errorf("site %s: carries %v, link in %v", s.Name, s.Capacity, s.IngressCapacity)
		}
	}
	return nil
}

// ringDistance is the way round the ring between two hubs.
func (t *Topology) ringDistance(a, b int) int {
	n := 0
	for _, s := range t.Sites {
		if s.Hub {
			n++
		}
	}
	d := t.Sites[a].RingPosition - t.Sites[b].RingPosition
	if d < 0 {
		d = -d
	}
	return min(d, max(n-d, 0))
}

// demand is the work that a branch is demand for at the usual load, in transfers. Traffic goes with the capacity that
// the branch was built with: the clients of a lost branch are still there.
func (t *Topology) demand(branch int) float64 { return t.UsualLoad * t.Sites[branch].Capacity }

// fillDemand is the part of a class's work at a branch that comes from hubs: what its caches lack, and all of it where
// there are none and parents may be asked in their place.
func (t *Topology) fillDemand(branch, class int, lost bool) float64 {
	c := t.Classes[class]
	asked := t.demand(branch) * c.LoadShare
	switch {
	case c.Uncacheable:
		return 0
	case lost && !t.BypassAllowed:
		return 0
	case lost:
		return asked
	}
	return asked * (1 - t.CacheHitRatio)
}

// uncacheableDemand is the work of all branches that runs at the origin alone.
func (t *Topology) uncacheableDemand() (sum float64) {
	for b, s := range t.Sites {
		for _, c := range t.Classes {
			if !s.Hub && c.Uncacheable {
				sum += t.demand(b) * c.LoadShare
			}
		}
	}
	return sum
}
