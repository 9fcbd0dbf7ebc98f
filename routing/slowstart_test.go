package routing

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Directors that restart learn from the endpoint list that a cache warms up, but know neither what they sent to it
// before nor how long a transfer takes. If each of them began with its full share of the cache's slow-start budget
// again, the cache would be overloaded. The attempts that reach the cache within any overload window must not exceed
// its budget of N attempts by more than chance explains (2*sqrt(N) + 2). In the case with 300 directors, N is far
// smaller than the number of directors.
func TestRestartedRoutersStayWithinSlowStartBudget(t *testing.T) {
	for _, directors := range []int{30, 300} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%d directors, seed %d", directors, seed), func(t *testing.T) {
				const sizeKB, weight = 500.0, 20.0 // a transfer takes 0.5 s, about as long as the objective
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
				var sendTimes []Time
				for round := range 60 {
					for range submitRound(routers, now, round, sizeKB) {
						sendTimes = append(sendTimes, now)
					}
					now += guarantees.OverloadWindow / 10
				}
				highestRatio := 0.0
				for i, at := range sendTimes {
					inWindow := 0
					for _, other := range sendTimes[i:] {
						if other < at+guarantees.OverloadWindow {
							inWindow++
						}
					}
					progress := float64(at-started) / float64(guarantees.SlowStartDuration)
					share := guarantees.SlowStartFraction + (1-guarantees.SlowStartFraction)*progress
					budget := guarantees.OverloadMultiple * share * weight * guarantees.OverloadWindow.Seconds()
					allowed := budget / (sizeKB / settings.Tiers.TransferKBPerSecond)
					highestRatio = max(highestRatio, float64(inWindow)/(allowed+2*math.Sqrt(allowed)+2))
				}
				t.Logf("%d attempts, %.2f of the allowed number in the busiest window", len(sendTimes), highestRatio)
				if highestRatio > 1 || len(sendTimes) < 10 {
					t.Errorf("got %d attempts, %.2f of the allowed number in a window; want at least 10, at most 1",
						len(sendTimes), highestRatio)
				}
			})
		}
	}
}

// All directors learn of the start of a cache at the same time. If each director sent its first large request to the
// cache in the same second, the cache would break down. The work that all directors together send to the cache within
// the overload window must therefore stay within its slow-start budget.
func TestManyRoutersStayWithinSlowStartBudget(t *testing.T) {
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
				for range submitRound(routers, now, round, 0) {
					sum += work
				}
				now += guarantees.OverloadWindow / 10
			}
			const weight = 6
			allowed := guarantees.OverloadMultiple * guarantees.SlowStartFraction * weight *
				guarantees.OverloadWindow.Seconds()
			if sum > allowed {
				t.Errorf("got %.1f s of work at the cache in the overload window, want at most %.1f s", sum, allowed)
			}
			if sum == 0 {
				t.Error("no attempt was sent to the cache")
			}
		})
	}
}

// newRouters returns the routers of count directors that have received the same endpoint list.
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

// submitRound submits one request to each router, each for a different object, and returns the number of requests that
// are sent to hostEdge.
func submitRound(routers []*Router, now Time, round int, sizeKB float64) (sent int) {
	for i, router := range routers {
		id := uint32(round*len(routers) + i + 1)
		request := Request{ID: id, Object: uint64(id), Deadline: now + 4*time.Second, SizeKB: sizeKB}
		for _, fetch := range actionsOf[Fetch](router.Handle(now, request)) {
			if fetch.Host == hostEdge {
				sent++
			}
		}
	}
	return sent
}
