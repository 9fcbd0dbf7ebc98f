// Package upstream sends requests to caches, parents and the origin. Each of these servers is an endpoint with a pool
// of connections, which are opened on demand and can carry several attempts at a time. The package reports the result
// of each attempt, and in particular whether the request may have been executed: a request of which nothing was written
// was certainly not executed, and only then may the director resend a non-idempotent request.
//
// All code of the package runs on the event loop and is not safe for concurrent use. Package resp implements the
// protocol's codec.
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

// CompletionHandler receives the results of attempts; the director implements it. AttemptEnded is called once for each
// attempt that was sent and not cancelled.
type CompletionHandler interface {
	AttemptEnded(handle.Handle, director.AttemptResult)
}

// Counters holds the numbers of events in all pools since the process started. The field names are the names in the
// output.
type Counters struct {
	Dials               uint64
	DialFailures        uint64
	Redials             uint64 // additional dials after a dial was reset
	LocalResourceErrors uint64 // dials that failed for lack of local descriptors, ports, routes or permissions
	DescriptorLimitHits uint64 // attempts that ended unsent because all file descriptors were in use
	ConnectLimited      uint64 // attempts that share a connection because the connect limiter allowed no further one

	ConnsLost         uint64 // connections closed by the endpoint or the network, or after a protocol error
	IdleTimeouts      uint64 // connections closed after their idle timeout
	StaleIdleConns    uint64 // connections closed instead of reused, because they had been idle for too long
	IdleEvictions     uint64 // idle connections closed to free a descriptor for another endpoint
	IdleCloseRaces    uint64 // requests lost because the endpoint closed an idle connection at the same time
	UnresponsiveConns uint64 // connections closed because a response had been due for too long
	BackloggedConns   uint64 // times a connection was not chosen because the endpoint had not read all written data

	EndpointRestarts uint64
	UnknownEndpoints uint64 // attempts at a host that is not a known endpoint

	RequestsSent  uint64
	CancelsSent   uint64
	Reassigned    uint64 // attempts moved to another connection because their dial failed
	WindowExpired uint64 // attempts not written because their idempotency window had ended

	Responses          uint64 // responses that answered an attempt
	UnmatchedResponses uint64 // responses dropped because no written attempt has their ID: late, duplicate or unknown
	InvalidResponses   uint64 // responses that answered an attempt, but with an invalid status or invalid fields
	DroppedBodies      uint64 // responses whose body was dropped for want of buffers
	ProtocolErrors     uint64 // connections closed because received data could not be parsed as a response
	BytesIn            uint64
	BytesOut           uint64
}

// Pools holds the endpoints and their connections.
type Pools struct {
	Counters Counters

	limits           *config.Limits
	loadReportFields []string // names of the load report's figures in the settings, in their order
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
	idleReuseTimeout overload.IdleTimeout // for how long an idle connection may be reused
	descriptorsInUse int
	writesSuspended  bool
	headBuffer       []byte   // reused for the encoding of each request and cancellation
	writeSegments    [][]byte // reused for the segments of each request
}

// NewPools returns pools without endpoints, which report the results of attempts to completions. The seed determines
// the pools' random numbers.
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
		idleReuseTimeout: overload.NewIdleTimeout(limits.MinIdleTimeout, limits.UpstreamIdleTimeout),
	}
}

// rngStream is the second half of the generator's seed; it separates this package's random numbers from those that
// other packages derive from the same seed.
const rngStream = 4

// NumConns returns the number of connections that are open or being dialled.
func (p *Pools) NumConns() int { return p.conns.Len() }

// logInterval is the minimum time between two log lines about one endpoint.
const logInterval = time.Second

// logEndpoint logs a message about an endpoint, with its name and address. It drops the message if another one about
// the endpoint was logged less than logInterval ago.
func (p *Pools) logEndpoint(endpoint *endpoint, message string, fields ...zap.Field) {
	now := p.now()
	if now < endpoint.nextLogAt {
		return
	}
	endpoint.nextLogAt = now + logInterval
	logger := p.log.With(zap.String("member", endpoint.name), zap.String("address", endpoint.address))
	logger.Info(message, fields...)
}
