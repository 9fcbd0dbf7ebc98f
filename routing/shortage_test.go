package routing

import "testing"

// Connects that fail for our own want say nothing of the servers: none is ejected, no limit comes down, what never ran is
// refused in the end, and all is served at once when the want is over.
func TestOwnShortagesEjectNobody(t *testing.T) {
	for _, short := range []Result{LocalResourcesExhausted, Unreachable} {
		env := newSimpleEnv(t, nil)
		before := env.router.localCaches[0].asTarget.concurrencyLimit
		for id := range uint32(20) {
			env.router.Handle(env.now, Request{ID: id, Class: 3 * int(id%2), Object: uint64(id), Deadline: env.now + 4000*ms})
			for _, attempt := range env.router.requests[id].attempts { // the first; further ones stay out
				for _, act := range env.router.Handle(env.now, Outcome{ID: id, Host: attempt.target.Host, Result: short}) {
					if _, failed := act.(Fail); failed {
						t.Errorf("%v: what never ran has failed", short)
					}
				}
			}
		}
		for _, server := range env.router.orderedServers {
			if server.ejected || server.logLatencyRatio != 0 {
				t.Errorf("%v: %x ejected %v, pace %v", short, uint64(server.Host), server.ejected, server.logLatencyRatio)
			}
		}
		if env.router.localCaches[0].asTarget.concurrencyLimit != before {
			t.Errorf("%v: a limit has changed", short)
		}
	}
}
