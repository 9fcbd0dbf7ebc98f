// Package testbed runs experiments on real directors. It starts a fleet of directors as separate processes, together
// with stand-ins for all their peers (the discovery service, caches, parents, the origin and clients). It injects
// faults between them as an experiment's script says, and records everything that passes the stand-ins in one history.
//
// internal/checker judges the history. It shares no code with this package or with the program under test.
package testbed

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

const originName = "s-origin"

// Groups of loopback addresses, for loopbackIP. The groups of the servers have the numbers of their tiers (0 to 2).
const (
	discoveryGroup = 3
	directorGroup  = 4
)

// Testbed is one run of an experiment.
type Testbed struct {
	experiment   *Experiment
	binary       string
	operatorFile string // operator's configuration file, shared by all directors
	dir          string
	history      *historyWriter
	rng          *rand.Rand
	subnet       byte // second byte of all addresses; it separates concurrent runs

	starter       *starter
	faults        *faultInjector
	discovery     *discoveryService
	directors     []*process
	directorByRef sync.Map // director of each attempt, by ref

	mu          sync.Mutex
	servers     map[string]*server
	caches      []*server // in the order of the list
	parents     []*server
	origin      *server
	serverCount int   // servers started so far; the name of a new server contains it
	err         error // first error of a stand-in
	load        *loadGenerator
}

// Options holds the parameters of a run that are not part of the experiment.
type Options struct {
	Binary   string           // path of the program under test
	Dir      string           // existing directory for the history, configurations and logs
	Progress func(at float64) // called every second with the seconds since the load began; may be nil
}

// Run runs an experiment and writes its history to Dir/record.jsonl. All processes that it started have exited when it
// returns, even if ctx is cancelled or it panics. It returns an error if the experiment did not reach its end
// or a stand-in failed.
func Run(ctx context.Context, experiment *Experiment, options Options) (err error) {
	testbed := &Testbed{
		experiment: experiment,
		binary:     options.Binary,
		dir:        options.Dir,
		rng:        rand.New(rand.NewPCG(experiment.Seed, 1)),
		subnet:     subnetOf(options.Dir),
		faults:     newFaultInjector(),
		servers:    map[string]*server{},
		starter:    newStarter(),
	}
	testbed.history, err = newHistoryWriter(filepath.Join(options.Dir, "record.jsonl"))
	if err != nil {
		return err
	}
	defer func() {
		testbed.shutDown()
		closeErr := testbed.history.close()
		switch {
		case err != nil:
		case testbed.err != nil:
			err = testbed.err
		default:
			err = closeErr
		}
	}()
	testbed.operatorFile = filepath.Join(options.Dir, "shaleyard.toml")
	if err := os.WriteFile(testbed.operatorFile, []byte("[list]\nstart_ms = 1500\n"), 0o600); err != nil {
		return err
	}
	if err := testbed.startStandIns(); err != nil {
		return err
	}
	return testbed.play(ctx, options.Progress)
}

// subnetOf returns the second byte of a run's loopback addresses, a hash of the run's folder and the process ID.
// Without distinct addresses, a concurrent run could take over the port of a listener that this run has closed for a
// while.
func subnetOf(dir string) byte {
	const first, count = 16, 200
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, dir, os.Getpid())
	return byte(first + hash.Sum32()%count)
}

// loopbackIP returns the loopback address of a member of an address group. Each member has its own address.
func (t *Testbed) loopbackIP(group, member int) net.IP {
	return net.IPv4(127, t.subnet, byte(group<<4|member>>8), byte(member))
}

// fail stores the first error of a stand-in. Run returns it once the script and the load have ended.
func (t *Testbed) fail(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err == nil {
		t.err = err
	}
}

func (t *Testbed) serverNamed(name string) *server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servers[name]
}

// directorFor returns the director to which the attempt with this ref was sent. known is false if there is no such
// attempt.
func (t *Testbed) directorFor(ref string) (id int, known bool) {
	value, ok := t.directorByRef.Load(ref)
	if !ok {
		return 0, false
	}
	return value.(int), true
}

// branchOfDirector returns the index of the branch that a director serves.
func (t *Testbed) branchOfDirector(director int) int {
	return director % t.experiment.Branches
}

// addServer starts a server with a new name. If addr is nil, the server gets a new address. The origin always has the
// same name.
func (t *Testbed) addServer(tier tier, zone string, spec ServerSpec, addr *net.TCPAddr, cold bool) (*server, error) {
	t.mu.Lock()
	t.serverCount++
	number := t.serverCount
	t.mu.Unlock()
	name := fmt.Sprintf("s-%04d", number)
	if tier == originTier {
		name = originName
	}
	if addr == nil {
		addr = &net.TCPAddr{IP: t.loopbackIP(int(tier), number)}
	}
	standIn, err := t.newServer(name, zone, tier, spec, addr, cold)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	t.servers[name] = standIn
	t.mu.Unlock()
	return standIn, nil
}

// startStandIns starts the discovery service and the servers, publishes the first list and opens the discovery
// service's address for each director. The directors and the load start later, in play.
func (t *Testbed) startStandIns() error {
	experiment := t.experiment
	t.discovery = newDiscoveryService(t)
	var err error
	t.caches, err = t.addServers(
		cacheTier,
		experiment.Caches,
		func(i int) string { return branchName(i % experiment.Branches) },
	)
	if err != nil {
		return err
	}
	t.parents, err = t.addServers(
		parentTier,
		experiment.Parents,
		func(i int) string { return hubName(i % experiment.Hubs) },
	)
	if err != nil {
		return err
	}
	t.origin, err = t.addServer(originTier, hubName(0), ServerSpec{Weight: 1000}, nil, false)
	if err != nil {
		return err
	}
	all := append(slices.Concat(t.caches, t.parents), t.origin)
	for _, standIn := range all {
		t.history.record(Event{Kind: "member", Who: standIn.name, What: "ready", Number: 1})
	}
	t.discovery.publish(func(revision int) string { return membersEvent(revision, true, all...) }, Event{What: "list"})
	if !experiment.Caches.Cold && !experiment.Parents.Cold {
		t.warmUp(t.caches)
		t.warmUp(t.parents)
	}
	for i := range experiment.Directors {
		p := &process{testbed: t, id: i}
		if p.discoveryAddress, err = t.discovery.listen(i); err != nil {
			return err
		}
		t.directors = append(t.directors, p)
	}
	return nil
}

// addServers starts spec.Count servers; zoneOf returns the zone of the i-th one.
func (t *Testbed) addServers(tier tier, spec ServerSpec, zoneOf func(i int) string) ([]*server, error) {
	var group []*server
	for i := range spec.Count {
		standIn, err := t.addServer(tier, zoneOf(i), spec, nil, spec.Cold)
		if err != nil {
			return nil, err
		}
		group = append(group, standIn)
	}
	return group, nil
}

// warmUp puts the more popular half of the objects into the caches of a group of servers, as if clients had requested
// these objects recently.
func (t *Testbed) warmUp(group []*server) {
	for _, standIn := range group {
		for i := range t.experiment.Clients.Objects/2 + 1 {
			standIn.cached[fmt.Sprintf("%016x/0", i+1)] = cachedCopy{since: time.Now()}
		}
	}
}

// membersEvent returns an event of the discovery service as a JSON line: a snapshot, which lists all servers, or an
// update of the listed servers.
func membersEvent(revision int, snapshot bool, list ...*server) string {
	text := ""
	for i, standIn := range list {
		if i > 0 {
			text += ","
		}
		started := int64(0)
		if standIn.cold {
			started = standIn.startedAt.UnixMilli()
		}
		text += fmt.Sprintf(
			`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":0,"status":%q,"weight":%v,"since_ms":%d}`,
			standIn.name,
			standIn.addr.String(),
			standIn.zone,
			kindNames[standIn.tier],
			standIn.state,
			standIn.spec.Weight,
			started,
		)
	}
	return fmt.Sprintf(
		`{"n":%d,"members":{"index":%d,"snapshot":%v,"endpoints":[%s]}}`,
		revision,
		revision,
		snapshot,
		text,
	)
}

// objectSize returns the size of an object as a multiple of the mean size. Sizes have a lognormal distribution and are
// derived from the name of the object alone, so that clients and servers compute the same size.
func (t *Testbed) objectSize(object string) float64 {
	sigma := t.experiment.Clients.SizeSigma
	if sigma == 0 {
		return 1
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, object)
	rng := rand.New(rand.NewPCG(hash.Sum64(), 11))
	return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
}

// transferWork returns the time that a transfer of an object takes at full rate, in seconds.
func (t *Testbed) transferWork(object string) float64 {
	return t.experiment.Clients.TransferMS / 1000 * t.objectSize(object)
}

// startDirectors starts directors in parallel. With keepRevision, each one gets the endpoint list of its previous start
// instead of the current list.
func (t *Testbed) startDirectors(ids []int, keepRevision bool) error {
	var started sync.WaitGroup
	errs := make([]error, len(ids))
	for i, id := range ids {
		started.Go(func() { errs[i] = t.directors[id].start(keepRevision) })
	}
	started.Wait()
	return errors.Join(errs...)
}

// restart waits until the previous processes of the directors have exited, and starts them with their previous lists.
func (t *Testbed) restart(ids []int) error {
	for _, id := range ids {
		p := t.directors[id]
		p.mu.Lock()
		exited := p.exited
		p.mu.Unlock()
		<-exited
	}
	return t.startDirectors(ids, true)
}

// recordLag records by how much the testbed's own timers are late, until ctx is done. On an overloaded machine neither
// the testbed nor the directors meet their deadlines, so the checker extends its limits according to the recorded lag.
func (t *Testbed) recordLag(ctx context.Context) {
	const (
		interval       = 20 * time.Millisecond
		minRecordedLag = 5 * time.Millisecond
	)
	for ctx.Err() == nil {
		start := time.Now()
		time.Sleep(interval)
		if late := time.Since(start) - interval; late > minRecordedLag {
			t.history.record(Event{Kind: "lag", Value: float64(late.Microseconds()) / 1000})
		}
	}
}

// publishState sets the state of a server and publishes it through the discovery service.
func (t *Testbed) publishState(standIn *server, state string) {
	standIn.mu.Lock()
	standIn.state = state
	standIn.mu.Unlock()
	build := func(revision int) string { return membersEvent(revision, false, standIn) }
	t.discovery.publish(build, Event{Who: standIn.name, What: state})
}

// shutDown kills all directors and closes all listeners and connections of the stand-ins.
func (t *Testbed) shutDown() {
	var ended sync.WaitGroup
	for _, p := range t.directors {
		ended.Go(p.kill)
	}
	ended.Wait()
	if t.discovery != nil {
		t.discovery.close()
	}
	t.mu.Lock()
	servers := t.servers
	t.mu.Unlock()
	for _, standIn := range servers {
		standIn.mu.Lock()
		_ = standIn.listener.Close()
		for conn := range standIn.conns {
			_ = conn.Close()
		}
		standIn.mu.Unlock()
	}
}
