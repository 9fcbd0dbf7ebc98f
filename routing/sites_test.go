package routing

import (
	"testing"
	"time"

	"shaleyard/internal/sitehealth"
)

// newThreeHubEnv is simpleWorld with hubs of two parents each, in zones 0, 2 and 3, of which zone 0 is ours.
func newThreeHubEnv(t *testing.T) *testEnv {
	settings := testSettings()
	settings.Zones = []string{"hub", "here", "second", "third"}
	settings.Tiers.DirectorsByZone, settings.Tiers.HubByZone = []int{0, 1, 0, 0}, []int{0, 0, 2, 3}
	settings.Tiers.BypassAllowed = false
	env := newTestEnv(t, settings, 1)
	list := testEndpoints(4)[:7] // the origin, our hub's two, four caches
	for i := range 4 {
		list = append(list, Endpoint{Host: hostParent + 10 + Host(i), Kind: 1, Zone: 2 + i/2, State: Ready, Weight: 12})
	}
	env.updateEndpoints(UpdateCached, list...)
	return env
}

// fillsByZone asks for so many objects, 20 ms one after another, and counts their fills by the zone of the source.
func (e *testEnv) fillsByZone(first, n int) map[int]int {
	from, by := len(e.fetches), map[int]int{}
	for i := range n {
		e.submitRead(uint32(first+i), uint64(1000+first+i), 0)
		e.runUntil(e.now + 20*ms)
	}
	e.runUntil(e.now + 200*ms)
	for _, fetch := range e.fetches[from:] {
		if endpoint := e.endpoints[fetch.Source]; endpoint.Kind == 1 {
			by[endpoint.Zone]++
		}
	}
	return by
}

// A lost hub's fills are shared as the plan says; looks go there first, and it has them back once it answers.
func TestLostHubIsReplacedByPlan(t *testing.T) {
	env := newThreeHubEnv(t)
	env.router.SetSiteOptions(sitehealth.Options{Plan: func([]int, []float64) sitehealth.FailoverShares {
		return sitehealth.FailoverShares{HubShares: []float64{0, 0, 0.75, 0.25}}
	}})
	down := false
	env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
		if endpoint := env.endpoints[request.attempts[n].source]; down && endpoint.Kind == 1 && endpoint.Zone == 0 {
			return Miss, FillStatusSourceUnreachable, 5 * ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	if by := env.fillsByZone(1, 100); by[0] != 100 {
		t.Errorf("all is well, and fills come from %v", by)
	}
	down = true
	env.fillsByZone(200, 20) // it is noticed
	by := env.fillsByZone(400, 400)
	if looks := by[0]; looks == 0 || looks > 20 {
		t.Errorf("%d looks at a hub that is lost for 8 s", looks)
	}
	if part := float64(by[2]) / float64(by[2]+by[3]); part < 0.67 || part > 0.83 {
		t.Errorf("fills come from %v, three quarters of them were planned from the second", by)
	}
	down = false
	env.run(4 * time.Second)
	env.fillsByZone(900, 10)
	if by := env.fillsByZone(1000, 100); by[0] != 100 {
		t.Errorf("it is back as it was, and fills come from %v", by)
	}
	env.assertNoViolation()
}

// Caches that say nothing are looked at one request at a time, and what could only run out is refused at once; a repayment
// that has left is not refused. When they speak again, all are taken up soon.
func TestSilentBranchIsOnlyLookedAt(t *testing.T) {
	env := newThreeHubEnv(t)
	silent := false
	env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
		if silent {
			return OK, FillStatusHit, time.Hour // runs out
		}
		return OK, FillStatusHit, 10 * ms
	}
	for i := range 60 { // the caches are known as holders
		env.submitRead(uint32(1+i), uint64(1000+i%20), 0)
		env.run(20 * ms)
	}
	silent = true
	pay := env.submitRead(100, 5000, 3)
	for i := range 60 {
		env.submitRead(uint32(200+i), uint64(1000+i%20), 0)
		env.run(50 * ms)
	}
	refused, asked := 0, len(env.fetches)
	for i := range 100 {
		if request := env.submitRead(uint32(300+i), uint64(1000+i%20), 0); request.ended {
			refused++
		}
		env.run(20 * ms)
	}
	if looks := len(env.fetches) - asked; looks > 12 || refused < 88 {
		t.Errorf("of 100 requests in 2 s to a branch that is silent, %d were refused at once and %d sent", refused, looks)
	}
	if len(pay.attempts) != 1 {
		t.Errorf("the repayment was sent %d times", len(pay.attempts))
	}
	silent = false
	env.run(5 * time.Second)
	for i := range 40 {
		env.submitRead(uint32(500+i), uint64(1000+i%20), 0)
		env.run(50 * ms)
	}
	for i := range 40 {
		if request := env.submitRead(uint32(600+i), uint64(1000+i%20), 0); request.ended {
			t.Fatalf("request %d is refused 2 s after all of them speak again", i)
		}
		env.run(20 * ms)
	}
	env.assertNoViolation()
}
