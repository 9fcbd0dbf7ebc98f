package upstream

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"shaleyard/internal/director"
	"shaleyard/internal/nettest"
	"shaleyard/routing"
)

type upstreamRequest = director.UpstreamRequest

// requestCase is one golden request: the result of goldenRequest with a body, changed further by modify.
type requestCase struct {
	name   string
	body   string
	modify func(*upstreamRequest, *director.Request)
}

// TestGoldenRequests compares the encoded bytes of requests with the golden file, for each field and each combination
// of fetch flags.
func TestGoldenRequests(t *testing.T) {
	cases := append(requestFieldCases(), requestValueCases()...)
	lines := make([]string, 0, len(cases))
	for _, tc := range cases {
		recorder := newWireRecorder()
		request := goldenRequest()
		request.Body = recorder.body(t, tc.body)
		call := director.UpstreamRequest{Request: &request, Timeout: 1500 * time.Millisecond}
		tc.modify(&call, &request)
		recorder.pools.Send(1, 1, call)
		socket := &nettest.FakeConn{}
		recorder.dials[0].Opened(socket)
		request.Body.Release()
		lines = append(lines, fmt.Sprintf("%s: %q", tc.name, socket.Written.String()))
	}
	compareGolden(t, "requests.txt", lines)
}

// requestFieldCases returns requests with a single optional field, with none and with all of them.
func requestFieldCases() []requestCase {
	return []requestCase{
		{"plain", "", func(*upstreamRequest, *director.Request) {}},
		{"source", "", func(call *upstreamRequest, _ *director.Request) { call.Source = "s-00c41f7a" }},
		{"share", "", func(call *upstreamRequest, _ *director.Request) { call.FetchFlags = routing.CoalesceFill }},
		{"peek", "", func(call *upstreamRequest, _ *director.Request) { call.FetchFlags = routing.OnlyIfCached }},
		{"pass", "", func(call *upstreamRequest, _ *director.Request) { call.FetchFlags = routing.ParentNoStore }},
		{"swr", "", func(call *upstreamRequest, _ *director.Request) {
			call.FetchFlags = routing.StaleWhileRevalidate
		}},
		{"client's tag", "", func(_ *upstreamRequest, request *director.Request) {
			request.IfNoneMatch = "4be0c1927d55a6f3"
		}},
		{
			"idempotency key",
			"",
			func(_ *upstreamRequest, request *director.Request) { request.IdempotencyKey = "5c0f" },
		},
		{"must not run twice", "", func(call *upstreamRequest, _ *director.Request) { call.NonIdempotent = true }},
		{"body", "written\r\n\x00\xff", func(*upstreamRequest, *director.Request) {}},
		{"body in several buffers", strings.Repeat("0123456789", 10), func(*upstreamRequest, *director.Request) {}},
		{"no words at all", "", func(_ *upstreamRequest, request *director.Request) { *request = director.Request{} }},
		{"everything", "b", func(call *upstreamRequest, request *director.Request) {
			request.IfNoneMatch, request.IdempotencyKey = "tag1", "key1"
			call.Source, call.RetentionRank, call.FetchFlags, call.MaxAge = "origin", 3, 15, 2500*time.Millisecond
		}},
	}
}

// requestValueCases returns requests with various values of the retention rank, the fetch flags, the maximum age and
// the timeout.
func requestValueCases() (cases []requestCase) {
	add := func(name string, modify func(*upstreamRequest, *director.Request)) {
		cases = append(cases, requestCase{name: name, modify: modify})
	}
	for rank := range 4 {
		add(
			fmt.Sprintf("rank %d", rank),
			func(call *upstreamRequest, _ *director.Request) { call.RetentionRank = uint8(rank) },
		)
	}
	for flags := range 16 {
		add(fmt.Sprintf("switches %04b", flags), func(call *upstreamRequest, _ *director.Request) {
			call.Source, call.FetchFlags = "s-1", routing.FetchFlags(flags)
		})
	}
	for _, age := range []time.Duration{0, 1, 999 * time.Microsecond, time.Millisecond, 8999 * time.Microsecond,
		time.Hour} {
		add(fmt.Sprintf("oldest copy %v", age), func(call *upstreamRequest, _ *director.Request) { call.MaxAge = age })
	}
	for _, timeout := range []time.Duration{0, 1, 1999 * time.Microsecond, 2 * time.Millisecond, time.Minute} {
		add(
			fmt.Sprintf("patience %v", timeout),
			func(call *upstreamRequest, _ *director.Request) { call.Timeout = timeout },
		)
	}
	return cases
}
