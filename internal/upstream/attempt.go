package upstream

import (
	"shaleyard/internal/director"
	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// activeAttempt is an attempt that Send has accepted and that has neither ended nor been cancelled.
type activeAttempt struct {
	handle    handle.Handle
	request   director.UpstreamRequest
	requestID string
	clientTag string // version tag of the client's copy; empty if the client has none
	conn      *conn
	startedAt routing.Time
	deadline  routing.Time

	connIdleTime routing.Time // how long conn had been idle when it got the attempt; 0 if conn was new or in use
	redials      int          // additional dials after dials that were reset, at most maxRedials
	written      bool         // the request has been handed to the socket and may have been executed
}

// Send starts an attempt at host, on a connection of the endpoint's pool or on a new one. It reports the result to the
// CompletionHandler, during the call or later, unless the attempt is cancelled first. The result is ConnectFailed if
// host is not a known endpoint. It is Abandoned if the limit on file descriptors allows no connection, or if the
// request's idempotency window has ended before the request is written.
func (p *Pools) Send(attemptID handle.Handle, host routing.Host, request director.UpstreamRequest) {
	endpoint := p.endpoints[host]
	if endpoint == nil {
		p.Counters.UnknownEndpoints++
		p.completions.AttemptEnded(attemptID, director.AttemptResult{Result: routing.ConnectFailed})
		return
	}
	requestID := request.Request.Ref
	conn := p.pickConn(endpoint, requestID, request.NonIdempotent)
	if conn == nil {
		// The director has no file descriptor left for a connection. The attempt was never sent, and its result must
		// not count against the endpoint.
		p.Counters.DescriptorLimitHits++
		p.completions.AttemptEnded(attemptID, director.AttemptResult{Result: routing.Abandoned})
		return
	}
	now := p.now()
	attempt := &activeAttempt{
		handle:    attemptID,
		request:   request,
		requestID: requestID,
		clientTag: request.Request.IfNoneMatch,
		startedAt: now,
		deadline:  now + request.Timeout,
	}
	p.attempts[attemptID] = attempt
	conn.assign(attempt)
}

// Cancel cancels an attempt and reports whether its request may have been written. If the request was written and the
// connection is still open, Cancel sends a STOP command to the endpoint; a response that arrives nevertheless is
// dropped. The CompletionHandler gets no result for a cancelled attempt.
func (p *Pools) Cancel(attemptID handle.Handle) (written bool) {
	attempt := p.attempts[attemptID]
	if attempt == nil {
		return true // the attempt is no longer active, so there is no proof that nothing was written
	}
	p.removeAttempt(attempt)
	conn := attempt.conn
	if !attempt.written {
		conn.releaseIfIdle()
		return false
	}
	p.Counters.CancelsSent++
	if conn.parser.ReadingID() == attempt.requestID {
		conn.dropBody()
	}
	conn.expectLateResponse(attempt.requestID)
	if conn.phase != closed {
		conn.writeCancel(attempt.requestID)
	}
	conn.releaseIfIdle()
	return true
}

// CancelIfUnwritten cancels an attempt if none of its request has been written, and reports whether it did. The
// CompletionHandler gets no result for a cancelled attempt. An attempt whose request was written continues.
func (p *Pools) CancelIfUnwritten(attemptID handle.Handle) bool {
	attempt := p.attempts[attemptID]
	if attempt == nil || attempt.written {
		return false
	}
	p.removeAttempt(attempt)
	attempt.conn.releaseIfIdle()
	return true
}

// SuspendWrites delays the writing of requests until ResumeWrites is called. The director calls it after a pause of the
// process, while input that clients sent during the pause is still unread: this input may cancel the requests of
// waiting attempts, and a cancelled request must not be written.
func (p *Pools) SuspendWrites() { p.writesSuspended = true }

// ResumeWrites ends the suspension by SuspendWrites and writes the requests that are pending on open connections.
func (p *Pools) ResumeWrites() {
	p.writesSuspended = false
	var waiting []*conn
	p.conns.All(func(_ handle.Handle, conn *conn) bool {
		if conn.phase != connecting && len(conn.pending) > 0 {
			waiting = append(waiting, conn)
		}
		return true
	})
	for _, conn := range waiting {
		conn.writePending()
	}
}

// removeAttempt removes an attempt from the pools and from its connection without reporting a result.
func (p *Pools) removeAttempt(attempt *activeAttempt) {
	delete(p.attempts, attempt.handle)
	conn := attempt.conn
	if conn.inFlight[attempt.requestID] == attempt {
		delete(conn.inFlight, attempt.requestID)
	}
}

// endAttempt removes an attempt and reports its result.
func (p *Pools) endAttempt(attempt *activeAttempt, result director.AttemptResult) {
	p.removeAttempt(attempt)
	p.completions.AttemptEnded(attempt.handle, result)
}

// maxRedials is the maximum number of additional dials for one attempt whose dials are reset.
const maxRedials = 2

// reassign moves an attempt whose dial failed to another open connection of the same endpoint, if one can take the
// attempt: the failed dial does not show that the endpoint is down, as the endpoint may be at its connection limit. If
// no connection can take the attempt and the dial was reset, reassign dials again, at most maxRedials times per
// attempt: unlike a refused dial, a reset one does not show that the endpoint is down. If neither is possible, the
// attempt stays on the failed connection.
func (p *Pools) reassign(attempt *activeAttempt, dialWasReset bool) {
	from := attempt.conn
	to := from.endpoint.readyConn(attempt.requestID)
	if to == nil && dialWasReset && attempt.redials < maxRedials {
		to = p.dial(from.endpoint)
		if to != nil {
			p.Counters.Redials++
			attempt.redials++
		}
	}
	if to == nil {
		return
	}
	p.Counters.Reassigned++
	delete(from.inFlight, attempt.requestID)
	to.assign(attempt)
}
