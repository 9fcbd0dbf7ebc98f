package routing

import (
	"cmp"
	"math"
	"slices"
)

// Limits of the work out at servers.

// atLimit tells that a side has as much out as it answers in time.
func (d *Router) atLimit(s *roleLoad, work float64) bool {
	return s.concurrencyLimit.Full(d.now, s.inFlightWork, work, d.rng.Float64)
}

// linkSaturated tells that a cache has more out than a part of what its link, at its pace, can send within the aim.
func (d *Router) linkSaturated(r *requestState, t *serverState, part float64) bool {
	c, work := &d.settings.Classes[r.Class], d.transferWork(r)
	return t.weightIsCapacity && t.totalInFlightWork+work > part*d.effectiveWeight(t)/t.sharingDirectors*(c.LatencyObjective.Seconds()+c.LatencyObjectivePerSize*work)
}

// transferWork is what a request counts on budgets and limits, in seconds of sending: never under its class's mean.
func (d *Router) transferWork(r *requestState) float64 {
	return max(d.classes[r.Class].work.Value, r.declaredWork)
}

// largestMeanWork is the mean sending time of the class with the largestMeanWork objects, in seconds.
func (d *Router) largestMeanWork() float64 {
	byWork := func(a, b classStats) int { return cmp.Compare(a.work.Value, b.work.Value) }
	return slices.MaxFunc(d.classes, byWork).work.Value
}

// adjustLimit keeps the limits of our work out. A limit belongs to what was late or refused: a hit's to the
// cache, a fill's to its source; work in time near it raises it. All that are late in one crowd lower it
// together to a part of the load beside which they would have been in time. Harm: large objects look late.
func (d *Router) adjustLimit(a *attemptState, o Outcome) {
	t, s := attributedTo(a)
	switch {
	case a.target.tier != edgeTier:
	case o.FillStatus == FillStatusHit, o.Result == TimedOut && a.target.lastAnswerAsTarget <= a.sentAt:
		t, s = a.target, &a.target.asTarget
	case o.Result == TimedOut && a.source != nil: // the cache speaks, so a source hangs
		t, s = a.source, &a.source.asSource
	}
	if a.halfOpenProbe || (o.Result != OK && o.Result != Rejected && o.Result != TimedOut) {
		return
	}
	late := o.Elapsed > a.latencyObjective
	switch to := &a.target.asTarget; {
	case s == to && (o.FillStatus == FillStatusHit || o.Result != OK):
		to.lastHitLate.Record(d.now, late || o.Result != OK)
	case a.target.tier == edgeTier && o.Result == OK && o.Elapsed-o.SourceWait > a.latencyObjective && to.lastHitLate.Holds(d.now):
		t, s = a.target, to // hits are late there too, and the source did not keep it waiting
	}
	if o.Result == OK && !late && (s == &a.target.asTarget || o.FillStatus == FillStatusFilledByOrigin) {
		s.lastTimelySentAt = max(s.lastTimelySentAt, a.sentAt)
	}
	if o.Result == TimedOut && d.seemsLost(a) {
		return // guards hits against refusals beside a cache with room: nothing is crowded
	}
	if o.Result == OK && !late {
		s.concurrencyLimit.Increase(d.now, s.inFlightWork, a.work)
		return
	}
	top := max(initialLimitTransfers*a.work/t.sharingDirectors, maxLimitLoadFactor*(s.inFlightWork+a.work))
	fit := limitFitFraction * max(a.inFlightWorkAtSend, s.inFlightWork+a.work) * a.latencyObjective.Seconds() / max(o.Elapsed, a.latencyObjective).Seconds()
	s.concurrencyLimit.Decrease(d.now, top, fit, minLimitTransfers*d.largestMeanWork()/t.sharingDirectors)
}

// attributedTo is the side that an attempt counts on: a likely fill on its source, a hit on the cache, and what
// goes to a parent or the origin like a fill from it. Fills that hang must not shut hits out.
func attributedTo(a *attemptState) (*serverState, *roleLoad) {
	switch {
	case a.target.tier != edgeTier:
		return a.target, &a.target.asSource
	case a.likelyFill:
		return a.source, &a.source.asSource
	}
	return a.target, &a.target.asTarget
}

// seemsLost: overdue beyond its size and the cache's pace, while what was sent after it came the same way in time.
func (d *Router) seemsLost(a *attemptState) bool {
	_, side := attributedTo(a)
	should := a.declaredWork
	if a.likelyFill {
		should += d.originFillWait.Value
	}
	due := hedgeLatencyFactor*should*math.Exp(max(0, a.target.logLatencyRatio)) + hedgeObjectiveFraction*d.settings.Classes[a.class].LatencyObjective.Seconds()
	return side.lastTimelySentAt > a.sentAt && (d.now-a.sentAt).Seconds() >= due
}
