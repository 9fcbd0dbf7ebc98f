package routing_test

import (
	"fmt"
	"time"

	"shaleyard/routing"
)

// A dispatcher hands events to its router and carries out the actions. Here a request misses at a sibling
// and is filled by a parent; then the object is purged and its cache drains.
func Example() {
	s := routing.Settings{
		Directors: 1, Zones: []string{"hub", "here"}, Zone: 1, WeightMode: "off", DiscoveryMode: "automatic",
		Classes: []routing.Class{{Name: "video", LatencyObjective: time.Second, Timeout: 4 * time.Second, PriorityWeight: 1,
			Idempotency: "read_like"}},
		SiteLimits: routing.SiteLimits{MaxAttempts: 4, CancelAllowed: true},
		Tiers: routing.TierSettings{OriginKind: 2, ParentKind: 1, SiblingFills: "location", FillStatusReported: "all", CoalescesFills: true,
			DirectorsByZone: []int{0, 1}, HubByZone: []int{0, 0}, PurgePropagation: 6 * time.Second},
	}
	r, err := routing.New(s, 7)
	if err != nil {
		panic(err)
	}
	names := map[routing.Host]string{1: "cache A", 2: "cache B", 8: "parent", 9: "origin"}
	now := routing.Time(time.Minute)
	step := func(ev routing.Event) {
		for _, a := range r.Handle(now, ev) {
			if f, ok := a.(routing.Fetch); ok {
				fmt.Printf("request %d: %s, filled from %s, age limit %v\n", f.ID, names[f.Host], names[f.Source], f.MaxAge)
			}
		}
		now += 10 * time.Millisecond
	}
	ask := func(id uint32) {
		step(routing.Request{ID: id, Object: 49, Group: 3, Deadline: now + 4*time.Second})
	}
	done := func(id uint32, attempt int, res routing.Result, note routing.FillStatus) {
		step(routing.Outcome{ID: id, Attempt: attempt, Result: res, FillStatus: note, RequestDone: res == routing.OK, Elapsed: 10 * time.Millisecond})
	}

	step(routing.EndpointUpdate{Kind: routing.UpdateCached, Endpoints: []routing.Endpoint{
		{Host: 8, Kind: 1, State: routing.Ready}, {Host: 9, Kind: 2, State: routing.Ready},
		{Host: 1, Zone: 1, State: routing.Ready}}})
	ask(1)
	done(1, 0, routing.OK, routing.FillStatusFilled) // cache A now holds the object
	step(routing.EndpointUpdate{Kind: routing.UpdateDelta, Endpoints: []routing.Endpoint{{Host: 2, Zone: 1, State: routing.Ready}}})
	ask(2)
	done(2, 0, routing.Miss, routing.FillStatusSourceMiss) // the sibling has dropped it: up a tier
	done(2, 1, routing.OK, routing.FillStatusFilled)
	step(routing.Purge{Object: 49, Group: 3, Age: 100 * time.Millisecond})
	ask(3)
	done(3, 0, routing.OK, routing.FillStatusFilled)
	step(routing.EndpointUpdate{Kind: routing.UpdateDelta, Endpoints: []routing.Endpoint{{Host: 2, Zone: 1, State: routing.Draining}}})
	ask(4)
	// Output:
	// request 1: cache A, filled from parent, age limit 0s
	// request 2: cache B, filled from cache A, age limit 0s
	// request 2: cache B, filled from parent, age limit 0s
	// request 3: cache B, filled from parent, age limit 110ms
	// request 4: cache A, filled from parent, age limit 140ms
}
