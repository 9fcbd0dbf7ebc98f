package failover

import (
	"math"
	"strings"
	"testing"

	"shaleyard/routing"
)

// testSettings returns the settings of a director of branch edge-1 at a site with three hubs.
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

// newTestLocalPlanner returns a LocalPlanner for testSettings, or fails the test.
func newTestLocalPlanner(t *testing.T, overrides Overrides, reportError func(error)) *LocalPlanner {
	t.Helper()
	l, err := NewLocalPlanner(testSettings(), overrides, reportError)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against shares that ignore the capacities or the loss of hubs, or limit fills without LimitFills.
func TestSharesFollowPlanOfOwnBranch(t *testing.T) {
	l := newTestLocalPlanner(t, Overrides{}, nil)
	capacities := []float64{10, 10, 10, 40, 40}
	got := l.Shares([]int{0}, capacities)
	hubs := got.HubShares
	if hubs[0] != 0 || hubs[3] != 0 || math.Abs(hubs[2]-0.5) > 0.01 || math.Abs(hubs[1]+hubs[2]-1) > 1e-9 {
		t.Errorf("got hub shares %v with west lost, want 0.5 each for middle and east, of equal capacity", hubs)
	}
	// The middle hub serves edge-2 and has little free capacity, so the eastern hub takes most of the fills.
	hubs = l.Shares([]int{0}, []float64{10, 6, 6, 40, 40}).HubShares
	if hubs[2] < 0.7 || math.Abs(hubs[1]+hubs[2]-1) > 1e-9 {
		t.Errorf("got hub shares %v with west lost, want at least 0.7 for east and the rest for middle", hubs)
	}
	if got.FillShares != nil {
		t.Errorf("got fill shares %v without LimitFills, want none", got.FillShares)
	}
	if hubs := l.Shares([]int{0, 2}, capacities).HubShares; hubs[1] != 1 {
		t.Errorf("got hub shares %v with west and east lost, want 1 for middle", hubs)
	}
	if hubs := l.Shares([]int{0, 1, 2}, capacities).HubShares; hubs[0]+hubs[1]+hubs[2] != 0 {
		t.Errorf("got hub shares %v with all hubs lost, want 0 for each", hubs)
	}
}

// Guards against fill limits that reject classes of high value or non-idempotent requests before those of low value.
func TestFillLimitsRejectLowestValueFirst(t *testing.T) {
	l := newTestLocalPlanner(t, Overrides{LimitFills: true}, nil)
	fills := l.Shares(
		[]int{0, 2},
		[]float64{10, 10, 10, 60, 60},
	).FillShares // a capacity of 10 for 14.4 cache misses of both branches
	if len(fills) != 3 || fills[0] != 1 || fills[1] > 0.7 || fills[1] <= 0 || fills[2] != 1 {
		t.Errorf("got fill shares %v, want 1 for media and pay, and above 0 to 0.7 for pages", fills)
	}
	if fills := l.Shares([]int{0}, []float64{10, 10, 10, 10, 10}).FillShares; fills[0] != 1 || fills[1] != 1 {
		t.Errorf("got fill shares %v with enough capacity for all fills, want 1 for media and pages", fills)
	}
}

// An override that is invalid in any fleet must be an error of NewLocalPlanner. A pin that exceeds its hub's present
// capacity must be reported once for each change of the capacities, leave the director without shares, and apply as
// soon as the capacity suffices.
func TestInfeasiblePlanIsReported(t *testing.T) {
	_, err := NewLocalPlanner(testSettings(), Overrides{Forbids: []Forbid{{"moon", "east"}}}, nil)
	if err == nil || !strings.HasPrefix(err.Error(), "plan.forbid[0].lost") {
		t.Errorf("got error %v, want one that starts with plan.forbid[0].lost", err)
	}
	reports := 0
	l := newTestLocalPlanner(t, Overrides{Pins: []Pin{{"west", "edge-1", "east", 1}}}, func(error) { reports++ })
	small, large := []float64{10, 10, 1, 100, 100}, []float64{10, 10, 30, 100, 100}
	for range 3 {
		if got := l.Shares([]int{0}, small); got.HubShares != nil {
			t.Errorf("got shares %v with a pin above its hub's capacity, want none", got)
		}
	}
	if reports != 1 {
		t.Errorf("got %d reports, want 1", reports)
	}
	if got := l.Shares([]int{0}, large); len(got.HubShares) != 5 || got.HubShares[2] != 1 || reports != 1 {
		t.Errorf("got shares %v, %d reports with capacity for the pin, want 1 for east, 1 report", got, reports)
	}
}
