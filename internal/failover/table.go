package failover

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Print writes a plan as people read it.
func (p *Plan) Print(w io.Writer) {
	name := "nothing lost"
	if len(p.Lost) > 0 {
		name = "lost: " + strings.Join(p.Lost, ", ")
	}
	fmt.Fprintln(w, name)
	fmt.Fprintf(w, "  %-14s %-9s %-44s %s\n", "branch", "load by", "fills by", "served at the usual load")
	for _, b := range p.Branches {
		fmt.Fprintf(w, "  %-14s %-9s %-44s %s\n", b.Name, b.ServedBy, formatShares(b.FillShares), formatShares(b.ServedShares))
	}
	switch {
	case p.NeverRejects:
		fmt.Fprintf(w, "  refusing: not below %d times the usual load\n", maxLoadSearched)
	case p.RejectionStart == 0:
		fmt.Fprintln(w, "  refusing: at any load")
	default:
		fmt.Fprintf(w, "  refusing: from %.2f times the usual load on\n", p.RejectionStart)
	}
	for _, r := range p.Rejections {
		fmt.Fprintf(w, "    %-14s from %.2f times on, at %s\n", r.Class, r.FromLoad, strings.Join(r.Branches, ", "))
	}
	if len(p.Lost) > 0 {
		fmt.Fprintf(w, "  the return takes %v\n", p.RecoveryTime.Round(100*time.Millisecond))
	}
	for _, c := range p.Unmet {
		fmt.Fprintf(w, "  can't be met: %s\n", c)
	}
}

func formatShares(by map[string]float64) string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(by)) {
		list = append(list, fmt.Sprintf("%s %.0f%%", name, 100*by[name]))
	}
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, " ")
}

// AllPlans are the plans that operators read before the bad day: nothing lost, each site, and each pair of sites.
func (p *Planner) AllPlans() (plans []*Plan) {
	sets := [][]string{nil}
	for i, a := range p.topology.Sites {
		sets = append(sets, []string{a.Name})
		for _, b := range p.topology.Sites[i+1:] {
			sets = append(sets, []string{a.Name, b.Name})
		}
	}
	slices.SortStableFunc(sets, func(a, b []string) int { return len(a) - len(b) })
	for _, lost := range sets {
		plan, err := p.Plan(lost...)
		if err != nil {
			panic(err) // the names are the topology's own
		}
		plans = append(plans, plan)
	}
	return plans
}
