package director

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"shaleyard/internal/buffer"
	"shaleyard/internal/config"
	"shaleyard/internal/handle"
	"shaleyard/internal/overload"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// harness is a director among scripted peers, with a clock that the test moves.
type harness struct {
	t                    *testing.T
	director             *Director
	timers               timer.Queue
	now                  routing.Time
	pool                 *buffer.Pool
	sentAttempts         []sentAttempt
	cancelReportsWritten bool // what Stop tells
	cancelled            []handle.Handle
	responses            []string
	onSend               func(handle.Handle) // a peer that ends attempts within Send
	unwritten            func(handle.Handle) bool
	writesSuspended      bool
}

type sentAttempt struct {
	handle  handle.Handle
	host    routing.Host
	request UpstreamRequest
}

func (b *harness) Send(h handle.Handle, to routing.Host, c UpstreamRequest) {
	b.sentAttempts = append(b.sentAttempts, sentAttempt{h, to, c})
	if b.onSend != nil {
		b.onSend(h)
	}
}
func (b *harness) Cancel(h handle.Handle) bool {
	b.cancelled = append(b.cancelled, h)
	return b.cancelReportsWritten
}
func (b *harness) CancelIfUnwritten(h handle.Handle) bool {
	return b.unwritten != nil && b.unwritten(h)
}
func (b *harness) SuspendWrites()                                            { b.writesSuspended = true }
func (b *harness) ResumeWrites()                                             { b.writesSuspended = false }
func (b *harness) UpdateEndpoint(routing.Host, string, string, routing.Time) {}
func (b *harness) RemoveEndpoint(routing.Host)                               {}
func (b *harness) Reply(_ uint64, a Response) {
	s := []string{"served", "refused", "failed"}[a.Outcome]
	if a.Body != nil {
		for _, p := range a.Body.Segments(nil) {
			s += " " + string(p)
		}
	}
	b.responses = append(b.responses, s)
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	b := &harness{t: t, now: 1000 * time.Second, pool: buffer.NewPool(64, 8), cancelReportsWritten: true}
	s := &routing.Settings{Directors: 1, Zones: []string{"hub", "here"}, Zone: 1, Kinds: []string{"edge", "up", "origin"},
		Classes: []routing.Class{{Name: "read", LatencyObjective: time.Second, Timeout: 4 * time.Second, Idempotency: "read_like"},
			{Name: "pay", LatencyObjective: time.Second, Timeout: 4 * time.Second, Idempotency: "non_idempotent"}},
		SiteLimits: routing.SiteLimits{CancelAllowed: true, MaxAttempts: 3},
		Tiers: routing.TierSettings{Uncacheable: []bool{false, true}, CoalescesFills: true, OriginKind: 2, ParentKind: 1,
			FillStatusReported: "all"}}
	var err error
	b.director, err = New(s, 1, &config.Limits{MaxOpenRequests: 8, OverdueGracePeriod: 25 * time.Millisecond}, &b.timers, func() routing.Time { return b.now }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	b.director.SetUpstream(b)
	b.director.UpdateEndpoints(true, 1, []Endpoint{
		{Name: "c1", Endpoint: routing.Endpoint{Zone: 1, Kind: 0, State: routing.Ready, Weight: 4}},
		{Name: "o", Endpoint: routing.Endpoint{Zone: 0, Kind: 2, State: routing.Ready, Weight: 4}}})
	return b
}

func (b *harness) submit(class int) handle.Handle {
	b.t.Helper()
	h, ok := b.director.Submit(Request{Ref: "r", Class: class, ObjectKey: 7, Timeout: 4 * time.Second, Body: b.pool.NewChain()}, b, 1)
	if !ok {
		b.t.Fatal("not taken")
	}
	return h
}

func (b *harness) advance(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 5 * time.Millisecond
		b.timers.RunDue(b.now)
	}
}

func (b *harness) wantResponses(answers ...string) {
	b.t.Helper()
	if d := cmp.Diff(answers, b.responses); d != "" {
		b.t.Error(d)
	}
	if n := b.director.OpenRequests(); n != 0 {
		b.t.Errorf("%d requests left", n)
	}
	if n := b.director.attempts.Len(); n != 0 {
		b.t.Errorf("%d attempts left", n)
	}
	if n := b.pool.InUse(); n != 0 {
		b.t.Errorf("%d buffers left", n)
	}
}

func TestFirstAnswerIsPassedOnOnce(t *testing.T) {
	b := newHarness(t)
	b.submit(0)
	body := b.pool.NewChain()
	body.Append([]byte("bytes"))
	b.director.AttemptEnded(b.sentAttempts[0].handle, AttemptResult{Result: routing.OK, FillStatus: routing.FillStatusHit, Body: body})
	late := b.pool.NewChain()
	late.Append([]byte("late"))
	b.director.AttemptEnded(b.sentAttempts[0].handle, AttemptResult{Result: routing.OK, Body: late})
	b.advance(5 * time.Second)
	b.wantResponses("served bytes")
}

// A peer can fail an attempt before Send returns. The router's next event then must wait for its last
// actions, as their list is valid only until then.
func TestEndWithinSendIsQueued(t *testing.T) {
	b := newHarness(t)
	b.onSend = func(h handle.Handle) { b.director.AttemptEnded(h, AttemptResult{Result: routing.ConnectFailed}) }
	b.submit(1)
	b.advance(5 * time.Second)
	b.wantResponses("refused")
	if len(b.sentAttempts) < 1 || len(b.sentAttempts) > 3 {
		t.Errorf("%d attempts, want 1 to 3", len(b.sentAttempts))
	}
}

// A repayment that was written and not answered may have run: failed, not refused. One still waiting for
// its connection never ran.
func TestDeadlineTellsWrittenFromUnwritten(t *testing.T) {
	for _, c := range []struct {
		written bool
		want    string
	}{{true, "failed"}, {false, "refused"}} {
		b := newHarness(t)
		b.cancelReportsWritten = c.written
		b.submit(1)
		b.advance(5 * time.Second)
		b.wantResponses(c.want)
		if len(b.sentAttempts) != 1 {
			t.Errorf("written %v: sent %d times, want once", c.written, len(b.sentAttempts))
		}
	}
}

func TestWithdrawCallsOffAttempts(t *testing.T) {
	b := newHarness(t)
	h := b.submit(0)
	b.director.Cancel(h)
	b.director.Cancel(h)
	if d := cmp.Diff([]handle.Handle{b.sentAttempts[0].handle}, b.cancelled); d != "" {
		t.Error(d)
	}
	b.advance(5 * time.Second)
	b.wantResponses()
}

// The table of open requests is bounded: what has no room is not taken, so that it can be refused.
func TestFullTableTakesNothing(t *testing.T) {
	b := newHarness(t)
	for range 8 {
		b.submit(0)
	}
	if _, ok := b.director.Submit(Request{Class: 0, ObjectKey: 7, Timeout: time.Second}, b, 1); ok {
		t.Error("a ninth request was taken")
	}
}

// The host goes by the name alone, the same in every director: a new cache at an old address must be another
// server to the module, and all directors must pick the same cache for an object.
func TestHostGoesByName(t *testing.T) {
	if got := hostForName("s-1"); got != 0xda195c3f3e58 { // FNV-1a of the name, folded to 48 bits
		t.Errorf("host %x", got)
	}
	if hostForName("s-1") == hostForName("s-2") {
		t.Error("two names, one host")
	}
}

// Found in the laboratory: a process that was stopped for 5 s sent what had waited to a cache that had drained
// meanwhile. While it is held, only news reach the router; what was submitted goes by them afterwards.
func TestHeldRequestsGoByTheNews(t *testing.T) {
	b := newHarness(t)
	b.director.Suspend(100 * time.Millisecond)
	b.submit(0)
	if len(b.sentAttempts) != 0 {
		t.Fatalf("sent to %v while held", b.sentAttempts)
	}
	b.director.UpdateEndpoints(false, 2, []Endpoint{
		{Name: "c1", Endpoint: routing.Endpoint{Zone: 1, Kind: 0, State: routing.Draining, Weight: 4}},
		{Name: "c2", Endpoint: routing.Endpoint{Zone: 1, Kind: 0, State: routing.Ready, Weight: 4}}})
	b.director.Resume(true)
	if len(b.sentAttempts) != 1 || b.sentAttempts[0].host != hostForName("c2") {
		t.Fatalf("sent %v, want one to the cache that is ready", b.sentAttempts)
	}
	b.director.AttemptEnded(b.sentAttempts[0].handle, AttemptResult{Result: routing.OK, FillStatus: routing.FillStatusHit})
	b.wantResponses("served")
}

// A director that takes no work yet refuses it at once, and says until when.
func TestClosedDirectorRefusesAtOnce(t *testing.T) {
	b := newHarness(t)
	closed := true
	b.director.RejectUntil = func() (routing.Time, bool) { return b.now + time.Second, closed }
	b.submit(1)
	if len(b.sentAttempts) != 0 || b.director.Counters.RejectedNotAccepting != 1 {
		t.Errorf("sent %v, %d refused as closed", b.sentAttempts, b.director.Counters.RejectedNotAccepting)
	}
	b.wantResponses("refused")
	closed = false
	b.submit(0)
	if len(b.sentAttempts) != 1 {
		t.Error("not sent once it is open")
	}
}

// After a start work is let in as answers come: what is over is refused at once, never sent, and told when to come
// back. A repayment is taken all the same, and so is all work once answers have come.
func TestWorkBeyondTheAdmissionIsRefusedAtOnce(t *testing.T) {
	b := newHarness(t)
	b.director.limits.MaxOpenRequests, b.director.requests = 100, handle.NewTable[*request](100)
	b.director.settings.SiteLimits.RetryAfterAllowed, b.director.settings.SiteLimits.MaxRetryAfter = true, time.Second
	b.director.Admission = overload.NewAdmission(1)
	for range 40 {
		b.submit(0)
	}
	let := b.director.OpenRequests()
	if n := len(b.responses); let == 0 || let > 20 || n != 40-let || len(b.sentAttempts) > let {
		t.Fatalf("%d in hand, %d answers, %d attempts of 40 requests", let, n, len(b.sentAttempts))
	}
	if b.director.Counters.RejectedByAdmission != uint64(40-let) {
		t.Errorf("%d counted", b.director.Counters.RejectedByAdmission)
	}
	b.submit(1)
	if b.director.OpenRequests() != let+1 {
		t.Error("a repayment was refused")
	}
	for _, s := range b.sentAttempts {
		b.director.AttemptEnded(s.handle, AttemptResult{Result: routing.OK, FillStatus: routing.FillStatusHit})
	}
	if b.director.OpenRequests() != 0 {
		t.Fatalf("%d still in hand", b.director.OpenRequests())
	}
	for range 2 * let {
		b.submit(0)
	}
	if b.director.OpenRequests() < 2*let-1 {
		t.Errorf("%d in hand after %d answers, want twice as many", b.director.OpenRequests(), let)
	}
}
