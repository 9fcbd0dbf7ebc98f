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

// service is a list service with events of its own, told on whatever streams are up. What it does badly is drawn.
type service struct {
	b      *bench
	rng    *rand.Rand
	events int
	ups    []*up
	seen   int // of the bench's dials
}

// up is a stream to the service.
type up struct {
	nettest.FakeConn
	s      *stream
	next   int // event that is told next
	silent bool
	ended  bool
}

// Close implements loop.Conn.
func (u *up) Close() error {
	u.Closed = true
	return nil
}

func event(n int) string {
	return fmt.Sprintf(`{"n":%d,"purge":{"group":%d,"at":%d}}`, n, n%256, n) + "\n"
}

// dialled lets calls come up, or not.
func (v *service) dialled(well bool) {
	for ; v.seen < len(v.b.dials); v.seen++ {
		s := v.b.dials[v.seen].(*stream)
		switch k := v.rng.IntN(10); {
		case !well && k < 2:
			s.Failed(syscall.ECONNREFUSED)
		case !well && k < 4:
			s.Failed(os.ErrDeadlineExceeded)
		default:
			u := &up{s: s, silent: !well && k < 5}
			s.Opened(u)
			if _, err := fmt.Sscanf(u.Written.String(), "SUB %d\n", &u.next); err != nil {
				continue // a dial that was overtaken: closed, nothing asked
			}
			u.next++
			v.ups = append(v.ups, u)
		}
	}
}

// tell writes on a stream, in pieces where the draw says so, and sometimes only a part.
func (v *service) tell(u *up, text string, well bool) {
	if u.ended || u.silent {
		return
	}
	if cut := v.rng.IntN(6 * len(text)); !well && cut < len(text) {
		if err := u.s.Data([]byte(text[:cut])); err != nil || v.rng.IntN(4) == 0 {
			v.end(u)
			return
		}
		text = text[cut:]
	}
	if u.s.Data([]byte(text)) != nil {
		v.end(u)
	}
}

func (v *service) end(u *up) {
	if !u.ended {
		u.ended = true
		u.s.Closed()
	}
}

// Whatever the service does, refusing, silent, half events, events again, numbers behind and ahead, streams that break,
// two services at once: each event reaches the sink once, in order, and none is skipped. When it is well again, all that
// it has told is known within the time in which a drain must be heeded, if no call has timed out of late.
func TestEventsComeOnceInOrderWhateverHappens(t *testing.T) {
	for seed := range uint64(300) {
		b := started(t, 1+int(seed%2)*299)
		v := &service{b: b, rng: rand.New(rand.NewPCG(seed, 5))}
		behind := 0
		for range 400 {
			v.dialled(false)
			var u *up
			if len(v.ups) > 0 {
				u = v.ups[len(v.ups)-1-v.rng.IntN(min(2, len(v.ups)))]
			}
			switch k := v.rng.IntN(40); {
			case k < 6:
				v.events++
			case u == nil || k < 14:
				b.pass(time.Duration(v.rng.IntN(300)) * time.Millisecond)
			case k < 28 && u.next <= v.events:
				v.tell(u, event(u.next), false)
				u.next++
			case k < 33:
				v.tell(u, fmt.Sprintf("%d\n", u.next-1), false)
			case k < 34 && u.next > 1:
				v.tell(u, event(u.next-1), false) // again
			case k < 35 && u.next < v.events:
				v.tell(u, event(u.next+1), false) // one is missing
			case k < 36 && behind < behindMost-1: // more in a row are a service that counts anew, and tells all again
				behind++
				v.tell(u, fmt.Sprintf("%d\n", max(0, u.next-3)), false)
			case k < 37:
				u.silent = true
			case k < 38:
				v.end(u)
			case k < 39:
				b.f.Redirect(string(rune('a' + v.rng.IntN(3))))
			}
		}
		for range 80 { // all is well for 8 s: past the longest wait behind time-outs
			v.dialled(true)
			for _, u := range v.ups {
				u.silent = false
				for u.next <= v.events && !u.ended && b.f.stream == u.s {
					v.tell(u, event(u.next), true)
					u.next++
				}
				v.tell(u, fmt.Sprintf("%d\n", v.events), true)
			}
			b.pass(100 * time.Millisecond)
		}
		for i, got := range b.told {
			if want := fmt.Sprintf("purge 0 %d %v", (i+1)%256, time.Duration(i+1)*time.Millisecond); got != want {
				t.Fatalf("seed %d: event %d came as %q, want %q", seed, i+1, got, want)
			}
		}
		if len(b.told) != v.events {
			t.Fatalf("seed %d: %d events of %d are known 8 s after all is well; ends %v, last lines %q",
				seed, len(b.told), v.events, b.f.Counters.WatchEnds, strings.Join(b.told[max(0, len(b.told)-3):], ", "))
		}
	}
}
