package downstream

import (
	"math"
	"shaleyard/internal/director"
	"strings"
	"testing"
	"time"
)

// TestGoldenAnswers compares the bytes of all kinds of answers with a golden file.
func TestGoldenAnswers(t *testing.T) {
	served := director.Response{Outcome: director.Served}
	same := director.Response{Outcome: director.Served, NotModified: true}
	failed := director.Response{Outcome: director.Failed}
	rejected := func(after time.Duration) director.Response {
		return director.Response{Outcome: director.Rejected, RetryAfter: after}
	}
	var all strings.Builder
	for _, c := range []struct {
		name   string
		answer director.Response
		body   []byte
	}{
		{"served without a body", served, nil},
		{"served, empty body", served, []byte{}},
		{"served, one byte", served, []byte{0}},
		{"served, body of a buffer", served, goldenPattern(4096)},
		{"served, body of a buffer and a byte", served, goldenPattern(4097)},
		{"served, body of several buffers", served, goldenPattern(10_000)},
		{"served, the largest object", served, goldenPattern(240_000)},
		{"served, binary body", served, []byte("\x00\xff\r\n\x80\x01\x00\x02")},
		{"served from the client's copy", same, nil},
		{"served from the client's copy, with a body that is not passed on", same, goldenPattern(300)},
		{"rejected without cooldown", rejected(0), nil},
		{"rejected, cooldown below zero", rejected(-time.Second), nil},
		{"rejected, cooldown 1 ns", rejected(1), nil},
		{"rejected, cooldown 1 ms", rejected(time.Millisecond), nil},
		{"rejected, cooldown 1 ms and 1 ns", rejected(time.Millisecond + 1), nil},
		{"rejected, cooldown 1.5 s", rejected(1500 * time.Millisecond), nil},
		{"rejected, cooldown 1 h", rejected(time.Hour), nil},
		{"failed", failed, nil},
		{"failed, with a body that is not passed on", failed, goldenPattern(10)},
		{"rejected, with a body that is not passed on", rejected(time.Second), goldenPattern(10)},
	} {
		for _, seqid := range []int32{1, 0x01020304, math.MaxInt32, -1, 0} {
			g := newGoldenConnection(t, goldenOptions{})
			g.transcript.line("%s, seqid %d", c.name, seqid)
			g.receive(goldenSubmit(seqid, "", goldenFields()...), 1<<20)
			g.reply(0, c.answer, c.body)
			all.WriteString(g.end())
		}
	}
	all.WriteString(goldenAnswerOrders(t))
	all.WriteString(goldenHeartbeats(t))
	all.WriteString(goldenLocalRejections(t))
	checkGolden(t, "answers.txt", all.String())
}

// goldenAnswerOrders returns the transcript of answers that come in another order than their requests, twice, after a
// revoke, or after the connection has closed.
func goldenAnswerOrders(t *testing.T) string {
	t.Helper()
	served := director.Response{Outcome: director.Served}
	g := newGoldenConnection(t, goldenOptions{})
	g.transcript.line("answers in another order, one of them again, one behind its revoke, one behind the end")
	for seqid := range int32(3) {
		g.receive(goldenSubmit(seqid+1, "", goldenFields()...), 1<<20)
	}
	g.reply(2, served, []byte("third"))
	g.reply(0, director.Response{Outcome: director.Failed}, nil)
	g.reply(0, served, []byte("first again"))
	g.receive(goldenFrame(goldenMessage(4, "revoke", 9, "\x08\x00\x01"+goldenInt32(2)+"\x00")), 1<<20)
	g.reply(1, served, []byte("revoked"))
	g.receive(goldenSubmit(4, "", goldenFields()...), 1<<20)
	text := g.end()
	g.transcript.Reset()
	g.reply(3, served, []byte("behind the end"))
	return text + g.transcript.String()
}

// goldenHeartbeats returns the transcripts of heartbeats in ready and not ready states.
func goldenHeartbeats(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	for _, notReady := range []bool{false, true} {
		for _, arguments := range []string{"\x02\x00\x01\x00\x00", "\x02\x00\x01\x01\x00", "\x00", ""} {
			for _, seqid := range []int32{1, 77, math.MaxInt32, -5} {
				g := newGoldenConnection(t, goldenOptions{notReady: notReady})
				g.transcript.line("heartbeat with arguments %x, seqid %d, ready %v", arguments, seqid, !notReady)
				g.receive(goldenFrame(goldenMessage(1, "heartbeat", seqid, arguments)), 1<<20)
				all.WriteString(g.end())
			}
		}
	}
	g := newGoldenConnection(t, goldenOptions{})
	g.transcript.line("heartbeats as the state changes, one behind a graceful close")
	heartbeat := func(seqid int32) { g.receive(goldenFrame(goldenMessage(1, "heartbeat", seqid, "\x00")), 1<<20) }
	heartbeat(1)
	g.ready = false
	heartbeat(2)
	g.ready = true
	heartbeat(3)
	g.server.StartGracefulClose()
	heartbeat(4)
	g.server.CancelGracefulClose()
	all.WriteString(g.end())
	return all.String()
}

// goldenLocalRejections returns the transcripts of rejections of requests that the handler has not accepted.
func goldenLocalRejections(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	for _, cooldown := range []time.Duration{0, time.Millisecond, 700 * time.Millisecond, 2 * time.Minute} {
		for _, c := range []struct {
			name    string
			options goldenOptions
			body    string
			count   int32
		}{
			{"too many open on the connection", goldenOptions{}, "", 4},
			{"no request is taken", goldenOptions{tableFull: true}, "body", 1},
			{"no buffer for the body", goldenOptions{buffers: 1}, strings.Repeat("b", 5000), 1},
		} {
			c.options.cooldown = cooldown
			g := newGoldenConnection(t, c.options)
			g.transcript.line("%s, cooldown %d ms", c.name, cooldown/time.Millisecond)
			for seqid := range c.count {
				g.receive(goldenSubmit(seqid+1, c.body, goldenFields()...), 1<<20)
			}
			all.WriteString(g.end())
		}
	}
	return all.String()
}
