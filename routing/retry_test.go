package routing

import (
	"fmt"
	"testing"
	"time"
)

// A request that a cache rejects for want of capacity must wait, and come back to the same cache. Found in the first
// incidents: such requests went on at once to the next cache, which doubled fills and load under overload.
func TestRejectionForCapacityPostponesTheRequest(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = func(_ *testEnv, _ *openRequest, attempt int) (Result, FillStatus, time.Duration) {
		if attempt == 0 {
			return Rejected, FillStatusNoFillSlot, ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	env.submitRead(1, 42, classBig)
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

// An attempt that is cancelled stays in flight until its cache hears of that, and a retry over another connection may
// arrive before. Where hedging is not allowed it waits for a moment; where it is, and after an answer, it is sent at
// once. Found in an incident of a site without hedging.
func TestRetryDoesNotOvertakeTheCancellation(t *testing.T) {
	for _, tc := range []struct {
		hedging bool
		result  Result
		atOnce  bool
	}{
		{false, Cancelled, false},
		{false, Reset, false},
		{false, TimedOut, false},
		{true, Cancelled, true},
		{true, Reset, true},
		{false, ConnectFailed, true},
		{false, Abandoned, true},
		{false, Errored, true},
		{true, Unreachable, true},
		{true, LocalResourcesExhausted, false},
	} {
		t.Run(fmt.Sprintf("hedging %v, %v", tc.hedging, tc.result), func(t *testing.T) {
			env := newSimpleEnv(t, func(settings *Settings) { settings.SiteLimits.HedgingAllowed = tc.hedging })
			isSent := func(event Event) bool {
				return len(actionsOf[Fetch](env.router.Handle(env.now, event))) > 0
			}
			env.router.Handle(env.now, Request{ID: 900, Object: 42, Deadline: env.now + 4*time.Second})
			target := env.router.requests[900].attempts[0].target
			env.now += 20 * ms
			got := isSent(Outcome{ID: 900, Host: target.Host, Result: tc.result, Elapsed: 20 * ms})
			if got != tc.atOnce {
				t.Errorf("retried at once: %v, want %v", got, tc.atOnce)
			}
			if tc.atOnce {
				return
			}
			env.now += 2 * minPostponement
			if !isSent(TimerFired{Token: requestTimer | 900}) {
				t.Error("no retry")
			}
		})
	}
}

// Retries have a budget: under overload it ends, and requests are rejected at once. Writes that provably never executed
// are retried all the same. Seen before: 2.4 attempts for each request as long as caches rejected.
func TestFurtherAttemptsHaveABudget(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = func(_ *testEnv, request *openRequest, _ int) (Result, FillStatus, time.Duration) {
		return Rejected, rejectionStatus(request), 5 * ms
	}
	for id := uint32(1); id <= 60; id++ {
		env.submitRead(id, uint64(id), classBig)
		env.run(20 * ms)
	}
	env.run(10 * time.Second)
	attempts := 0
	for id := uint32(31); id <= 60; id++ {
		attempts += len(env.requests[id].attempts)
		if !env.requests[id].ended {
			t.Errorf("request %d not ended", id)
		}
	}
	if attempts > 45 {
		t.Errorf("%d attempts for 30 requests while all are rejected", attempts)
	}
	write := env.submitRead(100, 100, classUnsafe)
	env.run(2 * time.Second)
	if len(write.attempts) < 3 {
		t.Errorf("a write that never executed got %d attempts", len(write.attempts))
	}
	env.assertNoViolation()
}

// rejectionStatus is what a cache reports with a rejection: fills find no slot.
func rejectionStatus(request *openRequest) FillStatus {
	if request.Class == classUnsafe {
		return FillStatusUnknown
	}
	return FillStatusNoFillSlot
}
