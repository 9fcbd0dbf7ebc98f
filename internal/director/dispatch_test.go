package director

import (
	"testing"
	"time"

	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// An attempt can fail before Send returns. The router's next event must then wait for its last actions, as their list
// is valid only until that event.
func TestAttemptEndWithinSendIsQueued(t *testing.T) {
	h := newHarness(t)
	h.onSend = func(attempt handle.Handle) {
		h.director.AttemptEnded(attempt, AttemptResult{Result: routing.ConnectFailed})
	}
	h.submit(paymentClass)
	h.advance(5 * time.Second)
	h.wantResponses("rejected")
	if len(h.sentAttempts) < 1 || len(h.sentAttempts) > 3 {
		t.Errorf("%d attempts, want 1 to 3", len(h.sentAttempts))
	}
}

// Found by the testbed: a process that was stopped for 5 s sent its waiting requests to a cache that had drained
// meanwhile. While the director is suspended, the router is given discovery events only; requests that came in are
// routed by them.
func TestSuspendedRequestsFollowDiscoveryEvents(t *testing.T) {
	h := newHarness(t)
	h.director.Suspend(100 * time.Millisecond)
	h.submit(readClass)
	if len(h.sentAttempts) != 0 {
		t.Fatalf("sent to %v while suspended", h.sentAttempts)
	}
	h.director.UpdateEndpoints(false, 2, []Endpoint{
		cacheEndpoint("c1", routing.Draining, 0),
		cacheEndpoint("c2", routing.Ready, 0),
	})
	h.director.Resume(true)
	if len(h.sentAttempts) != 1 || h.sentAttempts[0].host != hostForName("c2") {
		t.Fatalf("sent %v, want one to the cache that is ready", h.sentAttempts)
	}
	result := AttemptResult{Result: routing.OK, FillStatus: routing.FillStatusHit}
	h.director.AttemptEnded(h.sentAttempts[0].handle, result)
	h.wantResponses("served")
}

// A client cancels its request while the director is suspended and the attempt waits for a connection: the attempt is
// cancelled at once, not when the director resumes.
func TestCancelTakesEffectWhileSuspended(t *testing.T) {
	h := newHarness(t)
	var cancelled []handle.Handle
	h.unwritten = func(attempt handle.Handle) bool {
		cancelled = append(cancelled, attempt)
		return true
	}
	request := h.submit(readClass)
	h.director.Suspend(100 * time.Millisecond)
	if !h.writesSuspended {
		t.Error("upstream writes are not suspended")
	}
	h.director.Cancel(request)
	if len(cancelled) != 1 || cancelled[0] != h.sentAttempts[0].handle {
		t.Errorf("cancelled %v, want the attempt that waits", cancelled)
	}
	h.director.Resume(false)
	if h.writesSuspended {
		t.Error("upstream writes are still suspended")
	}
	h.wantResponses()
}

// A request that is read after a pause, or in the course of one that is noticed only as it is read, may have waited for
// all of the pause: its cache is told what its client has left at least. If that is nothing, it is rejected at once.
func TestPauseShortensTimeoutOfUnreadRequests(t *testing.T) {
	paused := time.Duration(0)
	var h *harness
	h = newHarness(t, func(cfg *Config) {
		cfg.CheckForPause = func() {
			if paused > 0 {
				h.director.Suspend(paused)
			}
		}
	})
	h.submit(readClass)
	fullTimeout := h.sentAttempts[0].request.Timeout
	paused = 300 * time.Millisecond
	h.submit(readClass)
	paused = 0
	h.director.Resume(false)
	if got := h.sentAttempts[1].request.Timeout; got != fullTimeout-300*time.Millisecond {
		t.Errorf("%v passed on, want %v", got, fullTimeout-300*time.Millisecond)
	}
	paused = fullTimeout
	h.submit(readClass)
	if n := h.director.Counters.RequestsRejected; n != 1 {
		t.Errorf("%d rejected, want the one that has nothing left", n)
	}
	paused = 0
	h.director.Resume(false)
	h.submit(readClass)
	if got := h.sentAttempts[2].request.Timeout; got != fullTimeout {
		t.Errorf("%v passed on after the pause, want %v", got, fullTimeout)
	}
}
