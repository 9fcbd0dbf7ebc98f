package config

import "time"

// Limits are all sizes, counts and times that the program keeps to.
type Limits struct {
	Cores       float64
	MemoryBytes int64 // soft limit for the Go runtime
	Descriptors int

	// Clients.
	MaxClientConns      int           // connections that clients may hold
	MaxRequestsPerConn  int           // open requests on one connection
	MaxFrameBytes       int           // of one Thrift frame
	MaxRequestBodyBytes int           // of a write
	MaxRequestFields    int           // entries of the field map
	ClientBacklogBytes  int           // that one client may leave unread
	TotalBacklogBytes   int           // that all clients together may leave unread
	MessageTimeout      time.Duration // for a connection's first message, and for any from its first byte to its last
	ClientKeepAlive     time.Duration // clients close a connection that was idle for so long, or abandon it
	ClientIdleTimeout   time.Duration // an idle client connection is closed after this
	// after our half is closed, input is read for so long until the client closes its own
	LingerTimeout      time.Duration
	SlowReaderTimeout  time.Duration // during shutdown, a client that reads nothing for so long is disconnected
	MaxLingeringConns  int           // at once, beyond MaxClientConns
	MaxLingerBytes     int           // that are read and dropped on a connection that is closing
	FlushCheckInterval time.Duration // between checks whether a client has read what is buffered for it
	NewConnGracePeriod time.Duration // for a new connection's first message during a drain or shutdown
	MaxOpenRequests    int           // requests accepted and not answered
	MaxRequestTimeout  time.Duration // that a client may ask for
	OverdueGracePeriod time.Duration // past its deadline, after which a request without an answer is failed

	// Upstream: caches, parents, origin.
	MaxUpstreamConns int // descriptors that dialled connections may hold
	// beyond those: for dials that replace idle connections, until these are closed
	MaxReplacementDials int
	MaxConnsPerEndpoint int           // connections to one endpoint, before attempts share them
	MaxAttemptsPerConn  int           // attempts in flight on one connection
	ConnectTimeout      time.Duration // a connection not established by then has failed
	UpstreamIdleTimeout time.Duration // an idle connection is closed after this
	MinIdleTimeout      time.Duration // connections idle for less are reused, however many resets were seen
	// a request that is reset so soon after its write may have crossed an idle close
	IdleCloseRaceWindow time.Duration
	// a connection that owes answers and was silent for so long takes no new attempts
	UpstreamSilenceTimeout time.Duration
	LateAnswerWindow       time.Duration // during which the answer to a cancelled attempt is still expected
	MaxAnswerBodyBytes     int           // of an object
	MaxAnswerFieldBytes    int           // of an answer's fields

	// Discovery: the watch on the list service.
	MaxWatchLineBytes   int           // of one line
	WatchSilenceTimeout time.Duration // without a line, after which the service is called again
	MinWatchBackoff     time.Duration // shortest wait after a call that failed
	// that a call takes at most with the service up: connect, subscribe, read what was missed
	WatchCallTime    time.Duration
	DrainApplyWithin time.Duration // from when the service has a drain until it must be applied
	PurgeApplyWithin time.Duration // the same for a purge
	// InitialJitterWindow is what the fleet's first calls are spread over; no work is accepted before ours. 0: they are
	// spread over PurgeApplyWithin, and work is accepted before.
	InitialJitterWindow time.Duration
	MaxEventDelay       time.Duration // after which the service's events count as known though none arrived
	InitialListTimeout  time.Duration // readiness waits for a list no longer
	MaxMembers          int           // members held at once

	// Buffers.
	BufferSize  int // bytes
	BufferCount int

	// Operators' calls and drains. Times count from the request to drain.
	MaxOperatorConns   int           // connections of operators held at once
	LoopStallThreshold time.Duration // an event loop that has not run for so long makes the process not ready
	// the load balancer knows of a drain by then; clients that are disconnected sooner would come back
	DrainNoticePeriod  time.Duration
	DrainGracePeriod   time.Duration // for which requests are accepted on open connections
	DrainDeadline      time.Duration // by which clients that go on sending, or read nothing, are disconnected
	DrainCheckInterval time.Duration // between checks of what a drained process holds

	// Stop. Times count from SIGTERM.
	StopGracePeriod    time.Duration // for which connections and requests are accepted
	StopHandoverPeriod time.Duration // the same on a listener that another process takes over: idle clients move there
	StopAnswerDeadline time.Duration // by which all accepted requests are answered
	ShutdownRetryAfter time.Duration // told to clients that are rejected during a drain or shutdown
	StopCheckInterval  time.Duration // between checks whether all is answered
	StopDeadline       time.Duration // by which the program ends

	// Pauses of the process.
	PauseThreshold     time.Duration // a loop that has not run for so long was paused
	PauseSettleTime    time.Duration // bounds how long timers are delayed after a pause
	LongPauseThreshold time.Duration // after a longer pause, requests are admitted as after a start

	// Logs.
	FlightRecorderEvents       int           // latest events that are kept in memory
	FlightRecorderEventsAtExit int           // of these, how many are logged at the exit
	CountersInterval           time.Duration // between log lines with all counters
}
