package sitehealth

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// fleet is a branch of five caches (zone 2) with its own hub of two parents (zone 0) and another hub of two parents
// (zone 1).
type fleet struct {
	t           *testing.T
	monitor     *Monitor
	now         Time
	members     map[string]*Member
	changes     []string
	originShare float64 // share of the fills that go on to the origin
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		t:           t,
		monitor:     New(Config{ZoneNames: []string{"west", "east", "edge"}, OwnZone: 2, HubZone: 0}),
		now:         100 * time.Second,
		members:     map[string]*Member{},
		originShare: 1,
	}
	for zone, count := range []int{2, 2, 5} {
		for i := range count {
			f.updateMember(fmt.Sprintf("%c%d", "wec"[zone], i), zone, true, 0)
		}
	}
	return f
}

func (f *fleet) updateMember(name string, zone int, ready bool, started Time) {
	f.members[name] = f.monitor.UpdateMember(f.now, f.members[name], zone, 10, ready, started)
}

// runScript executes a script of steps, separated by commas. A step is an event of a server ("c1 answers", "c1
// refuses", "c1 silent", "c1 gone", "c1 starts") or a number of milliseconds that pass ("200").
func (f *fleet) runScript(script string) *fleet {
	f.t.Helper()
	for _, step := range strings.Split(script, ", ") {
		server, event, _ := strings.Cut(strings.TrimSpace(step), " ")
		zone := strings.IndexByte("wec", server[0])
		switch event {
		case "":
			pause, err := time.ParseDuration(server + "ms")
			if err != nil {
				f.t.Fatal(err)
			}
			for until := f.now + pause; f.now < until; {
				f.now = min(until, f.now+50*ms)
				f.tick()
			}
		case "answers":
			f.members[server].RecordResponse(f.now)
		case "refuses":
			f.members[server].RecordConnectFailure(f.now)
		case "silent":
			f.members[server].RecordTimeout(f.now, f.now-300*ms)
		case "gone":
			f.updateMember(server, zone, false, 0)
		case "starts":
			f.updateMember(server, zone, true, f.now)
		default:
			f.t.Fatalf("unknown step %q", step)
		}
	}
	return f
}

func (f *fleet) tick() {
	f.monitor.Tick(f.now, f.originShare, func(change StateChange) { f.changes = append(f.changes, change.String()) })
}

func (f *fleet) state(zone int) State {
	state, _ := f.monitor.State(zone)
	return state
}

// stepsFor returns a script in which the same event happens to several servers.
func stepsFor(event string, servers ...string) string {
	steps := make([]string, 0, len(servers))
	for _, server := range servers {
		steps = append(steps, server+" "+event)
	}
	return strings.Join(steps, ", ")
}

// TestSiteStateTransitions guards against a site that counts as lost because single servers fail, against a lost site
// that is not detected, and against a recovery that starts or ends too early.
func TestSiteStateTransitions(t *testing.T) {
	caches := []string{"c0", "c1", "c2", "c3", "c4"}
	const (
		loss    = "c0 refuses, c1 refuses, c3 refuses"
		relapse = loss + ", 600, c2 answers, 50, c2 refuses, c0 refuses, c3 refuses, 100"
	)
	for _, test := range []struct {
		name   string
		script string
		zone   int
		want   State
	}{
		{"no observations", "1000", 2, Healthy},
		{"one of five refuses, another answers", "c0 refuses, 100, c1 answers, 100, c0 refuses, 100", 2, Degraded},
		{"one refuses, no attempts at others", "c0 refuses, 100, c0 refuses, 100, c0 refuses, 100", 2, Degraded},
		{"two refuse, with an answer of a third between", "c0 refuses, 100, c2 answers, c1 refuses, 100", 2, Degraded},
		{"two of four refuse, none answers", "c4 gone, c0 refuses, c1 refuses, 100", 2, Degraded},
		{"three of five refuse, none answers", "c0 refuses, 100, c1 refuses, 100, c2 refuses, 100", 2, Lost},
		{"two of five refuse, none answers", "c0 refuses, c1 refuses, 100", 2, Degraded},
		{"three time out once each", "c0 silent, c1 silent, c2 silent, 100", 2, Degraded},
		{"all time out twice", stepsFor("silent", append(caches, caches...)...) + ", 100", 2, Unreachable},
		{"three time out three times each", strings.Repeat(stepsFor("silent", "c0", "c1", "c2")+", ", 3) + "100", 2,
			Unreachable},
		{"an old failure, an answer, a new failure", "c0 refuses, 4900, c1 answers, 200, c1 refuses, 100", 2, Degraded},
		{"the list has no ready cache left", stepsFor("gone", caches...) + ", 100", 2, Lost},
		{"the list has one ready cache left", stepsFor("gone", caches[1:]...) + ", 100", 2, Healthy},
		{"the only ready cache refuses", stepsFor("gone", caches[1:]...) + ", c0 refuses, 100", 2, Lost},
		{"both parents of a hub refuse", "w0 refuses, w1 refuses, 100", 0, Lost},
		{"both parents of the other hub refuse", "w0 refuses, w1 refuses, 100", 1, Healthy},
		{"an answer within the holdoff", loss + ", 50, c2 answers, 50", 2, Lost},
		{"an answer within the holdoff, which has ended since", loss + ", 100, c2 answers, 500", 2, Recovering},
		{"the list has a new start, before any attempt", loss + ", 600, c2 starts, 50", 2, Recovering},
		{"a minute without responses does not end a recovery", loss + ", 600, c2 starts, 60000", 2, Recovering},
		{"eight answers end a recovery", loss + ", 600, " + stepsFor("starts", caches...) +
			", 5000, " + stepsFor("answers", append(caches, caches...)...) + ", 100", 2, Healthy},
		{"lost again while recovering", relapse, 2, Relapsed},
		{"a relapsed site, before the doubled holdoff ends", relapse + ", c2 answers, 50", 2, Relapsed},
		{"a relapsed site, after the doubled holdoff", relapse + ", 1000, c2 answers, 50", 2, Recovering},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t).runScript(test.script)
			if got := f.state(test.zone); got != test.want {
				t.Errorf("state of zone %d: got %v, want %v (changes %q)", test.zone, got, test.want, f.changes)
			}
		})
	}
}

// TestAdmissionCostWhileOurBranchRecovers guards against a recovering branch that spends its slow-start budget on
// objects used once. Popular objects must have precedence, and repayments must never be delayed for them.
func TestAdmissionCostWhileOurBranchRecovers(t *testing.T) {
	f := newFleet(t)
	costs := func() string {
		unpopular, popular := f.monitor.AdmissionCost(1, false), f.monitor.AdmissionCost(2, false)
		return fmt.Sprint(unpopular, popular, f.monitor.AdmissionCost(1, true))
	}
	if got := costs(); got != "1 1 1" {
		t.Errorf("costs while the branch is healthy: got %s, want 1 1 1", got)
	}
	f.runScript("c0 refuses, c1 refuses, c3 refuses, 200, c2 answers, 50")
	if got := costs(); f.state(2) != Recovering || got != "4 1 1" {
		t.Errorf("got state %v and costs %s, want %v and 4 1 1", f.state(2), got, Recovering)
	}
}

// TestMinLostTimeAppliesToOtherSites guards against MinLostTime being ignored for another site, or applied to our own
// branch, where it would only prolong the time in which clients are rejected.
func TestMinLostTimeAppliesToOtherSites(t *testing.T) {
	f := newFleet(t)
	f.monitor.MinLostTime = 3 * time.Second
	f.runScript("w0 refuses, w1 refuses, c0 refuses, c1 refuses, c3 refuses, 2000, w0 answers, c0 answers, 50")
	if f.state(0) != Lost || f.state(2) != Recovering {
		t.Errorf("after 2 s of 3: got hub %v and own branch %v, want %v and %v",
			f.state(0), f.state(2), Lost, Recovering)
	}
	f.runScript("1100")
	if f.state(0) != Recovering {
		t.Errorf("after 3 s: got hub %v, want %v", f.state(0), Recovering)
	}
}

// TestSlowOriginIsReportedOnce guards against a log line for each swing of the admitted fraction: the origin must be
// reported as slow once, until all fills go on to it again.
func TestSlowOriginIsReportedOnce(t *testing.T) {
	f := newFleet(t)
	for _, originShare := range []float64{0.9, 0.4, 0.6, 0.3, 0.95, 1, 0.7, 1} {
		f.originShare = originShare
		f.runScript("100")
	}
	want := []string{"site origin: slow, was well: 0.40 of the fills go on to it",
		"site origin: well, was slow: all fills go on to it"}
	if !slices.Equal(f.changes, want) {
		t.Errorf("got changes %q, want %q", f.changes, want)
	}
}

// TestIsolatedDirector guards against a director that is cut off itself but takes all sites for lost, and then ramps up
// all of them after the interruption.
func TestIsolatedDirector(t *testing.T) {
	silence := stepsFor("silent", "c0", "c1", "c2", "w0", "w1", "e0", "e1")
	f := newFleet(t).runScript("c0 answers, 100, c0 silent, w0 silent, 1000, " + silence + ", 100")
	if !f.monitor.Isolated() || f.monitor.Counters.Isolations != 1 {
		t.Fatalf("isolated %v with %d isolations, want true with 1 (changes %q)",
			f.monitor.Isolated(), f.monitor.Counters.Isolations, f.changes)
	}
	f.runScript(silence + ", " + silence + ", 3000")
	for zone := range 3 {
		if f.state(zone).unavailable() {
			t.Errorf("zone %d is %v in isolation, want it available (changes %q)", zone, f.state(zone), f.changes)
		}
	}
	if !f.monitor.OwnBranchUnavailable() {
		t.Error("OwnBranchUnavailable is false for an isolated director")
	}
	f.runScript("c1 answers, 100")
	if f.monitor.Isolated() || f.monitor.OwnBranchUnavailable() {
		t.Errorf("still isolated, or the own branch unavailable, after a response (changes %q)", f.changes)
	}
	if f.state(2) != Healthy || f.monitor.CapacityShare(f.now, 0) != 1 {
		t.Errorf("after the isolation: got own branch %v and hub share %v, want %v and 1 (changes %q)",
			f.state(2), f.monitor.CapacityShare(f.now, 0), Healthy, f.changes)
	}
	// Two sites time out, our hub (w0) and the caches of our branch, while a third site, the other hub (e0), answers or
	// refuses connections: at the end of the script the director is not isolated, and our branch is unreachable.
	// Before the last answer, the director may count as isolated.
	for _, eastStep := range []string{"e0 answers", "e0 refuses"} {
		branchSilent := stepsFor("silent", "c0", "c1", "c2", "c3", "c4", "c0", "c1")
		f := newFleet(t)
		f.runScript("w0 silent, c0 silent, 500, " + eastStep + ", " + branchSilent + ", 1200, " + eastStep + ", 100")
		if f.monitor.Isolated() || f.state(2) != Unreachable {
			t.Errorf("%s: got isolated %v and own branch %v, want false and %v",
				eastStep, f.monitor.Isolated(), f.state(2), Unreachable)
		}
	}
}

// TestWeightFactorsFollowThePlan guards against load that jumps or gets lost when a hub is lost or returns: the plan
// distributes the load of a lost hub, and the load returns to restarted servers gradually. During the second recovery,
// while the other hub has a share, the shares of both hubs must add up to 1. The test divides the factor of the other
// hub by 0.8, the sum of the hub shares of its fake plan.
func TestWeightFactorsFollowThePlan(t *testing.T) {
	f := newFleet(t)
	planCalls := 0
	f.monitor.Plan = func(lost []int, capacities []float64) FailoverShares {
		planCalls++
		if !slices.Equal(lost, []int{0}) || !slices.Equal(capacities, []float64{20, 20, 50}) {
			t.Errorf("plan called with lost zones %v and capacities %v, want [0] and [20 20 50]", lost, capacities)
		}
		return FailoverShares{HubShares: []float64{0, 0.8, 0}, FillShares: []float64{1, 0.25}}
	}
	f.monitor.ShiftRate = 0.5
	defer func() {
		if planCalls != 2 {
			t.Errorf("the plan was called %d times for two losses of the same site, want 2", planCalls)
		}
	}()
	f.runScript("100")
	if f.monitor.WeightFactor(0) != 1 || f.monitor.WeightFactor(1) != 0 || f.monitor.FillShare(f.now, 1) != 1 {
		t.Errorf("healthy hub: got factors %v and %v and fill share %v, want 1, 0 and 1",
			f.monitor.WeightFactor(0), f.monitor.WeightFactor(1), f.monitor.FillShare(f.now, 1))
	}
	f.runScript("w0 refuses, w1 refuses, 1000")
	if f.monitor.WeightFactor(0) != 0 || f.monitor.WeightFactor(1) != 0.8 || f.monitor.FillShare(f.now, 1) != 0.25 {
		t.Errorf("lost hub: got factors %v and %v and fill share %v, want 0, 0.8 and 0.25",
			f.monitor.WeightFactor(0), f.monitor.WeightFactor(1), f.monitor.FillShare(f.now, 1))
	}
	if part := f.monitor.FillShare(f.now, 0); part < 0.3 || part > 0.5 {
		t.Errorf("fill share about 1 s after the loss at a rate of 0.5 per second: got %v, want 0.3 to 0.5", part)
	}
	// The hub returns with its old servers, which still hold their objects: its share is that of the servers present.
	f.runScript("w0 answers, 50")
	if f.monitor.WeightFactor(0) != 0.5 {
		t.Errorf("factor with one of two parents back: got %v, want 0.5", f.monitor.WeightFactor(0))
	}
	f.runScript("w1 answers, 50")
	if f.monitor.WeightFactor(0) != 1 {
		t.Errorf("factor with both parents back: got %v, want 1", f.monitor.WeightFactor(0))
	}
	// After a second loss the hub returns with new servers, which are cold and empty: its load returns gradually.
	f.runScript(stepsFor("answers", "w0", "w1", "w0", "w1", "w0", "w1", "w0", "w1") +
		", 100, w0 refuses, w1 refuses, 600")
	f.runScript("w0 starts, w1 starts, 50")
	before, maxRise := f.monitor.WeightFactor(0), 0.5*0.05
	if before <= 0 || before > initialRecoveryShare+maxRise+1e-9 {
		t.Errorf("factor right after the restart: got %v, want more than 0 and at most %v",
			before, initialRecoveryShare+maxRise)
	}
	for range 60 {
		f.runScript("w0 answers, w1 answers, 50")
		own := f.monitor.WeightFactor(0)
		if own < before || own-before > maxRise+1e-9 {
			t.Fatalf("factor went from %v to %v in 50 ms, want a rise of at most %v", before, own, maxRise)
		}
		if rest := f.monitor.WeightFactor(1); rest != 0 && (rest/0.8+own > 1+1e-9 || rest/0.8+own < 1-1e-9) {
			t.Fatalf("shares of the two hubs are %v and %v, want a sum of 1", own, rest/0.8)
		}
		before = own
	}
	if f.state(0) != Healthy || f.monitor.WeightFactor(0) != 1 {
		t.Errorf("after the recovery: got state %v and factor %v, want %v and 1",
			f.state(0), f.monitor.WeightFactor(0), Healthy)
	}
}

// TestMonitorKeepsItsBounds guards against shares and factors that leave their range after some sequence of events: a
// lost site must have no share, the time to the next probe must be bounded, and relapses and recoveries must not
// outnumber the recoveries started.
func TestMonitorKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t)
		names := slices.Sorted(maps.Keys(f.members))
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			server := rapid.SampledFrom(names).Draw(rt, "server")
			f.runScript(
				server + " " + rapid.SampledFrom([]string{"answers", "refuses", "silent", "gone", "starts"}).
					Draw(rt, "event"),
			)
			if rapid.Bool().Draw(rt, "time") {
				f.runScript(fmt.Sprint(rapid.IntRange(1, 1500).Draw(rt, "ms")))
			}
			for zone := range 3 {
				state, since := f.monitor.State(zone)
				share := f.monitor.CapacityShare(f.now, zone)
				if !(share >= 0 && share <= 1) || (state.unavailable() && share != 0) || since > f.now {
					rt.Fatalf("zone %d is %v since %v, with a capacity share of %v at %v",
						zone, state, since, share, f.now)
				}
				if factor := f.monitor.WeightFactor(zone); !(factor >= 0 && factor <= 2) {
					rt.Fatalf("zone %d has the weight factor %v, want between 0 and 2", zone, factor)
				}
			}
			wait := f.monitor.MinTimeUntilRecovery(f.now, 2)
			if wait < 0 || wait > maxHoldoff || (wait > 0) != f.state(2).unavailable() {
				rt.Fatalf("own branch is %v, but MinTimeUntilRecovery is %v", f.state(2), wait)
			}
		}
		if c := f.monitor.Counters; c.Relapses > c.RecoveriesStarted || c.Recoveries > c.RecoveriesStarted {
			rt.Fatalf("more relapses or recoveries than recoveries started: %+v", c)
		}
	})
}

// TestSingleServerFailuresAreNoSiteLoss guards against a site that counts as lost while one cache at a time fails: ten
// simulated minutes consist of a hundred rounds, each with another failing cache than the round before.
func TestSingleServerFailuresAreNoSiteLoss(t *testing.T) {
	f := newFleet(t)
	for minute := range 10 {
		for k := range 10 {
			failing := (minute*7 + k) % 5
			for range 12 {
				for c := range 5 {
					switch server := fmt.Sprintf("c%d", c); {
					case c != failing:
						f.runScript(server + " answers, 100")
					case k%2 == 0:
						f.runScript(server + " refuses, 100")
					default:
						f.runScript(server + " silent, 100")
					}
				}
			}
		}
	}
	if c := f.monitor.Counters; c.Losses+c.Unreachable+c.Isolations != 0 {
		t.Errorf("got counters %+v, want no losses and no isolations", c)
	}
}
