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

// randomService is a list randomService with events of its own, told on whatever streams are up. What it does badly is drawn.
type randomService struct {
	harness   *harness
	rng       *rand.Rand
	events    int
	watches   []*fakeWatch
	dialsSeen int // of the bench's dials
}

// fakeWatch is a stream to the service.
type fakeWatch struct {
	nettest.FakeConn
	watch  *watch
	next   int // event that is told next
	silent bool
	ended  bool
}

// Close implements loop.Conn.
func (u *fakeWatch) Close() error {
	u.Closed = true
	return nil
}

func purgeLine(n int) string {
	return fmt.Sprintf(`{"n":%d,"purge":{"group":%d,"at":%d}}`, n, n%256, n) + "\n"
}

// answerDials lets calls come up, or not.
func (v *randomService) answerDials(well bool) {
	for ; v.dialsSeen < len(v.harness.dials); v.dialsSeen++ {
		s := v.harness.dials[v.dialsSeen].(*watch)
		switch k := v.rng.IntN(10); {
		case !well && k < 2:
			s.Failed(syscall.ECONNREFUSED)
		case !well && k < 4:
			s.Failed(os.ErrDeadlineExceeded)
		default:
			u := &fakeWatch{watch: s, silent: !well && k < 5}
			s.Opened(u)
			if _, err := fmt.Sscanf(u.Written.String(), "SUB %d\n", &u.next); err != nil {
				continue // a dial that was overtaken: closed, nothing asked
			}
			u.next++
			v.watches = append(v.watches, u)
		}
	}
}

// send writes on a stream, in pieces where the draw says so, and sometimes only a part.
func (v *randomService) send(u *fakeWatch, text string, well bool) {
	if u.ended || u.silent {
		return
	}
	if cut := v.rng.IntN(6 * len(text)); !well && cut < len(text) {
		if err := u.watch.Data([]byte(text[:cut])); err != nil || v.rng.IntN(4) == 0 {
			v.end(u)
			return
		}
		text = text[cut:]
	}
	if u.watch.Data([]byte(text)) != nil {
		v.end(u)
	}
}

func (v *randomService) end(u *fakeWatch) {
	if !u.ended {
		u.ended = true
		u.watch.Closed()
	}
}

// Whatever the service does, refusing, silent, half events, events again, numbers behind and ahead, streams that break,
// two services at once: each event reaches the sink once, in order, and none is skipped. When it is well again, all that
// it has told is known within the time in which a drain must be heeded, if no call has timed out of late.
func TestEventsComeOnceInOrderWhateverHappens(t *testing.T) {
	for seed := range uint64(300) {
		b := startedHarness(t, 1+int(seed%2)*299)
		v := &randomService{harness: b, rng: rand.New(rand.NewPCG(seed, 5))}
		behind := 0
		for range 400 {
			v.answerDials(false)
			var u *fakeWatch
			if len(v.watches) > 0 {
				u = v.watches[len(v.watches)-1-v.rng.IntN(min(2, len(v.watches)))]
			}
			switch k := v.rng.IntN(40); {
			case k < 6:
				v.events++
			case u == nil || k < 14:
				b.advance(time.Duration(v.rng.IntN(300)) * time.Millisecond)
			case k < 28 && u.next <= v.events:
				v.send(u, purgeLine(u.next), false)
				u.next++
			case k < 33:
				v.send(u, fmt.Sprintf("%d\n", u.next-1), false)
			case k < 34 && u.next > 1:
				v.send(u, purgeLine(u.next-1), false) // again
			case k < 35 && u.next < v.events:
				v.send(u, purgeLine(u.next+1), false) // one is missing
			case k < 36 && behind < maxWatchesBehind-1: // more in a row are a service that counts anew, and tells all again
				behind++
				v.send(u, fmt.Sprintf("%d\n", max(0, u.next-3)), false)
			case k < 37:
				u.silent = true
			case k < 38:
				v.end(u)
			case k < 39:
				b.watcher.Redirect(string(rune('a' + v.rng.IntN(3))))
			}
		}
		for range 80 { // all is well for 8 s: past the longest wait behind time-outs
			v.answerDials(true)
			for _, u := range v.watches {
				u.silent = false
				for u.next <= v.events && !u.ended && b.watcher.active == u.watch {
					v.send(u, purgeLine(u.next), true)
					u.next++
				}
				v.send(u, fmt.Sprintf("%d\n", v.events), true)
			}
			b.advance(100 * time.Millisecond)
		}
		for i, got := range b.notified {
			if want := fmt.Sprintf("purge 0 %d %v", (i+1)%256, time.Duration(i+1)*time.Millisecond); got != want {
				t.Fatalf("seed %d: event %d came as %q, want %q", seed, i+1, got, want)
			}
		}
		if len(b.notified) != v.events {
			t.Fatalf("seed %d: %d events of %d are known 8 s after all is well; ends %v, last lines %q",
				seed, len(b.notified), v.events, b.watcher.Counters.WatchEnds, strings.Join(b.notified[max(0, len(b.notified)-3):], ", "))
		}
	}
}
