package routing

import (
	"testing"
	"time"

	"shaleyard/internal/sitehealth"
)

// newThreeHubEnv is simpleWorld with hubs of two parents each, in zones 0, 2 and 3, of which zone 0 is ours.
func newThreeHubEnv(t *testing.T) *testEnv {
	s := testSettings()
	s.Zones = []string{"hub", "here", "second", "third"}
	s.Tiers.DirectorsByZone, s.Tiers.HubByZone = []int{0, 1, 0, 0}, []int{0, 0, 2, 3}
	s.Tiers.BypassAllowed = false
	w := newTestEnv(t, s, 1)
	list := testEndpoints(4)[:7] // the origin, our hub's two, four caches
	for i := range 4 {
		list = append(list, Endpoint{Host: hostParent + 10 + Host(i), Kind: 1, Zone: 2 + i/2, State: Ready, Weight: 12})
	}
	w.updateEndpoints(UpdateCached, list...)
	return w
}

// fillsByZone asks for so many objects, 20 ms one after another, and counts their fills by the zone of the source.
func (w *testEnv) fillsByZone(first, n int) map[int]int {
	from, by := len(w.fetches), map[int]int{}
	for i := range n {
		w.submitRead(uint32(first+i), uint64(1000+first+i), 0)
		w.runUntil(w.now + 20*ms)
	}
	w.runUntil(w.now + 200*ms)
	for _, f := range w.fetches[from:] {
		if m := w.endpoints[f.Source]; m.Kind == 1 {
			by[m.Zone]++
		}
	}
	return by
}

// A lost hub's fills are shared as the plan says; looks go there first, and it has them back once it answers.
func TestLostHubIsReplacedByPlan(t *testing.T) {
	w := newThreeHubEnv(t)
	w.router.SetSiteOptions(sitehealth.Options{Plan: func([]int, []float64) sitehealth.FailoverShares {
		return sitehealth.FailoverShares{HubShares: []float64{0, 0, 0.75, 0.25}}
	}})
	down := false
	w.answer = func(w *testEnv, o *openRequest, n int) (Result, FillStatus, time.Duration) {
		if m := w.endpoints[o.attempts[n].source]; down && m.Kind == 1 && m.Zone == 0 {
			return Miss, FillStatusSourceUnreachable, 5 * ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	if by := w.fillsByZone(1, 100); by[0] != 100 {
		t.Errorf("all is well, and fills come from %v", by)
	}
	down = true
	w.fillsByZone(200, 20) // it is noticed
	by := w.fillsByZone(400, 400)
	if looks := by[0]; looks == 0 || looks > 20 {
		t.Errorf("%d looks at a hub that is lost for 8 s", looks)
	}
	if part := float64(by[2]) / float64(by[2]+by[3]); part < 0.67 || part > 0.83 {
		t.Errorf("fills come from %v, three quarters of them were planned from the second", by)
	}
	down = false
	w.runUntil(w.now + 4*time.Second)
	w.fillsByZone(900, 10)
	if by := w.fillsByZone(1000, 100); by[0] != 100 {
		t.Errorf("it is back as it was, and fills come from %v", by)
	}
	w.assertNoViolation()
}

// Caches that say nothing are looked at one request at a time, and what could only run out is refused at once; a repayment
// that has left is not refused. When they speak again, all are taken up soon.
func TestSilentBranchIsOnlyLookedAt(t *testing.T) {
	w := newThreeHubEnv(t)
	silent := false
	w.answer = func(w *testEnv, o *openRequest, n int) (Result, FillStatus, time.Duration) {
		if silent {
			return OK, FillStatusHit, time.Hour // runs out
		}
		return OK, FillStatusHit, 10 * ms
	}
	for i := range 60 { // the caches are known as holders
		w.submitRead(uint32(1+i), uint64(1000+i%20), 0)
		w.runUntil(w.now + 20*ms)
	}
	silent = true
	pay := w.submitRead(100, 5000, 3)
	for i := range 60 {
		w.submitRead(uint32(200+i), uint64(1000+i%20), 0)
		w.runUntil(w.now + 50*ms)
	}
	refused, asked := 0, len(w.fetches)
	for i := range 100 {
		if o := w.submitRead(uint32(300+i), uint64(1000+i%20), 0); o.ended {
			refused++
		}
		w.runUntil(w.now + 20*ms)
	}
	if looks := len(w.fetches) - asked; looks > 12 || refused < 88 {
		t.Errorf("of 100 requests in 2 s to a branch that is silent, %d were refused at once and %d sent", refused, looks)
	}
	if len(pay.attempts) != 1 {
		t.Errorf("the repayment was sent %d times", len(pay.attempts))
	}
	silent = false
	w.runUntil(w.now + 5*time.Second)
	for i := range 40 {
		w.submitRead(uint32(500+i), uint64(1000+i%20), 0)
		w.runUntil(w.now + 50*ms)
	}
	for i := range 40 {
		if o := w.submitRead(uint32(600+i), uint64(1000+i%20), 0); o.ended {
			t.Fatalf("request %d is refused 2 s after all of them speak again", i)
		}
		w.runUntil(w.now + 20*ms)
	}
	w.assertNoViolation()
}
