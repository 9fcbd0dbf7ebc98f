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
	simulationStart = 1000 * time.Second // the clock at the start
	answerSlack     = 30 * time.Millisecond
	dedupWindow     = 700 * time.Millisecond // of the class keyed
	cancelDelay     = 20 * time.Millisecond  // for how long an attempt that is cancelled may still be outstanding
	failureEvents   = 30                     // latest events that a failure prints
)

// simulation is downstream, director and upstream put together without sockets, on a clock of its own, between peers
// that do whatever a draw says: every order of events that the parts can meet. The peers check what must hold after
// each step.
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

	dials            []*cachePeer
	cachePeers       []*cachePeer
	clientPeers      []*clientPeer
	pendingCloses    []func() // closes that the event loop carries out later
	requests         map[string]*simulatedRequest
	endpointStates   map[string]routing.State
	hedgingForbidden bool
	suspended        bool
	finalDeadline    routing.Time // when all requests must be answered; 0: the process goes on
	lastRef          int
	served           int
	events           []string
}

// simulatedRequest is a request as its client and the caches know it.
type simulatedRequest struct {
	class              string
	client             *clientPeer
	seq                int32
	deadline           routing.Time // when an answer is owed at the latest
	cancelled          bool         // revoked, or its client has gone
	answered           bool
	possibleExecutions int          // attempts that may have run
	firstWrittenAt     routing.Time // when the first of those was written
	// attempts, each with the time until which it may still be outstanding
	outstanding map[*cachePeer]routing.Time
}

// cancelAttempt cancels an attempt on a connection.
func (r *simulatedRequest) cancelAttempt(cache *cachePeer) {
	if until, outstanding := r.outstanding[cache]; outstanding {
		r.outstanding[cache] = min(until, cache.simulation.clock+cancelDelay)
	}
}

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

func simulationLimits() *config.Limits {
	return &config.Limits{
		MaxOpenRequests:    200,
		OverdueGracePeriod: 25 * time.Millisecond,
		MaxRequestTimeout:  time.Minute,

		MaxClientConns:      6,
		MaxRequestsPerConn:  8,
		MaxFrameBytes:       4096,
		MaxRequestBodyBytes: 1000,
		MaxRequestFields:    16,
		ClientBacklogBytes:  100_000,
		TotalBacklogBytes:   1 << 20,
		MessageTimeout:      2 * time.Second,
		ClientKeepAlive:     4 * time.Second,
		ClientIdleTimeout:   5 * time.Second,
		LingerTimeout:       500 * time.Millisecond,
		MaxLingeringConns:   3,
		MaxLingerBytes:      1 << 20,
		FlushCheckInterval:  10 * time.Millisecond,
		NewConnGracePeriod:  50 * time.Millisecond,

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
		Limits:   limits,
		Settings: settings,
		Pool:     sim.buffers,
		Handler:  sim.director,
		Timers:   &sim.timers,
		Now:      now,
	})
	for _, name := range []string{"c1", "c2", "c3", "p1", "o"} {
		sim.updateEndpoint(name, routing.Ready, 0)
	}
	return sim
}

func (s *simulation) failf(format string, args ...any) {
	s.t.Helper()
	latest := s.events[max(0, len(s.events)-failureEvents):]
	s.t.Fatalf("seed %d: %s\nlast events:\n%s", s.seed, fmt.Sprintf(format, args...), strings.Join(latest, "\n"))
}

// record keeps an event for the message of a failure.
func (s *simulation) record(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf("%v ", s.clock-simulationStart)+fmt.Sprintf(format, args...))
}

// Dial implements eventloop.Dialer.
func (s *simulation) Dial(address string, _ time.Duration, stream eventloop.Stream) {
	s.dials = append(s.dials, &cachePeer{simulation: s, name: strings.TrimPrefix(address, "at-"), stream: stream})
}

// updateEndpoint has the list service report an endpoint.
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

// pickMatching draws one of several values that fits, if one of eight draws finds it.
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

// advance lets time pass, and checks that each request that is owed an answer by then has one.
func (s *simulation) advance(duration time.Duration) {
	for end := s.clock + duration; s.clock < end; {
		s.clock += time.Millisecond
		if !s.suspended {
			s.timers.RunDue(s.clock)
		}
	}
	if s.suspended {
		return // timers don't run, and answers are owed when it goes on
	}
	for ref, request := range s.requests {
		if !request.answered && !request.cancelled && !request.client.disconnected && s.clock > request.deadline {
			s.failf("%s was not answered in its time", ref)
		}
	}
}

// resume ends a suspension, if there is one.
func (s *simulation) resume(longPause bool) {
	if !s.suspended {
		return
	}
	s.suspended = false
	s.director.Resume(longPause)
	s.timers.RunDue(s.clock)
}

// drainClients has all clients read what is buffered for them.
func (s *simulation) drainClients() {
	for _, client := range s.clientPeers {
		client.Buffered = 0
	}
}

// shutDown has the process answer all requests soon.
func (s *simulation) shutDown() {
	s.finalDeadline = s.clock + 300*time.Millisecond
	s.director.SetShutdownDeadline(s.finalDeadline)
	for _, request := range s.requests {
		request.deadline = min(request.deadline, s.finalDeadline+answerSlack)
	}
}

// finish plays to the end: dials fail, closes are carried out, and time passes until the connections are gone.
func (s *simulation) finish() {
	s.downstream.StartGracefulClose()
	for range 100 {
		for _, cache := range s.dials {
			cache.stream.Failed(errRefused)
		}
		s.dials = nil
		for len(s.pendingCloses) > 0 {
			s.carryOutClose()
		}
		s.advance(50 * time.Millisecond)
		s.downstream.StartGracefulClose()
	}
	for _, cache := range s.cachePeers {
		cache.disconnect()
	}
}

// carryOutClose carries out the oldest close that is pending.
func (s *simulation) carryOutClose() {
	carryOut := s.pendingCloses[0]
	s.pendingCloses = s.pendingCloses[1:]
	carryOut()
}

func joinPieces(pieces [][]byte) []byte { return bytes.Join(pieces, nil) }
