package routing

import (
	"math"
	"slices"

	"shaleyard/internal/overload"
)

// What the end of an attempt means for its request and for what is believed of servers.

// handleOutcome takes the one end of an attempt.
func (d *Router) handleOutcome(o Outcome) {
	k := uint64(o.ID)<<16 | uint64(o.Attempt)
	a, r := d.attempts[k], d.requests[o.ID]
	if a == nil {
		return
	}
	delete(d.attempts, k)
	is := func(b *attemptState) bool { return a == b }
	a.target.asTarget.inFlight = slices.DeleteFunc(a.target.asTarget.inFlight, is)
	if a.source != nil {
		a.source.asSource.inFlight = slices.DeleteFunc(a.source.asSource.inFlight, is)
	}
	a.inFlight = false
	a.target.totalInFlightWork -= a.work
	_, side := attributedTo(a)
	side.inFlightWork -= a.work
	a.mayHaveExecuted = !slices.Contains([]Result{Rejected, ConnectFailed, Abandoned, Miss, LocalResourcesExhausted, Unreachable}, o.Result)
	d.recordOutcome(a, r, o)
	if r == nil {
		return
	}
	r.inFlight--
	if r.hedges > 0 && a.number > 0 && o.Result == OK {
		d.hedgeTokens = min(d.hedgeTokens+hedgeTokensPerWin, maxHedgeTokens)
	}
	switch {
	case o.RequestDone:
		d.forgetRequest(r)
	case r.inFlight > 0:
	case d.now >= r.Deadline:
		d.endRequest(r, ReasonDeadlineExceeded)
	case suggestsOverload(o) && !d.retryBudget.TryWithdraw(d.now, r.uncacheable):
		d.endRequest(r, ReasonRetryBudgetExhausted)
	case d.applyFailure(r, a, o), a.mayHaveExecuted && o.Result != Errored && !d.settings.SiteLimits.HedgingAllowed:
		d.postpone(r) // also where what calls an attempt off may be overtaken: two would be out at once
	default:
		d.advance(r)
	}
}

// suggestsOverload tells that an attempt has failed as in a crowd: to try again at once adds to it.
func suggestsOverload(o Outcome) bool {
	return o.Result == Rejected || o.Result == ConnectFailed || o.Result == TimedOut
}

// applyFailure notes what a failure rules out for its request, and tells whether it must wait: who is full stays
// full for a moment, and to go elsewhere at once doubles a jam. Harm: it waits though another had room.
func (d *Router) applyFailure(r *requestState, a *attemptState, o Outcome) (wait bool) {
	src, full := a.source, o.Result == Rejected && (o.FillStatus == FillStatusUnknown || o.FillStatus == FillStatusNoFillSlot)
	untold := full && o.FillStatus == FillStatusUnknown && d.settings.Tiers.FillStatusReported != "all" // who refused: the source may have
	switch {
	case src == nil || (full && !untold) || (o.Result != Miss && o.Result != Rejected && o.Result != TimedOut):
	case src.tier == edgeTier:
		r.minSourceTier = max(r.minSourceTier, parentTier)
		for i, h := range r.location.hints {
			if h.server == src {
				r.location.hints[i] = locationHint{}
			}
		}
	case !src.ejected && !a.halfOpenProbe:
		r.minSourceTier = originTier
	}
	switch o.Result {
	case Errored, TimedOut, ConnectFailed, Reset, Unreachable:
		r.avoidTargets = append(r.avoidTargets, a.target)
	case LocalResourcesExhausted:
		return true // no other server can be reached either
	case Miss:
		if r.triedOnlyIfCached = r.triedOnlyIfCached || (src == nil && o.FillStatus == FillStatusCoalesced); o.FillStatus != FillStatusCoalesced {
			r.onlyIfCachedCount = overload.MaxProbes // none fills it: it may be filled at once
		}
		return src == nil && r.triedOnlyIfCached && !a.halfOpenProbe && !r.shielded
	}
	return full
}

// recordOutcome updates what we know of the servers, the class and the table.
func (d *Router) recordOutcome(a *attemptState, r *requestState, o Outcome) {
	t := a.target
	if a.halfOpenProbe {
		probedServer(a).probing = false
	}
	switch o.Result {
	case Cancelled, Abandoned, LocalResourcesExhausted, Unreachable:
		return // says nothing
	}
	d.retryBudget.RecordAttempt(d.now, o.Result == OK, suggestsOverload(o))
	failed := o.FillStatus == FillStatusOriginFailed
	if a.source != nil && a.source.tier != edgeTier && (failed || o.FillStatus == FillStatusFilledByOrigin) {
		late := o.Elapsed > a.latencyObjective && o.Elapsed-o.SourceWait <= a.latencyObjective // by the source, not by the cache or the link
		d.originShield.RecordAnswer(d.now, a.sentAt, late || failed)
	}
	d.adjustLimit(a, o)
	d.recordHealth(a, o)
	if o.Result == OK || o.Result == TimedOut {
		d.sampleLatencyRatio(a)
	}
	if src := a.source; o.FillStatus == FillStatusHit && src != nil && src.warmingUpSince != 0 { // no fill reached the source
		src.slowStartBucket.Spend(-max(0, a.work-d.slowStartRate(src)*(d.now-a.sentAt).Seconds()))
	}
	if o.Result != OK {
		return
	}
	c := &d.classes[a.class]
	if c.latency.Observe(o.Elapsed.Seconds()); o.FillStatus == FillStatusFilledByOrigin {
		d.originFillWait.Observe(o.SourceWait.Seconds())
	}
	if r != nil && r.declaredWork > 0 {
		c.work.Observe(r.declaredWork)
	} else if o.FillStatus == FillStatusHit || o.FillStatus == FillStatusUnknown {
		c.work.Observe(o.Elapsed.Seconds())
	}
	t.recentWork = t.recentWork*math.Exp(-float64(d.now-t.recentWorkAt)/float64(recentWorkTimeConstant)) + a.work
	t.recentWorkAt = d.now
	if r != nil && t.tier == edgeTier && !r.uncacheable {
		if r.location.hints[0].server != t {
			r.location.hints[1] = r.location.hints[0]
		}
		r.location.hints[0] = locationHint{t, d.now}
	}
}

// recordHealth takes an outcome as evidence on its target and its source.
func (d *Router) recordHealth(a *attemptState, o Outcome) {
	t, src := a.target, a.source
	switch o.Result {
	case OK, Miss, Rejected, Errored:
		t.lastAnswerAsTarget = d.now
		t.siteMember.RecordResponse(d.now)
		if t.ejected && (a.halfOpenProbe || o.Result == OK) {
			d.readmit(t)
		}
	case ConnectFailed:
		t.siteMember.RecordRefusal(d.now)
		d.eject(t, "connection failed")
	case TimedOut:
		t.siteMember.RecordTimeout(d.now, a.sentAt)
	}
	if a.halfOpenProbe && (o.Result == TimedOut || o.Result == Reset) { // else a reset tells nothing
		d.eject(probedServer(a), "look unanswered")
	}
	untold := o.FillStatus == FillStatusUnknown && (o.Result == OK || o.Result == Miss)
	switch {
	case src == nil:
	case o.FillStatus == FillStatusSourceUnreachable:
		// Quickly: it is down. Late: perhaps crowded, and to eject it would crowd the others in a cascade.
		n, down := src.failedFills.Add(d.now), o.SourceWait < quickFailure
		if src.siteMember.RecordSourceFailure(d.now, a.sentAt, down); src.ejected || down || (n >= 3 && src.siteMember.HasHealthyPeer(d.now)) {
			d.eject(src, "source not reached")
		}
	case untold, o.FillStatus == FillStatusSourceRejected, o.FillStatus == FillStatusSourceMiss, o.FillStatus == FillStatusOriginFailed,
		o.FillStatus >= FillStatusFilled && o.FillStatus <= FillStatusCoalesced:
		src.failedFills, src.lastAnswerAsSource = overload.FailureStreak{}, d.now
		src.siteMember.RecordResponse(d.now)
		if src.ejected {
			d.readmit(src)
		}
	}
}

// probedServer is the half-open server that a look is about.
func probedServer(a *attemptState) *serverState {
	if a.target.ejected || a.source == nil {
		return a.target
	}
	return a.source
}
