package routing

import "time"

// Requests from their arrival to their end: sending attempts, postponing and ending requests.

func (r *Router) handleRequest(event Request) {
	event.Class = min(max(event.Class, 0), len(r.settings.Classes)-1)
	request := &requestState{
		Request:     event,
		receivedAt:  r.now,
		uncacheable: event.Write || r.settings.Tiers.Uncacheable[event.Class],
		location:    r.recordUse(objectKey{event.Object, event.Part}),
	}
	if rate := r.settings.Tiers.TransferKBPerSecond; rate > 0 {
		request.declaredWork = event.SizeKB / rate
	}
	r.requests[event.ID] = request
	r.hedgeTokens = min(r.hedgeTokens+hedgeTokensPerRequest, maxHedgeTokens)
	r.retryBudget.RecordRequest(r.now)
	r.advance(request)
}

func (r *Router) handleShortenDeadline(event ShortenDeadline) {
	if request := r.requests[event.ID]; request != nil {
		request.Deadline = min(request.Deadline, event.Deadline)
	}
}

func (r *Router) handleStreamStarted(event StreamStarted) {
	if request := r.requests[event.ID]; request != nil {
		request.streaming = true
	}
}

func (r *Router) handleRequestClosed(event RequestClosed) {
	if request := r.requests[event.ID]; request != nil {
		r.forgetRequest(request)
	}
}

// handleRequestTimer resumes a request that was postponed, or whose location query had no reply in time.
// Servers that failed before may work again, so earlier targets and parents are allowed again and shielding is
// decided anew. Siblings stay ruled out as sources once raiseSourceTier has ruled them out.
func (r *Router) handleRequestTimer(id uint32) {
	request := r.requests[id]
	if request == nil || !request.waiting {
		return
	}
	request.waiting = false
	request.shieldDecided = false
	request.shielded = false
	request.avoidTargets = request.avoidTargets[:0]
	request.minSourceTier = min(request.minSourceTier, parentTier)
	r.advance(request)
}

// advance sends the request's next attempt, postpones the request, or ends it if an attempt is useless or not
// allowed.
func (r *Router) advance(request *requestState) {
	if len(request.attempts) >= r.settings.SiteLimits.MaxAttempts {
		r.endRequest(request, ReasonAttemptsExhausted)
		return
	}
	if r.now >= request.Deadline {
		r.endRequest(request, ReasonDeadlineExceeded)
		return
	}
	if r.route(request) {
		return
	}
	if reason := r.reasonToEnd(request); reason != ReasonNone {
		r.endRequest(request, reason)
		return
	}
	r.postpone(request)
}

// reasonToEnd returns the reason why postponing a request that no server accepts now would be useless, or
// ReasonNone if the request may be postponed.
func (r *Router) reasonToEnd(request *requestState) Reason {
	switch {
	case r.sites.OwnBranchUnavailable():
		return ReasonSiteLost
	case !r.maySend(request, nil):
		return ReasonMayHaveExecuted
	case request.shielded && request.minSourceTier == originTier:
		return ReasonOriginShielded
	case r.now-request.receivedAt > r.latencyObjective(request)/2:
		return ReasonNoServerInTime
	}
	return ReasonNone
}

// postpone schedules the next try of a request. The wait doubles with each postponement, at most
// maxPostponementDoublings times, and its jitter spreads requests that were postponed together. The wait ends
// at the latest half the latency objective after the request's arrival, or after minPostponement if that is
// later: a request that no server accepts then is ended, so a longer wait would only delay the rejection.
func (r *Router) postpone(request *requestState) {
	wait := minPostponement << min(request.postponements, maxPostponementDoublings)
	wait += time.Duration(r.rng.Int64N(int64(wait)))
	untilEnded := request.receivedAt + r.latencyObjective(request)/2 - r.now
	wait = min(wait, max(minPostponement, untilEnded))
	request.postponements++
	request.waiting = true
	r.setRequestTimer(request, r.now+wait)
}

// setRequestTimer sets the timer of a request to a time, or to its deadline if that is earlier.
func (r *Router) setRequestTimer(request *requestState, at Time) {
	r.emit(SetTimer{Token: requestTimer | uint64(request.ID), At: min(at, request.Deadline)})
}

// latencyObjective returns the latency objective of the request's class, without the part that depends on
// size.
func (r *Router) latencyObjective(request *requestState) time.Duration {
	return r.settings.Classes[request.Class].LatencyObjective
}
