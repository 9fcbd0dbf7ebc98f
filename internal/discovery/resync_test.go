package discovery

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A service that returns with a revision before the last applied event has time to catch up. If it stays behind, it has
// begun again at revision 1, and all events are requested. Its list may then be older than the last list that the
// director received: the older list must not make a draining endpoint ready again, unless that endpoint has been
// restarted.
func TestOlderListDoesNotUndoADrain(t *testing.T) {
	h := startedHarness(t, 1)
	h.open()
	h.receive(t, 0, readyLine+"\n"+drainingLine+"\n")
	h.sinkCalls = nil
	h.dials[0].Closed()
	for range maxWatchesBehind {
		h.advance(7 * time.Second)
		last := len(h.dials) - 1
		h.wantSubscription(t, 2)
		h.receive(t, last, "1\n")
		h.advance(time.Second)
		h.receive(t, last, "1\n") // still behind
		h.advance(300 * time.Millisecond)
		if h.watcher.Connected() {
			t.Fatal("the watch is in time although the service stays behind, want it overdue")
		}
	}
	if len(h.sinkCalls) != 0 {
		t.Fatalf("got %v from a service that is behind, want no calls of the sink", h.sinkCalls)
	}
	h.advance(7 * time.Second)
	h.wantSubscription(t, 0)
	last := len(h.dials) - 1
	h.receive(t, last, "1\n"+olderListLine+"\n1\n")
	if diff := cmp.Diff([]string{"false 6 s-1 127.0.0.1:80 1 0 draining 5ms"}, h.sinkCalls); diff != "" {
		t.Error(diff)
	}
	restartedLine := strings.Replace(drainingLine, "draining", "ready", 1)
	restartedLine = strings.Replace(restartedLine, `"since_ms":5`, `"since_ms":9`, 1)
	h.receive(t, last, restartedLine+"\n")
	if diff := cmp.Diff("false 8 s-1 127.0.0.1:80 1 0 ready 9ms", h.sinkCalls[1]); diff != "" {
		t.Error(diff)
	}
	counters := &h.watcher.Counters
	if counters.RevisionBehind != maxWatchesBehind || counters.FullResyncs != 1 || counters.RetainedDrains != 1 {
		t.Errorf("got counters %+v, want %d RevisionBehind, 1 FullResyncs, 1 RetainedDrains",
			*counters, maxWatchesBehind)
	}
}

// reconnectedHarness returns the harness of a single director whose second watch is open, after one that brought
// readyLine and was closed.
func reconnectedHarness(t *testing.T) *harness {
	t.Helper()
	h := startedHarness(t, 1)
	h.open()
	h.receive(t, 0, readyLine+"\n")
	h.dials[0].Closed()
	h.advance(1500 * time.Millisecond)
	h.open()
	return h
}

// A lagging replica that catches up sends the missing events on the same watch, without a new call.
func TestWatchIsKeptWhenServiceCatchesUp(t *testing.T) {
	h := reconnectedHarness(t)
	h.receive(t, 1, "0\n1\n"+drainingLine+"\n2\n")
	if h.watcher.revision != 2 {
		t.Errorf("got last applied revision %d, want 2", h.watcher.revision)
	}
	h.advance(time.Second)
	if len(h.dials) != 2 || !h.watcher.Connected() {
		t.Errorf("got %d dials, connected %v, want 2, true", len(h.dials), h.watcher.Connected())
	}
}

// A lagging replica that catches up when its watch is overdue, and has been called again, brings the missing events.
func TestLaggingCallMayCatchUpLater(t *testing.T) {
	h := reconnectedHarness(t)
	h.receive(t, 1, "0\n")
	for len(h.dials) == 2 { // until the next call
		h.advance(10 * time.Millisecond)
	}
	h.open()
	h.receive(t, 2, "0\n")
	h.receive(t, 1, "1\n"+drainingLine+"\n2\n")
	if h.watcher.revision != 2 || h.dials[1].ended || !h.dials[2].ended {
		t.Errorf("got last applied revision %d, the first watch ended %v, the second %v, want 2, false, true",
			h.watcher.revision, h.dials[1].ended, h.dials[2].ended)
	}
	if behind := h.watcher.watchesBehind; behind != 0 {
		t.Errorf("got %d consecutive watches behind, want 0", behind)
	}
}
