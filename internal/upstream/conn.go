package upstream

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/handle"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// One connection to a peer: its phases, its dial, how it ends and what that teaches.

// phase is where a connection is in its life; docs/lifecycles.md tells what each event does in each. It only goes
// forward, in move.
type phase uint8

const (
	dialling phase = iota // attempts wait in line for it
	up                    // it takes attempts
	dry                   // it takes nothing new: what is open on it may end
	closed                // it has nothing open, and is none of its peer's any more
)

// conn is a connection.
type conn struct {
	f      *Pools
	p      *peer
	phase  phase
	handle handle.Handle
	link   eventloop.Conn
	parser parser
	open   map[string]*call
	line   []*call                 // wait until it is up
	ghosts map[string]routing.Time // ids given up here, or answered other than well: another answer may still come
	since  routing.Time            // when it was opened
	asked  routing.Time            // first write since something was heard; 0: nothing is owed
	used   routing.Time            // when it last took an attempt
	rested routing.Time            // since when it has nothing open
	spoilt bool                    // closed by us for what came on it
	served int                     // answers that came
	idle   timer.Timer
}

// move takes the connection on to a later phase; it is the one place where the phase changes.
func (c *conn) move(to phase) {
	if to <= c.phase {
		return
	}
	c.phase = to
	if to != closed {
		return
	}
	f := c.f
	f.agenda.Cancel(&c.idle)
	f.conns.Remove(c.handle)
	c.parser.release()
	c.p.conns = slices.DeleteFunc(c.p.conns, func(o *conn) bool { return o == c })
	if c.p.left && len(c.p.conns) == 0 && f.peers[c.p.host] == c.p {
		delete(f.peers, c.p.host)
	}
}

// put gives an attempt to its connection, which writes it as soon as it is up and nothing is held.
func (c *conn) put(k *call) {
	if len(c.open) == 0 && c.phase != dialling {
		k.gap = c.f.now() - c.rested
	}
	k.c, c.open[k.id], c.used = c, k, c.f.now()
	c.f.agenda.Cancel(&c.idle)
	if c.phase == dialling || c.f.held {
		c.line = append(c.line, k)
		return
	}
	k.frame()
}

// flush writes what has waited for the connection, or for the end of a hold. What was given up meanwhile is not sent.
func (c *conn) flush() {
	line := c.line
	c.line = nil
	for _, k := range line {
		if c.open[k.id] == k && c.phase != closed {
			k.frame()
		}
	}
}

// before tells that c is the better of two: less open, up already, used later, so that what is not needed any
// more comes to its idle time.
func (c *conn) before(o *conn) bool {
	switch {
	case len(c.open) != len(o.open):
		return len(c.open) < len(o.open)
	case (c.phase == dialling) != (o.phase == dialling):
		return c.phase != dialling
	}
	return c.used > o.used
}

// usable tells whether a connection can take an attempt under an id. One on which the id was given up, or was
// answered but not well, can't: a late answer or a second copy could not be told from the new one's. Nor can a
// silent one: a machine that has vanished leaves its connections open, and a new dial proves whether it is
// there. A silent one that has nothing left open is of no more use and is closed. Nor can one that has not taken
// all that was written: what comes behind would leave when the peer likes, past whatever calls it off.
func (c *conn) usable(id string) bool {
	f, now := c.f, c.f.now()
	if _, taken := c.open[id]; taken || c.phase > up || len(c.open) >= f.limits.MaxAttemptsPerConn {
		return false
	}
	if at, ghost := c.ghosts[id]; ghost && now-at <= f.limits.LateAnswerWindow {
		return false
	}
	if len(c.open) == 0 && c.parser.midway() {
		return false // what comes next would be read as the rest of an answer that was given up
	}
	if len(c.open) == 0 && c.phase == up && now-c.rested > f.idle.Value(now) {
		f.Counters.StaleIdleConns++
		c.shut()
		return false
	}
	if c.asked != 0 && now-c.asked >= f.limits.UpstreamSilenceTimeout {
		if len(c.open) == 0 {
			f.Counters.UnresponsiveConns++
			c.shut()
		}
		return false
	}
	if c.phase == up && c.link.OutboundBuffered() > 0 {
		f.Counters.BackloggedConns++
		return false
	}
	return true
}

// ghost looks out for an answer that crosses the STOP of its attempt, or that comes behind the first one.
func (c *conn) ghost(id string) {
	now := c.f.now()
	if len(c.ghosts) >= 4*c.f.limits.MaxAttemptsPerConn {
		for g, at := range c.ghosts {
			if now-at > c.f.limits.LateAnswerWindow {
				delete(c.ghosts, g)
			}
		}
		if len(c.ghosts) >= 4*c.f.limits.MaxAttemptsPerConn {
			c.move(dry) // gives up so much that it can't be told apart: let it run dry
			return
		}
	}
	c.ghosts[id] = now
}

// Opened is the end of a dial.
func (c *conn) Opened(link eventloop.Conn) {
	c.f.files--
	c.link, c.since, c.rested = link, c.f.now(), c.f.now()
	c.move(up)
	c.p.pace.RecordSuccess(c.since, len(c.p.conns)-c.p.opening())
	if c.phase == closed {
		link.Close()
		return
	}
	if !c.f.held {
		c.flush()
	}
	c.rest()
}

// shortages are the results of attempts whose dial failed, by what we ourselves lacked.
var shortages = map[eventloop.DialFailure]routing.Result{eventloop.PeerFailed: routing.ConnectFailed, eventloop.LocalResourcesExhausted: routing.LocalResourcesExhausted,
	eventloop.Unreachable: routing.Unreachable}

// Failed is the other end of a dial: nothing that waited for it has run. What failed for our own want of descriptors, ports
// or routes is no evidence against the peer.
func (c *conn) Failed(err error) {
	c.f.files -= 2
	c.f.Counters.DialFailures++
	c.f.note(c.p, "connect failed", zap.Int("attempts_waiting", len(c.open)), zap.NamedError("cause", err))
	line := c.line
	c.line = nil
	result := shortages[eventloop.ClassifyDialError(err)]
	if result == routing.ConnectFailed {
		c.p.pace.RecordFailure(c.f.now(), len(c.p.conns)-c.p.opening())
	} else {
		c.f.Counters.LocalResourceErrors++
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.f.agenda.Cancel(&c.p.crossed) // its process has ended
	}
	c.move(dry)
	for _, k := range line {
		if c.open[k.id] == k {
			c.f.move(k, errors.Is(err, syscall.ECONNRESET))
		}
	}
	c.gone(result)
}

// turnedAway is the life of a connection that a peer has closed because it holds as many as it takes.
const turnedAway = 100 * time.Millisecond

// redialsMost bounds the dials that one attempt makes because others were reset.
const redialsMost = 2

// move gives an attempt whose dial failed to another connection of the peer that works: a peer may hold no more
// connections than it has, and that one more failed proves nothing about it then. A dial that was reset, other
// than one that was refused, proves nothing in any case, and is made again.
func (f *Pools) move(k *call, reset bool) {
	from := k.c
	to := (*conn)(nil)
	for _, c := range slices.Clone(from.p.conns) {
		if c.phase == up && c.usable(k.id) {
			to = c
			break
		}
	}
	if to == nil && reset && k.redials < redialsMost {
		if to = f.dial(from.p); to != nil {
			f.Counters.Redials++
			k.redials++
		}
	}
	if to != nil {
		f.Counters.Reassigned++
		delete(from.open, k.id)
		to.put(k)
	}
}

// Closed is the end of a connection: what was written may have run.
func (c *conn) Closed() {
	c.f.files--
	if c.phase != closed {
		c.f.Counters.ConnsLost++
		if len(c.open) > 0 {
			c.f.note(c.p, "connection lost", zap.Duration("after", c.f.now()-c.since), zap.Int("answers", c.served),
				zap.Int("attempts_out", len(c.open)))
		}
		if !c.spoilt {
			c.f.crossed(c)
		}
		if c.served == 0 && !c.spoilt && c.f.now()-c.since < turnedAway { // accepted only to be closed: a peer that is full
			c.p.pace.RecordFailure(c.f.now(), len(c.p.conns)-c.p.opening()-1)
		}
	}
	c.gone(routing.Reset)
}

// crossed learns from a connection that was reset under the first request after it had been idle: a peer, or what lies
// between, drops idle connections sooner than the settings tell, and idle ones are used again for less long from then on.
// A reset that comes long behind the request did not cross it. Nor does a peer that has died say anything of idle times:
// it ends all its connections at once, and refuses the next one. So the lesson waits for a moment, and is dropped if either
// shows.
func (f *Pools) crossed(c *conn) {
	p, now := c.p, f.now()
	alone := !p.crossed.Pending() && (p.ended == 0 || now-p.ended > f.limits.IdleCloseRaceWindow)
	p.ended = now
	f.agenda.Cancel(&p.crossed)
	if !alone || len(c.open) != 1 {
		return
	}
	for _, k := range c.open {
		if k.written && k.gap > 0 && now-k.at <= f.limits.IdleCloseRaceWindow {
			f.agenda.Schedule(&p.crossed, now+f.limits.IdleCloseRaceWindow, func() {
				f.Counters.IdleCloseRaces++
				f.idle.RecordCloseRace(f.now(), k.gap)
			})
		}
	}
}

// lost ends a connection whose socket has failed under a write.
func (c *conn) lost() { c.gone(routing.Reset) }

// shut closes a connection from our side; what is open on it is given up.
func (c *conn) shut() {
	if link := c.link; link != nil && c.phase != closed {
		link.Close()
	}
	c.gone(routing.Reset)
}

func (c *conn) gone(result routing.Result) {
	if c.phase == closed {
		return
	}
	c.move(closed)
	f := c.f
	for _, k := range c.open {
		r := result
		if !k.written && r == routing.Reset {
			r = routing.ConnectFailed
		}
		f.drop(k)
		f.ender.AttemptEnded(k.h, director.AttemptResult{Result: r})
	}
}

// rest closes a connection that has nothing open: at once where it is not to be used again, else after the
// idle time.
func (c *conn) rest() {
	if len(c.open) > 0 || c.phase == closed {
		return
	}
	if c.phase == dry || c.p.left {
		c.shut()
		return
	}
	c.rested = c.f.now()
	wait := c.f.limits.UpstreamIdleTimeout
	if c.parser.midway() {
		wait = c.f.limits.UpstreamSilenceTimeout // for the rest of an answer that was given up: some never end
	}
	c.f.agenda.Schedule(&c.idle, c.rested+wait, func() {
		c.f.Counters.IdleTimeouts++
		c.shut()
	})
}
