// Package clients speaks with clients: Thrift calls in frames, in the strict binary protocol. It takes
// requests off connections, hands them to the director and writes one answer for each.
package downstream

import (
	"time"

	"shaleyard/internal/buffer"
	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/handle"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// RequestHandler takes requests; it is the director.
type RequestHandler interface {
	Submit(q director.Request, r director.Replier, token uint64) (handle.Handle, bool)
	Cancel(handle.Handle)
	ShortenDeadline(h handle.Handle, giveUp routing.Time)
}

// Counters count what clients sent and were answered.
type Counters struct {
	Accepted, RejectedConnections, Evicted, Closed                    uint64
	IdleTimeouts, MessageTimeouts                                     uint64
	Frames, Submits, Revokes, Heartbeats                              uint64
	BadFrame, BadMessage, BadFields, UnknownMethod                    uint64
	Answers, Rejections, Failures, TooManyOpenRequests, OutOfCapacity uint64
	SlowReadersClosed, BytesIn, BytesOut, AnswersAfterClose           uint64
	Draining, Lingering, LingersAborted, DroppedBytes                 uint64
	StalledReadersClosed                                              uint64 // cut off in a drain, having taken nothing for long
}

// Server holds the client connections.
type Server struct {
	Counters Counters
	// Ready tells whether heartbeats are answered good.
	Ready func() bool
	// OnProtocolError is told why nothing more is taken from a connection.
	OnProtocolError func(reason error)
	// FlightRecorder keeps what happens to connections and requests; nil: nothing is kept.
	FlightRecorder *flightrecorder.Recorder

	limits            *config.Limits
	pool              *buffer.Pool
	handler           RequestHandler
	timers            *timer.Queue
	now               func() routing.Time
	classIndexes      map[string]int
	connections       *handle.Table[*Connection]
	lingering         []*Connection // eldest first; they are not among conns
	closingGracefully bool          // the program ends: more may linger, in the places that are free
	replyWriter       writer
	tailWriter        writer
	frameBuffer       []byte // scratch: a frame that came in pieces
	segments          [][]byte
	outboundEstimate  int // upper estimate of what clients have not read
	lastID            uint64

	retryAfter time.Duration // advice to those whom the director does not see; 0: the settings allow none
}

// NewServer returns a server that hands requests of the settings' classes to the taker.
func NewServer(l *config.Limits, s *routing.Settings, pool *buffer.Pool, t RequestHandler, a *timer.Queue,
	now func() routing.Time) *Server {
	classes := map[string]int{}
	for i, c := range s.Classes {
		classes[c.Name] = i
	}
	cooldown := time.Duration(0)
	if s.SiteLimits.RetryAfterAllowed {
		cooldown = min(l.ShutdownRetryAfter, s.SiteLimits.MaxRetryAfter)
	}
	return &Server{limits: l, pool: pool, handler: t, timers: a, now: now, classIndexes: classes, retryAfter: cooldown,
		Ready: func() bool { return true }, OnProtocolError: func(error) {},
		connections: handle.NewTable[*Connection](l.MaxClientConns)}
}

// Accept takes a connection in. Where clients hold all that they may, another has to go for it, or nil is
// returned.
func (s *Server) Accept(c eventloop.Conn) *Connection {
	if s.connections.Len() >= s.limits.MaxClientConns {
		s.evict()
	}
	s.lastID++
	x := &Connection{server: s, socket: c, id: s.lastID, partialFrame: s.pool.NewChain()}
	h, ok := s.connections.Add(x)
	if !ok {
		s.Counters.RejectedConnections++
		s.FlightRecorder.Record(flightrecorder.Event{At: s.now(), Kind: flightrecorder.ConnClosed, Conn: x.id, Reason: connectionTableFull})
		return nil
	}
	s.Counters.Accepted++
	x.handle, x.lastActivity, x.messageStarted = h, s.now(), s.now()
	s.FlightRecorder.Record(flightrecorder.Event{At: x.messageStarted, Kind: flightrecorder.ConnOpened, Conn: x.id})
	x.scheduleTimeout()
	s.trim()
	return x
}

// trim cuts the eldest that linger, beyond what the descriptors leave for them. As the program ends nearly all linger
// at once: they may have the places that are free then, but newcomers still take those.
func (s *Server) trim() {
	most := s.limits.MaxLingeringConns
	if s.closingGracefully {
		most += s.limits.MaxClientConns - s.connections.Len()
	}
	for len(s.lingering) > most {
		s.lingering[0].abortLinger(tooManyLingering)
	}
}

// evict closes the connection that is missed least, so that those who connect and say nothing, or keep a
// connection for good, can't shut others out: one that has been idle for longer than clients keep theirs, else
// the eldest that has brought no message yet, else the longest idle, else one that is just bringing a message.
// One that is owed an answer stays.
func (s *Server) evict() {
	var worst *Connection
	now := s.now()
	class := func(x *Connection) int {
		switch {
		case x.receivingFrame():
			return 3
		case x.receivedMessage && now-x.lastActivity > s.limits.ClientKeepAlive:
			return 0
		case !x.receivedMessage:
			return 1
		}
		return 2
	}
	s.connections.All(func(_ handle.Handle, x *Connection) bool {
		if !x.owesAnswer() && (worst == nil || class(x) < class(worst) ||
			(class(x) == class(worst) && x.lastActivity < worst.lastActivity)) {
			worst = x
		}
		return true
	})
	if worst == nil {
		return
	}
	s.Counters.Evicted++
	worst.transition(phaseLingering, evictedForNewcomer)
}

// StartGracefulClose ends all connections on which nothing is owed, as the program ends or is drained. It is called again until none is
// left, or Stay takes it back. A message that has begun may come whole first, and a new connection has a moment to bring one.
func (s *Server) StartGracefulClose() {
	s.closingGracefully = true
	var free []*Connection
	now := s.now()
	s.connections.All(func(_ handle.Handle, x *Connection) bool {
		if !x.owesAnswer() && !x.receivingFrame() && (x.messageStarted == 0 || now-x.messageStarted >= s.limits.NewConnGracePeriod) {
			free = append(free, x)
		}
		return true
	})
	for _, x := range free {
		x.transition(phaseLingering, gracefulClose)
	}
}

// CancelGracefulClose ends what Part began: connections are kept again.
func (s *Server) CancelGracefulClose() {
	s.closingGracefully = false
	s.trim()
}

// ShortenDeadlines bounds the time of those who hold their connections open while the program is to be emptied: whose client has sent
// a message since a time gets its answers by another, and once that has come, who has long taken nothing of what is left for
// it is cut off.
func (s *Server) ShortenDeadlines(since, by routing.Time) {
	now := s.now()
	var stuck []*Connection
	s.connections.All(func(_ handle.Handle, x *Connection) bool {
		if n := x.socket.OutboundBuffered(); n != x.outboundSeen {
			x.outboundSeen, x.outboundChanged = n, now
		}
		if len(x.openRequests) == 0 && x.outboundSeen > 0 && now >= by && now-x.outboundChanged >= s.limits.SlowReaderTimeout {
			stuck = append(stuck, x)
		}
		if x.lastMessage >= since {
			for _, h := range x.openRequests {
				s.handler.ShortenDeadline(h, by)
			}
		}
		return true
	})
	for _, x := range stuck {
		s.Counters.StalledReadersClosed++
		x.closeNow(answerNotRead)
	}
}

// Conns is the number of connections held, those that linger with them.
func (s *Server) Conns() int { return s.connections.Len() + len(s.lingering) }

// OutboundBuffered is the number of bytes that clients have not read yet.
func (s *Server) OutboundBuffered() int {
	n := 0
	s.connections.All(func(_ handle.Handle, x *Connection) bool {
		n += x.socket.OutboundBuffered()
		return true
	})
	return n
}
