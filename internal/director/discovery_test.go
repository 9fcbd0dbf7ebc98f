package director

import (
	"testing"
	"time"

	"shaleyard/routing"
)

// A discovery event must cancel the attempts that it affects and of which nothing has been written, so that the router
// makes a new decision. Otherwise, an attempt that waits for its connection could be written later than the
// deployment's rules allow after the event. An attempt that has been written continues.
func TestDiscoveryEventCancelsAffectedAttempts(t *testing.T) {
	update := func(endpoint Endpoint) func(*harness) {
		return func(h *harness) { h.director.UpdateEndpoints(false, 2, []Endpoint{endpoint}) }
	}
	for _, test := range []struct {
		name           string
		event          func(*harness)
		affectsAttempt bool
		unusable       bool // c1 must not get another attempt
	}{
		{
			name:           "target drains",
			event:          update(cacheEndpoint("c1", routing.Draining, 0)),
			affectsAttempt: true,
			unusable:       true,
		},
		{
			name:           "target has gone",
			event:          update(cacheEndpoint("c1", routing.Gone, 0)),
			affectsAttempt: true,
			unusable:       true,
		},
		{name: "target has restarted", event: func(h *harness) {
			h.director.UpdateEndpoints(false, 2, []Endpoint{cacheEndpoint("c1", routing.Ready, h.now)})
		}, affectsAttempt: true},
		{name: "target is not in a full list", event: func(h *harness) {
			h.director.UpdateEndpoints(true, 2, []Endpoint{cacheEndpoint("c2", routing.Ready, 0)})
		}, affectsAttempt: true},
		{name: "source drains", event: update(originEndpoint(routing.Draining)), affectsAttempt: true},
		{name: "object is purged", event: func(h *harness) {
			h.director.Purge(Purge{ObjectKey: objectKey, IssuedAt: h.now})
		}, affectsAttempt: true},
		{name: "group is purged", event: func(h *harness) {
			h.director.Purge(Purge{IssuedAt: h.now})
		}, affectsAttempt: true},
		{name: "another object is purged", event: func(h *harness) {
			h.director.Purge(Purge{ObjectKey: objectKey + 1, IssuedAt: h.now})
		}},
		{name: "another cache drains", event: update(cacheEndpoint("c2", routing.Draining, 0))},
	} {
		for _, unwritten := range []bool{true, false} {
			name := test.name + ", written"
			if unwritten {
				name = test.name + ", unwritten"
			}
			t.Run(name, func(t *testing.T) {
				h := newHarnessWithWaitingAttempt(t, unwritten)
				if h.sentAttempts[0].request.Source != "o" {
					t.Fatalf("source of the first attempt = %q, want \"o\"", h.sentAttempts[0].request.Source)
				}
				first := h.sentAttempts[0].handle
				test.event(h)
				_, inFlight := h.director.attempts.Get(first)
				cancelled := test.affectsAttempt && unwritten
				if inFlight == cancelled {
					t.Errorf("first attempt in flight = %v, want %v", inFlight, !cancelled)
				}
				for _, sent := range h.sentAttempts[1:] {
					if test.unusable && sent.host == hostForName("c1") {
						t.Error("another attempt was sent to c1, which is unusable")
					}
				}
			})
		}
	}
}

// A purge cancels an attempt that waits for its connection. The attempt that replaces it must not accept a copy from
// before the purge.
func TestPurgeReplacesWaitingAttempt(t *testing.T) {
	h := newHarnessWithWaitingAttempt(t, true)
	h.director.Purge(Purge{ObjectKey: objectKey, IssuedAt: h.now - time.Millisecond})
	if len(h.sentAttempts) != 2 || h.sentAttempts[0].request.MaxAge != 0 ||
		h.sentAttempts[1].request.MaxAge != time.Millisecond {
		t.Fatalf("sent %v, want a second attempt with a MaxAge of 1ms", h.sentAttempts)
	}
}

// The host must depend on the endpoint's name alone, and in the same way in every director. The router must treat a new
// cache at the address of an earlier one as another server, and all directors must select the same cache for an object.
func TestHostDependsOnNameAlone(t *testing.T) {
	if got := hostForName("s-1"); got != 0xda195c3f3e58 { // FNV-1a of the name, folded to 48 bits
		t.Errorf("hostForName(\"s-1\") = %x, want da195c3f3e58", got)
	}
	if hostForName("s-1") == hostForName("s-2") {
		t.Error("hostForName returns the same host for s-1 and s-2")
	}
}
