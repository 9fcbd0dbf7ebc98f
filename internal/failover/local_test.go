package failover

import (
	"math"
	"strings"
	"testing"

	"shaleyard/routing"
)

// testSettings are those of a director of branch edge-1, with three hubs.
func testSettings() *routing.Settings {
	return &routing.Settings{Zones: []string{"west", "middle", "east", "edge-1", "edge-2"}, Zone: 3,
		Classes: []routing.Class{{Name: "media", PriorityWeight: 2, Idempotency: "read_like"}, {Name: "pages", PriorityWeight: 1, Idempotency: "read_like"},
			{Name: "pay", PriorityWeight: 3, Idempotency: "non_idempotent"}},
		Tiers: routing.TierSettings{OriginKind: 2, ParentKind: 1, DirectorsByZone: []int{0, 0, 0, 4, 4}, HubByZone: []int{0, 1, 2, 0, 1},
			Uncacheable: []bool{false, false, true}}}
}

func TestAdviceIsThePlanForOurBranch(t *testing.T) {
	a, err := NewLocalPlanner(testSettings(), Overrides{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	carries := []float64{10, 10, 10, 40, 40}
	got := a.Shares([]int{0}, carries)
	if h := got.HubShares; h[0] != 0 || h[3] != 0 || math.Abs(h[2]-0.5) > 0.01 || math.Abs(h[1]+h[2]-1) > 1e-9 {
		t.Errorf("hubs that carry as much share what the western one leaves by %v", h)
	}
	// The middle hub has edge-2 to serve, and now little room beside that: the eastern one takes most.
	if h := a.Shares([]int{0}, []float64{10, 6, 6, 40, 40}).HubShares; h[2] < 0.7 || math.Abs(h[1]+h[2]-1) > 1e-9 {
		t.Errorf("shares %v", h)
	}
	if got.FillShares != nil {
		t.Errorf("fills are refused by %v, though nobody asked for that", got.FillShares)
	}
	if h := a.Shares([]int{0, 2}, carries).HubShares; h[1] != 1 {
		t.Errorf("only the middle is left: %v", h)
	}
	if h := a.Shares([]int{0, 1, 2}, carries).HubShares; h[0]+h[1]+h[2] != 0 {
		t.Errorf("no hub is left: %v", h)
	}
}

func TestFollowedPlansRefuseWhatIsWorthLeast(t *testing.T) {
	a, err := NewLocalPlanner(testSettings(), Overrides{LimitFills: true}, nil)
	if err != nil {
		t.Fatal(err)
	}
	f := a.Shares([]int{0, 2}, []float64{10, 10, 10, 60, 60}).FillShares // 10 for 14.4 that both branches' caches lack
	if len(f) != 3 || f[0] != 1 || f[1] > 0.7 || f[1] <= 0 || f[2] != 1 {
		t.Errorf("fills %v: pages go first, media not yet, repayments last", f)
	}
	if f := a.Shares([]int{0}, []float64{10, 10, 10, 10, 10}).FillShares; f[0] != 1 || f[1] != 1 {
		t.Errorf("there is room for all: %v", f)
	}
}

// What can be known at the start is an error then; what hangs on the fleet is told once for each state of it, and the
// director goes on without advice.
func TestAPlanThatCantBeMadeIsTold(t *testing.T) {
	if _, err := NewLocalPlanner(testSettings(), Overrides{Forbids: []Forbid{{"moon", "east"}}}, nil); err == nil || !strings.HasPrefix(err.Error(), "plan.forbid[0].lost") {
		t.Errorf("error %v", err)
	}
	told := 0
	a, err := NewLocalPlanner(testSettings(), Overrides{Pins: []Pin{{"west", "edge-1", "east", 1}}}, func(error) { told++ })
	if err != nil {
		t.Fatal(err)
	}
	small, large := []float64{10, 10, 1, 100, 100}, []float64{10, 10, 30, 100, 100}
	for range 3 {
		if got := a.Shares([]int{0}, small); got.HubShares != nil {
			t.Errorf("advice %v by a pin that can't hold", got)
		}
	}
	if told != 1 {
		t.Errorf("told %d times", told)
	}
	if got := a.Shares([]int{0}, large); len(got.HubShares) != 5 || got.HubShares[2] != 1 || told != 1 {
		t.Errorf("it can hold now: %v", got)
	}
}
