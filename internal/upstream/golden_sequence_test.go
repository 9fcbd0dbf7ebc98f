package upstream

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"shaleyard/internal/director"
	"shaleyard/internal/handle"
	"shaleyard/internal/nettest"
)

// TestGoldenSequences compares with the golden file what sequences of events write to connections and which results the
// attempts get.
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

// wireScript runs the steps of a sequence and records the effects of each step: dials, written bytes, closed
// connections and results of attempts.
type wireScript struct {
	recorder *wireRecorder
	links    []*nettest.FakeConn
	written  []int
	closed   []bool
	ended    int
	dialled  int
	lines    []string
}

// step runs one step of a sequence and records its effects since the previous step.
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

// send starts an attempt of a request with the ID ref, at host 1 with a timeout of 1.5 seconds.
func (s *wireScript) send(attempt handle.Handle, ref string) {
	s.step("send "+ref, func() {
		request := goldenRequest()
		request.Ref = ref
		s.recorder.pools.Send(attempt, 1, director.UpstreamRequest{Request: &request, Timeout: 1500 * time.Millisecond})
	})
}

// open completes the dial with the given index successfully.
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
		call := director.UpstreamRequest{
			Request:              &request,
			Timeout:              2 * time.Second,
			NonIdempotent:        true,
			IdempotencyWindowEnd: r.now + 500*time.Millisecond,
		}
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
