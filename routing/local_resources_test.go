package routing

import "testing"

// A connection that fails for lack of local resources, or for lack of a route to the server, is no evidence about the
// server. Such failures must not eject a server or lower a limit, and a request that never executed must not end with a
// Fail.
func TestLocalResourceErrorsDoNotEject(t *testing.T) {
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
				for _, attempt := range router.requests[id].attempts { // the first attempt; retries stay in flight
					outcome := Outcome{ID: id, Host: attempt.target.Host, Result: result}
					for range actionsOf[Fail](router.Handle(env.now, outcome)) {
						t.Error("got a Fail for a request that never executed")
					}
				}
			}
			for _, server := range router.orderedServers {
				if server.ejected || server.logLatencyRatio != 0 {
					t.Errorf("server %x: got ejected = %v and log latency ratio %v, want false and 0",
						uint64(server.Host), server.ejected, server.logLatencyRatio)
				}
			}
			if load.concurrencyLimit != before {
				t.Error("concurrency limit has changed")
			}
		})
	}
}
