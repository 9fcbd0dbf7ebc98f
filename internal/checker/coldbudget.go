package checker

import "strings"

// coldBudgetLimit is the fraction of a cold server's budget that the attempts of all directors together may use.
const coldBudgetLimit = 1.0

// coldServer is a server that has started and whose capacity is still ramping up.
type coldServer struct {
	start    event
	recent   []event // attempts within the overload window, the last start.Fall milliseconds
	violated bool    // a violation was reported for this start
}

// checkColdBudgets reports a violation if all directors together send a cold server more work within its overload
// window than its reduced capacity allows, unless more than a third of that work came from directors that were not yet
// notified of the server's start. Each start of a server is reported at most once. The result is the largest fraction
// of a budget that was used in any window, including windows without a violation.
func (h *history) checkColdBudgets(verdict *Verdict) (worst float64) {
	cold := map[string]*coldServer{}
	ready := h.readyEvents()
	for _, ev := range h.events {
		switch ev.Kind {
		case kindLife:
			if ev.What == "up" && ev.Multiple > 0 {
				cold[ev.Who] = &coldServer{start: ev}
			}
		case kindReq, kindSource:
			server := cold[ev.Who]
			if server == nil || ev.Work == 0 {
				continue
			}
			start := server.start
			fraction := start.ColdFrom + (1-start.ColdFrom)*(ev.AtMS-start.AtMS)/max(start.Ramp, 1)
			if fraction >= 1 {
				delete(cold, ev.Who)
				continue
			}
			server.add(ev)
			work, notifiedWork := h.windowWork(server, ready)
			used := work / (start.Multiple * start.Weight * fraction * start.Fall / 1000)
			worst = max(worst, used)
			if used > coldBudgetLimit && notifiedWork >= work*2/3 && !server.violated {
				server.violated = true
				verdict.addViolation("cold", ev.AtMS, ev.Who, "%.2f times its budget within %.0f ms, from %d attempts",
					used, start.Fall, len(server.recent))
			}
		}
	}
	return worst
}

// add appends an attempt to the overload window and drops the attempts that are older than the window.
func (s *coldServer) add(attempt event) {
	s.recent = append(s.recent, attempt)
	for attempt.AtMS-s.recent[0].AtMS > s.start.Fall {
		s.recent = s.recent[1:]
	}
}

// readyEvents returns the latest endpoint list event that marks each server as ready, by server name.
func (h *history) readyEvents() map[string]event {
	ready := map[string]event{}
	for _, ev := range h.listEvents {
		if strings.HasPrefix(ev.What, "ready") {
			ready[ev.Who] = ev
		}
	}
	return ready
}

// windowWork returns the total work in a server's overload window, and the part of it sent by directors that were
// notified of the server's start. All work counts as notified if no event lists the server as ready.
func (h *history) windowWork(server *coldServer, ready map[string]event) (work, notifiedWork float64) {
	listEvent, listed := ready[server.start.Who]
	for _, attempt := range server.recent {
		work += attempt.Work
		if !listed || h.notifiedAt(attempt.Director, listEvent) <= attempt.AtMS {
			notifiedWork += attempt.Work
		}
	}
	return work, notifiedWork
}
