package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
)

// Times of the world are nanoseconds, as on the wire.
const (
	microsecond = int64(1000)
	millisecond = 1000 * microsecond
	second      = 1000 * millisecond

	simStart   = 100 * second
	simQuantum = 2 * millisecond
)

// Zones, kinds and hosts of the world's site, as the settings have them.
const (
	zoneHubA  = 0
	zoneHubB  = 1
	zoneEdgeA = 2
	zoneEdgeB = 3

	kindEdge   = 0
	kindParent = 1
	kindOrigin = 2

	hostOrigin      = hostAddress(0x0a0000011388)
	hostFirstParent = hostAddress(0x0a0100011388)
	hostFirstEdge   = hostAddress(0x0a0200011388)
	hostStride      = hostAddress(0x10000) // between addresses with the same port
)

// worldOptions are what families differ by apart from settings and faults.
type simOptions struct {
	routersInTwoZones bool // the second router serves the other zone
	withoutParents    bool
	unevenWeights     bool
	lowCapacity       bool // servers hold few requests at once
	coldStart         bool // some edges have started just before the sequence
	streaming         bool
	loadReportFields  int
}

// worldClass is what the world needs to know of a class of requests.
type simClass struct {
	deadline int64
	write    bool
}

var simClasses = []simClass{{deadline: 4 * second}, {deadline: 2 * second}, {deadline: 2 * second},
	{deadline: 2 * second, write: true}, {deadline: 1500 * millisecond}, {deadline: 1500 * millisecond}}

// serverHealth is how a server treats what is sent to it.
type serverHealth int

const (
	serverHealthy serverHealth = iota
	serverDown                 // its machine refuses connections
	serverUnresponsive
	serverRejecting
	serverErroring
	serverResetting
)

type objectKey struct {
	object uint64
	part   int
}

// worldServer is a cache, a parent or the origin.
type simServer struct {
	host      hostAddress
	zone      int
	kind      int
	state     uint8
	startedAt int64
	weight    float32
	cell      uint16
	health    serverHealth
	slowdown  int64 // times that its answers take longer
	inFlight  int
	copies    map[objectKey]int64 // when each was made
}

// worldAttempt is one attempt of a request.
type simAttempt struct {
	target, source *simServer
	sentAt         int64
	open           bool
}

// worldRequest is a request that a router owes, or owed, an answer.
type simRequest struct {
	id        uint32
	class     int
	key       objectKey
	group     int
	sizeKB    int64
	deadline  int64
	attempts  []*simAttempt
	streaming bool // its answer is being streamed
	ended     bool
}

// worldRouter is one instance under test.
type simRouter struct {
	instance    uint16
	zone        int
	peerNumber  uint32 // among its peers
	settings    []byte
	requests    map[uint32]*simRequest
	lastID      uint32
	incarnation int // counts restarts
}

// scheduled is something that happens at its time.
type scheduledEvent struct {
	at, order int64
	run       func()
}

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

// world plays clients, servers, discovery and time around the routers of one sequence.
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
	servers            []*simServer // the origin is the first
	byHost             map[hostAddress]*simServer
	listVersion        uint64
	objectPurgedAt     map[uint64]int64 // objects, when last
	groupPurgedAt      [purgeGroupCount]int64
	serverCapacity     int // requests that a server holds at once
	fillStatusReported string
	originFailing      bool // the origin fails fills
	lossPercent        int  // percent of answers that are lost
	err                error
}

const purgeGroupCount = 7

// playWorld plays one sequence to its end.
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

func (sim *simulation) addServer(s *simServer) {
	s.state, s.slowdown, s.copies = stateReady, 1, map[objectKey]int64{}
	sim.servers = append(sim.servers, s)
	sim.byHost[s.host] = s
}

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

// bear starts a router that knows nothing.
func (sim *simulation) startRouter(r *simRouter) {
	r.requests = map[uint32]*simRequest{}
	r.incarnation++
	sim.batch.add(eventStartInstance, r.instance, sim.random.Uint64(), uint32(len(r.settings)), r.settings)
}

// tellList tells all routers of servers.
func (sim *simulation) sendUpdate(kind uint8, servers []*simServer) {
	sim.sendEndpointList(servers)
	for _, r := range sim.routers {
		sim.batch.add(eventEndpointUpdate, r.instance, kind, sim.listVersion, uint16(1))
	}
}

func (sim *simulation) sendEndpointList(servers []*simServer) {
	sim.listVersion++
	var members []byte
	for _, s := range servers {
		members = appendFields(members, s.host, uint16(s.zone), uint8(s.kind), s.state, s.startedAt, s.weight, s.cell)
	}
	sim.batch.add(eventEndpointList, uint16(1), uint32(len(servers)), members)
}

// tellListLater tells of servers as they are after the delay of discovery.
func (sim *simulation) sendUpdateLater(servers ...*simServer) {
	sim.scheduleAfter(sim.randomBetween(100*millisecond, 1500*millisecond), func() { sim.sendUpdate(updateDelta, servers) })
}

// between draws a number from low up to, but not including, high.
func (sim *simulation) randomBetween(low, high int64) int64 { return low + sim.random.Int64N(high-low) }

// percent is true in so many cases of a hundred.
func (sim *simulation) chance(n int) bool { return sim.random.IntN(100) < n }

func (sim *simulation) scheduleAfter(delay int64, run func()) {
	sim.scheduleAt(sim.now+max(delay, 1), run)
}

func (sim *simulation) scheduleAt(at int64, run func()) {
	sim.scheduledCount++
	heap.Push(&sim.queue, scheduledEvent{at, sim.scheduledCount, run})
}

// run delivers what falls due, in batches a quantum apart, until the end.
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

// advance moves to the next quantum in which something is due.
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

func (sim *simulation) scheduleRequests(count int) {
	for _, r := range sim.routers {
		for range count {
			sim.scheduleAt(sim.randomBetween(simStart, sim.endTime), func() { sim.submit(r, sim.randomRequest(), 0) })
		}
	}
}

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

// ask hands a request to a router. Until then giveUpAt holds how long the client waits.
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
		class = 99 // of an unknown class
	}
	sim.batch.add(eventRequest, r.instance, q.id, class, uint16(sim.random.IntN(3)), q.key.object, q.deadline,
		reportedSizeKB, float32(q.group), float32(q.key.part), flags)
	closeAt := q.deadline
	if sim.chance(5) {
		closeAt = sim.randomBetween(sim.now+1, q.deadline)
	}
	sim.scheduleAt(closeAt, func() { sim.closeRequest(r, q) })
}

// expire ends a request whose client has left.
func (sim *simulation) closeRequest(r *simRouter, q *simRequest) {
	if q.ended || r.requests[q.id] != q {
		return
	}
	q.ended = true
	sim.batch.add(eventRequestClosed, r.instance, q.id)
}

// fail stops the sequence.
func (sim *simulation) fail(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf(format, args...)
	}
}

func (sim *simulation) router(instance uint16) *simRouter { return sim.routers[instance-3] }
