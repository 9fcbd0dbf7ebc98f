package routing

import (
	"cmp"
	"math"
	"slices"
)

// Limits of the work out at servers.

// full tells that a side has as much out as it answers in time.
func (d *Router) full(s *side, work float64) bool {
	return s.limit.Full(d.now, s.load, work, d.rng.Float64)
}

// swamped tells that a cache has more out than a part of what its link, at its pace, can send within the aim.
func (d *Router) swamped(r *request, t *server, part float64) bool {
	c, work := &d.s.Classes[r.Class], d.cost(r)
	return t.sized && t.sending+work > part*d.weight(t)/t.seats*(c.LatencyObjective.Seconds()+c.LatencyObjectivePerSize*work)
}

// cost is what a request counts on budgets and limits, in seconds of sending: never under its class's mean.
func (d *Router) cost(r *request) float64 { return max(d.classes[r.Class].work.Value, r.told) }

// largest is the mean sending time of the class with the largest objects, in seconds.
func (d *Router) largest() float64 {
	byWork := func(a, b classStats) int { return cmp.Compare(a.work.Value, b.work.Value) }
	return slices.MaxFunc(d.classes, byWork).work.Value
}

// throttle keeps the limits of our work out. A limit belongs to what was late or refused: a hit's to the
// cache, a fill's to its source; work in time near it raises it. All that are late in one crowd lower it
// together to a part of the load beside which they would have been in time. Harm: large objects look late.
func (d *Router) throttle(a *attempt, o Outcome) {
	t, s := blamed(a)
	switch {
	case a.target.role != edge:
	case o.FillStatus == FillStatusHit, o.Result == TimedOut && a.target.heard <= a.sent:
		t, s = a.target, &a.target.to
	case o.Result == TimedOut && a.source != nil: // the cache speaks, so a source hangs
		t, s = a.source, &a.source.from
	}
	if a.look || (o.Result != OK && o.Result != Rejected && o.Result != TimedOut) {
		return
	}
	late := o.Elapsed > a.aim
	switch to := &a.target.to; {
	case s == to && (o.FillStatus == FillStatusHit || o.Result != OK):
		to.late.Record(d.now, late || o.Result != OK)
	case a.target.role == edge && o.Result == OK && o.Elapsed-o.SourceWait > a.aim && to.late.Holds(d.now):
		t, s = a.target, to // hits are late there too, and the source did not keep it waiting
	}
	if o.Result == OK && !late && (s == &a.target.to || o.FillStatus == FillStatusFilledByOrigin) {
		s.good = max(s.good, a.sent)
	}
	if o.Result == TimedOut && d.lost(a) {
		return // guards hits against refusals beside a cache with room: nothing is crowded
	}
	if o.Result == OK && !late {
		s.limit.Increase(d.now, s.load, a.work)
		return
	}
	top := max(limitFirst*a.work/t.seats, limitMost*(s.load+a.work))
	fit := limitFit * max(a.load, s.load+a.work) * a.aim.Seconds() / max(o.Elapsed, a.aim).Seconds()
	s.limit.Decrease(d.now, top, fit, limitLeast*d.largest()/t.seats)
}

// blamed is the side that an attempt counts on: a likely fill on its source, a hit on the cache, and what
// goes to a parent or the origin like a fill from it. Fills that hang must not shut hits out.
func blamed(a *attempt) (*server, *side) {
	switch {
	case a.target.role != edge:
		return a.target, &a.target.from
	case a.fill:
		return a.source, &a.source.from
	}
	return a.target, &a.target.to
}

// lost: overdue beyond its size and the cache's pace, while what was sent after it came the same way in time.
func (d *Router) lost(a *attempt) bool {
	_, side := blamed(a)
	should := a.told
	if a.fill {
		should += d.waited.Value
	}
	due := copyPace*should*math.Exp(max(0, a.target.pace)) + copyAfter*d.s.Classes[a.class].LatencyObjective.Seconds()
	return side.good > a.sent && (d.now-a.sent).Seconds() >= due
}
