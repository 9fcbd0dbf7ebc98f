package upstream

// observeIdleCloseRace checks whether a connection was lost to an idle-close race: the endpoint, or a device on the way
// to it, closed the idle connection while the first request after the idle time was being sent. After a race, idle
// connections are reused for a shorter time, because they are closed sooner than the settings say.
//
// A loss counts as a race only if the connection carried that one attempt and the attempt started at most
// IdleCloseRaceWindow before the loss: a reset that comes long after the request did not race with it. A crash
// of the endpoint is no evidence about idle times: it closes all connections at once, and the next dial is refused. The
// conclusion therefore waits for IdleCloseRaceWindow, and is dropped if the endpoint loses another connection, refuses
// a dial, restarts or is removed in that time. A loss that follows another loss within IdleCloseRaceWindow is no race
// either.
func (p *Pools) observeIdleCloseRace(lost *conn) {
	endpoint, now := lost.endpoint, p.now()
	recentLoss := endpoint.lastConnLossAt != 0 && now-endpoint.lastConnLossAt <= p.limits.IdleCloseRaceWindow
	onlyLoss := !endpoint.idleCloseRaceTimer.Pending() && !recentLoss
	endpoint.lastConnLossAt = now
	p.timers.Cancel(&endpoint.idleCloseRaceTimer)
	if !onlyLoss || len(lost.inFlight) != 1 {
		return
	}
	for _, attempt := range lost.inFlight {
		raced := attempt.written && attempt.connIdleTime > 0 && now-attempt.startedAt <= p.limits.IdleCloseRaceWindow
		if !raced {
			continue
		}
		p.timers.Schedule(&endpoint.idleCloseRaceTimer, now+p.limits.IdleCloseRaceWindow, func() {
			p.Counters.IdleCloseRaces++
			p.idleReuseTimeout.RecordCloseRace(p.now(), attempt.connIdleTime)
		})
	}
}
