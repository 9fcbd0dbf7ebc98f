package checker

import "strings"

// Limits of the rules, in milliseconds (protocol page). On sockets every limit is longer by slack.
const (
	slack         = 50.0
	drainLimit    = 2000.0  // after notification, for the last new request to a draining server
	purgeLimit    = 500.0   // after notification, for the last request that may be answered from an old copy
	startupLimit  = 10000.0 // within which nine in ten processes are ready
	shutdownGrace = 700.0   // after SIGTERM, within which requests are still owed an answer

	departureGrace    = 100.0 // after its client has gone, within which an attempt of a request may still begin
	departureLate     = 300.0 // after which a request that waited until then is not sent at all
	allowedDepartures = 2     // late attempts that are let pass
)

// checkAnswers: each request gets exactly one final answer, in time.
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

func (h *history) checkAnswer(ask event, verdict *Verdict) {
	limit := ask.TimeoutMS + slack + h.lagAllowance(ask.AtMS, ask.AtMS+ask.TimeoutMS+slack)
	deadline := ask.AtMS + limit
	if h.unavailable(ask.Director, ask.AtMS, deadline) || h.clientLinkFaults.overlap(ask.AtMS, deadline) {
		return
	}
	if departure, left := h.departures[ask.Ref]; left && departure.AtMS <= deadline {
		return // none is owed
	}
	answer, answered := h.answers[ask.Ref]
	switch {
	case !answered:
		verdict.addViolation("answer", ask.AtMS, ask.Director, "%s was never answered", ask.Ref)
	case answer.What != outcomeServed && answer.What != outcomeRefused && answer.What != outcomeFailed:
		verdict.addViolation("answer", ask.AtMS, ask.Director, "%s: %s", ask.Ref, answer.What)
	case answer.AtMS-ask.AtMS > limit:
		verdict.addViolation("answer", ask.AtMS, ask.Director, "%s was answered after %.0f ms of %.0f",
			ask.Ref, answer.AtMS-ask.AtMS, ask.TimeoutMS)
	}
}

// checkRepayments: a non-idempotent request runs at most once, and if it was refused it did not run.
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

// checkDrains: past drainLimit nothing new goes to a server that is draining or gone, as target or as source.
func (h *history) checkDrains(verdict *Verdict) {
	drained := map[string]event{}
	for _, ev := range h.listEvents {
		leaves := strings.HasPrefix(ev.What, "draining") || strings.HasPrefix(ev.What, "gone")
		if _, known := drained[ev.Who]; leaves && !known {
			drained[ev.Who] = ev
		}
	}
	for _, ev := range h.events {
		if ev.Kind != kindReq && ev.Kind != kindSource {
			continue
		}
		news, known := drained[ev.Who]
		if !known || ev.AtMS < news.AtMS {
			continue
		}
		notified := max(h.notifiedAt(ev.Director, news), h.incarnationStart(ev.Director, ev.AtMS))
		if over := ev.AtMS - notified - drainLimit - slack; over > h.lagAllowance(ev.AtMS-drainLimit, ev.AtMS) {
			verdict.addViolation("drain", ev.AtMS, ev.Director, "%s went to %s %.0f ms after it was told (%s)%s",
				ev.Ref, ev.Who, ev.AtMS-notified, ev.Kind, h.describeStreams(ev.Director, ev.AtMS))
		}
	}
}

// checkPurges: no attempt made later than purgeLimit after a purge was notified may be answered from an older copy. It
// returns how many attempts made after a purge, notified or not, were answered from an older copy.
func (h *history) checkPurges(verdict *Verdict) (staleCopies int) {
	type attempt struct{ ref, server string }
	requests := map[attempt]event{} // the latest of each
	objects := map[string]string{}  // by ref
	for _, ev := range h.events {
		switch {
		case ev.Kind == kindReq:
			requests[attempt{ev.Ref, ev.Who}], objects[ev.Ref] = ev, ev.Object
		case ev.Kind == kindDone && ev.What == "OK":
			if h.checkCopy(ev, requests[attempt{ev.Ref, ev.Who}], objects[ev.Ref], verdict) {
				staleCopies++
			}
		}
	}
	return staleCopies
}

// checkCopy holds one answer of a server against all purges of its object. It reports whether the copy was older than a
// purge that came before the request.
func (h *history) checkCopy(done, request event, object string, verdict *Verdict) (stale bool) {
	for _, news := range h.listEvents {
		if news.Object == "" || news.Object != object || done.Since >= news.Since {
			continue
		}
		if request.AtMS > news.AtMS {
			stale = true
		}
		notified := max(h.notifiedAt(done.Director, news), h.incarnationStart(done.Director, request.AtMS))
		over := request.AtMS - notified - purgeLimit - slack
		if over > h.lagAllowance(request.AtMS-purgeLimit, request.AtMS) {
			verdict.addViolation("purge", request.AtMS, done.Director,
				"%s got a copy of %s from %.0f ms before its purge, asked for %.0f ms after that was told%s",
				done.Ref, news.Object, news.Since-done.Since, request.AtMS-notified,
				h.describeStreams(done.Director, request.AtMS))
		}
	}
	return stale
}

// checkDepartures: nothing is begun for a client that has gone. A few cases are let pass, as a director may have been
// stopped with the decision made; but of the requests that waited as their clients left, a quarter at most is sent on
// later.
func (h *history) checkDepartures(verdict *Verdict) {
	var late []event
	begun, sentLate := map[string]bool{}, map[string]bool{} // by ref
	for _, ev := range h.events {
		departure, left := h.departures[ev.Ref]
		if ev.Kind != kindReq || !left {
			continue
		}
		if ev.AtMS <= departure.AtMS {
			begun[ev.Ref] = true
		}
		after, allowance := ev.AtMS-departure.AtMS, h.lagAllowance(departure.AtMS, ev.AtMS)
		if after > departureGrace+allowance {
			late = append(late, ev)
		}
		if after > departureLate+allowance {
			sentLate[ev.Ref] = true
		}
	}
	for _, ev := range late[min(len(late), allowedDepartures):] {
		verdict.addViolation("left", ev.AtMS, ev.Director, "%s was begun %.0f ms after its client had gone", ev.Ref,
			ev.AtMS-h.departures[ev.Ref].AtMS)
	}
	waited, sent := 0, 0
	for ref := range h.departures {
		if begun[ref] {
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

// checkStartups: nine in ten processes that are started, and neither ended nor stopped meanwhile, are ready in time.
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
			} // else it was ended, or stopped, before it could be ready
		}
	}
	if late*10 > started {
		verdict.addViolation("ready", 0, who, "%d of %d processes were not ready within %.0f s of their start",
			late, started, startupLimit/1000)
	}
}

// checkProtocol: no director sends what can't be used, or ends without having been told to.
func (h *history) checkProtocol(verdict *Verdict) {
	for _, ev := range h.events {
		if ev.Kind == kindFault {
			verdict.addViolation("protocol", ev.AtMS, ev.Who, "%s", ev.What)
		}
	}
	for who, events := range h.processEvents {
		told := false // to end
		for _, ev := range events {
			switch ev.What {
			case "kill", "term":
				told = true
			case "start":
				told = false
			case "gone":
				if !told && ev.AtMS < h.endMS() && !h.loadEnded(ev.AtMS) {
					verdict.addViolation("crash", ev.AtMS, who, "ended unasked: %s", ev.Class)
				}
			}
		}
	}
}
