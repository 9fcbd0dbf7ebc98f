package config

import (
	"math"
	"time"

	"shaleyard/internal/buffer"
	"shaleyard/routing"
)

const (
	// heartbeatInterval is the time between two heartbeats of the discovery service, as the protocol page specifies.
	heartbeatInterval = time.Second
	// reservedDescriptors is the number of descriptors reserved for the listener, pollers, the first call to the
	// discovery service, standard streams, and connections between their accept and their close.
	reservedDescriptors = 20
	// maxWatchCalls is the number of calls to the discovery service in progress at once: the last one that worked, and
	// those of the next seconds of an outage.
	maxWatchCalls = 3
	// longestStopTimeout is the largest part of the longest request timeout that counts towards the time from SIGTERM
	// to SIGKILL, as the protocol page specifies.
	longestStopTimeout = 3 * time.Second
	// stopMargin is the minimum time from SIGTERM to SIGKILL in addition to that part of the longest request timeout,
	// as the protocol page specifies.
	stopMargin = 700 * time.Millisecond
)

// descriptorShares holds the process's limit of descriptors and the number of them that each use may take.
type descriptorShares struct {
	total, clients, lingering, replacementDials, operators, upstream int
}

// shareDescriptors divides total descriptors among their uses. withOperators is whether operators' calls are served.
func shareDescriptors(total int, withOperators bool) descriptorShares {
	shares := descriptorShares{
		total:            total,
		clients:          total / 3,
		lingering:        min(12, total/32),
		replacementDials: min(8, total/32),
	}
	reserve := reservedDescriptors + maxWatchCalls - 1 + shares.lingering + shares.replacementDials
	if withOperators {
		shares.operators = max(2, min(8, total/32))
		reserve += 1 + shares.operators // 1 for the operators' listener
	}
	shares.upstream = total - shares.clients - reserve
	return shares
}

// deriveLimits derives all limits from the resources of the process and the settings. A third of the memory may hold
// bodies in buffers, and a sixth may hold output that clients have not read. The rest is for the program and the
// headroom of the garbage collector.
func deriveLimits(doc document, transport transportSettings, settings *routing.Settings) Limits {
	memoryBytes := int(doc.Limits.MemoryMB * (1 << 20))
	shares := shareDescriptors(int(doc.Limits.Sockets), doc.Operator != "")
	limits := Limits{
		Cores:       doc.Limits.Cores,
		MemoryBytes: int64(memoryBytes) * 3 / 4,
		Descriptors: shares.total,
	}
	limits.setClients(shares, memoryBytes, settings)
	limits.setUpstream(shares, transport)
	limits.setDiscovery(settings)
	limits.setBuffers(memoryBytes)
	limits.setDrain(shares)
	limits.setStop(settings)
	limits.setPauses()
	limits.setLogs()
	return limits
}

func (l *Limits) setClients(shares descriptorShares, memoryBytes int, settings *routing.Settings) {
	l.MaxClientConns = shares.clients
	l.MaxRequestsPerConn = 32
	l.MaxFrameBytes = 96 << 10
	l.MaxRequestBodyBytes = 48_000
	l.MaxRequestFields = 32
	l.FrameHeadBytes = 1 << 10
	l.ClientBacklogBytes = 32 * (240_000 + 1<<10)
	l.TotalBacklogBytes = memoryBytes / 6
	l.BodyBacklogBytes = l.TotalBacklogBytes * 4 / 5
	l.UnrepeatableBacklogBytes = l.TotalBacklogBytes * 13 / 20
	l.SharedBacklogBytes = l.TotalBacklogBytes / 2
	l.MaxUnreadMessages = 16 * l.MaxRequestsPerConn
	l.SlowReaderAge = 100 * time.Millisecond
	l.MessageTimeout = 2 * time.Second
	// At this pace the largest request is complete within MessageTimeout.
	l.WriteStallTimeout = l.MessageTimeout * buffer.MinProgressBytes / time.Duration(l.MaxRequestBodyBytes)
	l.ClientKeepAlive = 4500 * time.Millisecond
	l.ClientIdleTimeout = 30 * time.Second
	l.LingerTimeout = 500 * time.Millisecond
	// The time between the grace period of a drain and its deadline. A system may acknowledge in steps of a receive
	// buffer, which are as far apart at low paces.
	l.SlowReaderTimeout = 2 * time.Second
	l.MaxLingeringConns = shares.lingering
	l.MaxLingerBytes = 1 << 20
	l.FlushCheckInterval = 10 * time.Millisecond
	l.NewConnGracePeriod = 2 * time.Second // some clients take that long to write, and must be answered
	l.MaxOpenRequests = 4096
	l.ExecutionLogBytes = memoryBytes / 64
	l.MaxRequestTimeout = 10 * time.Minute
	l.OverdueGracePeriod = 25 * time.Millisecond
	if settings.SiteLimits.MaxOpenRequests > 0 {
		l.MaxOpenRequests = min(l.MaxOpenRequests, settings.SiteLimits.MaxOpenRequests)
	}
}

func (l *Limits) setUpstream(shares descriptorShares, transport transportSettings) {
	l.MaxUpstreamConns = shares.upstream
	l.MaxReplacementDials = shares.replacementDials
	l.MaxConnsPerEndpoint = min(max(shares.upstream/8, 1), 32)
	l.MaxAttemptsPerConn = 100
	l.ConnectTimeout = time.Second
	l.UpstreamIdleTimeout = 15 * time.Second
	l.MinIdleTimeout = 50 * time.Millisecond
	l.IdleCloseRaceWindow = 50 * time.Millisecond // protocol page, on the close of an idle connection
	l.UpstreamSilenceTimeout = time.Second
	l.LateAnswerWindow = 5 * time.Second
	l.MaxAnswerBodyBytes = 240_000
	l.MaxAnswerFieldBytes = 4 << 10
	if timeout := transport.Ceilings.ConnectTimeout; timeout > 0 {
		l.ConnectTimeout = timeout
	}
	if keepAlive := transport.Ceilings.Keepalive; keepAlive > 0 {
		// Close before the peer does: an attempt that crosses the peer's close may have been executed.
		l.UpstreamIdleTimeout = keepAlive * 3 / 4
	}
	if streams := transport.Ceilings.StreamsPerConn; streams > 0 {
		l.MaxAttemptsPerConn = min(streams, math.MaxInt16)
	}
}

func (l *Limits) setDiscovery(settings *routing.Settings) {
	l.setDiscoveryDefaults()
	if grace := settings.Guarantees.DrainGrace; grace > 0 {
		l.DrainApplyWithin = grace
	}
	// An event that occurs while a watch is silent is received only after the silence timeout and a new call. Both must
	// fit into DrainApplyWithin, with a margin of a fifth of a heartbeat interval. But a healthy service sends a
	// heartbeat each heartbeat interval, so the timeout is at least that interval plus a tenth as a margin for the
	// network.
	maxSilence := l.DrainApplyWithin - l.WatchCallTime - heartbeatInterval/5
	l.WatchSilenceTimeout = max(heartbeatInterval+heartbeatInterval/10, min(l.WatchSilenceTimeout, maxSilence))
	if slack := settings.Tiers.PurgeSlack; slack > 0 {
		l.PurgeApplyWithin = slack
	}
}

func (l *Limits) setDiscoveryDefaults() {
	l.MaxWatchLineBytes = 4 << 20
	l.MaxWatchCalls = maxWatchCalls
	l.WatchSilenceTimeout = 1300 * time.Millisecond
	l.MinWatchBackoff = 100 * time.Millisecond
	l.WatchCallTime = 500 * time.Millisecond
	l.DrainApplyWithin = 2 * time.Second
	l.PurgeApplyWithin = 500 * time.Millisecond
	l.MaxEventDelay = 7 * time.Second      // protocol page, section 'Figures'
	l.InitialListTimeout = 2 * time.Second // covers the spread of the first calls and one call
	l.MaxMembers = 4096
}

func (l *Limits) setBuffers(memoryBytes int) {
	l.BufferSize = 16 << 10
	l.BufferCount = memoryBytes / 3 / l.BufferSize
	l.FrameBuffers = BufferShare{Reserved: l.BufferCount / 8, Most: l.BufferCount / 2}
	l.RequestBodyBuffers = BufferShare{Reserved: l.BufferCount / 4, Most: l.BufferCount * 5 / 8}
	l.AnswerBuffers = BufferShare{Reserved: l.BufferCount * 3 / 8, Most: l.BufferCount * 3 / 4}
}

func (l *Limits) setDrain(shares descriptorShares) {
	l.MaxOperatorConns = shares.operators
	l.LoopStallThreshold = time.Second
	// The load balancer checks readiness ten times a second, and stops sending new clients 0.2 s after a failed check.
	l.DrainNoticePeriod = 500 * time.Millisecond
	l.DrainGracePeriod = 1200 * time.Millisecond
	l.DrainDeadline = 3200 * time.Millisecond
	l.DrainCheckInterval = 20 * time.Millisecond
}

// setStop sets the limits of a stop so that it is complete before SIGKILL. As the protocol page specifies, SIGKILL
// comes no sooner after SIGTERM than the sum of stopMargin and the longest request timeout, of which at most
// longestStopTimeout counts.
func (l *Limits) setStop(settings *routing.Settings) {
	longestTimeout := time.Duration(0)
	for _, class := range settings.Classes {
		longestTimeout = max(longestTimeout, class.Timeout)
	}
	killAfter := min(longestTimeout, longestStopTimeout) + stopMargin
	l.StopGracePeriod = 700 * time.Millisecond
	l.ShutdownRetryAfter = time.Second
	l.StopCheckInterval = 5 * time.Millisecond
	l.StopAnswerDeadline = killAfter - 200*time.Millisecond
	// Requests that arrive at the end of this period have the other two fifths of the time for their answers.
	l.StopHandoverPeriod = l.StopAnswerDeadline * 3 / 5
	l.StopDeadline = killAfter - 50*time.Millisecond
	l.DeliveryDeadline = l.StopDeadline + l.ClientIdleTimeout
}

func (l *Limits) setPauses() {
	// Shorter than the time within which the departure of a client must be handled, longer than the router's tick.
	l.PauseThreshold = 80 * time.Millisecond
	l.PauseSettleTime = 30 * time.Millisecond
	l.LongPauseThreshold = 300 * time.Millisecond // well below PurgeApplyWithin
}

func (l *Limits) setLogs() {
	l.FlightRecorderEvents = 2048
	l.FlightRecorderEventsAtExit = 256
	l.CountersInterval = 5 * time.Second
}
