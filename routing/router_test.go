package routing

import (
	"testing"
	"time"
)

// Events of unknown types, invalid peer messages, events about unknown requests and an empty endpoint list must not
// cause any action.
func TestUnknownEventsAreIgnored(t *testing.T) {
	env := newSimpleEnv(t, nil)
	for _, event := range []Event{
		nil,
		7,
		Outcome{ID: 99},
		RequestClosed{ID: 99},
		TimerFired{Token: 1<<32 | 99},
		StreamStarted{ID: 99},
		PeerMessage{From: 1, Data: []byte("junk")},
		ProbeResult{},
		EndpointUpdate{Kind: UpdateFull},
	} {
		if got := env.router.Handle(env.now, event); len(got) != 0 {
			t.Errorf("event %T: got actions %v, want none", event, got)
		}
	}
}

// The tables of the router must stay bounded however many objects, purges and servers it has seen.
func TestMemoryIsBounded(t *testing.T) {
	env := newSimpleEnv(t, nil)
	router := env.router
	for i := range 3 * maxTableEntries {
		id := uint32(i + 1)
		env.submitObject(id, uint64(i), classSmall)
		env.run(100 * time.Microsecond)
		router.Handle(env.now, Purge{Object: uint64(i + 1)})
		delete(env.requests, id-5000)
	}
	env.run(5 * time.Second)
	for i := range 1000 {
		shortLived := Endpoint{Host: Host(10000 + i), Zone: 1, State: Ready, Weight: 1}
		env.updateEndpoints(UpdateFull, append(testEndpoints(4), shortLived)...)
	}
	if entries := len(router.currentLocations) + len(router.previousLocations); entries > 2*maxTableEntries {
		t.Errorf("got %d location table entries, want at most %d", entries, 2*maxTableEntries)
	}
	if purges := len(router.purges); purges > maxTableEntries {
		t.Errorf("got %d purges, want at most %d", purges, maxTableEntries)
	}
	if servers := len(router.servers); servers > 20 {
		t.Errorf("got %d servers, want at most 20", servers)
	}
	if len(router.requests) != 0 || len(router.attempts) != 0 {
		t.Errorf("got %d requests and %d attempts, want none", len(router.requests), len(router.attempts))
	}
}
