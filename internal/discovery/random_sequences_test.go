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

// randomService is a list service with events of its own, which it sends on whatever watches are up. Its faults are
// drawn at random.
type randomService struct {
	harness   *harness
	rng       *rand.Rand
	events    int // that there are
	watches   []*fakeWatch
	dialsSeen int // of the harness's dials
	behind    int // heartbeats sent with a revision behind the director's
}

// fakeWatch is the service's side of a watch.
type fakeWatch struct {
	nettest.FakeConn
	watch  *watch
	next   int // event that is sent next
	silent bool
	ended  bool
}

// Close implements eventloop.Conn.
func (f *fakeWatch) Close() error {
	f.Closed = true
	return nil
}

// purgeLine is the line of an event.
func purgeLine(revision int) string {
	return fmt.Sprintf(`{"n":%d,"purge":{"group":%d,"at":%d}}`, revision, revision%256, revision) + "\n"
}

func heartbeatLine(revision int) string { return fmt.Sprintf("%d\n", revision) }

// answerDials lets calls succeed, or not.
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
				continue // a dial that was overtaken: closed, nothing asked
			}
			opened.next++
			s.watches = append(s.watches, opened)
		}
	}
}

// send writes on a watch: unless the service is healthy, sometimes in pieces, and sometimes only a part.
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

func (s *randomService) end(ended *fakeWatch) {
	if !ended.ended {
		ended.ended = true
		ended.watch.Closed()
	}
}

// step does one thing at random.
func (s *randomService) step() {
	var to *fakeWatch // one of the latest two
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
		s.send(to, purgeLine(to.next-1), false) // again
	case action < 35 && to.next < s.events:
		s.send(to, purgeLine(to.next+1), false) // one is missing
	case action < 36 && s.behind < maxWatchesBehind-1: // more in a row are a service that numbers its events anew
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

// healthyStep lets the service be healthy for 100 ms: it answers calls and sends all events that there are.
func (s *randomService) healthyStep() {
	s.answerDials(true)
	for _, to := range s.watches {
		to.silent = false
		for to.next <= s.events && !to.ended && s.harness.watcher.active == to.watch {
			s.send(to, purgeLine(to.next), true)
			to.next++
		}
		s.send(to, heartbeatLine(s.events), true)
	}
	s.harness.advance(100 * time.Millisecond)
}

// Whatever the service does, refusing, silent, half events, events again, numbers behind and ahead, watches that break,
// two services at once: each event reaches the sink once, in order, and none is skipped. When it is healthy again, all
// that it has sent is applied within the time in which a drain must be, if no call has timed out of late.
func TestEventsAreAppliedOnceAndInOrder(t *testing.T) {
	for seed := range uint64(300) {
		h := startedHarness(t, 1+int(seed%2)*299)
		service := &randomService{harness: h, rng: rand.New(rand.NewPCG(seed, 5))}
		for range 400 {
			service.answerDials(false)
			service.step()
		}
		for range 80 { // 8 s: past the longest wait after timeouts
			service.healthyStep()
		}
		for i, got := range h.notified {
			revision := i + 1
			want := fmt.Sprintf("purge 0 %d %v", revision%256, time.Duration(revision)*time.Millisecond)
			if got != want {
				t.Fatalf("seed %d: event %d came as %q, want %q", seed, revision, got, want)
			}
		}
		if len(h.notified) != service.events {
			t.Fatalf("seed %d: %d events of %d are known 8 s after all is well; ends %v, last lines %q",
				seed, len(h.notified), service.events, h.watcher.Counters.WatchEnds,
				strings.Join(h.notified[max(0, len(h.notified)-3):], ", "))
		}
	}
}
