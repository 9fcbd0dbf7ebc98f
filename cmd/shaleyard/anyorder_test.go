package main

import "testing"

// Whatever comes in whatever order, each request has one answer in its time while its client is there; no attempt
// begins for a request whose client has gone; no attempt goes to a cache after the notice that it drains; a request
// that must not run twice does not; and at the end nothing is left.
func TestAnythingInAnyOrder(t *testing.T) {
	served := 0
	for seed := range uint64(300) {
		sim := newSimulation(t, seed)
		for range 1500 {
			sim.step()
		}
		sim.resume(false)
		sim.drainClients()
		if seed%2 == 0 {
			sim.shutDown()
		}
		for range 100 {
			sim.step()
			sim.resume(false)
		}
		sim.drainClients()
		sim.finish()
		checkNoResourcesLeft(sim)
		served += sim.served
	}
	if served < 10_000 {
		t.Errorf("only %d requests were served: little was shown", served)
	}
}

func checkNoResourcesLeft(sim *simulation) {
	sim.t.Helper()
	requests, clientConns := sim.director.OpenRequests(), sim.downstream.Conns()
	cacheConns, buffers := sim.upstream.NumConns(), sim.buffers.InUse()
	if requests+clientConns+cacheConns+buffers != 0 {
		sim.failf("%d requests, %d client connections, %d cache connections and %d buffers are left",
			requests, clientConns, cacheConns, buffers)
	}
	if overdue := sim.director.Counters.RequestsOverdue; overdue != 0 {
		sim.failf("%d requests were ended by the guard", overdue)
	}
}
