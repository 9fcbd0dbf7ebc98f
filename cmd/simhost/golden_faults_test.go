package main

// simFault is a kind of fault or of change in the fleet. begin starts the fault and schedules its end, if it has one.
type simFault struct {
	name  string
	begin func(sim *simulation)
}

// simFaults returns all kinds of faults. It is a function because a variable would make the initialization of the
// package cyclic: the faults refer to methods of simulation, which refer to the faults.
func simFaults() []simFault {
	return []simFault{
		{"crash", func(sim *simulation) { sim.crashServers(sim.randomCache()) }},
		{"hang", func(sim *simulation) { sim.setHealthTemporarily(serverUnresponsive, sim.randomCache()) }},
		{"refuse", func(sim *simulation) { sim.setHealthTemporarily(serverRejecting, sim.randomCache()) }},
		{"err", func(sim *simulation) { sim.setHealthTemporarily(serverErroring, sim.randomCache()) }},
		{"reset", func(sim *simulation) { sim.setHealthTemporarily(serverResetting, sim.randomCache()) }},
		{"slow", func(sim *simulation) { sim.slowDown(sim.randomCache(), 3+sim.random.Int64N(6)) }},
		{"origin-slow", func(sim *simulation) { sim.slowDown(sim.servers[0], 4+sim.random.Int64N(8)) }},
		{"origin-fails", (*simulation).failOrigin},
		{"lose-answers", (*simulation).loseResponses},
		{"drain", func(sim *simulation) { sim.drainServers(sim.randomCache()) }},
		{"newcomer", (*simulation).addEdge},
		{"burst", (*simulation).sendBurst},
		{"purge", (*simulation).purgeObjects},
		{"purge-group", (*simulation).purgeGroup},
		{"relist", (*simulation).resendList},
		{"fail-list", (*simulation).failListCall},
		{"restart-router", (*simulation).restartRouter},
		{"restart-zone", func(sim *simulation) {
			sim.crashServers(sim.cachesInZone(zoneHubA + sim.random.IntN(3))...)
		}},
		{"delist-zone", func(sim *simulation) { sim.drainServers(sim.cachesInZone(zoneHubA + sim.random.IntN(3))...) }},
		{"lose-hub", func(sim *simulation) { sim.failSite(sim.cachesInZone(zoneHubA + sim.random.IntN(2))) }},
		{"lose-hubs", func(sim *simulation) {
			sim.failSite(append(sim.cachesInZone(zoneHubA), sim.cachesInZone(zoneHubB)...))
		}},
		{"lose-own-site", func(sim *simulation) { sim.failSite(sim.cachesInZone(zoneEdgeA)) }},
		{"silence-all", func(sim *simulation) { sim.setHealthTemporarily(serverUnresponsive, sim.servers...) }},
		{"probe-unasked", func(sim *simulation) { sim.handleProbe(sim.routers[0], sim.randomCache()) }},
	}
}

// scheduleFaults schedules 3 to 6 faults at random times, of random kinds among those that the variant allows. None
// begins in the first half second.
func (sim *simulation) scheduleFaults() {
	var candidates []simFault
	for _, fault := range simFaults() {
		if len(sim.variant.faults) == 0 {
			candidates = append(candidates, fault)
		}
		for _, name := range sim.variant.faults {
			if name == fault.name {
				candidates = append(candidates, fault)
			}
		}
	}
	for range 3 + sim.random.IntN(4) {
		fault := candidates[sim.random.IntN(len(candidates))]
		sim.scheduleAt(sim.randomBetween(simStart+second/2, sim.endTime), func() { fault.begin(sim) })
	}
}

// randomCache returns a random edge or parent.
func (sim *simulation) randomCache() *simServer {
	return sim.servers[1+sim.random.IntN(len(sim.servers)-1)]
}

// cachesInZone returns the edges and parents of a zone.
func (sim *simulation) cachesInZone(zone int) (servers []*simServer) {
	for _, s := range sim.servers[1:] {
		if s.zone == zone {
			servers = append(servers, s)
		}
	}
	return servers
}

// setHealthTemporarily sets the health of the servers, and makes them healthy again after 0.5 to 4 seconds.
func (sim *simulation) setHealthTemporarily(health serverHealth, servers ...*simServer) {
	for _, s := range servers {
		s.health = health
	}
	sim.scheduleAfter(sim.randomBetween(second/2, 4*second), func() {
		for _, s := range servers {
			s.health = serverHealthy
		}
	})
}

// crashServers takes the servers down and restarts them after 0.5 to 4 seconds. In half of the cases discovery also
// removes them from the endpoint list until the restart.
func (sim *simulation) crashServers(servers ...*simServer) {
	announced := sim.chance(50)
	for _, s := range servers {
		s.health = serverDown
		if announced {
			s.state = stateRemoved
		}
	}
	if announced {
		sim.sendUpdateLater(servers...)
	}
	sim.scheduleAfter(sim.randomBetween(second/2, 4*second), func() { sim.restartServers(servers) })
}

// restartServers makes the servers healthy and ready again, with a new start time and an empty cache.
func (sim *simulation) restartServers(servers []*simServer) {
	for _, s := range servers {
		s.health, s.state, s.startedAt = serverHealthy, stateReady, sim.now
		clear(s.copies)
	}
	sim.sendUpdateLater(servers...)
}

// failSite has all the given servers fail together: they crash, are drained, or are unresponsive or down for a while
// and keep their cached copies.
func (sim *simulation) failSite(servers []*simServer) {
	switch sim.random.IntN(4) {
	case 0:
		sim.crashServers(servers...)
	case 1:
		sim.drainServers(servers...)
	case 2:
		sim.setHealthTemporarily(serverUnresponsive, servers...)
	default:
		sim.setHealthTemporarily(serverDown, servers...)
	}
}

// slowDown multiplies a server's response times by factor for 1 to 5 seconds.
func (sim *simulation) slowDown(s *simServer, factor int64) {
	s.slowdown = factor
	sim.scheduleAfter(sim.randomBetween(second, 5*second), func() { s.slowdown = 1 })
}

// failOrigin lets 60% of the fills that need the origin fail, for 0.5 to 3 seconds.
func (sim *simulation) failOrigin() {
	sim.originFailing = true
	sim.scheduleAfter(sim.randomBetween(second/2, 3*second), func() { sim.originFailing = false })
}

// loseResponses lets 15% of the attempts get no response, for 1 to 3 seconds.
func (sim *simulation) loseResponses() {
	sim.lossPercent = 15
	sim.scheduleAfter(sim.randomBetween(second, 3*second), func() { sim.lossPercent = 0 })
}

// drainServers has discovery list the servers as draining. They are removed and go down after 1.6 to 2 seconds, and
// restart 3 to 5 seconds after the start of the drain.
func (sim *simulation) drainServers(servers ...*simServer) {
	for _, s := range servers {
		s.state = stateDraining
	}
	sim.sendUpdateLater(servers...)
	sim.scheduleAfter(sim.randomBetween(1600*millisecond, 2*second), func() {
		for _, s := range servers {
			s.state, s.health = stateRemoved, serverDown
		}
		sim.sendUpdateLater(servers...)
	})
	sim.scheduleAfter(sim.randomBetween(3*second, 5*second), func() { sim.restartServers(servers) })
}

// addEdge starts a new edge server in zone A. Discovery announces it after a delay.
func (sim *simulation) addEdge() {
	edge := &simServer{host: hostFirstEdge + hostAddress(100+len(sim.servers))*hostStride, zone: zoneEdgeA, weight: 6,
		startedAt: sim.now}
	sim.addServer(edge)
	sim.sendUpdateLater(edge)
}

// sendBurst sends 40 additional requests to each router within half a second.
func (sim *simulation) sendBurst() {
	for _, r := range sim.routers {
		for range 40 {
			sim.scheduleAfter(sim.randomBetween(millisecond, second/2), func() {
				sim.submit(r, sim.randomRequest(), 0)
			})
		}
	}
}

// purgeObjects purges three random objects. The routers are notified of each purge after a delay.
func (sim *simulation) purgeObjects() {
	for range 3 {
		q := sim.randomRequest()
		sim.objectPurgedAt[q.key.object] = sim.now
		sim.sendPurge(uint16(q.group), q.key.object)
	}
}

// purgeGroup purges all objects of a random group.
func (sim *simulation) purgeGroup() {
	group := sim.random.IntN(purgeGroupCount)
	sim.groupPurgedAt[group] = sim.now
	sim.sendPurge(uint16(group), 0)
}

// sendPurge notifies all routers, after a delay of up to a second, of a purge that happens now. Object 0 stands for the
// whole group.
func (sim *simulation) sendPurge(group uint16, object uint64) {
	purgedAt := sim.now
	sim.scheduleAfter(sim.randomBetween(millisecond, second), func() {
		for _, r := range sim.routers {
			sim.batch.add(eventPurge, r.instance, sim.now-purgedAt, group, object)
		}
	})
}

// resendList sends the full endpoint list to all routers again. In half of the cases the list is marked as cached,
// which means that it may be stale.
func (sim *simulation) resendList() {
	kind := uint8(updateFull)
	if sim.chance(50) {
		kind = updateCached
	}
	var listed []*simServer
	for _, s := range sim.servers {
		if s.state != stateRemoved {
			listed = append(listed, s)
		}
	}
	sim.sendUpdate(kind, listed)
}

// failListCall notifies all routers that a call to discovery failed.
func (sim *simulation) failListCall() {
	for _, r := range sim.routers {
		sim.batch.add(eventEndpointUpdate, r.instance, uint8(updateFailed), uint64(0), uint16(0))
	}
}

// restartRouter stops a random router and starts it again without state: its open requests are lost. It gets the full
// endpoint list at once.
func (sim *simulation) restartRouter() {
	r := sim.routers[sim.random.IntN(len(sim.routers))]
	sim.batch.add(eventStopInstance, r.instance)
	sim.startRouter(r)
	sim.sendEndpointList(sim.servers)
	sim.batch.add(eventEndpointUpdate, r.instance, uint8(updateFull), sim.listVersion, uint16(1))
}
