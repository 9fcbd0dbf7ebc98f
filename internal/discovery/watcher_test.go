package discovery

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"shaleyard/internal/config"
)

// Events of the configuration and of the watch reach the sink in order, also if each byte arrives separately.
// Heartbeats, events that were already applied and endpoints in an unknown zone do not.
func TestEventsReachTheSink(t *testing.T) {
	h := newHarness()
	bootstrap := config.Bootstrap{Revision: 1, Events: []json.RawMessage{[]byte(readyLine)}}
	if err := h.watcher.Bootstrap(bootstrap); err != nil {
		t.Fatal(err)
	}
	h.watcher.Start()
	h.advance(0)
	h.wantSubscription(t, 1)
	received := strings.Join([]string{
		`{"n":1}`,
		`1`,
		`{"n":2,"purge":{"key":"00000000000000ff","at":9}}`,
		`{"n":3,"purge":{"group":17,"at":10}}`,
		readyLine,
		unknownZoneLine,
	}, "\n") + "\n"
	for i := range len(received) { // one byte at a time
		if err := h.dials[0].Data([]byte(received[i : i+1])); err != nil {
			t.Fatal(err)
		}
	}
	want := []string{"true 7 s-1 127.0.0.1:80 1 0 ready 5ms", "purge 255 0 9ms", "purge 0 17 10ms"}
	if diff := cmp.Diff(want, h.sinkCalls); diff != "" {
		t.Error(diff)
	}
	if h.watcher.revision != 4 || h.watcher.Counters.SkippedEndpoints != 1 {
		t.Errorf("got last applied revision %d, %d endpoints skipped, want 4, 1",
			h.watcher.revision, h.watcher.Counters.SkippedEndpoints)
	}
}

// An invalid line, such as one after a gap in the revisions, must lead to a new subscription after the last applied
// event.
func TestBadLineReconnects(t *testing.T) {
	for _, tc := range []struct{ name, line string }{
		{"invalid JSON", "nonsense"},
		{"no revision", `{"purge":{"group":1,"at":1}}`},
		{"gap", `{"n":3,"purge":{"group":1,"at":1}}`},
		{"heartbeat ahead", "2"},
		{"heartbeat ahead as an object", `{"n":2}`},
		{"invalid purge key", `{"n":1,"purge":{"key":"zz","at":1}}`},
		{"purge without key or group", `{"n":1,"purge":{"at":1}}`},
		{"unknown status", strings.Replace(readyLine, "ready", "odd", 1)},
		{"invalid address", strings.Replace(readyLine, "127.0.0.1:80", "home", 1)},
		{"invalid name", strings.Replace(readyLine, "s-1", "s,up=1", 1)},
		{"too long", strings.Repeat("x", 2000)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := startedHarness(t, 1)
			h.open()
			if err := h.dials[0].Data([]byte(tc.line + "\n")); err == nil {
				t.Error("got no error, want one")
			}
			h.dials[0].Closed()
			h.advance(1500 * time.Millisecond)
			h.wantDials(t, 2, "after the line")
			h.wantSubscription(t, 0)
		})
	}
}

// Events count as notified while no watch is up. A watch that received usable lines is replaced in the director's slot,
// which is at once for a single director. A watch that closes without a usable line is replaced later.
func TestLostWatchIsReplaced(t *testing.T) {
	h := startedHarness(t, 1)
	h.open()
	h.receiveHeartbeats(t, 4)
	h.dials[0].Closed()
	h.advance(0)
	h.wantDials(t, 2, "after the loss of a watch that received usable lines")
	h.open()
	h.dials[1].Closed()
	h.advance(100 * time.Millisecond)
	if len(h.dials) != 2 {
		t.Errorf("got %d dials after a watch that closed without a line, want 2", len(h.dials))
	}
	h.advance(1400 * time.Millisecond)
	if len(h.dials) != 3 {
		t.Errorf("got %d dials after the wait, want 3", len(h.dials))
	}
}

// When all directors of a fleet lose the service at once, each waits for its own slot, which is at most 0.4 s away, so
// that purges can still be applied in time.
func TestFleetReconnectWaitsForSlot(t *testing.T) {
	h := startedHarness(t, 300)
	h.open()
	h.receiveHeartbeats(t, 4)
	h.dials[0].Closed()
	h.advance(0)
	if len(h.dials) != 1 {
		t.Errorf("got %d dials right after the loss, want 1", len(h.dials))
	}
	h.advance(400 * time.Millisecond)
	if len(h.dials) != 2 {
		t.Errorf("got %d dials 0.4 s after the loss, want 2", len(h.dials))
	}
}

// Refused dials and timeouts have different waits: the waits after timeouts are much longer.
func TestRefusedDialsAreRetriedSoonerThanTimeouts(t *testing.T) {
	callsIn20s := func(err error) int {
		h := startedHarness(t, 300)
		for range 200 {
			if last := h.lastDial(); last.dialing() {
				last.Failed(err)
			}
			h.advance(100 * time.Millisecond)
		}
		return len(h.dials)
	}
	refused := callsIn20s(fmt.Errorf("dial: %w", syscall.ECONNREFUSED))
	timedOut := callsIn20s(os.ErrDeadlineExceeded)
	if refused < 12 || refused > 20 || timedOut > 8 || timedOut < 4 {
		t.Errorf("got %d refused and %d timed out calls in 20 s, want 12 to 20 and 4 to 8", refused, timedOut)
	}
}

// An invalid line on a watch that had received usable lines counts as a break: the events after the last applied one
// are requested soon, also if the watch was short, because there may be a purge among them.
func TestInvalidLineOnUsableWatchReconnectsSoon(t *testing.T) {
	h := startedHarness(t, 300)
	h.open()
	h.receive(t, 0, readyLine+"\n")
	if err := h.dials[0].Data([]byte("{\"n\":2,\"pur\n")); err == nil {
		t.Error("got no error for an incomplete event, want one")
	}
	h.advance(400 * time.Millisecond)
	h.wantDials(t, 2, "0.4 s after a bad line")
	h.wantSubscription(t, 1)
}

// A list that is cut off by the end of the connection is not applied; the next call requests the events after the last
// complete one.
func TestTruncatedListIsNotApplied(t *testing.T) {
	h := startedHarness(t, 1)
	h.open()
	h.receive(t, 0, readyLine[:len(readyLine)/2])
	h.dials[0].Closed()
	h.advance(1500 * time.Millisecond)
	h.wantSubscription(t, 0)
	if len(h.sinkCalls) != 0 {
		t.Errorf("got %v, want no calls of the sink", h.sinkCalls)
	}
	if h.watcher.Counters.WatchEnds[EndUnusable] != 1 {
		t.Errorf("got ends %v, want one unusable", h.watcher.Counters.WatchEnds)
	}
}

// The events of a configuration must each have a revision, none higher than the revision of the configuration.
func TestBootstrapRejectsInvalidRevisions(t *testing.T) {
	for _, tc := range []struct {
		name      string
		bootstrap config.Bootstrap
	}{
		{"events beyond the revision", config.Bootstrap{Revision: 0, Events: []json.RawMessage{[]byte(readyLine)}}},
		{"event without a revision", config.Bootstrap{Revision: 9, Events: []json.RawMessage{[]byte("{}")}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := newHarness().watcher.Bootstrap(tc.bootstrap)
			if err == nil || !strings.HasPrefix(err.Error(), "known.") {
				t.Errorf("got error %v, want one that starts with known.", err)
			}
		})
	}
}
