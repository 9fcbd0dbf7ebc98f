package routing

import (
	"testing"
	"time"

	"shaleyard/internal/sitehealth"
)

// newThreeHubEnv has hubs of two parents each in zones 0, 2 and 3, of which zone 0 is the own hub.
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

// fillsByZone submits requests for different objects, one every 20 ms, and counts their fills by the zone of the
// parent.
func (e *testEnv) fillsByZone(first, count int) map[int]int {
	before, byZone := len(e.fetches), map[int]int{}
	for i := range count {
		e.submitRead(uint32(first+i), uint64(1000+first+i), classBig)
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

// A lost hub's fills are shared as the failover plan says. Half-open probes go to the lost hub first, and it has its
// fills back once it answers.
func TestLostHubIsReplacedByPlan(t *testing.T) {
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
		t.Errorf("all is well, and fills come from %v", fills)
	}
	down = true
	env.fillsByZone(200, 20) // it is noticed
	fills := env.fillsByZone(400, 400)
	if probes := fills[0]; probes == 0 || probes > 20 {
		t.Errorf("%d probes of a hub that is lost for 8 s", probes)
	}
	if share := float64(fills[2]) / float64(fills[2]+fills[3]); share < 0.67 || share > 0.83 {
		t.Errorf("fills come from %v, three quarters of them were planned from the second hub", fills)
	}
	down = false
	env.run(4 * time.Second)
	env.fillsByZone(900, 10)
	if fills := env.fillsByZone(1000, 100); fills[0] != 100 {
		t.Errorf("the hub is back, and fills come from %v", fills)
	}
	env.assertNoViolation()
}

// Caches that are silent are probed one request at a time, and what could only time out is rejected at once; a write
// that was sent is not. When they answer again, all are used soon.
func TestSilentZoneIsOnlyProbed(t *testing.T) {
	env := newThreeHubEnv(t)
	silent := false
	env.answer = func(*testEnv, *openRequest, int) (Result, FillStatus, time.Duration) {
		if silent {
			return OK, FillStatusHit, time.Hour // times out
		}
		return OK, FillStatusHit, 10 * ms
	}
	read := func(id, index int) *openRequest { return env.submitRead(uint32(id), uint64(1000+index%20), classBig) }
	for i := range 60 { // the caches are known as holders
		read(1+i, i)
		env.run(20 * ms)
	}

	silent = true
	write := env.submitRead(100, 5000, classUnsafe)
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
		t.Errorf("of 100 requests in 2 s to a zone that is silent, %d were rejected at once and %d sent",
			rejected, probes)
	}
	if len(write.attempts) != 1 {
		t.Errorf("the write was sent %d times", len(write.attempts))
	}

	silent = false
	env.run(5 * time.Second)
	for i := range 40 {
		read(500+i, i)
		env.run(50 * ms)
	}
	for i := range 40 {
		if request := read(600+i, i); request.ended {
			t.Fatalf("request %d is rejected 2 s after all of them answer again", i)
		}
		env.run(20 * ms)
	}
	env.assertNoViolation()
}
