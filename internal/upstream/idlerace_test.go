package upstream

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// Endpoints may drop idle connections sooner than they say. A reset under the first request after an idle time teaches
// not to use connections again that were idle for so long; what was spoilt, or reset under a first request, teaches
// nothing.
func TestResetAfterIdleTimeShortensIt(t *testing.T) {
	const idle = 300 * time.Millisecond
	for _, tc := range []struct {
		name      string
		idle      time.Duration
		end       func(*testing.T, *harness)
		usedAgain bool // a connection that was idle for as long
	}{
		{"reset after an idle time", idle, func(_ *testing.T, h *harness) { h.dials[0].Closed() }, false},
		{"noise", idle, func(t *testing.T, h *harness) {
			if err := h.dials[0].Data([]byte("noise")); err == nil {
				t.Error("noise was taken")
			}
			h.dials[0].Closed()
		}, true},
		{"closed behind its response", idle, func(t *testing.T, h *harness) {
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
			if usedAgain := len(h.dials) == 2; usedAgain != tc.usedAgain {
				t.Errorf("after %v idle: used again %v, want %v", tc.idle, usedAgain, tc.usedAgain)
			}
		})
	}
}

// Found on a day with cold caches: each director took the resets of a cache that died for idle times that were too
// long, at all caches, and for good: every attempt opened a connection from then on. Only a request that crossed the
// close of its connection alone tells of idle times, and what it tells ages.
func TestOnlyIdleCloseRacesShortenIdleTime(t *testing.T) {
	const untouched = 10 * time.Second
	for _, tc := range []struct {
		name string
		end  func(*testing.T, *harness)
		want time.Duration // idle connections are used again for
	}{
		{"crossed", func(_ *testing.T, h *harness) { h.dials[0].Closed() }, 225 * time.Millisecond},
		{"reset while it worked", func(_ *testing.T, h *harness) {
			h.now += 51 * time.Millisecond
			h.dials[0].Closed()
		}, untouched},
		{"the endpoint has died", func(_ *testing.T, h *harness) {
			h.dials[0].Closed()
			h.now += 10 * time.Millisecond
			h.dials[1].Closed()
		}, untouched},
		{"an idle one first", func(_ *testing.T, h *harness) {
			h.dials[1].Closed()
			h.dials[0].Closed()
		}, untouched},
		{"the next is refused", endThenRefuse, untouched},
		{"a restart", func(_ *testing.T, h *harness) {
			h.dials[0].Closed()
			h.pools.UpdateEndpoint(1, "c1", "a", h.now)
		}, untouched},
		{"removed", func(_ *testing.T, h *harness) {
			h.dials[0].Closed()
			h.pools.RemoveEndpoint(1)
		}, untouched},
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
			if got := h.pools.idleReuse.Value(h.now); got != tc.want {
				t.Errorf("idle ones are used again for %v, want %v", got, tc.want)
			}
		})
	}
}

// endThenRefuse ends all connections, the last one under a request after an idle time, and then refuses the next dial.
func endThenRefuse(t *testing.T, h *harness) {
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
