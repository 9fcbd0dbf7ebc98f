package config

import (
	"math"
	"time"

	"shaleyard/routing"
)

const (
	// heartbeatInterval is the time between two heartbeats of the list service (protocol page).
	heartbeatInterval = time.Second
	// reservedDescriptors are for the listener, pollers, the watch, standard streams, and connections between accept
	// and close.
	reservedDescriptors = 20
	// longestStopTimeout bounds how much of the longest request timeout counts for a stop (protocol page).
	longestStopTimeout = 3 * time.Second
	// stopMargin is the least time between SIGTERM and SIGKILL beyond that (protocol page).
	stopMargin = 700 * time.Millisecond
)

// descriptorShares divides the process's descriptors.
type descriptorShares struct {
	total, clients, lingering, replacementDials, operators, upstream int
}

func shareDescriptors(total int, withOperators bool) descriptorShares {
	shares := descriptorShares{
		total:            total,
		clients:          total / 3,
		lingering:        min(12, total/32),
		replacementDials: min(8, total/32),
	}
	reserve := reservedDescriptors + shares.lingering + shares.replacementDials
	if withOperators {
		shares.operators = max(2, min(8, total/32))
		reserve += 1 + shares.operators // with their listener
	}
	shares.upstream = total - shares.clients - reserve
	return shares
}

// deriveLimits works out all limits from the resources of the process and the settings. Of the memory, a third may hold
// bodies in buffers and a sixth what clients have not read; the rest is for the program and the collector's headroom.
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
	l.ClientBacklogBytes = 32 * (240_000 + 1<<10)
	l.TotalBacklogBytes = memoryBytes / 6
	l.MessageTimeout = 2 * time.Second
	l.ClientKeepAlive = 4500 * time.Millisecond
	l.ClientIdleTimeout = 30 * time.Second
	l.LingerTimeout = 500 * time.Millisecond
	l.SlowReaderTimeout = 500 * time.Millisecond
	l.MaxLingeringConns = shares.lingering
	l.MaxLingerBytes = 1 << 20
	l.FlushCheckInterval = 10 * time.Millisecond
	l.NewConnGracePeriod = 2 * time.Second // some clients take that long to write, and their request is owed an answer
	l.MaxOpenRequests = 4096
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
	l.IdleCloseRaceWindow = 50 * time.Millisecond // protocol page, of the close of an idle connection
	l.UpstreamSilenceTimeout = time.Second
	l.LateAnswerWindow = 5 * time.Second
	l.MaxAnswerBodyBytes = 240_000
	l.MaxAnswerFieldBytes = 4 << 10
	if timeout := transport.Ceilings.ConnectTimeout; timeout > 0 {
		l.ConnectTimeout = timeout
	}
	if keepAlive := transport.Ceilings.Keepalive; keepAlive > 0 {
		// before the peer does: an attempt that crosses its close may have executed
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
	// An event during a silence is received once the silence has been noticed and the service called again. A heartbeat
	// comes each second, so that nothing shorter than that, with a margin for the network, is a silence.
	longest := l.DrainApplyWithin - l.WatchCallTime - heartbeatInterval/5
	l.WatchSilenceTimeout = max(heartbeatInterval+heartbeatInterval/10, min(l.WatchSilenceTimeout, longest))
	if slack := settings.Tiers.PurgeSlack; slack > 0 {
		l.PurgeApplyWithin = slack
	}
}

func (l *Limits) setDiscoveryDefaults() {
	l.MaxWatchLineBytes = 4 << 20
	l.WatchSilenceTimeout = 1300 * time.Millisecond
	l.MinWatchBackoff = 100 * time.Millisecond
	l.WatchCallTime = 500 * time.Millisecond
	l.DrainApplyWithin = 2 * time.Second
	l.PurgeApplyWithin = 500 * time.Millisecond
	l.MaxEventDelay = 7 * time.Second      // protocol page, 'Figures'
	l.InitialListTimeout = 2 * time.Second // the spread of the first calls, and a call
	l.MaxMembers = 4096
}

func (l *Limits) setBuffers(memoryBytes int) {
	l.BufferSize = 16 << 10
	l.BufferCount = memoryBytes / 3 / l.BufferSize
}

func (l *Limits) setDrain(shares descriptorShares) {
	l.MaxOperatorConns = shares.operators
	l.LoopStallThreshold = time.Second
	// the load balancer asks ten times a second and sends nobody new 0.2 s after a no
	l.DrainNoticePeriod = 500 * time.Millisecond
	l.DrainGracePeriod = 1200 * time.Millisecond
	l.DrainDeadline = 3200 * time.Millisecond
	l.DrainCheckInterval = 20 * time.Millisecond
}

// setStop follows the protocol page: SIGKILL comes no sooner after SIGTERM than the longest request timeout, counted as
// longestStopTimeout where it is longer, and stopMargin.
func (l *Limits) setStop(settings *routing.Settings) {
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, class.Timeout)
	}
	killed := min(longest, longestStopTimeout) + stopMargin
	l.StopGracePeriod = 700 * time.Millisecond
	l.ShutdownRetryAfter = time.Second
	l.StopCheckInterval = 5 * time.Millisecond
	l.StopAnswerDeadline = killed - 200*time.Millisecond
	// requests that come then have the rest of the time for their answers
	l.StopHandoverPeriod = l.StopAnswerDeadline * 3 / 5
	l.StopDeadline = killed - 50*time.Millisecond
}

func (l *Limits) setPauses() {
	// below the time in which a client's leaving must be handled, over the router's tick
	l.PauseThreshold = 80 * time.Millisecond
	l.PauseSettleTime = 30 * time.Millisecond
	l.LongPauseThreshold = 300 * time.Millisecond // well below the time to apply a purge
}

func (l *Limits) setLogs() {
	l.FlightRecorderEvents = 2048
	l.FlightRecorderEventsAtExit = 256
	l.CountersInterval = 5 * time.Second
}
