package discovery

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"shaleyard/internal/nettest"
)

// silentHarness returns a harness whose first call received heartbeats for 5 s and has been silent since, for long
// enough that the second call is being dialled.
func silentHarness(t *testing.T) (h *harness, first *nettest.FakeConn) {
	t.Helper()
	h = startedHarness(t, 1)
	first = h.open()
	h.receiveHeartbeats(t, 5)
	h.advance(400 * time.Millisecond)
	h.advance(0)
	h.wantDials(t, 2, "0.4 s after a heartbeat is missing")
	return h, first
}

// When the network fails, a watch receives neither lines nor a close, while the service's events still count as
// notified. After WatchSilenceTimeout the service is called again. The silent watch stays open until the other one has
// caught up with the service, because the service may resume it first.
func TestSilentWatchIsReplaced(t *testing.T) {
	h, first := silentHarness(t)
	if first.Closed || h.watcher.Connected() {
		t.Errorf("got closed %v, connected %v, want false, false", first.Closed, h.watcher.Connected())
	}
	second := h.wantSubscription(t, 0)
	h.receive(t, 1, purgeLine(1))
	if first.Closed {
		t.Error("the silent watch was closed before the other one had caught up, want it open")
	}
	h.receive(t, 1, heartbeatLine(1))
	if !first.Closed || second.Closed || !h.watcher.Connected() {
		t.Errorf("got the first closed %v, the second %v, connected %v, want true, false, true",
			first.Closed, second.Closed, h.watcher.Connected())
	}
	if err := h.dials[0].Data([]byte(purgeLine(1))); !errors.Is(err, errWatchReplaced) {
		t.Errorf("got error %v for a late line of the closed watch, want %v", err, errWatchReplaced)
	}
}

// Purged copies were served after the service had stopped for 4 s: the watch on which it resumed had been closed as
// silent. All calls that are silent stay open, and their events are applied, whichever call the service resumes.
func TestEventsOfSilentCallsAreApplied(t *testing.T) {
	for resumed, name := range []string{"the watch that worked before", "the second call", "the third call"} {
		t.Run(name, func(t *testing.T) {
			h, _ := silentHarness(t)
			h.open()
			for len(h.dials) == 2 { // until the third call
				h.advance(10 * time.Millisecond)
			}
			h.open()
			h.receive(t, resumed, purgeLine(1)+purgeLine(2)+heartbeatLine(2))
			want := []string{"purge 0 1 1ms", "purge 0 2 2ms"}
			if diff := cmp.Diff(want, h.sinkCalls); diff != "" {
				t.Error(diff)
			}
			for call, dial := range h.dials {
				if dial.ended != (call != resumed) {
					t.Errorf("got call %d ended %v, want %v", call, dial.ended, call != resumed)
				}
			}
			for range 20 {
				h.advance(500 * time.Millisecond)
				h.receive(t, resumed, heartbeatLine(2))
			}
			h.wantDials(t, 3, "after the watch has resumed")
		})
	}
}

// If the service resumes several calls at once, each event is applied once and in order, whichever call brings it
// first. A call that lags behind another one is neither invalid nor counted as behind.
func TestSimultaneousWatchesApplyEachEventOnce(t *testing.T) {
	h, first := silentHarness(t)
	h.open()
	h.receive(t, 0, purgeLine(1))
	h.receive(t, 1, purgeLine(1)+purgeLine(2)+purgeLine(3))
	h.receive(t, 0, heartbeatLine(1)+purgeLine(2))
	h.receive(t, 0, purgeLine(3)+purgeLine(4))
	if first.Closed {
		t.Error("the first watch was closed although no watch has caught up, want it open")
	}
	h.receive(t, 1, purgeLine(4)+heartbeatLine(4))
	want := []string{"purge 0 1 1ms", "purge 0 2 2ms", "purge 0 3 3ms", "purge 0 4 4ms"}
	if diff := cmp.Diff(want, h.sinkCalls); diff != "" {
		t.Error(diff)
	}
	counters := &h.watcher.Counters
	if counters.BadLines != 0 || counters.RevisionBehind != 0 || !first.Closed {
		t.Errorf("got %d bad lines, %d behind, the first closed %v, want 0, 0, true",
			counters.BadLines, counters.RevisionBehind, first.Closed)
	}
}

// A watch that stalls within its first list counts as timed out, because the service is most likely overloaded. The
// list is applied if its rest arrives later.
func TestStallWithinListIsATimeout(t *testing.T) {
	h := startedHarness(t, 1)
	conn := h.open()
	h.receive(t, 0, readyLine[:len(readyLine)/2])
	h.advance(1300 * time.Millisecond)
	if conn.Closed || h.watcher.Counters.WatchEnds[EndTimedOut] != 1 {
		t.Errorf("got closed %v, ends %v, want false, one timed out", conn.Closed, h.watcher.Counters.WatchEnds)
	}
	h.receive(t, 0, readyLine[len(readyLine)/2:]+"\n")
	if len(h.sinkCalls) != 1 || !h.watcher.Connected() {
		t.Errorf("got %q, connected %v, want one list, true", h.sinkCalls, h.watcher.Connected())
	}
	dials := len(h.dials)
	h.advance(1200 * time.Millisecond)
	h.wantDials(t, dials, "while the watch is in time again")
}

// A dial that is overdue is kept beside the next one, because a full backlog of the service may free up. It is used if
// it succeeds first.
func TestOverdueDialIsUsedIfItSucceeds(t *testing.T) {
	h := startedHarness(t, 1)
	h.advance(time.Second)
	if ends := h.watcher.Counters.WatchEnds; ends[EndTimedOut] != 1 {
		t.Fatalf("got ends %v, want one timed out", ends)
	}
	h.advance(1500 * time.Millisecond)
	h.wantDials(t, 2, "after the wait for an overdue dial")
	conn := &nettest.FakeConn{}
	h.dials[0].Opened(conn)
	h.receive(t, 0, purgeLine(1)+heartbeatLine(1))
	if conn.Closed || !h.dials[1].ended || len(h.sinkCalls) != 1 {
		t.Errorf("got the first closed %v, the second ended %v, events %q, want false, true, one",
			conn.Closed, h.dials[1].ended, h.sinkCalls)
	}
	late := &nettest.FakeConn{}
	h.dials[1].Opened(late)
	if !late.Closed || late.Written.Len() != 0 {
		t.Error("a discarded dial was opened and used, want it closed without a request")
	}
	h.dials[1].Failed(os.ErrDeadlineExceeded)
	if ends := h.watcher.Counters.WatchEnds; ends[EndTimedOut] != 1 {
		t.Errorf("got ends %v after a discarded dial failed, want one timed out", ends)
	}
}

// If the service closes its silent watches, it may be working again, and it is called as soon as after a break.
func TestCloseOfSilentCallsLeadsToCall(t *testing.T) {
	h, _ := silentHarness(t)
	h.open()
	for !h.dials[1].overdue {
		h.advance(10 * time.Millisecond)
	}
	h.dials[0].Closed()
	h.dials[1].Closed()
	h.advance(400 * time.Millisecond)
	h.wantDials(t, 3, "0.4 s after the silent watches were closed")
}

// During a long outage the calls in progress are bounded. The watch that worked before the outage stays among them.
func TestCallsInProgressAreBounded(t *testing.T) {
	h, first := silentHarness(t)
	conns := []*nettest.FakeConn{first, h.open()}
	for range 6000 {
		h.advance(10 * time.Millisecond)
		if h.lastDial().dialing() {
			conns = append(conns, h.open())
		}
		open := 0
		for _, conn := range conns {
			if !conn.Closed {
				open++
			}
		}
		if open > testLimits().MaxWatchCalls || first.Closed {
			t.Fatalf("got %d calls in progress, the first closed %v, want at most %d, false",
				open, first.Closed, testLimits().MaxWatchCalls)
		}
	}
	if len(conns) < 8 || len(conns) > 13 {
		t.Errorf("got %d calls in 60 s of silence, want 8 to 13", len(conns))
	}
	h.receive(t, 0, purgeLine(1))
	if len(h.sinkCalls) != 1 {
		t.Errorf("got events %q of the watch that worked before the outage, want one", h.sinkCalls)
	}
}

// The incomplete lines of all calls in progress together are bounded like one line. The call that receives most
// recently keeps its line.
func TestIncompleteLinesOfAllCallsAreBounded(t *testing.T) {
	h, first := silentHarness(t)
	second := h.open()
	half := strings.Repeat("x", testLimits().MaxWatchLineBytes*2/3)
	h.receive(t, 0, half)
	h.receive(t, 1, half)
	if !first.Closed || second.Closed {
		t.Errorf("got the first closed %v, the second %v, want true, false", first.Closed, second.Closed)
	}
}
