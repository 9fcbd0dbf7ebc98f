package failover

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Values of BranchPlan.ServedBy: the servers that answer the clients of a branch.
const (
	servedByCaches  = "caches"
	servedByParents = "parents"
	servedByNobody  = "nobody"
)

// Plan holds the routing decisions for one set of lost sites: where load and fills go, and what is rejected.
type Plan struct {
	Lost       []string         `json:"lost"` // names of the lost sites, sorted
	Branches   []BranchPlan     `json:"branches"`
	Rejections []ClassRejection `json:"refused"` // ordered by FromLoad, lowest first
	// RejectionStart is the load, as a multiple of the usual load, above which some requests are rejected. It is 0 if
	// some requests are rejected at any load, and also if NeverRejects is set.
	RejectionStart float64 `json:"refusing_starts_at_load"`
	// NeverRejects is set if nothing is rejected even at maxLoadSearched times the usual load.
	NeverRejects bool `json:"refusing_never_starts"`
	// RecoveryTime is the time from the restart of the lost sites, with empty caches, until slow start lets all of them
	// take their usual load again, even the slowest.
	RecoveryTime time.Duration `json:"return_ns"`
	Unmet        []string      `json:"cannot"`       // one sentence for each demand that can't be met
	ValueServed  float64       `json:"worth_served"` // fraction of the requested value that is served at the usual load
}

// BranchPlan holds, for one branch, who answers its clients and which hubs its fills go to.
type BranchPlan struct {
	Name         string             `json:"name"`
	ServedBy     string             `json:"load"`   // one of the servedBy constants
	FillShares   map[string]float64 `json:"fills"`  // by hub name: fraction of the branch's served fills
	ServedShares map[string]float64 `json:"served"` // by class name: fraction served at the usual load
}

// ClassRejection holds the lowest load at which requests of a class are rejected, and the branches that reject them at
// that load.
type ClassRejection struct {
	Class    string   `json:"class"`
	FromLoad float64  `json:"from_load"` // multiple of the usual load; 0: rejected at any load
	Branches []string `json:"branches"`
}

// buildPlan computes the plan for the given lost sites, whose names must be names of sites of the topology.
func (p *Planner) buildPlan(lost []string) *Plan {
	topology, available := p.topology, p.availability(lost)
	usualFlow := p.solveFlow(available, 1)
	plan := &Plan{Lost: lost, ValueServed: p.valueServed(usualFlow), Unmet: p.unmetDemands(available, usualFlow)}
	for branch, site := range topology.Sites {
		if !site.Hub {
			plan.Branches = append(plan.Branches, p.branchPlan(branch, available, usualFlow))
		}
	}
	plan.RejectionStart, plan.NeverRejects = p.rejectionStart(available)
	plan.Rejections = p.classRejections(available)
	for _, name := range lost {
		plan.RecoveryTime = max(plan.RecoveryTime, p.recoveryTime(topology.Sites[topology.siteIndex(name)]))
	}
	return plan
}

// branchPlan returns the plan of one branch. usualFlow is the solved flow at the usual load.
func (p *Planner) branchPlan(branch int, available []float64, usualFlow *flowResult) BranchPlan {
	topology := p.topology
	plan := BranchPlan{
		Name:         topology.Sites[branch].Name,
		ServedBy:     servedByCaches,
		FillShares:   map[string]float64{},
		ServedShares: map[string]float64{},
	}
	switch {
	case available[branch] == 0 && topology.BypassAllowed:
		plan.ServedBy = servedByParents
	case available[branch] == 0:
		plan.ServedBy = servedByNobody
	}
	sum := 0.0
	for _, flow := range usualFlow.fillFlow[branch] {
		sum += flow
	}
	for hub, flow := range usualFlow.fillFlow[branch] {
		if flow > epsilon {
			plan.FillShares[topology.Sites[hub].Name] = flow / sum
		}
	}
	for class, c := range topology.Classes {
		plan.ServedShares[c.Name] = usualFlow.servedShare[branch][class]
	}
	return plan
}

// unmetDemands returns a sentence for each demand that can't be met. Branches come first, each with the first of these
// causes that applies:
//
//   - The branch is lost and BypassAllowed is false. Neither parents nor the origin may answer its clients then, and
//     caches of other branches never may, so all requests of its clients are rejected.
//   - The branch has no caches.
//   - The branch needs fills, and no hub that is available has capacity to serve them.
//
// The classes of which a branch rejects a part at the usual load follow.
func (p *Planner) unmetDemands(available []float64, usualFlow *flowResult) []string {
	var list []string
	topology, usableHubs := p.topology, p.usableHubCount(available)
	for branch, site := range topology.Sites {
		switch {
		case site.Hub:
		case available[branch] == 0 && !topology.BypassAllowed:
			list = append(list, site.Name+": nobody may take its clients' requests here (caches of other branches are "+
				"a fault, parents take none): all of them are refused at once")
		case site.Capacity == 0 && available[branch] > 0:
			list = append(list, site.Name+": it has no caches")
		case usableHubs == 0 && topology.demand(branch)*(1-topology.CacheHitRatio) > 0:
			list = append(list, site.Name+
				": no hub is left, and what its caches lack comes from the origin as far as that can give it")
		}
	}
	for branch, site := range topology.Sites {
		if site.Hub || available[branch] == 0 {
			continue
		}
		for class, c := range topology.Classes {
			if rejected := 1 - usualFlow.servedShare[branch][class]; rejected > rejectedShareThreshold {
				list = append(list, fmt.Sprintf("%s: %.0f %% of %s at the usual load", site.Name, 100*rejected, c.Name))
			}
		}
	}
	return list
}

// usableHubCount returns the number of hubs that are not lost and have capacity.
func (p *Planner) usableHubCount(available []float64) int {
	count := 0
	for i, site := range p.topology.Sites {
		if site.Hub && available[i] > 0 && site.Capacity > 0 {
			count++
		}
	}
	return count
}

// Print writes the plan as a table to w, which is a command's standard output. It ignores write errors.
func (p *Plan) Print(w io.Writer) {
	_, _ = io.WriteString(w, p.table())
}

// table returns the text that Print writes.
func (p *Plan) table() string {
	var text strings.Builder
	title := "nothing lost"
	if len(p.Lost) > 0 {
		title = "lost: " + strings.Join(p.Lost, ", ")
	}
	fmt.Fprintln(&text, title)
	const row = "  %-14s %-9s %-44s %s\n"
	fmt.Fprintf(&text, row, "branch", "load by", "fills by", "served at the usual load")
	for _, branch := range p.Branches {
		fmt.Fprintf(
			&text,
			row,
			branch.Name,
			branch.ServedBy,
			formatShares(branch.FillShares),
			formatShares(branch.ServedShares),
		)
	}
	switch {
	case p.NeverRejects:
		fmt.Fprintf(&text, "  refusing: not below %d times the usual load\n", maxLoadSearched)
	case p.RejectionStart == 0:
		fmt.Fprintln(&text, "  refusing: at any load")
	default:
		fmt.Fprintf(&text, "  refusing: from %.2f times the usual load on\n", p.RejectionStart)
	}
	for _, r := range p.Rejections {
		fmt.Fprintf(&text, "    %-14s from %.2f times on, at %s\n", r.Class, r.FromLoad, strings.Join(r.Branches, ", "))
	}
	if len(p.Lost) > 0 {
		fmt.Fprintf(&text, "  the return takes %v\n", p.RecoveryTime.Round(100*time.Millisecond))
	}
	for _, demand := range p.Unmet {
		fmt.Fprintf(&text, "  can't be met: %s\n", demand)
	}
	return text.String()
}

// formatShares returns the shares as percentages, sorted by name, or "-" if there are none.
func formatShares(shares map[string]float64) string {
	list := make([]string, 0, len(shares))
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		list = append(list, fmt.Sprintf("%s %.0f%%", name, 100*shares[name]))
	}
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, " ")
}
