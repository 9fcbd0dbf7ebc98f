// Package upstream sends requests to caches, parents and the origin. Each of them is an endpoint, with a pool of
// connections that are opened as they are needed and may carry many attempts each. The package reports exactly how each
// attempt ended, and above all whether it may have been executed: an attempt of which nothing was written provably
// never was, and the director may send a request that is not idempotent again only then.
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

// Counters count the events of all pools since the start of the process. They are printed by their names.
type Counters struct {
	Dials               uint64
	DialFailures        uint64
	Redials             uint64 // dials made again because one was reset
	LocalResourceErrors uint64 // dials that failed for want of our own descriptors, ports or routes
	DescriptorLimitHits uint64 // attempts that ended because all descriptors were in use
	ConnectLimited      uint64 // attempts that share a connection because no further one may be opened yet

	ConnsLost         uint64 // closed by the endpoint or the network
	IdleTimeouts      uint64
	StaleIdleConns    uint64 // closed instead of used again: idle for too long to be trusted
	IdleEvictions     uint64 // idle connections closed to free a descriptor for another endpoint
	IdleCloseRaces    uint64 // requests lost to the close of an idle connection
	UnresponsiveConns uint64 // closed because a response was due for too long
	BackloggedConns   uint64 // passed over because the endpoint has not taken all that was written

	EndpointRestarts uint64
	UnknownEndpoints uint64 // attempts on a host that is no endpoint

	RequestsSent  uint64
	CancelsSent   uint64
	Reassigned    uint64 // attempts given to another connection because their dial failed
	WindowExpired uint64 // attempts not written because their idempotency window had ended

	Responses          uint64 // that answered an attempt
	UnmatchedResponses uint64 // late, duplicate and foreign ones
	InvalidResponses   uint64 // with a status or fields that can't be used
	ProtocolErrors     uint64 // connections closed because what they received is no response
	BytesIn            uint64
	BytesOut           uint64
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
