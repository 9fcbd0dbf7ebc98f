package routing

import "time"

// Checks of the site's rules, as far as one director can see them.

type notifiedPurge struct {
	Purge
	at Time
}

type workCharge struct {
	at   Time
	work float64
}

// checkFinal checks a final answer: there is one, and what may have executed is not rejected as if it had not.
func (e *testEnv) checkFinal(id uint32, rejected bool) {
	request := e.requests[id]
	if request.ended {
		e.violatef("request %d ended twice", id)
	}
	request.ended = true
	class := e.settings.Classes[request.Class]
	bound := class.Idempotency == IdempotencyNone ||
		(class.Idempotency == IdempotencyKeyed && class.DedupScope != DedupScopeAll)
	for _, attempt := range request.attempts {
		if rejected && attempt.mayHaveExecuted && bound {
			e.violatef("request %d rejected though it may have executed", id)
		}
	}
}

// checkAttempt checks that the request may be attempted, and that its servers may get new work.
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

// checkRepeat checks that an attempt may follow an earlier one.
func (e *testEnv) checkRepeat(request *openRequest, earlier sentAttempt, host Host) {
	if earlier.inFlight && !e.settings.SiteLimits.HedgingAllowed {
		e.violatef("request %d: two attempts in flight", request.ID)
	}
	if !earlier.mayHaveExecuted {
		return
	}
	class := e.settings.Classes[request.Class]
	before, now := e.endpoints[earlier.host], e.endpoints[host]
	switch class.Idempotency {
	case IdempotencyNone:
		e.violatef("request %d: non-idempotent request sent again", request.ID)
	case IdempotencyKeyed:
		otherZone := class.DedupScope == DedupScopeZone && before.Zone != now.Zone
		otherCell := class.DedupScope == DedupScopeCell && before.Cell != now.Cell
		if e.now >= earlier.sentAt+class.DedupWindow || otherZone || otherCell {
			e.violatef("request %d: keyed request sent again outside its scope or window", request.ID)
		}
	}
}

// checkMaxAge checks that no copy from before a purge is accepted.
func (e *testEnv) checkMaxAge(request *openRequest, host Host, maxAge time.Duration) {
	tiers := e.settings.Tiers
	if e.endpoints[host].Kind == tiers.OriginKind {
		return
	}
	for _, purge := range e.purges {
		concerns := purge.Object == request.Object || (purge.Object == 0 && purge.Group == request.Group)
		purgedAt := purge.at - purge.Age
		binds := e.now > purge.at+tiers.PurgeSlack && e.now < purgedAt+tiers.PurgePropagation
		if concerns && binds && (maxAge <= 0 || maxAge > max(1, e.now-purgedAt)) {
			e.violatef("request %d: age %v admits a copy from before a purge %v ago",
				request.ID, maxAge, e.now-purgedAt)
		}
	}
}

// chargeSlowStart books an attempt on the slow-start budget of a server, and checks this director's part of it.
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
		e.violatef("warming up host %d: %.2f s of work in its window, %.2f allowed", host, sum, allowed)
	}
}
