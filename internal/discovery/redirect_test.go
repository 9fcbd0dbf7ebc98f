package discovery

import (
	"fmt"
	"os"
	"testing"
	"time"

	"shaleyard/internal/nettest"
)

// A new configuration names another service: all directors are told at once, and each calls it when it is its turn.
// The old one is followed until the new one is up, which may be late, or down at first; from then on nothing of it
// counts, and no event is missed or comes twice.
func TestRedirectKeepsOldWatchUntilNewIsUp(t *testing.T) {
	h := startedHarness(t, 300)
	old := h.open()
	h.receive(t, 0, readyLine+"\n")
	h.watcher.Redirect("b")
	h.receivePurge(t, 2)
	h.advance(450 * time.Millisecond)
	if len(h.dials) != 2 || h.watcher.address != "b" {
		t.Fatalf("%d dials, at %s; want the new one called in its turn", len(h.dials), h.watcher.address)
	}
	h.receivePurge(t, 3) // its dial is under way
	for range 200 {      // it is overloaded: called again, ever less often, though the old watch goes on well
		if last := h.lastDial(); h.watcher.dialing == last {
			last.Failed(os.ErrDeadlineExceeded)
		}
		h.receivePurge(t, h.watcher.revision+1)
		h.advance(200 * time.Millisecond)
	}
	if dials := len(h.dials); dials < 6 || dials > 13 || old.Closed {
		t.Fatalf("%d dials, old watch closed %v; want 6 to 13 in 40 s, beside the old watch", dials, old.Closed)
	}
	for h.watcher.dialing == nil { // until the next call
		h.receivePurge(t, h.watcher.revision+1)
		h.advance(200 * time.Millisecond)
	}
	last := h.watcher.revision
	h.wantSubscription(t, int(last))
	if !old.Closed {
		t.Error("the old watch is not closed")
	}
	late := fmt.Appendf(nil, "{\"n\":%d,\"purge\":{\"group\":1,\"at\":1}}\n", last+1)
	if err := h.dials[0].Data(late); err == nil || h.watcher.revision != last {
		t.Errorf("a late event of the old watch was taken: at %d", h.watcher.revision)
	}
	h.dials[0].Closed()
	dials := len(h.dials)
	h.watcher.Redirect("b")
	h.advance(time.Second)
	if len(h.dials) != dials {
		t.Errorf("%d dials after the same address again, want %d", len(h.dials), dials)
	}
}

// The old service ends while the new one is being dialled: that dial replaces it, and no second one is made.
func TestOldWatchEndsDuringRedirectDial(t *testing.T) {
	h := startedHarness(t, 300)
	h.open()
	h.receive(t, 0, readyLine+"\n")
	h.watcher.Redirect("b")
	h.advance(450 * time.Millisecond)
	h.dials[0].Closed()
	for range 4 {
		h.advance(500 * time.Millisecond)
	}
	h.wantDials(t, 2, "where one is under way")
	h.wantSubscription(t, 1)
	if !h.watcher.Connected() {
		t.Error("not connected")
	}
	h.watcher.Redirect("c") // and redirected once more while a dial is under way: only the last address counts
	h.advance(450 * time.Millisecond)
	h.watcher.Redirect("d")
	h.advance(450 * time.Millisecond)
	if len(h.dials) != 4 || h.watcher.address != "d" {
		t.Fatalf("%d dials, at %s", len(h.dials), h.watcher.address)
	}
	late := &nettest.FakeConn{}
	h.dials[2].Opened(late)
	if !late.Closed || late.Written.Len() != 0 {
		t.Error("a dial that was overtaken is followed")
	}
}

// Operators may name one service after another, or the same again: the next call is put off by none of that.
func TestRedirectsDoNotPostponeCall(t *testing.T) {
	for _, names := range []string{"bc", "b"} {
		t.Run(names, func(t *testing.T) {
			h := startedHarness(t, 300)
			h.open()
			h.dials[0].Closed() // called again within 1.5 s
			for i := 0; i < 20 && len(h.dials) == 1; i++ {
				h.watcher.Redirect(string(names[i%len(names)]))
				h.advance(100 * time.Millisecond)
			}
			if len(h.dials) < 2 {
				t.Errorf("no call in 2 s, redirected to %q again and again", names)
			}
		})
	}
}
