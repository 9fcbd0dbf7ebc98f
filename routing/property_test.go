package routing

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// TestRulesHold drives routers with seeded legal sequences under varied settings and asserts the five rules.
func TestRulesHold(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			env := runRandomSequence(t, seed)
			env.assertNoViolation()
			if len(env.fetches) < 200 {
				t.Fatalf("only %d attempts", len(env.fetches))
			}
		})
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(4) {
		if first, second := runRandomSequence(t, seed), runRandomSequence(t, seed); !reflect.DeepEqual(first.actions, second.actions) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

// runRandomSequence plays a minute of random requests, answers, purges, drains and restarts.
func runRandomSequence(t *testing.T, seed uint64) *testEnv {
	settings := testSettings()
	settings.SiteLimits.HedgingAllowed = seed%2 == 0
	settings.SiteLimits.CancelAllowed = seed%3 != 0
	settings.Tiers.BypassAllowed = seed%5 != 0
	settings.Tiers.CoalescesFills = seed%4 != 0
	settings.Tiers.FillStatusReported = []string{"all", "hit", "off"}[seed%3]
	settings.Tiers.SiblingFills = []string{"off", "location", "any"}[seed/3%3]
	settings.Classes[2].DedupScope = []string{"all", "zone", "cell"}[seed%3]
	env := newTestEnv(t, settings, seed)
	rng := env.rng
	list := testEndpoints(4)
	env.updateEndpoints(UpdateCached, list...)
	sick := Host(0)
	env.answer = func(env *testEnv, request *openRequest, n int) (Result, FillStatus, time.Duration) {
		attempt := request.attempts[n]
		if attempt.host == sick || attempt.source == sick {
			return OK, FillStatusFilled, time.Hour
		}
		after := time.Duration(rng.ExpFloat64()*60) * ms
		switch draw := rng.IntN(20); {
		case draw < 13:
			return OK, FillStatusHit, after
		case draw < 15:
			return OK, FillStatusFilled, 2 * after
		case draw == 15:
			return Miss, FillStatusSourceMiss, after
		case draw == 16:
			return Rejected, []FillStatus{FillStatusUnknown, FillStatusSourceRejected, FillStatusSourceUnreachable, FillStatusNoFillSlot}[rng.IntN(4)], after
		case draw == 17:
			return []Result{Errored, ConnectFailed, Reset}[rng.IntN(3)], FillStatusUnknown, after
		}
		return OK, FillStatusHit, 20 * after
	}
	for id := uint32(1); id <= 3000; id++ {
		class := []int{0, 1, 0, 1, 1, 2, 3}[rng.IntN(7)]
		object := uint64(rng.ExpFloat64() * 40)
		timeout := time.Duration(float64(settings.Classes[class].Timeout) * (0.3 + 0.7*rng.Float64()))
		env.submit(Request{ID: id, Class: class, Object: object + 1, Group: int(object % 8), Deadline: env.now + timeout})
		env.run(time.Duration(rng.ExpFloat64()*20) * ms)
		switch draw := rng.IntN(300); {
		case draw < 4:
			env.purge(Purge{Object: object + 1, Group: int(object % 8), Age: time.Duration(rng.IntN(400)) * ms})
		case draw == 4:
			env.purge(Purge{Group: rng.IntN(8), Age: time.Duration(rng.IntN(400)) * ms})
		case draw < 8:
			endpoint := list[1+rng.IntN(6)]
			endpoint.State = []State{Draining, Gone, Ready}[rng.IntN(3)]
			env.updateEndpoints(UpdateDelta, endpoint)
		case draw < 10:
			endpoint := list[1+rng.IntN(6)]
			endpoint.Started, endpoint.State = env.now-time.Duration(rng.IntN(2000))*ms, Ready
			env.updateEndpoints(UpdateDelta, endpoint)
		case draw == 10:
			sick = list[rng.IntN(7)].Host
		case draw == 11:
			sick = 0
		case draw == 12:
			env.updateEndpoints(UpdateFull, list...)
		case draw == 13:
			env.handle(EndpointUpdate{Kind: UpdateFailed})
		case draw == 14 && !env.requests[id].ended:
			env.requests[id].ended = true
			env.handle(RequestClosed{ID: id})
		}
	}
	env.run(10 * time.Second)
	return env
}
