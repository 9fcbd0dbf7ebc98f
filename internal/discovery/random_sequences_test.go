package discovery

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"shaleyard/internal/nettest"
)

// randomService is a fake discovery service that sends its events on all open watches and injects random faults.
type randomService struct {
	harness   *harness
	rng       *rand.Rand
	events    int // revision of the latest event
	watches   []*fakeWatch
	dialsSeen int // dials of the harness that have been answered
	behind    int // heartbeats sent with a revision before the latest sent event
}

// fakeWatch is the service's side of a watch.
type fakeWatch struct {
	nettest.FakeConn
	watch  *watch
	next   int  // revision of the next event to send
	silent bool // the service sends nothing on the watch
	ended  bool
}

// Close implements eventloop.Conn.
func (f *fakeWatch) Close() error {
	f.Closed = true
	return nil
}

// purgeLine returns the line of a purge event with the revision.
func purgeLine(revision int) string {
	return fmt.Sprintf(`{"n":%d,"purge":{"group":%d,"at":%d}}`, revision, revision%256, revision) + "\n"
}

// heartbeatLine returns the line of a heartbeat with the revision.
func heartbeatLine(revision int) string { return fmt.Sprintf("%d\n", revision) }

// answerDials opens each new dial. Unless the service is healthy, random dials are refused, time out or open silent.
func (s *randomService) answerDials(healthy bool) {
	for ; s.dialsSeen < len(s.harness.dials); s.dialsSeen++ {
		dial := s.harness.dials[s.dialsSeen]
		switch fault := s.rng.IntN(10); {
		case !healthy && fault < 2:
			dial.Failed(syscall.ECONNREFUSED)
		case !healthy && fault < 4:
			dial.Failed(os.ErrDeadlineExceeded)
		default:
			opened := &fakeWatch{watch: dial, silent: !healthy && fault < 5}
			dial.Opened(opened)
			if _, err := fmt.Sscanf(opened.Written.String(), "SUB %d\n", &opened.next); err != nil {
				continue // a superseded dial: closed without a request
			}
			opened.next++
			s.watches = append(s.watches, opened)
		}
	}
}

// send writes text on a watch. Unless the service is healthy, text is sometimes split, and sometimes cut off by the end
// of the watch.
func (s *randomService) send(to *fakeWatch, text string, healthy bool) {
	if to.ended || to.silent {
		return
	}
	if cut := s.rng.IntN(6 * len(text)); !healthy && cut < len(text) {
		if err := to.watch.Data([]byte(text[:cut])); err != nil || s.rng.IntN(4) == 0 {
			s.end(to)
			return
		}
		text = text[cut:]
	}
	if to.watch.Data([]byte(text)) != nil {
		s.end(to)
	}
}

// end closes a watch that has not ended yet.
func (s *randomService) end(ended *fakeWatch) {
	if !ended.ended {
		ended.ended = true
		ended.watch.Closed()
	}
}

// step performs one random action: publishes an event, advances the clock, sends a line, or injects a fault.
func (s *randomService) step() {
	var to *fakeWatch // one of the two latest watches
	if count := len(s.watches); count > 0 {
		to = s.watches[count-1-s.rng.IntN(min(2, count))]
	}
	switch action := s.rng.IntN(40); {
	case action < 6:
		s.events++
	case to == nil || action < 14:
		s.harness.advance(time.Duration(s.rng.IntN(300)) * time.Millisecond)
	case action < 28 && to.next <= s.events:
		s.send(to, purgeLine(to.next), false)
		to.next++
	case action < 33:
		s.send(to, heartbeatLine(to.next-1), false)
	case action < 34 && to.next > 1:
		s.send(to, purgeLine(to.next-1), false) // repeated
	case action < 35 && to.next < s.events:
		s.send(to, purgeLine(to.next+1), false) // after a gap
	case action < 36 && s.behind < maxWatchesBehind-1: // more in a row lead to a request for all events
		s.behind++
		s.send(to, heartbeatLine(max(0, to.next-3)), false)
	case action < 37:
		to.silent = true
	case action < 38:
		s.end(to)
	case action < 39:
		s.harness.watcher.Redirect(string(rune('a' + s.rng.IntN(3))))
	}
}

// healthyStep simulates 100 ms of a healthy service, which opens all dials and sends all missing events.
func (s *randomService) healthyStep() {
	s.answerDials(true)
	for _, to := range s.watches {
		to.silent = false
		for to.next <= s.events && !to.ended && !to.watch.ended {
			s.send(to, purgeLine(to.next), true)
			to.next++
		}
		s.send(to, heartbeatLine(s.events), true)
	}
	s.harness.advance(100 * time.Millisecond)
}

// Each event reaches the sink exactly once and in order under random faults: refused dials, timeouts, silent or broken
// watches, incomplete or repeated events, revisions behind or ahead, and redirects. Within 8 s after the service
// becomes healthy, which is longer than the longest wait after timeouts, all events are applied.
func TestEventsAreAppliedOnceAndInOrder(t *testing.T) {
	for seed := range uint64(300) {
		h := startedHarness(t, 1+int(seed%2)*299)
		service := &randomService{harness: h, rng: rand.New(rand.NewPCG(seed, 5))}
		for range 400 {
			service.answerDials(false)
			service.step()
		}
		for range 80 { // 8 s, which exceeds the longest wait after timeouts
			service.healthyStep()
		}
		for i, got := range h.sinkCalls {
			revision := i + 1
			want := fmt.Sprintf("purge 0 %d %v", revision%256, time.Duration(revision)*time.Millisecond)
			if got != want {
				t.Fatalf("seed %d: got %q for event %d, want %q", seed, got, revision, want)
			}
		}
		if len(h.sinkCalls) != service.events {
			t.Fatalf("seed %d: got %d events 8 s after the recovery, want %d; ends %v, last events %q",
				seed, len(h.sinkCalls), service.events, h.watcher.Counters.WatchEnds,
				strings.Join(h.sinkCalls[max(0, len(h.sinkCalls)-3):], ", "))
		}
	}
}
