package main

// handleAction simulates the effects of an action: it schedules the events that servers, clients and discovery send to
// the routers in response.
func (sim *simulation) handleAction(a replyAction) {
	r := sim.router(a.instance)
	switch a.code {
	case actionFetch:
		sim.handleFetch(r, a)
	case actionForward:
		q, timeout := r.requests[a.requestID()], a.nanoseconds()
		target := sim.byHost[a.host()]
		sim.startAttempt(r, q, attemptParams{target: target, source: target, timeout: timeout})
	case actionSetTimer:
		token, at := a.takeUint(8), a.nanoseconds()
		incarnation := r.incarnation
		sim.scheduleAt(max(at, sim.now+1), func() {
			if r.incarnation == incarnation {
				sim.batch.add(eventTimer, r.instance, token)
			}
		})
	case actionCancel:
		sim.handleCancel(r, a)
	case actionReject:
		q, retryAfter := r.requests[a.requestID()], a.nanoseconds()
		if q != nil {
			q.ended = true
			sim.retryRejected(r, q, retryAfter)
		}
	case actionFail:
		if q := r.requests[a.requestID()]; q != nil {
			q.ended = true
		}
	case actionPeerMessage:
		sim.handlePeerMessage(r, a)
	case actionProbe:
		sim.handleProbe(r, sim.byHost[a.host()])
	case actionSubscribe:
		sim.handleSubscribe(r)
	case actionPollEndpoints:
		sim.scheduleAfter(5*millisecond, func() { sim.sendUpdate(updateFull, sim.servers) })
	case actionCrash:
		sim.fail("instance %d crashed at %d ns: %s", a.instance, sim.now, a.text())
	}
}

// attemptParams holds the fields of a fetch or forward action that determine the outcome of the attempt.
type attemptParams struct {
	target, source *simServer // the same server: the target does not fill a miss
	flags          uint8      // the fetch flags
	timeout        int64      // 0: until the request's deadline
	maxAge         int64      // of a cached copy; 0: any age
}

// handleFetch starts the attempt that a fetch action describes.
func (sim *simulation) handleFetch(r *simRouter, a replyAction) {
	q := r.requests[a.requestID()]
	params := attemptParams{flags: uint8(a.takeUint(1)), timeout: a.nanoseconds()}
	a.takeUint(1) // the retention rank
	params.source = sim.byHost[a.host()]
	params.target = sim.byHost[a.host()]
	params.maxAge = a.nanoseconds()
	sim.startAttempt(r, q, params)
}

// startAttempt starts an attempt and schedules its end. The attempt times out at its timeout or at the request's
// deadline, whichever is earlier. q is nil, and no attempt starts, when the router was restarted in the batch that its
// action answers. An attempt for a request that ended in that batch starts all the same.
func (sim *simulation) startAttempt(r *simRouter, q *simRequest, params attemptParams) {
	if params.target == nil || params.source == nil {
		sim.fail("instance %d sent an attempt to an unknown host", r.instance)
		return
	}
	if q == nil {
		return
	}
	attempt := &simAttempt{target: params.target, source: params.source, sentAt: sim.now, open: true}
	number := len(q.attempts)
	q.attempts = append(q.attempts, attempt)
	outcome := sim.outcomeOf(q, params)
	limit := q.deadline - sim.now
	if params.timeout > 0 {
		limit = min(limit, params.timeout)
	}
	if outcome.elapsed >= limit {
		outcome = simOutcome{result: resultTimedOut, elapsed: limit}
	}
	params.target.inFlight++
	if params.source != params.target {
		params.source.inFlight++
	}
	if sim.variant.options.streaming && outcome.result == resultOK && q.class < 2 {
		sim.scheduleAfter(outcome.elapsed/2, func() { sim.startStream(r, q, number) })
	}
	sim.scheduleAfter(outcome.elapsed, func() { sim.endAttempt(r, q, number, outcome) })
}

// startStream notifies the router that an attempt's answer has begun to stream, unless the attempt or the request has
// ended or another attempt streams already.
func (sim *simulation) startStream(r *simRouter, q *simRequest, number int) {
	attempt := q.attempts[number]
	if q.ended || q.streaming || !attempt.open || r.requests[q.id] != q {
		return
	}
	q.streaming = true
	sim.batch.add(eventStreamStarted, r.instance, q.id, uint16(number), attempt.target.host, sim.now-attempt.sentAt)
}

// endAttempt ends an attempt and sends its outcome to the router. It does nothing if the attempt has ended already, and
// sends nothing if the router was restarted since the attempt began.
func (sim *simulation) endAttempt(r *simRouter, q *simRequest, number int, outcome simOutcome) {
	attempt := q.attempts[number]
	if !attempt.open {
		return
	}
	attempt.open = false
	attempt.target.inFlight--
	if attempt.source != attempt.target {
		attempt.source.inFlight--
	}
	if r.requests[q.id] != q {
		return // the router was restarted after the attempt started
	}
	if outcome.result == resultOK {
		sim.storeCopies(q, attempt, outcome)
	}
	if outcome.result == resultOK || q.streaming {
		q.ended = true
	}
	requestDone := uint8(0)
	if q.ended {
		requestDone = 1
	}
	fillStatus := outcome.fillStatus // sent if the settings say that answers with this status report it
	if sim.fillStatusReported == "off" || (sim.fillStatusReported == "hit" && fillStatus > fillStatusCoalesced) {
		fillStatus = fillStatusUnknown
	}
	sim.batch.add(eventOutcome, r.instance, q.id, uint16(number), attempt.target.host, uint16(outcome.result),
		sim.now-attempt.sentAt, requestDone, uint32(fillStatus), outcome.sourceWait, sim.loadReport(attempt.target))
}

// storeCopies stores a copy of a filled or coalesced answer in the attempt's target and source. Answers to writes and
// answers of the origin are not stored.
func (sim *simulation) storeCopies(q *simRequest, attempt *simAttempt, outcome simOutcome) {
	if simClasses[q.class].write || attempt.target.kind == kindOrigin {
		return
	}
	if outcome.fillStatus == fillStatusFilled || outcome.fillStatus == fillStatusFilledByOrigin ||
		outcome.fillStatus == fillStatusCoalesced {
		attempt.target.copies[q.key] = sim.now
		attempt.source.copies[q.key] = sim.now
	}
}

// loadReport returns a server's load report in its wire format, with the number of fields that the variant sets.
func (sim *simulation) loadReport(s *simServer) []byte {
	report := []byte{uint8(sim.variant.options.loadReportFields)}
	for i := range sim.variant.options.loadReportFields {
		report = appendFields(report, float32(s.inFlight)/float32(8*(i+1)))
	}
	return report
}

// handleCancel ends the cancelled attempt after 1 to 5 ms: as abandoned in 15% of the cases, else as cancelled. 10% of
// the cancel actions are ignored, as if they crossed with the answer.
func (sim *simulation) handleCancel(r *simRouter, a replyAction) {
	q := r.requests[a.requestID()]
	number := int(a.takeUint(2))
	if q == nil {
		return
	}
	outcome := simOutcome{result: resultCancelled}
	if sim.chance(15) {
		outcome.result = resultAbandoned
	}
	if sim.chance(10) {
		return // the cancel action crosses with the answer
	}
	sim.scheduleAfter(sim.randomBetween(millisecond, 5*millisecond), func() { sim.endAttempt(r, q, number, outcome) })
}

// retryRejected has 30% of the rejected clients send their request again, after retryAfter and a random delay of 1 to
// 300 ms. The retry has half of the class's deadline.
func (sim *simulation) retryRejected(r *simRouter, q *simRequest, retryAfter int64) {
	if !sim.chance(30) {
		return
	}
	retry := &simRequest{class: q.class, key: q.key, group: q.group, sizeKB: q.sizeKB}
	retry.deadline = simClasses[q.class].deadline / 2
	sim.scheduleAfter(retryAfter+sim.randomBetween(millisecond, 300*millisecond), func() {
		sim.submit(r, retry, flagClientRetry)
	})
}

// handlePeerMessage delivers a message to the addressed peers after 1 to 8 ms. 4% of the messages are truncated by a
// byte, and 5% of the deliveries are lost.
func (sim *simulation) handlePeerMessage(from *simRouter, a replyAction) {
	to := uint32(a.takeUint(4))
	text := append([]byte(nil), a.text()...)
	if sim.chance(4) {
		text = text[:len(text)-1] // truncated in transit
	}
	for _, r := range sim.routers {
		if r == from || (to != allPeers && to != r.peerNumber) || sim.chance(5) {
			continue
		}
		sim.scheduleAfter(sim.randomBetween(millisecond, 8*millisecond), func() {
			sim.batch.add(eventPeerMessage, r.instance, from.peerNumber, uint16(len(text)), text)
		})
	}
}

// handleProbe sends a probe result to the router after 1 to 20 ms. The probe fails only if the server is down.
func (sim *simulation) handleProbe(r *simRouter, s *simServer) {
	result := resultOK
	if s.health == serverDown {
		result = resultConnectFailed
	}
	elapsed := sim.randomBetween(millisecond, 20*millisecond)
	sim.scheduleAfter(elapsed, func() {
		sim.batch.add(eventProbeResult, r.instance, elapsed, uint16(result), s.host, sim.loadReport(s))
	})
}

// handleSubscribe responds to a router's subscription after 2 to 30 ms: with the full endpoint list, or in 20% of the
// cases with a failed call.
func (sim *simulation) handleSubscribe(r *simRouter) {
	sim.scheduleAfter(sim.randomBetween(2*millisecond, 30*millisecond), func() {
		if sim.chance(20) {
			sim.batch.add(eventEndpointUpdate, r.instance, uint8(updateFailed), uint64(0), uint16(0))
			return
		}
		sim.sendEndpointList(sim.servers)
		sim.batch.add(eventEndpointUpdate, r.instance, uint8(updateFull), sim.listVersion, uint16(1))
	})
}

// simOutcome is the outcome that an attempt has unless it is cancelled or times out first.
type simOutcome struct {
	result, fillStatus int
	elapsed            int64 // from the start of the attempt to its end
	sourceWait         int64 // the part of elapsed that the target waits for its source
}

// outcomeOf returns the outcome of an attempt: a failure that follows from the target's health or is drawn at random,
// an answer from the target's cached copy or from the origin, a miss, or the outcome of a fill.
func (sim *simulation) outcomeOf(q *simRequest, params attemptParams) simOutcome {
	target := params.target
	networkDelay := sim.randomBetween(millisecond, 5*millisecond)
	switch {
	case sim.chance(sim.lossPercent):
		// The deadline is an absolute time, which startAttempt shortens, as in unresponsiveTimeout.
		return simOutcome{result: resultTimedOut, elapsed: q.deadline}
	case target.health == serverDown:
		return simOutcome{result: resultConnectFailed, elapsed: networkDelay}
	case target.health == serverUnresponsive:
		return simOutcome{result: resultTimedOut, elapsed: sim.unresponsiveTimeout(q)}
	case target.health == serverRejecting, target.inFlight >= sim.serverCapacity:
		return simOutcome{result: resultRejected, elapsed: networkDelay}
	case target.health == serverErroring, sim.chance(1):
		return simOutcome{result: resultErrored, elapsed: networkDelay * 3}
	case target.health == serverResetting:
		return simOutcome{result: resultReset, elapsed: networkDelay * 2}
	}
	transfer := sim.transferTime(q, target)
	if target.kind == kindOrigin {
		return simOutcome{result: resultOK, elapsed: networkDelay + 30*millisecond + transfer}
	}
	if storedAt, found := sim.cachedCopy(target, q); found && sim.freshEnough(storedAt, params.maxAge) {
		fillStatus := fillStatusHit
		if params.flags&fetchStaleWhileRevalidate != 0 && sim.now-storedAt > 3*second {
			fillStatus = fillStatusStale
		}
		return simOutcome{result: resultOK, fillStatus: fillStatus, elapsed: networkDelay + transfer}
	}
	if params.source == target {
		fillStatus := fillStatusUnknown
		if sim.chance(20) {
			fillStatus = fillStatusCoalesced
		}
		return simOutcome{result: resultMiss, fillStatus: fillStatus, elapsed: networkDelay}
	}
	if sim.chance(3) {
		return simOutcome{result: resultRejected, fillStatus: fillStatusNoFillSlot, elapsed: networkDelay}
	}
	return sim.fillOutcome(q, params, networkDelay, transfer)
}

// fillOutcome returns the outcome of an attempt whose target has no copy and requests the object from its source. A
// source without a copy requests it from the origin.
func (sim *simulation) fillOutcome(q *simRequest, params attemptParams, networkDelay, transfer int64) simOutcome {
	source := params.source
	_, sourceHasCopy := sim.cachedCopy(source, q)
	wait := networkDelay + sim.randomBetween(2*millisecond, 30*millisecond)*source.slowdown
	switch {
	case source.health == serverDown:
		sourceWait := sim.randomBetween(millisecond, 400*millisecond)
		return simOutcome{result: resultRejected, fillStatus: fillStatusSourceUnreachable,
			elapsed: networkDelay + sourceWait, sourceWait: sourceWait}
	case source.health == serverUnresponsive:
		return simOutcome{result: resultTimedOut, elapsed: sim.unresponsiveTimeout(q)}
	case source.health == serverRejecting, source.inFlight >= 2*sim.serverCapacity:
		return simOutcome{result: resultRejected, fillStatus: fillStatusSourceRejected, elapsed: wait, sourceWait: wait}
	case !sourceHasCopy && params.flags&fetchOnlyIfCached != 0:
		return simOutcome{result: resultMiss, fillStatus: fillStatusSourceMiss, elapsed: wait, sourceWait: wait}
	case sourceHasCopy && source.kind != kindOrigin:
		return simOutcome{result: resultOK, fillStatus: fillStatusFilled, elapsed: wait + transfer, sourceWait: wait}
	}
	origin := sim.servers[0]
	wait += sim.randomBetween(20*millisecond, 60*millisecond) * origin.slowdown
	if sim.originFailing && sim.chance(60) {
		return simOutcome{result: resultErrored, fillStatus: fillStatusOriginFailed, elapsed: wait, sourceWait: wait}
	}
	if sim.chance(5) {
		return simOutcome{result: resultOK, fillStatus: fillStatusCoalesced, elapsed: wait + transfer, sourceWait: wait}
	}
	return simOutcome{result: resultOK, fillStatus: fillStatusFilledByOrigin,
		elapsed: wait + transfer, sourceWait: wait}
}

// unresponsiveTimeout returns how long an attempt at an unresponsive server lasts. Half of the attempts last 200 to
// 900 ms, until a timeout of some server on the path. The others last until the request's deadline. For these attempts
// unresponsiveTimeout returns q.deadline, an absolute time, as if it were a duration. q.deadline is never less than the
// time that remains until the deadline, so startAttempt shortens it to that time or to the attempt's timeout.
func (sim *simulation) unresponsiveTimeout(q *simRequest) int64 {
	if sim.chance(50) {
		return q.deadline
	}
	return sim.randomBetween(200*millisecond, 900*millisecond)
}

// transferTime returns how long a server sends the answer. The time is proportional to the answer's size and the
// server's slowdown, grows with the number of requests in flight at the server, and is multiplied by a random factor of
// 0.8 to 1.3.
func (sim *simulation) transferTime(q *simRequest, s *simServer) int64 {
	unloaded := q.sizeKB * 250 * microsecond
	loaded := unloaded * int64(6+s.inFlight) / 6
	return loaded * sim.randomBetween(80, 130) / 100 * s.slowdown
}

// cachedCopy returns when a server stored its copy of the requested object, and whether it has a copy that no later
// purge has invalidated.
func (sim *simulation) cachedCopy(s *simServer, q *simRequest) (storedAt int64, found bool) {
	storedAt, found = s.copies[q.key]
	return storedAt, found && storedAt > sim.objectPurgedAt[q.key.object] && storedAt > sim.groupPurgedAt[q.group]
}

// freshEnough reports whether a copy is at most maxAge old. A maxAge of 0 allows any age.
func (sim *simulation) freshEnough(storedAt, maxAge int64) bool {
	return maxAge == 0 || sim.now-storedAt <= maxAge
}
