package discovery

import (
	"fmt"
	"os"
	"testing"
	"time"

	"shaleyard/internal/nettest"
)

// When a new configuration names another service, all directors receive it at once, and each calls the new service in
// its own slot. The old watch stays active until the new one is open, which takes long if the new service is slow or
// down. After that, events of the old watch are ignored. No event is missed or applied twice.
func TestRedirectKeepsOldWatchUntilNewIsUp(t *testing.T) {
	h := startedHarness(t, 300)
	old := h.open()
	h.receive(t, 0, readyLine+"\n")
	h.watcher.Redirect("b")
	h.receivePurge(t, 2)
	h.advance(450 * time.Millisecond)
	if len(h.dials) != 2 || h.watcher.address != "b" {
		t.Fatalf("got %d dials, the last to %s, want 2, to b", len(h.dials), h.watcher.address)
	}
	h.receivePurge(t, 3) // the dial to the new service is in progress
	for range 200 {      // the new service is overloaded: calls get rarer although the old watch stays healthy
		if last := h.lastDial(); last.dialing() {
			last.Failed(os.ErrDeadlineExceeded)
		}
		h.receivePurge(t, h.watcher.revision+1)
		h.advance(200 * time.Millisecond)
	}
	if dials := len(h.dials); dials < 6 || dials > 13 || old.Closed {
		t.Fatalf("got %d dials in 40 s, old watch closed %v, want 6 to 13, false", dials, old.Closed)
	}
	for !h.lastDial().dialing() { // until the next call
		h.receivePurge(t, h.watcher.revision+1)
		h.advance(200 * time.Millisecond)
	}
	last := h.watcher.revision
	h.wantSubscription(t, int(last))
	if !old.Closed {
		t.Error("the old watch is open after the new one was opened, want it closed")
	}
	late := fmt.Appendf(nil, "{\"n\":%d,\"purge\":{\"group\":1,\"at\":1}}\n", last+1)
	if err := h.dials[0].Data(late); err == nil || h.watcher.revision != last {
		t.Errorf("got error %v, revision %d for an event of the old watch, want an error, %d",
			err, h.watcher.revision, last)
	}
	h.dials[0].Closed()
	dials := len(h.dials)
	h.watcher.Redirect("b")
	h.advance(time.Second)
	if len(h.dials) != dials {
		t.Errorf("got %d dials after a redirect to the same address, want %d", len(h.dials), dials)
	}
}

// If the old watch ends while the new service is being dialled, that dial replaces it and no second dial is made.
func TestOldWatchEndsDuringRedirectDial(t *testing.T) {
	h := startedHarness(t, 300)
	h.open()
	h.receive(t, 0, readyLine+"\n")
	h.watcher.Redirect("b")
	h.advance(450 * time.Millisecond)
	h.dials[0].Closed()
	for range 9 { // less than the time after which the dial is overdue
		h.advance(100 * time.Millisecond)
	}
	h.wantDials(t, 2, "after the old watch ended during a dial")
	h.wantSubscription(t, 1)
	if !h.watcher.Connected() {
		t.Error("got connected false, want true")
	}
	h.watcher.Redirect("c") // redirected again during a dial: only the last address counts
	h.advance(450 * time.Millisecond)
	h.watcher.Redirect("d")
	h.advance(450 * time.Millisecond)
	if len(h.dials) != 4 || h.watcher.address != "d" {
		t.Fatalf("got %d dials, the last to %s, want 4, to d", len(h.dials), h.watcher.address)
	}
	late := &nettest.FakeConn{}
	h.dials[2].Opened(late)
	if !late.Closed || late.Written.Len() != 0 {
		t.Error("a superseded dial was opened and used, want it closed without a request")
	}
}

// Repeated redirects, to alternating addresses or to the same one, do not postpone the next call.
func TestRedirectsDoNotPostponeCall(t *testing.T) {
	for _, names := range []string{"bc", "b"} {
		t.Run(names, func(t *testing.T) {
			h := startedHarness(t, 300)
			h.open()
			h.dials[0].Closed() // the next call is due within 1.5 s
			for i := 0; i < 20 && len(h.dials) == 1; i++ {
				h.watcher.Redirect(string(names[i%len(names)]))
				h.advance(100 * time.Millisecond)
			}
			if len(h.dials) < 2 {
				t.Errorf("got no call in 2 s of redirects to %q in turn, want one", names)
			}
		})
	}
}
