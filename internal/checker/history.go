package checker

import "slices"

// Kinds of events that the rules and metrics use (docs/testbed.md lists all).
const (
	kindAnswer   = "answer"
	kindAsk      = "ask"
	kindCall     = "call"
	kindCapacity = "capacity"
	kindConn     = "conn"
	kindDone     = "done"
	kindFault    = "fault"
	kindHome     = "home"
	kindLag      = "lag"
	kindLeave    = "leave"
	kindLife     = "life"
	kindLink     = "link"
	kindList     = "list"
	kindLoad     = "load"
	kindNews     = "news"
	kindNowhere  = "nowhere"
	kindOrigin   = "origin"
	kindProcess  = "process"
	kindReady    = "ready"
	kindReq      = "req"
	kindRun      = "run"
	kindSite     = "site"
	kindSource   = "source"
	kindState    = "state"
	kindStep     = "step"
	kindStray    = "stray"
	kindStream   = "stream"
	kindTold     = "told"
)

// Outcomes of a request, as its client saw them.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
)

const (
	classRepayment = "repayment" // non-idempotent requests
	linkWell       = "well"      // an event that ends a fault of a link, or of the list service

	forever = 1e15 // a time after every history
)

// event is a line of the history. Which fields are set depends on the kind. Times are milliseconds since the begin.
type event struct {
	AtMS      float64 `json:"ms"`
	Kind      string  `json:"kind"`
	Who       string  `json:"who"`
	What      string  `json:"what"`
	Director  string  `json:"director"`
	Ref       string  `json:"ref"`
	Class     string  `json:"class"`
	Object    string  `json:"object"`
	Source    string  `json:"up"`
	Site      string  `json:"site"`
	Number    int     `json:"n"`
	Value     float64 `json:"value"`
	Work      float64 `json:"work"`
	Since     float64 `json:"since"`
	TimeoutMS float64 `json:"allow"`
	Retry     bool    `json:"again"`

	// Of kind life: what a server can bear.
	Weight   float64 `json:"weight"`
	ColdFrom float64 `json:"cold_from"`
	Ramp     float64 `json:"ramp"`
	Fall     float64 `json:"fall"`
	Multiple float64 `json:"multiple"`
}

// harmsLink reports whether a link event begins a fault by which answers may get lost.
func (e event) harmsLink() bool {
	return e.What != linkWell && e.What != "delay" && e.What != "drip"
}

// history is the events of a run, indexed by what the rules ask of them.
type history struct {
	events           []event
	lags             []event            // how late the testbed itself was
	processEvents    map[string][]event // by director: process and ready
	answers          map[string]event   // by ref
	departures       map[string]event   // by ref: clients that closed or cancelled
	listEvents       []event            // changes of the endpoint list, and purges
	deliveries       map[string][]event // by director: the list events written to it
	discoveryEvents  map[string][]event // by director: calls of the list service, deliveries, and ends of streams
	flapped          map[string]bool    // directors some of whose streams were ended by the testbed
	serviceFaults    intervals          // of the list service, or of links to it
	clientLinkFaults intervals
}

func newHistory(events []event) *history {
	return &history{
		events:          events,
		processEvents:   map[string][]event{},
		answers:         map[string]event{},
		departures:      map[string]event{},
		deliveries:      map[string][]event{},
		discoveryEvents: map[string][]event{},
		flapped:         map[string]bool{},
	}
}

// index sorts the events by kind. A second answer to a request is a violation.
func (h *history) index(verdict *Verdict) {
	for _, ev := range h.events {
		switch ev.Kind {
		case kindLag:
			h.lags = append(h.lags, ev)
		case kindProcess, kindReady:
			h.processEvents[ev.Who] = append(h.processEvents[ev.Who], ev)
		case kindAnswer:
			h.indexAnswer(ev, verdict)
		case kindLeave:
			h.departures[ev.Ref] = ev
		case kindNews:
			h.listEvents = append(h.listEvents, ev)
		case kindTold:
			h.deliveries[ev.Director] = append(h.deliveries[ev.Director], ev)
			h.discoveryEvents[ev.Director] = append(h.discoveryEvents[ev.Director], ev)
		case kindCall:
			h.discoveryEvents[ev.Director] = append(h.discoveryEvents[ev.Director], ev)
		case kindStream:
			h.discoveryEvents[ev.Director] = append(h.discoveryEvents[ev.Director], ev)
			h.flapped[ev.Director] = true
		case kindList:
			h.indexServiceState(ev)
		case kindLink:
			h.indexLinkState(ev)
		}
	}
}

func (h *history) indexAnswer(ev event, verdict *Verdict) {
	if first, ok := h.answers[ev.Ref]; ok {
		verdict.addViolation("answer", ev.AtMS, ev.Director, "%s was answered %s and then %s",
			ev.Ref, first.What, ev.What)
		return
	}
	h.answers[ev.Ref] = ev
}

func (h *history) indexServiceState(ev event) {
	if ev.What == "break" { // streams break once, and the service is well
		return
	}
	const key = "service"
	h.serviceFaults.end(key, ev.AtMS)
	fullCapacity := ev.Value == 0 || ev.Value == 1
	if ev.What != linkWell || !fullCapacity {
		h.serviceFaults.begin(key, ev.AtMS)
	}
}

func (h *history) indexLinkState(ev event) {
	var faults *intervals
	switch ev.Who {
	case "list":
		faults = &h.serviceFaults
	case "clients":
		faults = &h.clientLinkFaults
	default:
		return
	}
	faults.end(ev.Who, ev.AtMS)
	if ev.harmsLink() {
		faults.begin(ev.Who, ev.AtMS)
	}
}

// intervals are spans of time in which something was wrong.
type intervals struct {
	list []interval
	open map[string]int // index of an interval that has not ended, by what it is of
}

type interval struct{ from, to float64 }

func (s *intervals) begin(key string, at float64) {
	if s.open == nil {
		s.open = map[string]int{}
	}
	s.open[key] = len(s.list)
	s.list = append(s.list, interval{from: at, to: forever})
}

func (s *intervals) end(key string, at float64) {
	if i, ok := s.open[key]; ok {
		s.list[i].to = at
		delete(s.open, key)
	}
}

func (s *intervals) overlap(from, to float64) bool {
	return slices.ContainsFunc(s.list, func(i interval) bool { return i.from <= to && i.to >= from })
}

// lagAllowance is what a limit is longer by: a multiple of the testbed's own lateness about that time.
func (h *history) lagAllowance(from, to float64) float64 {
	const (
		lagFactor = 3.0
		margin    = 100.0
	)
	most := 0.0
	for _, ev := range h.lags {
		if ev.AtMS >= from-margin && ev.AtMS-ev.Value <= to+margin {
			most = max(most, ev.Value)
		}
	}
	return lagFactor * most
}

// endMS is the time of the last event.
func (h *history) endMS() float64 { return h.events[len(h.events)-1].AtMS }

// loadEnded reports whether the load had ended by a time, and the testbed is shutting everything down.
func (h *history) loadEnded(at float64) bool {
	return slices.ContainsFunc(h.events, func(ev event) bool {
		return ev.Kind == kindLoad && ev.What == "end" && ev.AtMS <= at
	})
}

// incarnationStart is when the process was started that a director was at a time.
func (h *history) incarnationStart(director string, at float64) float64 {
	start := 0.0
	for _, ev := range h.processEvents[director] {
		if ev.What == "start" && ev.AtMS <= at {
			start = ev.AtMS
		}
	}
	return start
}

// processState is what a director's process is at a point of the history.
type processState struct {
	up, stopped bool
	leavesAt    float64 // when a graceful shutdown ends
}

// owesAnswers reports whether the process must answer requests that came at a time.
func (s processState) owesAnswers(asked float64) bool {
	return s.up && !s.stopped && asked <= s.leavesAt
}

// unavailable reports whether a director could not answer within a time: it was down, killed or stopped for a part of
// it.
func (h *history) unavailable(director string, from, to float64) bool {
	state := processState{leavesAt: forever}
	for _, ev := range h.processEvents[director] {
		if ev.AtMS > to {
			break
		}
		within := ev.AtMS > from
		if within && !state.owesAnswers(from) {
			return true
		}
		switch ev.What {
		case "start":
			state = processState{up: true, leavesAt: forever}
		case "stop":
			state.stopped = true
		case "cont":
			state.stopped = false
			if within {
				return true
			}
		case "term":
			state.leavesAt = ev.AtMS + shutdownGrace
		case "kill", "gone":
			if state.up && within && state.leavesAt == forever {
				return true
			}
			if ev.What == "gone" {
				state.up = false
			}
		}
	}
	return !state.owesAnswers(from)
}
