package director

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"shaleyard/internal/handle"
	"shaleyard/internal/overload"
	"shaleyard/routing"
)

func TestFirstGoodResultIsPassedOnOnce(t *testing.T) {
	h := newHarness(t)
	h.submit(readClass)
	attempt := h.sentAttempts[0].handle
	h.director.AttemptEnded(attempt, AttemptResult{
		Result: routing.OK, FillStatus: routing.FillStatusHit, Body: h.body("bytes"),
	})
	h.director.AttemptEnded(attempt, AttemptResult{Result: routing.OK, Body: h.body("late")})
	h.advance(5 * time.Second)
	h.wantResponses("served bytes")
}

// A payment that was written and not answered may have run: failed, not rejected. One that still waits for its
// connection never ran.
func TestDeadlineTellsWrittenFromUnwritten(t *testing.T) {
	for _, test := range []struct {
		name    string
		written bool
		want    string
	}{
		{"written", true, "failed"},
		{"unwritten", false, "rejected"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.cancelReportsWritten = test.written
			h.submit(paymentClass)
			h.advance(5 * time.Second)
			h.wantResponses(test.want)
			if len(h.sentAttempts) != 1 {
				t.Errorf("sent %d times, want once", len(h.sentAttempts))
			}
		})
	}
}

func TestCancelCancelsAttempts(t *testing.T) {
	h := newHarness(t)
	request := h.submit(readClass)
	h.director.Cancel(request)
	h.director.Cancel(request)
	if diff := cmp.Diff([]handle.Handle{h.sentAttempts[0].handle}, h.cancelled); diff != "" {
		t.Error(diff)
	}
	h.advance(5 * time.Second)
	h.wantResponses()
}

// The table of open requests is bounded: a request beyond it is not taken, so that the caller can reject it.
func TestFullRequestTableTakesNothing(t *testing.T) {
	h := newHarness(t)
	for range 8 {
		h.submit(readClass)
	}
	request := Request{Class: readClass, ObjectKey: objectKey, Timeout: time.Second}
	if _, ok := h.director.Submit(request, h, 1); ok {
		t.Error("a ninth request was taken")
	}
}

// During shutdown everything is answered by a deadline: requests that wait for hanging caches, and those that still
// come in.
func TestShutdownDeadlineAnswersEverything(t *testing.T) {
	h := newHarness(t)
	h.director.UpdateEndpoints(false, 2, []Endpoint{cacheEndpoint("c2", routing.Ready, 0)})
	h.submit(readClass)
	h.submit(paymentClass)
	h.advance(100 * time.Millisecond)
	h.director.SetShutdownDeadline(h.now + time.Second)
	h.submit(readClass)
	h.advance(990 * time.Millisecond)
	if len(h.responses) != 0 {
		t.Fatalf("answered early: %v", h.responses)
	}
	h.advance(20 * time.Millisecond)
	counters := &h.director.Counters
	if counters.RequestsOverdue != 0 || counters.AttemptsAbandoned != 0 {
		t.Errorf("%d requests ended by the deadline guard, %d attempts decided too late; want the router to end them",
			counters.RequestsOverdue, counters.AttemptsAbandoned)
	}
	h.wantResponses("rejected", "failed", "rejected") // the payment may have run
}

// A director that does not accept requests rejects them at once.
func TestRejectUntilRejectsAtOnce(t *testing.T) {
	closed := true
	var h *harness
	h = newHarness(t, func(cfg *Config) {
		cfg.RejectUntil = func() (routing.Time, bool) { return h.now + time.Second, closed }
	})
	h.submit(paymentClass)
	if len(h.sentAttempts) != 0 || h.director.Counters.RejectedNotAccepting != 1 {
		t.Errorf("sent %v, %d rejected as not accepting", h.sentAttempts, h.director.Counters.RejectedNotAccepting)
	}
	h.wantResponses("rejected")
	closed = false
	h.submit(readClass)
	if len(h.sentAttempts) != 1 {
		t.Error("not sent once requests are accepted")
	}
}

// After a start, requests are admitted as responses come: those beyond that are rejected at once and never sent. A
// payment is admitted all the same, and so are twice as many requests once responses have come.
func TestRequestsBeyondAdmissionAreRejectedAtOnce(t *testing.T) {
	h := newHarness(t, func(cfg *Config) { cfg.Admission = overload.NewAdmission(1) })
	h.director.limits.MaxOpenRequests = 100
	h.director.requests = handle.NewTable[*openRequest](100)
	h.director.settings.SiteLimits.RetryAfterAllowed = true
	h.director.settings.SiteLimits.MaxRetryAfter = time.Second
	for range 40 {
		h.submit(readClass)
	}
	admitted := h.director.OpenRequests()
	rejected := len(h.responses)
	if admitted == 0 || admitted > 20 || rejected != 40-admitted || len(h.sentAttempts) > admitted {
		t.Fatalf("%d in flight, %d responses, %d attempts of 40 requests", admitted, rejected, len(h.sentAttempts))
	}
	if h.director.Counters.RejectedByAdmission != uint64(40-admitted) {
		t.Errorf("%d counted", h.director.Counters.RejectedByAdmission)
	}
	h.submit(paymentClass)
	if h.director.OpenRequests() != admitted+1 {
		t.Error("a payment was rejected")
	}
	for _, sent := range h.sentAttempts {
		h.director.AttemptEnded(sent.handle, AttemptResult{Result: routing.OK, FillStatus: routing.FillStatusHit})
	}
	if h.director.OpenRequests() != 0 {
		t.Fatalf("%d still in flight", h.director.OpenRequests())
	}
	for range 2 * admitted {
		h.submit(readClass)
	}
	if h.director.OpenRequests() < 2*admitted-1 {
		t.Errorf("%d in flight after %d responses, want twice as many", h.director.OpenRequests(), admitted)
	}
}
