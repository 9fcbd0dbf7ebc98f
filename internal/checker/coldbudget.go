package checker

import "strings"

const coldBudgetLimit = 1.0 // of a server's budget, that the attempts of all directors together may use

// coldServer is a server that has just started.
type coldServer struct {
	start    event
	recent   []event // attempts within its overload window
	violated bool
}

// checkColdBudgets: a server that has just started gets no more from all directors together than it bears. It returns
// the worst share of a budget that any window held.
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
			work, notifiedWork := h.workAt(server, ready)
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

// add takes an attempt into the window, and drops those that have left it.
func (s *coldServer) add(attempt event) {
	s.recent = append(s.recent, attempt)
	for attempt.AtMS-s.recent[0].AtMS > s.start.Fall {
		s.recent = s.recent[1:]
	}
}

// readyEvents are the latest list events that call a server ready, by server.
func (h *history) readyEvents() map[string]event {
	ready := map[string]event{}
	for _, ev := range h.listEvents {
		if strings.HasPrefix(ev.What, "ready") {
			ready[ev.Who] = ev
		}
	}
	return ready
}

// workAt sums up the work in a server's window, and the part of it that came from directors that were notified of its
// start.
func (h *history) workAt(server *coldServer, ready map[string]event) (work, notifiedWork float64) {
	news, listed := ready[server.start.Who]
	for _, attempt := range server.recent {
		work += attempt.Work
		if !listed || h.notifiedAt(attempt.Director, news) <= attempt.AtMS {
			notifiedWork += attempt.Work
		}
	}
	return work, notifiedWork
}
