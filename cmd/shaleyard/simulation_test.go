package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/buffer"
	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/downstream"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/overload"
	"shaleyard/internal/timer"
	"shaleyard/internal/upstream"
	"shaleyard/routing"
)

const (
	simulationStart = 1000 * time.Second     // value of the simulated clock when a simulation starts
	answerSlack     = 30 * time.Millisecond  // time past its deadline by which a request must have its answer
	dedupWindow     = 700 * time.Millisecond // dedup window of the class keyed
	cancelDelay     = 20 * time.Millisecond  // maximum time for which a cancelled attempt counts as outstanding
	failureEvents   = 30                     // number of latest events that a failure prints
)

// simulation runs the client side (downstream), the director and the cache side (upstream) together, without sockets
// and on a simulated clock. A random generator chooses each action of the clients, the caches, the discovery service
// and the process, so that events can come in any possible order. The simulated peers check each message that they
// receive against the requests that the simulation has recorded.
type simulation struct {
	t          *testing.T
	seed       uint64
	rng        *rand.Rand
	clock      routing.Time
	timers     timer.Queue
	director   *director.Director
	upstream   *upstream.Pools
	downstream *downstream.Server
	buffers    *buffer.Pool

	pendingDials     []*cachePeer
	cachePeers       []*cachePeer
	clientPeers      []*clientPeer
	pendingCloses    []func() // delayed effects of the program's Close calls on simulated connections, oldest first
	requests         map[string]*simulatedRequest
	endpointStates   map[string]routing.State
	hedgingForbidden bool
	suspended        bool
	finalDeadline    routing.Time // shutdown deadline for all answers; 0 before shutDown
	lastRef          int
	served           int      // number of requests that were answered with success
	events           []string // all events, for the message of a failure
}

// simulatedRequest holds what the simulated client and caches know about a request.
type simulatedRequest struct {
	class              string
	client             *clientPeer
	seq                int32
	deadline           routing.Time // latest time of the answer
	cancelled          bool         // the request was revoked, its client has disconnected, or it was sent too late
	answered           bool
	possibleExecutions int          // number of attempts that may have run
	firstWrittenAt     routing.Time // time at which possibleExecutions became 1
	// outstanding maps each connection with an unanswered attempt to the time until which the attempt counts as
	// outstanding.
	outstanding map[*cachePeer]routing.Time
}

// cancelAttempt limits the time for which the request's attempt on a connection counts as outstanding to cancelDelay
// from now. It has no effect if there is no such attempt.
func (r *simulatedRequest) cancelAttempt(cache *cachePeer) {
	if until, outstanding := r.outstanding[cache]; outstanding {
		r.outstanding[cache] = min(until, cache.simulation.clock+cancelDelay)
	}
}

// simulationSettings returns settings with one class per kind of idempotency. A request of class read may be retried at
// any time, one of class pay only if it cannot have run, and one of class keyed only within dedupWindow.
func simulationSettings() *routing.Settings {
	class := func(name, idempotency string, dedupWindow time.Duration) routing.Class {
		return routing.Class{Name: name, LatencyObjective: 300 * time.Millisecond, Timeout: 2 * time.Second,
			Idempotency: idempotency, DedupScope: "all", DedupWindow: dedupWindow}
	}
	return &routing.Settings{
		Directors: 1,
		Zones:     []string{"hub", "here"},
		Zone:      1,
		Kinds:     []string{"edge", "parent", "origin"},
		Classes: []routing.Class{
			class("read", "read_like", 0),
			class("pay", "non_idempotent", 0),
			class("keyed", "idempotency_key", dedupWindow),
		},
		SiteLimits: routing.SiteLimits{
			CancelAllowed:     true,
			MaxAttempts:       6,
			HedgingAllowed:    true,
			RetryAfterAllowed: true,
			MaxRetryAfter:     500 * time.Millisecond,
		},
		Tiers: routing.TierSettings{Uncacheable: []bool{false, true, true}, OriginKind: 2, ParentKind: 1,
			FillStatusReported: "all", SiblingFills: "location", TransferKBPerSecond: 1000},
	}
}

// simulationLimits returns the limits for the simulated client side, director and cache side.
func simulationLimits() *config.Limits {
	return &config.Limits{
		MaxOpenRequests:    200,
		OverdueGracePeriod: 25 * time.Millisecond,
		MaxRequestTimeout:  time.Minute,

		MaxClientConns:           6,
		MaxRequestsPerConn:       8,
		MaxFrameBytes:            4096,
		MaxRequestBodyBytes:      1000,
		MaxRequestFields:         16,
		FrameHeadBytes:           64,
		ClientBacklogBytes:       100_000,
		TotalBacklogBytes:        1 << 20,
		BodyBacklogBytes:         1 << 19,
		SharedBacklogBytes:       1 << 18,
		UnrepeatableBacklogBytes: 1 << 18,
		MaxUnreadMessages:        128,
		SlowReaderAge:            100 * time.Millisecond,
		SlowReaderTimeout:        2 * time.Second,
		MessageTimeout:           2 * time.Second,
		WriteStallTimeout:        50 * time.Millisecond,
		ClientKeepAlive:          4 * time.Second,
		ClientIdleTimeout:        5 * time.Second,
		LingerTimeout:            500 * time.Millisecond,
		MaxLingeringConns:        3,
		MaxLingerBytes:           1 << 20,
		FlushCheckInterval:       10 * time.Millisecond,
		NewConnGracePeriod:       50 * time.Millisecond,

		MaxUpstreamConns:       16,
		MaxReplacementDials:    4,
		MaxConnsPerEndpoint:    3,
		MaxAttemptsPerConn:     4,
		ConnectTimeout:         time.Second,
		UpstreamIdleTimeout:    3 * time.Second,
		MinIdleTimeout:         50 * time.Millisecond,
		UpstreamSilenceTimeout: time.Second,
		LateAnswerWindow:       5 * time.Second,
		MaxAnswerBodyBytes:     2000,
		MaxAnswerFieldBytes:    500,
	}
}

// newSimulation returns a simulation with three caches, a parent and the origin, all ready, and without clients. The
// seed determines all random choices; hedging is forbidden with every third seed.
func newSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	sim := &simulation{
		t:                t,
		seed:             seed,
		rng:              rand.New(rand.NewPCG(seed, 1)),
		clock:            simulationStart,
		buffers:          buffer.NewPool(1024, 512),
		requests:         map[string]*simulatedRequest{},
		endpointStates:   map[string]routing.State{},
		hedgingForbidden: seed%3 == 0,
	}
	settings, limits := simulationSettings(), simulationLimits()
	if sim.hedgingForbidden {
		settings.SiteLimits.HedgingAllowed = false
	}
	now := func() routing.Time { return sim.clock }
	var err error
	sim.director, err = director.New(director.Config{
		Settings:  settings,
		Seed:      seed,
		Limits:    limits,
		Timers:    &sim.timers,
		Now:       now,
		Log:       zap.NewNop(),
		Admission: overload.NewAdmission(seed),
	})
	if err != nil {
		t.Fatal(err)
	}
	sim.upstream = upstream.NewPools(
		limits,
		settings,
		sim.buffers,
		sim,
		sim.director,
		&sim.timers,
		now,
		zap.NewNop(),
		seed,
	)
	sim.director.SetUpstream(sim.upstream)
	sim.downstream = downstream.NewServer(downstream.Config{
		Limits:    limits,
		Settings:  settings,
		FramePool: sim.buffers,
		BodyPool:  sim.buffers,
		Handler:   sim.director,
		Timers:    &sim.timers,
		Now:       now,
	})
	for _, name := range []string{"c1", "c2", "c3", "p1", "o"} {
		sim.updateEndpoint(name, routing.Ready, 0)
	}
	return sim
}

// failf ends the test with a message, the seed and the latest events.
func (s *simulation) failf(format string, args ...any) {
	s.t.Helper()
	latest := s.events[max(0, len(s.events)-failureEvents):]
	s.t.Fatalf("seed %d: %s\nlast events:\n%s", s.seed, fmt.Sprintf(format, args...), strings.Join(latest, "\n"))
}

// record stores an event, with the time since the start, for the message of a failure.
func (s *simulation) record(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf("%v ", s.clock-simulationStart)+fmt.Sprintf(format, args...))
}

// Dial implements eventloop.Dialer. completeDial opens the connection later or lets the dial fail.
func (s *simulation) Dial(address string, _ time.Duration, stream eventloop.Stream) (cancel func()) {
	s.pendingDials = append(s.pendingDials,
		&cachePeer{simulation: s, name: strings.TrimPrefix(address, "at-"), stream: stream})
	return func() {}
}

// updateEndpoint delivers an update of one endpoint to the director, as from the discovery service. The first letter of
// the name determines the kind: c for a cache, p for a parent, o for the origin.
func (s *simulation) updateEndpoint(name string, state routing.State, started routing.Time) {
	endpoint := director.Endpoint{Name: name, Address: "at-" + name,
		Endpoint: routing.Endpoint{Zone: 1, State: state, Weight: 8, Started: started}}
	switch name[0] {
	case 'p':
		endpoint.Zone, endpoint.Kind = 0, 1
	case 'o':
		endpoint.Zone, endpoint.Kind = 0, 2
	}
	s.record("%s is %v", name, state)
	s.endpointStates[name] = state
	s.director.UpdateEndpoints(false, 1, []director.Endpoint{endpoint})
}

// pickMatching picks values at random until one fits, up to eight times, and reports whether one did.
func pickMatching[T any](rng *rand.Rand, values []T, fits func(T) bool) (value T, ok bool) {
	if len(values) == 0 {
		return value, false
	}
	for range 8 {
		value = values[rng.IntN(len(values))]
		if fits(value) {
			return value, true
		}
	}
	return value, false
}

// advance moves the clock forward by duration in steps of 1 ms, with due timers run at each step. It then checks that
// no request of a connected client is past its deadline without an answer, unless the request is cancelled. While the
// director is suspended, advance neither runs timers nor checks answers.
func (s *simulation) advance(duration time.Duration) {
	for end := s.clock + duration; s.clock < end; {
		s.clock += time.Millisecond
		if !s.suspended {
			s.timers.RunDue(s.clock)
		}
	}
	if s.suspended {
		return // answers may be sent after resume, which runs the timers that are due
	}
	for ref, request := range s.requests {
		if !request.answered && !request.cancelled && !request.client.disconnected && s.clock > request.deadline {
			s.failf("request %s not answered by its deadline", ref)
		}
	}
}

// resume ends a suspension of the director, if there is one. longPause says whether the director treats it as a long
// pause of the process.
func (s *simulation) resume(longPause bool) {
	if !s.suspended {
		return
	}
	s.suspended = false
	s.director.Resume(longPause)
	s.timers.RunDue(s.clock)
}

// emptyClientOutput empties the outbound buffers of all client connections, as if the clients had read everything.
func (s *simulation) emptyClientOutput() {
	for _, client := range s.clientPeers {
		client.Buffered = 0
	}
}

// shutDown sets a shutdown deadline 300 ms from now, by which the director must answer all requests.
func (s *simulation) shutDown() {
	s.finalDeadline = s.clock + 300*time.Millisecond
	s.director.SetShutdownDeadline(s.finalDeadline)
	for _, request := range s.requests {
		request.deadline = min(request.deadline, s.finalDeadline+answerSlack)
	}
}

// finish starts a graceful close of the downstream connections and advances the clock by 5 s, in steps of 50 ms. In
// each step it lets all pending dials fail, carries out the pending closes, and calls StartGracefulClose again, because
// each call closes only the connections that have no pending answer at that time. Afterwards it disconnects the caches.
func (s *simulation) finish() {
	s.downstream.StartGracefulClose()
	for range 100 {
		for _, cache := range s.pendingDials {
			cache.stream.Failed(errRefused)
		}
		s.pendingDials = nil
		for len(s.pendingCloses) > 0 {
			s.runPendingClose()
		}
		s.advance(50 * time.Millisecond)
		s.downstream.StartGracefulClose()
	}
	for _, cache := range s.cachePeers {
		cache.disconnect()
	}
}

// runPendingClose carries out the delayed effect of the earliest call of Close that the program made on a simulated
// connection: it ends the connection and notifies the program of that, as the event loop does some time after the call.
func (s *simulation) runPendingClose() {
	carryOut := s.pendingCloses[0]
	s.pendingCloses = s.pendingCloses[1:]
	carryOut()
}

// joinPieces returns the pieces of one Writev call as one slice.
func joinPieces(pieces [][]byte) []byte { return bytes.Join(pieces, nil) }
