package discovery

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"shaleyard/internal/config"
)

// If either clock was stepped, the service's clock may differ from the local one by hours. The ages of purges must
// follow from their timestamps alone: relative to each other within a backlog, and 0 for a purge that is announced when
// it is issued.
func TestPurgeTimesFollowServiceClock(t *testing.T) {
	for _, offset := range []time.Duration{-time.Hour, -5 * time.Second, 0, 5 * time.Second, time.Hour} {
		t.Run(offset.String(), func(t *testing.T) {
			h := newHarness()
			stamp := func(ago time.Duration) int64 { return (h.now + offset - ago).Milliseconds() }
			bootstrap := config.Bootstrap{Revision: 3, Events: []json.RawMessage{[]byte(readyLine)}}
			for i, ago := range []time.Duration{9 * time.Second, time.Second} {
				revision := i + 2
				purge := fmt.Appendf(nil, `{"n":%d,"purge":{"group":%d,"at":%d}}`, revision, revision, stamp(ago))
				bootstrap.Events = append(bootstrap.Events, purge)
			}
			if err := h.watcher.Bootstrap(bootstrap); err != nil {
				t.Fatal(err)
			}
			h.watcher.Start()
			h.advance(time.Second)
			h.open()
			h.receive(t, 0, fmt.Sprintf(`{"n":4,"purge":{"group":4,"at":%d}}`+"\n", stamp(0)))
			start := h.now - time.Second
			for i, want := range []time.Duration{8 * time.Second, 0, -time.Second} {
				if age := start - h.purgeIssueTimes[i]; age != want {
					t.Errorf("purge %d: got issue time %v before the start, want %v", i+2, age, want)
				}
			}
		})
	}
}

// The start time of an endpoint on the local clock stays the same even if the estimated offset of the service's clock
// changes. An endpoint that is announced again must not appear as a new incarnation.
func TestRepeatedStartTimeIsSameIncarnation(t *testing.T) {
	h := newHarness()
	bootstrap := config.Bootstrap{Revision: 1, Events: []json.RawMessage{[]byte(readyLine)}}
	if err := h.watcher.Bootstrap(bootstrap); err != nil {
		t.Fatal(err)
	}
	h.watcher.Start()
	h.advance(time.Second)
	h.open()
	purge := fmt.Sprintf(`{"n":2,"purge":{"group":1,"at":%d}}`, (h.now - time.Minute).Milliseconds())
	again := fmt.Sprintf(`{"n":3,%s`, readyLine[len(`{"n":1,`):])
	h.receive(t, 0, purge+"\n"+again+"\n")
	if first, second := h.sinkCalls[0], h.sinkCalls[2]; first != second {
		t.Errorf("got %q for the second announcement, want %q as for the first", second, first)
	}
}
