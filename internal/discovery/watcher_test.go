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
	for i := range len(received) { // byte by byte
		if err := h.dials[0].Data([]byte(received[i : i+1])); err != nil {
			t.Fatal(err)
		}
	}
	want := []string{"true 7 s-1 127.0.0.1:80 1 0 ready 5ms", "purge 255 0 9ms", "purge 0 17 10ms"}
	if diff := cmp.Diff(want, h.notified); diff != "" {
		t.Error(diff)
	}
	if h.watcher.revision != 4 || h.watcher.Counters.SkippedEndpoints != 1 {
		t.Errorf("at event %d, %d endpoints skipped", h.watcher.revision, h.watcher.Counters.SkippedEndpoints)
	}
}

// What can't be used, and a gap in the numbers, must lead to a new subscription behind the last good event.
func TestBadLineReconnects(t *testing.T) {
	for _, tc := range []struct{ name, line string }{
		{"no JSON", "nonsense"},
		{"no revision", `{"purge":{"group":1,"at":1}}`},
		{"gap", `{"n":3,"purge":{"group":1,"at":1}}`},
		{"heartbeat ahead", "2"},
		{"heartbeat ahead as an object", `{"n":2}`},
		{"invalid purge key", `{"n":1,"purge":{"key":"zz","at":1}}`},
		{"purge of nothing", `{"n":1,"purge":{"at":1}}`},
		{"unknown status", strings.Replace(readyLine, "ready", "odd", 1)},
		{"invalid address", strings.Replace(readyLine, "127.0.0.1:80", "home", 1)},
		{"invalid name", strings.Replace(readyLine, "s-1", "s,up=1", 1)},
		{"too long", strings.Repeat("x", 2000)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := startedHarness(t, 1)
			h.open()
			if err := h.dials[0].Data([]byte(tc.line + "\n")); err == nil {
				t.Error("was taken")
			}
			h.dials[0].Closed()
			h.advance(1500 * time.Millisecond)
			h.wantDials(t, 2, "after the line")
			h.wantSubscription(t, 0)
		})
	}
}

// A watch that is cut off brings neither lines nor its end: its events count as notified all the same.
func TestSilentWatchIsReplaced(t *testing.T) {
	h := startedHarness(t, 1)
	link := h.open()
	for range 5 {
		h.advance(time.Second)
		h.receive(t, 0, "0\n")
	}
	h.advance(time.Second)
	if link.Closed {
		t.Error("closed though it brought lines")
	}
	h.advance(400 * time.Millisecond)
	h.advance(0)
	if !link.Closed || len(h.dials) != 2 || h.watcher.Connected() {
		t.Errorf("closed %v, %d dials, connected %v", link.Closed, len(h.dials), h.watcher.Connected())
	}
}

// While no watch is up, events count as notified: a productive watch is replaced in our turn, which is at once for a
// director alone; one that closes without a line, later.
func TestLostWatchIsReplaced(t *testing.T) {
	h := startedHarness(t, 1)
	h.open()
	h.receiveHeartbeats(t, 4)
	h.dials[0].Closed()
	h.advance(0)
	h.wantDials(t, 2, "after the loss of a productive watch")
	h.open()
	h.dials[1].Closed()
	h.advance(100 * time.Millisecond)
	if len(h.dials) != 2 {
		t.Errorf("%d dials after a watch that closed without a line, want 2", len(h.dials))
	}
	h.advance(1400 * time.Millisecond)
	if len(h.dials) != 3 {
		t.Errorf("%d dials after the wait, want 3", len(h.dials))
	}
}

// All directors of a fleet lose the service at once. This one waits for its turn, and no longer than the rule on
// purges leaves.
func TestFleetReconnectWaitsForSlot(t *testing.T) {
	h := startedHarness(t, 300)
	h.open()
	h.receiveHeartbeats(t, 4)
	h.dials[0].Closed()
	h.advance(0)
	if len(h.dials) != 1 {
		t.Errorf("back at once")
	}
	h.advance(400 * time.Millisecond)
	if len(h.dials) != 2 {
		t.Errorf("%d dials 0.4 s after the loss, want 2", len(h.dials))
	}
}

// Refusals and timeouts are told apart: a call after timeouts comes far later.
func TestRefusedDialsAreRetriedSoonerThanTimeouts(t *testing.T) {
	callsIn20s := func(err error) int {
		h := startedHarness(t, 300)
		for range 200 {
			if last := h.lastDial(); h.watcher.dialing == last {
				last.Failed(err)
			}
			h.advance(100 * time.Millisecond)
		}
		return len(h.dials)
	}
	refused := callsIn20s(fmt.Errorf("dial: %w", syscall.ECONNREFUSED))
	timedOut := callsIn20s(os.ErrDeadlineExceeded)
	if refused < 12 || refused > 20 || timedOut > 8 || timedOut < 4 {
		t.Errorf("in 20 s %d calls of a service that refuses, %d of one that times out", refused, timedOut)
	}
}

// A line that can't be used on a watch that was productive until then is a break: the events behind it are asked for at
// once, also where the watch was young, as a purge may be among them.
func TestInvalidLineOnUsableWatchReconnectsSoon(t *testing.T) {
	h := startedHarness(t, 300)
	h.open()
	h.receive(t, 0, readyLine+"\n")
	if err := h.dials[0].Data([]byte("{\"n\":2,\"pur\n")); err == nil {
		t.Error("half an event was taken")
	}
	h.advance(400 * time.Millisecond)
	h.wantDials(t, 2, "0.4 s after a bad line")
	h.wantSubscription(t, 1)
}

// A list that breaks off half-way brings nothing; the next call comes behind the last whole event.
func TestTruncatedListIsNotApplied(t *testing.T) {
	h := startedHarness(t, 1)
	h.open()
	h.receive(t, 0, readyLine[:len(readyLine)/2])
	h.dials[0].Closed()
	h.advance(1500 * time.Millisecond)
	h.wantSubscription(t, 0)
	if len(h.notified) != 0 {
		t.Errorf("the sink got %v", h.notified)
	}
	if h.watcher.Counters.WatchEnds[EndUnusable] != 1 {
		t.Errorf("ends %v, want one unusable", h.watcher.Counters.WatchEnds)
	}
}

// A watch that opens and hangs half-way through a list is of a service that is overloaded.
func TestStallWithinListIsATimeout(t *testing.T) {
	h := startedHarness(t, 1)
	link := h.open()
	h.receive(t, 0, readyLine[:len(readyLine)/2])
	h.advance(1300 * time.Millisecond)
	if !link.Closed || h.watcher.Counters.WatchEnds[EndTimedOut] != 1 {
		t.Errorf("closed %v, ends %v, want one timed out", link.Closed, h.watcher.Counters.WatchEnds)
	}
}

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
				t.Errorf("error %v", err)
			}
		})
	}
}
