package routing

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// TestRulesHold runs random sequences of valid events, one for each seed, under varied settings, and checks that the
// router keeps the deployment's rules.
func TestRulesHold(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			env := runRandomSequence(t, seed)
			env.assertNoViolation()
			if len(env.fetches) < 200 {
				t.Fatalf("got %d fetches, want at least 200", len(env.fetches))
			}
		})
	}
}

// The same settings, seed and events must always give the same actions.
func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(4) {
		first, second := runRandomSequence(t, seed), runRandomSequence(t, seed)
		if !reflect.DeepEqual(first.actions, second.actions) {
			t.Fatalf("seed %d: two runs of the same events gave different actions", seed)
		}
	}
}

// oneOf returns a random element of a list.
func oneOf[T any](rng *rand.Rand, list ...T) T { return list[rng.IntN(len(list))] }

// runRandomSequence runs a router through 3000 random requests in about a minute of simulated time, mixed with purges,
// endpoint changes, restarts and discovery failures, and returns the environment.
func runRandomSequence(t *testing.T, seed uint64) *testEnv {
	t.Helper()
	env := newTestEnv(t, variedSettings(seed), seed)
	rng, list := env.rng, testEndpoints(4)
	env.updateEndpoints(UpdateCached, list...)
	unresponsive := Host(0)
	env.answer = func(_ *testEnv, request *openRequest, number int) (Result, FillStatus, time.Duration) {
		attempt := request.attempts[number]
		if attempt.host == unresponsive || attempt.source == unresponsive {
			return OK, FillStatusFilled, time.Hour
		}
		return randomAnswer(rng)
	}
	for id := uint32(1); id <= 3000; id++ {
		class := oneOf(rng, classBig, classSmall, classBig, classSmall, classSmall, classKeyed, classUnsafe)
		object := uint64(rng.ExpFloat64() * 40)
		group := int(object % 8)
		timeout := time.Duration(float64(env.settings.Classes[class].Timeout) * (0.3 + 0.7*rng.Float64()))
		env.submit(Request{ID: id, Class: class, Object: object + 1, Group: group, Deadline: env.now + timeout})
		env.run(time.Duration(rng.ExpFloat64()*20) * ms)
		switch draw := rng.IntN(300); {
		case draw < 4:
			env.purge(Purge{Object: object + 1, Group: group, Age: time.Duration(rng.IntN(400)) * ms})
		case draw == 4:
			env.purge(Purge{Group: rng.IntN(8), Age: time.Duration(rng.IntN(400)) * ms})
		case draw < 8:
			endpoint := list[1+rng.IntN(6)]
			endpoint.State = oneOf(rng, Draining, Gone, Ready)
			env.updateEndpoints(UpdateDelta, endpoint)
		case draw < 10:
			endpoint := list[1+rng.IntN(6)]
			endpoint.Started = env.now - time.Duration(rng.IntN(2000))*ms
			endpoint.State = Ready
			env.updateEndpoints(UpdateDelta, endpoint)
		case draw == 10:
			unresponsive = list[rng.IntN(7)].Host
		case draw == 11:
			unresponsive = 0
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

// variedSettings returns testSettings with those options changed that the seed selects.
func variedSettings(seed uint64) Settings {
	settings := testSettings()
	settings.SiteLimits.HedgingAllowed = seed%2 == 0
	settings.SiteLimits.CancelAllowed = seed%3 != 0
	settings.Tiers.BypassAllowed = seed%5 != 0
	settings.Tiers.CoalescesFills = seed%4 != 0
	reported := []string{FillStatusReportedAll, FillStatusReportedHit, FillStatusReportedOff}
	settings.Tiers.FillStatusReported = reported[seed%3]
	siblings := []string{SiblingFillsOff, SiblingFillsLocation, SiblingFillsAny}
	settings.Tiers.SiblingFills = siblings[seed/3%3]
	scopes := []string{DedupScopeAll, DedupScopeZone, DedupScopeCell}
	settings.Classes[classKeyed].DedupScope = scopes[seed%3]
	return settings
}

// randomAnswer returns how an attempt ends and after what time: mostly with a hit, sometimes with a fill, a miss, a
// rejection or a failure, and sometimes with a late hit.
func randomAnswer(rng *rand.Rand) (Result, FillStatus, time.Duration) {
	after := time.Duration(rng.ExpFloat64()*60) * ms
	switch draw := rng.IntN(20); {
	case draw < 13:
		return OK, FillStatusHit, after
	case draw < 15:
		return OK, FillStatusFilled, 2 * after
	case draw == 15:
		return Miss, FillStatusSourceMiss, after
	case draw == 16:
		return Rejected, oneOf(rng, FillStatusUnknown, FillStatusSourceRejected, FillStatusSourceUnreachable,
			FillStatusNoFillSlot), after
	case draw == 17:
		return oneOf(rng, Errored, ConnectFailed, Reset), FillStatusUnknown, after
	}
	return OK, FillStatusHit, 20 * after
}
