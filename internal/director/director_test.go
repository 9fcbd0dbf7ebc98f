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

// bench is a director among scripted peers, with a clock that the test moves.
type bench struct {
	t       *testing.T
	d       *Director
	agenda  timer.Queue
	clock   routing.Time
	pool    *buffer.Pool
	sent    []sent
	written bool // what Stop tells
	stopped []handle.Handle
	answers []string
	onSend  func(handle.Handle) // a peer that ends attempts within Send
	recall  func(handle.Handle) bool
	held    bool
}

type sent struct {
	h    handle.Handle
	to   routing.Host
	call UpstreamRequest
}

func (b *bench) Send(h handle.Handle, to routing.Host, c UpstreamRequest) {
	b.sent = append(b.sent, sent{h, to, c})
	if b.onSend != nil {
		b.onSend(h)
	}
}
func (b *bench) Cancel(h handle.Handle) bool                               { b.stopped = append(b.stopped, h); return b.written }
func (b *bench) CancelIfUnwritten(h handle.Handle) bool                    { return b.recall != nil && b.recall(h) }
func (b *bench) SuspendWrites()                                            { b.held = true }
func (b *bench) ResumeWrites()                                             { b.held = false }
func (b *bench) UpdateEndpoint(routing.Host, string, string, routing.Time) {}
func (b *bench) RemoveEndpoint(routing.Host)                               {}
func (b *bench) Reply(_ uint64, a Response) {
	s := []string{"served", "refused", "failed"}[a.Outcome]
	if a.Body != nil {
		for _, p := range a.Body.Segments(nil) {
			s += " " + string(p)
		}
	}
	b.answers = append(b.answers, s)
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, clock: 1000 * time.Second, pool: buffer.NewPool(64, 8), written: true}
	s := &routing.Settings{Directors: 1, Zones: []string{"hub", "here"}, Zone: 1, Kinds: []string{"edge", "up", "origin"},
		Classes: []routing.Class{{Name: "read", LatencyObjective: time.Second, Timeout: 4 * time.Second, Idempotency: "read_like"},
			{Name: "pay", LatencyObjective: time.Second, Timeout: 4 * time.Second, Idempotency: "non_idempotent"}},
		SiteLimits: routing.SiteLimits{CancelAllowed: true, MaxAttempts: 3},
		Tiers: routing.TierSettings{Uncacheable: []bool{false, true}, CoalescesFills: true, OriginKind: 2, ParentKind: 1,
			FillStatusReported: "all"}}
	var err error
	b.d, err = New(s, 1, &config.Limits{MaxOpenRequests: 8, OverdueGracePeriod: 25 * time.Millisecond}, &b.agenda, func() routing.Time { return b.clock }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	b.d.SetUpstream(b)
	b.d.UpdateEndpoints(true, 1, []Endpoint{
		{Name: "c1", Endpoint: routing.Endpoint{Zone: 1, Kind: 0, State: routing.Ready, Weight: 4}},
		{Name: "o", Endpoint: routing.Endpoint{Zone: 0, Kind: 2, State: routing.Ready, Weight: 4}}})
	return b
}

func (b *bench) submit(class int) handle.Handle {
	b.t.Helper()
	h, ok := b.d.Submit(Request{Ref: "r", Class: class, ObjectKey: 7, Timeout: 4 * time.Second, Body: b.pool.NewChain()}, b, 1)
	if !ok {
		b.t.Fatal("not taken")
	}
	return h
}

func (b *bench) pass(d time.Duration) {
	for end := b.clock + d; b.clock < end; {
		b.clock += 5 * time.Millisecond
		b.agenda.RunDue(b.clock)
	}
}

func (b *bench) want(answers ...string) {
	b.t.Helper()
	if d := cmp.Diff(answers, b.answers); d != "" {
		b.t.Error(d)
	}
	if n := b.d.OpenRequests(); n != 0 {
		b.t.Errorf("%d requests left", n)
	}
	if n := b.d.attempts.Len(); n != 0 {
		b.t.Errorf("%d attempts left", n)
	}
	if n := b.pool.InUse(); n != 0 {
		b.t.Errorf("%d buffers left", n)
	}
}

func TestFirstAnswerIsPassedOnOnce(t *testing.T) {
	b := newBench(t)
	b.submit(0)
	body := b.pool.NewChain()
	body.Append([]byte("bytes"))
	b.d.AttemptEnded(b.sent[0].h, AttemptResult{Result: routing.OK, FillStatus: routing.FillStatusHit, Body: body})
	late := b.pool.NewChain()
	late.Append([]byte("late"))
	b.d.AttemptEnded(b.sent[0].h, AttemptResult{Result: routing.OK, Body: late})
	b.pass(5 * time.Second)
	b.want("served bytes")
}

// A peer can fail an attempt before Send returns. The router's next event then must wait for its last
// actions, as their list is valid only until then.
func TestEndWithinSendIsQueued(t *testing.T) {
	b := newBench(t)
	b.onSend = func(h handle.Handle) { b.d.AttemptEnded(h, AttemptResult{Result: routing.ConnectFailed}) }
	b.submit(1)
	b.pass(5 * time.Second)
	b.want("refused")
	if len(b.sent) < 1 || len(b.sent) > 3 {
		t.Errorf("%d attempts, want 1 to 3", len(b.sent))
	}
}

// A repayment that was written and not answered may have run: failed, not refused. One still waiting for
// its connection never ran.
func TestDeadlineTellsWrittenFromUnwritten(t *testing.T) {
	for _, c := range []struct {
		written bool
		want    string
	}{{true, "failed"}, {false, "refused"}} {
		b := newBench(t)
		b.written = c.written
		b.submit(1)
		b.pass(5 * time.Second)
		b.want(c.want)
		if len(b.sent) != 1 {
			t.Errorf("written %v: sent %d times, want once", c.written, len(b.sent))
		}
	}
}

func TestWithdrawCallsOffAttempts(t *testing.T) {
	b := newBench(t)
	h := b.submit(0)
	b.d.Cancel(h)
	b.d.Cancel(h)
	if d := cmp.Diff([]handle.Handle{b.sent[0].h}, b.stopped); d != "" {
		t.Error(d)
	}
	b.pass(5 * time.Second)
	b.want()
}

// The table of open requests is bounded: what has no room is not taken, so that it can be refused.
func TestFullTableTakesNothing(t *testing.T) {
	b := newBench(t)
	for range 8 {
		b.submit(0)
	}
	if _, ok := b.d.Submit(Request{Class: 0, ObjectKey: 7, Timeout: time.Second}, b, 1); ok {
		t.Error("a ninth request was taken")
	}
}

// The host goes by the name alone, the same in every director: a new cache at an old address must be another
// server to the module, and all directors must pick the same cache for an object.
func TestHostGoesByName(t *testing.T) {
	if got := hostOf("s-1"); got != 0xda195c3f3e58 { // FNV-1a of the name, folded to 48 bits
		t.Errorf("host %x", got)
	}
	if hostOf("s-1") == hostOf("s-2") {
		t.Error("two names, one host")
	}
}

// Found in the laboratory: a process that was stopped for 5 s sent what had waited to a cache that had drained
// meanwhile. While it is held, only news reach the router; what was submitted goes by them afterwards.
func TestHeldRequestsGoByTheNews(t *testing.T) {
	b := newBench(t)
	b.d.Suspend(100 * time.Millisecond)
	b.submit(0)
	if len(b.sent) != 0 {
		t.Fatalf("sent to %v while held", b.sent)
	}
	b.d.UpdateEndpoints(false, 2, []Endpoint{
		{Name: "c1", Endpoint: routing.Endpoint{Zone: 1, Kind: 0, State: routing.Draining, Weight: 4}},
		{Name: "c2", Endpoint: routing.Endpoint{Zone: 1, Kind: 0, State: routing.Ready, Weight: 4}}})
	b.d.Resume(true)
	if len(b.sent) != 1 || b.sent[0].to != hostOf("c2") {
		t.Fatalf("sent %v, want one to the cache that is ready", b.sent)
	}
	b.d.AttemptEnded(b.sent[0].h, AttemptResult{Result: routing.OK, FillStatus: routing.FillStatusHit})
	b.want("served")
}

// A director that takes no work yet refuses it at once, and says until when.
func TestClosedDirectorRefusesAtOnce(t *testing.T) {
	b := newBench(t)
	closed := true
	b.d.RejectUntil = func() (routing.Time, bool) { return b.clock + time.Second, closed }
	b.submit(1)
	if len(b.sent) != 0 || b.d.Counters.RejectedNotAccepting != 1 {
		t.Errorf("sent %v, %d refused as closed", b.sent, b.d.Counters.RejectedNotAccepting)
	}
	b.want("refused")
	closed = false
	b.submit(0)
	if len(b.sent) != 1 {
		t.Error("not sent once it is open")
	}
}

// After a start work is let in as answers come: what is over is refused at once, never sent, and told when to come
// back. A repayment is taken all the same, and so is all work once answers have come.
func TestWorkBeyondTheAdmissionIsRefusedAtOnce(t *testing.T) {
	b := newBench(t)
	b.d.limits.MaxOpenRequests, b.d.requests = 100, handle.NewTable[*request](100)
	b.d.settings.SiteLimits.RetryAfterAllowed, b.d.settings.SiteLimits.MaxRetryAfter = true, time.Second
	b.d.Admission = overload.NewAdmission(1)
	for range 40 {
		b.submit(0)
	}
	let := b.d.OpenRequests()
	if n := len(b.answers); let == 0 || let > 20 || n != 40-let || len(b.sent) > let {
		t.Fatalf("%d in hand, %d answers, %d attempts of 40 requests", let, n, len(b.sent))
	}
	if b.d.Counters.RejectedByAdmission != uint64(40-let) {
		t.Errorf("%d counted", b.d.Counters.RejectedByAdmission)
	}
	b.submit(1)
	if b.d.OpenRequests() != let+1 {
		t.Error("a repayment was refused")
	}
	for _, s := range b.sent {
		b.d.AttemptEnded(s.h, AttemptResult{Result: routing.OK, FillStatus: routing.FillStatusHit})
	}
	if b.d.OpenRequests() != 0 {
		t.Fatalf("%d still in hand", b.d.OpenRequests())
	}
	for range 2 * let {
		b.submit(0)
	}
	if b.d.OpenRequests() < 2*let-1 {
		t.Errorf("%d in hand after %d answers, want twice as many", b.d.OpenRequests(), let)
	}
}
