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
	"go.uber.org/zap"

	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/nettest"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// harness is a follower on scripted dials, with a clock that the test moves.
type harness struct {
	watcher      *Watcher
	timers       timer.Queue
	clock        routing.Time
	dials        []eventloop.Stream
	notified     []string
	purgesMadeAt []routing.Time // of purges, on the follower's clock
}

func (b *harness) Dial(_ string, _ time.Duration, s eventloop.Stream) { b.dials = append(b.dials, s) }
func (b *harness) UpdateEndpoints(full bool, version uint64, list []director.Endpoint) {
	for _, m := range list {
		b.notified = append(b.notified, strings.TrimSpace(fmt.Sprintln(full, version, m.Name, m.Address, m.Zone, m.Kind, m.State, m.Started)))
	}
}
func (b *harness) Purge(p director.Purge) {
	b.notified = append(b.notified, fmt.Sprint("purge ", p.ObjectKey, " ", p.Group, " ", p.RemoteIssuedAt))
	b.purgesMadeAt = append(b.purgesMadeAt, p.IssuedAt)
}

func newHarness(t *testing.T) *harness { return newFleetHarness(t, 1) }

func newFleetHarness(t *testing.T, directors int) *harness {
	b := &harness{clock: 1000 * time.Second}
	l := &config.Limits{MaxWatchLineBytes: 1000, WatchSilenceTimeout: 1300 * time.Millisecond, MinWatchBackoff: 100 * time.Millisecond,
		MaxMembers: 2}
	s := &routing.Settings{Zones: []string{"west", "here"}, Kinds: []string{"small", "origin"}}
	calls := NewBackoff(BackoffConfig{Directors: directors, DirectorIndex: 200, ApplyWithin: 2 * time.Second,
		ApplyPurgeWithin: 500 * time.Millisecond, NotifiedAfter: 7 * time.Second, SilenceTimeout: l.WatchSilenceTimeout, CallDuration: 500 * time.Millisecond, MinWait: l.MinWatchBackoff}, 1)
	b.watcher = New(l, s, "a", calls, b, b, &b.timers, func() routing.Time { return b.clock }, zap.NewNop())
	return b
}

// startedHarness is a bench whose first call has been made.
func startedHarness(t *testing.T, directors int) *harness {
	b := newFleetHarness(t, directors)
	b.watcher.Start()
	b.advance(1500 * time.Millisecond)
	return b
}

func (b *harness) open() *nettest.FakeConn {
	l := &nettest.FakeConn{}
	b.dials[len(b.dials)-1].Opened(l)
	return l
}

func (b *harness) advance(d time.Duration) {
	b.clock += d
	b.timers.RunDue(b.clock)
}

const readyLine = `{"n":1,"members":{"index":7,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:80",` +
	`"zone":"here","type":"small","group":2,"status":"ready","weight":4,"since_ms":5}]}}`

func TestEventsReachTheSink(t *testing.T) {
	b := newHarness(t)
	if err := b.watcher.Bootstrap(config.Bootstrap{Revision: 1, Events: []json.RawMessage{[]byte(readyLine)}}); err != nil {
		t.Fatal(err)
	}
	b.watcher.Start()
	b.advance(0)
	l := b.open()
	if got := l.Written.String(); got != "SUB 1\n" {
		t.Errorf("subscribed with %q", got)
	}
	stream := `{"n":1}` + "\n1\n" + `{"n":2,"purge":{"key":"00000000000000ff","at":9}}` + "\n" +
		`{"n":3,"purge":{"group":17,"at":10}}` + "\n" + strings.Replace(readyLine, `{"n":1`, `{"n":1`, 1) + "\n" +
		`{"n":4,"members":{"index":8,"endpoints":[{"name":"x","address":"127.0.0.1:81","zone":"far","type":"small","status":"ready"}]}}` + "\n"
	for i := range len(stream) { // byte by byte
		if err := b.dials[0].Data([]byte(stream[i : i+1])); err != nil {
			t.Fatal(err)
		}
	}
	want := []string{"true 7 s-1 127.0.0.1:80 1 0 ready 5ms", "purge 255 0 9ms", "purge 0 17 10ms"}
	if d := cmp.Diff(want, b.notified); d != "" {
		t.Error(d)
	}
	if b.watcher.revision != 4 || b.watcher.Counters.SkippedEndpoints != 1 {
		t.Errorf("at event %d, %d entries skipped", b.watcher.revision, b.watcher.Counters.SkippedEndpoints)
	}
}

// What can't be used, and a gap in the numbers, must lead to a new subscription behind the last good event.
func TestBadLineReconnects(t *testing.T) {
	for _, bad := range []string{"nonsense", `{"purge":{"group":1,"at":1}}`, `{"n":3,"purge":{"group":1,"at":1}}`, "2", `{"n":2}`,
		`{"n":1,"purge":{"key":"zz","at":1}}`, `{"n":1,"purge":{"at":1}}`, strings.Replace(readyLine, "ready", "odd", 1),
		strings.Replace(readyLine, "127.0.0.1:80", "home", 1), strings.Replace(readyLine, "s-1", "s,up=1", 1),
		strings.Repeat("x", 2000)} {
		b := startedHarness(t, 1)
		b.open()
		if err := b.dials[0].Data([]byte(bad + "\n")); err == nil {
			t.Errorf("%.60q was taken", bad)
		}
		b.dials[0].Closed()
		b.advance(1500 * time.Millisecond)
		if len(b.dials) != 2 {
			t.Errorf("%.60q: %d dials", bad, len(b.dials))
			continue
		}
		if got := b.open().Written.String(); got != "SUB 0\n" {
			t.Errorf("%.60q: resumed with %q", bad, got)
		}
	}
}

// A feed that is cut off neither speaks nor closes: what it would have told counts as told all the same.
func TestSilentFeedIsReplaced(t *testing.T) {
	b := startedHarness(t, 1)
	l := b.open()
	for range 5 {
		b.advance(time.Second)
		b.dials[0].Data([]byte("0\n"))
	}
	b.advance(time.Second)
	if l.Closed {
		t.Error("closed though it spoke")
	}
	b.advance(400 * time.Millisecond)
	b.advance(0)
	if !l.Closed || len(b.dials) != 2 || b.watcher.Connected() {
		t.Errorf("closed %v, %d dials, connected %v", l.Closed, len(b.dials), b.watcher.Connected())
	}
}

// While the feed is down what it would tell counts as told: a good one is replaced in our turn, which is at once
// for a director alone; one that closes without a word later.
func TestLostFeedIsReplaced(t *testing.T) {
	b := startedHarness(t, 1)
	b.open()
	for range 4 {
		b.dials[0].Data([]byte("0\n"))
		b.advance(time.Second)
	}
	b.dials[0].Closed()
	b.advance(0)
	if len(b.dials) != 2 {
		t.Fatalf("%d dials after the loss of a good feed, want 2", len(b.dials))
	}
	b.open()
	b.dials[1].Closed()
	b.advance(100 * time.Millisecond)
	if len(b.dials) != 2 {
		t.Errorf("%d dials after one that closed without a word, want 2", len(b.dials))
	}
	b.advance(1400 * time.Millisecond)
	if len(b.dials) != 3 {
		t.Errorf("%d dials after the wait, want 3", len(b.dials))
	}
}

// All directors of a fleet lose the service at once. This one waits for its turn, and no longer than the rule on
// purges leaves.
func TestLossInAFleetWaitsForItsTurn(t *testing.T) {
	b := startedHarness(t, 300)
	b.open()
	for range 4 {
		b.dials[0].Data([]byte("0\n"))
		b.advance(time.Second)
	}
	b.dials[0].Closed()
	b.advance(0)
	if len(b.dials) != 1 {
		t.Errorf("back at once")
	}
	b.advance(400 * time.Millisecond)
	if len(b.dials) != 2 {
		t.Errorf("%d dials 0.4 s after the loss, want 2", len(b.dials))
	}
}

// Refusals, time-outs and bad service are told apart: a call that failed in time-outs comes far later.
func TestFailedDialsAreToldApart(t *testing.T) {
	calls := func(err error) int {
		b := startedHarness(t, 300)
		for range 200 {
			if n := len(b.dials); b.watcher.dialing == b.dials[n-1] {
				b.dials[n-1].Failed(err)
			}
			b.advance(100 * time.Millisecond)
		}
		return len(b.dials)
	}
	refused := calls(fmt.Errorf("dial: %w", syscall.ECONNREFUSED))
	crowded := calls(os.ErrDeadlineExceeded)
	if refused < 12 || refused > 20 || crowded > 8 || crowded < 4 {
		t.Errorf("in 20 s %d calls of a service that refuses, %d of one that times out", refused, crowded)
	}
}

// A new configuration names another service: all directors are told at once, and each calls it when it is its turn.
// The old one is followed until the new one is up, which may be late, or down at first; from then on nothing of it
// counts, and no event is missed or comes twice.
func TestRedirectFollowsTheOldFeedUntilTheNewIsUp(t *testing.T) {
	b := startedHarness(t, 300)
	old := b.open()
	event := func(n int) {
		t.Helper()
		err := b.dials[0].Data(fmt.Appendf(nil, "{\"n\":%d,\"purge\":{\"group\":1,\"at\":1}}\n", n))
		if err != nil || b.watcher.revision != uint64(n) {
			t.Fatalf("the old feed's event %d was not taken: %v, at %d", n, err, b.watcher.revision)
		}
	}
	b.dials[0].Data([]byte(readyLine + "\n"))
	b.watcher.Redirect("b")
	event(2)
	b.advance(450 * time.Millisecond)
	if len(b.dials) != 2 || b.watcher.address != "b" {
		t.Fatalf("%d dials, at %s; want the new one called in its turn", len(b.dials), b.watcher.address)
	}
	event(3)        // its dial is under way
	for range 200 { // it is crowded: called again, ever more seldom, though the old one goes on well
		if n := len(b.dials); b.watcher.dialing == b.dials[n-1] {
			b.dials[n-1].Failed(os.ErrDeadlineExceeded)
		}
		event(int(b.watcher.revision) + 1)
		b.advance(200 * time.Millisecond)
	}
	if n := len(b.dials); n < 6 || n > 13 || old.Closed {
		t.Fatalf("%d dials, old stream closed %v; want 6 to 13 in 40 s, beside the old stream", n, old.Closed)
	}
	for b.watcher.dialing == nil { // until the next call
		event(int(b.watcher.revision) + 1)
		b.advance(200 * time.Millisecond)
	}
	last := b.watcher.revision
	if got, want := b.open().Written.String(), fmt.Sprintf("SUB %d\n", last); got != want || !old.Closed {
		t.Errorf("subscribed with %q, want %q; old stream closed %v", got, want, old.Closed)
	}
	if err := b.dials[0].Data(fmt.Appendf(nil, "{\"n\":%d,\"purge\":{\"group\":1,\"at\":1}}\n", last+1)); err == nil || b.watcher.revision != last {
		t.Errorf("a late event of the old feed was taken: at %d", b.watcher.revision)
	}
	b.dials[0].Closed()
	dials := len(b.dials)
	b.watcher.Redirect("b")
	b.advance(time.Second)
	if len(b.dials) != dials {
		t.Errorf("%d dials after the same address again, want %d", len(b.dials), dials)
	}
}

// The old service ends while the new one is being dialled: that dial replaces it, and no second one is made.
func TestOldFeedEndsWhileTheNewIsDialled(t *testing.T) {
	b := startedHarness(t, 300)
	b.open()
	b.dials[0].Data([]byte(readyLine + "\n"))
	b.watcher.Redirect("b")
	b.advance(450 * time.Millisecond)
	b.dials[0].Closed()
	for range 4 {
		b.advance(500 * time.Millisecond)
	}
	if len(b.dials) != 2 {
		t.Fatalf("%d dials, want the one under way alone", len(b.dials))
	}
	if got := b.open().Written.String(); got != "SUB 1\n" || !b.watcher.Connected() {
		t.Errorf("subscribed with %q, connected %v", got, b.watcher.Connected())
	}
	b.watcher.Redirect("c") // and told of another one while a dial is under way: only the last one counts
	b.advance(450 * time.Millisecond)
	b.watcher.Redirect("d")
	b.advance(450 * time.Millisecond)
	if len(b.dials) != 4 || b.watcher.address != "d" {
		t.Fatalf("%d dials, at %s", len(b.dials), b.watcher.address)
	}
	late := &nettest.FakeConn{}
	b.dials[2].Opened(late)
	if !late.Closed || late.Written.Len() != 0 {
		t.Error("a dial that was overtaken is followed")
	}
}

// A line that can't be used on a stream that was good until then is a break: the events behind it are asked for at once,
// also where the stream was young, as a purge may be among them.
func TestBadLineOnAGoodStreamIsMendedSoon(t *testing.T) {
	b := startedHarness(t, 300)
	b.open()
	b.dials[0].Data([]byte(readyLine + "\n"))
	b.dials[0].Data([]byte("{\"n\":2,\"pur\n"))
	b.advance(400 * time.Millisecond)
	if len(b.dials) != 2 {
		t.Fatalf("%d dials 0.4 s after a bad line, want 2", len(b.dials))
	}
	if got := b.open().Written.String(); got != "SUB 1\n" {
		t.Errorf("resumed with %q", got)
	}
}

// Operators may name one service after another, or the same again: the next call is put off by none of that.
func TestOrdersToMoveDoNotPutTheCallOff(t *testing.T) {
	for _, names := range []string{"bc", "b"} {
		b := startedHarness(t, 300)
		b.open()
		b.dials[0].Closed() // called again within 1.5 s
		for i := range 20 {
			b.watcher.Redirect(string(names[i%len(names)]))
			b.advance(100 * time.Millisecond)
			if len(b.dials) > 1 {
				break
			}
		}
		if len(b.dials) < 2 {
			t.Errorf("no call in 2 s, told to move to %q again and again", names)
		}
	}
}

// A list that breaks off half-way has told nothing; the next call comes behind the last whole event.
func TestHalfAListIsNoList(t *testing.T) {
	b := startedHarness(t, 1)
	b.open()
	if err := b.dials[0].Data([]byte(readyLine[:len(readyLine)/2])); err != nil {
		t.Fatal(err)
	}
	b.dials[0].Closed()
	b.advance(1500 * time.Millisecond)
	if got := b.open().Written.String(); got != "SUB 0\n" || len(b.notified) != 0 {
		t.Errorf("resumed with %q, told %v", got, b.notified)
	}
	if b.watcher.Counters.WatchEnds[EndUnusable] != 1 {
		t.Errorf("ends %v, want one unfit", b.watcher.Counters.WatchEnds)
	}
}

// A stream that opens and hangs half-way through a list is a service that has more to do than it can.
func TestHangWithinAListIsATimeOut(t *testing.T) {
	b := startedHarness(t, 1)
	l := b.open()
	b.dials[0].Data([]byte(readyLine[:len(readyLine)/2]))
	b.advance(1300 * time.Millisecond)
	if !l.Closed || b.watcher.Counters.WatchEnds[EndTimedOut] != 1 {
		t.Errorf("closed %v, ends %v, want one timed out", l.Closed, b.watcher.Counters.WatchEnds)
	}
}

const (
	drainingLine = `{"n":2,"members":{"index":8,"endpoints":[{"name":"s-1","address":"127.0.0.1:80",` +
		`"zone":"here","type":"small","group":2,"status":"draining","weight":4,"since_ms":5}]}}`
	olderListLine = `{"n":1,"members":{"index":6,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:80",` +
		`"zone":"here","type":"small","group":2,"status":"ready","weight":4,"since_ms":5}]}}`
)

// A service that comes back with numbers behind ours is given time to catch up; one that stays behind counts
// anew. Then its list may be older than ours: who was draining stays so, and who has started anew does not.
func TestOlderListDoesNotUndoADrain(t *testing.T) {
	b := startedHarness(t, 1)
	b.open()
	b.dials[0].Data([]byte(readyLine + "\n" + drainingLine + "\n"))
	b.notified = nil
	b.dials[0].Closed()
	for range maxWatchesBehind {
		b.advance(7 * time.Second)
		last := b.dials[len(b.dials)-1]
		if got := b.open().Written.String(); got != "SUB 2\n" {
			t.Fatalf("asked a service that lags %q", got)
		}
		last.Data([]byte("1\n"))
		b.advance(time.Second)
		last.Data([]byte("1\n")) // a sign of life that brings no news
		b.advance(300 * time.Millisecond)
		if b.watcher.active == last {
			t.Fatal("a service that stays behind is listened to for good")
		}
	}
	if len(b.notified) != 0 {
		t.Fatalf("told %v by a service behind", b.notified)
	}
	b.advance(7 * time.Second)
	if got := b.open().Written.String(); got != "SUB 0\n" {
		t.Fatalf("asked a service that counts anew %q", got)
	}
	fresh := b.dials[len(b.dials)-1]
	if err := fresh.Data([]byte("1\n" + olderListLine + "\n1\n")); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]string{"false 6 s-1 127.0.0.1:80 1 0 draining 5ms"}, b.notified); d != "" {
		t.Error(d)
	}
	restarted := strings.Replace(strings.Replace(drainingLine, "draining", "ready", 1), `"since_ms":5`, `"since_ms":9`, 1)
	if err := fresh.Data([]byte(restarted + "\n")); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff("false 8 s-1 127.0.0.1:80 1 0 ready 9ms", b.notified[1]); d != "" {
		t.Error(d)
	}
	if c := &b.watcher.Counters; c.RevisionBehind != maxWatchesBehind || c.FullResyncs != 1 || c.RetainedDrains != 1 {
		t.Errorf("counters %+v", *c)
	}
}

// A replica that lags and catches up brings the events between without a new call.
func TestServiceThatCatchesUpIsKept(t *testing.T) {
	b := startedHarness(t, 1)
	b.open()
	b.dials[0].Data([]byte(readyLine + "\n"))
	b.dials[0].Closed()
	b.advance(1500 * time.Millisecond)
	b.open()
	if err := b.dials[1].Data([]byte("0\n1\n" + drainingLine + "\n2\n")); err != nil || b.watcher.revision != 2 {
		t.Errorf("%v, at event %d", err, b.watcher.revision)
	}
	b.advance(time.Second)
	if len(b.dials) != 2 || !b.watcher.Connected() {
		t.Errorf("%d dials, connected %v", len(b.dials), b.watcher.Connected())
	}
}

func TestKnownMustAddUp(t *testing.T) {
	b := newHarness(t)
	for _, k := range []config.Bootstrap{{Revision: 0, Events: []json.RawMessage{[]byte(readyLine)}}, {Revision: 9, Events: []json.RawMessage{[]byte("{}")}}} {
		if err := b.watcher.Bootstrap(k); err == nil || !strings.HasPrefix(err.Error(), "known.") {
			t.Errorf("%v: error %v", k, err)
		}
	}
}

func FuzzTake(f *testing.F) {
	f.Add([]byte(readyLine))
	f.Add([]byte(`{"n":1,"purge":{"group":17,"at":1764576000480}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		b := newHarness(t)
		if err := b.watcher.applyLine(text, &watch{watcher: b.watcher}); err != nil && b.watcher.revision != 0 {
			t.Errorf("a bad line moved the number to %d", b.watcher.revision)
		}
	})
}
