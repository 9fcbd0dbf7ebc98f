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

// fleet is a branch of five caches (zone 2) with its own hub of two parents (zone 0) and another hub of two (zone 1).
type fleet struct {
	t           *testing.T
	monitor     *Monitor
	now         Time
	members     map[string]*Member
	changes     []string
	originShare float64 // part of the fills that go on to the origin
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
			f.join(fmt.Sprintf("%c%d", "wec"[zone], i), zone, true, 0)
		}
	}
	return f
}

func (f *fleet) join(name string, zone int, up bool, started Time) {
	f.members[name] = f.monitor.UpdateMember(f.now, f.members[name], zone, 10, up, started)
}

// play does steps: "c1 answers", "c1 refuses", "c1 silent", "200" (milliseconds pass), "c1 gone", "c1 starts".
func (f *fleet) play(script string) *fleet {
	f.t.Helper()
	for _, step := range strings.Split(script, ", ") {
		who, what, _ := strings.Cut(strings.TrimSpace(step), " ")
		zone := strings.IndexByte("wec", who[0])
		switch what {
		case "":
			pause, err := time.ParseDuration(who + "ms")
			if err != nil {
				f.t.Fatal(err)
			}
			for until := f.now + pause; f.now < until; {
				f.now = min(until, f.now+50*ms)
				f.tick()
			}
		case "answers":
			f.members[who].RecordResponse(f.now)
		case "refuses":
			f.members[who].RecordRefusal(f.now)
		case "silent":
			f.members[who].RecordTimeout(f.now, f.now-300*ms)
		case "gone":
			f.join(who, zone, false, 0)
		case "starts":
			f.join(who, zone, true, f.now)
		default:
			f.t.Fatalf("no step %q", step)
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

// stepsFor is a script in which the same happens to several servers.
func stepsFor(what string, who ...string) string {
	steps := make([]string, 0, len(who))
	for _, server := range who {
		steps = append(steps, server+" "+what)
	}
	return strings.Join(steps, ", ")
}

func TestStatesFollowTheEvidence(t *testing.T) {
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
		{"nothing is known", "1000", 2, Healthy},
		{"one cache of five is lost", "c0 refuses, 100, c1 answers, 100, c0 refuses, 100", 2, Degraded},
		{"and again, with nobody else asked", "c0 refuses, 100, c0 refuses, 100, c0 refuses, 100", 2, Degraded},
		{"two refuse, with an answer between", "c0 refuses, 100, c2 answers, c1 refuses, 100", 2, Degraded},
		{"half of four refuse, none answers", "c4 gone, c0 refuses, c1 refuses, 100", 2, Degraded},
		{"three refuse, none answers", "c0 refuses, 100, c1 refuses, 100, c2 refuses, 100", 2, Lost},
		{"two of five refuse, none answers", "c0 refuses, c1 refuses, 100", 2, Degraded},
		{"one answer is lost", "c0 silent, c1 silent, c2 silent, 100", 2, Degraded},
		{"all are silent", stepsFor("silent", append(caches, caches...)...) + ", 100", 2, Unreachable},
		{"three are silent for long", strings.Repeat(stepsFor("silent", "c0", "c1", "c2")+", ", 3) + "100", 2,
			Unreachable},
		{"failures that are long past", "c0 refuses, 4900, c1 answers, 200, c1 refuses, 100", 2, Degraded},
		{"the list has none left", stepsFor("gone", caches...) + ", 100", 2, Lost},
		{"the list has one left", stepsFor("gone", caches[1:]...) + ", 100", 2, Healthy},
		{"one left, and it refuses", stepsFor("gone", caches[1:]...) + ", c0 refuses, 100", 2, Lost},
		{"a hub is lost", "w0 refuses, w1 refuses, 100", 0, Lost},
		{"and the other is not", "w0 refuses, w1 refuses, 100", 1, Healthy},
		{"one answers, before its time to", loss + ", 50, c2 answers, 50", 2, Lost},
		{"an answer behind it", loss + ", 100, c2 answers, 500", 2, Recovering},
		{"by the list, before anybody is asked", loss + ", 600, c2 starts, 50", 2, Recovering},
		{"time alone heals nobody", loss + ", 600, c2 starts, 60000", 2, Recovering},
		{"eight answers do", loss + ", 600, " + stepsFor("starts", caches...) +
			", 5000, " + stepsFor("answers", append(caches, caches...)...) + ", 100", 2, Healthy},
		{"lost again on the way", relapse, 2, Relapsed},
		{"and it waits longer", relapse + ", c2 answers, 50", 2, Relapsed},
		{"but not for good", relapse + ", 1000, c2 answers, 50", 2, Recovering},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t).play(test.script)
			if got := f.state(test.zone); got != test.want {
				t.Errorf("%v, want %v: %q", got, test.want, f.changes)
			}
		})
	}
}

// What is wanted more has the first claim on a branch that comes back, and repayments are never held back for it.
func TestAdmissionCostWhileOurBranchRecovers(t *testing.T) {
	f := newFleet(t)
	costs := func() string {
		unpopular, popular := f.monitor.AdmissionCost(1, false), f.monitor.AdmissionCost(2, false)
		return fmt.Sprint(unpopular, popular, f.monitor.AdmissionCost(1, true))
	}
	if got := costs(); got != "1 1 1" {
		t.Errorf("well: %s", got)
	}
	f.play("c0 refuses, c1 refuses, c3 refuses, 200, c2 answers, 50")
	if got := costs(); f.state(2) != Recovering || got != "4 1 1" {
		t.Errorf("%v: %s", f.state(2), got)
	}
}

// An installation may have other sites stay lost for longer; our own branch returns as soon as it can.
func TestMinLostTimeIsForOtherSites(t *testing.T) {
	f := newFleet(t)
	f.monitor.MinLostTime = 3 * time.Second
	f.play("w0 refuses, w1 refuses, c0 refuses, c1 refuses, c3 refuses, 2000, w0 answers, c0 answers, 50")
	if f.state(0) != Lost || f.state(2) != Recovering {
		t.Errorf("after 2 s of 3: the hub is %v, our branch %v", f.state(0), f.state(2))
	}
	f.play("1100")
	if f.state(0) != Recovering {
		t.Errorf("after 3 s: the hub is %v", f.state(0))
	}
}

// The origin is called slow once, however its part swings until all goes on to it again.
func TestSlowOriginIsReportedOnce(t *testing.T) {
	f := newFleet(t)
	for _, open := range []float64{0.9, 0.4, 0.6, 0.3, 0.95, 1, 0.7, 1} {
		f.originShare = open
		f.play("100")
	}
	want := []string{"site origin: slow, was well: 0.40 of the fills go on to it",
		"site origin: well, was slow: all fills go on to it"}
	if !slices.Equal(f.changes, want) {
		t.Errorf("%q", f.changes)
	}
}

// A director that hears nobody is cut off itself: it calls nobody lost, and takes up its work where it was.
func TestIsolatedDirector(t *testing.T) {
	silence := stepsFor("silent", "c0", "c1", "c2", "w0", "w1", "e0", "e1")
	f := newFleet(t).play("c0 answers, 100, c0 silent, w0 silent, 1000, " + silence + ", 100")
	if !f.monitor.Isolated() || f.monitor.Counters.Isolations != 1 {
		t.Fatalf("not known as cut off: %q", f.changes)
	}
	f.play(silence + ", " + silence + ", 3000")
	for zone := range 3 {
		if f.state(zone).unavailable() {
			t.Errorf("zone %d is %v: %q", zone, f.state(zone), f.changes)
		}
	}
	if !f.monitor.OwnBranchUnavailable() {
		t.Error("it can do nothing for its clients, and does not say so")
	}
	f.play("c1 answers, 100")
	if f.monitor.Isolated() || f.monitor.OwnBranchUnavailable() {
		t.Errorf("still cut off: %q", f.changes)
	}
	if f.state(2) != Healthy || f.monitor.CapacityShare(f.now, 0) != 1 {
		t.Errorf("not back as it was: %q", f.changes)
	}
	// One site silent, another refusing or answering: it is not us.
	for _, sign := range []string{"e0 answers", "e0 refuses"} {
		branchSilent := stepsFor("silent", "c0", "c1", "c2", "c3", "c4", "c0", "c1")
		f := newFleet(t).play("w0 silent, c0 silent, 500, " + sign + ", " + branchSilent + ", 1200, " + sign + ", 100")
		if f.monitor.Isolated() || f.state(2) != Unreachable {
			t.Errorf("%s: alone %v, the branch %v", sign, f.monitor.Isolated(), f.state(2))
		}
	}
}

// What a lost hub leaves is shared by the plan, and goes back by and by, in parts that always make one.
func TestWeightFactorsFollowThePlan(t *testing.T) {
	f := newFleet(t)
	consulted := 0
	f.monitor.Plan = func(lost []int, carries []float64) FailoverShares {
		consulted++
		if !slices.Equal(lost, []int{0}) || !slices.Equal(carries, []float64{20, 20, 50}) {
			t.Errorf("asked with %v lost of %v", lost, carries)
		}
		return FailoverShares{HubShares: []float64{0, 0.8, 0}, FillShares: []float64{1, 0.25}}
	}
	f.monitor.ShiftRate = 0.5
	defer func() {
		if consulted != 2 {
			t.Errorf("the plan was asked %d times for two losses of the same site", consulted)
		}
	}()
	f.play("100")
	if f.monitor.WeightFactor(0) != 1 || f.monitor.WeightFactor(1) != 0 || f.monitor.FillShare(f.now, 1) != 1 {
		t.Errorf("well: factors %v, %v", f.monitor.WeightFactor(0), f.monitor.WeightFactor(1))
	}
	f.play("w0 refuses, w1 refuses, 1000")
	if f.monitor.WeightFactor(0) != 0 || f.monitor.WeightFactor(1) != 0.8 || f.monitor.FillShare(f.now, 1) != 0.25 {
		t.Errorf("lost: factors %v, %v, fills %v", f.monitor.WeightFactor(0), f.monitor.WeightFactor(1),
			f.monitor.FillShare(f.now, 1))
	}
	if part := f.monitor.FillShare(f.now, 0); part < 0.3 || part > 0.5 {
		t.Errorf("a second after the loss at half a second's rate, %v of the fills have moved", part)
	}
	// The hub is back as it was: it holds what it held, and has its objects back but for the part that is missing.
	f.play("w0 answers, 50")
	if f.monitor.WeightFactor(0) != 0.5 {
		t.Errorf("half of it is back and attracts %v", f.monitor.WeightFactor(0))
	}
	f.play("w1 answers, 50")
	if f.monitor.WeightFactor(0) != 1 {
		t.Errorf("all of it is back and attracts %v", f.monitor.WeightFactor(0))
	}
	// Lost again, it comes back with new servers, cold and empty: its load returns by and by.
	f.play(stepsFor("answers", "w0", "w1", "w0", "w1", "w0", "w1", "w0", "w1") + ", 100, w0 refuses, w1 refuses, 600")
	f.play("w0 starts, w1 starts, 50")
	before, most := f.monitor.WeightFactor(0), 0.5*0.05
	if before <= 0 || before > initialRecoveryShare+most+1e-9 {
		t.Errorf("comes back with %v of it", before)
	}
	for range 60 {
		f.play("w0 answers, w1 answers, 50")
		own := f.monitor.WeightFactor(0)
		if own < before || own-before > most+1e-9 {
			t.Fatalf("went from %v to %v of it in 50 ms", before, own)
		}
		if rest := f.monitor.WeightFactor(1); rest != 0 && (rest/0.8+own > 1+1e-9 || rest/0.8+own < 1-1e-9) {
			t.Fatalf("parts %v and %v", own, rest)
		}
		before = own
	}
	if f.state(0) != Healthy || f.monitor.WeightFactor(0) != 1 {
		t.Errorf("%v with %v", f.state(0), f.monitor.WeightFactor(0))
	}
}

// Whatever happens: factors stay in range, a lost site gets none, and a change is told once for each.
func TestMonitorKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t)
		names := slices.Sorted(maps.Keys(f.members))
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			who := rapid.SampledFrom(names).Draw(rt, "who")
			f.play(
				who + " " + rapid.SampledFrom([]string{"answers", "refuses", "silent", "gone", "starts"}).
					Draw(rt, "what"),
			)
			if rapid.Bool().Draw(rt, "time") {
				f.play(fmt.Sprint(rapid.IntRange(1, 1500).Draw(rt, "ms")))
			}
			for zone := range 3 {
				state, since := f.monitor.State(zone)
				share := f.monitor.CapacityShare(f.now, zone)
				if !(share >= 0 && share <= 1) || (state.unavailable() && share != 0) || since > f.now {
					rt.Fatalf("zone %d is %v since %v and gets %v", zone, state, since, share)
				}
				if factor := f.monitor.WeightFactor(zone); !(factor >= 0 && factor <= 2) {
					rt.Fatalf("zone %d has the factor %v", zone, factor)
				}
			}
			wait := f.monitor.NextProbeIn(f.now, 2)
			if wait < 0 || wait > maxHoldoff || (wait > 0) != f.state(2).unavailable() {
				rt.Fatalf("%v: probe in %v", f.state(2), wait)
			}
		}
		if c := f.monitor.Counters; c.Relapses > c.RecoveriesStarted || c.Recoveries > c.RecoveriesStarted {
			rt.Fatalf("%+v", c)
		}
	})
}

// Ten minutes in which single caches go and come, one at a time, are no loss of a site.
func TestSingleLossesAreNoSiteLoss(t *testing.T) {
	f := newFleet(t)
	for minute := range 10 {
		for k := range 10 {
			bad := (minute*7 + k) % 5
			for range 12 {
				for c := range 5 {
					switch who := fmt.Sprintf("c%d", c); {
					case c != bad:
						f.play(who + " answers, 100")
					case k%2 == 0:
						f.play(who + " refuses, 100")
					default:
						f.play(who + " silent, 100")
					}
				}
			}
		}
	}
	if c := f.monitor.Counters; c.Losses+c.Unreachable+c.Isolations != 0 {
		t.Errorf("%+v", c)
	}
}
