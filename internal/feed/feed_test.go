package feed

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/loop"
	"shaleyard/internal/nettest"
	"shaleyard/rules"
)

// bench is a follower on scripted dials, with a clock that the test moves.
type bench struct {
	f      *Follower
	agenda director.Agenda
	clock  rules.Time
	dials  []loop.Stream
	told   []string
}

func (b *bench) Dial(_ string, _ time.Duration, s loop.Stream) { b.dials = append(b.dials, s) }
func (b *bench) Members(full bool, version uint64, list []director.Member) {
	for _, m := range list {
		b.told = append(b.told, fmt.Sprint(full, version, m.Name, m.Address, m.Zone, m.Kind, m.State, m.Started))
	}
}
func (b *bench) Purge(object uint64, group int, made rules.Time) {
	b.told = append(b.told, fmt.Sprint("purge ", object, group, made))
}

func newBench(t *testing.T) *bench {
	b := &bench{clock: 1000 * time.Second}
	l := &config.Limits{FeedLine: 1000, FeedSilence: 1300 * time.Millisecond, FeedRetry: 100 * time.Millisecond,
		Members: 2}
	s := &rules.Settings{Zones: []string{"west", "here"}, Kinds: []string{"small", "origin"}}
	b.f = New(l, s, "a", b, b, &b.agenda, func() rules.Time { return b.clock }, t.Logf)
	return b
}

func (b *bench) open() *nettest.Link {
	l := &nettest.Link{}
	b.dials[len(b.dials)-1].Opened(l)
	return l
}

func (b *bench) pass(d time.Duration) {
	b.clock += d
	b.agenda.Run(b.clock)
}

const ready = `{"n":1,"members":{"index":7,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:80",` +
	`"zone":"here","type":"small","group":2,"status":"ready","weight":4,"since_ms":5}]}}`

func TestEventsReachTheSink(t *testing.T) {
	b := newBench(t)
	if err := b.f.Replay(config.Known{N: 1, Events: []json.RawMessage{[]byte(ready)}}); err != nil {
		t.Fatal(err)
	}
	b.f.Start()
	l := b.open()
	if got := l.Text.String(); got != "SUB 1\n" {
		t.Errorf("subscribed with %q", got)
	}
	stream := `{"n":1}` + "\n1\n" + `{"n":2,"purge":{"key":"00000000000000ff","at":9}}` + "\n" +
		`{"n":3,"purge":{"group":17,"at":10}}` + "\n" + strings.Replace(ready, `{"n":1`, `{"n":1`, 1) + "\n" +
		`{"n":4,"members":{"index":8,"endpoints":[{"name":"x","address":"127.0.0.1:81","zone":"far","type":"small","status":"ready"}]}}` + "\n"
	for i := range len(stream) { // byte by byte
		if err := b.dials[0].Data([]byte(stream[i : i+1])); err != nil {
			t.Fatal(err)
		}
	}
	want := []string{"true 7 s-1 127.0.0.1:80 1 0 ready 5ms", "purge 255 0 9ms", "purge 0 17 10ms"}
	for i := range want {
		want[i] = strings.ReplaceAll(want[i], " ", "")
		b.told[i] = strings.ReplaceAll(b.told[i], " ", "")
	}
	if d := cmp.Diff(want, b.told); d != "" {
		t.Error(d)
	}
	if b.f.last != 4 || b.f.Counters.SkippedEntries != 1 {
		t.Errorf("at event %d, %d entries skipped", b.f.last, b.f.Counters.SkippedEntries)
	}
}

// What can't be used, and a gap in the numbers, must lead to a new subscription behind the last good event.
func TestBadLineReconnects(t *testing.T) {
	for _, bad := range []string{"nonsense", `{"purge":{"group":1,"at":1}}`, `{"n":3,"purge":{"group":1,"at":1}}`, "2", `{"n":2}`,
		`{"n":1,"purge":{"key":"zz","at":1}}`, `{"n":1,"purge":{"at":1}}`, strings.Replace(ready, "ready", "odd", 1),
		strings.Replace(ready, "127.0.0.1:80", "home", 1), strings.Replace(ready, "s-1", "s,up=1", 1),
		strings.Repeat("x", 2000)} {
		b := newBench(t)
		b.f.Start()
		b.open()
		if err := b.dials[0].Data([]byte(bad + "\n")); err == nil {
			t.Errorf("%.60q was taken", bad)
		}
		b.dials[0].Closed()
		b.pass(100 * time.Millisecond)
		if len(b.dials) != 2 {
			t.Errorf("%.60q: %d dials", bad, len(b.dials))
			continue
		}
		if got := b.open().Text.String(); got != "SUB 0\n" {
			t.Errorf("%.60q: resumed with %q", bad, got)
		}
	}
}

// A feed that is cut off neither speaks nor closes: what it would have told counts as told all the same.
func TestSilentFeedIsReplaced(t *testing.T) {
	b := newBench(t)
	b.f.Start()
	l := b.open()
	b.pass(time.Second)
	b.dials[0].Data([]byte("0\n"))
	b.pass(time.Second)
	if l.Closed {
		t.Error("closed though it spoke")
	}
	b.pass(400 * time.Millisecond)
	b.pass(0)
	if !l.Closed || len(b.dials) != 2 || b.f.Connected() {
		t.Errorf("closed %v, %d dials, connected %v", l.Closed, len(b.dials), b.f.Connected())
	}
}

// While the feed is down what it would tell counts as told: a good one is replaced at once, one that closes
// without a word later.
func TestLostFeedIsReplaced(t *testing.T) {
	b := newBench(t)
	b.f.Start()
	b.open()
	b.dials[0].Data([]byte("0\n"))
	b.dials[0].Closed()
	b.pass(0)
	if len(b.dials) != 2 {
		t.Fatalf("%d dials after the loss of a good feed, want 2", len(b.dials))
	}
	b.open()
	b.dials[1].Closed()
	b.pass(0)
	if len(b.dials) != 2 {
		t.Errorf("%d dials after one that closed without a word, want 2", len(b.dials))
	}
	b.pass(100 * time.Millisecond)
	if len(b.dials) != 3 {
		t.Errorf("%d dials after the wait, want 3", len(b.dials))
	}
}

// A new address is dialled at once, behind the last event. The old stream must not bring any more events, nor
// a second dial when it ends; nor may a dial that was due to the old address.
func TestRedirectLeavesTheOldFeedBehind(t *testing.T) {
	b := newBench(t)
	b.f.Start()
	old := b.open()
	b.dials[0].Data([]byte(ready + "\n"))
	b.f.Redirect("b")
	b.pass(0)
	if len(b.dials) != 2 || !old.Closed {
		t.Fatalf("%d dials, old stream closed: %v", len(b.dials), old.Closed)
	}
	if err := b.dials[0].Data([]byte(`{"n":2,"purge":{"group":1,"at":1}}` + "\n")); err == nil || b.f.last != 1 {
		t.Errorf("the old feed's event was taken: at %d", b.f.last)
	}
	b.dials[0].Closed()
	if got := b.open().Text.String(); got != "SUB 1\n" {
		t.Errorf("subscribed with %q", got)
	}
	b.dials[1].Closed() // without a word: the next dial waits
	b.f.Redirect("c")
	b.pass(time.Second)
	if len(b.dials) != 3 {
		t.Errorf("%d dials, want 3", len(b.dials))
	}
	b.f.Redirect("c")
	b.pass(0)
	if len(b.dials) != 3 {
		t.Errorf("%d dials after the same address again, want 3", len(b.dials))
	}
}

func TestKnownMustAddUp(t *testing.T) {
	b := newBench(t)
	for _, k := range []config.Known{{N: 0, Events: []json.RawMessage{[]byte(ready)}}, {N: 9, Events: []json.RawMessage{[]byte("{}")}}} {
		if err := b.f.Replay(k); err == nil || !strings.HasPrefix(err.Error(), "known.") {
			t.Errorf("%v: error %v", k, err)
		}
	}
}

func FuzzTake(f *testing.F) {
	f.Add([]byte(ready))
	f.Add([]byte(`{"n":1,"purge":{"group":17,"at":1764576000480}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		b := newBench(t)
		if err := b.f.take(text, true); err != nil && b.f.last != 0 {
			t.Errorf("a bad line moved the number to %d", b.f.last)
		}
	})
}
