package config

import "time"

// BufferShare is the part of the buffers that one use may take.
type BufferShare struct {
	Reserved int // buffers that no other use can take
	Most     int // buffers that this use can take at once
}

// Limits holds all sizes, counts and times that bound what the program does.
type Limits struct {
	Cores       float64 // processors that the program may use
	MemoryBytes int64   // soft memory limit of the Go runtime
	Descriptors int     // file descriptors that the program may hold open

	// Clients.

	MaxClientConns      int // open client connections
	MaxRequestsPerConn  int // open requests on one connection
	MaxFrameBytes       int // length of one Thrift frame
	MaxRequestBodyBytes int // length of a request's body
	MaxRequestFields    int // entries of a request's field map
	FrameHeadBytes      int // bytes of a partly received frame that are held outside the pool of buffers
	ClientBacklogBytes  int // output that one client may leave unread
	TotalBacklogBytes   int // output that all clients together may leave unread
	BodyBacklogBytes    int // the part of TotalBacklogBytes that answers with a body may use
	// UnrepeatableBacklogBytes is the part of BodyBacklogBytes that clients with unread output may use for answers that
	// must not be requested again, and SharedBacklogBytes the part that they share for all answers.
	UnrepeatableBacklogBytes int
	SharedBacklogBytes       int
	MaxUnreadMessages        int // messages in the program's buffer for one client
	// SlowReaderAge is the time for which output waits to be sent after which its client counts as a slow reader.
	SlowReaderAge time.Duration
	// MessageTimeout is the time within which a client must send a whole message: from the accept for the first message
	// of a connection, and from the first byte for each further one.
	MessageTimeout time.Duration
	// WriteStallTimeout is the time without progress (buffer.Progress) after which a message is not written in good
	// time. It then makes room for others, if room is wanted.
	WriteStallTimeout time.Duration
	ClientKeepAlive   time.Duration // idle time after which clients close or abandon a connection
	ClientIdleTimeout time.Duration // idle time after which the program closes a client's connection
	// LingerTimeout is how long input is read after our half of a connection is closed, until the client closes its
	// half.
	LingerTimeout time.Duration
	// SlowReaderTimeout is the time without reading after which a client is disconnected during a shutdown.
	SlowReaderTimeout  time.Duration
	MaxLingeringConns  int           // connections that linger at once, in addition to MaxClientConns
	MaxLingerBytes     int           // input that is read and discarded on a connection that is closing
	FlushCheckInterval time.Duration // between two checks whether a client has read its buffered output
	NewConnGracePeriod time.Duration // for the first message of a new connection during a drain or a shutdown
	MaxOpenRequests    int           // accepted requests that are not answered yet
	ExecutionLogBytes  int           // memory for the references of requests that may have been executed
	MaxRequestTimeout  time.Duration // longest timeout that a client may request
	OverdueGracePeriod time.Duration // from a request's deadline until the request is failed if it is unanswered

	// Upstream: caches, parents and the origin.

	// MaxUpstreamConns is the number of file descriptors that upstream connections may hold: two for each one that is
	// being dialled, and one for each open one.
	MaxUpstreamConns int
	// MaxReplacementDials is the number of descriptors, in addition to MaxUpstreamConns, for dials that replace idle
	// connections, until those connections are closed.
	MaxReplacementDials int
	MaxConnsPerEndpoint int           // connections to one endpoint; beyond them attempts share connections
	MaxAttemptsPerConn  int           // attempts in flight on one connection
	ConnectTimeout      time.Duration // after which a connection that is not established counts as failed
	UpstreamIdleTimeout time.Duration // idle time after which a connection is closed
	MinIdleTimeout      time.Duration // idle time up to which connections are reused, however many resets were seen
	// IdleCloseRaceWindow is the time after a request's write in which a reset may be due to the endpoint's close of an
	// idle connection.
	IdleCloseRaceWindow time.Duration
	// UpstreamSilenceTimeout is the time without input after which a connection that awaits answers takes no new
	// attempts.
	UpstreamSilenceTimeout time.Duration
	LateAnswerWindow       time.Duration // during which an answer to a cancelled attempt is still expected
	MaxAnswerBodyBytes     int           // length of an answer's body
	MaxAnswerFieldBytes    int           // length of an answer's fields

	// Discovery: the watch on the discovery service.

	MaxWatchLineBytes   int           // length of one line
	MaxWatchCalls       int           // calls to the service in progress at once: one in time, and others overdue
	WatchSilenceTimeout time.Duration // time without a line after which the service is called again
	MinWatchBackoff     time.Duration // shortest wait after a failed call
	// WatchCallTime is the longest duration of a call to a healthy service: connect, subscribe, read the missed events.
	WatchCallTime    time.Duration
	DrainApplyWithin time.Duration // from when the service has a drain until the drain must be applied
	PurgeApplyWithin time.Duration // from when a purge counts as notified until the purge must be applied
	// InitialJitterWindow is the time over which the fleet spreads its first calls to the discovery service. If it is
	// 0, the calls are spread over at most four fifths of PurgeApplyWithin, and the director accepts requests from its
	// start. Otherwise the director accepts requests only once it has reached the service, or InitialListTimeout has
	// passed.
	InitialJitterWindow time.Duration
	MaxEventDelay       time.Duration // after which an event of the service counts as known even if it did not arrive
	InitialListTimeout  time.Duration // longest time for which readiness waits for the first list
	MaxMembers          int           // endpoints in one update of the list

	// Buffers.

	// Each use of buffers has a pool of its own with a reserved part, so that no use can take everything from others.

	BufferSize         int         // bytes of one buffer
	BufferCount        int         // buffers in all pools together
	FrameBuffers       BufferShare // for clients' messages that are partly received
	RequestBodyBuffers BufferShare // for the bodies of accepted requests
	AnswerBuffers      BufferShare // for the bodies of servers' answers

	// Operators' calls and drains. Times count from the request to drain.

	MaxOperatorConns   int           // open connections of operators
	LoopStallThreshold time.Duration // time without a run of the event loop after which the process is not ready
	// DrainNoticePeriod is the time by which the load balancer knows of a drain. Clients that are disconnected sooner
	// would be sent back to this process.
	DrainNoticePeriod  time.Duration
	DrainGracePeriod   time.Duration // for which requests are accepted on open connections
	DrainDeadline      time.Duration // by which clients that keep sending, or read nothing, are disconnected
	DrainCheckInterval time.Duration // between two checks of what a draining process still holds

	// Stop. Times count from SIGTERM.

	StopGracePeriod time.Duration // for which connections and requests are accepted
	// StopHandoverPeriod replaces StopGracePeriod, if it is longer, when another process takes over the listener: idle
	// clients move to that process.
	StopHandoverPeriod time.Duration
	StopAnswerDeadline time.Duration // by which all accepted requests are answered
	ShutdownRetryAfter time.Duration // retry delay for clients that are rejected during a drain or a shutdown
	StopCheckInterval  time.Duration // between two checks whether all requests are answered
	StopDeadline       time.Duration // by which the program ends, unless clients are still reading answers
	DeliveryDeadline   time.Duration // by which the program ends even if clients are still reading answers

	// Pauses of the process.

	PauseThreshold     time.Duration // time without a run of the event loop after which the loop counts as paused
	PauseSettleTime    time.Duration // longest delay of timers after a pause
	LongPauseThreshold time.Duration // length of a pause beyond which requests are admitted as after a start

	// Logs.

	FlightRecorderEvents       int           // latest events that are kept in memory
	FlightRecorderEventsAtExit int           // latest events that are logged at the exit
	CountersInterval           time.Duration // between two log lines with all counters
}
