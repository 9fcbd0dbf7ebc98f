package upstream

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
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
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// The golden files hold the bytes that the package sends and the results that it derives from received bytes. They use
// the protocol's terms and the labels defined below instead of Go identifiers, so that a rename cannot change them.

var updateGolden = flag.Bool("update", false, "write the golden files in testdata/golden")

// goldenResults maps the results of attempts to their labels in the golden files.
var goldenResults = map[routing.Result]string{
	routing.OK:                      "ok",
	routing.Errored:                 "error",
	routing.Rejected:                "busy",
	routing.TimedOut:                "timed-out",
	routing.ConnectFailed:           "connect-failed",
	routing.Reset:                   "reset",
	routing.Cancelled:               "cancelled",
	routing.Abandoned:               "never-ran",
	routing.Miss:                    "miss",
	routing.LocalResourcesExhausted: "no-socket",
	routing.Unreachable:             "no-way",
}

// goldenFillStatuses maps fill statuses to their labels in the golden files.
var goldenFillStatuses = map[routing.FillStatus]string{
	routing.FillStatusUnknown:           "none",
	routing.FillStatusHit:               "hit",
	routing.FillStatusFilled:            "filled",
	routing.FillStatusFilledByOrigin:    "filled-by-origin",
	routing.FillStatusCoalesced:         "coalesced",
	routing.FillStatusStale:             "stale",
	routing.FillStatusSourceRejected:    "source-busy",
	routing.FillStatusSourceUnreachable: "source-down",
	routing.FillStatusSourceMiss:        "source-miss",
	routing.FillStatusNoFillSlot:        "no-fill-slot",
	routing.FillStatusOriginFailed:      "origin-error",
}

// wireRecorder runs pools on dials whose results the test determines. It records the result of each attempt as text.
type wireRecorder struct {
	pools   *Pools
	timers  timer.Queue
	buffers *buffer.Pool
	now     routing.Time
	dials   []eventloop.Stream
	results []string
}

func newWireRecorder() *wireRecorder {
	recorder := &wireRecorder{now: 1000 * time.Second, buffers: buffer.NewPool(16, 16)}
	limits := &config.Limits{
		MaxUpstreamConns:       8,
		MaxAttemptsPerConn:     4,
		UpstreamIdleTimeout:    10 * time.Second,
		MinIdleTimeout:         50 * time.Millisecond,
		IdleCloseRaceWindow:    50 * time.Millisecond,
		LateAnswerWindow:       5 * time.Second,
		UpstreamSilenceTimeout: time.Second,
		MaxAnswerBodyBytes:     64,
		MaxAnswerFieldBytes:    200,
	}
	settings := &routing.Settings{LoadReport: routing.LoadReportSettings{
		Fields: []string{"active", "waiting", "cpu", "avg_ms", "rps", "err_rps", "x1", "inflight"},
	}}
	recorder.pools = NewPools(limits, settings, recorder.buffers, recorder, recorder, &recorder.timers,
		func() routing.Time { return recorder.now }, zap.NewNop(), 1)
	recorder.pools.UpdateEndpoint(1, "c1", "a", 0)
	return recorder
}

// Dial implements eventloop.Dialer.
func (r *wireRecorder) Dial(_ string, _ time.Duration, stream eventloop.Stream) (cancel func()) {
	r.dials = append(r.dials, stream)
	return func() {}
}

// AttemptEnded implements CompletionHandler.
func (r *wireRecorder) AttemptEnded(attempt handle.Handle, result director.AttemptResult) {
	r.results = append(r.results, fmt.Sprintf("attempt %d %s note=%s waited=%v load=%v same=%v body=%q",
		attempt, goldenResults[result.Result], goldenFillStatuses[result.FillStatus], result.SourceWait,
		result.LoadReport, result.NotModified, chainText(&result.Body)))
	result.Body.Release()
}

// body returns text as a chain of buffers from the recorder's pool.
func (r *wireRecorder) body(t *testing.T, text string) buffer.Chain {
	t.Helper()
	chain := r.buffers.NewChain()
	if err := chain.Append([]byte(text)); err != nil {
		t.Fatal(err)
	}
	return chain
}

// deliver passes text to a connection as received data, in chunks of size bytes. If the connection returns an error,
// deliver ends the connection, as the event loop does, and returns true.
func (r *wireRecorder) deliver(stream eventloop.Stream, text string, size int) (failed bool) {
	for len(text) > 0 {
		chunk := min(size, len(text))
		if err := stream.Data([]byte(text[:chunk])); err != nil {
			r.closeConn(stream)
			return true
		}
		text = text[chunk:]
	}
	return false
}

// closeConn ends a connection. The attempts in flight end in random order, so closeConn sorts their recorded results.
func (r *wireRecorder) closeConn(stream eventloop.Stream) {
	before := len(r.results)
	stream.Closed()
	slices.Sort(r.results[before:])
}

// state returns the numbers of open connections, buffers in use and rejected responses as text.
func (r *wireRecorder) state() string {
	return fmt.Sprintf(
		"conns=%d buffers=%d unmatched=%d unusable=%d broken-streams=%d",
		r.pools.NumConns(),
		r.buffers.InUse(),
		r.pools.Counters.UnmatchedResponses,
		r.pools.Counters.InvalidResponses,
		r.pools.Counters.ProtocolErrors,
	)
}

// chainText returns the content of a chain of buffers.
func chainText(chain *buffer.Chain) string {
	var text strings.Builder
	for _, segment := range chain.Segments(nil) {
		text.Write(segment)
	}
	return text.String()
}

// goldenRequest returns the request that the golden cases start from.
func goldenRequest() director.Request {
	return director.Request{Ref: "9b1f03aa5c7e2d41", Service: "segment", Object: "7f3a9c21e0b4d655", Part: "3"}
}

// compareGolden compares lines with a golden file. With the flag -update it writes the file instead.
func compareGolden(t *testing.T, name string, lines []string) {
	t.Helper()
	file := filepath.Join("testdata", "golden", name)
	text := strings.Join(lines, "\n") + "\n"
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(text, "\n")); diff != "" {
		t.Errorf("%s differs (-want +got):\n%s", file, diff)
	}
}
