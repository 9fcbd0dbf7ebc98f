package director

import (
	"testing"
	"time"

	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// An attempt can fail before Send returns. The event for its end must wait until all actions of the current list have
// been performed, because the router's list of actions is valid only until the router handles the next event.
func TestAttemptEndWithinSendIsQueued(t *testing.T) {
	h := newHarness(t)
	h.onSend = func(attempt handle.Handle) {
		h.director.AttemptEnded(attempt, AttemptResult{Result: routing.ConnectFailed})
	}
	h.submit(paymentClass)
	h.advance(5 * time.Second)
	h.wantResponses("rejected")
	if len(h.sentAttempts) < 1 || len(h.sentAttempts) > 3 {
		t.Errorf("sent %d attempts, want 1 to 3", len(h.sentAttempts))
	}
}

// A cache can be drained while the process is stopped (in the testbed: for 5 s). After such a pause, the process must
// not send its waiting requests to this cache. So the router must get discovery events only while the director is
// suspended, and requests must be routed after Resume, according to these events.
func TestSuspendedRequestsFollowDiscoveryEvents(t *testing.T) {
	h := newHarness(t)
	h.director.Suspend(100 * time.Millisecond)
	h.submit(readClass)
	if len(h.sentAttempts) != 0 {
		t.Fatalf("sent %v while suspended, want no attempt", h.sentAttempts)
	}
	h.director.UpdateEndpoints(false, 2, []Endpoint{
		cacheEndpoint("c1", routing.Draining, 0),
		cacheEndpoint("c2", routing.Ready, 0),
	})
	h.director.Resume(true)
	if len(h.sentAttempts) != 1 || h.sentAttempts[0].host != hostForName("c2") {
		t.Fatalf("sent %v, want one attempt to c2, which is ready", h.sentAttempts)
	}
	result := AttemptResult{Result: routing.OK, FillStatus: routing.FillStatusHit}
	h.director.AttemptEnded(h.sentAttempts[0].handle, result)
	h.wantResponses("served")
}

// If a client cancels its request while the director is suspended, an attempt of the request that waits for a
// connection must be cancelled immediately, not after Resume. Otherwise, it could be written for a client that no
// longer waits.
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
		t.Error("upstream writes are not suspended after Suspend")
	}
	h.director.Cancel(request)
	if len(cancelled) != 1 || cancelled[0] != h.sentAttempts[0].handle {
		t.Errorf("cancelled attempts %v, want only %v", cancelled, h.sentAttempts[0].handle)
	}
	h.director.Resume(false)
	if h.writesSuspended {
		t.Error("upstream writes are still suspended after Resume")
	}
	h.wantResponses()
}

// A request that is read after a pause may have waited unread for the whole pause, even if the pause is detected only
// when the request is read. The timeout passed to the cache must be shorter by the pause: it must not exceed the time
// that the client still waits. If no time is left, the request must be rejected immediately.
func TestPauseShortensTimeoutOfUnreadRequests(t *testing.T) {
	pause := time.Duration(0)
	var h *harness
	h = newHarness(t, func(cfg *Config) {
		cfg.CheckForPause = func() {
			if pause > 0 {
				h.director.Suspend(pause)
			}
		}
	})
	h.submit(readClass)
	fullTimeout := h.sentAttempts[0].request.Timeout
	pause = 300 * time.Millisecond
	h.submit(readClass)
	pause = 0
	h.director.Resume(false)
	if got := h.sentAttempts[1].request.Timeout; got != fullTimeout-300*time.Millisecond {
		t.Errorf("timeout after a pause of 300ms = %v, want %v", got, fullTimeout-300*time.Millisecond)
	}
	pause = fullTimeout
	h.submit(readClass)
	if n := h.director.Counters.RequestsRejected; n != 1 {
		t.Errorf("RequestsRejected = %d, want 1 for the request with no time left", n)
	}
	pause = 0
	h.director.Resume(false)
	h.submit(readClass)
	if got := h.sentAttempts[2].request.Timeout; got != fullTimeout {
		t.Errorf("timeout after Resume = %v, want %v", got, fullTimeout)
	}
}
