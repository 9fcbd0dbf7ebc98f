package failover

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Planner makes plans for one topology and the operators' wishes. It keeps those that it has made.
type Planner struct {
	t     *Topology
	w     Overrides
	known map[string]*Plan

	crowdPrice float64 // of what a hub takes over, for each part that it has of it already
}

// NewPlanner checks the wishes against the topology. The error is a *WishError that names the key.
func NewPlanner(t *Topology, w Overrides) (*Planner, error) {
	p := &Planner{t: t, w: w, known: map[string]*Plan{}, crowdPrice: crowdPrice}
	if err := w.check(t); err != nil {
		return nil, err
	}
	for i, pin := range w.Pins {
		alive := p.alive([]string{pin.Lost})
		if over := p.flow(alive, 1).over; over != nil && over.pin == i {
			return nil, wrong(fmt.Sprintf("plan.pin[%d].share", i), "%s", over.why)
		}
	}
	return p, nil
}

// Plan says what is done while some sites are lost.
type Plan struct {
	Lost       []string         `json:"lost"`
	Branches   []BranchPlan     `json:"branches"`
	Rejections []ClassRejection `json:"refused"` // in the order in which refusing begins
	// RejectionStart is the load, as times the usual one, at which the first request has to be refused; 0: some have to be
	// at any load. Never is set where no load within reason does it.
	RejectionStart float64 `json:"refusing_starts_at_load"`
	NeverRejects   bool    `json:"refusing_never_starts"`
	// RecoveryTime is how long the load takes to come back to the sites once they do, cold and empty.
	RecoveryTime time.Duration `json:"return_ns"`
	Unmet        []string      `json:"cannot"` // what can't be met, plainly
	// ValueServed is the part of the worth asked for at the usual load that is served.
	ValueServed float64 `json:"worth_served"`
}

// BranchPlan is where a branch's load and fills go.
type BranchPlan struct {
	Name         string             `json:"name"`
	ServedBy     string             `json:"load"`   // who answers its clients: caches, parents, nobody
	FillShares   map[string]float64 `json:"fills"`  // share of its fills by hub, of those that are served
	ServedShares map[string]float64 `json:"served"` // share of each class that is served, at the usual load
}

// ClassRejection tells from which load on a class is refused, and at which branches.
type ClassRejection struct {
	Class    string   `json:"class"`
	FromLoad float64  `json:"from_load"` // times the usual one; 0: at any
	Branches []string `json:"branches"`
}

// alive is the part of each site's capacity that is left with some of them lost.
func (p *Planner) alive(lost []string) []float64 {
	part := make([]float64, len(p.t.Sites))
	for i, s := range p.t.Sites {
		if part[i] = 1; slices.Contains(lost, s.Name) {
			part[i] = 0
		}
	}
	return part
}

// flowing is what a network came to.
type flowing struct {
	fills   [][]float64 // by branch and hub, as places among the sites
	served  [][]float64 // by branch and class, part of what is asked
	cost    float64     // worth a second that is refused, and the price of far bytes
	refused bool
	over    *overPin
}

type overPin struct {
	pin int
	why string
}

// refusalCost is what the refusal of a unit of work of a class costs. What must not run twice is refused last, and an
// order of the operators' goes before worth; within it worth still tells.
func (p *Planner) refusalCost(class int) float64 {
	t := p.t
	most := 0.0
	for _, c := range t.Classes {
		most = max(most, c.density())
	}
	cost, c := t.Classes[class].density(), t.Classes[class]
	if i := slices.Index(p.w.RejectionOrder, c.Name); i >= 0 {
		cost = most * float64(2+i)
	}
	if c.NonIdempotent {
		cost += most * float64(3+len(p.w.RejectionOrder))
	}
	return cost
}

const (
	crowdParts = 10   // in which what a hub takes over is priced, half of them for its part by what it carries
	crowdPrice = 0.02 // of the worth of a unit, more for each: a hub with two or three parts more is worth a step round
	leavePrice = 0.5  // of it, for fills that leave a hub that is there: only what it has no room for
)

// price is what a unit costs that a branch takes from a hub: the way round the ring, and that of leaving its own hub.
func (p *Planner) price(branch, hub int, alive []float64) float64 {
	home, price := p.t.Sites[branch].HomeHub, 0.0
	if home < 0 || home == hub {
		return 0
	}
	if alive[home] > 0 && p.t.Sites[home].Capacity > 0 {
		price = leavePrice
	}
	return p.leastDensity()*price + p.meanDensity()*p.t.TransitCost*float64(p.t.steps(home, hub))
}

// flow sends the fills of all branches to hubs, at a load (times the usual one), so that the worth that has to be
// refused is least, and fills go no further than they must. The hubs' links, the branches' links in and what the
// origin can give behind the parents bound it.
//
// It is one network with a single kind of flow: a unit is a transfer, which takes one of the branch's link in, one
// of a hub's link, and the part that parents lack from the origin.
func (p *Planner) flow(alive []float64, load float64) *flowing {
	t := p.t
	var n network
	source, sink := n.node(), n.node()
	f := &flowing{fills: make([][]float64, len(t.Sites)), served: make([][]float64, len(t.Sites))}
	origin, direct := math.Inf(1), true // directly: where no hub is left, caches fill from the origin, all of it
	for h, s := range t.Sites {
		direct = direct && (!s.Hub || s.Capacity*alive[h] == 0)
	}
	if t.OriginCapacity > 0 {
		if origin = max(0, t.OriginCapacity-t.passedOn()*load); !direct {
			origin /= max(1-t.ParentHitRatio, whole)
		}
	}
	originIn, hubIn, hubs := n.node(), make([]int, len(t.Sites)), []int{}
	room := make([]float64, len(t.Sites))
	for h, s := range t.Sites {
		if s.Hub {
			room[h] = s.Capacity * alive[h]
			hubs = append(hubs, h)
		}
	}
	type stream struct {
		branch, class int
		refusals      [crowdParts]int
	}
	var streams []stream
	ways := map[[2]int][]int{}
	far := t.TransitCost * p.meanDensity()
	crowd := p.crowdPrice * p.leastDensity()
	pinEarns := leavePrice*p.leastDensity() + far*float64(len(t.Sites)) + crowd*crowdParts // worth of a unit going where it is pinned
	type fixed struct {
		branch, hub int
		work        float64
	}
	var pinned []fixed
	for b, s := range t.Sites {
		if s.Hub {
			continue
		}
		lost := alive[b] == 0
		asked, left := 0.0, 1.0
		for c := range t.Classes {
			asked += t.fills(b, c, lost) * load
		}
		for i, pin := range p.w.Pins {
			if pin.From != s.Name || alive[t.site(pin.Lost)] != 0 || alive[t.site(pin.To)] == 0 {
				continue
			}
			h, work := t.site(pin.To), pin.Share*asked
			if work > room[h]+whole && f.over == nil {
				f.over = &overPin{i, fmt.Sprintf("%s has room for %.1f transfers while %s is lost, and the share is %.1f",
					pin.To, room[h], pin.Lost, work)}
			}
			work = min(work, room[h])
			room[h] -= work
			left -= pin.Share
			pinned = append(pinned, fixed{b, h, work})
		}
		link, out, in := n.node(), n.node(), math.Inf(1)
		if s.IngressCapacity > 0 {
			in = s.IngressCapacity
		}
		n.arc(link, out, in, 0)
		for c := range t.Classes {
			work := t.fills(b, c, lost) * load
			if work <= 0 {
				continue
			}
			k := n.node()
			n.arc(source, k, work, 0)
			x := stream{branch: b, class: c}
			for i := range x.refusals { // a little dearer the more of it is refused, so that branches share what is
				x.refusals[i] = n.arc(k, sink, work/crowdParts, p.refusalCost(c)+crowd*float64(i))
			}
			streams = append(streams, x)
			n.arc(k, link, work, 0)
		}
		others := 0.0 // what the hubs carry that may take over
		for _, h := range hubs {
			if h != s.HomeHub && !p.forbidden(h, alive) {
				others += t.Sites[h].Capacity * alive[h]
			}
		}
		if direct {
			n.arc(out, originIn, math.Inf(1), far*float64(len(hubs)))
		}
		for _, h := range hubs {
			if hubIn[h] == 0 {
				hubIn[h] = n.node()
			}
			switch {
			case h != s.HomeHub && p.forbidden(h, alive):
			case left < whole, slices.ContainsFunc(pinned, func(x fixed) bool { return x.branch == b && x.hub == h }):
				// All of it is pinned, or what goes there is.
			default:
				// What goes elsewhere is shared by what the others carry: the more of its part a hub has, the dearer the rest.
				part, parts, most := max(0, left)*asked, 1, max(0, left)*asked
				if h != s.HomeHub && others > 0 {
					part, parts = most*t.Sites[h].Capacity*alive[h]/others/(crowdParts/2), crowdParts
				}
				for i := range parts {
					if i == parts-1 {
						part = most
					}
					way := n.arc(out, hubIn[h], part, p.price(b, h, alive)+crowd*float64(i))
					ways[[2]int{b, h}] = append(ways[[2]int{b, h}], way)
				}
			}
		}
		for _, x := range pinned {
			if x.branch == b && x.work > 0 {
				// A node of its own: this much goes there, whatever is shorter.
				way := n.arc(out, originIn, x.work, -pinEarns)
				ways[[2]int{b, x.hub}] = append(ways[[2]int{b, x.hub}], way)
			}
		}
	}
	for _, h := range hubs {
		if hubIn[h] != 0 {
			n.arc(hubIn[h], originIn, room[h], 0)
		}
	}
	n.arc(originIn, sink, origin, 0)
	f.cost = n.solve()
	for b := range t.Sites {
		f.fills[b], f.served[b] = make([]float64, len(t.Sites)), make([]float64, len(t.Classes))
		for c := range t.Classes {
			if f.served[b][c] = 1; alive[b] == 0 && !t.BypassAllowed {
				f.served[b][c] = 0
			}
		}
	}
	for key, arcs := range ways {
		for _, way := range arcs {
			f.fills[key[0]][key[1]] += n.sent(way)
		}
	}
	for _, s := range streams {
		work := t.fills(s.branch, s.class, alive[s.branch] == 0) * load
		out := 0.0
		for _, arc := range s.refusals {
			out += n.sent(arc)
		}
		if out > whole*10 {
			f.refused = true
		}
		// What caches hold is served whatever becomes of the fills.
		all := t.asked(s.branch) * t.Classes[s.class].LoadShare * load
		f.served[s.branch][s.class] = 1 - min(out, work)/max(all, whole)
	}
	if t.OriginCapacity > 0 {
		// Writes come before fills; where they alone are too many, the rest of them is refused.
		if on := t.passedOn() * load; on > t.OriginCapacity+whole {
			for b := range t.Sites {
				for c, k := range t.Classes {
					if k.Uncacheable {
						f.served[b][c] = min(f.served[b][c], t.OriginCapacity/on)
					}
				}
			}
			f.refused = true
		}
	}
	for b, s := range t.Sites {
		if !s.Hub && alive[b] == 0 && !t.BypassAllowed && t.asked(b) > 0 {
			f.refused = true
		}
	}
	return f
}

// forbidden tells that a hub may take nothing over while these are lost. What is its own it goes on to serve.
func (p *Planner) forbidden(hub int, alive []float64) bool {
	return slices.ContainsFunc(p.w.Forbids, func(f Forbid) bool {
		return f.To == p.t.Sites[hub].Name && alive[p.t.site(f.Lost)] == 0
	})
}

// leastDensity is the worth of a second of sending of the class that is worth least: what only settles where fills go
// must cost less, or it would be cheaper to refuse them.
func (p *Planner) leastDensity() float64 {
	least := math.Inf(1)
	for _, c := range p.t.Classes {
		least = min(least, c.density())
	}
	return least
}

// meanDensity is the worth of a mean second of sending.
func (p *Planner) meanDensity() float64 {
	sum := 0.0
	for _, c := range p.t.Classes {
		sum += c.LoadShare * c.density()
	}
	return sum
}

// Plan is the plan for some sites lost. An unknown name is an error.
func (p *Planner) Plan(lost ...string) (*Plan, error) {
	lost = slices.Compact(slices.Sorted(slices.Values(lost)))
	for _, name := range lost {
		if p.t.site(name) < 0 {
			return nil, fmt.Errorf("lost: %q is no site of the settings", name)
		}
	}
	key := fmt.Sprint(lost)
	if known := p.known[key]; known != nil {
		return known, nil
	}
	plan := p.work(lost)
	p.known[key] = plan
	return plan, nil
}

func (p *Planner) work(lost []string) *Plan {
	t, alive := p.t, p.alive(lost)
	at := p.flow(alive, 1)
	plan := &Plan{Lost: lost, ValueServed: p.worth(at), Unmet: p.cannot(alive, at)}
	for b, s := range t.Sites {
		if s.Hub {
			continue
		}
		x := BranchPlan{Name: s.Name, ServedBy: "caches", FillShares: map[string]float64{}, ServedShares: map[string]float64{}}
		if alive[b] == 0 {
			if x.ServedBy = "nobody"; t.BypassAllowed {
				x.ServedBy = "parents"
			}
		}
		sum := 0.0
		for _, v := range at.fills[b] {
			sum += v
		}
		for h, v := range at.fills[b] {
			if v > whole {
				x.FillShares[t.Sites[h].Name] = v / sum
			}
		}
		for c, k := range t.Classes {
			x.ServedShares[k.Name] = at.served[b][c]
		}
		plan.Branches = append(plan.Branches, x)
	}
	plan.RejectionStart, plan.NeverRejects = p.starts(alive)
	plan.Rejections = p.refusals(alive)
	for _, name := range lost {
		plan.RecoveryTime = max(plan.RecoveryTime, p.comesBack(t.Sites[t.site(name)]))
	}
	return plan
}

// worth is the part of all worth that is served.
func (p *Planner) worth(f *flowing) float64 {
	got, all := 0.0, 0.0
	for b, s := range p.t.Sites {
		if s.Hub {
			continue
		}
		for c, k := range p.t.Classes {
			w := p.t.asked(b) * k.LoadShare * k.density()
			all += w
			got += w * f.served[b][c]
		}
	}
	if all == 0 {
		return 0
	}
	return got / all
}

// starts is the load at which refusing begins, to a thousandth.
func (p *Planner) starts(alive []float64) (load float64, never bool) {
	low, high := 0.0, float64(neverRefuse)
	if !p.flow(alive, high).refused {
		return 0, true
	}
	if p.flow(alive, 1e-6).refused {
		return 0, false
	}
	for high-low > 1e-3 {
		if mid := (low + high) / 2; p.flow(alive, mid).refused {
			high = mid
		} else {
			low = mid
		}
	}
	return low, false
}

// refusals tells for each class from which load on, in steps of a twentieth up to four times the usual one, how many
// branches refuse some of it.
func (p *Planner) refusals(alive []float64) (list []ClassRejection) {
	const least = 0.005 // of a class, that counts as refusing
	t := p.t
	for c, k := range t.Classes {
		for step := 0; step <= 80; step++ {
			load := float64(step) / 20
			f := p.flow(alive, max(load, 1e-6))
			var where []string
			for b, s := range t.Sites {
				if !s.Hub && t.asked(b) > 0 && f.served[b][c] < 1-least {
					where = append(where, s.Name)
				}
			}
			if len(where) > 0 {
				list = append(list, ClassRejection{k.Name, load, where})
				break
			}
		}
	}
	slices.SortStableFunc(list, func(a, b ClassRejection) int { return cmp.Compare(a.FromLoad, b.FromLoad) })
	return list
}

// comesBack is how long the usual load takes to return to a site that starts empty and cold: until the budget, as far
// as directors use it, allows it.
func (p *Planner) comesBack(s Site) time.Duration {
	t := p.t
	from, times, ramp, part := t.CacheSlowStartFraction, t.CacheOverloadMultiple, t.CacheSlowStartDuration, t.UsualLoad
	if s.Hub {
		from, times, ramp, part = t.ParentSlowStartFraction, t.ParentOverloadMultiple, t.ParentSlowStartDuration, 0
		if s.Capacity > 0 {
			part = p.flow(p.alive(nil), 1).into(t, s.Name) / s.Capacity
		}
	}
	if times <= 0 || ramp <= 0 {
		return 0
	}
	need := min(1, part/(coldUse*times)) // share of its capacity at which the budget allows all
	if need <= from {
		return 0
	}
	return time.Duration(float64(ramp) * (need - from) / max(1-from, whole))
}

// into is what a hub is sent by all branches, in transfers.
func (f *flowing) into(t *Topology, hub string) (sum float64) {
	h := t.site(hub)
	for b := range t.Sites {
		sum += f.fills[b][h]
	}
	return sum
}

// cannot says plainly what can't be met.
func (p *Planner) cannot(alive []float64, f *flowing) (list []string) {
	t := p.t
	hubs := 0
	for h, s := range t.Sites {
		if s.Hub && alive[h] > 0 && s.Capacity > 0 {
			hubs++
		}
	}
	for b, s := range t.Sites {
		switch {
		case s.Hub:
			continue
		case alive[b] == 0 && !t.BypassAllowed:
			list = append(list, s.Name+": nobody may take its clients' requests here (caches of other branches are "+
				"a fault, parents take none): all of them are refused at once")
		case s.Capacity == 0 && alive[b] > 0:
			list = append(list, s.Name+": it has no caches")
		case hubs == 0 && t.asked(b)*(1-t.CacheHitRatio) > 0:
			list = append(list, s.Name+": no hub is left, and what its caches lack comes from the origin as far as that can give it")
		}
	}
	for b, s := range t.Sites {
		if s.Hub || alive[b] == 0 {
			continue
		}
		for c, k := range t.Classes {
			if lack := 1 - f.served[b][c]; lack > 0.005 {
				list = append(list, fmt.Sprintf("%s: %.0f %% of %s at the usual load", s.Name, 100*lack, k.Name))
			}
		}
	}
	return list
}
