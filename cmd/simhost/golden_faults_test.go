package main

// worldFault is a kind of disturbance. It begins when it is called and sees to its own end.
type simFault struct {
	name  string
	begin func(w *simulation)
}

// worldFaults lists all kinds. It is a function, as the faults refer to the world's methods.
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
		{"restart-zone", func(sim *simulation) { sim.crashServers(sim.cachesInZone(zoneHubA + sim.random.IntN(3))...) }},
		{"delist-zone", func(sim *simulation) { sim.drainServers(sim.cachesInZone(zoneHubA + sim.random.IntN(3))...) }},
		{"lose-hub", func(sim *simulation) { sim.failSite(sim.cachesInZone(zoneHubA + sim.random.IntN(2))) }},
		{"lose-hubs", func(sim *simulation) { sim.failSite(append(sim.cachesInZone(zoneHubA), sim.cachesInZone(zoneHubB)...)) }},
		{"lose-own-site", func(sim *simulation) { sim.failSite(sim.cachesInZone(zoneEdgeA)) }},
		{"silence-all", func(sim *simulation) { sim.setHealthTemporarily(serverUnresponsive, sim.servers...) }},
		{"probe-unasked", func(sim *simulation) { sim.handleProbe(sim.routers[0], sim.randomCache()) }},
	}
}

// planFaults draws when which faults begin.
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

// anyCache is an edge or a parent.
func (sim *simulation) randomCache() *simServer {
	return sim.servers[1+sim.random.IntN(len(sim.servers)-1)]
}

// inZone lists a zone's servers but for the origin.
func (sim *simulation) cachesInZone(zone int) (servers []*simServer) {
	for _, s := range sim.servers[1:] {
		if s.zone == zone {
			servers = append(servers, s)
		}
	}
	return servers
}

// afflict changes the health of servers for a while.
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

// crash stops servers; they come back empty, with a new start time.
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

func (sim *simulation) restartServers(servers []*simServer) {
	for _, s := range servers {
		s.health, s.state, s.startedAt = serverHealthy, stateReady, sim.now
		clear(s.copies)
	}
	sim.sendUpdateLater(servers...)
}

// loseSite has servers of a site fail together, in one of the ways in which sites fail.
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

func (sim *simulation) slowDown(s *simServer, factor int64) {
	s.slowdown = factor
	sim.scheduleAfter(sim.randomBetween(second, 5*second), func() { s.slowdown = 1 })
}

func (sim *simulation) failOrigin() {
	sim.originFailing = true
	sim.scheduleAfter(sim.randomBetween(second/2, 3*second), func() { sim.originFailing = false })
}

func (sim *simulation) loseResponses() {
	sim.lossPercent = 15
	sim.scheduleAfter(sim.randomBetween(second, 3*second), func() { sim.lossPercent = 0 })
}

// drain has discovery take servers out step by step, and bring them back.
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

func (sim *simulation) addEdge() {
	edge := &simServer{host: hostFirstEdge + hostAddress(100+len(sim.servers))*hostStride, zone: zoneEdgeA, weight: 6,
		startedAt: sim.now}
	sim.addServer(edge)
	sim.sendUpdateLater(edge)
}

func (sim *simulation) sendBurst() {
	for _, r := range sim.routers {
		for range 40 {
			sim.scheduleAfter(sim.randomBetween(millisecond, second/2), func() { sim.submit(r, sim.randomRequest(), 0) })
		}
	}
}

// purgeObjects purges a few objects, some of them a while ago.
func (sim *simulation) purgeObjects() {
	for range 3 {
		q := sim.randomRequest()
		sim.objectPurgedAt[q.key.object] = sim.now
		sim.sendPurge(uint16(q.group), q.key.object)
	}
}

func (sim *simulation) purgeGroup() {
	group := sim.random.IntN(purgeGroupCount)
	sim.groupPurgedAt[group] = sim.now
	sim.sendPurge(uint16(group), 0)
}

func (sim *simulation) sendPurge(group uint16, object uint64) {
	purgedAt := sim.now
	sim.scheduleAfter(sim.randomBetween(millisecond, second), func() {
		for _, r := range sim.routers {
			sim.batch.add(eventPurge, r.instance, sim.now-purgedAt, group, object)
		}
	})
}

// relist tells the whole list anew, at times as a cached one.
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

func (sim *simulation) failListCall() {
	for _, r := range sim.routers {
		sim.batch.add(eventEndpointUpdate, r.instance, uint8(updateFailed), uint64(0), uint16(0))
	}
}

// restartRouter replaces a router by one that knows nothing; its requests are lost.
func (sim *simulation) restartRouter() {
	r := sim.routers[sim.random.IntN(len(sim.routers))]
	sim.batch.add(eventStopInstance, r.instance)
	sim.startRouter(r)
	sim.sendEndpointList(sim.servers)
	sim.batch.add(eventEndpointUpdate, r.instance, uint8(updateFull), sim.listVersion, uint16(1))
}
