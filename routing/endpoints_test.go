package routing

import (
	"testing"
	"time"
)

func TestDrainBoundsTargetAndSource(t *testing.T) {
	env := newSimpleEnv(t, nil)
	for id := uint32(1); id <= 40; id++ {
		env.submitRead(id, uint64(id), 0)
	}
	env.runUntil(env.now + 500*ms)
	for _, host := range []Host{hostEdge, hostParent} {
		endpoint := env.endpoints[host]
		endpoint.State = Draining
		env.updateEndpoints(UpdateDelta, endpoint)
	}
	for id := uint32(101); id <= 140; id++ {
		env.submitRead(id, uint64(id-100), 0)
	}
	env.runUntil(env.now + time.Second)
	env.assertNoViolation()
}

// Where discovery must be asked, a router subscribes at its start and again after a failure.
func TestSubscribesAgainAfterFailure(t *testing.T) {
	env := newSimpleEnv(t, func(settings *Settings) { settings.DiscoveryMode = "subscribe" })
	count := func() (n int) {
		for _, action := range env.actions {
			if subscribe, ok := action.(Subscribe); ok && subscribe.Enabled {
				n++
			}
		}
		return n
	}
	if count() != 1 {
		t.Fatalf("%d subscriptions at the start", count())
	}
	env.handle(EndpointUpdate{Kind: UpdateFailed})
	env.runUntil(env.now + env.settings.Guarantees.PollWithin/2)
	if count() != 2 {
		t.Errorf("%d subscriptions after a failure, want 2", count())
	}
}
