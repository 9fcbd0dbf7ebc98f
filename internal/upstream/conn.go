package upstream

import (
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/buffer"
	"shaleyard/internal/director"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/handle"
	"shaleyard/internal/resp"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// connPhase is the state of a connection, named after gRPC's connectivity states where they fit. A connection only
// moves to later phases, in transition; docs/lifecycles.md lists the effect of each event in each phase.
type connPhase uint8

const (
	connecting connPhase = iota // being dialled; its attempts wait in conn.pending
	ready                       // open; accepts new attempts
	draining                    // accepts no new attempts; attempts in flight may finish
	closed                      // has no attempts and has been removed from its endpoint's pool
)

// conn is a connection to an endpoint.
type conn struct {
	pools    *Pools
	endpoint *endpoint
	phase    connPhase
	handle   handle.Handle
	socket   eventloop.Conn // nil until the dial succeeds
	parser   resp.Parser

	inFlight map[string]*activeAttempt // by request ID, including the attempts in pending
	pending  []*activeAttempt          // not written yet: the connection is connecting, or writes are suspended
	// lateResponseIDs holds the IDs of requests for which another response may still arrive, and when each ID was
	// added: requests that were cancelled after they were written, or that got a response other than OK.
	lateResponseIDs map[string]routing.Time

	bodyProgress buffer.Progress // of the body that is being received

	openedAt routing.Time
	// awaitingSince is the start of the current wait for a response: the time of the last input or, if no response was
	// due then, the time at which the next request was written. It is 0 if no response is due.
	awaitingSince  routing.Time
	lastUsedAt     routing.Time // when an attempt was last assigned
	idleSince      routing.Time // when it was opened or last became free of attempts
	idleTimer      timer.Timer
	protocolFailed bool // received data violated the protocol, so the director closes the connection
	responses      int  // number of responses that answered an attempt
}

// transition moves the connection to a later phase; a call with the current phase or an earlier one has no effect. On
// the move to closed it cancels the idle timer, removes the connection from the table of connections and from its
// endpoint's pool, and releases the parser's buffers. The caller closes the socket and ends the attempts in flight. The
// phase changes only in transition.
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

// assign adds an attempt to the connection. It writes the request at once if the connection is open and writes are not
// suspended; otherwise the attempt waits in pending.
func (c *conn) assign(attempt *activeAttempt) {
	now := c.pools.now()
	if len(c.inFlight) == 0 && c.phase != connecting {
		attempt.connIdleTime = now - c.idleSince
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

// writePending writes the requests of the attempts in pending, except attempts that were cancelled in the meantime. It
// stops writing when the connection closes.
func (c *conn) writePending() {
	pending := c.pending
	c.pending = nil
	for _, attempt := range pending {
		if c.inFlight[attempt.requestID] == attempt && c.phase != closed {
			c.pools.writeRequest(attempt)
		}
	}
}

// lateResponsesPerAttempt is the maximum size of lateResponseIDs as a multiple of MaxAttemptsPerConn.
const lateResponsesPerAttempt = 4

// expectLateResponse records that another response with a request ID may still arrive: one that was sent before the
// endpoint received the cancellation, or a duplicate. If lateResponseIDs is full of IDs added within LateAnswerWindow,
// the connection starts to drain.
func (c *conn) expectLateResponse(requestID string) {
	limit := lateResponsesPerAttempt * c.pools.limits.MaxAttemptsPerConn
	now := c.pools.now()
	if len(c.lateResponseIDs) >= limit {
		for id, since := range c.lateResponseIDs {
			if now-since > c.pools.limits.LateAnswerWindow {
				delete(c.lateResponseIDs, id)
			}
		}
	}
	if len(c.lateResponseIDs) >= limit {
		c.transition(draining) // a late response whose ID is not recorded could be taken for a later attempt's response
		return
	}
	c.lateResponseIDs[requestID] = now
}

// Opened implements eventloop.Stream. It is called when the dial has succeeded, and writes the pending requests.
func (c *conn) Opened(socket eventloop.Conn) {
	c.pools.descriptorsInUse -= descriptorsPerDial - 1
	now := c.pools.now()
	c.socket = socket
	c.openedAt = now
	c.idleSince = now
	c.transition(ready)
	c.endpoint.connectLimiter.RecordSuccess(now, c.endpoint.numEstablished())
	if c.phase == closed { // the connection was closed while the dial was in progress
		socket.Close()
		return
	}
	if !c.pools.writesSuspended {
		c.writePending()
	}
	c.releaseIfIdle()
}

// dialFailureResults maps the class of a dial failure to the result of the attempts that waited for the dial. Only
// ConnectFailed is evidence against the endpoint; the other results are caused by the director's own shortage of
// resources, routes or permissions.
var dialFailureResults = map[eventloop.DialFailure]routing.Result{
	eventloop.PeerFailed:              routing.ConnectFailed,
	eventloop.LocalResourcesExhausted: routing.LocalResourcesExhausted,
	eventloop.Unreachable:             routing.Unreachable,
}

// Failed implements eventloop.Stream. It is called when the dial has failed: none of the attempts that waited for the
// dial was executed, and each is reassigned or ended. A failure for lack of descriptors, ports or routes on the
// director's own side is no evidence against the endpoint.
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
		// The endpoint's process has ended, which explains why it closed connections before: there was no idle-close
		// race.
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

// rejectedConnMaxAge is the age below which a connection that is lost without having received a response counts as
// rejected: the endpoint is at its connection limit.
const rejectedConnMaxAge = 100 * time.Millisecond

// Closed implements eventloop.Stream. It is called when an open connection has ended. Attempts that were written end
// with Reset, because they may have been executed.
func (c *conn) Closed() {
	c.pools.descriptorsInUse--
	if c.phase != closed {
		c.recordLoss()
	}
	c.terminate(routing.Reset)
}

// recordLoss records the end of an open connection that the endpoint or the network closed, or that violated the
// protocol. It counts and logs the loss; except after a protocol violation, it also passes the loss to the detection of
// idle-close races and to the connect limiter.
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
	if c.responses == 0 && age < rejectedConnMaxAge {
		c.endpoint.connectLimiter.RecordFailure(c.pools.now(), c.endpoint.numEstablished()-1)
	}
}

// close closes the connection from the director's side. The attempts in flight end as after a reset by the endpoint.
func (c *conn) close() {
	if c.socket != nil && c.phase != closed {
		c.socket.Close()
	}
	c.terminate(routing.Reset)
}

// terminate moves the connection to closed and ends each attempt in flight with result. An attempt that was not written
// ends with ConnectFailed instead of Reset, because it was never executed.
func (c *conn) terminate(result routing.Result) {
	if c.phase == closed {
		return
	}
	c.transition(closed)
	for _, attempt := range c.inFlight {
		attemptResult := result
		if !attempt.written && result == routing.Reset {
			attemptResult = routing.ConnectFailed
		}
		c.pools.endAttempt(attempt, director.AttemptResult{Result: attemptResult})
	}
}

// releaseIfIdle handles a connection without attempts in flight. It closes the connection at once if the connection is
// draining or its endpoint was removed; otherwise it starts the idle timeout.
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
		// The attempt was cancelled in the middle of its response, and the rest of the response may never arrive.
		timeout = c.pools.limits.UpstreamSilenceTimeout
	}
	c.pools.timers.Schedule(&c.idleTimer, c.idleSince+timeout, func() {
		c.pools.Counters.IdleTimeouts++
		c.close()
	})
}
