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

	limits  *config.Limits
	pool    *buffer.Pool
	taker   RequestHandler
	agenda  *timer.Queue
	now     func() routing.Time
	classes map[string]int
	conns   *handle.Table[*Connection]
	lingers []*Connection // eldest first; they are not among conns
	parting bool          // the program ends: more may linger, in the places that are free
	out     writer
	tail    writer
	frame   []byte // scratch: a frame that came in pieces
	iov     [][]byte
	backlog int // upper estimate of what clients have not read
	lastID  uint64

	cooldown time.Duration // advice to those whom the director does not see; 0: the settings allow none
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
	return &Server{limits: l, pool: pool, taker: t, agenda: a, now: now, classes: classes, cooldown: cooldown,
		Ready: func() bool { return true }, OnProtocolError: func(error) {},
		conns: handle.NewTable[*Connection](l.MaxClientConns)}
}

// Accept takes a connection in. Where clients hold all that they may, another has to go for it, or nil is
// returned.
func (s *Server) Accept(c eventloop.Conn) *Connection {
	if s.conns.Len() >= s.limits.MaxClientConns {
		s.evict()
	}
	s.lastID++
	x := &Connection{s: s, c: c, id: s.lastID, got: s.pool.NewChain()}
	h, ok := s.conns.Add(x)
	if !ok {
		s.Counters.RejectedConnections++
		s.FlightRecorder.Record(flightrecorder.Event{At: s.now(), Kind: flightrecorder.ConnClosed, Conn: x.id, Reason: turnedAway})
		return nil
	}
	s.Counters.Accepted++
	x.handle, x.lastUse, x.begun = h, s.now(), s.now()
	s.FlightRecorder.Record(flightrecorder.Event{At: x.begun, Kind: flightrecorder.ConnOpened, Conn: x.id})
	x.watch()
	s.trim()
	return x
}

// trim cuts the eldest that linger, beyond what the descriptors leave for them. As the program ends nearly all linger
// at once: they may have the places that are free then, but newcomers still take those.
func (s *Server) trim() {
	most := s.limits.MaxLingeringConns
	if s.parting {
		most += s.limits.MaxClientConns - s.conns.Len()
	}
	for len(s.lingers) > most {
		s.lingers[0].cut(lingersFull)
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
		case x.midway():
			return 3
		case x.spoke && now-x.lastUse > s.limits.ClientKeepAlive:
			return 0
		case !x.spoke:
			return 1
		}
		return 2
	}
	s.conns.All(func(_ handle.Handle, x *Connection) bool {
		if !x.busy() && (worst == nil || class(x) < class(worst) ||
			(class(x) == class(worst) && x.lastUse < worst.lastUse)) {
			worst = x
		}
		return true
	})
	if worst == nil {
		return
	}
	s.Counters.Evicted++
	worst.move(lingering, evicted)
}

// StartGracefulClose ends all connections on which nothing is owed, as the program ends or is drained. It is called again until none is
// left, or Stay takes it back. A message that has begun may come whole first, and a new connection has a moment to bring one.
func (s *Server) StartGracefulClose() {
	s.parting = true
	var free []*Connection
	now := s.now()
	s.conns.All(func(_ handle.Handle, x *Connection) bool {
		if !x.busy() && !x.midway() && (x.begun == 0 || now-x.begun >= s.limits.NewConnGracePeriod) {
			free = append(free, x)
		}
		return true
	})
	for _, x := range free {
		x.move(lingering, emptied)
	}
}

// CancelGracefulClose ends what Part began: connections are kept again.
func (s *Server) CancelGracefulClose() {
	s.parting = false
	s.trim()
}

// ShortenDeadlines bounds the time of those who hold their connections open while the program is to be emptied: whose client has sent
// a message since a time gets its answers by another, and once that has come, who has long taken nothing of what is left for
// it is cut off.
func (s *Server) ShortenDeadlines(since, by routing.Time) {
	now := s.now()
	var stuck []*Connection
	s.conns.All(func(_ handle.Handle, x *Connection) bool {
		if n := x.c.OutboundBuffered(); n != x.unread {
			x.unread, x.moved = n, now
		}
		if len(x.open) == 0 && x.unread > 0 && now >= by && now-x.moved >= s.limits.SlowReaderTimeout {
			stuck = append(stuck, x)
		}
		if x.heard >= since {
			for _, h := range x.open {
				s.taker.ShortenDeadline(h, by)
			}
		}
		return true
	})
	for _, x := range stuck {
		s.Counters.StalledReadersClosed++
		x.shut(answerUnread)
	}
}

// Conns is the number of connections held, those that linger with them.
func (s *Server) Conns() int { return s.conns.Len() + len(s.lingers) }

// OutboundBuffered is the number of bytes that clients have not read yet.
func (s *Server) OutboundBuffered() int {
	n := 0
	s.conns.All(func(_ handle.Handle, x *Connection) bool {
		n += x.c.OutboundBuffered()
		return true
	})
	return n
}
