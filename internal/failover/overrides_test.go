package failover

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// Guards against an invalid override that is accepted, or reported under the wrong key of the operators' file.
func TestInvalidOverridesNameTheirKey(t *testing.T) {
	topology := testTopology([]int{4, 4}, []float64{10, 10, 2}, []int{0, 1})
	topology.CacheHitRatio = 0.5
	pins := func(list ...Pin) Overrides { return Overrides{Pins: list} }
	for _, test := range []struct {
		want      string // prefix of the error's text
		overrides Overrides
	}{
		{`plan.pin[0].share: 1.5`, pins(Pin{"hub-a", "branch-1", "hub-b", 1.5})},
		{`plan.pin[1].share: the pins`, pins(
			Pin{"hub-a", "branch-1", "hub-b", 0.6},
			Pin{"hub-a", "branch-1", "hub-c", 0.6},
		)},
		{`plan.pin[0].lost: "moon"`, pins(Pin{"moon", "branch-1", "hub-b", 0.5})},
		{`plan.pin[0].from: hub-a is a hub`, pins(Pin{"hub-a", "hub-a", "hub-b", 0.5})},
		{`plan.pin[0].from: "nowhere"`, pins(Pin{"hub-a", "nowhere", "hub-b", 0.5})},
		{`plan.pin[0].to: branch-2 is a branch`, pins(Pin{"hub-a", "branch-1", "branch-2", 0.5})},
		{`plan.pin[0].to: hub-a can't`, pins(Pin{"hub-a", "branch-1", "hub-a", 0.5})},
		{`plan.pin[0].share: hub-c has room`, pins(Pin{"hub-a", "branch-1", "hub-c", 1})},
		{`plan.pin[0].to: hub-b may not`, Overrides{
			Pins:    []Pin{{"hub-a", "branch-1", "hub-b", 0.5}},
			Forbids: []Forbid{{"hub-a", "hub-b"}},
		}},
		{`plan.pin[1].to: sites take each`, pins(
			Pin{"hub-a", "branch-1", "hub-b", 1},
			Pin{"hub-b", "branch-2", "hub-a", 1},
		)},
		{`plan.forbid[0].to: "moon"`, Overrides{Forbids: []Forbid{{"hub-a", "moon"}}}},
		{`plan.forbid[0].lost: "moon" is no si`, Overrides{Forbids: []Forbid{{"moon", "hub-b"}}}},
		{`plan.order: "moon"`, Overrides{RejectionOrder: []string{"moon"}}},
		{`plan.order: pages is named twice`, Overrides{RejectionOrder: []string{"pages", "pages"}}},
		{`plan.usual_load: NaN`, Overrides{UsualLoad: math.NaN()}},
		{`plan.shares.media: 2`, Overrides{ClassShares: map[string]float64{"media": 2}}},
		{`plan.move_per_s: -1`, Overrides{ShiftRatePerS: -1}},
	} {
		t.Run(test.want, func(t *testing.T) {
			_, err := NewPlanner(topology, test.overrides)
			var named *OverrideError
			if !errors.As(err, &named) || !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("got error %v, want an OverrideError that starts with %q", err, test.want)
			}
		})
	}
}

// Guards against plans that don't apply valid pins and forbids.
func TestPinsAndForbidsAreApplied(t *testing.T) {
	topology := testTopology([]int{4, 4}, []float64{10, 10, 2}, []int{0, 1})
	topology.CacheHitRatio = 0.5
	p := newTestPlanner(t, topology, Overrides{
		Pins:    []Pin{{"hub-a", "branch-1", "hub-c", 0.25}},
		Forbids: []Forbid{{"hub-b", "hub-a"}},
	})
	pinned := planFor(t, p, "hub-a").Branches[0].FillShares
	if math.Abs(pinned["hub-c"]-0.25) > 1e-9 {
		t.Errorf("got fill shares %v with hub-a lost, want 0.25 for hub-c, as pinned", pinned)
	}
	forbidden := planFor(t, p, "hub-b").Branches[1].FillShares
	if forbidden["hub-a"] != 0 || forbidden["hub-c"] != 1 {
		t.Errorf("got fill shares %v with hub-b lost, want 1 for hub-c, as hub-a is forbidden", forbidden)
	}
}
