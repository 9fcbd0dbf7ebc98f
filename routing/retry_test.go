package routing

import (
	"slices"
	"testing"
	"time"
)

// Found in the first incidents: requests turned away as full went on at once to the next cache, which doubled
// fills and load in a jam. They must wait, and come back to the same cache.
func TestFullMakesTheRequestWait(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
		if n == 0 {
			return Rejected, FillStatusNoFillSlot, ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	env.submitRead(1, 42, 0)
	env.run(20 * ms)
	if len(env.fetches) != 1 {
		t.Fatalf("sent again at once: %+v", env.fetches)
	}
	env.run(time.Second)
	if len(env.fetches) != 2 || env.fetches[1].Host != env.fetches[0].Host {
		t.Errorf("sent %+v", env.fetches)
	}
	env.assertNoViolation()
}

// Found on zone+brink of map-tiles, where no second copies are allowed: an attempt that is called off is out until its
// cache hears of that, and the next one, over another connection, came there before. It waits for a moment; where second
// copies are allowed, and behind an answer, it leaves at once.
func TestNextAttemptDoesNotOvertakeTheStop(t *testing.T) {
	for _, tc := range []struct {
		copies bool
		result Result
		atOnce bool
	}{{false, Cancelled, false}, {false, Reset, false}, {false, TimedOut, false}, {true, Cancelled, true}, {true, Reset, true},
		{false, ConnectFailed, true}, {false, Abandoned, true}, {false, Errored, true}, {true, Unreachable, true}, {true, LocalResourcesExhausted, false}} {
		env := newSimpleEnv(t, func(settings *Settings) { settings.SiteLimits.HedgingAllowed = tc.copies })
		env.router.Handle(env.now, Request{ID: 900, Object: 42, Deadline: env.now + 4*time.Second})
		attempt := env.router.requests[900].attempts[0]
		left := func(actions []Action) bool {
			return slices.ContainsFunc(actions, func(action Action) bool { _, ok := action.(Fetch); return ok })
		}
		env.now += 20 * ms
		if got := left(env.router.Handle(env.now, Outcome{ID: 900, Host: attempt.target.Host, Result: tc.result, Elapsed: 20 * ms})); got != tc.atOnce {
			t.Errorf("second copies %v, %v: the next attempt left at once %v, want %v", tc.copies, tc.result, got, tc.atOnce)
		}
		if tc.atOnce {
			continue
		}
		env.now += 2 * minPostponement
		if !left(env.router.Handle(env.now, TimerFired{Token: requestTimer | 900})) {
			t.Errorf("second copies %v, %v: no further attempt", tc.copies, tc.result)
		}
	}
}

// Seen on join+mass: attempts for a request rose to 2.4 while caches refused, and stayed there. In a crowd the budget
// ends, and what is over is refused at once; a repayment that provably never ran is tried on.
func TestFurtherAttemptsHaveABudget(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
		return Rejected, rejectionStatus(request), 5 * ms
	}
	for id := uint32(1); id <= 60; id++ {
		env.submitRead(id, uint64(id), 0)
		env.run(20 * ms)
	}
	env.run(10 * time.Second)
	tries := 0
	for id := uint32(31); id <= 60; id++ {
		tries += len(env.requests[id].attempts)
		if !env.requests[id].ended {
			t.Errorf("request %d not ended", id)
		}
	}
	if tries > 45 {
		t.Errorf("%d attempts for 30 requests while all are refused", tries)
	}
	pay := env.submitRead(100, 100, 3)
	env.run(2 * time.Second)
	if len(pay.attempts) < 3 {
		t.Errorf("a repayment that never ran got %d attempts", len(pay.attempts))
	}
	env.assertNoViolation()
}

// rejectionStatus is what a cache tells with a refusal: fills find no slot.
func rejectionStatus(request *openRequest) FillStatus {
	if request.Class == 3 {
		return FillStatusUnknown
	}
	return FillStatusNoFillSlot
}
