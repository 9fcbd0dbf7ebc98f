package routing

import "time"

// This file checks that a router keeps the deployment's rules, as far as one director can observe them.

// notifiedPurge is a purge with the time at which the router was notified of it.
type notifiedPurge struct {
	Purge
	at Time
}

// workCharge is work, in seconds of transfer time, that was charged to the slow-start budget of a server at a time.
type workCharge struct {
	at   Time
	work float64
}

// checkFinalAnswer checks a final answer of the router, which is a Reject or a Fail. A request gets only one final
// answer, and it must not be a Reject if an attempt may have executed and repeating the request could do harm.
func (e *testEnv) checkFinalAnswer(id uint32, rejected bool) {
	request := e.requests[id]
	if request.ended {
		e.violatef("request %d ended twice", id)
	}
	request.ended = true
	class := e.settings.Classes[request.Class]
	repeatMayHarm := class.Idempotency == IdempotencyNone ||
		(class.Idempotency == IdempotencyKeyed && class.DedupScope != DedupScopeAll)
	for _, attempt := range request.attempts {
		if rejected && attempt.mayHaveExecuted && repeatMayHarm {
			e.violatef("request %d was rejected although it may have executed", id)
		}
	}
}

// checkAttempt checks that a request may be attempted again, and that the target and the source of the attempt are
// ready.
func (e *testEnv) checkAttempt(request *openRequest, host, source Host) {
	if request.ended {
		e.violatef("attempt for ended request %d", request.ID)
	}
	if len(request.attempts) >= e.settings.SiteLimits.MaxAttempts {
		e.violatef("request %d: too many attempts", request.ID)
	}
	for _, server := range []Host{host, source} {
		if endpoint, ok := e.endpoints[server]; !ok || endpoint.State != Ready {
			e.violatef("request %d: host %d is draining, gone or unknown", request.ID, server)
		}
	}
	for _, earlier := range request.attempts {
		e.checkRepeat(request, earlier, host)
	}
}

// checkRepeat checks that an attempt at a host may follow an earlier attempt of the same request.
func (e *testEnv) checkRepeat(request *openRequest, earlier sentAttempt, host Host) {
	if earlier.inFlight && !e.settings.SiteLimits.HedgingAllowed {
		e.violatef("request %d: two attempts in flight", request.ID)
	}
	if !earlier.mayHaveExecuted {
		return
	}
	class := e.settings.Classes[request.Class]
	earlierTarget, target := e.endpoints[earlier.host], e.endpoints[host]
	switch class.Idempotency {
	case IdempotencyNone:
		e.violatef("request %d: non-idempotent request sent again", request.ID)
	case IdempotencyKeyed:
		otherZone := class.DedupScope == DedupScopeZone && earlierTarget.Zone != target.Zone
		otherCell := class.DedupScope == DedupScopeCell && earlierTarget.Cell != target.Cell
		if e.now >= earlier.sentAt+class.DedupWindow || otherZone || otherCell {
			e.violatef("request %d: keyed request sent again outside its scope or window", request.ID)
		}
	}
}

// checkMaxAge checks that an attempt accepts no copy from before a purge. The check applies from PurgeSlack after the
// notification of the purge until PurgePropagation after the purge.
func (e *testEnv) checkMaxAge(request *openRequest, host Host, maxAge time.Duration) {
	tiers := e.settings.Tiers
	if e.endpoints[host].Kind == tiers.OriginKind {
		return
	}
	for _, purge := range e.purges {
		matches := purge.Object == request.Object || (purge.Object == 0 && purge.Group == request.Group)
		purgedAt := purge.at - purge.Age
		inForce := e.now > purge.at+tiers.PurgeSlack && e.now < purgedAt+tiers.PurgePropagation
		if matches && inForce && (maxAge <= 0 || maxAge > max(1, e.now-purgedAt)) {
			e.violatef("request %d: MaxAge %v allows a copy from before a purge %v ago",
				request.ID, maxAge, e.now-purgedAt)
		}
	}
}

// chargeSlowStart charges 0.05 s of work for an attempt to the slow-start budget of a server that warms up, and checks
// that the charges within the overload window do not exceed this director's part of the budget.
func (e *testEnv) chargeSlowStart(host Host) {
	endpoint, tiers, guarantees := e.endpoints[host], e.settings.Tiers, e.settings.Guarantees
	if endpoint.Started == 0 || endpoint.Kind == tiers.OriginKind {
		return
	}
	fraction, duration := guarantees.SlowStartFraction, guarantees.SlowStartDuration
	multiple, directors := guarantees.OverloadMultiple, tiers.DirectorsByZone[endpoint.Zone]
	if endpoint.Kind == tiers.ParentKind {
		fraction, duration = tiers.ParentSlowStartFraction, tiers.ParentSlowStartDuration
		multiple, directors = tiers.ParentOverloadMultiple, e.settings.Directors
	}
	if e.now-endpoint.Started > duration {
		return
	}
	e.slowStartCharges[host] = append(e.slowStartCharges[host], workCharge{e.now, 0.05})
	windowStart := e.now - guarantees.OverloadWindow
	sum := 0.0
	for _, charge := range e.slowStartCharges[host] {
		if charge.at > windowStart {
			sum += charge.work
		}
	}
	share := fraction + (1-fraction)*float64(windowStart-endpoint.Started)/float64(duration)
	capacity := endpoint.Weight / float64(directors)
	allowed := multiple * max(fraction, share) * capacity * guarantees.OverloadWindow.Seconds()
	if sum > allowed {
		e.violatef("host %d is warming up: %.2f s of work within the overload window, %.2f s allowed",
			host, sum, allowed)
	}
}
