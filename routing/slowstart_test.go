package routing

import (
	"math"
	"testing"
	"time"
)

// Directors that are started anew know of a cold cache from their list, and nothing of what they sent it before, nor of
// how long an object takes: all of them together must not begin their shares again. What reaches the cache in the time
// of a fall stays within its budget of N calls and chance, where N is far smaller than the number of directors.
func TestRestartedRoutersDoNotBeginTheirSharesAgain(t *testing.T) {
	for _, seats := range []int{30, 300} {
		for seed := range uint64(5) {
			settings := testSettings()
			settings.Directors, settings.Tiers.DirectorsByZone, settings.Tiers.TransferKBPerSecond = seats, []int{0, seats, 0}, 1000
			settings.Classes[0].LatencyObjective, settings.Classes[1].LatencyObjective = 400*ms, 250*ms
			const size, weight = 500.0, 20.0 // an object takes 0.5 s, about as long as the aim
			start := 100 * time.Second
			now := start + time.Second
			var routers []*Router
			for i := range uint64(seats) {
				router, err := New(settings, seed*1000+i)
				if err != nil {
					t.Fatal(err)
				}
				list := testEndpoints(3)
				for j := range list {
					if list[j].Host == hostEdge {
						list[j].Started, list[j].Weight = start, weight
					}
				}
				router.Handle(now, EndpointUpdate{Kind: UpdateCached, Endpoints: list})
				routers = append(routers, router)
			}
			var calls []Time
			for step := range 60 {
				for i, router := range routers {
					id := uint32(step*seats + i + 1)
					for _, action := range router.Handle(now, Request{ID: id, Object: uint64(id), Deadline: now + 4*time.Second, SizeKB: size}) {
						if fetch, ok := action.(Fetch); ok && fetch.Host == hostEdge {
							calls = append(calls, now)
						}
					}
				}
				now += settings.Guarantees.OverloadWindow / 10
			}
			worst := 0.0
			for i, at := range calls {
				n := 0
				for _, b := range calls[i:] {
					if b < at+settings.Guarantees.OverloadWindow {
						n++
					}
				}
				guarantees := settings.Guarantees
				share := guarantees.SlowStartFraction + (1-guarantees.SlowStartFraction)*float64(at-start)/float64(guarantees.SlowStartDuration)
				allowed := guarantees.OverloadMultiple * share * weight * guarantees.OverloadWindow.Seconds() / (size / 1000)
				worst = max(worst, float64(n)/(allowed+2*math.Sqrt(allowed)+2))
			}
			t.Logf("%d directors, seed %d: %d calls, %.2f of what may come by chance", seats, seed, len(calls), worst)
			if worst > 1 || len(calls) < 10 {
				t.Errorf("%d directors, seed %d: %d calls, %.2f times what may come by chance in a span", seats, seed, len(calls), worst)
			}
		}
	}
}

// Found on a drawn day at full size: told of a start at once, every router of the location sent its first large
// request to the cold cache in the same second, and it fell over. The sum over all of them must stay in the budget.
func TestManyRoutersSpareAColdCache(t *testing.T) {
	const seats = 40
	for seed := range uint64(5) {
		settings := testSettings()
		settings.Directors, settings.Tiers.DirectorsByZone, settings.SiteLimits.MaxAttempts = seats, []int{0, seats, 0}, 1
		now, sum, start := 100*time.Second, 0.0, 100*time.Second
		var routers []*Router
		for i := range uint64(seats) {
			router, err := New(settings, seed*1000+i)
			if err != nil {
				t.Fatal(err)
			}
			list := testEndpoints(4)
			for j := range list {
				if list[j].Host >= hostEdge && list[j].Host < hostEdge+4 {
					list[j].Started = start
				}
			}
			router.Handle(now, EndpointUpdate{Kind: UpdateCached, Endpoints: list})
			routers = append(routers, router)
		}
		work := routers[0].classes[0].work.Value
		for step := range 10 {
			for i, router := range routers {
				id := uint32(step*seats + i + 1)
				for _, action := range router.Handle(now, Request{ID: id, Object: uint64(id), Deadline: now + 4*time.Second}) {
					if fetch, ok := action.(Fetch); ok && fetch.Host == hostEdge {
						sum += work
					}
				}
			}
			now += settings.Guarantees.OverloadWindow / 10
		}
		share := settings.Guarantees.SlowStartFraction
		if allowed := settings.Guarantees.OverloadMultiple * share * 6 * settings.Guarantees.OverloadWindow.Seconds(); sum > allowed {
			t.Errorf("seed %d: %.1f s of work reach a cold cache in its span, %.1f allowed", seed, sum, allowed)
		}
		if sum == 0 {
			t.Errorf("seed %d: nothing was sent", seed)
		}
	}
}
