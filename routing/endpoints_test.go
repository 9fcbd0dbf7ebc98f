package routing

import (
	"testing"
	"time"
)

func TestDrainBoundsTargetAndSource(t *testing.T) {
	env := newSimpleEnv(t, nil)
	for id := uint32(1); id <= 40; id++ {
		env.submitRead(id, uint64(id), classBig)
	}
	env.run(500 * ms)
	env.setState(hostEdge, Draining)
	env.setState(hostParent, Draining)
	for id := uint32(101); id <= 140; id++ {
		env.submitRead(id, uint64(id-100), classBig)
	}
	env.run(time.Second)
	env.assertNoViolation()
}

// Where discovery must be subscribed to, a router does so at its start, and again after a failure.
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
		t.Fatalf("%d subscriptions at the start", got)
	}
	env.handle(EndpointUpdate{Kind: UpdateFailed})
	env.run(env.settings.Guarantees.PollWithin / 2)
	if got := subscriptions(); got != 2 {
		t.Errorf("%d subscriptions after a failure, want 2", got)
	}
}
