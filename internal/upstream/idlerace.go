package upstream

// observeIdleCloseRace learns from a connection that was reset under the first request after it had been idle. The
// endpoint, or something between it and us, closes idle connections sooner than the settings say, and idle connections
// are used again for less time from then on.
//
// A reset that comes long after the request did not race with it. An endpoint that has died says nothing of idle times
// either: it ends all its connections at once and refuses the next one. So the conclusion waits for
// IdleCloseRaceWindow, and is dropped if either shows meanwhile.
func (p *Pools) observeIdleCloseRace(lost *conn) {
	endpoint, now := lost.endpoint, p.now()
	recentLoss := endpoint.lastConnLossAt != 0 && now-endpoint.lastConnLossAt <= p.limits.IdleCloseRaceWindow
	alone := !endpoint.idleCloseRaceTimer.Pending() && !recentLoss
	endpoint.lastConnLossAt = now
	p.timers.Cancel(&endpoint.idleCloseRaceTimer)
	if !alone || len(lost.inFlight) != 1 {
		return
	}
	for _, attempt := range lost.inFlight {
		raced := attempt.written && attempt.idleBefore > 0 && now-attempt.startedAt <= p.limits.IdleCloseRaceWindow
		if !raced {
			continue
		}
		p.timers.Schedule(&endpoint.idleCloseRaceTimer, now+p.limits.IdleCloseRaceWindow, func() {
			p.Counters.IdleCloseRaces++
			p.idleReuse.RecordCloseRace(p.now(), attempt.idleBefore)
		})
	}
}
