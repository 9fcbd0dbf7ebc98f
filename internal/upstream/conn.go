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
	"shaleyard/internal/resp"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// One connection to a peer: its phases, its dial, how it ends and what that teaches.

// connPhase is where a connection is in its life; docs/lifecycles.md tells what each event does in each. It only goes
// forward, in move.
type connPhase uint8

const (
	connecting connPhase = iota // attempts wait in line for it
	ready                       // it takes attempts
	draining                    // it takes nothing new: what is open on it may end
	closed                      // it has nothing open, and is none of its peer's any more
)

// conn is a connection.
type conn struct {
	pools           *Pools
	endpoint        *endpoint
	phase           connPhase
	handle          handle.Handle
	socket          eventloop.Conn
	parser          resp.Parser
	inFlight        map[string]*activeAttempt
	pending         []*activeAttempt        // wait until it is up
	lateResponseIDs map[string]routing.Time // ids given up here, or answered other than well: another answer may still come
	openedAt        routing.Time            // when it was opened
	awaitingSince   routing.Time            // first write since something was heard; 0: nothing is owed
	lastUsedAt      routing.Time            // when it last took an attempt
	idleSince       routing.Time            // since when it has nothing open
	protocolFailed  bool                    // closed by us for what came on it
	responses       int                     // answers that came
	idleTimer       timer.Timer
}

// transition takes the connection on to a later phase; it is the one place where the phase changes.
func (c *conn) transition(to connPhase) {
	if to <= c.phase {
		return
	}
	c.phase = to
	if to != closed {
		return
	}
	f := c.pools
	f.timers.Cancel(&c.idleTimer)
	f.conns.Remove(c.handle)
	c.parser.Release()
	c.endpoint.conns = slices.DeleteFunc(c.endpoint.conns, func(o *conn) bool { return o == c })
	if c.endpoint.removed && len(c.endpoint.conns) == 0 && f.endpoints[c.endpoint.host] == c.endpoint {
		delete(f.endpoints, c.endpoint.host)
	}
}

// assign gives an attempt to its connection, which writes it as soon as it is up and nothing is held.
func (c *conn) assign(k *activeAttempt) {
	if len(c.inFlight) == 0 && c.phase != connecting {
		k.idleBefore = c.pools.now() - c.idleSince
	}
	k.conn, c.inFlight[k.requestID], c.lastUsedAt = c, k, c.pools.now()
	c.pools.timers.Cancel(&c.idleTimer)
	if c.phase == connecting || c.pools.writesSuspended {
		c.pending = append(c.pending, k)
		return
	}
	k.write()
}

// writePending writes what has waited for the connection, or for the end of a hold. What was given up meanwhile is not sent.
func (c *conn) writePending() {
	line := c.pending
	c.pending = nil
	for _, k := range line {
		if c.inFlight[k.requestID] == k && c.phase != closed {
			k.write()
		}
	}
}

// preferredOver tells that c is the better of two: less open, up already, used later, so that what is not needed any
// more comes to its idle time.
func (c *conn) preferredOver(o *conn) bool {
	switch {
	case len(c.inFlight) != len(o.inFlight):
		return len(c.inFlight) < len(o.inFlight)
	case (c.phase == connecting) != (o.phase == connecting):
		return c.phase != connecting
	}
	return c.lastUsedAt > o.lastUsedAt
}

// usable tells whether a connection can take an attempt under an id. One on which the id was given up, or was
// answered but not well, can't: a late answer or a second copy could not be told from the new one's. Nor can a
// silent one: a machine that has vanished leaves its connections open, and a new dial proves whether it is
// there. A silent one that has nothing left open is of no more use and is closed. Nor can one that has not taken
// all that was written: what comes behind would leave when the peer likes, past whatever calls it off.
func (c *conn) usable(id string) bool {
	f, now := c.pools, c.pools.now()
	if _, taken := c.inFlight[id]; taken || c.phase > ready || len(c.inFlight) >= f.limits.MaxAttemptsPerConn {
		return false
	}
	if at, ghost := c.lateResponseIDs[id]; ghost && now-at <= f.limits.LateAnswerWindow {
		return false
	}
	if len(c.inFlight) == 0 && c.parser.InProgress() {
		return false // what comes next would be read as the rest of an answer that was given up
	}
	if len(c.inFlight) == 0 && c.phase == ready && now-c.idleSince > f.idleReuse.Value(now) {
		f.Counters.StaleIdleConns++
		c.close()
		return false
	}
	if c.awaitingSince != 0 && now-c.awaitingSince >= f.limits.UpstreamSilenceTimeout {
		if len(c.inFlight) == 0 {
			f.Counters.UnresponsiveConns++
			c.close()
		}
		return false
	}
	if c.phase == ready && c.socket.OutboundBuffered() > 0 {
		f.Counters.BackloggedConns++
		return false
	}
	return true
}

// expectLateResponse looks out for an answer that crosses the STOP of its attempt, or that comes behind the first one.
func (c *conn) expectLateResponse(id string) {
	now := c.pools.now()
	if len(c.lateResponseIDs) >= 4*c.pools.limits.MaxAttemptsPerConn {
		for g, at := range c.lateResponseIDs {
			if now-at > c.pools.limits.LateAnswerWindow {
				delete(c.lateResponseIDs, g)
			}
		}
		if len(c.lateResponseIDs) >= 4*c.pools.limits.MaxAttemptsPerConn {
			c.transition(draining) // gives up so much that it can't be told apart: let it run dry
			return
		}
	}
	c.lateResponseIDs[id] = now
}

// Opened is the end of a dial.
func (c *conn) Opened(link eventloop.Conn) {
	c.pools.descriptorsInUse--
	c.socket, c.openedAt, c.idleSince = link, c.pools.now(), c.pools.now()
	c.transition(ready)
	c.endpoint.connectLimiter.RecordSuccess(c.openedAt, len(c.endpoint.conns)-c.endpoint.numConnecting())
	if c.phase == closed {
		link.Close()
		return
	}
	if !c.pools.writesSuspended {
		c.writePending()
	}
	c.releaseIfIdle()
}

// dialFailureResults are the results of attempts whose dial failed, by what we ourselves lacked.
var dialFailureResults = map[eventloop.DialFailure]routing.Result{eventloop.PeerFailed: routing.ConnectFailed, eventloop.LocalResourcesExhausted: routing.LocalResourcesExhausted,
	eventloop.Unreachable: routing.Unreachable}

// Failed is the other end of a dial: nothing that waited for it has run. What failed for our own want of descriptors, ports
// or routes is no evidence against the peer.
func (c *conn) Failed(err error) {
	c.pools.descriptorsInUse -= 2
	c.pools.Counters.DialFailures++
	c.pools.logEndpoint(c.endpoint, "connect failed", zap.Int("attempts_waiting", len(c.inFlight)), zap.NamedError("cause", err))
	line := c.pending
	c.pending = nil
	result := dialFailureResults[eventloop.ClassifyDialError(err)]
	if result == routing.ConnectFailed {
		c.endpoint.connectLimiter.RecordFailure(c.pools.now(), len(c.endpoint.conns)-c.endpoint.numConnecting())
	} else {
		c.pools.Counters.LocalResourceErrors++
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.pools.timers.Cancel(&c.endpoint.idleCloseRaceTimer) // its process has ended
	}
	c.transition(draining)
	for _, k := range line {
		if c.inFlight[k.requestID] == k {
			c.pools.reassign(k, errors.Is(err, syscall.ECONNRESET))
		}
	}
	c.terminate(result)
}

// quickCloseLimit is the life of a connection that a peer has closed because it holds as many as it takes.
const quickCloseLimit = 100 * time.Millisecond

// maxRedials bounds the dials that one attempt makes because others were reset.
const maxRedials = 2

// reassign gives an attempt whose dial failed to another connection of the peer that works: a peer may hold no more
// connections than it has, and that one more failed proves nothing about it then. A dial that was reset, other
// than one that was refused, proves nothing in any case, and is made again.
func (f *Pools) reassign(k *activeAttempt, reset bool) {
	from := k.conn
	to := (*conn)(nil)
	for _, c := range slices.Clone(from.endpoint.conns) {
		if c.phase == ready && c.usable(k.requestID) {
			to = c
			break
		}
	}
	if to == nil && reset && k.redials < maxRedials {
		if to = f.dial(from.endpoint); to != nil {
			f.Counters.Redials++
			k.redials++
		}
	}
	if to != nil {
		f.Counters.Reassigned++
		delete(from.inFlight, k.requestID)
		to.assign(k)
	}
}

// Closed is the end of a connection: what was written may have run.
func (c *conn) Closed() {
	c.pools.descriptorsInUse--
	if c.phase != closed {
		c.pools.Counters.ConnsLost++
		if len(c.inFlight) > 0 {
			c.pools.logEndpoint(c.endpoint, "connection lost", zap.Duration("after", c.pools.now()-c.openedAt), zap.Int("answers", c.responses),
				zap.Int("attempts_out", len(c.inFlight)))
		}
		if !c.protocolFailed {
			c.pools.observeIdleCloseRace(c)
		}
		if c.responses == 0 && !c.protocolFailed && c.pools.now()-c.openedAt < quickCloseLimit { // accepted only to be closed: a peer that is full
			c.endpoint.connectLimiter.RecordFailure(c.pools.now(), len(c.endpoint.conns)-c.endpoint.numConnecting()-1)
		}
	}
	c.terminate(routing.Reset)
}

// observeIdleCloseRace learns from a connection that was reset under the first request after it had been idle: a peer, or what lies
// between, drops idle connections sooner than the settings tell, and idle ones are used again for less long from then on.
// A reset that comes long behind the request did not cross it. Nor does a peer that has died say anything of idle times:
// it ends all its connections at once, and refuses the next one. So the lesson waits for a moment, and is dropped if either
// shows.
func (f *Pools) observeIdleCloseRace(c *conn) {
	p, now := c.endpoint, f.now()
	alone := !p.idleCloseRaceTimer.Pending() && (p.lastConnLossAt == 0 || now-p.lastConnLossAt > f.limits.IdleCloseRaceWindow)
	p.lastConnLossAt = now
	f.timers.Cancel(&p.idleCloseRaceTimer)
	if !alone || len(c.inFlight) != 1 {
		return
	}
	for _, k := range c.inFlight {
		if k.written && k.idleBefore > 0 && now-k.startedAt <= f.limits.IdleCloseRaceWindow {
			f.timers.Schedule(&p.idleCloseRaceTimer, now+f.limits.IdleCloseRaceWindow, func() {
				f.Counters.IdleCloseRaces++
				f.idleReuse.RecordCloseRace(f.now(), k.idleBefore)
			})
		}
	}
}

// writeFailed ends a connection whose socket has failed under a write.
func (c *conn) writeFailed() { c.terminate(routing.Reset) }

// close closes a connection from our side; what is open on it is given up.
func (c *conn) close() {
	if link := c.socket; link != nil && c.phase != closed {
		link.Close()
	}
	c.terminate(routing.Reset)
}

func (c *conn) terminate(result routing.Result) {
	if c.phase == closed {
		return
	}
	c.transition(closed)
	f := c.pools
	for _, k := range c.inFlight {
		r := result
		if !k.written && r == routing.Reset {
			r = routing.ConnectFailed
		}
		f.removeAttempt(k)
		f.completions.AttemptEnded(k.handle, director.AttemptResult{Result: r})
	}
}

// releaseIfIdle closes a connection that has nothing open: at once where it is not to be used again, else after the
// idle time.
func (c *conn) releaseIfIdle() {
	if len(c.inFlight) > 0 || c.phase == closed {
		return
	}
	if c.phase == draining || c.endpoint.removed {
		c.close()
		return
	}
	c.idleSince = c.pools.now()
	wait := c.pools.limits.UpstreamIdleTimeout
	if c.parser.InProgress() {
		wait = c.pools.limits.UpstreamSilenceTimeout // for the rest of an answer that was given up: some never end
	}
	c.pools.timers.Schedule(&c.idleTimer, c.idleSince+wait, func() {
		c.pools.Counters.IdleTimeouts++
		c.close()
	})
}
