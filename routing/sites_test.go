package routing

import (
	"testing"
	"time"

	"shaleyard/internal/sitehealth"
)

// newThreeHubEnv returns an environment with three hubs of two parents each, in zones 0, 2 and 3. Zone 0 is the own
// hub.
func newThreeHubEnv(t *testing.T) *testEnv {
	t.Helper()
	settings := testSettings()
	settings.Zones = []string{"hub", "here", "second", "third"}
	settings.Tiers.DirectorsByZone = []int{0, 1, 0, 0}
	settings.Tiers.HubByZone = []int{0, 0, 2, 3}
	settings.Tiers.BypassAllowed = false
	env := newTestEnv(t, settings, 1)
	list := testEndpoints(4)[:7] // the origin, two parents of the own hub, four caches
	for i := range 4 {
		host, zone := hostParent+10+Host(i), 2+i/2
		list = append(list, Endpoint{Host: host, Kind: kindParent, Zone: zone, State: Ready, Weight: 12})
	}
	env.updateEndpoints(UpdateCached, list...)
	return env
}

// fillsByZone submits count requests for different objects, one every 20 ms, with IDs from first, and returns the
// number of fills from parents by the zone of the parent.
func (e *testEnv) fillsByZone(first, count int) map[int]int {
	before, byZone := len(e.fetches), map[int]int{}
	for i := range count {
		e.submitObject(uint32(first+i), uint64(1000+first+i), classBig)
		e.run(20 * ms)
	}
	e.run(200 * ms)
	for _, fetch := range e.fetches[before:] {
		if source := e.endpoints[fetch.Source]; source.Kind == kindParent {
			byZone[source.Zone]++
		}
	}
	return byZone
}

// When the own hub is lost, its fills must go to the other hubs in the shares of the failover plan. Half-open probes
// must still go to the lost hub, and all fills must go to it again once it answers.
func TestLostHubFillsFollowFailoverPlan(t *testing.T) {
	env := newThreeHubEnv(t)
	env.router.SetSiteOptions(sitehealth.Options{Plan: func([]int, []float64) sitehealth.FailoverShares {
		return sitehealth.FailoverShares{HubShares: []float64{0, 0, 0.75, 0.25}}
	}})
	down := false
	env.answer = func(env *testEnv, request *openRequest, attempt int) (Result, FillStatus, time.Duration) {
		source := env.endpoints[request.attempts[attempt].source]
		if down && source.Kind == kindParent && source.Zone == 0 {
			return Miss, FillStatusSourceUnreachable, 5 * ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	if fills := env.fillsByZone(1, 100); fills[0] != 100 {
		t.Errorf("before the loss: got fills by zone %v, want 100 from zone 0", fills)
	}
	down = true
	env.fillsByZone(200, 20) // the router detects the loss
	fills := env.fillsByZone(400, 400)
	if probes := fills[0]; probes == 0 || probes > 20 {
		t.Errorf("got %d probes of the hub while it was lost for 8 s, want 1 to 20", probes)
	}
	if share := float64(fills[2]) / float64(fills[2]+fills[3]); share < 0.67 || share > 0.83 {
		t.Errorf("got fills by zone %v, want three quarters of those from zones 2 and 3 from zone 2", fills)
	}
	down = false
	env.run(4 * time.Second)
	env.fillsByZone(900, 10)
	if fills := env.fillsByZone(1000, 100); fills[0] != 100 {
		t.Errorf("after the recovery: got fills by zone %v, want 100 from zone 0", fills)
	}
	env.assertNoViolation()
}

// When all caches of the own zone stop responding, each of them must be probed with one request at a time, and all
// other requests must be rejected at once, as they could only time out. A write that was sent must not be sent again.
// When the caches respond again, all requests must be accepted again within 7 s.
func TestUnresponsiveZoneIsOnlyProbed(t *testing.T) {
	env := newThreeHubEnv(t)
	unresponsive := false
	env.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
		if unresponsive {
			return OK, FillStatusHit, time.Hour // times out
		}
		return OK, FillStatusHit, 10 * ms
	}
	read := func(id, index int) *openRequest { return env.submitObject(uint32(id), uint64(1000+index%20), classBig) }
	for i := range 60 { // the location table learns which caches hold the objects
		read(1+i, i)
		env.run(20 * ms)
	}

	unresponsive = true
	write := env.submitObject(100, 5000, classUnsafe)
	for i := range 60 {
		read(200+i, i)
		env.run(50 * ms)
	}
	rejected, before := 0, len(env.fetches)
	for i := range 100 {
		if request := read(300+i, i); request.ended {
			rejected++
		}
		env.run(20 * ms)
	}
	if probes := len(env.fetches) - before; probes > 12 || rejected < 88 {
		t.Errorf("100 requests in 2 s to an unresponsive zone: got %d rejected at once, want at least 88; "+
			"got %d probes, want at most 12", rejected, probes)
	}
	if len(write.attempts) != 1 {
		t.Errorf("the write was sent %d times, want once", len(write.attempts))
	}

	unresponsive = false
	env.run(5 * time.Second)
	for i := range 40 {
		read(500+i, i)
		env.run(50 * ms)
	}
	for i := range 40 {
		if request := read(600+i, i); request.ended {
			t.Fatalf("request %d was rejected at least 7 s after the caches began to respond again", i)
		}
		env.run(20 * ms)
	}
	env.assertNoViolation()
}
