// Package upstream sends requests to caches, parents and the origin. Each of them is an endpoint, with a pool of
// connections that are opened as they are needed and may carry many attempts each. The package reports exactly how each
// attempt ended, and above all whether it may have been executed: an attempt of which nothing was written provably never
// was, and the director may send a request that is not idempotent again only then.
//
// All of it runs on the event loop and none of it is safe for concurrent use. The protocol's codec is package resp.
package upstream

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/buffer"
	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/handle"
	"shaleyard/internal/overload"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// CompletionHandler takes the results of attempts; the director implements it. It is called once for each attempt that
// was sent and not cancelled.
type CompletionHandler interface {
	AttemptEnded(handle.Handle, director.AttemptResult)
}

// Counters count the events of all pools since the start of the process.
type Counters struct {
	// Connections.
	Dials, DialFailures, Redials             uint64
	ConnsLost, IdleTimeouts, StaleIdleConns  uint64
	IdleEvictions, IdleCloseRaces            uint64
	UnresponsiveConns, BackloggedConns       uint64
	ConnectLimited                           uint64 // attempts that share a connection because no new one may be opened yet
	DescriptorLimitHits, LocalResourceErrors uint64
	// Endpoints.
	EndpointRestarts, UnknownEndpoints uint64
	// Attempts.
	RequestsSent, CancelsSent, Reassigned, WindowExpired uint64
	Responses, UnmatchedResponses, InvalidResponses      uint64
	ProtocolErrors                                       uint64
	BytesIn, BytesOut                                    uint64
}

// Pools holds the endpoints and their connections.
type Pools struct {
	Counters Counters

	limits           *config.Limits
	loadReportFields []string // as the settings name them
	buffers          *buffer.Pool
	dialer           eventloop.Dialer
	completions      CompletionHandler
	timers           *timer.Queue
	now              func() routing.Time
	log              *zap.Logger
	rng              *rand.Rand
	endpoints        map[routing.Host]*endpoint
	attempts         map[handle.Handle]*activeAttempt
	conns            *handle.Table[*conn]
	idleReuse        overload.IdleTimeout // how long an idle connection may be used again
	descriptorsInUse int
	writesSuspended  bool
	headBuffer       []byte   // reused from request to request
	writeSegments    [][]byte // likewise
}

// NewPools returns pools without endpoints. The results of attempts go to completions.
func NewPools(limits *config.Limits, settings *routing.Settings, buffers *buffer.Pool, dialer eventloop.Dialer,
	completions CompletionHandler, timers *timer.Queue, now func() routing.Time, log *zap.Logger, seed uint64) *Pools {
	return &Pools{
		limits:           limits,
		loadReportFields: settings.LoadReport.Fields,
		buffers:          buffers,
		dialer:           dialer,
		completions:      completions,
		timers:           timers,
		now:              now,
		log:              log,
		rng:              rand.New(rand.NewPCG(seed, rngStream)),
		endpoints:        map[routing.Host]*endpoint{},
		attempts:         map[handle.Handle]*activeAttempt{},
		conns:            handle.NewTable[*conn](limits.MaxUpstreamConns),
		idleReuse:        overload.NewIdleTimeout(limits.MinIdleTimeout, limits.UpstreamIdleTimeout),
	}
}

// rngStream keeps the package's random numbers apart from those that others draw from the same seed.
const rngStream = 4

// NumConns returns the number of connections that are open or being opened.
func (p *Pools) NumConns() int { return p.conns.Len() }

// logInterval is the least time between two log lines on one endpoint.
const logInterval = time.Second

func (p *Pools) logEndpoint(endpoint *endpoint, message string, fields ...zap.Field) {
	now := p.now()
	if now < endpoint.nextLogAt {
		return
	}
	endpoint.nextLogAt = now + logInterval
	logger := p.log.With(zap.String("member", endpoint.name), zap.String("address", endpoint.address))
	logger.Info(message, fields...)
}
