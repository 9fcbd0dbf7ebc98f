package routing

import (
	"fmt"
	"testing"
	"time"
)

// A request that a cache rejects for lack of capacity must wait and then go to the same cache again. If such requests
// went to the next cache at once, fills and load would double under overload.
func TestRejectionForCapacityPostponesTheRequest(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = func(_ *testEnv, _ *openRequest, attempt int) (Result, FillStatus, time.Duration) {
		if attempt == 0 {
			return Rejected, FillStatusNoFillSlot, ms
		}
		return OK, FillStatusFilled, 10 * ms
	}
	env.submitObject(1, 42, classBig)
	env.run(20 * ms)
	if len(env.fetches) != 1 {
		t.Fatalf("got fetches %+v, want no retry within 20 ms", env.fetches)
	}
	env.run(time.Second)
	if len(env.fetches) != 2 || env.fetches[1].Host != env.fetches[0].Host {
		t.Errorf("got fetches %+v, want two to the same cache", env.fetches)
	}
	env.assertNoViolation()
}

// A cancelled attempt stays in flight until the cancellation reaches its cache, and a retry over another connection may
// arrive there first. Two attempts would then be in flight at once, which breaks the rules of a deployment without
// hedging. In such a deployment the retry must therefore wait, unless the attempt was answered or provably never
// executed. Where hedging is allowed the retry is sent at once. After LocalResourcesExhausted a retry always waits.
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
				t.Errorf("retried at once = %v, want %v", got, tc.atOnce)
			}
			if tc.atOnce {
				return
			}
			env.now += 2 * minPostponement
			if !isSent(TimerFired{Token: requestTimer | 900}) {
				t.Error("no retry after the postponement")
			}
		})
	}
}

// Without a retry budget, caches that reject requests get 2.4 attempts for each request as long as they reject. Under
// overload the budget must run out, so that requests are rejected at once. Writes that provably never executed may
// overdraw the budget and must still be retried.
func TestRetriesAreLimitedByBudget(t *testing.T) {
	env := newSimpleEnv(t, nil)
	env.answer = func(_ *testEnv, request *openRequest, _ int) (Result, FillStatus, time.Duration) {
		return Rejected, rejectionStatus(request), 5 * ms
	}
	for id := uint32(1); id <= 60; id++ {
		env.submitObject(id, uint64(id), classBig)
		env.run(20 * ms)
	}
	env.run(10 * time.Second)
	attempts := 0
	for id := uint32(31); id <= 60; id++ {
		attempts += len(env.requests[id].attempts)
		if !env.requests[id].ended {
			t.Errorf("request %d has not ended", id)
		}
	}
	if attempts > 45 {
		t.Errorf("got %d attempts for 30 requests while all are rejected, want at most 45", attempts)
	}
	write := env.submitObject(100, 100, classUnsafe)
	env.run(2 * time.Second)
	if len(write.attempts) < 3 {
		t.Errorf("got %d attempts for a write that never executed, want at least 3", len(write.attempts))
	}
	env.assertNoViolation()
}

// rejectionStatus returns the fill status that a cache reports with a rejection: that it has no fill slot, or for a
// write no status.
func rejectionStatus(request *openRequest) FillStatus {
	if request.Class == classUnsafe {
		return FillStatusUnknown
	}
	return FillStatusNoFillSlot
}
