package main

// worldFault is a kind of disturbance. It begins when it is called and sees to its own end.
type worldFault struct {
	name  string
	begin func(w *world)
}

// worldFaults lists all kinds. It is a function, as the faults refer to the world's methods.
func worldFaults() []worldFault {
	return []worldFault{
		{"crash", func(w *world) { w.crash(w.anyCache()) }},
		{"hang", func(w *world) { w.afflict(serverSilent, w.anyCache()) }},
		{"refuse", func(w *world) { w.afflict(serverRefusing, w.anyCache()) }},
		{"err", func(w *world) { w.afflict(serverErring, w.anyCache()) }},
		{"reset", func(w *world) { w.afflict(serverResetting, w.anyCache()) }},
		{"slow", func(w *world) { w.slowDown(w.anyCache(), 3+w.random.Int64N(6)) }},
		{"origin-slow", func(w *world) { w.slowDown(w.servers[0], 4+w.random.Int64N(8)) }},
		{"origin-fails", (*world).failOrigin},
		{"lose-answers", (*world).loseAnswers},
		{"drain", func(w *world) { w.drain(w.anyCache()) }},
		{"newcomer", (*world).addNewcomer},
		{"burst", (*world).burst},
		{"purge", (*world).purgeObjects},
		{"purge-group", (*world).purgeGroup},
		{"relist", (*world).relist},
		{"fail-list", (*world).failList},
		{"restart-router", (*world).restartRouter},
		{"restart-zone", func(w *world) { w.crash(w.inZone(zoneHubA + w.random.IntN(3))...) }},
		{"delist-zone", func(w *world) { w.drain(w.inZone(zoneHubA + w.random.IntN(3))...) }},
		{"lose-hub", func(w *world) { w.loseSite(w.inZone(zoneHubA + w.random.IntN(2))) }},
		{"lose-hubs", func(w *world) { w.loseSite(append(w.inZone(zoneHubA), w.inZone(zoneHubB)...)) }},
		{"lose-own-site", func(w *world) { w.loseSite(w.inZone(zoneHere)) }},
		{"silence-all", func(w *world) { w.afflict(serverSilent, w.servers...) }},
		{"probe-unasked", func(w *world) { w.performProbe(w.routers[0], w.anyCache()) }},
	}
}

// planFaults draws when which faults begin.
func (w *world) planFaults() {
	var kinds []worldFault
	for _, fault := range worldFaults() {
		if len(w.family.faults) == 0 {
			kinds = append(kinds, fault)
		}
		for _, name := range w.family.faults {
			if name == fault.name {
				kinds = append(kinds, fault)
			}
		}
	}
	for range 3 + w.random.IntN(4) {
		fault := kinds[w.random.IntN(len(kinds))]
		w.at(w.between(worldStart+second/2, w.end), func() { fault.begin(w) })
	}
}

// anyCache is an edge or a parent.
func (w *world) anyCache() *worldServer { return w.servers[1+w.random.IntN(len(w.servers)-1)] }

// inZone lists a zone's servers but for the origin.
func (w *world) inZone(zone int) (servers []*worldServer) {
	for _, s := range w.servers[1:] {
		if s.zone == zone {
			servers = append(servers, s)
		}
	}
	return servers
}

// afflict changes the health of servers for a while.
func (w *world) afflict(health serverHealth, servers ...*worldServer) {
	for _, s := range servers {
		s.health = health
	}
	w.after(w.between(second/2, 4*second), func() {
		for _, s := range servers {
			s.health = serverWell
		}
	})
}

// crash stops servers; they come back empty, with a new start time.
func (w *world) crash(servers ...*worldServer) {
	told := w.percent(50)
	for _, s := range servers {
		s.health = serverDead
		if told {
			s.state = memberGone
		}
	}
	if told {
		w.tellListLater(servers...)
	}
	w.after(w.between(second/2, 4*second), func() { w.startAnew(servers) })
}

func (w *world) startAnew(servers []*worldServer) {
	for _, s := range servers {
		s.health, s.state, s.started = serverWell, memberReady, w.now
		clear(s.copies)
	}
	w.tellListLater(servers...)
}

// loseSite has servers of a site fail together, in one of the ways in which sites fail.
func (w *world) loseSite(servers []*worldServer) {
	switch w.random.IntN(4) {
	case 0:
		w.crash(servers...)
	case 1:
		w.drain(servers...)
	case 2:
		w.afflict(serverSilent, servers...)
	default:
		w.afflict(serverDead, servers...)
	}
}

func (w *world) slowDown(s *worldServer, times int64) {
	s.slowness = times
	w.after(w.between(second, 5*second), func() { s.slowness = 1 })
}

func (w *world) failOrigin() {
	w.failing = true
	w.after(w.between(second/2, 3*second), func() { w.failing = false })
}

func (w *world) loseAnswers() {
	w.lossy = 15
	w.after(w.between(second, 3*second), func() { w.lossy = 0 })
}

// drain has discovery take servers out step by step, and bring them back.
func (w *world) drain(servers ...*worldServer) {
	for _, s := range servers {
		s.state = memberDraining
	}
	w.tellListLater(servers...)
	w.after(w.between(1600*millisecond, 2*second), func() {
		for _, s := range servers {
			s.state, s.health = memberGone, serverDead
		}
		w.tellListLater(servers...)
	})
	w.after(w.between(3*second, 5*second), func() { w.startAnew(servers) })
}

func (w *world) addNewcomer() {
	edge := &worldServer{host: hostFirstEdge + hostAddress(100+len(w.servers))*hostStep, zone: zoneHere, weight: 6,
		started: w.now}
	w.addServer(edge)
	w.tellListLater(edge)
}

func (w *world) burst() {
	for _, r := range w.routers {
		for range 40 {
			w.after(w.between(millisecond, second/2), func() { w.ask(r, w.newRequest(), 0) })
		}
	}
}

// purgeObjects purges a few objects, some of them a while ago.
func (w *world) purgeObjects() {
	for range 3 {
		q := w.newRequest()
		w.purged[q.key.object] = w.now
		w.tellPurge(uint16(q.group), q.key.object)
	}
}

func (w *world) purgeGroup() {
	group := w.random.IntN(purgeGroups)
	w.cleared[group] = w.now
	w.tellPurge(uint16(group), 0)
}

func (w *world) tellPurge(group uint16, object uint64) {
	made := w.now
	w.after(w.between(millisecond, second), func() {
		for _, r := range w.routers {
			w.batch.add(eventPurge, r.instance, w.now-made, group, object)
		}
	})
}

// relist tells the whole list anew, at times as a cached one.
func (w *world) relist() {
	kind := uint8(listFull)
	if w.percent(50) {
		kind = listCached
	}
	var listed []*worldServer
	for _, s := range w.servers {
		if s.state != memberGone {
			listed = append(listed, s)
		}
	}
	w.tellList(kind, listed)
}

func (w *world) failList() {
	for _, r := range w.routers {
		w.batch.add(eventMembers, r.instance, uint8(listFailed), uint64(0), uint16(0))
	}
}

// restartRouter replaces a router by one that knows nothing; its requests are lost.
func (w *world) restartRouter() {
	r := w.routers[w.random.IntN(len(w.routers))]
	w.batch.add(eventKilled, r.instance)
	w.bear(r)
	w.fillBank(w.servers)
	w.batch.add(eventMembers, r.instance, uint8(listFull), w.version, uint16(1))
}
