// Package downstream is the client side of a director: it holds the clients' connections, reads their requests
// (Thrift's strict binary protocol in frames), hands them to the director and writes one response for each.
//
// Everything here runs on the event loop: a Server and its Connections are not safe for concurrent use. What clients
// can make the process hold is bounded, for each connection and for all together: frames, bodies, open requests,
// bytes that were not read, and the connections themselves.
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

// RequestHandler handles requests; it is the director.
type RequestHandler interface {
	// Submit takes a request in, which is replied to once, under its token, perhaps before Submit returns; false:
	// there is no room for it, and it is still the caller's.
	Submit(request director.Request, replier director.Replier, token uint64) (handle.Handle, bool)
	// Cancel ends a request whose client no longer waits; it is not replied to.
	Cancel(request handle.Handle)
	// ShortenDeadline has a request replied to by a time, if it was not due sooner.
	ShortenDeadline(request handle.Handle, deadline routing.Time)
}

// Counters count connections, messages and responses since the start.
type Counters struct {
	Accepted, RejectedConnections, Evicted, Closed uint64
	IdleTimeouts, MessageTimeouts                  uint64
	Frames, Submits, Revokes, Heartbeats           uint64
	BadFrame, BadMessage, BadFields, UnknownMethod uint64
	Answers, Rejections, Failures                  uint64
	TooManyOpenRequests, OutOfCapacity             uint64 // rejections of requests that the director has not seen
	SlowReadersClosed                              uint64 // that have left too much unread
	BytesIn, BytesOut                              uint64
	AnswersAfterClose                              uint64 // that reach nobody
	Draining, Lingering, LingersAborted            uint64
	DroppedBytes                                   uint64 // that came after we had stopped reading requests
	StalledReadersClosed                           uint64 // in a graceful close, having read nothing for long
}

// Config is what a Server is made of. Limits are kept, not copied.
type Config struct {
	Limits   *config.Limits
	Settings *routing.Settings
	Pool     *buffer.Pool // holds frames and bodies
	Handler  RequestHandler
	Timers   *timer.Queue
	Now      func() routing.Time

	// Ready reports whether heartbeats are answered as good; nil: they always are.
	Ready func() bool
	// OnProtocolError, where set, is called with the reason for which nothing more is read from a connection.
	OnProtocolError func(reason error)
	// FlightRecorder keeps what happens to connections and requests; nil: nothing is kept.
	FlightRecorder *flightrecorder.Recorder
}

// Server holds the connections of all clients.
type Server struct {
	Counters Counters

	limits          *config.Limits
	pool            *buffer.Pool
	handler         RequestHandler
	timers          *timer.Queue
	now             func() routing.Time
	ready           func() bool
	onProtocolError func(reason error)
	flightRecorder  *flightrecorder.Recorder
	classIndexes    map[string]int // of the settings' classes, by name
	retryAfter      time.Duration  // advised on rejections that the director does not see; 0: the settings allow none
	lastID          uint64

	connections       *handle.Table[*Connection] // that are ready or draining
	lingering         []*Connection              // oldest first; they are not in connections
	closingGracefully bool                       // since StartGracefulClose, until CancelGracefulClose

	outboundEstimate int // of the bytes that clients have not read: never less than there are

	// Buffers that are used again for each message.
	replyWriter thrift.Writer
	tailWriter  thrift.Writer
	segments    [][]byte
	frameBuffer []byte // a frame that came in pieces
}

// NewServer returns a server that hands requests of the settings' classes to the handler.
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
		pool:            cfg.Pool,
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

// Accept takes a connection in. Where clients hold as many as they may, another is closed for it; if all others are
// owed answers, nil is returned and the new one is rejected.
func (s *Server) Accept(socket eventloop.Conn) *Connection {
	if s.connections.Len() >= s.limits.MaxClientConns {
		s.evict()
	}
	s.lastID++
	connection := &Connection{server: s, socket: socket, id: s.lastID, partialFrame: s.pool.NewChain()}
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
	connection.messageStarted = now
	s.flightRecorder.Record(flightrecorder.Event{At: now, Kind: flightrecorder.ConnOpened, Conn: connection.id})
	connection.scheduleTimeout()
	s.trim()
	return connection
}

// Conns is the number of connections held, lingering ones included.
func (s *Server) Conns() int { return s.connections.Len() + len(s.lingering) }

// OutboundBuffered is the number of bytes that clients have not read yet, those on their way not counted.
func (s *Server) OutboundBuffered() int {
	total := 0
	s.connections.All(func(_ handle.Handle, connection *Connection) bool {
		total += connection.socket.OutboundBuffered()
		return true
	})
	return total
}

// record keeps an event that has a reason, with the time.
func (s *Server) record(event flightrecorder.Event, reason flightrecorder.Reason) {
	event.At = s.now()
	event.Reason = reason
	s.flightRecorder.Record(event)
}
