package discovery

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A service that comes back with a revision behind ours is given time to catch up; one that stays behind numbers its
// events anew. Then its list may be older than ours: an endpoint that was draining stays so, and one that has been
// restarted does not.
func TestOlderListDoesNotUndoADrain(t *testing.T) {
	h := startedHarness(t, 1)
	h.open()
	h.receive(t, 0, readyLine+"\n"+drainingLine+"\n")
	h.notified = nil
	h.dials[0].Closed()
	for range maxWatchesBehind {
		h.advance(7 * time.Second)
		last := len(h.dials) - 1
		h.wantSubscription(t, 2)
		h.receive(t, last, "1\n")
		h.advance(time.Second)
		h.receive(t, last, "1\n") // a heartbeat that brings no news
		h.advance(300 * time.Millisecond)
		if h.watcher.active == h.dials[last] {
			t.Fatal("a service that stays behind is followed for good")
		}
	}
	if len(h.notified) != 0 {
		t.Fatalf("the sink got %v of a service behind", h.notified)
	}
	h.advance(7 * time.Second)
	h.wantSubscription(t, 0)
	last := len(h.dials) - 1
	h.receive(t, last, "1\n"+olderListLine+"\n1\n")
	if diff := cmp.Diff([]string{"false 6 s-1 127.0.0.1:80 1 0 draining 5ms"}, h.notified); diff != "" {
		t.Error(diff)
	}
	restartedLine := strings.Replace(drainingLine, "draining", "ready", 1)
	restartedLine = strings.Replace(restartedLine, `"since_ms":5`, `"since_ms":9`, 1)
	h.receive(t, last, restartedLine+"\n")
	if diff := cmp.Diff("false 8 s-1 127.0.0.1:80 1 0 ready 9ms", h.notified[1]); diff != "" {
		t.Error(diff)
	}
	counters := &h.watcher.Counters
	if counters.RevisionBehind != maxWatchesBehind || counters.FullResyncs != 1 || counters.RetainedDrains != 1 {
		t.Errorf("counters %+v", *counters)
	}
}

// A replica that lags and catches up brings the events between without a new call.
func TestWatchIsKeptWhenServiceCatchesUp(t *testing.T) {
	h := startedHarness(t, 1)
	h.open()
	h.receive(t, 0, readyLine+"\n")
	h.dials[0].Closed()
	h.advance(1500 * time.Millisecond)
	h.open()
	h.receive(t, 1, "0\n1\n"+drainingLine+"\n2\n")
	if h.watcher.revision != 2 {
		t.Errorf("at event %d", h.watcher.revision)
	}
	h.advance(time.Second)
	if len(h.dials) != 2 || !h.watcher.Connected() {
		t.Errorf("%d dials, connected %v", len(h.dials), h.watcher.Connected())
	}
}
