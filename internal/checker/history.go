package checker

import "slices"

// Kinds of events that the rules and metrics use (docs/testbed.md lists the kinds).
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
	classRepayment = "repayment" // class of the non-idempotent requests
	faultStopped   = "stop"      // What of an event from which on the discovery service writes to no stream
	faultCleared   = "well"      // What of an event that ends a fault of a link or of the discovery service

	forever = 1e15 // ms; a time later than any event, for periods that have not ended
)

// event is one line of a history. The kind determines which fields are set; docs/testbed.md lists the kinds. Times are
// in milliseconds since the start of the run.
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

	// Set for kind life: the capacity of a server.
	Weight   float64 `json:"weight"`
	ColdFrom float64 `json:"cold_from"`
	Ramp     float64 `json:"ramp"`
	Fall     float64 `json:"fall"`
	Multiple float64 `json:"multiple"`
}

// startsLossyFault reports whether a link event begins a fault that can lose answers. Links that delay data or forward
// it one byte at a time ("drip") lose none.
func (e event) startsLossyFault() bool {
	return e.What != faultCleared && e.What != "delay" && e.What != "drip"
}

// history holds the events of a run, indexed for the rules and metrics.
type history struct {
	events           []event
	lags             []event            // delays of the testbed's own timers
	processEvents    map[string][]event // by director: process and ready events
	answers          map[string]event   // by ref: the first answer
	departures       map[string]event   // by ref: clients that closed the connection or cancelled the request
	listEvents       []event            // published changes of the endpoint list, and purges
	deliveries       map[string][]event // by director: list events written to its stream
	discoveryEvents  map[string][]event // by director: calls of the discovery service, deliveries, stream ends
	streamsEnded     map[string]bool    // directors with at least one stream that the testbed ended
	serviceFaults    intervals          // faults of the discovery service or of the links to it, except stops
	serviceStops     intervals          // periods in which the discovery service wrote to no stream
	serviceBreaks    []float64          // ms; when the discovery service reset all streams
	clientLinkFaults intervals          // faults of the links between clients and directors
}

func newHistory(events []event) *history {
	return &history{
		events:          events,
		processEvents:   map[string][]event{},
		answers:         map[string]event{},
		departures:      map[string]event{},
		deliveries:      map[string][]event{},
		discoveryEvents: map[string][]event{},
		streamsEnded:    map[string]bool{},
	}
}

// index fills the indexes of the history from its events. It reports a violation for a second answer to a request.
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
			h.streamsEnded[ev.Director] = true
		case kindList:
			h.indexServiceState(ev)
		case kindLink:
			h.indexLinkState(ev)
		}
	}
}

// indexAnswer records the first answer to a request and reports a violation for any further answer.
func (h *history) indexAnswer(ev event, verdict *Verdict) {
	if first, ok := h.answers[ev.Ref]; ok {
		verdict.addViolation("answer", ev.AtMS, ev.Director, "%s was answered %s and then %s",
			ev.Ref, first.What, ev.What)
		return
	}
	h.answers[ev.Ref] = ev
}

// indexServiceState records a change of the discovery service's state. The service counts as stopped, or else as faulty
// unless it is healthy and has its full capacity. Value is the capacity factor, where 0 stands for a factor that is not
// set.
func (h *history) indexServiceState(ev event) {
	if ev.What == "break" { // a break resets the streams once, and the service's state stays the same
		h.serviceBreaks = append(h.serviceBreaks, ev.AtMS)
		return
	}
	const key = "service"
	h.serviceFaults.end(key, ev.AtMS)
	h.serviceStops.end(key, ev.AtMS)
	fullCapacity := ev.Value == 0 || ev.Value == 1
	switch {
	case ev.What == faultStopped:
		h.serviceStops.begin(key, ev.AtMS)
	case ev.What != faultCleared || !fullCapacity:
		h.serviceFaults.begin(key, ev.AtMS)
	}
}

// indexLinkState records a change of the links between directors and the discovery service, or between clients and
// directors.
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
	if ev.startsLossyFault() {
		faults.begin(ev.Who, ev.AtMS)
	}
}

// intervals holds the periods in which faults were active.
type intervals struct {
	list []interval
	open map[string]int // by key: index in list of the interval that has not ended
}

// interval is a period in milliseconds since the start of the run.
type interval struct{ from, to float64 }

// begin opens an interval for key.
func (s *intervals) begin(key string, at float64) {
	if s.open == nil {
		s.open = map[string]int{}
	}
	s.open[key] = len(s.list)
	s.list = append(s.list, interval{from: at, to: forever})
}

// end closes the open interval of key, if there is one.
func (s *intervals) end(key string, at float64) {
	if i, ok := s.open[key]; ok {
		s.list[i].to = at
		delete(s.open, key)
	}
}

// overlap reports whether any interval overlaps the period between from and to, both inclusive.
func (s *intervals) overlap(from, to float64) bool {
	_, found := s.firstOverlap(from, to)
	return found
}

// firstOverlap returns the first interval that overlaps the period between from and to, both inclusive, and whether
// there is one.
func (s *intervals) firstOverlap(from, to float64) (first interval, found bool) {
	i := slices.IndexFunc(s.list, func(i interval) bool { return i.from <= to && i.to >= from })
	if i < 0 {
		return interval{}, false
	}
	return s.list[i], true
}

// lagAllowance returns by how many milliseconds a limit between from and to is extended: a multiple of the largest
// delay of the testbed's own timers within margin of that period.
func (h *history) lagAllowance(from, to float64) float64 {
	const (
		lagFactor = 3.0
		margin    = 100.0
	)
	maxLag := 0.0
	for _, ev := range h.lags {
		if ev.AtMS >= from-margin && ev.AtMS-ev.Value <= to+margin {
			maxLag = max(maxLag, ev.Value)
		}
	}
	return lagFactor * maxLag
}

// endMS returns the time of the last event in milliseconds. The history must not be empty.
func (h *history) endMS() float64 { return h.events[len(h.events)-1].AtMS }

// loadEnded reports whether the load had ended at a time. From then on the testbed shuts down all processes.
func (h *history) loadEnded(at float64) bool {
	return slices.ContainsFunc(h.events, func(ev event) bool {
		return ev.Kind == kindLoad && ev.What == "end" && ev.AtMS <= at
	})
}

// incarnationStart returns the latest start of a director's process up to a time, or 0 if there was none.
func (h *history) incarnationStart(director string, at float64) float64 {
	start := 0.0
	for _, ev := range h.processEvents[director] {
		if ev.What == "start" && ev.AtMS <= at {
			start = ev.AtMS
		}
	}
	return start
}

// processState is the state of a director's process at one point of the history.
type processState struct {
	up, stopped bool
	shutdownEnd float64 // ms; requests that come later need no answer because of a graceful shutdown
}

// mustAnswer reports whether the process must answer a request that came at requestedAt.
func (s processState) mustAnswer(requestedAt float64) bool {
	return s.up && !s.stopped && requestedAt <= s.shutdownEnd
}

// unavailable reports whether a director need not answer a request that came at from and is due at to, because its
// process was down, ended unexpectedly, was killed or was suspended during a part of that period. Requests that come
// within shutdownGrace of SIGTERM must still be answered if the process still runs at to. If it has exited by then, the
// director counts as unavailable.
func (h *history) unavailable(director string, from, to float64) bool {
	state := processState{shutdownEnd: forever}
	for _, ev := range h.processEvents[director] {
		if ev.AtMS > to {
			break
		}
		within := ev.AtMS > from
		if within && !state.mustAnswer(from) {
			return true
		}
		switch ev.What {
		case "start":
			state = processState{up: true, shutdownEnd: forever}
		case "stop":
			state.stopped = true
		case "cont":
			state.stopped = false
			if within {
				return true
			}
		case "term":
			state.shutdownEnd = ev.AtMS + shutdownGrace
		case "kill", "gone":
			if state.up && within && state.shutdownEnd == forever {
				return true
			}
			if ev.What == "gone" {
				state.up = false
			}
		}
	}
	return !state.mustAnswer(from)
}
