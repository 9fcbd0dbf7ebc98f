package routing_test

import (
	"fmt"
	"time"

	"shaleyard/routing"
)

// A director passes events to its router and carries out the actions that the router returns. In this example a cache
// fills an object from a parent, and a second cache tries to fill the object from the first one. The first one has no
// copy any more, so the retry names a parent as the source. Then the object is purged, and the second cache drains.
func Example() {
	const (
		cacheA = routing.Host(1)
		cacheB = routing.Host(2)
		parent = routing.Host(8)
		origin = routing.Host(9)
	)
	names := map[routing.Host]string{cacheA: "cache A", cacheB: "cache B", parent: "parent", origin: "origin"}
	router, err := routing.New(exampleSettings(), 7)
	if err != nil {
		panic(err)
	}
	now := routing.Time(time.Minute)
	handle := func(event routing.Event) {
		for _, action := range router.Handle(now, event) {
			if fetch, ok := action.(routing.Fetch); ok {
				fmt.Printf("request %d: %s, filled from %s, age limit %v\n",
					fetch.ID, names[fetch.Host], names[fetch.Source], fetch.MaxAge)
			}
		}
		now += 10 * time.Millisecond
	}
	updateEndpoints := func(kind routing.UpdateKind, endpoints ...routing.Endpoint) {
		handle(routing.EndpointUpdate{Kind: kind, Endpoints: endpoints})
	}
	submit := func(id uint32) {
		handle(routing.Request{ID: id, Object: 49, Group: 3, Deadline: now + 4*time.Second})
	}
	answer := func(id uint32, attempt int, result routing.Result, status routing.FillStatus) {
		handle(routing.Outcome{ID: id, Attempt: attempt, Result: result, FillStatus: status,
			RequestDone: result == routing.OK, Elapsed: 10 * time.Millisecond})
	}

	updateEndpoints(routing.UpdateCached,
		routing.Endpoint{Host: parent, Kind: 1, State: routing.Ready},
		routing.Endpoint{Host: origin, Kind: 2, State: routing.Ready},
		routing.Endpoint{Host: cacheA, Zone: 1, State: routing.Ready})
	submit(1)
	answer(1, 0, routing.OK, routing.FillStatusFilled) // cache A now holds the object
	updateEndpoints(routing.UpdateDelta, routing.Endpoint{Host: cacheB, Zone: 1, State: routing.Ready})
	submit(2)
	answer(2, 0, routing.Miss, routing.FillStatusSourceMiss) // cache A has no copy any more: the retry names a parent
	answer(2, 1, routing.OK, routing.FillStatusFilled)
	handle(routing.Purge{Object: 49, Group: 3, Age: 100 * time.Millisecond})
	submit(3)
	answer(3, 0, routing.OK, routing.FillStatusFilled)
	updateEndpoints(routing.UpdateDelta, routing.Endpoint{Host: cacheB, Zone: 1, State: routing.Draining})
	submit(4)
	// Output:
	// request 1: cache A, filled from parent, age limit 0s
	// request 2: cache B, filled from cache A, age limit 0s
	// request 2: cache B, filled from parent, age limit 0s
	// request 3: cache B, filled from parent, age limit 110ms
	// request 4: cache A, filled from parent, age limit 140ms
}

func exampleSettings() routing.Settings {
	return routing.Settings{
		Directors:     1,
		Zones:         []string{"hub", "here"},
		Zone:          1,
		WeightMode:    routing.WeightModeOff,
		DiscoveryMode: "automatic",
		Classes: []routing.Class{{
			Name:             "video",
			LatencyObjective: time.Second,
			Timeout:          4 * time.Second,
			PriorityWeight:   1,
			Idempotency:      routing.IdempotencyReadLike,
		}},
		SiteLimits: routing.SiteLimits{MaxAttempts: 4, CancelAllowed: true},
		Tiers: routing.TierSettings{
			OriginKind:         2,
			ParentKind:         1,
			SiblingFills:       routing.SiblingFillsLocation,
			FillStatusReported: routing.FillStatusReportedAll,
			CoalescesFills:     true,
			DirectorsByZone:    []int{0, 1},
			HubByZone:          []int{0, 0},
			PurgePropagation:   6 * time.Second,
		},
	}
}
