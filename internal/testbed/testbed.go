// Package testbed starts a fleet of directors as processes of their own between stand-ins for everything that they talk
// to (the list service, caches, parents, the origin, clients), injects faults between them by a script, and records all
// that crosses the stand-ins in one history. internal/checker judges the history; it shares no code with this package
// or with the program under test.
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

// Groups of loopback addresses. Those of servers are numbered by their tier.
const (
	discoveryGroup = 3
	directorGroup  = 4
)

// Testbed is one run of an experiment.
type Testbed struct {
	experiment   *Experiment
	binary       string
	operatorFile string // of all directors
	dir          string
	history      *historyWriter
	rng          *rand.Rand
	subnet       byte // second byte of all addresses, so that two runs at once keep apart

	starter       *starter
	faults        *faultInjector
	discovery     *discoveryService
	directors     []*process
	directorByRef sync.Map

	mu          sync.Mutex
	servers     map[string]*server
	caches      []*server // as listed, in order
	parents     []*server
	origin      *server
	serverCount int // names new servers
	err         error
	load        *loadGenerator
}

// Options say how an experiment is run.
type Options struct {
	Binary   string           // the program under test
	Dir      string           // for the history and the logs; it must exist
	Progress func(at float64) // called about each second, with the seconds of load; nil: none
}

// Run plays an experiment and leaves its history in Dir/record.jsonl. All processes are gone when it returns, also when
// ctx ends it early or it panics.
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

// subnetOf is the second byte of a run's addresses. It follows from the run's folder, as runs side by side in one
// process would share addresses otherwise: the port of what one takes down could be taken by another.
func subnetOf(dir string) byte {
	const first, count = 16, 200
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, dir, os.Getpid())
	return byte(first + hash.Sum32()%count)
}

// loopbackIP is an address on loopback: each group, and each member of it, has its own.
func (t *Testbed) loopbackIP(group, member int) net.IP {
	return net.IPv4(127, t.subnet, byte(group<<4|member>>8), byte(member))
}

// fail keeps the first error of a stand-in, which ends the run.
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

func (t *Testbed) directorFor(ref string) (id int, known bool) {
	value, ok := t.directorByRef.Load(ref)
	if !ok {
		return 0, false
	}
	return value.(int), true
}

// branchOfDirector is the branch that a director serves.
func (t *Testbed) branchOfDirector(director int) int {
	return director % t.experiment.Branches
}

// addServer starts a server under a new name; addr nil: at an address of its own.
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

// startStandIns starts the stand-ins; the directors are started by play.
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

// addServers starts a group of servers, spread over zones.
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

// warmUp has servers hold what they would have been asked for lately: the more wanted half of the objects.
func (t *Testbed) warmUp(group []*server) {
	for _, standIn := range group {
		for i := range t.experiment.Clients.Objects/2 + 1 {
			standIn.cached[fmt.Sprintf("%016x/0", i+1)] = cachedCopy{since: time.Now()}
		}
	}
}

// membersEvent is a line of the list service: a snapshot of all servers, or a change of some.
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

// objectSize is how large an object is, as a multiple of the mean: lognormal, by its name alone, so that all agree on
// it.
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

// transferWork is the time that a transfer of an object takes at full rate, in seconds.
func (t *Testbed) transferWork(object string) float64 {
	return t.experiment.Clients.TransferMS / 1000 * t.objectSize(object)
}

// startDirectors starts directors all at once; last: with the endpoint list that each had before.
func (t *Testbed) startDirectors(ids []int, last bool) error {
	var started sync.WaitGroup
	errs := make([]error, len(ids))
	for i, id := range ids {
		started.Go(func() { errs[i] = t.directors[id].start(last) })
	}
	started.Wait()
	return errors.Join(errs...)
}

// restart starts directors with the list that they had, once their old processes are gone.
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

// recordLag records how late the testbed itself is: on a machine with too much to do neither it nor the directors can
// keep their times, and the checker allows for what was seen here.
func (t *Testbed) recordLag(ctx context.Context) {
	const (
		step       = 20 * time.Millisecond
		noticeable = 5 * time.Millisecond
	)
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(step)
		if late := time.Since(began) - step; late > noticeable {
			t.history.record(Event{Kind: "lag", Value: float64(late.Microseconds()) / 1000})
		}
	}
}

// publishState has the list tell of a server's state.
func (t *Testbed) publishState(standIn *server, state string) {
	standIn.mu.Lock()
	standIn.state = state
	standIn.mu.Unlock()
	build := func(revision int) string { return membersEvent(revision, false, standIn) }
	t.discovery.publish(build, Event{Who: standIn.name, What: state})
}

// shutDown leaves nothing behind.
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
