package routing

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Directors that restart know a cache that warms up from their list, and nothing of what they sent it before, nor of
// how long an object takes. All of them together must not begin their shares of its budget anew: what reaches the cache
// within the overload window stays within the budget of N calls and chance, where N is far smaller than the number of
// directors.
func TestRestartedRoutersDoNotBeginTheirSharesAgain(t *testing.T) {
	for _, directors := range []int{30, 300} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%d directors, seed %d", directors, seed), func(t *testing.T) {
				const sizeKB, weight = 500.0, 20.0 // an object takes 0.5 s, about as long as the objective
				settings := testSettings()
				settings.Directors = directors
				settings.Tiers.DirectorsByZone = []int{0, directors, 0}
				settings.Tiers.TransferKBPerSecond = 1000
				settings.Classes[classBig].LatencyObjective = 400 * ms
				settings.Classes[classSmall].LatencyObjective = 250 * ms
				guarantees := settings.Guarantees
				started := 100 * time.Second
				now := started + time.Second
				list := testEndpoints(3)
				for i := range list {
					if list[i].Host == hostEdge {
						list[i].Started, list[i].Weight = started, weight
					}
				}
				routers := newRouters(t, settings, seed, directors, now, list)
				var calls []Time
				for round := range 60 {
					for range callsInRound(routers, now, round, sizeKB) {
						calls = append(calls, now)
					}
					now += guarantees.OverloadWindow / 10
				}
				worst := 0.0
				for i, at := range calls {
					inWindow := 0
					for _, other := range calls[i:] {
						if other < at+guarantees.OverloadWindow {
							inWindow++
						}
					}
					progress := float64(at-started) / float64(guarantees.SlowStartDuration)
					share := guarantees.SlowStartFraction + (1-guarantees.SlowStartFraction)*progress
					budget := guarantees.OverloadMultiple * share * weight * guarantees.OverloadWindow.Seconds()
					allowed := budget / (sizeKB / settings.Tiers.TransferKBPerSecond)
					worst = max(worst, float64(inWindow)/(allowed+2*math.Sqrt(allowed)+2))
				}
				t.Logf("%d calls, %.2f of what may come by chance", len(calls), worst)
				if worst > 1 || len(calls) < 10 {
					t.Errorf("%d calls, %.2f times what may come by chance in a window", len(calls), worst)
				}
			})
		}
	}
}

// All directors hear of a start at once. If each sent its first large request to the cache in the same second, it would
// break down; so the sum over all of them must stay in the budget. Found in an incident of the whole site.
func TestManyRoutersSpareAColdCache(t *testing.T) {
	const directors, caches = 40, 4
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			settings := testSettings()
			settings.Directors = directors
			settings.Tiers.DirectorsByZone = []int{0, directors, 0}
			settings.SiteLimits.MaxAttempts = 1
			guarantees := settings.Guarantees
			now := 100 * time.Second
			list := testEndpoints(caches)
			for i := range list {
				if list[i].Host >= hostEdge && list[i].Host < hostEdge+caches {
					list[i].Started = now
				}
			}
			routers := newRouters(t, settings, seed, directors, now, list)
			work, sum := routers[0].classes[classBig].work.Value, 0.0
			for round := range 10 {
				for range callsInRound(routers, now, round, 0) {
					sum += work
				}
				now += guarantees.OverloadWindow / 10
			}
			const weight = 6
			allowed := guarantees.OverloadMultiple * guarantees.SlowStartFraction * weight *
				guarantees.OverloadWindow.Seconds()
			if sum > allowed {
				t.Errorf("%.1f s of work reach the cache in its window, %.1f allowed", sum, allowed)
			}
			if sum == 0 {
				t.Error("nothing was sent")
			}
		})
	}
}

// newRouters are the routers of a number of directors that know the same endpoints.
func newRouters(t *testing.T, settings Settings, seed uint64, count int, now Time, list []Endpoint) []*Router {
	t.Helper()
	routers := make([]*Router, count)
	for i := range routers {
		router, err := New(settings, seed*1000+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		router.Handle(now, EndpointUpdate{Kind: UpdateCached, Endpoints: list})
		routers[i] = router
	}
	return routers
}

// callsInRound submits a request for another object to each router, and counts those that go to hostEdge.
func callsInRound(routers []*Router, now Time, round int, sizeKB float64) (calls int) {
	for i, router := range routers {
		id := uint32(round*len(routers) + i + 1)
		request := Request{ID: id, Object: uint64(id), Deadline: now + 4*time.Second, SizeKB: sizeKB}
		for _, fetch := range actionsOf[Fetch](router.Handle(now, request)) {
			if fetch.Host == hostEdge {
				calls++
			}
		}
	}
	return calls
}
