package upstream

import (
	"shaleyard/internal/director"
	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// activeAttempt is an attempt that was sent and has neither ended nor been cancelled.
type activeAttempt struct {
	handle    handle.Handle
	request   director.UpstreamRequest
	requestID string
	clientTag string // of the copy that the client holds; "": none
	conn      *conn
	startedAt routing.Time
	deadline  routing.Time

	idleBefore routing.Time // how long its connection had been idle; 0: it was new or in use
	redials    int          // dials that were made again for it, because they were reset
	written    bool         // it may have been executed
}

// Send starts an attempt, on a connection of the host's pool or on a new one. It is reported to the CompletionHandler,
// during the call or later, unless it is cancelled.
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
		// The shortage is our own: the attempt never ran, and this is no evidence against the endpoint.
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

// Cancel gives an attempt up and tells whether it may have been written. Where it was, the endpoint is told, and a
// response that is on its way already is dropped. No result is reported.
func (p *Pools) Cancel(attemptID handle.Handle) (written bool) {
	attempt := p.attempts[attemptID]
	if attempt == nil {
		return true // it has ended in some other way: nothing can be proven here
	}
	p.removeAttempt(attempt)
	conn := attempt.conn
	if !attempt.written {
		conn.releaseIfIdle()
		return false
	}
	p.Counters.CancelsSent++
	conn.expectLateResponse(attempt.requestID)
	if conn.phase != closed {
		conn.writeCancel(attempt.requestID)
	}
	conn.releaseIfIdle()
	return true
}

// CancelIfUnwritten gives an attempt up of which nothing has been written, and reports no result. An attempt of which
// something may have been written goes on, and false is returned.
func (p *Pools) CancelIfUnwritten(attemptID handle.Handle) bool {
	attempt := p.attempts[attemptID]
	if attempt == nil || attempt.written {
		return false
	}
	p.removeAttempt(attempt)
	attempt.conn.releaseIfIdle()
	return true
}

// SuspendWrites keeps attempts from being written until ResumeWrites. It is called when the process has stood still:
// the messages that would cancel them may be waiting to be read.
func (p *Pools) SuspendWrites() { p.writesSuspended = true }

// ResumeWrites writes what has waited since SuspendWrites.
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

// maxRedials bounds the dials that are made again for one attempt.
const maxRedials = 2

// reassign gives an attempt whose dial failed to a working connection of the same endpoint, if there is one. The
// failure proves nothing then: an endpoint may take no more connections than it has. Nor does a dial that was reset,
// unlike one that was refused, prove anything, so that one is made again.
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
