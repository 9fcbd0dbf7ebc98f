// Package labcheck judges the record of a laboratory run by the rules of the protocol page, and reads the figures
// off it. It knows the record's lines and nothing else: it shares no code with the program, nor with the stand-ins
// that wrote the record.
package checker

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Violation is one breach of a rule.
type Violation struct {
	Rule   string  `json:"rule"`
	AtMS   float64 `json:"at_ms"`
	Who    string  `json:"who"`
	Detail string  `json:"detail"`
}

// Verdict is what a record comes to.
type Verdict struct {
	Violations []Violation
	Metrics    map[string]float64
}

// event is a event of the record. Times are milliseconds.
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
	Weight    float64 `json:"weight"`
	Ramp      float64 `json:"ramp"`
	Fall      float64 `json:"fall"`
	Multiple  float64 `json:"multiple"`
	ColdFrom  float64 `json:"cold_from"`
	Retry     bool    `json:"again"`
}

// Figures of the rules, in milliseconds (protocol page): every limit is 50 ms longer on sockets.
const (
	slack              = 50.0
	drainLimit         = 2000.0
	purgeLimit         = 500.0
	notifyLimit        = 7000.0
	notifyAfterBreak   = 2000.0  // where the service broke a stream off: after the break
	notifyAfterSilence = 4000.0  // where it stopped and left it open: after the stop
	inFlightWindow     = 100.0   // a stream that ends so soon after an event may not have brought it any more
	departureGrace     = 100.0   // after its client has gone, an attempt of a request may still begin for so long
	departureLate      = 300.0   // one that waited until then is not sent on at all
	departuresAllowed  = 2       // cases that are let pass
	startupLimit       = 10000.0 // nine in ten processes that are started are ready by then
	shutdownGrace      = 700.0   // after SIGTERM requests are owed an answer for so long
	lagFactor          = 3.0     // times the lab's own lateness that a limit is longer
	coldBudgetLimit    = 1.0     // of the cold budget
)

// history is what the lines come to, by what the rules ask of them.
type history struct {
	events           []event
	lags             []event
	processEvents    map[string][]event // of directors: process and ready
	answers          map[string]event   // answers by ref
	listEvents       []event
	deliveries       map[string][]event // by director
	discoveryEvents  map[string][]event // by director: its calls of the list service, what it was told, and ends of its streams
	flapped          map[string]bool    // directors of which streams were ended by a flap
	serviceFaults    []interval         // of the list service or of links to it
	clientLinkFaults []interval         // of links to clients, with what was wrong
	departures       map[string]event   // clients that closed or cancelled, by ref
}

type interval struct{ from, to float64 }

const forever = 1e15

// Check reads a record and judges it.
func Check(r io.Reader) (*Verdict, error) {
	rec := &history{departures: map[string]event{}, processEvents: map[string][]event{}, answers: map[string]event{}, deliveries: map[string][]event{},
		discoveryEvents: map[string][]event{}, flapped: map[string]bool{}}
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for n := 1; s.Scan(); n++ {
		var l event
		if err := json.Unmarshal(s.Bytes(), &l); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if l.Kind == "" {
			return nil, fmt.Errorf("line %d: no kind", n)
		}
		rec.events = append(rec.events, l)
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	v := &Verdict{}
	rec.index(v)
	rec.checkAnswers(v)
	rec.checkRepayments(v)
	rec.checkDrains(v)
	worst := rec.checkColdBudget(v)
	old := rec.checkPurges(v)
	rec.checkDepartures(v)
	rec.checkStartups(v)
	rec.checkProtocol(v)
	slices.SortStableFunc(v.Violations, func(a, b Violation) int {
		switch {
		case a.AtMS < b.AtMS:
			return -1
		case a.AtMS > b.AtMS:
			return 1
		}
		return 0
	})
	v.Metrics = rec.metrics()
	v.Metrics["cold_budget_worst"], v.Metrics["old_copies"] = worst, float64(old)
	return v, nil
}

func (v *Verdict) addViolation(rule string, at float64, who, format string, a ...any) {
	v.Violations = append(v.Violations, Violation{rule, at, who, fmt.Sprintf(format, a...)})
}

// index puts the lines in order and by kind.
func (r *history) index(v *Verdict) {
	open := map[string]int{} // index of an open span by service or link
	end := func(spans []interval, key string, at float64) []interval {
		if i, ok := open[key]; ok {
			spans[i].to = at
			delete(open, key)
		}
		return spans
	}
	for _, l := range r.events {
		switch l.Kind {
		case "lag":
			r.lags = append(r.lags, l)
		case "process", "ready":
			r.processEvents[l.Who] = append(r.processEvents[l.Who], l)
		case "answer":
			if first, ok := r.answers[l.Ref]; ok {
				v.addViolation("answer", l.AtMS, l.Director, "%s was answered %s and then %s", l.Ref, first.What, l.What)
				continue
			}
			r.answers[l.Ref] = l
		case "leave":
			r.departures[l.Ref] = l
		case "news":
			r.listEvents = append(r.listEvents, l)
		case "told":
			r.deliveries[l.Director] = append(r.deliveries[l.Director], l)
			r.discoveryEvents[l.Director] = append(r.discoveryEvents[l.Director], l)
		case "call":
			r.discoveryEvents[l.Director] = append(r.discoveryEvents[l.Director], l)
		case "stream":
			r.discoveryEvents[l.Director] = append(r.discoveryEvents[l.Director], l)
			r.flapped[l.Director] = true
		case "list":
			if l.What == "break" {
				break
			}
			r.serviceFaults = end(r.serviceFaults, "service", l.AtMS)
			if l.What != "well" || (l.Value != 0 && l.Value != 1) {
				open["service"] = len(r.serviceFaults)
				r.serviceFaults = append(r.serviceFaults, interval{l.AtMS, forever})
			}
		case "link":
			spans := &r.clientLinkFaults
			if l.Who == "list" {
				spans = &r.serviceFaults
			} else if l.Who != "clients" {
				break
			}
			*spans = end(*spans, l.Who, l.AtMS)
			if l.What != "well" && l.What != "delay" && l.What != "drip" {
				open[l.Who] = len(*spans)
				*spans = append(*spans, interval{l.AtMS, forever})
			}
		}
	}
}

func overlaps(spans []interval, from, to float64) bool {
	return slices.ContainsFunc(spans, func(s interval) bool { return s.from <= to && s.to >= from })
}

// lagAllowance is what a limit is longer by: the lab's own lateness about that time.
func (r *history) lagAllowance(from, to float64) float64 {
	most := 0.0
	for _, l := range r.lags {
		if l.AtMS >= from-100 && l.AtMS-l.Value <= to+100 {
			most = max(most, l.Value)
		}
	}
	return lagFactor * most
}

// unavailable tells whether a director could not answer in the time: it was down, killed or stopped.
func (r *history) unavailable(director string, from, to float64) bool {
	up, stopped, leaves := false, false, forever
	for _, l := range r.processEvents[director] {
		if l.AtMS > to {
			break
		}
		if l.AtMS > from && (!up || stopped || from > leaves) {
			return true
		}
		switch {
		case l.What == "start":
			up, stopped, leaves = true, false, forever
		case l.What == "stop":
			stopped = true
		case l.What == "cont":
			stopped = false
			if l.AtMS > from {
				return true
			}
		case l.What == "term":
			leaves = l.AtMS + shutdownGrace
		case l.What == "kill", l.What == "gone":
			if up && l.AtMS > from && leaves == forever {
				return true
			}
			if l.What == "gone" {
				up = false
			}
		}
	}
	return !up || stopped || from > leaves
}

// checkAnswers: each request gets exactly one final answer, in time.
func (r *history) checkAnswers(v *Verdict) {
	for _, l := range r.events {
		switch l.Kind {
		case "ask":
			end, ok := r.answers[l.Ref]
			limit := l.TimeoutMS + slack + r.lagAllowance(l.AtMS, l.AtMS+l.TimeoutMS+slack)
			if r.unavailable(l.Director, l.AtMS, l.AtMS+limit) || overlaps(r.clientLinkFaults, l.AtMS, l.AtMS+limit) {
				continue
			}
			gone, left := r.departures[l.Ref]
			switch {
			case left && gone.AtMS <= l.AtMS+limit: // none is owed
			case !ok:
				v.addViolation("answer", l.AtMS, l.Director, "%s was never answered", l.Ref)
			case end.What != "served" && end.What != "refused" && end.What != "failed":
				v.addViolation("answer", l.AtMS, l.Director, "%s: %s", l.Ref, end.What)
			case end.AtMS-l.AtMS > limit:
				v.addViolation("answer", l.AtMS, l.Director, "%s was answered after %.0f ms of %.0f", l.Ref, end.AtMS-l.AtMS, l.TimeoutMS)
			}
		case "stray":
			v.addViolation("answer", l.AtMS, l.Who, "call %d was answered twice, or never made", l.Number)
		}
	}
}

// checkRepayments: what must not run twice runs at most once, and a refusal means that it did not run.
func (r *history) checkRepayments(v *Verdict) {
	runs := map[string]int{}
	for _, l := range r.events {
		if l.Kind != "run" {
			continue
		}
		if runs[l.Ref]++; runs[l.Ref] == 2 {
			v.addViolation("repayment", l.AtMS, l.Who, "%s ran twice", l.Ref)
		}
		if end := r.answers[l.Ref]; end.What == "refused" {
			v.addViolation("repayment", l.AtMS, end.Director, "%s ran and was refused", l.Ref)
		}
	}
}

// notifiedAt is when a director counts as told of an event: when the service has it, whether it is connected or not,
// if the service is well from then on; else when it was written to it, or toldAtMost later. One whose stream the service
// has ended, with the service well else, has the times of streamTold.
func (r *history) notifiedAt(director string, e event) float64 {
	at := e.AtMS
	if strings.HasSuffix(e.What, "unheard") || overlaps(r.serviceFaults, e.AtMS, e.AtMS+drainLimit) {
		at = e.AtMS + notifyLimit
		for _, t := range r.deliveries[director] {
			if t.Number >= e.Number && t.AtMS >= e.AtMS {
				at = min(at, t.AtMS)
				break
			}
		}
		return at
	}
	if r.flapped[director] {
		return r.streamNotifiedAt(director, e)
	}
	return at
}

// streamNotifiedAt is when a director, some of whose streams the service has ended, counts as told of an event: at once, if it
// has a stream that works; else toldBreak after the break and toldStop after the stop that was the last, or when the event
// was written to it after a call of its own, or toldAtMost after the event, whichever comes first.
func (r *history) streamNotifiedAt(director string, e event) float64 {
	deaf, by := false, 0.0
	fault := func(l event) {
		deaf, by = true, l.AtMS+notifyAfterBreak
		if l.What == "silent" {
			by = l.AtMS + notifyAfterSilence
		}
	}
	for _, l := range r.discoveryEvents[director] {
		before := l.AtMS <= e.AtMS
		if !before && deaf && l.AtMS >= by { // it counted as told before this
			break
		}
		switch {
		case before && l.Kind == "call" && l.What == "served":
			deaf = false
		case before && l.Kind == "stream":
			fault(l)
		case before:
		case l.Kind == "told" && l.Number >= e.Number && deaf:
			return min(l.AtMS, e.AtMS+notifyLimit)
		case l.Kind == "told" && l.Number >= e.Number:
			return e.AtMS
		case l.Kind == "stream" && l.Number <= e.Number && (deaf || l.AtMS <= e.AtMS+inFlightWindow): // it ended without the event
			fault(l)
		}
	}
	if !deaf {
		return e.AtMS
	}
	return min(max(by, e.AtMS), e.AtMS+notifyLimit)
}

// describeStreams tells of the last calls of a director and how its describeStreams ended, up to a time; "": none was ended by a flap.
func (r *history) describeStreams(director string, at float64) string {
	if !r.flapped[director] {
		return ""
	}
	var parts []string
	since, up := 0.0, false // the last end or begin of a stream
	for _, l := range r.discoveryEvents[director] {
		if l.AtMS > at {
			break
		}
		switch l.Kind {
		case "call":
			part := fmt.Sprintf("called after %.2f s", max(0, l.AtMS-l.Value-since)/1000)
			if l.What != "served" {
				parts = append(parts, part+", "+l.What)
				continue
			}
			parts = append(parts, part)
			since, up = l.AtMS, true
		case "stream":
			what := map[string]string{"break": "broke", "half": fmt.Sprintf("broke in event %d", l.Number), "silent": "silent"}[l.What]
			parts = append(parts, fmt.Sprintf("up %.2f s, %s", l.Value/1000, what))
			since, up = l.AtMS, false
		}
	}
	last := "without a stream for"
	if up {
		last = "up for"
	}
	parts = append(parts, fmt.Sprintf("%s %.2f s", last, (at-since)/1000))
	return "; streams: " + strings.Join(parts[max(0, len(parts)-streamEventsShown):], "; ")
}

// streamEventsShown is how many of the last happenings of a director's streams a breach names.
const streamEventsShown = 7

// incarnationStart is the present incarnationStart of a director at a time: when its process was started.
func (r *history) incarnationStart(director string, at float64) float64 {
	start := 0.0
	for _, l := range r.processEvents[director] {
		if l.What == "start" && l.AtMS <= at {
			start = l.AtMS
		}
	}
	return start
}

// checkDrains: nothing new to a cache that checkDrains or has gone, as target or source, past drainMost.
func (r *history) checkDrains(v *Verdict) {
	left := map[string]event{}
	for _, e := range r.listEvents {
		if _, ok := left[e.Who]; !ok && (strings.HasPrefix(e.What, "draining") || strings.HasPrefix(e.What, "gone")) {
			left[e.Who] = e
		}
	}
	for _, l := range r.events {
		if l.Kind != "req" && l.Kind != "source" {
			continue
		}
		e, ok := left[l.Who]
		if !ok || l.AtMS < e.AtMS {
			continue
		}
		told := max(r.notifiedAt(l.Director, e), r.incarnationStart(l.Director, l.AtMS))
		if over := l.AtMS - told - drainLimit - slack; over > r.lagAllowance(l.AtMS-drainLimit, l.AtMS) {
			v.addViolation("drain", l.AtMS, l.Director, "%s went to %s %.0f ms after it was told (%s)%s", l.Ref, l.Who, l.AtMS-told, l.Kind,
				r.describeStreams(l.Director, l.AtMS))
		}
	}
}

// checkColdBudget: a server that has just started gets no more from all directors together than it bears. It returns the
// worst share of the budget that any window held.
func (r *history) checkColdBudget(v *Verdict) (worst float64) {
	type state struct {
		up      event
		arrived []event
		broken  bool
	}
	cold := map[string]*state{}
	ready := map[string]event{}
	for _, e := range r.listEvents {
		if strings.HasPrefix(e.What, "ready") {
			ready[e.Who] = e
		}
	}
	for _, l := range r.events {
		switch l.Kind {
		case "life":
			if l.What == "up" && l.Multiple > 0 {
				cold[l.Who] = &state{up: l}
			}
		case "req", "source":
			s := cold[l.Who]
			if s == nil || l.Work == 0 {
				continue
			}
			share := s.up.ColdFrom + (1-s.up.ColdFrom)*(l.AtMS-s.up.AtMS)/max(s.up.Ramp, 1)
			if share >= 1 {
				delete(cold, l.Who)
				continue
			}
			s.arrived = append(s.arrived, l)
			for l.AtMS-s.arrived[0].AtMS > s.up.Fall {
				s.arrived = s.arrived[1:]
			}
			sum, told := 0.0, 0.0
			for _, a := range s.arrived {
				sum += a.Work
				if e, ok := ready[l.Who]; !ok || r.notifiedAt(a.Director, e) <= a.AtMS {
					told += a.Work
				}
			}
			part := sum / (s.up.Multiple * s.up.Weight * share * s.up.Fall / 1000)
			worst = max(worst, part)
			if part > coldBudgetLimit && told >= sum*2/3 && !s.broken {
				s.broken = true
				v.addViolation("cold", l.AtMS, l.Who, "%.2f times its budget within %.0f ms, from %d attempts", part, s.up.Fall, len(s.arrived))
			}
		}
	}
	return worst
}

// checkPurges: no attempt made later than purgeMost after a purge was told may be answered from an older copy. It returns how
// many attempts made after a purge, told or not, were answered from an older copy.
func (r *history) checkPurges(v *Verdict) (old int) {
	sent := map[string]event{} // the latest request of a ref at a server
	object := map[string]string{}
	for _, l := range r.events {
		switch l.Kind {
		case "req":
			sent[l.Ref+" "+l.Who], object[l.Ref] = l, l.Object
		case "done":
			if l.What != "OK" {
				continue
			}
			q := sent[l.Ref+" "+l.Who]
			counted := false
			for _, e := range r.listEvents {
				if e.Object == "" || e.Object != object[l.Ref] || l.Since >= e.Since {
					continue
				}
				if q.AtMS > e.AtMS && !counted {
					counted = true
					old++
				}
				told := max(r.notifiedAt(l.Director, e), r.incarnationStart(l.Director, q.AtMS))
				if over := q.AtMS - told - purgeLimit - slack; over > r.lagAllowance(q.AtMS-purgeLimit, q.AtMS) {
					v.addViolation("purge", q.AtMS, l.Director, "%s got a copy of %s from %.0f ms before its purge, asked for %.0f ms after that was told%s",
						l.Ref, e.Object, e.Since-l.Since, q.AtMS-told, r.describeStreams(l.Director, q.AtMS))
				}
			}
		}
	}
	return old
}

// checkDepartures: nothing is begun for a client that has gone. A few cases are let pass, as a director may have been stopped
// with the decision made; but of requests that waited as their clients left, a quarter at most is sent on later.
func (r *history) checkDepartures(v *Verdict) {
	var late []event
	begun, long := map[string]bool{}, map[string]bool{}
	for _, l := range r.events {
		gone, left := r.departures[l.Ref]
		if l.Kind != "req" || !left {
			continue
		}
		if l.AtMS <= gone.AtMS {
			begun[l.Ref] = true
		}
		if l.AtMS-gone.AtMS > departureGrace+r.lagAllowance(gone.AtMS, l.AtMS) {
			late = append(late, l)
		}
		if l.AtMS-gone.AtMS > departureLate+r.lagAllowance(gone.AtMS, l.AtMS) {
			long[l.Ref] = true
		}
	}
	for i, l := range late {
		if i >= departuresAllowed {
			v.addViolation("left", l.AtMS, l.Director, "%s was begun %.0f ms after its client had gone", l.Ref, l.AtMS-r.departures[l.Ref].AtMS)
		}
	}
	waited, sent := 0, 0
	for ref := range r.departures {
		if !begun[ref] {
			waited++
			if long[ref] {
				sent++
			}
		}
	}
	if sent > departuresAllowed/2 && sent*4 > waited {
		v.addViolation("left", 0, "", "%d of %d requests whose clients left while they waited were sent on all the same", sent, waited)
	}
}

// checkStartups: nine in ten processes that are started, and neither ended nor stopped meanwhile, are ready in time.
func (r *history) checkStartups(v *Verdict) {
	started, late, who := 0, 0, ""
	end := r.events[len(r.events)-1].AtMS
	for name, lives := range r.processEvents {
		for i, l := range lives {
			if l.What != "start" || l.AtMS+startupLimit > end {
				continue
			}
			next := event{AtMS: forever}
			if i+1 < len(lives) {
				next = lives[i+1]
			}
			switch {
			case next.Kind == "ready" && next.AtMS-l.AtMS <= startupLimit:
				started++
			case next.Kind == "ready" || next.AtMS-l.AtMS > startupLimit:
				started, late, who = started+1, late+1, max(who, name)
			} // else it was ended, or stopped, before it could be
		}
	}
	if late*10 > started {
		v.addViolation("ready", 0, who, "%d of %d processes were not ready within %.0f s of their start", late, started, startupLimit/1000)
	}
}

// checkProtocol: what a director sent that can't be used.
func (r *history) checkProtocol(v *Verdict) {
	for _, l := range r.events {
		if l.Kind == "fault" {
			v.addViolation("protocol", l.AtMS, l.Who, "%s", l.What)
		}
	}
	for who, lives := range r.processEvents {
		asked := false // to end
		for _, l := range lives {
			switch l.What {
			case "kill", "term":
				asked = true
			case "start":
				asked = false
			case "gone":
				if !asked && l.AtMS < r.events[len(r.events)-1].AtMS && !r.loadEnded(l.AtMS) {
					v.addViolation("crash", l.AtMS, who, "ended unasked: %s", l.Class)
				}
			}
		}
	}
}

// loadEnded tells that the load had ended, and the lab is taking all down.
func (r *history) loadEnded(at float64) bool {
	for _, l := range r.events {
		if l.Kind == "load" && l.What == "end" && l.AtMS <= at {
			return true
		}
	}
	return false
}
