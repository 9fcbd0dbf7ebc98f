package upstream

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
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

// The golden files hold what the package sends and how it reads what it is sent, in the protocol's own words and in
// labels that are defined here, so that no Go name occurs in them and no rename can change them.

var updateGolden = flag.Bool("update", false, "write the golden files in testdata/golden")

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

var goldenNotes = map[routing.FillStatus]string{
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

// wireRecorder is one set of pools on scripted dials. It records each result of an attempt as text.
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

// Dial implements loop.Dialer.
func (r *wireRecorder) Dial(_ string, _ time.Duration, stream eventloop.Stream) {
	r.dials = append(r.dials, stream)
}

// Ended implements the interface that takes the results of attempts.
func (r *wireRecorder) AttemptEnded(attempt handle.Handle, end director.AttemptResult) {
	r.results = append(r.results, fmt.Sprintf("attempt %d %s note=%s waited=%v load=%v same=%v body=%q",
		attempt, goldenResults[end.Result], goldenNotes[end.FillStatus], end.SourceWait, end.LoadReport, end.NotModified, chainText(&end.Body)))
	end.Body.Release()
}

func (r *wireRecorder) body(t *testing.T, text string) buffer.Chain {
	t.Helper()
	chain := r.buffers.NewChain()
	if err := chain.Append([]byte(text)); err != nil {
		t.Fatal(err)
	}
	return chain
}

// deliver hands bytes to a connection in pieces of one size, as the event loop does: an error ends the connection.
func (r *wireRecorder) deliver(stream eventloop.Stream, text string, size int) (failed bool) {
	for len(text) > 0 {
		piece := min(size, len(text))
		if err := stream.Data([]byte(text[:piece])); err != nil {
			r.lose(stream)
			return true
		}
		text = text[piece:]
	}
	return false
}

// lose ends a connection. All that is in flight on it is lost together, in no particular order: it is recorded in that
// of the attempts.
func (r *wireRecorder) lose(stream eventloop.Stream) {
	before := len(r.results)
	stream.Closed()
	slices.Sort(r.results[before:])
}

// state tells what is left after the events of a case.
func (r *wireRecorder) state() string {
	return fmt.Sprintf("conns=%d buffers=%d unmatched=%d unusable=%d broken-streams=%d", r.pools.NumConns(), r.buffers.InUse(),
		r.pools.Counters.UnmatchedResponses, r.pools.Counters.InvalidResponses, r.pools.Counters.ProtocolErrors)
}

func chainText(chain *buffer.Chain) string {
	var text strings.Builder
	for _, segment := range chain.Segments(nil) {
		text.Write(segment)
	}
	return text.String()
}

func goldenRequest() director.Request {
	return director.Request{Ref: "9b1f03aa5c7e2d41", Service: "segment", Object: "7f3a9c21e0b4d655", Part: "3"}
}

// compareGolden compares lines with a golden file, or writes it under -update.
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

// requestCase is a request with a body; change sets what is peculiar to it.
type requestCase struct {
	name   string
	body   string
	change func(*director.UpstreamRequest, *director.Request)
}

// TestGoldenRequests pins the bytes of each request, with every field and every combination of switches.
func TestGoldenRequests(t *testing.T) {
	var lines []string
	for _, tc := range append(requestFieldCases(), requestFigureCases()...) {
		recorder := newWireRecorder()
		request := goldenRequest()
		request.Body = recorder.body(t, tc.body)
		call := director.UpstreamRequest{Request: &request, Timeout: 1500 * time.Millisecond}
		tc.change(&call, &request)
		recorder.pools.Send(1, 1, call)
		link := &nettest.FakeConn{}
		recorder.dials[0].Opened(link)
		request.Body.Release()
		lines = append(lines, fmt.Sprintf("%s: %q", tc.name, link.Written.String()))
	}
	compareGolden(t, "requests.txt", lines)
}

// requestFieldCases are requests with one field, with none and with all.
func requestFieldCases() []requestCase {
	return []requestCase{
		{"plain", "", func(*director.UpstreamRequest, *director.Request) {}},
		{"source", "", func(call *director.UpstreamRequest, _ *director.Request) { call.Source = "s-00c41f7a" }},
		{"share", "", func(call *director.UpstreamRequest, _ *director.Request) { call.FetchFlags = routing.CoalesceFill }},
		{"peek", "", func(call *director.UpstreamRequest, _ *director.Request) { call.FetchFlags = routing.OnlyIfCached }},
		{"pass", "", func(call *director.UpstreamRequest, _ *director.Request) { call.FetchFlags = routing.ParentNoStore }},
		{"swr", "", func(call *director.UpstreamRequest, _ *director.Request) {
			call.FetchFlags = routing.StaleWhileRevalidate
		}},
		{"client's tag", "", func(_ *director.UpstreamRequest, request *director.Request) { request.IfNoneMatch = "4be0c1927d55a6f3" }},
		{"idempotency key", "", func(_ *director.UpstreamRequest, request *director.Request) { request.IdempotencyKey = "5c0f" }},
		{"must not run twice", "", func(call *director.UpstreamRequest, _ *director.Request) { call.NonIdempotent = true }},
		{"body", "written\r\n\x00\xff", func(*director.UpstreamRequest, *director.Request) {}},
		{"body in several buffers", strings.Repeat("0123456789", 10), func(*director.UpstreamRequest, *director.Request) {}},
		{"no words at all", "", func(_ *director.UpstreamRequest, request *director.Request) { *request = director.Request{} }},
		{"everything", "b", func(call *director.UpstreamRequest, request *director.Request) {
			request.IfNoneMatch, request.IdempotencyKey = "tag1", "key1"
			call.Source, call.RetentionRank, call.FetchFlags, call.MaxAge = "origin", 3, 15, 2500*time.Millisecond
		}},
	}
}

// requestFigureCases are requests with the figures and combinations that a field may hold.
func requestFigureCases() (cases []requestCase) {
	add := func(name string, change func(*director.UpstreamRequest, *director.Request)) {
		cases = append(cases, requestCase{name: name, change: change})
	}
	for rank := range 4 {
		add(fmt.Sprintf("rank %d", rank), func(call *director.UpstreamRequest, _ *director.Request) { call.RetentionRank = uint8(rank) })
	}
	for switches := range 16 {
		add(fmt.Sprintf("switches %04b", switches), func(call *director.UpstreamRequest, _ *director.Request) {
			call.Source, call.FetchFlags = "s-1", routing.FetchFlags(switches)
		})
	}
	for _, age := range []time.Duration{0, 1, 999 * time.Microsecond, time.Millisecond, 8999 * time.Microsecond, time.Hour} {
		add(fmt.Sprintf("oldest copy %v", age), func(call *director.UpstreamRequest, _ *director.Request) { call.MaxAge = age })
	}
	for _, patience := range []time.Duration{0, 1, 1999 * time.Microsecond, 2 * time.Millisecond, time.Minute} {
		add(fmt.Sprintf("patience %v", patience), func(call *director.UpstreamRequest, _ *director.Request) { call.Timeout = patience })
	}
	return cases
}

// TestGoldenSequences pins what is written, and what ends how, over the course of connections.
func TestGoldenSequences(t *testing.T) {
	var lines []string
	for _, tc := range []struct {
		name string
		play func(*wireRecorder, *wireScript)
	}{
		{"the time spent on the dial is taken off", playSlowDial},
		{"the time ran out during the dial", playLateDial},
		{"cancelled before and after it was written", playCancel},
		{"recalled before and after it was written", playRecall},
		{"several on one connection, answers in another order", playShared},
		{"writes suspended and resumed", playSuspended},
		{"a repeat within and past the end of its window", playWindow},
		{"a late answer to what was cancelled", playLateAnswer},
		{"connection lost", playLost},
		{"closed when idle", playIdle},
		{"endpoint restarted", playRestart},
		{"endpoint removed", playRemoved},
		{"unknown endpoint", playUnknown},
		{"descriptors used up", playDescriptors},
		{"dials that fail", playFailedDials},
		{"a reset dial is made again", playResetDial},
	} {
		recorder := newWireRecorder()
		script := &wireScript{recorder: recorder}
		tc.play(recorder, script)
		lines = append(lines, "# "+tc.name)
		lines = append(lines, script.lines...)
		lines = append(lines, recorder.state())
	}
	compareGolden(t, "sequences.txt", lines)
}

// wireScript records what each step of a sequence wrote and which attempts it ended.
type wireScript struct {
	recorder *wireRecorder
	links    []*nettest.FakeConn
	written  []int
	closed   []bool
	ended    int
	dialled  int
	lines    []string
}

// step runs a part of a sequence and records its effects.
func (s *wireScript) step(name string, do func()) {
	do()
	var effects []string
	if dials := len(s.recorder.dials); dials != s.dialled {
		effects = append(effects, fmt.Sprintf("dials %d", dials-s.dialled))
		s.dialled = dials
	}
	for i, link := range s.links {
		if text := link.Written.String(); len(text) > s.written[i] {
			effects = append(effects, fmt.Sprintf("connection %d gets %q", i, text[s.written[i]:]))
			s.written[i] = len(text)
		}
		if link.Closed && !s.closed[i] {
			s.closed[i] = true
			effects = append(effects, fmt.Sprintf("connection %d is closed", i))
		}
	}
	effects = append(effects, s.recorder.results[s.ended:]...)
	s.ended = len(s.recorder.results)
	s.lines = append(s.lines, fmt.Sprintf("%s: %s", name, strings.Join(effects, "; ")))
}

// send starts an attempt with a reference of its own.
func (s *wireScript) send(attempt handle.Handle, ref string) {
	s.step("send "+ref, func() {
		request := goldenRequest()
		request.Ref = ref
		s.recorder.pools.Send(attempt, 1, director.UpstreamRequest{Request: &request, Timeout: 1500 * time.Millisecond})
	})
}

// open ends the dial with a number well, on a new connection.
func (s *wireScript) open(dial int) {
	link := &nettest.FakeConn{}
	s.links = append(s.links, link)
	s.written = append(s.written, 0)
	s.closed = append(s.closed, false)
	s.step("dial succeeds", func() { s.recorder.dials[dial].Opened(link) })
}

func (s *wireScript) answer(dial int, words ...string) {
	s.step("answer "+strings.Join(words, " "), func() {
		text := bulkArray(words...)
		s.recorder.deliver(s.recorder.dials[dial], text, len(text))
	})
}

func (s *wireScript) wait(span time.Duration) {
	s.step(fmt.Sprintf("wait %v", span), func() {
		s.recorder.now += span
		s.recorder.timers.RunDue(s.recorder.now)
	})
}

func (s *wireScript) cancel(attempt handle.Handle) {
	s.step("cancel", func() {
		written := s.recorder.pools.Cancel(attempt)
		s.lines = append(s.lines, fmt.Sprintf("may have been written: %v", written))
	})
}

func (s *wireScript) recall(attempt handle.Handle) {
	s.step("recall", func() {
		recalled := s.recorder.pools.CancelIfUnwritten(attempt)
		s.lines = append(s.lines, fmt.Sprintf("recalled: %v", recalled))
	})
}

func playSlowDial(_ *wireRecorder, s *wireScript) {
	s.send(1, "r1")
	s.wait(400 * time.Millisecond)
	s.open(0)
}

func playLateDial(_ *wireRecorder, s *wireScript) {
	s.send(1, "r1")
	s.wait(2 * time.Second)
	s.open(0)
}

func playCancel(_ *wireRecorder, s *wireScript) {
	s.send(1, "r1")
	s.send(2, "r2")
	s.cancel(1)
	s.open(0)
	s.cancel(2)
	s.cancel(2)
	s.cancel(99)
}

func playRecall(_ *wireRecorder, s *wireScript) {
	s.send(1, "r1")
	s.send(2, "r2")
	s.recall(1)
	s.open(0)
	s.recall(2)
	s.recall(99)
}

func playShared(_ *wireRecorder, s *wireScript) {
	s.send(1, "r1")
	s.send(2, "r2")
	s.send(3, "r3")
	s.open(0)
	s.answer(0, "r3", "OK", "n=HIT", "three")
	s.answer(0, "r1", "MISS")
	s.answer(0, "r2", "BUSY", "-")
	s.answer(0, "r2", "BUSY", "-")
	s.send(4, "r4")
	s.send(5, "r2")
}

func playSuspended(r *wireRecorder, s *wireScript) {
	s.send(1, "r1")
	s.open(0)
	s.step("suspend", r.pools.SuspendWrites)
	s.send(2, "r2")
	s.send(3, "r3")
	s.recall(2)
	s.step("resume", r.pools.ResumeWrites)
}

func playWindow(r *wireRecorder, s *wireScript) {
	r.pools.limits.MaxConnsPerEndpoint = 4
	for i, after := range []time.Duration{400 * time.Millisecond, 500 * time.Millisecond} {
		attempt, ref := handle.Handle(i+1), fmt.Sprintf("r%d", i+1)
		request := goldenRequest()
		request.Ref, request.IdempotencyKey = ref, "key1"
		call := director.UpstreamRequest{Request: &request, Timeout: 2 * time.Second, NonIdempotent: true, IdempotencyWindowEnd: r.now + 500*time.Millisecond}
		s.step("send "+ref, func() { r.pools.Send(attempt, 1, call) })
		s.wait(after)
		s.open(i)
	}
}

func playLateAnswer(_ *wireRecorder, s *wireScript) {
	s.send(1, "r1")
	s.open(0)
	s.cancel(1)
	s.send(2, "r1")
	s.open(1)
	s.answer(0, "r1", "OK", "n=HIT", "late")
	s.answer(1, "r1", "OK", "n=HIT", "good")
}

func playLost(r *wireRecorder, s *wireScript) {
	s.send(1, "r1")
	s.send(2, "r2")
	s.open(0)
	s.step("lost", func() { r.lose(r.dials[0]) })
}

func playIdle(r *wireRecorder, s *wireScript) {
	s.send(1, "r1")
	s.open(0)
	s.answer(0, "r1", "OK", "n=HIT", "x")
	s.wait(r.pools.limits.UpstreamIdleTimeout - 1)
	s.wait(1)
}

func playRestart(r *wireRecorder, s *wireScript) {
	s.send(1, "r1")
	s.open(0)
	s.step("restart", func() { r.pools.UpdateEndpoint(1, "c1", "a", r.now+1) })
	s.send(2, "r2")
	s.open(1)
	s.step("another address", func() { r.pools.UpdateEndpoint(1, "c1", "b", r.now+1) })
}

func playRemoved(r *wireRecorder, s *wireScript) {
	s.send(1, "r1")
	s.open(0)
	s.step("removed", func() { r.pools.RemoveEndpoint(1) })
	s.answer(0, "r1", "OK", "n=HIT", "x")
	s.send(2, "r2")
}

func playUnknown(r *wireRecorder, s *wireScript) {
	request := goldenRequest()
	s.step("send", func() { r.pools.Send(1, 99, director.UpstreamRequest{Request: &request}) })
}

func playDescriptors(r *wireRecorder, s *wireScript) {
	r.pools.limits.MaxConnsPerEndpoint, r.pools.limits.MaxAttemptsPerConn = 8, 1
	for attempt := handle.Handle(1); attempt <= 5; attempt++ {
		s.send(attempt, fmt.Sprintf("r%d", attempt))
	}
}

func playFailedDials(r *wireRecorder, s *wireScript) {
	for i, errno := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ETIMEDOUT, syscall.EMFILE, syscall.ENOBUFS,
		syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH} {
		s.send(handle.Handle(i+1), fmt.Sprintf("r%d", i+1))
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		s.step("dial fails: "+errno.Error(), func() { r.dials[len(r.dials)-1].Failed(err) })
	}
	s.send(99, "r99")
	s.step("dial fails otherwise", func() { r.dials[len(r.dials)-1].Failed(errors.New("otherwise")) })
}

func playResetDial(r *wireRecorder, s *wireScript) {
	s.send(1, "r1")
	for i := range 3 {
		s.step("dial is reset", func() { r.dials[i].Failed(fmt.Errorf("connect: %w", syscall.ECONNRESET)) })
	}
}

// goldenStreams are what an endpoint may send over a connection with the attempts r1 (with the client's copy tag1) and
// r2 (without a copy) in flight.
func goldenStreams() []string {
	streams := wellFormedStreams()
	streams = append(streams, unusableStreams()...)
	return append(streams, brokenStreams()...)
}

// wellFormedStreams are all statuses with all fill notes, for an attempt with and without a copy of the client.
func wellFormedStreams() (streams []string) {
	const rest = ",fill=12.5,l=inflight:7;queue:2;util:0.61;latency_ms:8.5;qps:100;eps:0.25;x1:3,rev=tag1,since=1764576000123"
	for _, id := range []string{"r1", "r2"} {
		for _, status := range []string{"OK", "SAME", "MISS", "BUSY", "ERR", "VOID"} {
			for _, note := range []string{"HIT", "MISS", "MISS_ORIGIN", "COLLAPSED", "STALE", "UP_BUSY", "UP_DOWN", "UP_MISS",
				"NO_FILL", "ORIGIN_ERR"} {
				streams = append(streams, bulkArray(id, status, "n="+note+rest, ""))
			}
			streams = append(streams, bulkArray(id, status), bulkArray(id, status, ""), bulkArray(id, status, "-"), bulkArray(id, status, "-", ""),
				bulkArray(id, status, "-", "body"), bulkArray(id, status, "n=HIT,rev=tag1", strings.Repeat("x\r\n$", 16)))
		}
	}
	for _, fields := range []string{"rev=tag1,since=1", "rev=tag2,since=1", "since=1", "rev=", "rev=tag1,rev=tag2", "fill=0",
		"fill=1e9", "fill=0.0000001", "other=x", "l=", "l=active:1;x1:2", "l=active:1;inflight:2", "l=inflight:2;active:1",
		"l=x1:nan;cpu:1e99;rps:-1", "l=x1;cpu:;:3", "n=HIT,n=STALE"} {
		streams = append(streams, bulkArray("r1", "SAME", fields, ""), bulkArray("r2", "OK", fields, "x"))
	}
	return append(streams,
		bulkArray("r2", "OK", "n=HIT", "two")+bulkArray("r1", "SAME", "rev=tag1", ""),
		bulkArray("r1", "OK", "-", "one")+bulkArray("r1", "OK", "-", "again"),
		bulkArray("r1", "BUSY")+bulkArray("r1", "BUSY")+bulkArray("r2", "MISS"),
		bulkArray("other", "OK", "-", "foreign")+bulkArray("r1", "OK", "-", "own"),
		bulkArray("", "", "", ""))
}

// unusableStreams hold whole answers that no attempt can use.
func unusableStreams() (streams []string) {
	for _, status := range []string{"", "ok", "OKAY", "UP", "STOP"} {
		streams = append(streams, bulkArray("r1", status), bulkArray("r2", status, "n=HIT", "x"))
	}
	for _, fields := range []string{"n", "n=", "n=NEVER", "n=hit", "n=HIT,", ",n=HIT", "fill", "fill=", "fill=-1", "fill=x",
		"fill=NaN", "fill=Inf", "fill=1e10", "fill=1000000001", "--", " -", "x", "n=HIT,x"} {
		streams = append(streams, bulkArray("r1", "OK", fields, "x"), bulkArray("r2", "MISS", fields))
	}
	return append(streams, bulkArray("r1", "SAME", "rev=tag1", "x"), bulkArray("r2", "SAME", "rev=", ""))
}

// brokenStreams are no arrays of bulk strings within the bounds, or end within one.
func brokenStreams() []string {
	whole := bulkArray("r1", "OK", "n=HIT", "body")
	streams := []string{"+OK\r\n", "-ERR no\r\n", ":1\r\n", "$2\r\nOK\r\n", "noise", "\r\n", "\n", "\x00", "*", "*\r\n", "*\n", "*2\n",
		"*0\r\n", "*1\r\n", "*5\r\n", "*-1\r\n", "*+2\r\n", "*02\r\n", "* 2\r\n", "*2 \r\n", "*2\r\r\n", "*99999999999999999999\r\n",
		"*" + strings.Repeat("0", 29) + "2\r\n", "*" + strings.Repeat("0", 30) + "2\r\n", "*" + strings.Repeat("0", 40),
		"*2\r\n$-1\r\n", "*2\r\n:1\r\n", "*2\r\n*2\r\n", "*2\r\n$\r\n", "*2\r\n$2\n", "*2\r\n$3\r\nabcd", "*2\r\n$2\r\nr1\r\r",
		"*2\r\n$2\r\nr1\n\n", "*4\r\n$noise", "*2\r\n$99999999999999999999\r\n",
		"*2\r\n$64\r\n" + strings.Repeat("i", 64) + "\r\n$2\r\nOK\r\n", "*2\r\n$65\r\n",
		"*2\r\n$2\r\nr1\r\n$16\r\n" + strings.Repeat("W", 16) + "\r\n", "*2\r\n$2\r\nr1\r\n$17\r\n",
		"*3\r\n$2\r\nr1\r\n$2\r\nOK\r\n$200\r\n" + strings.Repeat("x", 200) + "\r\n", "*3\r\n$2\r\nr1\r\n$2\r\nOK\r\n$201\r\n",
		"*4\r\n$2\r\nr1\r\n$2\r\nOK\r\n$1\r\n-\r\n$64\r\n" + strings.Repeat("b", 64) + "\r\n",
		"*4\r\n$2\r\nr1\r\n$2\r\nOK\r\n$1\r\n-\r\n$65\r\n",
		bulkArray("r1", "OK", "-", "x") + "noise", bulkArray("r1", "OK") + "*2\r\n$2\r\nr2\r\n$17\r\n", whole + whole[:9],
	}
	for cut := 1; cut < len(whole); cut++ {
		streams = append(streams, whole[:cut])
	}
	return streams
}

// readStream plays a stream to a connection with two attempts in flight, and tells what came of it.
func readStream(stream string, size, spareBuffers int) string {
	recorder := newWireRecorder()
	if spareBuffers > 0 {
		recorder.buffers = buffer.NewPool(16, spareBuffers)
		recorder.pools.buffers = recorder.buffers
	}
	first, second := goldenRequest(), goldenRequest()
	first.Ref, first.IfNoneMatch, second.Ref = "r1", "tag1", "r2"
	recorder.pools.Send(1, 1, director.UpstreamRequest{Request: &first, Timeout: time.Second})
	recorder.pools.Send(2, 1, director.UpstreamRequest{Request: &second, Timeout: time.Second})
	recorder.dials[0].Opened(&nettest.FakeConn{})
	verdict := "stream kept"
	if recorder.deliver(recorder.dials[0], stream, size) {
		verdict = "stream broken"
	}
	return strings.Join(append([]string{verdict, recorder.state()}, recorder.results...), "; ")
}

// TestGoldenResponses pins the reading of answers, whole and in pieces, and of streams that are no answers.
func TestGoldenResponses(t *testing.T) {
	var lines []string
	for _, stream := range goldenStreams() {
		whole := readStream(stream, len(stream), 0)
		for _, size := range []int{1, 7} {
			if diff := cmp.Diff(whole, readStream(stream, size, 0)); diff != "" {
				t.Errorf("%q in pieces of %d (-whole +pieces):\n%s", stream, size, diff)
			}
		}
		lines = append(lines, fmt.Sprintf("%q: %s", stream, whole))
	}
	stream := bulkArray("r1", "OK", "-", strings.Repeat("x", 64))
	for _, buffers := range []int{3, 4} {
		got := readStream(stream, len(stream), buffers)
		lines = append(lines, fmt.Sprintf("%d buffers, %q: %s", buffers, stream, got))
	}
	compareGolden(t, "responses.txt", lines)
}
