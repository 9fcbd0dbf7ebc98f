package discovery

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"shaleyard/internal/config"
)

// The service's clock is hours from ours, as either was stepped. The ages of purges follow from their stamps alone: those
// of a backlog, and one that is told as it is made, which is of now.
func TestPurgesAreDatedByTheServicesClock(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, -5 * time.Second, 0, 5 * time.Second, time.Hour} {
		b := newHarness(t)
		stamp := func(ago time.Duration) int64 { return (b.clock + off - ago).Milliseconds() }
		known := config.Bootstrap{Revision: 3, Events: []json.RawMessage{[]byte(readyLine)}}
		for n, ago := range []time.Duration{9 * time.Second, time.Second} {
			known.Events = append(known.Events, fmt.Appendf(nil, `{"n":%d,"purge":{"group":%d,"at":%d}}`, n+2, n+2, stamp(ago)))
		}
		if err := b.watcher.Bootstrap(known); err != nil {
			t.Fatal(err)
		}
		b.watcher.Start()
		b.advance(time.Second)
		b.open()
		if err := b.dials[0].Data(fmt.Appendf(nil, `{"n":4,"purge":{"group":4,"at":%d}}`+"\n", stamp(0))); err != nil {
			t.Fatal(err)
		}
		start := b.clock - time.Second
		for i, want := range []time.Duration{8 * time.Second, 0, -time.Second} {
			if age := start - b.purgesMadeAt[i]; age != want {
				t.Errorf("clocks %v apart: purge %d is dated %v before the start, want %v", off, i+2, age, want)
			}
		}
	}
}

// A member's start keeps its time on our clock, whatever is learnt of the service's meanwhile: told again, it is no new life.
func TestAStartToldAgainIsTheSame(t *testing.T) {
	b := newHarness(t)
	if err := b.watcher.Bootstrap(config.Bootstrap{Revision: 1, Events: []json.RawMessage{[]byte(readyLine)}}); err != nil {
		t.Fatal(err)
	}
	b.watcher.Start()
	b.advance(time.Second)
	b.open()
	purge := fmt.Sprintf(`{"n":2,"purge":{"group":1,"at":%d}}`, (b.clock - time.Minute).Milliseconds())
	again := fmt.Sprintf(`{"n":3,%s`, readyLine[len(`{"n":1,`):])
	if err := b.dials[0].Data([]byte(purge + "\n" + again + "\n")); err != nil {
		t.Fatal(err)
	}
	if first, second := b.notified[0], b.notified[2]; first != second {
		t.Errorf("told %q, and again %q", first, second)
	}
}
