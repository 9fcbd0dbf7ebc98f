package routing

import (
	"testing"
	"time"
)

// Draining servers must get no new attempts, neither as targets nor as sources.
func TestDrainingServersGetNoAttempts(t *testing.T) {
	env := newSimpleEnv(t, nil)
	for id := uint32(1); id <= 40; id++ {
		env.submitObject(id, uint64(id), classBig)
	}
	env.run(500 * ms)
	env.setState(hostEdge, Draining)
	env.setState(hostParent, Draining)
	for id := uint32(101); id <= 140; id++ {
		env.submitObject(id, uint64(id-100), classBig)
	}
	env.run(time.Second)
	env.assertNoViolation()
}

// With DiscoverySubscribe, the router subscribes to the endpoint list at its start, and again within half of
// Guarantees.PollWithin after a failure.
func TestSubscribesAgainAfterFailure(t *testing.T) {
	env := newSimpleEnv(t, func(settings *Settings) { settings.DiscoveryMode = DiscoverySubscribe })
	subscriptions := func() (count int) {
		for _, subscribe := range actionsOf[Subscribe](env.actions) {
			if subscribe.Enabled {
				count++
			}
		}
		return count
	}
	if got := subscriptions(); got != 1 {
		t.Fatalf("got %d subscriptions at the start, want 1", got)
	}
	env.handle(EndpointUpdate{Kind: UpdateFailed})
	env.run(env.settings.Guarantees.PollWithin / 2)
	if got := subscriptions(); got != 2 {
		t.Errorf("got %d subscriptions after a failure, want 2", got)
	}
}
