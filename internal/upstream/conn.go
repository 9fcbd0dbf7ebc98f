package upstream

import (
	"errors"
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

// connPhase is the state of a connection, in the terms of gRPC's connectivity states as far as they fit. It only moves
// forward, in transition; docs/lifecycles.md lists what each event does in each phase.
type connPhase uint8

const (
	connecting connPhase = iota // attempts wait for it
	ready                       // it takes attempts
	draining                    // it takes no more attempts; those in flight may end
	closed                      // it carries no attempts, and has left its endpoint's pool
)

// conn is a connection to an endpoint.
type conn struct {
	pools    *Pools
	endpoint *endpoint
	phase    connPhase
	handle   handle.Handle
	socket   eventloop.Conn // nil while connecting
	parser   resp.Parser

	inFlight map[string]*activeAttempt // by request id, those in pending included
	pending  []*activeAttempt          // not written yet: it is connecting, or writes are suspended
	// lateResponseIDs are the ids of attempts that were cancelled here, or got a response other than OK, and when:
	// another response under such an id may still come.
	lateResponseIDs map[string]routing.Time

	openedAt       routing.Time
	awaitingSince  routing.Time // the first write since something was received; 0: no response is due
	lastUsedAt     routing.Time // when an attempt was assigned to it
	idleSince      routing.Time // since when it has carried no attempt
	idleTimer      timer.Timer
	protocolFailed bool // we close it, because of what it received
	responses      int  // received
}

// transition moves the connection to a later phase. It is the one place where the phase changes.
func (c *conn) transition(to connPhase) {
	if to <= c.phase {
		return
	}
	c.phase = to
	if to != closed {
		return
	}
	c.pools.timers.Cancel(&c.idleTimer)
	c.pools.conns.Remove(c.handle)
	c.parser.Release()
	c.pools.removeConn(c)
}

// assign gives an attempt to the connection, which writes it as soon as it is open and writes are not suspended.
func (c *conn) assign(attempt *activeAttempt) {
	now := c.pools.now()
	if len(c.inFlight) == 0 && c.phase != connecting {
		attempt.idleBefore = now - c.idleSince
	}
	attempt.conn = c
	c.inFlight[attempt.requestID] = attempt
	c.lastUsedAt = now
	c.pools.timers.Cancel(&c.idleTimer)
	if c.phase == connecting || c.pools.writesSuspended {
		c.pending = append(c.pending, attempt)
		return
	}
	c.pools.writeRequest(attempt)
}

// writePending writes the attempts that have waited, but for those that were cancelled meanwhile.
func (c *conn) writePending() {
	pending := c.pending
	c.pending = nil
	for _, attempt := range pending {
		if c.inFlight[attempt.requestID] == attempt && c.phase != closed {
			c.pools.writeRequest(attempt)
		}
	}
}

// lateResponsesPerStream bounds lateResponseIDs, as a multiple of the attempts that a connection may carry.
const lateResponsesPerStream = 4

// expectLateResponse notes that another response under an id may come: one that crossed the cancellation of its
// attempt, or a duplicate.
func (c *conn) expectLateResponse(requestID string) {
	limit := lateResponsesPerStream * c.pools.limits.MaxAttemptsPerConn
	now := c.pools.now()
	if len(c.lateResponseIDs) >= limit {
		for id, since := range c.lateResponseIDs {
			if now-since > c.pools.limits.LateAnswerWindow {
				delete(c.lateResponseIDs, id)
			}
		}
	}
	if len(c.lateResponseIDs) >= limit {
		c.transition(draining) // there are too many to tell apart
		return
	}
	c.lateResponseIDs[requestID] = now
}

// Opened implements eventloop.Stream: the dial has succeeded.
func (c *conn) Opened(socket eventloop.Conn) {
	c.pools.descriptorsInUse -= descriptorsPerDial - 1
	now := c.pools.now()
	c.socket = socket
	c.openedAt = now
	c.idleSince = now
	c.transition(ready)
	c.endpoint.connectLimiter.RecordSuccess(now, c.endpoint.numEstablished())
	if c.phase == closed { // while it was being opened
		socket.Close()
		return
	}
	if !c.pools.writesSuspended {
		c.writePending()
	}
	c.releaseIfIdle()
}

// dialFailureResults tell, by what we ourselves were short of, how the attempts on a dial that failed have ended.
var dialFailureResults = map[eventloop.DialFailure]routing.Result{
	eventloop.PeerFailed:              routing.ConnectFailed,
	eventloop.LocalResourcesExhausted: routing.LocalResourcesExhausted,
	eventloop.Unreachable:             routing.Unreachable,
}

// Failed implements eventloop.Stream: the dial has failed, and none of the attempts that waited for it was executed. A
// failure for want of descriptors, ports or routes of our own is no evidence against the endpoint.
func (c *conn) Failed(err error) {
	c.pools.descriptorsInUse -= descriptorsPerDial
	c.pools.Counters.DialFailures++
	c.pools.logEndpoint(c.endpoint, "connect failed",
		zap.Int("attempts_waiting", len(c.inFlight)), zap.NamedError("cause", err))
	pending := c.pending
	c.pending = nil
	result := dialFailureResults[eventloop.ClassifyDialError(err)]
	if result == routing.ConnectFailed {
		c.endpoint.connectLimiter.RecordFailure(c.pools.now(), c.endpoint.numEstablished())
	} else {
		c.pools.Counters.LocalResourceErrors++
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		// Its process has ended, which explains the connections it closed before.
		c.pools.timers.Cancel(&c.endpoint.idleCloseRaceTimer)
	}
	c.transition(draining)
	wasReset := errors.Is(err, syscall.ECONNRESET)
	for _, attempt := range pending {
		if c.inFlight[attempt.requestID] == attempt {
			c.pools.reassign(attempt, wasReset)
		}
	}
	c.terminate(result)
}

// quickCloseLimit is the age up to which a connection that the endpoint closes unused counts as rejected: the endpoint
// holds as many as it takes.
const quickCloseLimit = 100 * time.Millisecond

// Closed implements eventloop.Stream: an open connection has ended. Attempts that were written may have been executed.
func (c *conn) Closed() {
	c.pools.descriptorsInUse--
	if c.phase != closed {
		c.recordLoss()
	}
	c.terminate(routing.Reset)
}

// recordLoss learns from a connection that ended without our doing.
func (c *conn) recordLoss() {
	c.pools.Counters.ConnsLost++
	age := c.pools.now() - c.openedAt
	if len(c.inFlight) > 0 {
		c.pools.logEndpoint(c.endpoint, "connection lost", zap.Duration("after", age), zap.Int("answers", c.responses),
			zap.Int("attempts_out", len(c.inFlight)))
	}
	if c.protocolFailed {
		return
	}
	c.pools.observeIdleCloseRace(c)
	if c.responses == 0 && age < quickCloseLimit {
		c.endpoint.connectLimiter.RecordFailure(c.pools.now(), c.endpoint.numEstablished()-1)
	}
}

// close closes the connection from our side. Attempts in flight on it end as on a reset.
func (c *conn) close() {
	if c.socket != nil && c.phase != closed {
		c.socket.Close()
	}
	c.terminate(routing.Reset)
}

// terminate ends the connection, and all attempts in flight on it with a result. An attempt that was not written can't
// have been reset; it was never executed.
func (c *conn) terminate(result routing.Result) {
	if c.phase == closed {
		return
	}
	c.transition(closed)
	for _, attempt := range c.inFlight {
		ended := result
		if !attempt.written && result == routing.Reset {
			ended = routing.ConnectFailed
		}
		c.pools.endAttempt(attempt, director.AttemptResult{Result: ended})
	}
}

// releaseIfIdle handles a connection that carries no attempt any more. It is closed at once if it can't be used again,
// else after the idle timeout.
func (c *conn) releaseIfIdle() {
	if len(c.inFlight) > 0 || c.phase == closed {
		return
	}
	if c.phase == draining || c.endpoint.removed {
		c.close()
		return
	}
	c.idleSince = c.pools.now()
	timeout := c.pools.limits.UpstreamIdleTimeout
	if c.parser.InProgress() {
		timeout = c.pools.limits.UpstreamSilenceTimeout // for the rest of a response that was given up: some never end
	}
	c.pools.timers.Schedule(&c.idleTimer, c.idleSince+timeout, func() {
		c.pools.Counters.IdleTimeouts++
		c.close()
	})
}
