package main

// perform has the world react to one action.
func (w *world) perform(a replyAction) {
	r := w.router(a.instance)
	switch a.code {
	case actionFetch:
		w.performFetch(r, a)
	case actionForward:
		q, timeout := r.requests[a.requestID()], a.nanoseconds()
		target := w.byHost[a.host()]
		w.startAttempt(r, q, fetchOrder{target: target, source: target, timeout: timeout})
	case actionSetTimer:
		token, at := a.unsigned(8), a.nanoseconds()
		incarnation := r.incarnation
		w.at(max(at, w.now+1), func() {
			if r.incarnation == incarnation {
				w.batch.add(eventTimer, r.instance, token)
			}
		})
	case actionCancel:
		w.performCancel(r, a)
	case actionRefuse:
		q, retryAfter := r.requests[a.requestID()], a.nanoseconds()
		if q != nil {
			q.ended = true
			w.askAgain(r, q, retryAfter)
		}
	case actionFail:
		if q := r.requests[a.requestID()]; q != nil {
			q.ended = true
		}
	case actionPeerMessage:
		w.performPeerMessage(r, a)
	case actionProbe:
		w.performProbe(r, w.byHost[a.host()])
	case actionSubscribe:
		w.performSubscribe(r)
	case actionSnapshot:
		w.after(5*millisecond, func() { w.tellList(listFull, w.servers) })
	case actionCrash:
		w.fail("instance %d has crashed at %d: %s", a.instance, w.now, a.text())
	}
}

// fetchOrder is what a router asks of the world with an attempt.
type fetchOrder struct {
	target, source *worldServer // the same: no fill
	switches       uint8
	timeout        int64
	maxAge         int64
}

func (w *world) performFetch(r *worldRouter, a replyAction) {
	q := r.requests[a.requestID()]
	order := fetchOrder{switches: uint8(a.unsigned(1)), timeout: a.nanoseconds()}
	a.unsigned(1) // the retention rank
	order.source = w.byHost[a.host()]
	order.target = w.byHost[a.host()]
	order.maxAge = a.nanoseconds()
	w.startAttempt(r, q, order)
}

// startAttempt begins an attempt. Its request may have ended in the same batch, or its router have been replaced.
func (w *world) startAttempt(r *worldRouter, q *worldRequest, order fetchOrder) {
	if order.target == nil || order.source == nil {
		w.fail("instance %d sends to a host that is unknown", r.instance)
		return
	}
	if q == nil {
		return
	}
	attempt := &worldAttempt{target: order.target, source: order.source, sent: w.now, open: true}
	number := len(q.attempts)
	q.attempts = append(q.attempts, attempt)
	answer := w.answerOf(q, order)
	limit := q.giveUpAt - w.now
	if order.timeout > 0 {
		limit = min(limit, order.timeout)
	}
	if answer.after >= limit {
		answer = worldAnswer{result: resultTimedOut, after: limit}
	}
	order.target.inFlight++
	if order.source != order.target {
		order.source.inFlight++
	}
	if w.family.options.streams && answer.result == resultOK && q.class < 2 {
		w.after(answer.after/2, func() { w.startStream(r, q, number) })
	}
	w.after(answer.after, func() { w.endAttempt(r, q, number, answer) })
}

func (w *world) startStream(r *worldRouter, q *worldRequest, number int) {
	attempt := q.attempts[number]
	if q.ended || q.started || !attempt.open || r.requests[q.id] != q {
		return
	}
	q.started = true
	w.batch.add(eventStarted, r.instance, q.id, uint16(number), attempt.target.host, w.now-attempt.sent)
}

// endAttempt tells the router how an attempt has ended, once.
func (w *world) endAttempt(r *worldRouter, q *worldRequest, number int, answer worldAnswer) {
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
		return // the router has been started anew since
	}
	if answer.result == resultOK {
		w.keepCopies(q, attempt, answer)
	}
	if answer.result == resultOK || q.started {
		q.ended = true
	}
	settled := uint8(0)
	if q.ended {
		settled = 1
	}
	note := answer.note
	if w.notes == "off" || (w.notes == "hit" && note > noteJoined) {
		note = noteNone
	}
	w.batch.add(eventAnswer, r.instance, q.id, uint16(number), attempt.target.host, uint16(answer.result),
		w.now-attempt.sent, settled, uint32(note), answer.waited, w.loadReport(attempt.target))
}

// keepCopies has caches keep what has gone through them.
func (w *world) keepCopies(q *worldRequest, attempt *worldAttempt, answer worldAnswer) {
	if worldClasses[q.class].write || attempt.target.kind == kindOrigin {
		return
	}
	if answer.note == noteFilled || answer.note == noteFilledByOrigin || answer.note == noteJoined {
		attempt.target.copies[q.key] = w.now
		attempt.source.copies[q.key] = w.now
	}
}

// loadReport is a server's report in its wire form.
func (w *world) loadReport(s *worldServer) []byte {
	report := []byte{uint8(w.family.options.reportFields)}
	for i := range w.family.options.reportFields {
		report = appendFields(report, float32(s.inFlight)/float32(8*(i+1)))
	}
	return report
}

func (w *world) performCancel(r *worldRouter, a replyAction) {
	q := r.requests[a.requestID()]
	number := int(a.unsigned(2))
	if q == nil {
		return
	}
	answer := worldAnswer{result: resultCancelled}
	if w.percent(15) {
		answer.result = resultAbandoned
	}
	if w.percent(10) {
		return // it is overtaken by the answer
	}
	w.after(w.between(millisecond, 5*millisecond), func() { w.endAttempt(r, q, number, answer) })
}

// askAgain is what some clients do that were refused.
func (w *world) askAgain(r *worldRouter, q *worldRequest, retryAfter int64) {
	if !w.percent(30) {
		return
	}
	again := &worldRequest{class: q.class, key: q.key, group: q.group, sizeKB: q.sizeKB}
	again.giveUpAt = worldClasses[q.class].deadline / 2
	w.after(retryAfter+w.between(millisecond, 300*millisecond), func() { w.ask(r, again, flagRepeat) })
}

func (w *world) performPeerMessage(from *worldRouter, a replyAction) {
	to := uint32(a.unsigned(4))
	text := append([]byte(nil), a.text()...)
	if w.percent(4) {
		text = text[:len(text)-1] // damaged on its way
	}
	for _, r := range w.routers {
		if r == from || (to != everyPeer && to != r.number) || w.percent(5) {
			continue
		}
		w.after(w.between(millisecond, 8*millisecond), func() {
			w.batch.add(eventPeerMessage, r.instance, from.number, uint16(len(text)), text)
		})
	}
}

func (w *world) performProbe(r *worldRouter, s *worldServer) {
	result := resultOK
	if s.health == serverDead {
		result = resultConnectFailed
	}
	took := w.between(millisecond, 20*millisecond)
	w.after(took, func() {
		w.batch.add(eventProbeResult, r.instance, took, uint16(result), s.host, w.loadReport(s))
	})
}

// performSubscribe gives a router the list, or fails.
func (w *world) performSubscribe(r *worldRouter) {
	w.after(w.between(2*millisecond, 30*millisecond), func() {
		if w.percent(20) {
			w.batch.add(eventMembers, r.instance, uint8(listFailed), uint64(0), uint16(0))
			return
		}
		w.fillBank(w.servers)
		w.batch.add(eventMembers, r.instance, uint8(listFull), w.version, uint16(1))
	})
}

// worldAnswer is how an attempt would end, were it let run.
type worldAnswer struct {
	result, note  int
	after, waited int64
}

// answerOf works out the answer to an attempt from the state of its servers.
func (w *world) answerOf(q *worldRequest, order fetchOrder) worldAnswer {
	target := order.target
	way := w.between(millisecond, 5*millisecond)
	switch {
	case w.percent(w.lossy):
		return worldAnswer{result: resultTimedOut, after: q.giveUpAt}
	case target.health == serverDead:
		return worldAnswer{result: resultConnectFailed, after: way}
	case target.health == serverSilent:
		return worldAnswer{result: resultTimedOut, after: w.patience(q)}
	case target.health == serverRefusing, target.inFlight >= w.capable:
		return worldAnswer{result: resultRefused, after: way}
	case target.health == serverErring, w.percent(1):
		return worldAnswer{result: resultErrored, after: way * 3}
	case target.health == serverResetting:
		return worldAnswer{result: resultReset, after: way * 2}
	}
	sending := w.sendingTime(q, target)
	if target.kind == kindOrigin {
		return worldAnswer{result: resultOK, after: way + 30*millisecond + sending}
	}
	if made, held := w.heldCopy(target, q); held && w.youngEnough(made, order.maxAge) {
		note := noteHit
		if order.switches&fetchRenew != 0 && w.now-made > 3*second {
			note = noteStale
		}
		return worldAnswer{result: resultOK, note: note, after: way + sending}
	}
	if order.source == target {
		note := noteNone
		if w.percent(20) {
			note = noteJoined
		}
		return worldAnswer{result: resultMiss, note: note, after: way}
	}
	if w.percent(3) {
		return worldAnswer{result: resultRefused, note: noteNoFillSlot, after: way}
	}
	return w.fillAnswer(q, order, way, sending)
}

// fillAnswer is the answer of a cache that has to ask its source.
func (w *world) fillAnswer(q *worldRequest, order fetchOrder, way, sending int64) worldAnswer {
	source := order.source
	_, held := w.heldCopy(source, q)
	wait := way + w.between(2*millisecond, 30*millisecond)*source.slowness
	switch {
	case source.health == serverDead:
		waited := w.between(millisecond, 400*millisecond)
		return worldAnswer{result: resultRefused, note: noteSourceUnreached, after: way + waited, waited: waited}
	case source.health == serverSilent:
		return worldAnswer{result: resultTimedOut, after: w.patience(q)}
	case source.health == serverRefusing, source.inFlight >= 2*w.capable:
		return worldAnswer{result: resultRefused, note: noteSourceRefused, after: wait, waited: wait}
	case !held && order.switches&fetchOnlyHeldBySource != 0:
		return worldAnswer{result: resultMiss, note: noteSourceLacks, after: wait, waited: wait}
	case held && source.kind != kindOrigin:
		return worldAnswer{result: resultOK, note: noteFilled, after: wait + sending, waited: wait}
	}
	origin := w.servers[0]
	wait += w.between(20*millisecond, 60*millisecond) * origin.slowness
	if w.failing && w.percent(60) {
		return worldAnswer{result: resultErrored, note: noteOriginFailed, after: wait, waited: wait}
	}
	if w.percent(5) {
		return worldAnswer{result: resultOK, note: noteJoined, after: wait + sending, waited: wait}
	}
	return worldAnswer{result: resultOK, note: noteFilledByOrigin, after: wait + sending, waited: wait}
}

// patience is how long somebody on the way waits for a server that is silent: as long as the client, or less.
func (w *world) patience(q *worldRequest) int64 {
	if w.percent(50) {
		return q.giveUpAt
	}
	return w.between(200*millisecond, 900*millisecond)
}

// sendingTime grows with the size, with what else the server is sending, and by chance.
func (w *world) sendingTime(q *worldRequest, s *worldServer) int64 {
	alone := q.sizeKB * 250 * microsecond
	shared := alone * int64(6+s.inFlight) / 6
	return shared * w.between(80, 130) / 100 * s.slowness
}

// heldCopy is when the copy that a server holds was made.
func (w *world) heldCopy(s *worldServer, q *worldRequest) (made int64, held bool) {
	made, held = s.copies[q.key]
	return made, held && made > w.purged[q.key.object] && made > w.cleared[q.group]
}

func (w *world) youngEnough(made, maxAge int64) bool { return maxAge == 0 || w.now-made <= maxAge }
