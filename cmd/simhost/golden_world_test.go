package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
)

// Times of the simulation in nanoseconds, as on the wire.
const (
	microsecond = int64(1000)
	millisecond = 1000 * microsecond
	second      = 1000 * millisecond

	simStart   = 100 * second    // clock at the start of a sequence
	simQuantum = 2 * millisecond // shortest time between two batches
)

// Zones and kinds, as indexes of "dcs" and "kinds" in baseSettingsText, and addresses of the simulated servers.
const (
	zoneHubA  = 0
	zoneHubB  = 1
	zoneEdgeA = 2 // "here" in the settings
	zoneEdgeB = 3 // "there" in the settings

	kindEdge   = 0
	kindParent = 1
	kindOrigin = 2

	hostOrigin      = hostAddress(0x0a0000011388)
	hostFirstParent = hostAddress(0x0a0100011388)
	hostFirstEdge   = hostAddress(0x0a0200011388)
	hostStride      = hostAddress(0x10000) // between the addresses of two servers on the same port
)

// simOptions holds the options of a simulation, in which variants differ besides settings and faults.
type simOptions struct {
	routersInTwoZones bool // the second router is in zone B instead of zone A
	withoutParents    bool
	unevenWeights     bool
	lowCapacity       bool // a server has room for 8 requests in flight instead of 60
	coldStart         bool // some edges started less than 10 seconds before the sequence
	streaming         bool
	loadReportFields  int
}

// simClass holds the properties of a request class that the simulation needs.
type simClass struct {
	deadline int64
	write    bool
}

var simClasses = []simClass{{deadline: 4 * second}, {deadline: 2 * second}, {deadline: 2 * second},
	{deadline: 2 * second, write: true}, {deadline: 1500 * millisecond}, {deadline: 1500 * millisecond}}

// serverHealth determines how a server responds to attempts.
type serverHealth int

const (
	serverHealthy      serverHealth = iota
	serverDown                      // refuses connections
	serverUnresponsive              // accepts attempts but never responds
	serverRejecting
	serverErroring  // answers with an error
	serverResetting // resets the connection
)

// objectKey identifies a part of an object.
type objectKey struct {
	object uint64
	part   int
}

// simServer is a simulated edge, parent or origin server.
type simServer struct {
	host      hostAddress
	zone      int
	kind      int
	state     uint8 // in the endpoint list
	startedAt int64
	weight    float32
	cell      uint16
	health    serverHealth
	slowdown  int64 // factor on its response times
	inFlight  int
	copies    map[objectKey]int64 // time at which each was stored
}

// simAttempt is one attempt of a request. It is open until its outcome is sent to the router.
type simAttempt struct {
	target, source *simServer
	sentAt         int64
	open           bool
}

// simRequest is a request that was submitted to a router, or will be.
type simRequest struct {
	id        uint32
	class     int
	key       objectKey
	group     int
	sizeKB    int64
	deadline  int64 // a time; before submit, the duration from submit to it
	attempts  []*simAttempt
	streaming bool // an attempt has begun to stream the answer
	ended     bool
}

// simRouter is one router instance under test.
type simRouter struct {
	instance    uint16
	zone        int
	peerNumber  uint32 // its number among the directors, "me" in the settings
	settings    []byte
	requests    map[uint32]*simRequest
	lastID      uint32
	incarnation int // number of starts; a timer of an earlier incarnation does not fire
}

// scheduledEvent is a function that runs at a time. Events of the same time run in the order of scheduling.
type scheduledEvent struct {
	at, order int64 // the time, and the order of scheduling
	run       func()
}

// eventQueue is a heap of scheduled events, the earliest first.
type eventQueue []scheduledEvent

func (s eventQueue) Len() int      { return len(s) }
func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *eventQueue) Push(x any)   { *s = append(*s, x.(scheduledEvent)) }
func (s eventQueue) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}
func (s *eventQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// simulation simulates clients, servers, discovery and the clock for the routers of one sequence. Its random numbers
// depend on the seed alone.
type simulation struct {
	variant            goldenVariant
	random             *rand.Rand
	simhost            *simhostClient
	batch              batchBuilder
	now                int64
	endTime            int64
	queue              eventQueue
	scheduledCount     int64
	routers            []*simRouter
	servers            []*simServer // the origin is servers[0]
	byHost             map[hostAddress]*simServer
	listVersion        uint64
	objectPurgedAt     map[uint64]int64 // time of each object's last purge
	groupPurgedAt      [purgeGroupCount]int64
	serverCapacity     int // attempts in flight at which a server rejects further ones; fills: at twice as many
	fillStatusReported string
	originFailing      bool // the origin fails most fills
	lossPercent        int  // percentage of attempts whose response is lost
	err                error
}

const purgeGroupCount = 7

// playSimulation plays one sequence to its end and returns the digest of the replies.
func playSimulation(variant goldenVariant, seed uint64) (replyDigest, error) {
	sim := &simulation{variant: variant, random: rand.New(rand.NewPCG(seed, 0x601d)), simhost: startSimhost(),
		now: simStart, byHost: map[hostAddress]*simServer{}, objectPurgedAt: map[uint64]int64{}, serverCapacity: 60}
	if variant.options.lowCapacity {
		sim.serverCapacity = 8
	}
	seconds := []int64{3, 5, 8, 20}[sim.random.IntN(4)]
	sim.endTime = simStart + seconds*second
	sim.buildServers()
	sim.startRouters()
	sim.scheduleRequests(100 + sim.random.IntN(120))
	sim.scheduleFaults()
	err := sim.run()
	if stopErr := sim.simhost.stop(); err == nil {
		err = stopErr
	}
	return sim.simhost.digest, err
}

// buildServers adds the origin, 4 parents unless the variant has none, 3 to 7 edges in zone A and 3 edges in zone B.
func (sim *simulation) buildServers() {
	sim.addServer(&simServer{host: hostOrigin, zone: zoneHubA, kind: kindOrigin, weight: 40})
	if !sim.variant.options.withoutParents {
		for i := range 4 {
			host := hostFirstParent + hostAddress(i)*hostStride
			sim.addServer(&simServer{host: host, zone: i / 2, kind: kindParent, weight: 12})
		}
	}
	localEdges := 3 + sim.random.IntN(5)
	for i := range localEdges + 3 {
		zone := zoneEdgeA
		if i >= localEdges {
			zone = zoneEdgeB
		}
		edge := &simServer{host: hostFirstEdge + hostAddress(i)*hostStride, zone: zone, weight: 6, cell: uint16(i % 2)}
		if sim.variant.options.unevenWeights {
			edge.weight = float32(sim.random.IntN(5)) * 3
		}
		if sim.variant.options.coldStart && sim.random.IntN(2) == 0 {
			edge.startedAt = simStart - sim.randomBetween(0, 10*second)
		}
		sim.addServer(edge)
	}
}

// addServer adds a server that is ready and has no cached copies.
func (sim *simulation) addServer(s *simServer) {
	s.state, s.slowdown, s.copies = stateReady, 1, map[objectKey]int64{}
	sim.servers = append(sim.servers, s)
	sim.byHost[s.host] = s
}

// startRouters starts two routers and sends them the full endpoint list.
func (sim *simulation) startRouters() {
	for i := range 2 {
		router := &simRouter{instance: uint16(3 + i), zone: zoneEdgeA, peerNumber: uint32(i)}
		if i == 1 && sim.variant.options.routersInTwoZones {
			router.zone = zoneEdgeB
		}
		document := newSettingsDocument(sim.variant.overrides)
		document["zone"] = router.zone
		document["me"] = router.peerNumber
		sim.fillStatusReported = document["familyInfo"].(map[string]any)["notesGiven"].(string)
		router.settings = document.text()
		sim.routers = append(sim.routers, router)
		sim.startRouter(router)
	}
	sim.sendUpdate(updateFull, sim.servers)
}

// startRouter starts or restarts a router without state.
func (sim *simulation) startRouter(r *simRouter) {
	r.requests = map[uint32]*simRequest{}
	r.incarnation++
	sim.batch.add(eventStartInstance, r.instance, sim.random.Uint64(), uint32(len(r.settings)), r.settings)
}

// sendUpdate sends all routers an endpoint update of the given kind with the servers.
func (sim *simulation) sendUpdate(kind uint8, servers []*simServer) {
	sim.sendEndpointList(servers)
	for _, r := range sim.routers {
		sim.batch.add(eventEndpointUpdate, r.instance, kind, sim.listVersion, uint16(1))
	}
}

// sendEndpointList sends the servers as an endpoint list of a new version, for endpoint updates in the same batch.
func (sim *simulation) sendEndpointList(servers []*simServer) {
	sim.listVersion++
	var endpoints []byte
	for _, s := range servers {
		endpoints = appendFields(endpoints, s.host, uint16(s.zone), uint8(s.kind), s.state, s.startedAt,
			s.weight, s.cell)
	}
	sim.batch.add(eventEndpointList, uint16(1), uint32(len(servers)), endpoints)
}

// sendUpdateLater sends all routers the changed servers after the delay of discovery, 0.1 to 1.5 seconds, in the state
// that the servers have then.
func (sim *simulation) sendUpdateLater(servers ...*simServer) {
	sim.scheduleAfter(sim.randomBetween(100*millisecond, 1500*millisecond), func() {
		sim.sendUpdate(updateDelta, servers)
	})
}

// randomBetween returns a random number of at least low and below high.
func (sim *simulation) randomBetween(low, high int64) int64 { return low + sim.random.Int64N(high-low) }

// chance returns true with a probability of n percent.
func (sim *simulation) chance(n int) bool { return sim.random.IntN(100) < n }

// scheduleAfter schedules a function to run after a delay, at least 1 ns from now.
func (sim *simulation) scheduleAfter(delay int64, run func()) {
	sim.scheduleAt(sim.now+max(delay, 1), run)
}

// scheduleAt schedules a function to run at a time.
func (sim *simulation) scheduleAt(at int64, run func()) {
	sim.scheduledCount++
	heap.Push(&sim.queue, scheduledEvent{at, sim.scheduledCount, run})
}

// run runs the simulation until its end time. It sends the events of each quantum as a batch and handles the actions of
// the reply before the clock advances; quanta without events send no batch.
func (sim *simulation) run() error {
	for sim.now < sim.endTime && sim.err == nil {
		actions, err := sim.simhost.exchange(&sim.batch, sim.now)
		if err != nil {
			return err
		}
		for _, action := range actions {
			sim.handleAction(action)
		}
		for sim.batch.count == 0 && sim.now < sim.endTime {
			sim.advance()
		}
	}
	return sim.err
}

// advance moves the clock by at least a quantum, to the next multiple of the quantum at which a scheduled event is due,
// and runs all events that are due by then. Without scheduled events it moves the clock to the end time.
func (sim *simulation) advance() {
	next := sim.now + simQuantum
	if len(sim.queue) == 0 {
		sim.now = sim.endTime
		return
	}
	quanta := (sim.queue[0].at - simStart + simQuantum - 1) / simQuantum
	sim.now = max(next, simStart+quanta*simQuantum)
	for len(sim.queue) > 0 && sim.queue[0].at <= sim.now {
		heap.Pop(&sim.queue).(scheduledEvent).run()
	}
}

// scheduleRequests schedules count random requests for each router, at random times of the sequence.
func (sim *simulation) scheduleRequests(count int) {
	for _, r := range sim.routers {
		for range count {
			sim.scheduleAt(sim.randomBetween(simStart, sim.endTime), func() { sim.submit(r, sim.randomRequest(), 0) })
		}
	}
}

// randomRequest returns a request for a random object of at most 120, some of which are requested far more often. Its
// deadline is that of its class, or a third of it in 10% of the cases.
func (sim *simulation) randomRequest() *simRequest {
	popularity := uint64(sim.random.IntN(1 + sim.random.IntN(120)))
	class := sim.random.IntN(len(simClasses))
	if sim.chance(40) {
		class = sim.random.IntN(2)
	}
	q := &simRequest{class: class, key: objectKey{(popularity + 1) * 0x9e3779b97f4a7c15 >> 16, sim.random.IntN(2)},
		group: int(popularity % purgeGroupCount), sizeKB: sim.randomBetween(20, 900)}
	q.deadline = simClasses[class].deadline
	if sim.chance(10) {
		q.deadline /= 3
	}
	return q
}

// submit sends a request to a router and schedules its close at the deadline, or before it in 5% of the cases. It turns
// the request's deadline from a duration into a time. 10% of the requests do not report the size of the answer.
func (sim *simulation) submit(r *simRouter, q *simRequest, flags uint16) {
	r.lastID++
	q.id = r.lastID
	q.deadline += sim.now
	r.requests[q.id] = q
	if simClasses[q.class].write {
		flags |= flagWrite
	}
	reportedSizeKB := float32(q.sizeKB)
	if sim.chance(10) {
		reportedSizeKB = 0
	}
	class := uint16(q.class)
	if sim.chance(1) {
		class = 99 // a class that the settings do not have
	}
	sim.batch.add(eventRequest, r.instance, q.id, class, uint16(sim.random.IntN(3)), q.key.object, q.deadline,
		reportedSizeKB, float32(q.group), float32(q.key.part), flags)
	closeAt := q.deadline
	if sim.chance(5) {
		closeAt = sim.randomBetween(sim.now+1, q.deadline)
	}
	sim.scheduleAt(closeAt, func() { sim.closeRequest(r, q) })
}

// closeRequest ends a request that is still open, as its client has disconnected or its deadline has passed.
func (sim *simulation) closeRequest(r *simRouter, q *simRequest) {
	if q.ended || r.requests[q.id] != q {
		return
	}
	q.ended = true
	sim.batch.add(eventRequestClosed, r.instance, q.id)
}

// fail ends the sequence with an error. Errors after the first are ignored.
func (sim *simulation) fail(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf(format, args...)
	}
}

// router returns the router with the given instance number; the first has 3.
func (sim *simulation) router(instance uint16) *simRouter { return sim.routers[instance-3] }
