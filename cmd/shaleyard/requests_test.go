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

// withoutField drops a field, such as one that depends on the time, from the FIELDS of a request to a cache.
func withoutField(fields, name string) string {
	var kept []string
	for field := range strings.SplitSeq(fields, ",") {
		if !strings.HasPrefix(field, name+"=") {
			kept = append(kept, field)
		}
	}
	return strings.Join(kept, ",")
}

func TestAnswerReachesTheClientWhole(t *testing.T) {
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
		t.Error(diff)
	}
	body := strings.Repeat("0123456789abcdef", 15_000)
	cacheConn.WriteArray(ref1, "OK", "n=HIT,rev=tag2,since=1764576000000,l=active:3", body)
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 1, Body: body, Good: true})

	client.Submit(2, "", append(requestFields("media", ref2), "known", "tag2")...)
	cacheConn.ReadCommand()
	cacheConn.WriteArray(ref2, "SAME", "n=HIT,rev=tag2,since=1764576000000", "")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 2, Good: true, Fields: map[string]string{"valid": "1"}})
}

// A flood meets a director that has just started: it admits as many requests as it can hope to answer, rejects the rest
// at once with a Retry-After of its own for each, and admits twice as many when those are answered.
func TestFloodAfterAStartIsLetInAsAnswersCome(t *testing.T) {
	env := startWithLimits(t, 1024, io.Discard, func(limits *config.Limits) { limits.MaxConnsPerEndpoint = 1 })
	flood := func(client *nettest.Conn, from, count int) {
		for i := range count {
			client.Submit(int32(from+i), "", requestFields("media", fmt.Sprintf("%016x", 1000+from+i))...)
		}
	}
	const admitted, count = 16, 30
	one, two := env.dial(), env.dial()
	flood(one, 1, count)
	waits := map[string]bool{}
	wantRejected := func(client *nettest.Conn, count int) {
		t.Helper()
		for range count {
			reply := client.ReadReply()
			if reply.Field != 1 || reply.Fields["cooldown"] == "" {
				t.Fatalf("%+v, want a refusal that says when to come back", reply)
			}
			waits[reply.Fields["cooldown"]] = true
		}
	}
	wantRejected(one, count-admitted)
	flood(two, 1, count)
	wantRejected(two, count)
	if len(waits) < 20 {
		t.Errorf("%d different times to come back for %d clients", len(waits), 2*count-admitted)
	}
	cacheConn := env.cache.Accept()
	serve := func(count int) {
		t.Helper()
		for range count {
			cacheConn.WriteArray(cacheConn.ReadCommand()[1], "OK", "n=HIT,rev=t,since=1764576000000", "x")
		}
		for range count {
			if reply := one.ReadReply(); !reply.Good {
				t.Fatalf("%+v, want an answer", reply)
			}
		}
	}
	serve(admitted)
	flood(one, count+1, count)
	serve(count)
}

// A reset after a repayment was written may have come after it ran: it must neither be retried nor rejected.
func TestRepaymentIsNotSentAgainAfterAReset(t *testing.T) {
	env := startProgram(t)
	client := env.dial()
	client.Submit(1, "pay", requestFields("repayment", ref1)...)
	cacheConn := env.cache.Accept()
	if got := cacheConn.ReadCommand(); got[3] != "pay" {
		t.Errorf("body %q", got[3])
	}
	cacheConn.Reset()
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 1, Field: 2})
}

// A malformed answer ends its connection, and with that all attempts on it: that must be one attempt, so that a
// repayment does not fail with the answers of others. The cache itself is not blamed: it gets further attempts.
func TestSpoiltAnswerEndsOneAttempt(t *testing.T) {
	env := startProgram(t)
	client := env.dial()
	client.Submit(1, "pay", requestFields("repayment", ref1)...)
	pay := env.cache.Accept()
	pay.ReadCommand()
	client.Submit(2, "", requestFields("media", ref2)...)
	spoilt := env.cache.Accept()
	spoilt.ReadCommand()
	spoilt.Send("*4\r\n$noise")
	spoilt.ReadUntilClose()
	client.Submit(3, "", requestFields("media", ref3)...)
	cacheConn := env.cache.Accept()
	if got := cacheConn.ReadCommand(); got[1] != ref3 {
		t.Errorf("the cache was asked for %s, want %s", got[1], ref3)
	}
	pay.WriteArray(ref1, "OK", "-", "paid")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 1, Body: "paid", Good: true})
}

// Refused connections prove that nothing ran: the repayment may be rejected, which lets the client retry.
func TestRepaymentIsRefusedWhenItNeverRan(t *testing.T) {
	env := startProgram(t)
	env.cache.Close()
	env.origin.Close()
	client := env.dial()
	client.Submit(1, "pay", requestFields("repayment", ref1)...)
	if reply := client.ReadReply(); reply.Field != 1 {
		t.Errorf("answer %+v, want a refusal", reply)
	}
}

// A revoked request cancels its attempts, and what its cache still answers goes to nobody.
func TestRevokeStopsTheAttempt(t *testing.T) {
	env := startProgram(t)
	client := env.dial()
	client.Submit(1, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	client.Revoke(1)
	if diff := cmp.Diff([]string{"STOP", ref1}, cacheConn.ReadCommand()); diff != "" {
		t.Error(diff)
	}
	cacheConn.WriteArray(ref1, "OK", "n=HIT", "late")
	client.Submit(2, "", requestFields("media", ref2)...)
	cacheConn.ReadCommand()
	cacheConn.WriteArray(ref2, "OK", "n=HIT", "in time")
	env.wantReply(client.ReadReply(), nettest.Reply{Seq: 2, Body: "in time", Good: true})
}

func TestDeadClientEndsItsRequests(t *testing.T) {
	env := startProgram(t)
	client := env.dial()
	client.Submit(1, "", requestFields("media", ref1)...)
	cacheConn := env.cache.Accept()
	cacheConn.ReadCommand()
	client.Reset()
	if diff := cmp.Diff([]string{"STOP", ref1}, cacheConn.ReadCommand()); diff != "" {
		t.Error(diff)
	}
}
