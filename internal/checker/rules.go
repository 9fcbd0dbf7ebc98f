package checker

import "strings"

// Limits of the rules (protocol page), in milliseconds except for allowedDepartures, which is a number.
const (
	slack         = 50.0    // extension of the answer, drain and purge limits, for delays of real sockets
	drainLimit    = 2000.0  // after notification: the last new request to a draining server
	purgeLimit    = 500.0   // after notification: the last request that may be answered from an old copy
	startupLimit  = 10000.0 // after the start: nine in ten processes are ready
	shutdownGrace = 700.0   // after SIGTERM: the last request that must still be answered

	departureGrace    = 100.0 // after a client left: the last attempt for its request that is not late
	departureLate     = 300.0 // after a client left: with any later attempt, its request counts as sent late
	allowedDepartures = 2     // number of late attempts that are tolerated
)

// checkAnswers reports a violation for each request without a valid answer in time, and for each answer that belongs to
// no open call.
func (h *history) checkAnswers(verdict *Verdict) {
	for _, ev := range h.events {
		switch ev.Kind {
		case kindAsk:
			h.checkAnswer(ev, verdict)
		case kindStray:
			verdict.addViolation("answer", ev.AtMS, ev.Who, "call %d was answered twice, or never made", ev.Number)
		}
	}
}

// checkAnswer reports a violation if the first answer to a request is missing, late or invalid. No answer is required
// if the director was unavailable, the links between clients and directors lost data, or the client left before the
// deadline.
func (h *history) checkAnswer(request event, verdict *Verdict) {
	limit := request.TimeoutMS + slack + h.lagAllowance(request.AtMS, request.AtMS+request.TimeoutMS+slack)
	deadline := request.AtMS + limit
	if h.unavailable(request.Director, request.AtMS, deadline) || h.clientLinkFaults.overlap(request.AtMS, deadline) {
		return
	}
	if departure, departed := h.departures[request.Ref]; departed && departure.AtMS <= deadline {
		return // the client no longer expects an answer
	}
	answer, answered := h.answers[request.Ref]
	switch {
	case !answered:
		verdict.addViolation("answer", request.AtMS, request.Director, "%s was never answered", request.Ref)
	case answer.What != outcomeServed && answer.What != outcomeRefused && answer.What != outcomeFailed:
		verdict.addViolation("answer", request.AtMS, request.Director, "%s: %s", request.Ref, answer.What)
	case answer.AtMS-request.AtMS > limit:
		verdict.addViolation("answer", request.AtMS, request.Director, "%s was answered after %.0f ms of %.0f",
			request.Ref, answer.AtMS-request.AtMS, request.TimeoutMS)
	}
}

// checkRepayments reports a violation for each non-idempotent request that ran more than once, or that ran although it
// was refused.
func (h *history) checkRepayments(verdict *Verdict) {
	runs := map[string]int{}
	for _, ev := range h.events {
		if ev.Kind != kindRun {
			continue
		}
		runs[ev.Ref]++
		if runs[ev.Ref] == 2 {
			verdict.addViolation("repayment", ev.AtMS, ev.Who, "%s ran twice", ev.Ref)
		}
		if answer := h.answers[ev.Ref]; answer.What == outcomeRefused {
			verdict.addViolation("repayment", ev.AtMS, answer.Director, "%s ran and was refused", ev.Ref)
		}
	}
}

// checkDrains reports a violation for each use of a server, as target of an attempt or as source of a fill, that a
// director requests later than drainLimit after the director was notified that the server is draining or gone.
func (h *history) checkDrains(verdict *Verdict) {
	drained := map[string]event{}
	for _, ev := range h.listEvents {
		leaving := strings.HasPrefix(ev.What, "draining") || strings.HasPrefix(ev.What, "gone")
		if _, known := drained[ev.Who]; leaving && !known {
			drained[ev.Who] = ev
		}
	}
	for _, ev := range h.events {
		if ev.Kind != kindReq && ev.Kind != kindSource {
			continue
		}
		listEvent, known := drained[ev.Who]
		if !known || ev.AtMS < listEvent.AtMS {
			continue
		}
		notified := max(h.notifiedAt(ev.Director, listEvent), h.incarnationStart(ev.Director, ev.AtMS))
		if excess := ev.AtMS - notified - drainLimit - slack; excess > h.lagAllowance(ev.AtMS-drainLimit, ev.AtMS) {
			verdict.addViolation("drain", ev.AtMS, ev.Director, "%s went to %s %.0f ms after it was told (%s)%s",
				ev.Ref, ev.Who, ev.AtMS-notified, ev.Kind, h.describeStreams(ev.Director, ev.AtMS))
		}
	}
}

// checkPurges reports a violation for each attempt that is answered from a copy older than a purge, although the
// attempt was made later than purgeLimit after the director was notified of the purge. It returns the number of
// attempts made after a purge, notified or not, that were answered from an older copy.
func (h *history) checkPurges(verdict *Verdict) (staleCopies int) {
	type attemptKey struct{ ref, server string }
	attempts := map[attemptKey]event{} // the latest attempt of a request at a server
	objects := map[string]string{}     // by ref
	for _, ev := range h.events {
		switch {
		case ev.Kind == kindReq:
			attempts[attemptKey{ev.Ref, ev.Who}], objects[ev.Ref] = ev, ev.Object
		case ev.Kind == kindDone && ev.What == "OK":
			if h.checkCopy(ev, attempts[attemptKey{ev.Ref, ev.Who}], objects[ev.Ref], verdict) {
				staleCopies++
			}
		}
	}
	return staleCopies
}

// checkCopy compares the age of the copy in one answer of a server with all purges of the object, and reports
// violations as checkPurges describes. The result reports whether the copy is older than a purge that came before the
// attempt.
func (h *history) checkCopy(done, attempt event, object string, verdict *Verdict) (stale bool) {
	for _, listEvent := range h.listEvents {
		if listEvent.Object == "" || listEvent.Object != object || done.Since >= listEvent.Since {
			continue
		}
		if attempt.AtMS > listEvent.AtMS {
			stale = true
		}
		notified := max(h.notifiedAt(done.Director, listEvent), h.incarnationStart(done.Director, attempt.AtMS))
		excess := attempt.AtMS - notified - purgeLimit - slack
		if excess > h.lagAllowance(attempt.AtMS-purgeLimit, attempt.AtMS) {
			verdict.addViolation("purge", attempt.AtMS, done.Director,
				"%s got a copy of %s from %.0f ms before its purge, asked for %.0f ms after that was told%s",
				done.Ref, listEvent.Object, listEvent.Since-done.Since, attempt.AtMS-notified,
				h.describeStreams(done.Director, attempt.AtMS))
		}
	}
	return stale
}

// checkDepartures reports a violation for each attempt that starts later than departureGrace after its client left.
// The first allowedDepartures of these attempts are tolerated, because a director may be suspended between the
// decision for an attempt and the attempt. checkDepartures also reports a violation if, of the requests without an
// attempt before their client left, more than a quarter and more than allowedDepartures/2 get an attempt later than
// departureLate after their client left.
func (h *history) checkDepartures(verdict *Verdict) {
	var lateAttempts []event
	attemptedBefore, sentLate := map[string]bool{}, map[string]bool{} // by ref
	for _, ev := range h.events {
		departure, departed := h.departures[ev.Ref]
		if ev.Kind != kindReq || !departed {
			continue
		}
		if ev.AtMS <= departure.AtMS {
			attemptedBefore[ev.Ref] = true
		}
		after, allowance := ev.AtMS-departure.AtMS, h.lagAllowance(departure.AtMS, ev.AtMS)
		if after > departureGrace+allowance {
			lateAttempts = append(lateAttempts, ev)
		}
		if after > departureLate+allowance {
			sentLate[ev.Ref] = true
		}
	}
	for _, ev := range lateAttempts[min(len(lateAttempts), allowedDepartures):] {
		verdict.addViolation("left", ev.AtMS, ev.Director, "%s was begun %.0f ms after its client had gone", ev.Ref,
			ev.AtMS-h.departures[ev.Ref].AtMS)
	}
	waited, sent := 0, 0
	for ref := range h.departures {
		if attemptedBefore[ref] {
			continue
		}
		waited++
		if sentLate[ref] {
			sent++
		}
	}
	if sent > allowedDepartures/2 && sent*4 > waited {
		verdict.addViolation(
			"left",
			0,
			"",
			"%d of %d requests whose clients left while they waited were sent on all the same",
			sent,
			waited,
		)
	}
}

// checkStartups reports a violation if more than one in ten processes is not ready within startupLimit of its start. It
// leaves out processes that were ended or suspended before they were ready and within startupLimit, and processes that
// started less than startupLimit before the end of the history.
func (h *history) checkStartups(verdict *Verdict) {
	started, late, who := 0, 0, ""
	end := h.endMS()
	for name, events := range h.processEvents {
		for i, ev := range events {
			if ev.What != "start" || ev.AtMS+startupLimit > end {
				continue
			}
			next := event{AtMS: forever}
			if i+1 < len(events) {
				next = events[i+1]
			}
			inTime := next.AtMS-ev.AtMS <= startupLimit
			switch {
			case next.Kind == kindReady && inTime:
				started++
			case !inTime:
				started++
				late++
				who = max(who, name)
			} // otherwise the process was ended or suspended before it was ready
		}
	}
	if late*10 > started {
		verdict.addViolation("ready", 0, who, "%d of %d processes were not ready within %.0f s of their start",
			late, started, startupLimit/1000)
	}
}

// checkProtocol reports a violation for each message of a director that is invalid, and for each process that ends
// during the load without a signal of the testbed.
func (h *history) checkProtocol(verdict *Verdict) {
	for _, ev := range h.events {
		if ev.Kind == kindFault {
			verdict.addViolation("protocol", ev.AtMS, ev.Who, "%s", ev.What)
		}
	}
	for who, events := range h.processEvents {
		shutdownRequested := false // by a signal of the testbed
		for _, ev := range events {
			switch ev.What {
			case "kill", "term":
				shutdownRequested = true
			case "start":
				shutdownRequested = false
			case "gone":
				if !shutdownRequested && ev.AtMS < h.endMS() && !h.loadEnded(ev.AtMS) {
					verdict.addViolation("crash", ev.AtMS, who, "ended unasked: %s", ev.Class)
				}
			}
		}
	}
}
