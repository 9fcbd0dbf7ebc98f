package main

import "testing"

// TestRandomEventOrders plays random sequences of events, each from its own seed. In every sequence, each request whose
// client stays connected must get exactly one answer within its deadline, no attempt may begin for a request whose
// client has disconnected, no attempt may go to a cache after its drain was announced, and a request that must not run
// twice may not be executed twice. At the end, no request, connection or buffer may be left.
func TestRandomEventOrders(t *testing.T) {
	served := 0
	for seed := range uint64(300) {
		sim := newSimulation(t, seed)
		for range 1500 {
			sim.step()
		}
		sim.resume(false)
		sim.emptyClientOutput()
		if seed%2 == 0 {
			sim.shutDown()
		}
		for range 100 {
			sim.step()
			sim.resume(false)
		}
		sim.emptyClientOutput()
		sim.finish()
		checkNoResourcesLeft(sim)
		served += sim.served
	}
	if served < 10_000 {
		t.Errorf("got %d served requests, want at least 10000: the sequences cover too little", served)
	}
}

// checkNoResourcesLeft fails the test if the simulation still holds a request, connection or buffer, or if the deadline
// guard had to fail a request.
func checkNoResourcesLeft(sim *simulation) {
	sim.t.Helper()
	requests, clientConns := sim.director.OpenRequests(), sim.downstream.Conns()
	cacheConns, buffers := sim.upstream.NumConns(), sim.buffers.InUse()
	if requests+clientConns+cacheConns+buffers != 0 {
		sim.failf("%d requests, %d client connections, %d cache connections and %d buffers are left, want 0 of each",
			requests, clientConns, cacheConns, buffers)
	}
	if overdue := sim.director.Counters.RequestsOverdue; overdue != 0 {
		sim.failf("%d requests were failed by the deadline guard, want 0", overdue)
	}
}
