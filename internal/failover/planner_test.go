package failover

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testTopology returns a topology with a hub for each capacity in hubs and a branch for each number of caches in
// caches. homeHubs holds the index of each branch's own hub. At the usual load each cache gets a demand of one transfer
// per class.
func testTopology(caches []int, hubs []float64, homeHubs []int) *Topology {
	topology := &Topology{
		BypassAllowed: true,
		UsualLoad:     1,
		TransitCost:   0.01,

		CacheSlowStartDuration:  10 * time.Second,
		CacheSlowStartFraction:  0.25,
		CacheOverloadMultiple:   2,
		ParentSlowStartDuration: 20 * time.Second,
		ParentSlowStartFraction: 0.1,
		ParentOverloadMultiple:  2,

		Classes: []Class{
			{Name: "media", LoadShare: 0.5, ServiceTime: 2 * time.Second, PriorityWeight: 2},
			{Name: "pages", LoadShare: 0.5, ServiceTime: time.Second, PriorityWeight: 3},
		},
	}
	for i, capacity := range hubs {
		name := "hub-" + string(rune('a'+i))
		topology.Sites = append(
			topology.Sites,
			Site{Name: name, Hub: true, Capacity: capacity, RingPosition: i, HomeHub: -1},
		)
	}
	for i, count := range caches {
		name := "branch-" + string(rune('1'+i))
		topology.Sites = append(topology.Sites, Site{Name: name, Capacity: float64(2 * count), HomeHub: homeHubs[i]})
	}
	return topology
}

// newTestPlanner returns a planner, or fails the test.
func newTestPlanner(t testing.TB, topology *Topology, overrides Overrides) *Planner {
	t.Helper()
	p, err := NewPlanner(topology, overrides)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// planFor returns the plan for the lost sites, or fails the test.
func planFor(t testing.TB, p *Planner, lost ...string) *Plan {
	t.Helper()
	plan, err := p.Plan(lost...)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

// lossCase describes a topology and the sites that are lost.
type lossCase struct {
	caches          []int     // by branch: number of caches
	hubs            []float64 // capacities
	homeHubs        []int     // by branch: index of its own hub
	ingress, origin float64   // capacities; 0: unlimited
	lost            []int     // indices of sites
}

// check compares the solved flow of the case with the best assignment found by brute force, and reports whether the
// flow rejects any work.
func (c lossCase) check(t *testing.T) (rejects bool) {
	t.Helper()
	topology := testTopology(c.caches, c.hubs, c.homeHubs)
	topology.OriginCapacity, topology.ParentHitRatio = c.origin, 0.5
	for i := range topology.Sites {
		if !topology.Sites[i].Hub {
			topology.Sites[i].IngressCapacity = c.ingress
		}
	}
	p := newTestPlanner(t, topology, Overrides{})
	p.congestionCost = 0 // it only breaks ties, and brute force can't split whole transfers evenly
	available := p.availability(nil)
	for _, i := range c.lost {
		available[i] = 0
	}
	got := p.solveFlow(available, 1)
	wantCost, mustReject := bruteForceCost(p, available)
	if math.Abs(got.cost-wantCost) > 1e-6 {
		t.Fatalf("%+v: got cost %v, want %v, the least of all assignments", c, got.cost, wantCost)
	}
	if mustReject != got.rejects {
		t.Fatalf("%+v: got rejects %v, want %v (cost %v)", c, got.rejects, mustReject, wantCost)
	}
	return got.rejects
}

// lossCases returns cases with the given hubs: up to 5 caches in 1 or 2 branches, with no site, each single site, or
// two consecutive sites lost. Cases with at most one lost site also occur with limited ingress and origin capacities.
func lossCases(hubs []float64) []lossCase {
	var cases []lossCase
	for count := 0; count <= 5; count++ {
		for _, caches := range [][]int{{count, 0}, {count, 5 - count}, {count, (5 - count) / 2}, {count}} {
			homeHubs := []int{0, len(hubs) - 1}
			sites := len(hubs) + len(caches)
			for lost := -1; lost < sites; lost++ {
				var lostSites []int
				if lost >= 0 {
					lostSites = []int{lost}
				}
				cases = append(cases, lossCase{caches: caches, hubs: hubs, homeHubs: homeHubs, lost: lostSites},
					lossCase{caches: caches, hubs: hubs, homeHubs: homeHubs, ingress: 3, origin: 2, lost: lostSites})
				if lost >= 0 && lost+1 < sites {
					cases = append(
						cases,
						lossCase{caches: caches, hubs: hubs, homeHubs: homeHubs, lost: []int{lost, lost + 1}},
					)
				}
			}
		}
	}
	return cases
}

// Guards against flows that reject work or take long routes without need. The cases have up to 5 caches in 2 branches
// and up to 3 hubs, so that brute force can try all assignments: the solved flow must have the least cost, and reject
// work exactly if the cheapest assignment does.
func TestPlanMatchesBruteForce(t *testing.T) {
	cases, rejecting := 0, 0
	var addHubs func(left int, hubs []float64)
	addHubs = func(left int, hubs []float64) {
		if len(hubs) > 0 {
			for _, c := range lossCases(hubs) {
				cases++
				if c.check(t) {
					rejecting++
				}
			}
		}
		if left == 0 {
			return
		}
		for _, capacity := range []float64{0, 2, 5} {
			addHubs(left-1, append(slices.Clone(hubs), capacity))
		}
	}
	addHubs(3, nil)
	if cases < 10_000 || rejecting < cases/10 || rejecting > cases*9/10 {
		t.Errorf("got %d cases of which %d reject, want 10000 or more of which 10%% to 90%% reject", cases, rejecting)
	}
}

// Guards against infeasible plans of random topologies with random lost sites. Fill shares must sum to 1, no hub may
// get more than its available capacity (none if it is lost), the served fraction must not rise with the load, and the
// order of the lost sites' names must not matter.
func TestRandomPlansAreFeasible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		topology := drawTopology(t)
		p, err := NewPlanner(topology, Overrides{})
		if err != nil {
			t.Fatal(err)
		}
		var lost []string
		for _, site := range topology.Sites {
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				lost = append(lost, site.Name)
			}
		}
		available := p.availability(lost)
		result := p.solveFlow(available, 1)
		for i, site := range topology.Sites {
			if site.Hub && result.hubInflow(i) > site.Capacity*available[i]+1e-6 {
				t.Errorf("%s: inflow %v, want at most %v", site.Name, result.hubInflow(i), site.Capacity*available[i])
			}
		}
		plan, err := p.Plan(lost...)
		if err != nil {
			t.Fatal(err)
		}
		for _, branch := range plan.Branches {
			checkShares(t, branch)
		}
		previous := 1.0 + 1e-6
		for _, load := range []float64{0.5, 1, 2, 4} {
			served := p.valueServed(p.solveFlow(available, load))
			if served > previous+1e-6 {
				t.Errorf("got %v of the value served at load %v, want at most %v (lower load)", served, load, previous)
			}
			previous = served
		}
		// Another planner must compute the same values for the names in reverse order.
		other, _ := NewPlanner(topology, Overrides{})
		slices.Reverse(lost)
		otherPlan, _ := other.Plan(lost...)
		if otherPlan.ValueServed != plan.ValueServed || otherPlan.RejectionStart != plan.RejectionStart {
			t.Errorf("got plan %v for the names in reverse order, want %v", otherPlan, plan)
		}
	})
}

// drawTopology returns a random topology of up to 4 hubs and 4 branches.
func drawTopology(t *rapid.T) *Topology {
	hubs := rapid.SliceOfN(rapid.Float64Range(0, 40), 1, 4).Draw(t, "hubs")
	caches := rapid.SliceOfN(rapid.IntRange(0, 12), 1, 4).Draw(t, "caches")
	homeHubs := rapid.SliceOfN(rapid.IntRange(0, len(hubs)-1), len(caches), len(caches)).Draw(t, "homes")
	topology := testTopology(caches, hubs, homeHubs)
	topology.UsualLoad = rapid.Float64Range(0.1, 2).Draw(t, "load")
	topology.CacheHitRatio = rapid.Float64Range(0, 1).Draw(t, "hits")
	topology.ParentHitRatio = rapid.Float64Range(0, 0.99).Draw(t, "parent hits")
	topology.OriginCapacity = rapid.Float64Range(0, 20).Draw(t, "origin")
	topology.BypassAllowed = rapid.Bool().Draw(t, "bypass")
	return topology
}

// checkShares fails the test unless the branch's served shares are within 0 and 1 and its fill shares, if any, sum to
// 1.
func checkShares(t *rapid.T, branch BranchPlan) {
	sum := 0.0
	for _, share := range branch.FillShares {
		sum += share
	}
	if len(branch.FillShares) > 0 && math.Abs(sum-1) > 1e-6 {
		t.Errorf("%s: got fill shares %v with sum %v, want 1", branch.Name, branch.FillShares, sum)
	}
	for class, share := range branch.ServedShares {
		if !(share >= -1e-9 && share <= 1+1e-9) {
			t.Errorf("%s: got served share %v of %s, want 0 to 1", branch.Name, share, class)
		}
	}
}

// Guards against one hub taking over all fills of a lost hub while another one, at the same ring distance, is idle.
func TestEquidistantHubsShareFillsOfLostHub(t *testing.T) {
	p := newTestPlanner(t, testTopology([]int{4, 0, 0}, []float64{8, 8, 8}, []int{0, 1, 2}), Overrides{})
	shares := planFor(t, p, "hub-a").Branches[0].FillShares
	if math.Abs(shares["hub-b"]-0.5) > 0.11 || math.Abs(shares["hub-c"]-0.5) > 0.11 || shares["hub-a"] != 0 {
		t.Errorf("got fill shares %v with hub-a lost, want about 0.5 each for hub-b and hub-c", shares)
	}
}

// Guards against rejections that begin with the wrong class: the order is that of value density or of the operators,
// and non-idempotent requests are last in both.
func TestOrderOfRejections(t *testing.T) {
	topology := testTopology([]int{10, 10}, []float64{20, 10}, []int{0, 1})
	topology.CacheHitRatio = 0
	topology.Classes = append(topology.Classes,
		Class{Name: "repayment", LoadShare: 0.2, ServiceTime: 10 * time.Second, PriorityWeight: 1, NonIdempotent: true})
	topology.Classes[0].LoadShare, topology.Classes[1].LoadShare = 0.4, 0.4
	for _, test := range []struct {
		name      string
		overrides Overrides
		want      []string
	}{
		{"by value", Overrides{}, []string{"media", "pages", "repayment"}},
		{
			"by operators' order", Overrides{RejectionOrder: []string{"pages", "media"}},
			[]string{"pages", "media", "repayment"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			plan := planFor(t, newTestPlanner(t, topology, test.overrides), "hub-a")
			got := make([]string, 0, len(plan.Rejections))
			for _, rejection := range plan.Rejections {
				got = append(got, rejection.Class)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
			if plan.NeverRejects || plan.RejectionStart <= 0 || plan.RejectionStart >= 1 {
				t.Errorf("got rejection start %v (never: %v), want in (0, 1)", plan.RejectionStart, plan.NeverRejects)
			}
		})
	}
}

// Guards against plans that don't list unmet demands: clients of a lost branch that no other server may answer, and
// fills without any hub. An unknown site must be an error.
func TestUnmetDemandsAreNamed(t *testing.T) {
	topology := testTopology([]int{3, 3}, []float64{4, 4}, []int{0, 1})
	topology.BypassAllowed, topology.CacheHitRatio = false, 0.5
	p := newTestPlanner(t, topology, Overrides{})
	plan := planFor(t, p, "branch-1")
	if len(plan.Unmet) != 1 || !strings.Contains(plan.Unmet[0], "branch-1: nobody may take") ||
		plan.RejectionStart != 0 {
		t.Errorf("got plan %+v, want one unmet demand, of branch-1, and rejections from load 0", plan)
	}
	lost, other := plan.Branches[0], plan.Branches[1]
	if lost.ServedBy != servedByNobody || lost.ServedShares["media"] != 0 || other.ServedShares["media"] != 1 {
		t.Errorf("got plan %+v, want branch-1 served by nobody and branch-2 fully served", plan)
	}
	plan = planFor(t, p, "hub-a", "hub-b")
	if len(plan.Unmet) < 2 || !strings.Contains(plan.Unmet[0], "no hub is left") {
		t.Errorf("got plan %+v, want at least 2 unmet demands, of which the first names the lack of hubs", plan)
	}
	if _, err := p.Plan("moon"); err == nil {
		t.Error("got no error for an unknown site, want one")
	}
}

// Guards against a recovery time that ignores the slow-start budget. Caches start at 0.25 of their capacity and reach
// all of it after 10 s. The budget is twice the present capacity, and half of it is used, so a load of 0.6 of the
// capacity is back when 0.6 of the capacity is available.
func TestRecoveryTimeFollowsSlowStart(t *testing.T) {
	topology := testTopology([]int{3, 3}, []float64{4, 4}, []int{0, 1})
	topology.BypassAllowed, topology.CacheHitRatio, topology.UsualLoad = false, 0.5, 0.6
	plan := planFor(t, newTestPlanner(t, topology, Overrides{}), "branch-1")
	if math.Abs(plan.RecoveryTime.Seconds()-10*(0.6-0.25)/0.75) > 1e-6 {
		t.Errorf("got recovery time %v, want 4.667s", plan.RecoveryTime)
	}
}
