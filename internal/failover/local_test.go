package failover

import (
	"math"
	"strings"
	"testing"

	"shaleyard/routing"
)

// testSettings are those of a director of branch edge-1, with three hubs.
func testSettings() *routing.Settings {
	return &routing.Settings{
		Zones: []string{"west", "middle", "east", "edge-1", "edge-2"},
		Zone:  3,
		Classes: []routing.Class{
			{Name: "media", PriorityWeight: 2, Idempotency: "read_like"},
			{Name: "pages", PriorityWeight: 1, Idempotency: "read_like"},
			{Name: "pay", PriorityWeight: 3, Idempotency: "non_idempotent"},
		},
		Tiers: routing.TierSettings{
			OriginKind:      2,
			ParentKind:      1,
			DirectorsByZone: []int{0, 0, 0, 4, 4},
			HubByZone:       []int{0, 1, 2, 0, 1},
			Uncacheable:     []bool{false, false, true},
		},
	}
}

func newTestLocalPlanner(t *testing.T, overrides Overrides, reportError func(error)) *LocalPlanner {
	t.Helper()
	l, err := NewLocalPlanner(testSettings(), overrides, reportError)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestSharesAreThePlanForOurBranch(t *testing.T) {
	l := newTestLocalPlanner(t, Overrides{}, nil)
	capacities := []float64{10, 10, 10, 40, 40}
	got := l.Shares([]int{0}, capacities)
	hubs := got.HubShares
	if hubs[0] != 0 || hubs[3] != 0 || math.Abs(hubs[2]-0.5) > 0.01 || math.Abs(hubs[1]+hubs[2]-1) > 1e-9 {
		t.Errorf("hubs of the same capacity share what the western one leaves by %v", hubs)
	}
	// The middle hub has edge-2 to serve, and now little room beside that: the eastern one takes most.
	hubs = l.Shares([]int{0}, []float64{10, 6, 6, 40, 40}).HubShares
	if hubs[2] < 0.7 || math.Abs(hubs[1]+hubs[2]-1) > 1e-9 {
		t.Errorf("shares %v", hubs)
	}
	if got.FillShares != nil {
		t.Errorf("fills are limited to %v, though nobody asked for that", got.FillShares)
	}
	if hubs := l.Shares([]int{0, 2}, capacities).HubShares; hubs[1] != 1 {
		t.Errorf("only the middle is left: %v", hubs)
	}
	if hubs := l.Shares([]int{0, 1, 2}, capacities).HubShares; hubs[0]+hubs[1]+hubs[2] != 0 {
		t.Errorf("no hub is left: %v", hubs)
	}
}

func TestFillLimitsRejectTheLeastValue(t *testing.T) {
	l := newTestLocalPlanner(t, Overrides{LimitFills: true}, nil)
	fills := l.Shares(
		[]int{0, 2},
		[]float64{10, 10, 10, 60, 60},
	).FillShares // 10 for 14.4 that both branches' caches lack
	if len(fills) != 3 || fills[0] != 1 || fills[1] > 0.7 || fills[1] <= 0 || fills[2] != 1 {
		t.Errorf("fills %v: pages go first, media not yet, repayments last", fills)
	}
	if fills := l.Shares([]int{0}, []float64{10, 10, 10, 10, 10}).FillShares; fills[0] != 1 || fills[1] != 1 {
		t.Errorf("there is room for all: %v", fills)
	}
}

// What can be known at the start is an error then. What depends on the fleet is reported once for each state of it, and
// the director goes on without shares.
func TestPlanThatCantBeMadeIsReported(t *testing.T) {
	_, err := NewLocalPlanner(testSettings(), Overrides{Forbids: []Forbid{{"moon", "east"}}}, nil)
	if err == nil || !strings.HasPrefix(err.Error(), "plan.forbid[0].lost") {
		t.Errorf("error %v", err)
	}
	reports := 0
	l := newTestLocalPlanner(t, Overrides{Pins: []Pin{{"west", "edge-1", "east", 1}}}, func(error) { reports++ })
	small, large := []float64{10, 10, 1, 100, 100}, []float64{10, 10, 30, 100, 100}
	for range 3 {
		if got := l.Shares([]int{0}, small); got.HubShares != nil {
			t.Errorf("shares %v by a pin that can't hold", got)
		}
	}
	if reports != 1 {
		t.Errorf("reported %d times", reports)
	}
	if got := l.Shares([]int{0}, large); len(got.HubShares) != 5 || got.HubShares[2] != 1 || reports != 1 {
		t.Errorf("it can hold now: %v", got)
	}
}
