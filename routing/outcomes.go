package routing

import (
	"math"
	"slices"

	"shaleyard/internal/overload"
)

// What the end of an attempt means for its request and for what is believed of servers.

// outcome takes the one end of an attempt.
func (d *Router) outcome(o Outcome) {
	k := uint64(o.ID)<<16 | uint64(o.Attempt)
	a, r := d.tries[k], d.reqs[o.ID]
	if a == nil {
		return
	}
	delete(d.tries, k)
	is := func(b *attempt) bool { return a == b }
	a.target.to.out = slices.DeleteFunc(a.target.to.out, is)
	if a.source != nil {
		a.source.from.out = slices.DeleteFunc(a.source.from.out, is)
	}
	a.out = false
	a.target.sending -= a.work
	_, side := blamed(a)
	side.load -= a.work
	a.mayRun = !slices.Contains([]Result{Rejected, ConnectFailed, Abandoned, Miss, LocalResourcesExhausted, Unreachable}, o.Result)
	d.learn(a, r, o)
	if r == nil {
		return
	}
	r.out--
	if r.copies > 0 && a.no > 0 && o.Result == OK {
		d.copies = min(d.copies+copyEarns, copyMost)
	}
	switch {
	case o.RequestDone:
		d.forget(r)
	case r.out > 0:
	case d.now >= r.Deadline:
		d.end(r, ReasonDeadlineExceeded)
	case turnedAway(o) && !d.repeats.TryWithdraw(d.now, r.passOn):
		d.end(r, ReasonRetryBudgetExhausted)
	case d.lesson(r, a, o), a.mayRun && o.Result != Errored && !d.s.SiteLimits.HedgingAllowed:
		d.hold(r) // also where what calls an attempt off may be overtaken: two would be out at once
	default:
		d.advance(r)
	}
}

// turnedAway tells that an attempt has failed as in a crowd: to try again at once adds to it.
func turnedAway(o Outcome) bool {
	return o.Result == Rejected || o.Result == ConnectFailed || o.Result == TimedOut
}

// lesson notes what a failure rules out for its request, and tells whether it must wait: who is full stays
// full for a moment, and to go elsewhere at once doubles a jam. Harm: it waits though another had room.
func (d *Router) lesson(r *request, a *attempt, o Outcome) (wait bool) {
	src, full := a.source, o.Result == Rejected && (o.FillStatus == FillStatusUnknown || o.FillStatus == FillStatusNoFillSlot)
	untold := full && o.FillStatus == FillStatusUnknown && d.s.Tiers.FillStatusReported != "all" // who refused: the source may have
	switch {
	case src == nil || (full && !untold) || (o.Result != Miss && o.Result != Rejected && o.Result != TimedOut):
	case src.role == edge:
		r.tier = max(r.tier, parent)
		for i, h := range r.held.by {
			if h.host == src {
				r.held.by[i] = holder{}
			}
		}
	case !src.ejected && !a.look:
		r.tier = origin
	}
	switch o.Result {
	case Errored, TimedOut, ConnectFailed, Reset, Unreachable:
		r.avoid = append(r.avoid, a.target)
	case LocalResourcesExhausted:
		return true // no other server can be reached either
	case Miss:
		if r.looked = r.looked || (src == nil && o.FillStatus == FillStatusCoalesced); o.FillStatus != FillStatusCoalesced {
			r.looks = overload.MaxProbes // none fills it: it may be filled at once
		}
		return src == nil && r.looked && !a.look && !r.shut
	}
	return full
}

// learn updates what we know of the servers, the class and the table.
func (d *Router) learn(a *attempt, r *request, o Outcome) {
	t := a.target
	if a.look {
		looked(a).looking = false
	}
	switch o.Result {
	case Cancelled, Abandoned, LocalResourcesExhausted, Unreachable:
		return // says nothing
	}
	d.repeats.RecordAttempt(d.now, o.Result == OK, turnedAway(o))
	failed := o.FillStatus == FillStatusOriginFailed
	if a.source != nil && a.source.role != edge && (failed || o.FillStatus == FillStatusFilledByOrigin) {
		late := o.Elapsed > a.aim && o.Elapsed-o.SourceWait <= a.aim // by the source, not by the cache or the link
		d.shield.RecordAnswer(d.now, a.sent, late || failed)
	}
	d.throttle(a, o)
	d.judge(a, o)
	if o.Result == OK || o.Result == TimedOut {
		d.timed(a)
	}
	if src := a.source; o.FillStatus == FillStatusHit && src != nil && src.cold != 0 { // no fill reached the source
		src.spent.Spend(-max(0, a.work-d.coldRate(src)*(d.now-a.sent).Seconds()))
	}
	if o.Result != OK {
		return
	}
	c := &d.classes[a.class]
	if c.latency.Observe(o.Elapsed.Seconds()); o.FillStatus == FillStatusFilledByOrigin {
		d.waited.Observe(o.SourceWait.Seconds())
	}
	if r != nil && r.told > 0 {
		c.work.Observe(r.told)
	} else if o.FillStatus == FillStatusHit || o.FillStatus == FillStatusUnknown {
		c.work.Observe(o.Elapsed.Seconds())
	}
	t.carried = t.carried*math.Exp(-float64(d.now-t.carriedAt)/float64(carryOver)) + a.work
	t.carriedAt = d.now
	if r != nil && t.role == edge && !r.passOn {
		if r.held.by[0].host != t {
			r.held.by[1] = r.held.by[0]
		}
		r.held.by[0] = holder{t, d.now}
	}
}

// judge takes an outcome as evidence on its target and its source.
func (d *Router) judge(a *attempt, o Outcome) {
	t, src := a.target, a.source
	switch o.Result {
	case OK, Miss, Rejected, Errored:
		t.heard = d.now
		t.seen.RecordResponse(d.now)
		if t.ejected && (a.look || o.Result == OK) {
			d.readmit(t)
		}
	case ConnectFailed:
		t.seen.RecordRefusal(d.now)
		d.eject(t, "connection failed")
	case TimedOut:
		t.seen.RecordTimeout(d.now, a.sent)
	}
	if a.look && (o.Result == TimedOut || o.Result == Reset) { // else a reset tells nothing
		d.eject(looked(a), "look unanswered")
	}
	untold := o.FillStatus == FillStatusUnknown && (o.Result == OK || o.Result == Miss)
	switch {
	case src == nil:
	case o.FillStatus == FillStatusSourceUnreachable:
		// Quickly: it is down. Late: perhaps crowded, and to eject it would crowd the others in a cascade.
		n, down := src.missed.Add(d.now), o.SourceWait < quickly
		if src.seen.RecordSourceFailure(d.now, a.sent, down); src.ejected || down || (n >= 3 && src.seen.HasHealthyPeer(d.now)) {
			d.eject(src, "source not reached")
		}
	case untold, o.FillStatus == FillStatusSourceRejected, o.FillStatus == FillStatusSourceMiss, o.FillStatus == FillStatusOriginFailed,
		o.FillStatus >= FillStatusFilled && o.FillStatus <= FillStatusCoalesced:
		src.missed, src.spoke = overload.FailureStreak{}, d.now
		src.seen.RecordResponse(d.now)
		if src.ejected {
			d.readmit(src)
		}
	}
}

// looked is the half-open server that a look is about.
func looked(a *attempt) *server {
	if a.target.ejected || a.source == nil {
		return a.target
	}
	return a.source
}
