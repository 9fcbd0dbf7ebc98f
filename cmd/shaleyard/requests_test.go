package main

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"shaleyard/internal/config"
	"shaleyard/internal/nettest"
)

// withoutField returns the comma-separated fields of a request to a cache without the field of the given name. Tests
// use it to drop fields that depend on the time.
func withoutField(fields, name string) string {
	var kept []string
	for field := range strings.SplitSeq(fields, ",") {
		if !strings.HasPrefix(field, name+"=") {
			kept = append(kept, field)
		}
	}
	return strings.Join(kept, ",")
}

// A client must get the complete body of an answer, here 240 kB. If the client's own copy is still valid, which the
// cache reports by SAME, the client must get an empty body and the field valid=1.
func TestClientGetsCompleteAnswer(t *testing.T) {
	env := startProgram(t)
	client := env.dial()
	client.Submit(1, "", append(requestFields("media", ref1), "known", "tag1")...)
	cacheConn := env.cache.Accept()
	got := cacheConn.ReadCommand()
	if len(got) == 4 {
		got[2] = withoutField(got[2], "patience")
	}
	want := []string{"REQ", ref1, "sort=media,asset=7f3a9c21e0b4d655,slice=3,up=o,store=1,do=share,inm=tag1", ""}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("command mismatch (-want +got):\n%s", diff)
	}
	body := strings.Repeat("0123456789abcdef", 15_000)
	cacheConn.WriteArray(ref1, "OK", "n=HIT,rev=tag2,since=1764576000000,l=active:3", body)
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 1, Body: body, Good: true})

	client.Submit(2, "", append(requestFields("media", ref2), "known", "tag2")...)
	cacheConn.ReadCommand()
	cacheConn.WriteArray(ref2, "SAME", "n=HIT,rev=tag2,since=1764576000000", "")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 2, Good: true, Fields: map[string]string{"valid": "1"}})
}

// A director that has just started must not accept more requests than it may be able to answer. It admits 16 of a flood
// of requests and rejects the others at once. Each rejection has a retry time of its own (field cooldown), so that the
// clients do not all return at the same time. Once the 16 requests are answered, the director admits twice as many.
func TestAdmissionAfterStartGrowsWithAnswers(t *testing.T) {
	env := startWithLimits(t, 1024, io.Discard, func(limits *config.Limits) { limits.MaxConnsPerEndpoint = 1 })
	flood := func(client *nettest.Conn, from, count int) {
		for i := range count {
			client.Submit(int32(from+i), "", requestFields("media", fmt.Sprintf("%016x", 1000+from+i))...)
		}
	}
	const admitted, count = 16, 30
	first, second := env.dial(), env.dial()
	flood(first, 1, count)
	retryAfters := map[string]bool{}
	wantRejected := func(client *nettest.Conn, count int) {
		t.Helper()
		for range count {
			reply := client.ReadReply()
			if reply.Field != 1 || reply.Fields["cooldown"] == "" {
				t.Fatalf("reply %+v, want a rejection with a cooldown", reply)
			}
			retryAfters[reply.Fields["cooldown"]] = true
		}
	}
	wantRejected(first, count-admitted)
	flood(second, 1, count)
	wantRejected(second, count)
	if len(retryAfters) < 20 {
		t.Errorf("got %d different cooldowns for %d rejections, want at least 20", len(retryAfters), 2*count-admitted)
	}
	cacheConn := env.cache.Accept()
	serve := func(count int) {
		t.Helper()
		for range count {
			cacheConn.WriteArray(cacheConn.ReadCommand()[1], "OK", "n=HIT,rev=t,since=1764576000000", "x")
		}
		for range count {
			if reply := first.ReadReply(); !reply.Good {
				t.Fatalf("reply %+v, want an answer", reply)
			}
		}
	}
	serve(admitted)
	flood(first, count+1, count)
	serve(count)
}

// When a connection is reset after a repayment was written to it, the repayment may have run. It must neither be
// retried, which could run it twice, nor rejected, which would let the client retry: it fails (field 2 of the result).
func TestRepaymentIsNotSentAgainAfterAReset(t *testing.T) {
	env := startProgram(t)
	client := env.dial()
	client.Submit(1, "pay", requestFields("repayment", ref1)...)
	cacheConn := env.cache.Accept()
	if got := cacheConn.ReadCommand(); got[3] != "pay" {
		t.Errorf("body %q, want %q", got[3], "pay")
	}
	cacheConn.Reset()
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 1, Field: 2})
}

// A malformed answer ends its connection and every attempt on the connection. An unanswered repayment must therefore
// not share its connection with another request, or the malformed answer to the other request fails the repayment too.
// The malformed answer does not count as a failure of the cache, which gets further attempts.
func TestMalformedAnswerEndsOneAttempt(t *testing.T) {
	env := startProgram(t)
	client := env.dial()
	client.Submit(1, "pay", requestFields("repayment", ref1)...)
	payConn := env.cache.Accept()
	payConn.ReadCommand()
	client.Submit(2, "", requestFields("media", ref2)...)
	malformedConn := env.cache.Accept()
	malformedConn.ReadCommand()
	malformedConn.Send("*4\r\n$noise")
	malformedConn.ReadUntilClose()
	client.Submit(3, "", requestFields("media", ref3)...)
	cacheConn := env.cache.Accept()
	if got := cacheConn.ReadCommand(); got[1] != ref3 {
		t.Errorf("cache got request %s, want %s", got[1], ref3)
	}
	payConn.WriteArray(ref1, "OK", "-", "paid")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 1, Body: "paid", Good: true})
}

// If all connections are refused, a repayment cannot have run. It must be rejected (field 1 of the result), which lets
// the client retry, and not reported as failed.
func TestRepaymentThatNeverRanIsRejected(t *testing.T) {
	env := startProgram(t)
	env.cache.Close()
	env.origin.Close()
	client := env.dial()
	client.Submit(1, "pay", requestFields("repayment", ref1)...)
	if reply := client.ReadReply(); reply.Field != 1 {
		t.Errorf("reply %+v, want a rejection", reply)
	}
}

// When a client revokes a request, the director must cancel the attempt at the cache, and must not forward the answer
// that the cache still sends.
func TestRevokeCancelsTheAttempt(t *testing.T) {
	env := startProgram(t)
	client := env.dial()
	client.Submit(1, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	client.Revoke(1)
	if diff := cmp.Diff([]string{"STOP", ref1}, cacheConn.ReadCommand()); diff != "" {
		t.Errorf("command mismatch (-want +got):\n%s", diff)
	}
	cacheConn.WriteArray(ref1, "OK", "n=HIT", "late")
	client.Submit(2, "", requestFields("media", ref2)...)
	cacheConn.ReadCommand()
	cacheConn.WriteArray(ref2, "OK", "n=HIT", "in time")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 2, Body: "in time", Good: true})
}

// When a client's connection is reset, the director must cancel the attempts of the client's open requests.
func TestClientResetCancelsItsAttempts(t *testing.T) {
	env := startProgram(t)
	client := env.dial()
	client.Submit(1, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	client.Reset()
	if diff := cmp.Diff([]string{"STOP", ref1}, cacheConn.ReadCommand()); diff != "" {
		t.Errorf("command mismatch (-want +got):\n%s", diff)
	}
}
