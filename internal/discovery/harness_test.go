package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/nettest"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// harness runs a Watcher with dials whose outcome the test decides and a clock that the test advances. The harness is
// also the Watcher's dialer and sink.
type harness struct {
	watcher         *Watcher
	timers          timer.Queue
	now             routing.Time
	dials           []*watch
	sinkCalls       []string       // endpoints and purges that the sink received, as text
	purgeIssueTimes []routing.Time // when the received purges were issued, on the watcher's clock
}

// Dial implements eventloop.Dialer.
func (h *harness) Dial(_ string, _ time.Duration, stream eventloop.Stream) (cancel func()) {
	h.dials = append(h.dials, stream.(*watch))
	return func() {}
}

// UpdateEndpoints implements Sink.
func (h *harness) UpdateEndpoints(full bool, version uint64, list []director.Endpoint) {
	for _, endpoint := range list {
		text := fmt.Sprintln(full, version, endpoint.Name, endpoint.Address,
			endpoint.Zone, endpoint.Kind, endpoint.State, endpoint.Started)
		h.sinkCalls = append(h.sinkCalls, strings.TrimSpace(text))
	}
}

// Purge implements Sink.
func (h *harness) Purge(purge director.Purge) {
	text := fmt.Sprint("purge ", purge.ObjectKey, " ", purge.Group, " ", purge.RemoteIssuedAt)
	h.sinkCalls = append(h.sinkCalls, text)
	h.purgeIssueTimes = append(h.purgeIssueTimes, purge.IssuedAt)
}

// testLimits returns the limits that the program derives by default for the watch of the discovery service.
func testLimits() *config.Limits {
	return &config.Limits{
		MaxWatchLineBytes:   1000,
		MaxWatchCalls:       3,
		WatchSilenceTimeout: 1300 * time.Millisecond,
		MinWatchBackoff:     100 * time.Millisecond,
		MaxMembers:          2,
		ConnectTimeout:      time.Second,
		DrainApplyWithin:    2 * time.Second,
		PurgeApplyWithin:    500 * time.Millisecond,
		WatchCallTime:       500 * time.Millisecond,
		MaxEventDelay:       notifiedAtLatest,
	}
}

// newHarness returns the harness of a single director. Its watcher has not been started.
func newHarness() *harness { return newFleetHarness(1) }

// newFleetHarness returns the harness of one director in a fleet. Its watcher has not been started.
func newFleetHarness(directors int) *harness {
	h := &harness{now: 1000 * time.Second}
	limits := testLimits()
	settings := &routing.Settings{Zones: []string{"west", "here"}, Kinds: []string{"small", "origin"}}
	backoff := NewBackoff(BackoffConfig{
		Directors:        directors,
		DirectorIndex:    200,
		ApplyWithin:      2 * time.Second,
		ApplyPurgeWithin: 500 * time.Millisecond,
		NotifiedAfter:    7 * time.Second,
		SilenceTimeout:   limits.WatchSilenceTimeout,
		CallDuration:     500 * time.Millisecond,
		MinWait:          limits.MinWatchBackoff,
	}, 1)
	h.watcher = New(Config{
		Limits:   limits,
		Settings: settings,
		Address:  "a",
		Backoff:  backoff,
		Dialer:   h,
		Sink:     h,
		Timers:   &h.timers,
		Now:      func() routing.Time { return h.now },
		Log:      zap.NewNop(),
	})
	return h
}

// startedHarness returns a harness whose first call has been made.
func startedHarness(t *testing.T, directors int) *harness {
	t.Helper()
	h := newFleetHarness(directors)
	h.watcher.Start()
	h.advance(1500 * time.Millisecond)
	if len(h.dials) != 1 {
		t.Fatalf("got %d dials after the start, want 1", len(h.dials))
	}
	return h
}

// lastDial returns the latest call.
func (h *harness) lastDial() *watch { return h.dials[len(h.dials)-1] }

// dialing reports whether the dial of the call has neither succeeded nor failed.
func (w *watch) dialing() bool { return w.conn == nil && !w.ended }

// open makes the latest call succeed and returns its connection.
func (h *harness) open() *nettest.FakeConn {
	conn := &nettest.FakeConn{}
	h.lastDial().Opened(conn)
	return conn
}

// wantSubscription makes the latest call succeed and reports a test error unless it requests the events after a
// revision.
func (h *harness) wantSubscription(t *testing.T, revision int) *nettest.FakeConn {
	t.Helper()
	conn := h.open()
	if got, want := conn.Written.String(), fmt.Sprintf("SUB %d\n", revision); got != want {
		t.Errorf("got request %q, want %q", got, want)
	}
	return conn
}

// receive passes text to a call, counted from 0, and fails the test if the call rejects it.
func (h *harness) receive(t *testing.T, call int, text string) {
	t.Helper()
	if err := h.dials[call].Data([]byte(text)); err != nil {
		t.Fatalf("got error %v for %.60q, want none", err, text)
	}
}

// receivePurge passes a purge with the next revision to the first call, and fails the test unless it is applied.
func (h *harness) receivePurge(t *testing.T, revision uint64) {
	t.Helper()
	h.receive(t, 0, fmt.Sprintf("{\"n\":%d,\"purge\":{\"group\":1,\"at\":1}}\n", revision))
	if h.watcher.revision != revision {
		t.Fatalf("got last applied revision %d, want %d", h.watcher.revision, revision)
	}
}

// receiveHeartbeats passes a heartbeat to the first call each second, for a number of seconds.
func (h *harness) receiveHeartbeats(t *testing.T, seconds int) {
	t.Helper()
	for range seconds {
		h.receive(t, 0, "0\n")
		h.advance(time.Second)
	}
}

// wantDials fails the test unless want calls have been made in total.
func (h *harness) wantDials(t *testing.T, want int, when string) {
	t.Helper()
	if len(h.dials) != want {
		t.Fatalf("got %d dials %s, want %d", len(h.dials), when, want)
	}
}

// advance moves the clock forward by d and then runs the timers that are due.
func (h *harness) advance(d time.Duration) {
	h.now += d
	h.timers.RunDue(h.now)
}

// Lines of the discovery service, without the final newline.
const (
	readyLine = `{"n":1,"members":{"index":7,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:80",` +
		`"zone":"here","type":"small","group":2,"status":"ready","weight":4,"since_ms":5}]}}`
	drainingLine = `{"n":2,"members":{"index":8,"endpoints":[{"name":"s-1","address":"127.0.0.1:80",` +
		`"zone":"here","type":"small","group":2,"status":"draining","weight":4,"since_ms":5}]}}`
	olderListLine = `{"n":1,"members":{"index":6,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:80",` +
		`"zone":"here","type":"small","group":2,"status":"ready","weight":4,"since_ms":5}]}}`
	unknownZoneLine = `{"n":4,"members":{"index":8,"endpoints":[{"name":"x","address":"127.0.0.1:81",` +
		`"zone":"far","type":"small","status":"ready"}]}}`
)
