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

	worldStart   = 100 * second
	worldQuantum = 2 * millisecond
)

// Zones, kinds and hosts of the world's site, as the settings have them.
const (
	zoneHubA  = 0
	zoneHubB  = 1
	zoneHere  = 2
	zoneThere = 3

	kindEdge   = 0
	kindParent = 1
	kindOrigin = 2

	hostOrigin      = hostAddress(0x0a0000011388)
	hostFirstParent = hostAddress(0x0a0100011388)
	hostFirstEdge   = hostAddress(0x0a0200011388)
	hostStep        = hostAddress(0x10000) // between addresses with the same port
)

// worldOptions are what families differ by apart from settings and faults.
type worldOptions struct {
	peerZones      bool // the second router serves the other zone
	withoutParents bool
	unevenWeights  bool
	crowded        bool // servers hold few requests at once
	coldStart      bool // some edges have started just before the sequence
	streams        bool
	reportFields   int
}

// worldClass is what the world needs to know of a class of requests.
type worldClass struct {
	deadline int64
	write    bool
}

var worldClasses = []worldClass{{deadline: 4 * second}, {deadline: 2 * second}, {deadline: 2 * second},
	{deadline: 2 * second, write: true}, {deadline: 1500 * millisecond}, {deadline: 1500 * millisecond}}

// serverHealth is how a server treats what is sent to it.
type serverHealth int

const (
	serverWell serverHealth = iota
	serverDead              // its machine refuses connections
	serverSilent
	serverRefusing
	serverErring
	serverResetting
)

type objectKey struct {
	object uint64
	part   int
}

// worldServer is a cache, a parent or the origin.
type worldServer struct {
	host     hostAddress
	zone     int
	kind     int
	state    uint8
	started  int64
	weight   float32
	cell     uint16
	health   serverHealth
	slowness int64 // times that its answers take longer
	inFlight int
	copies   map[objectKey]int64 // when each was made
}

// worldAttempt is one attempt of a request.
type worldAttempt struct {
	target, source *worldServer
	sent           int64
	open           bool
}

// worldRequest is a request that a router owes, or owed, an answer.
type worldRequest struct {
	id       uint32
	class    int
	key      objectKey
	group    int
	sizeKB   int64
	giveUpAt int64
	attempts []*worldAttempt
	started  bool // its answer is being streamed
	ended    bool
}

// worldRouter is one instance under test.
type worldRouter struct {
	instance    uint16
	zone        int
	number      uint32 // among its peers
	settings    []byte
	requests    map[uint32]*worldRequest
	lastID      uint32
	incarnation int // counts restarts
}

// scheduled is something that happens at its time.
type scheduled struct {
	at, order int64
	happen    func()
}

type schedule []scheduled

func (s schedule) Len() int      { return len(s) }
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduled)) }
func (s schedule) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// world plays clients, servers, discovery and time around the routers of one sequence.
type world struct {
	family  goldenFamily
	random  *rand.Rand
	process *routerProcess
	batch   batchBuilder
	now     int64
	end     int64
	queue   schedule
	order   int64
	routers []*worldRouter
	servers []*worldServer // the origin is the first
	byHost  map[hostAddress]*worldServer
	version uint64
	purged  map[uint64]int64 // objects, when last
	cleared [purgeGroups]int64
	capable int // requests that a server holds at once
	notes   string
	failing bool // the origin fails fills
	lossy   int  // percent of answers that are lost
	err     error
}

const purgeGroups = 7

// playWorld plays one sequence to its end.
func playWorld(family goldenFamily, seed uint64) (replyDigest, error) {
	w := &world{family: family, random: rand.New(rand.NewPCG(seed, 0x601d)), process: startRouterProcess(),
		now: worldStart, byHost: map[hostAddress]*worldServer{}, purged: map[uint64]int64{}, capable: 60}
	if family.options.crowded {
		w.capable = 8
	}
	seconds := []int64{3, 5, 8, 20}[w.random.IntN(4)]
	w.end = worldStart + seconds*second
	w.buildSite()
	w.startRouters()
	w.planRequests(100 + w.random.IntN(120))
	w.planFaults()
	err := w.run()
	if stopped := w.process.stop(); err == nil {
		err = stopped
	}
	return w.process.digest, err
}

func (w *world) buildSite() {
	w.addServer(&worldServer{host: hostOrigin, zone: zoneHubA, kind: kindOrigin, weight: 40})
	if !w.family.options.withoutParents {
		for i := range 4 {
			host := hostFirstParent + hostAddress(i)*hostStep
			w.addServer(&worldServer{host: host, zone: i / 2, kind: kindParent, weight: 12})
		}
	}
	here := 3 + w.random.IntN(5)
	for i := range here + 3 {
		zone := zoneHere
		if i >= here {
			zone = zoneThere
		}
		edge := &worldServer{host: hostFirstEdge + hostAddress(i)*hostStep, zone: zone, weight: 6, cell: uint16(i % 2)}
		if w.family.options.unevenWeights {
			edge.weight = float32(w.random.IntN(5)) * 3
		}
		if w.family.options.coldStart && w.random.IntN(2) == 0 {
			edge.started = worldStart - w.between(0, 10*second)
		}
		w.addServer(edge)
	}
}

func (w *world) addServer(s *worldServer) {
	s.state, s.slowness, s.copies = memberReady, 1, map[objectKey]int64{}
	w.servers = append(w.servers, s)
	w.byHost[s.host] = s
}

func (w *world) startRouters() {
	for i := range 2 {
		router := &worldRouter{instance: uint16(3 + i), zone: zoneHere, number: uint32(i)}
		if i == 1 && w.family.options.peerZones {
			router.zone = zoneThere
		}
		document := newSettingsDocument(w.family.overrides)
		document["zone"] = router.zone
		document["me"] = router.number
		w.notes = document["familyInfo"].(map[string]any)["notesGiven"].(string)
		router.settings = document.text()
		w.routers = append(w.routers, router)
		w.bear(router)
	}
	w.tellList(listFull, w.servers)
}

// bear starts a router that knows nothing.
func (w *world) bear(r *worldRouter) {
	r.requests = map[uint32]*worldRequest{}
	r.incarnation++
	w.batch.add(eventBorn, r.instance, w.random.Uint64(), uint32(len(r.settings)), r.settings)
}

// tellList tells all routers of servers.
func (w *world) tellList(kind uint8, servers []*worldServer) {
	w.fillBank(servers)
	for _, r := range w.routers {
		w.batch.add(eventMembers, r.instance, kind, w.version, uint16(1))
	}
}

func (w *world) fillBank(servers []*worldServer) {
	w.version++
	var members []byte
	for _, s := range servers {
		members = appendFields(members, s.host, uint16(s.zone), uint8(s.kind), s.state, s.started, s.weight, s.cell)
	}
	w.batch.add(eventMemberBank, uint16(1), uint32(len(servers)), members)
}

// tellListLater tells of servers as they are after the delay of discovery.
func (w *world) tellListLater(servers ...*worldServer) {
	w.after(w.between(100*millisecond, 1500*millisecond), func() { w.tellList(listChanges, servers) })
}

// between draws a number from low up to, but not including, high.
func (w *world) between(low, high int64) int64 { return low + w.random.Int64N(high-low) }

// percent is true in so many cases of a hundred.
func (w *world) percent(n int) bool { return w.random.IntN(100) < n }

func (w *world) after(delay int64, happen func()) { w.at(w.now+max(delay, 1), happen) }

func (w *world) at(at int64, happen func()) {
	w.order++
	heap.Push(&w.queue, scheduled{at, w.order, happen})
}

// run delivers what falls due, in batches a quantum apart, until the end.
func (w *world) run() error {
	for w.now < w.end && w.err == nil {
		actions, err := w.process.exchange(&w.batch, w.now)
		if err != nil {
			return err
		}
		for _, action := range actions {
			w.perform(action)
		}
		for w.batch.count == 0 && w.now < w.end {
			w.advance()
		}
	}
	return w.err
}

// advance moves to the next quantum in which something is due.
func (w *world) advance() {
	next := w.now + worldQuantum
	if len(w.queue) == 0 {
		w.now = w.end
		return
	}
	quanta := (w.queue[0].at - worldStart + worldQuantum - 1) / worldQuantum
	w.now = max(next, worldStart+quanta*worldQuantum)
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		heap.Pop(&w.queue).(scheduled).happen()
	}
}

func (w *world) planRequests(count int) {
	for _, r := range w.routers {
		for range count {
			w.at(w.between(worldStart, w.end), func() { w.ask(r, w.newRequest(), 0) })
		}
	}
}

func (w *world) newRequest() *worldRequest {
	popularity := uint64(w.random.IntN(1 + w.random.IntN(120)))
	class := w.random.IntN(len(worldClasses))
	if w.percent(40) {
		class = w.random.IntN(2)
	}
	q := &worldRequest{class: class, key: objectKey{(popularity + 1) * 0x9e3779b97f4a7c15 >> 16, w.random.IntN(2)},
		group: int(popularity % purgeGroups), sizeKB: w.between(20, 900)}
	q.giveUpAt = worldClasses[class].deadline
	if w.percent(10) {
		q.giveUpAt /= 3
	}
	return q
}

// ask hands a request to a router. Until then giveUpAt holds how long the client waits.
func (w *world) ask(r *worldRouter, q *worldRequest, flags uint16) {
	r.lastID++
	q.id = r.lastID
	q.giveUpAt += w.now
	r.requests[q.id] = q
	if worldClasses[q.class].write {
		flags |= flagWrite
	}
	sizeTold := float32(q.sizeKB)
	if w.percent(10) {
		sizeTold = 0
	}
	class := uint16(q.class)
	if w.percent(1) {
		class = 99 // of an unknown class
	}
	w.batch.add(eventRequest, r.instance, q.id, class, uint16(w.random.IntN(3)), q.key.object, q.giveUpAt,
		sizeTold, float32(q.group), float32(q.key.part), flags)
	leaves := q.giveUpAt
	if w.percent(5) {
		leaves = w.between(w.now+1, q.giveUpAt)
	}
	w.at(leaves, func() { w.expire(r, q) })
}

// expire ends a request whose client has left.
func (w *world) expire(r *worldRouter, q *worldRequest) {
	if q.ended || r.requests[q.id] != q {
		return
	}
	q.ended = true
	w.batch.add(eventExpired, r.instance, q.id)
}

// fail stops the sequence.
func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

func (w *world) router(instance uint16) *worldRouter { return w.routers[instance-3] }
