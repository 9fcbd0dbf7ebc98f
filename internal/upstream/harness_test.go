package upstream

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"shaleyard/internal/buffer"
	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/handle"
	"shaleyard/internal/nettest"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// harness runs pools on dials whose results the test determines and on a clock that the test advances. The pools have
// one endpoint, host 1.
type harness struct {
	pools   *Pools
	timers  timer.Queue
	now     routing.Time
	dials   []eventloop.Stream
	results map[handle.Handle]routing.Result
}

func newHarness() *harness {
	h := &harness{now: 1000 * time.Second, results: map[handle.Handle]routing.Result{}}
	limits := &config.Limits{
		MaxUpstreamConns:       8,
		MaxAttemptsPerConn:     2,
		UpstreamIdleTimeout:    10 * time.Second,
		MinIdleTimeout:         50 * time.Millisecond,
		IdleCloseRaceWindow:    50 * time.Millisecond,
		LateAnswerWindow:       5 * time.Second,
		UpstreamSilenceTimeout: time.Second,
		MaxAnswerBodyBytes:     100,
		MaxAnswerFieldBytes:    100,
	}
	settings := &routing.Settings{LoadReport: routing.LoadReportSettings{Fields: []string{"active", "x1"}}}
	clock := func() routing.Time { return h.now }
	h.pools = NewPools(limits, settings, buffer.NewPool(64, 64), h, h, &h.timers, clock, zap.NewNop(), 1)
	h.pools.UpdateEndpoint(1, "c1", "a", 0)
	return h
}

// Dial implements eventloop.Dialer.
func (h *harness) Dial(_ string, _ time.Duration, stream eventloop.Stream) (cancel func()) {
	h.dials = append(h.dials, stream)
	return func() {}
}

// AttemptEnded implements CompletionHandler.
func (h *harness) AttemptEnded(attemptID handle.Handle, result director.AttemptResult) {
	h.results[attemptID] = result.Result
	result.Body.Release()
}

// send starts an attempt with a timeout of one second.
func (h *harness) send(attemptID handle.Handle, requestID string) {
	request := &director.Request{Ref: requestID, Service: "s", Object: "o", Part: "0"}
	h.pools.Send(attemptID, 1, director.UpstreamRequest{Request: request, Timeout: time.Second})
}

// open completes the dial with the given index successfully and returns its socket.
func (h *harness) open(dial int) *nettest.FakeConn {
	socket := &nettest.FakeConn{}
	h.dials[dial].Opened(socket)
	return socket
}

// receive passes text to a connection as received data. It fails the test if the connection returns an error.
func (h *harness) receive(t *testing.T, dial int, text string) {
	t.Helper()
	if err := h.dials[dial].Data([]byte(text)); err != nil {
		t.Errorf("connection %d: Data(%q) = %v, want no error", dial, text, err)
	}
}

// respond passes a response with the given elements to a connection as received data.
func (h *harness) respond(t *testing.T, dial int, elements ...string) {
	t.Helper()
	h.receive(t, dial, bulkArray(elements...))
}

// runTimers runs the timers that are due at the harness's current time.
func (h *harness) runTimers() { h.timers.RunDue(h.now) }

// wantResults fails the test if the results reported so far differ from want.
func (h *harness) wantResults(t *testing.T, want map[handle.Handle]routing.Result) {
	t.Helper()
	if diff := cmp.Diff(want, h.results); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
}

// bulkArray returns an array of bulk strings. It does not use package resp, so that the tests check that package's
// encoding too.
func bulkArray(elements ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(elements))
	for _, element := range elements {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(element), element)
	}
	return text.String()
}
