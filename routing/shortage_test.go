package routing

import "testing"

// Connections that fail for want of local resources say nothing of the servers: none is ejected, no limit comes down,
// and what never executed is rejected in the end.
func TestOwnShortagesEjectNobody(t *testing.T) {
	for _, result := range []Result{LocalResourcesExhausted, Unreachable} {
		t.Run(result.String(), func(t *testing.T) {
			env := newSimpleEnv(t, nil)
			router := env.router
			load := &router.localCaches[0].asTarget
			before := load.concurrencyLimit
			for id := range uint32(20) {
				class := []int{classBig, classUnsafe}[id%2]
				request := Request{ID: id, Class: class, Object: uint64(id), Deadline: env.now + 4000*ms}
				router.Handle(env.now, request)
				for _, attempt := range router.requests[id].attempts { // the first; retries stay in flight
					outcome := Outcome{ID: id, Host: attempt.target.Host, Result: result}
					for range actionsOf[Fail](router.Handle(env.now, outcome)) {
						t.Error("what never executed has failed")
					}
				}
			}
			for _, server := range router.orderedServers {
				if server.ejected || server.logLatencyRatio != 0 {
					t.Errorf("%x ejected %v, log latency ratio %v",
						uint64(server.Host), server.ejected, server.logLatencyRatio)
				}
			}
			if load.concurrencyLimit != before {
				t.Error("a limit has changed")
			}
		})
	}
}
