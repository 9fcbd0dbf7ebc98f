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

// line is a line of the record. Times are milliseconds.
type line struct {
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
	slack      = 50.0
	drainMost  = 2000.0
	purgeMost  = 500.0
	toldAtMost = 7000.0
	toldBreak  = 2000.0  // where the service broke a stream off: after the break
	toldStop   = 4000.0  // where it stopped and left it open: after the stop
	toldCross  = 100.0   // a stream that ends so soon after an event may not have brought it any more
	leftMost   = 100.0   // after its client has gone, an attempt of a request may still begin for so long
	leftLong   = 300.0   // one that waited until then is not sent on at all
	leftSome   = 2       // cases that are let pass
	readyMost  = 10000.0 // nine in ten processes that are started are ready by then
	stopTakes  = 700.0   // after SIGTERM requests are owed an answer for so long
	lagTimes   = 3.0     // times the lab's own lateness that a limit is longer
	budgetOver = 1.0     // of the cold budget
)

// record is what the lines come to, by what the rules ask of them.
type record struct {
	lines  []line
	lags   []line
	lives  map[string][]line // of directors: process and ready
	ends   map[string]line   // answers by ref
	news   []line
	told   map[string][]line // by director
	lists  map[string][]line // by director: its calls of the list service, what it was told, and ends of its streams
	flaps  map[string]bool   // directors of which streams were ended by a flap
	unwell []span            // of the list service or of links to it
	links  []span            // of links to clients, with what was wrong
	left   map[string]line   // clients that closed or cancelled, by ref
}

type span struct{ from, to float64 }

const forever = 1e15

// Check reads a record and judges it.
func Check(r io.Reader) (*Verdict, error) {
	rec := &record{left: map[string]line{}, lives: map[string][]line{}, ends: map[string]line{}, told: map[string][]line{},
		lists: map[string][]line{}, flaps: map[string]bool{}}
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for n := 1; s.Scan(); n++ {
		var l line
		if err := json.Unmarshal(s.Bytes(), &l); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if l.Kind == "" {
			return nil, fmt.Errorf("line %d: no kind", n)
		}
		rec.lines = append(rec.lines, l)
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	v := &Verdict{}
	rec.sort(v)
	rec.answers(v)
	rec.repayments(v)
	rec.drains(v)
	worst := rec.cold(v)
	old := rec.purges(v)
	rec.leavers(v)
	rec.starts(v)
	rec.faults(v)
	slices.SortStableFunc(v.Violations, func(a, b Violation) int {
		switch {
		case a.AtMS < b.AtMS:
			return -1
		case a.AtMS > b.AtMS:
			return 1
		}
		return 0
	})
	v.Metrics = rec.figures()
	v.Metrics["cold_budget_worst"], v.Metrics["old_copies"] = worst, float64(old)
	return v, nil
}

func (v *Verdict) broke(rule string, at float64, who, format string, a ...any) {
	v.Violations = append(v.Violations, Violation{rule, at, who, fmt.Sprintf(format, a...)})
}

// sort puts the lines in order and by kind.
func (r *record) sort(v *Verdict) {
	open := map[string]int{} // index of an open span by service or link
	end := func(spans []span, key string, at float64) []span {
		if i, ok := open[key]; ok {
			spans[i].to = at
			delete(open, key)
		}
		return spans
	}
	for _, l := range r.lines {
		switch l.Kind {
		case "lag":
			r.lags = append(r.lags, l)
		case "process", "ready":
			r.lives[l.Who] = append(r.lives[l.Who], l)
		case "answer":
			if first, ok := r.ends[l.Ref]; ok {
				v.broke("answer", l.AtMS, l.Director, "%s was answered %s and then %s", l.Ref, first.What, l.What)
				continue
			}
			r.ends[l.Ref] = l
		case "leave":
			r.left[l.Ref] = l
		case "news":
			r.news = append(r.news, l)
		case "told":
			r.told[l.Director] = append(r.told[l.Director], l)
			r.lists[l.Director] = append(r.lists[l.Director], l)
		case "call":
			r.lists[l.Director] = append(r.lists[l.Director], l)
		case "stream":
			r.lists[l.Director] = append(r.lists[l.Director], l)
			r.flaps[l.Director] = true
		case "list":
			if l.What == "break" {
				break
			}
			r.unwell = end(r.unwell, "service", l.AtMS)
			if l.What != "well" || (l.Value != 0 && l.Value != 1) {
				open["service"] = len(r.unwell)
				r.unwell = append(r.unwell, span{l.AtMS, forever})
			}
		case "link":
			spans := &r.links
			if l.Who == "list" {
				spans = &r.unwell
			} else if l.Who != "clients" {
				break
			}
			*spans = end(*spans, l.Who, l.AtMS)
			if l.What != "well" && l.What != "delay" && l.What != "drip" {
				open[l.Who] = len(*spans)
				*spans = append(*spans, span{l.AtMS, forever})
			}
		}
	}
}

func touches(spans []span, from, to float64) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from <= to && s.to >= from })
}

// lag is what a limit is longer by: the lab's own lateness about that time.
func (r *record) lag(from, to float64) float64 {
	most := 0.0
	for _, l := range r.lags {
		if l.AtMS >= from-100 && l.AtMS-l.Value <= to+100 {
			most = max(most, l.Value)
		}
	}
	return lagTimes * most
}

// excused tells whether a director could not answer in the time: it was down, killed or stopped.
func (r *record) excused(director string, from, to float64) bool {
	up, stopped, leaves := false, false, forever
	for _, l := range r.lives[director] {
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
			leaves = l.AtMS + stopTakes
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

// answers: each request gets exactly one final answer, in time.
func (r *record) answers(v *Verdict) {
	for _, l := range r.lines {
		switch l.Kind {
		case "ask":
			end, ok := r.ends[l.Ref]
			limit := l.TimeoutMS + slack + r.lag(l.AtMS, l.AtMS+l.TimeoutMS+slack)
			if r.excused(l.Director, l.AtMS, l.AtMS+limit) || touches(r.links, l.AtMS, l.AtMS+limit) {
				continue
			}
			gone, left := r.left[l.Ref]
			switch {
			case left && gone.AtMS <= l.AtMS+limit: // none is owed
			case !ok:
				v.broke("answer", l.AtMS, l.Director, "%s was never answered", l.Ref)
			case end.What != "served" && end.What != "refused" && end.What != "failed":
				v.broke("answer", l.AtMS, l.Director, "%s: %s", l.Ref, end.What)
			case end.AtMS-l.AtMS > limit:
				v.broke("answer", l.AtMS, l.Director, "%s was answered after %.0f ms of %.0f", l.Ref, end.AtMS-l.AtMS, l.TimeoutMS)
			}
		case "stray":
			v.broke("answer", l.AtMS, l.Who, "call %d was answered twice, or never made", l.Number)
		}
	}
}

// repayments: what must not run twice runs at most once, and a refusal means that it did not run.
func (r *record) repayments(v *Verdict) {
	runs := map[string]int{}
	for _, l := range r.lines {
		if l.Kind != "run" {
			continue
		}
		if runs[l.Ref]++; runs[l.Ref] == 2 {
			v.broke("repayment", l.AtMS, l.Who, "%s ran twice", l.Ref)
		}
		if end := r.ends[l.Ref]; end.What == "refused" {
			v.broke("repayment", l.AtMS, end.Director, "%s ran and was refused", l.Ref)
		}
	}
}

// heard is when a director counts as told of an event: when the service has it, whether it is connected or not,
// if the service is well from then on; else when it was written to it, or toldAtMost later. One whose stream the service
// has ended, with the service well else, has the times of streamTold.
func (r *record) heard(director string, e line) float64 {
	at := e.AtMS
	if strings.HasSuffix(e.What, "unheard") || touches(r.unwell, e.AtMS, e.AtMS+drainMost) {
		at = e.AtMS + toldAtMost
		for _, t := range r.told[director] {
			if t.Number >= e.Number && t.AtMS >= e.AtMS {
				at = min(at, t.AtMS)
				break
			}
		}
		return at
	}
	if r.flaps[director] {
		return r.streamTold(director, e)
	}
	return at
}

// streamTold is when a director, some of whose streams the service has ended, counts as told of an event: at once, if it
// has a stream that works; else toldBreak after the break and toldStop after the stop that was the last, or when the event
// was written to it after a call of its own, or toldAtMost after the event, whichever comes first.
func (r *record) streamTold(director string, e line) float64 {
	deaf, by := false, 0.0
	fault := func(l line) {
		deaf, by = true, l.AtMS+toldBreak
		if l.What == "silent" {
			by = l.AtMS + toldStop
		}
	}
	for _, l := range r.lists[director] {
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
			return min(l.AtMS, e.AtMS+toldAtMost)
		case l.Kind == "told" && l.Number >= e.Number:
			return e.AtMS
		case l.Kind == "stream" && l.Number <= e.Number && (deaf || l.AtMS <= e.AtMS+toldCross): // it ended without the event
			fault(l)
		}
	}
	if !deaf {
		return e.AtMS
	}
	return min(max(by, e.AtMS), e.AtMS+toldAtMost)
}

// streams tells of the last calls of a director and how its streams ended, up to a time; "": none was ended by a flap.
func (r *record) streams(director string, at float64) string {
	if !r.flaps[director] {
		return ""
	}
	var parts []string
	since, up := 0.0, false // the last end or begin of a stream
	for _, l := range r.lists[director] {
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
	return "; streams: " + strings.Join(parts[max(0, len(parts)-toldParts):], "; ")
}

// toldParts is how many of the last happenings of a director's streams a breach names.
const toldParts = 7

// life is the present life of a director at a time: when its process was started.
func (r *record) life(director string, at float64) float64 {
	start := 0.0
	for _, l := range r.lives[director] {
		if l.What == "start" && l.AtMS <= at {
			start = l.AtMS
		}
	}
	return start
}

// drains: nothing new to a cache that drains or has gone, as target or source, past drainMost.
func (r *record) drains(v *Verdict) {
	left := map[string]line{}
	for _, e := range r.news {
		if _, ok := left[e.Who]; !ok && (strings.HasPrefix(e.What, "draining") || strings.HasPrefix(e.What, "gone")) {
			left[e.Who] = e
		}
	}
	for _, l := range r.lines {
		if l.Kind != "req" && l.Kind != "source" {
			continue
		}
		e, ok := left[l.Who]
		if !ok || l.AtMS < e.AtMS {
			continue
		}
		told := max(r.heard(l.Director, e), r.life(l.Director, l.AtMS))
		if over := l.AtMS - told - drainMost - slack; over > r.lag(l.AtMS-drainMost, l.AtMS) {
			v.broke("drain", l.AtMS, l.Director, "%s went to %s %.0f ms after it was told (%s)%s", l.Ref, l.Who, l.AtMS-told, l.Kind,
				r.streams(l.Director, l.AtMS))
		}
	}
}

// cold: a server that has just started gets no more from all directors together than it bears. It returns the
// worst share of the budget that any window held.
func (r *record) cold(v *Verdict) (worst float64) {
	type state struct {
		up      line
		arrived []line
		broken  bool
	}
	cold := map[string]*state{}
	ready := map[string]line{}
	for _, e := range r.news {
		if strings.HasPrefix(e.What, "ready") {
			ready[e.Who] = e
		}
	}
	for _, l := range r.lines {
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
				if e, ok := ready[l.Who]; !ok || r.heard(a.Director, e) <= a.AtMS {
					told += a.Work
				}
			}
			part := sum / (s.up.Multiple * s.up.Weight * share * s.up.Fall / 1000)
			worst = max(worst, part)
			if part > budgetOver && told >= sum*2/3 && !s.broken {
				s.broken = true
				v.broke("cold", l.AtMS, l.Who, "%.2f times its budget within %.0f ms, from %d attempts", part, s.up.Fall, len(s.arrived))
			}
		}
	}
	return worst
}

// purges: no attempt made later than purgeMost after a purge was told may be answered from an older copy. It returns how
// many attempts made after a purge, told or not, were answered from an older copy.
func (r *record) purges(v *Verdict) (old int) {
	sent := map[string]line{} // the latest request of a ref at a server
	object := map[string]string{}
	for _, l := range r.lines {
		switch l.Kind {
		case "req":
			sent[l.Ref+" "+l.Who], object[l.Ref] = l, l.Object
		case "done":
			if l.What != "OK" {
				continue
			}
			q := sent[l.Ref+" "+l.Who]
			counted := false
			for _, e := range r.news {
				if e.Object == "" || e.Object != object[l.Ref] || l.Since >= e.Since {
					continue
				}
				if q.AtMS > e.AtMS && !counted {
					counted = true
					old++
				}
				told := max(r.heard(l.Director, e), r.life(l.Director, q.AtMS))
				if over := q.AtMS - told - purgeMost - slack; over > r.lag(q.AtMS-purgeMost, q.AtMS) {
					v.broke("purge", q.AtMS, l.Director, "%s got a copy of %s from %.0f ms before its purge, asked for %.0f ms after that was told%s",
						l.Ref, e.Object, e.Since-l.Since, q.AtMS-told, r.streams(l.Director, q.AtMS))
				}
			}
		}
	}
	return old
}

// leavers: nothing is begun for a client that has gone. A few cases are let pass, as a director may have been stopped
// with the decision made; but of requests that waited as their clients left, a quarter at most is sent on later.
func (r *record) leavers(v *Verdict) {
	var late []line
	begun, long := map[string]bool{}, map[string]bool{}
	for _, l := range r.lines {
		gone, left := r.left[l.Ref]
		if l.Kind != "req" || !left {
			continue
		}
		if l.AtMS <= gone.AtMS {
			begun[l.Ref] = true
		}
		if l.AtMS-gone.AtMS > leftMost+r.lag(gone.AtMS, l.AtMS) {
			late = append(late, l)
		}
		if l.AtMS-gone.AtMS > leftLong+r.lag(gone.AtMS, l.AtMS) {
			long[l.Ref] = true
		}
	}
	for i, l := range late {
		if i >= leftSome {
			v.broke("left", l.AtMS, l.Director, "%s was begun %.0f ms after its client had gone", l.Ref, l.AtMS-r.left[l.Ref].AtMS)
		}
	}
	waited, sent := 0, 0
	for ref := range r.left {
		if !begun[ref] {
			waited++
			if long[ref] {
				sent++
			}
		}
	}
	if sent > leftSome/2 && sent*4 > waited {
		v.broke("left", 0, "", "%d of %d requests whose clients left while they waited were sent on all the same", sent, waited)
	}
}

// starts: nine in ten processes that are started, and neither ended nor stopped meanwhile, are ready in time.
func (r *record) starts(v *Verdict) {
	started, late, who := 0, 0, ""
	end := r.lines[len(r.lines)-1].AtMS
	for name, lives := range r.lives {
		for i, l := range lives {
			if l.What != "start" || l.AtMS+readyMost > end {
				continue
			}
			next := line{AtMS: forever}
			if i+1 < len(lives) {
				next = lives[i+1]
			}
			switch {
			case next.Kind == "ready" && next.AtMS-l.AtMS <= readyMost:
				started++
			case next.Kind == "ready" || next.AtMS-l.AtMS > readyMost:
				started, late, who = started+1, late+1, max(who, name)
			} // else it was ended, or stopped, before it could be
		}
	}
	if late*10 > started {
		v.broke("ready", 0, who, "%d of %d processes were not ready within %.0f s of their start", late, started, readyMost/1000)
	}
}

// faults: what a director sent that can't be used.
func (r *record) faults(v *Verdict) {
	for _, l := range r.lines {
		if l.Kind == "fault" {
			v.broke("protocol", l.AtMS, l.Who, "%s", l.What)
		}
	}
	for who, lives := range r.lives {
		asked := false // to end
		for _, l := range lives {
			switch l.What {
			case "kill", "term":
				asked = true
			case "start":
				asked = false
			case "gone":
				if !asked && l.AtMS < r.lines[len(r.lines)-1].AtMS && !r.over(l.AtMS) {
					v.broke("crash", l.AtMS, who, "ended unasked: %s", l.Class)
				}
			}
		}
	}
}

// over tells that the load had ended, and the lab is taking all down.
func (r *record) over(at float64) bool {
	for _, l := range r.lines {
		if l.Kind == "load" && l.What == "end" && l.AtMS <= at {
			return true
		}
	}
	return false
}
