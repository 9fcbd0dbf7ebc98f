package upstream

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// Endpoints may close idle connections sooner than announced. After a reset during the first request that follows an
// idle time, connections that were idle for that long must not be reused. Other losses must not change the reuse: a
// protocol error, a close after the response, and a reset without an idle time before it.
func TestResetAfterIdleTimeShortensIdleReuse(t *testing.T) {
	const idle = 300 * time.Millisecond
	for _, tc := range []struct {
		name   string
		idle   time.Duration
		end    func(*testing.T, *harness)
		reused bool // whether a connection with the same idle time is still reused
	}{
		{"reset after an idle time", idle, func(_ *testing.T, h *harness) { h.dials[0].Closed() }, false},
		{"malformed data", idle, func(t *testing.T, h *harness) {
			if err := h.dials[0].Data([]byte("noise")); err == nil {
				t.Error("malformed data: got no error, want one")
			}
			h.dials[0].Closed()
		}, true},
		{"closed after the response", idle, func(t *testing.T, h *harness) {
			h.respond(t, 0, "r2", "OK", "-", "x")
			h.dials[0].Closed()
		}, true},
		{"reset without an idle time", 0, func(_ *testing.T, h *harness) { h.dials[0].Closed() }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness()
			h.pools.limits.MaxConnsPerEndpoint = 4
			h.send(1, "r1")
			h.open(0)
			h.respond(t, 0, "r1", "OK", "-", "x")
			h.now += tc.idle
			h.send(2, "r2")
			tc.end(t, h)
			h.send(3, "r3")
			h.open(1)
			h.respond(t, 1, "r3", "OK", "-", "x")
			h.now += idle
			h.runTimers()
			h.send(4, "r4")
			if reused := len(h.dials) == 2; reused != tc.reused {
				t.Errorf("after a loss with idle time %v: got reuse %v, want %v", tc.idle, reused, tc.reused)
			}
		})
	}
}

// Resets by a crashed cache must not count as idle-close races. With cold caches, such resets made each director
// shorten the idle time for all caches and for good, until every attempt opened a new connection. Only a request that
// was sent while its connection alone was being closed may shorten the idle time, and the reduction expires over time.
func TestOnlyIdleCloseRacesShortenIdleReuse(t *testing.T) {
	const unchanged = 10 * time.Second
	for _, tc := range []struct {
		name string
		end  func(*testing.T, *harness)
		want time.Duration // idle time up to which connections are reused
	}{
		{"one close in the request", func(_ *testing.T, h *harness) { h.dials[0].Closed() }, 225 * time.Millisecond},
		{"reset 51 ms after the request", func(_ *testing.T, h *harness) {
			h.now += 51 * time.Millisecond
			h.dials[0].Closed()
		}, unchanged},
		{"all connections closed, the idle one last", func(_ *testing.T, h *harness) {
			h.dials[0].Closed()
			h.now += 10 * time.Millisecond
			h.dials[1].Closed()
		}, unchanged},
		{"all connections closed, the idle one first", func(_ *testing.T, h *harness) {
			h.dials[1].Closed()
			h.dials[0].Closed()
		}, unchanged},
		{"next dial refused", closeAllThenRefuse, unchanged},
		{"endpoint restarted", func(_ *testing.T, h *harness) {
			h.dials[0].Closed()
			h.pools.UpdateEndpoint(1, "c1", "a", h.now)
		}, unchanged},
		{"endpoint removed", func(_ *testing.T, h *harness) {
			h.dials[0].Closed()
			h.pools.RemoveEndpoint(1)
		}, unchanged},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness()
			h.pools.limits.MaxConnsPerEndpoint = 4
			h.send(1, "r1")
			h.send(2, "r2")
			for i, requestID := range []string{"r1", "r2"} {
				h.open(i)
				h.respond(t, i, requestID, "OK", "-", "x")
			}
			h.now += 300 * time.Millisecond
			h.send(3, "r3")
			if h.pools.attempts[3].conn != h.dials[0] {
				h.dials[0], h.dials[1] = h.dials[1], h.dials[0]
			}
			tc.end(t, h)
			h.now += h.pools.limits.IdleCloseRaceWindow
			h.runTimers()
			if got := h.pools.idleReuseTimeout.Value(h.now); got != tc.want {
				t.Errorf("got reuse up to an idle time of %v, want %v", got, tc.want)
			}
		})
	}
}

// closeAllThenRefuse closes all connections, opens one more, closes that during the first request after an idle time,
// and refuses the next dial.
func closeAllThenRefuse(t *testing.T, h *harness) {
	t.Helper()
	h.dials[0].Closed()
	h.dials[1].Closed()
	h.now += 200 * time.Millisecond
	h.send(9, "r9")
	h.open(2)
	h.respond(t, 2, "r9", "OK", "-", "x")
	h.now += 300 * time.Millisecond
	h.send(10, "r10")
	h.dials[2].Closed()
	h.send(11, "r11")
	h.dials[3].Failed(fmt.Errorf("connect: %w", syscall.ECONNREFUSED))
}
