// Package downstream implements the client side of a director. It accepts the clients' connections, reads requests from
// them (Thrift's strict binary protocol in the framed transport), submits the requests to the director, and writes one
// response to each request that is not revoked.
//
// All code runs on the event loop: a Server and its Connections are not safe for concurrent use. The resources that
// clients can occupy are bounded, for each connection and for all connections together: frames, bodies, open requests,
// unread output, and the connections themselves.
package downstream

import (
	"time"

	"shaleyard/internal/buffer"
	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/internal/thrift"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// RequestHandler handles the requests of all connections. The director implements it.
type RequestHandler interface {
	// Submit accepts a request and returns its handle. The handler replies once, with the given token, unless the
	// request is canceled; the reply can come before Submit returns. Submit returns false if there is no room for the
	// request, and the caller then keeps ownership of its body.
	Submit(request director.Request, replier director.Replier, token uint64) (handle.Handle, bool)
	// FreeRequests returns the number of further requests for which there is room.
	FreeRequests() int
	// Cancel ends a request that its client no longer waits for. The handler does not reply to it.
	Cancel(request handle.Handle)
	// ShortenDeadline lowers the time by which a request is replied to. An earlier deadline of the request stays.
	ShortenDeadline(request handle.Handle, deadline routing.Time)
}

// Counters holds the numbers of connections, messages, responses and bytes since the process started.
type Counters struct {
	Accepted, RejectedConnections, Evicted, Closed uint64
	IdleTimeouts, MessageTimeouts                  uint64
	Frames, Submits, Revokes, Heartbeats           uint64
	BadFrame, BadMessage, BadFields, UnknownMethod uint64
	Answers, Rejections, Failures                  uint64
	TooManyOpenRequests, OutOfCapacity             uint64 // rejections of requests that the director has not accepted
	RejectedForUnreadOutput                        uint64 // the same, as the client had left too much output unread
	RefusedFrames                                  uint64 // refused before they were complete, to free buffers
	SlowReadersClosed                              uint64 // connections closed for too many unread messages
	BytesIn, BytesOut                              uint64
	AnswersAfterClose                              uint64 // answers discarded, as their request or connection had ended
	Draining, Lingering, LingersAborted            uint64
	DroppedBytes                                   uint64 // received after a connection had stopped reading requests
	StalledReadersClosed                           uint64 // closed in a graceful close, as the client read no output
}

// Config holds the settings and dependencies of a Server. The Server keeps the pointer to Limits and makes no copy of
// them.
type Config struct {
	Limits   *config.Limits
	Settings *routing.Settings
	// FramePool holds partly received frames, BodyPool the bodies of requests.
	FramePool, BodyPool *buffer.Pool

	Handler RequestHandler
	Timers  *timer.Queue
	Now     func() routing.Time

	// Ready reports whether heartbeats are answered with good = true. If it is nil, they always are.
	Ready func() bool
	// OnProtocolError, if set, is called with the cause when a connection stops reading a malformed stream.
	OnProtocolError func(reason error)
	// FlightRecorder records the events of connections and requests. If it is nil, no events are recorded.
	FlightRecorder *flightrecorder.Recorder
}

// Server holds the connections of all clients.
type Server struct {
	Counters Counters

	limits          *config.Limits
	framePool       *buffer.Pool
	bodyPool        *buffer.Pool
	handler         RequestHandler
	timers          *timer.Queue
	now             func() routing.Time
	ready           func() bool
	onProtocolError func(reason error)
	flightRecorder  *flightrecorder.Recorder
	classIndexes    map[string]int // class names to indexes in Settings.Classes
	retryAfter      time.Duration  // delay sent by rejectLocally; 0: the settings allow none
	lastID          uint64         // of the newest connection

	connections       *handle.Table[*Connection] // in phaseReady or phaseDraining
	nextEvictionAt    routing.Time               // until then, no connection is evicted, because none could be
	lingering         []*Connection              // in phaseLingering, oldest first; not in connections
	closingGracefully bool                       // from StartGracefulClose until CancelGracefulClose

	outboundEstimate int // upper bound of OutboundBuffered, in bytes

	readersCheckedAt routing.Time // when AnyClientReading last looked at the clients
	anyReader        bool         // what it found

	// Buffers that are reused for each message.
	replyWriter thrift.Writer
	tailWriter  thrift.Writer
	segments    [][]byte
	frameBuffer []byte // holds a frame that arrived in pieces
}

// NewServer returns a server that submits requests of the classes in cfg.Settings to cfg.Handler.
func NewServer(cfg Config) *Server {
	if cfg.Ready == nil {
		cfg.Ready = func() bool { return true }
	}
	if cfg.OnProtocolError == nil {
		cfg.OnProtocolError = func(error) {}
	}
	classIndexes := map[string]int{}
	for i, class := range cfg.Settings.Classes {
		classIndexes[class.Name] = i
	}
	retryAfter := time.Duration(0)
	if cfg.Settings.SiteLimits.RetryAfterAllowed {
		retryAfter = min(cfg.Limits.ShutdownRetryAfter, cfg.Settings.SiteLimits.MaxRetryAfter)
	}
	return &Server{
		limits:          cfg.Limits,
		framePool:       cfg.FramePool,
		bodyPool:        cfg.BodyPool,
		handler:         cfg.Handler,
		timers:          cfg.Timers,
		now:             cfg.Now,
		ready:           cfg.Ready,
		onProtocolError: cfg.OnProtocolError,
		flightRecorder:  cfg.FlightRecorder,
		classIndexes:    classIndexes,
		retryAfter:      retryAfter,
		connections:     handle.NewTable[*Connection](cfg.Limits.MaxClientConns),
	}
}

// Accept registers a new connection and returns it. At Limits.MaxClientConns connections, Accept evicts another one; if
// all of them are in use, it rejects the new connection and returns nil.
func (s *Server) Accept(socket eventloop.Conn) *Connection {
	if s.connections.Len() >= s.limits.MaxClientConns {
		s.evict()
	}
	s.lastID++
	connection := &Connection{server: s, socket: socket, id: s.lastID}
	connection.partialFrame = partialFrame{headLimit: s.limits.FrameHeadBytes, rest: s.framePool.NewChain()}
	var ok bool
	connection.handle, ok = s.connections.Add(connection)
	if !ok {
		s.Counters.RejectedConnections++
		event := flightrecorder.Event{Kind: flightrecorder.ConnClosed, Conn: connection.id}
		s.record(event, flightrecorder.ReasonConnectionTableFull)
		return nil
	}
	s.Counters.Accepted++
	now := s.now()
	connection.lastActivity = now
	connection.lastInput = now
	connection.messageStarted = now
	s.flightRecorder.Record(flightrecorder.Event{At: now, Kind: flightrecorder.ConnOpened, Conn: connection.id})
	connection.scheduleTimeout()
	s.trimLingering()
	return connection
}

// Conns returns the number of connections, including lingering ones.
func (s *Server) Conns() int { return s.connections.Len() + len(s.lingering) }

// OutboundBuffered returns the number of output bytes that the sockets of ready and draining connections have not
// accepted yet. Bytes in the system's buffers and on the network are not counted.
func (s *Server) OutboundBuffered() int {
	total := 0
	s.connections.All(func(_ handle.Handle, connection *Connection) bool {
		total += connection.socket.OutboundBuffered()
		return true
	})
	return total
}

// record records an event in the flight recorder, with its reason and the current time.
func (s *Server) record(event flightrecorder.Event, reason flightrecorder.Reason) {
	event.At = s.now()
	event.Reason = reason
	s.flightRecorder.Record(event)
}
