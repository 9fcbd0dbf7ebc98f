package upstream

import (
	"testing"
	"time"

	"shaleyard/internal/director"
	"shaleyard/internal/handle"
	"shaleyard/routing"
)

func TestRequestFields(t *testing.T) {
	plain := director.Request{Service: "media", Object: "7f3a", Part: "3", IfNoneMatch: "k"}
	keyed := plain
	keyed.IdempotencyKey = "5c0f"
	for _, tc := range []struct {
		name    string
		request director.UpstreamRequest
		want    string
	}{
		{
			name: "fill from a source",
			request: director.UpstreamRequest{
				Request:       &plain,
				Source:        "s-1",
				RetentionRank: 2,
				FetchFlags:    routing.CoalesceFill | routing.StaleWhileRevalidate,
				MaxAge:        8999 * time.Microsecond,
			},
			want: "sort=media,asset=7f3a,slice=3,patience=1500,up=s-1,store=2,cap=8,do=share+swr,inm=k",
		},
		{
			name:    "cached copies only",
			request: director.UpstreamRequest{Request: &plain, FetchFlags: routing.OnlyIfCached, MaxAge: 1},
			want:    "sort=media,asset=7f3a,slice=3,patience=1500,cap=1,do=peek,inm=k",
		},
		{
			name:    "idempotency key",
			request: director.UpstreamRequest{Request: &keyed, Source: "s-1"},
			want:    "sort=media,asset=7f3a,slice=3,patience=1500,op=5c0f,up=s-1,inm=k",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := string(appendRequestFields(nil, tc.request, 1500*time.Millisecond)); got != tc.want {
				t.Errorf("got  %s\nwant %s", got, tc.want)
			}
		})
	}
}

// A retry whose idempotency window ends while it waits for its connection could be executed a second time. It must not
// be written, and must be reported as never executed.
func TestRetryAfterIdempotencyWindowIsNotWritten(t *testing.T) {
	for _, tc := range []struct {
		name    string
		after   time.Duration
		written bool
	}{
		{"within the window", 400 * time.Millisecond, true},
		{"past the window", 500 * time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness()
			h.pools.Send(1, 1, director.UpstreamRequest{
				Request:              &director.Request{Ref: "r1"},
				Timeout:              2 * time.Second,
				IdempotencyWindowEnd: h.now + 500*time.Millisecond,
			})
			h.now += tc.after
			socket := h.open(0)
			if written := socket.Written.Len() > 0; written != tc.written {
				t.Errorf("connection opened after %v: got written %v, want %v", tc.after, written, tc.written)
			}
			want := map[handle.Handle]routing.Result{}
			if !tc.written {
				want[1] = routing.Abandoned
			}
			h.wantResults(t, want)
		})
	}
}
