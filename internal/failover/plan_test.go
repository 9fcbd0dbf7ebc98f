package failover

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testTopology is a topology of branches and hubs with one transfer asked for by each cache and class.
func testTopology(caches []int, hubs []float64, homes []int) *Topology {
	t := &Topology{UsualLoad: 1, BypassAllowed: true, TransitCost: 0.01, CacheSlowStartDuration: 10 * time.Second, CacheSlowStartFraction: 0.25, CacheOverloadMultiple: 2,
		ParentSlowStartDuration: 20 * time.Second, ParentSlowStartFraction: 0.1, ParentOverloadMultiple: 2,
		Classes: []Class{{Name: "media", LoadShare: 0.5, ServiceTime: 2 * time.Second, PriorityWeight: 2},
			{Name: "pages", LoadShare: 0.5, ServiceTime: time.Second, PriorityWeight: 3}}}
	for i, carries := range hubs {
		t.Sites = append(t.Sites, Site{Name: "hub-" + string(rune('a'+i)), Hub: true, Capacity: carries, RingPosition: i, HomeHub: -1})
	}
	for i, n := range caches {
		t.Sites = append(t.Sites, Site{Name: "branch-" + string(rune('1'+i)), Capacity: float64(2 * n), HomeHub: homes[i]})
	}
	return t
}

// bruteForceCost is the least cost over every way to send whole transfers to hubs or refuse them.
func bruteForceCost(p *Planner, alive []float64) (best float64, refuses bool) {
	t := p.topology
	type stream struct{ branch, class, units int }
	var streams []stream
	var hubs []int
	room, links := map[int]float64{}, map[int]float64{}
	for i, s := range t.Sites {
		if s.Hub {
			hubs, room[i] = append(hubs, i), s.Capacity*alive[i]
			continue
		}
		if links[i] = s.IngressCapacity; s.IngressCapacity == 0 {
			links[i] = math.Inf(1)
		}
		for c := range t.Classes {
			if work := t.fillDemand(i, c, alive[i] == 0); work > 0 {
				streams = append(streams, stream{i, c, int(work + 0.5)})
			}
		}
	}
	origin, left := math.Inf(1), 0.0
	for _, h := range hubs {
		left += room[h]
	}
	switch {
	case t.OriginCapacity > 0 && left > 0:
		origin = t.OriginCapacity / (1 - t.ParentHitRatio)
	case t.OriginCapacity > 0:
		origin = t.OriginCapacity
	}
	const straight = -1 // no hub is left: from the origin
	if left == 0 {
		hubs, room[straight] = append(hubs, straight), math.Inf(1)
	}
	best = math.Inf(1)
	var try func(at, hub, left int, cost float64, refused int)
	try = func(at, hub, left int, cost float64, refused int) {
		if cost >= best {
			return
		}
		if at == len(streams) {
			best, refuses = cost, refused > 0
			return
		}
		s := streams[at]
		if hub == len(hubs) { // the rest of it is refused
			next := 0
			if at+1 < len(streams) {
				next = streams[at+1].units
			}
			try(at+1, 0, next, cost+float64(left)*p.rejectionCost(s.class), refused+left)
			return
		}
		h := hubs[hub]
		price := 0.0
		switch home := t.Sites[s.branch].HomeHub; {
		case h == straight:
			price = t.TransitCost * p.meanValueDensity() * float64(len(hubs)-1)
		case home == h || home < 0:
		case room[home] > 0 || t.Sites[home].Capacity*alive[home] > 0: // its own hub is there
			price = 0.5*p.minValueDensity() + p.meanValueDensity()*t.TransitCost*float64(t.ringDistance(home, h))
		default:
			price = p.meanValueDensity() * t.TransitCost * float64(t.ringDistance(home, h))
		}
		for n := 0; n <= left; n++ {
			x := float64(n)
			if n > 0 && (room[h] < x || links[s.branch] < x || origin < x || (h != straight && h != t.Sites[s.branch].HomeHub && p.isForbidden(h, alive))) {
				break
			}
			room[h], links[s.branch], origin = room[h]-x, links[s.branch]-x, origin-x
			try(at, hub+1, left-n, cost+x*price, refused)
			room[h], links[s.branch], origin = room[h]+x, links[s.branch]+x, origin+x
		}
	}
	if len(streams) == 0 {
		return 0, false
	}
	try(0, 0, streams[0].units, 0, 0)
	return best, refuses
}

// Every case of up to 5 caches, 2 branches and 3 hubs, with every site lost that may be: the plan costs what the best of
// all ways costs, and refuses exactly where all ways must.
func TestPlanIsAsGoodAsTheBestOfAllWays(t *testing.T) {
	cases, refusing := 0, 0
	sizes := []float64{0, 2, 5}
	var hubs func(left int, have []float64)
	one := func(caches []int, carries []float64, homes []int, link, origin float64, lost []int) {
		w := testTopology(caches, carries, homes)
		w.OriginCapacity, w.ParentHitRatio = origin, 0.5
		for i := range w.Sites {
			if !w.Sites[i].Hub {
				w.Sites[i].IngressCapacity = link
			}
		}
		p, err := NewPlanner(w, Overrides{})
		if err != nil {
			t.Fatal(err)
		}
		p.congestionCost = 0 // it only settles ties, and whole transfers can't be shared as evenly as parts of them
		alive := p.availability(nil)
		for _, i := range lost {
			alive[i] = 0
		}
		got := p.solveFlow(alive, 1)
		want, must := bruteForceCost(p, alive)
		if math.Abs(got.cost-want) > 1e-6 {
			t.Fatalf("caches %v, hubs %v, homes %v, link %v, origin %v, lost %v: costs %v, the best of all ways %v",
				caches, carries, homes, link, origin, lost, got.cost, want)
		}
		if must != got.rejects {
			t.Fatalf("caches %v, hubs %v, link %v, origin %v, lost %v: refuses %v, must %v (cost %v)", caches, carries, link,
				origin, lost, got.rejects, must, want)
		}
		if cases++; got.rejects {
			refusing++
		}
	}
	hubs = func(left int, have []float64) {
		if len(have) > 0 {
			for n := 0; n <= 5; n++ {
				for _, caches := range [][]int{{n, 0}, {n, 5 - n}, {n, (5 - n) / 2}, {n}} {
					homes := []int{0, len(have) - 1}
					sites := len(have) + len(caches)
					for lost := -1; lost < sites; lost++ {
						var gone []int
						if lost >= 0 {
							gone = []int{lost}
						}
						one(caches, have, homes, 0, 0, gone)
						one(caches, have, homes, 3, 2, gone)
						if lost >= 0 && lost+1 < sites {
							one(caches, have, homes, 0, 0, []int{lost, lost + 1})
						}
					}
				}
			}
		}
		if left > 0 {
			for _, s := range sizes {
				hubs(left-1, append(have[:len(have):len(have)], s))
			}
		}
	}
	hubs(3, nil)
	if cases < 10_000 || refusing < cases/10 || refusing > cases*9/10 {
		t.Errorf("%d cases, of which %d refuse: they show little", cases, refusing)
	}
}

// Whatever is lost: shares add up, nobody takes more than it carries, no way leads to a lost hub, and more load never
// serves a larger part of it.
func TestPlanKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "hubs")
		var hubs []float64
		for range n {
			hubs = append(hubs, rapid.Float64Range(0, 40).Draw(t, "carries"))
		}
		var caches, homes []int
		for range rapid.IntRange(1, 4).Draw(t, "branches") {
			caches = append(caches, rapid.IntRange(0, 12).Draw(t, "caches"))
			homes = append(homes, rapid.IntRange(0, n-1).Draw(t, "home"))
		}
		w := testTopology(caches, hubs, homes)
		w.UsualLoad = rapid.Float64Range(0.1, 2).Draw(t, "load")
		w.CacheHitRatio = rapid.Float64Range(0, 1).Draw(t, "hits")
		w.ParentHitRatio = rapid.Float64Range(0, 0.99).Draw(t, "parent hits")
		w.OriginCapacity = rapid.Float64Range(0, 20).Draw(t, "origin")
		w.BypassAllowed = rapid.Bool().Draw(t, "bypass")
		p, err := NewPlanner(w, Overrides{})
		if err != nil {
			t.Fatal(err)
		}
		var lost []string
		for _, s := range w.Sites {
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				lost = append(lost, s.Name)
			}
		}
		alive := p.availability(lost)
		f := p.solveFlow(alive, 1)
		for h, s := range w.Sites {
			if s.Hub && f.intoHub(h) > s.Capacity*alive[h]+1e-6 {
				t.Errorf("%s gets %v of %v (alive %v)", s.Name, f.intoHub(h), s.Capacity, alive[h])
			}
		}
		plan, err := p.Plan(lost...)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range plan.Branches {
			sum := 0.0
			for _, v := range b.FillShares {
				sum += v
			}
			if len(b.FillShares) > 0 && math.Abs(sum-1) > 1e-6 {
				t.Errorf("%s: the shares %v make %v", b.Name, b.FillShares, sum)
			}
			for c, v := range b.ServedShares {
				if !(v >= -1e-9 && v <= 1+1e-9) {
					t.Errorf("%s: %v of %s is served", b.Name, v, c)
				}
			}
		}
		before := 1.0 + 1e-6
		for _, load := range []float64{0.5, 1, 2, 4} {
			now := p.valueServed(p.solveFlow(alive, load))
			if now > before+1e-6 {
				t.Errorf("at %v times the load %v of it is served, at less %v", load, now, before)
			}
			before = now
		}
		// The same again, in whatever order the names come.
		twin, _ := NewPlanner(w, Overrides{})
		for i, j := 0, len(lost)-1; i < j; i, j = i+1, j-1 {
			lost[i], lost[j] = lost[j], lost[i]
		}
		again, _ := twin.Plan(lost...)
		if again.ValueServed != plan.ValueServed || again.RejectionStart != plan.RejectionStart {
			t.Errorf("two planners differ: %v, %v", plan, again)
		}
	})
}

// Hubs that are as near as each other share what a lost one leaves, and none is filled while another is idle.
func TestNeighboursShareALostHub(t *testing.T) {
	w := testTopology([]int{4, 0, 0}, []float64{8, 8, 8}, []int{0, 1, 2})
	p, err := NewPlanner(w, Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	plan, _ := p.Plan("hub-a")
	if f := plan.Branches[0].FillShares; math.Abs(f["hub-b"]-0.5) > 0.11 || math.Abs(f["hub-c"]-0.5) > 0.11 || f["hub-a"] != 0 {
		t.Errorf("%v", f)
	}
}

func TestWhatIsRefusedFirst(t *testing.T) {
	w := testTopology([]int{10, 10}, []float64{20, 10}, []int{0, 1})
	w.CacheHitRatio = 0
	w.Classes = append(w.Classes, Class{Name: "repayment", LoadShare: 0.2, ServiceTime: 10 * time.Second, PriorityWeight: 1, NonIdempotent: true})
	w.Classes[0].LoadShare, w.Classes[1].LoadShare = 0.4, 0.4
	order := func(wishes Overrides) string {
		p, err := NewPlanner(w, wishes)
		if err != nil {
			t.Fatal(err)
		}
		plan, err := p.Plan("hub-a")
		if err != nil {
			t.Fatal(err)
		}
		var names []string
		for _, r := range plan.Rejections {
			names = append(names, r.Class)
		}
		if plan.NeverRejects || plan.RejectionStart <= 0 || plan.RejectionStart >= 1 {
			t.Errorf("refusing starts at %v", plan.RejectionStart)
		}
		return strings.Join(names, " ")
	}
	if got := order(Overrides{}); got != "media pages repayment" {
		t.Errorf("by worth: %s", got)
	}
	if got := order(Overrides{RejectionOrder: []string{"pages", "media"}}); got != "pages media repayment" {
		t.Errorf("as the operators wish: %s", got)
	}
}

// Where no one may take a branch's clients, the plan says so.
func TestWhatCantBeMetIsSaid(t *testing.T) {
	w := testTopology([]int{3, 3}, []float64{4, 4}, []int{0, 1})
	w.BypassAllowed, w.CacheHitRatio = false, 0.5
	p, err := NewPlanner(w, Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	plan, _ := p.Plan("branch-1")
	if len(plan.Unmet) != 1 || !strings.Contains(plan.Unmet[0], "branch-1: nobody may take") || plan.RejectionStart != 0 ||
		plan.Branches[0].ServedBy != "nobody" || plan.Branches[0].ServedShares["media"] != 0 || plan.Branches[1].ServedShares["media"] != 1 {
		t.Errorf("%+v", plan)
	}
	plan, _ = p.Plan("hub-a", "hub-b")
	if len(plan.Unmet) < 2 || !strings.Contains(plan.Unmet[0], "no hub is left") {
		t.Errorf("%+v", plan)
	}
	if _, err := p.Plan("moon"); err == nil {
		t.Error("an unknown site can't be lost")
	}
	// Cold: a quarter of its capacity at first, of which half the budget of twice that is used; all of it at 0.6 / 1.
	w.UsualLoad = 0.6
	p, _ = NewPlanner(w, Overrides{})
	if plan, _ := p.Plan("branch-1"); math.Abs(plan.RecoveryTime.Seconds()-10*(0.6-0.25)/0.75) > 1e-6 {
		t.Errorf("comes back within %v", plan.RecoveryTime)
	}
}

func TestWishesThatCantHoldAreNamed(t *testing.T) {
	w := testTopology([]int{4, 4}, []float64{10, 10, 2}, []int{0, 1})
	w.CacheHitRatio = 0.5
	for key, wish := range map[string]Overrides{
		"plan.pin[0].share: 1.5":                 {Pins: []Pin{{"hub-a", "branch-1", "hub-b", 1.5}}},
		"plan.pin[1].share: the pins":            {Pins: []Pin{{"hub-a", "branch-1", "hub-b", 0.6}, {"hub-a", "branch-1", "hub-c", 0.6}}},
		"plan.pin[0].lost: \"moon\"":             {Pins: []Pin{{"moon", "branch-1", "hub-b", 0.5}}},
		"plan.pin[0].from: hub-a is a hub":       {Pins: []Pin{{"hub-a", "hub-a", "hub-b", 0.5}}},
		"plan.pin[0].to: branch-2 is a branch":   {Pins: []Pin{{"hub-a", "branch-1", "branch-2", 0.5}}},
		"plan.pin[0].to: hub-a can't":            {Pins: []Pin{{"hub-a", "branch-1", "hub-a", 0.5}}},
		"plan.pin[0].share: hub-c has room":      {Pins: []Pin{{"hub-a", "branch-1", "hub-c", 1}}},
		"plan.pin[0].to: hub-b may not":          {Pins: []Pin{{"hub-a", "branch-1", "hub-b", 0.5}}, Forbids: []Forbid{{"hub-a", "hub-b"}}},
		"plan.pin[1].to: sites take each":        {Pins: []Pin{{"hub-a", "branch-1", "hub-b", 1}, {"hub-b", "branch-2", "hub-a", 1}}},
		"plan.forbid[0].to: \"moon\"":            {Forbids: []Forbid{{"hub-a", "moon"}}},
		"plan.order: \"moon\"":                   {RejectionOrder: []string{"moon"}},
		"plan.order: pages is named twice":       {RejectionOrder: []string{"pages", "pages"}},
		"plan.usual_load: NaN":                   {UsualLoad: math.NaN()},
		"plan.shares.media: 2":                   {ClassShares: map[string]float64{"media": 2}},
		"plan.move_per_s: -1":                    {ShiftRatePerS: -1},
		"plan.pin[0].from: \"nowhere\"":          {Pins: []Pin{{"hub-a", "nowhere", "hub-b", 0.5}}},
		"plan.forbid[0].lost: \"moon\" is no si": {Forbids: []Forbid{{"moon", "hub-b"}}},
	} {
		_, err := NewPlanner(w, wish)
		var named *OverrideError
		if !errors.As(err, &named) || !strings.HasPrefix(err.Error(), key) {
			t.Errorf("want %q, got %v", key, err)
		}
	}
	// And those that can are kept.
	p, err := NewPlanner(w, Overrides{Pins: []Pin{{"hub-a", "branch-1", "hub-c", 0.25}}, Forbids: []Forbid{{"hub-b", "hub-a"}}})
	if err != nil {
		t.Fatal(err)
	}
	if plan, _ := p.Plan("hub-a"); math.Abs(plan.Branches[0].FillShares["hub-c"]-0.25) > 1e-9 {
		t.Errorf("a quarter is pinned to hub-c: %v", plan.Branches[0].FillShares)
	}
	if plan, _ := p.Plan("hub-b"); plan.Branches[1].FillShares["hub-a"] != 0 || plan.Branches[1].FillShares["hub-c"] != 1 {
		t.Errorf("hub-a is forbidden: %v", plan.Branches[1].FillShares)
	}
}
