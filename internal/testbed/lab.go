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
	"syscall"
	"time"
)

const originName = "s-origin"

// Testbed is one run of an experiment.
type Testbed struct {
	experiment *Experiment
	binary     string
	// operatorFile is the operators' file of all directors.
	operatorFile string
	dir          string
	history      *historyWriter
	rng          *rand.Rand
	subnet       byte // second byte of all addresses, so that two runs at once keep apart

	starter       *starter
	faults        *faultInjector
	discovery     *discoveryService
	directors     []*process
	directorByRef sync.Map // director by ref

	mu          sync.Mutex
	servers     map[string]*server
	caches      []*server // as listed, in order
	parents     []*server
	origin      *server
	serverCount int // of the names of new servers
	err         error
	load        *loadGenerator
}

// Options say how an experiment is run.
type Options struct {
	Binary   string           // the program under test
	Dir      string           // for the record and the logs; it must be there
	Progress func(at float64) // called about each second; nil: none
}

// Run plays an experiment and leaves its record in Dir/record.jsonl. All processes are gone when it returns,
// also when ctx ends it early or it panics.
func Run(ctx context.Context, x *Experiment, o Options) (err error) {
	l := &Testbed{experiment: x, binary: o.Binary, dir: o.Dir, rng: rand.New(rand.NewPCG(x.Seed, 1)), subnet: subnetOf(o.Dir),
		faults: newFaultInjector(), servers: map[string]*server{}, starter: newStarter()}
	if l.history, err = newHistoryWriter(filepath.Join(o.Dir, "record.jsonl")); err != nil {
		return err
	}
	defer func() {
		l.shutDown()
		if l.err != nil && err == nil {
			err = l.err
		}
		if e := l.history.close(); e != nil && err == nil {
			err = e
		}
	}()
	l.operatorFile = filepath.Join(o.Dir, "shaleyard.toml")
	if err := os.WriteFile(l.operatorFile, []byte("[list]\nstart_ms = 1500\n"), 0o600); err != nil {
		return err
	}
	if err := l.startStandIns(); err != nil {
		return err
	}
	return l.play(ctx, o.Progress)
}

// ip is an address on loopback: each group, and each member of it, has its own.
// subnetOf is the second byte of a run's addresses. It follows from the run's folder, as runs side by side in one process
// would else share addresses: what one takes down, another could take the port of.
func subnetOf(dir string) byte {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, dir, os.Getpid())
	return byte(16 + h.Sum32()%200)
}

func (l *Testbed) loopbackIP(group, n int) net.IP {
	return net.IPv4(127, l.subnet, byte(group<<4|n>>8), byte(n))
}

func (l *Testbed) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		l.err = err
	}
}

func (l *Testbed) serverNamed(name string) *server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servers[name]
}

func (l *Testbed) directorFor(ref string) (int, bool) {
	v, ok := l.directorByRef.Load(ref)
	if !ok {
		return 0, false
	}
	return v.(int), true
}

// eventCount is the number of the eventCount event.
func (s *discoveryService) eventCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events)
}

func (l *Testbed) addServer(t tier, zone string, spec ServerSpec, addr *net.TCPAddr, cold bool) (*server, error) {
	l.mu.Lock()
	l.serverCount++
	n := l.serverCount
	name := fmt.Sprintf("s-%04d", n)
	if t == originTier {
		name = originName
	}
	l.mu.Unlock()
	if addr == nil {
		addr = &net.TCPAddr{IP: l.loopbackIP(int(t), n)}
	}
	s, err := l.newServer(name, zone, t, spec, addr, cold)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.servers[name] = s
	l.mu.Unlock()
	return s, nil
}

// startStandIns starts the stand-ins; the directors are started by play.
func (l *Testbed) startStandIns() error {
	x := l.experiment
	l.discovery = newDiscoveryService(l)
	for i := range x.Caches.Count {
		s, err := l.addServer(cacheTier, branchName(i%x.Branches), x.Caches, nil, x.Caches.Cold)
		if err != nil {
			return err
		}
		l.caches = append(l.caches, s)
	}
	for i := range x.Parents.Count {
		s, err := l.addServer(parentTier, hubName(i%x.Hubs), x.Parents, nil, x.Parents.Cold)
		if err != nil {
			return err
		}
		l.parents = append(l.parents, s)
	}
	origin, err := l.addServer(originTier, hubName(0), ServerSpec{Weight: 1000}, nil, false)
	if err != nil {
		return err
	}
	l.origin = origin
	all := append(slices.Concat(l.caches, l.parents), origin)
	for _, s := range all {
		l.history.record(Event{Kind: "member", Who: s.name, What: "ready", Number: 1})
	}
	l.discovery.publish(func(n int) string { return membersEvent(n, true, all...) }, Event{What: "list"})
	if !x.Caches.Cold && !x.Parents.Cold {
		l.warmUp(l.caches)
		l.warmUp(l.parents)
	}
	for i := range x.Directors {
		p := &process{testbed: l, id: i}
		if p.discoveryAddress, err = l.discovery.listen(i); err != nil {
			return err
		}
		l.directors = append(l.directors, p)
	}
	return nil
}

// warmUp has servers hold what they would have been asked for lately: the more wanted half of the objects.
func (l *Testbed) warmUp(group []*server) {
	for _, s := range group {
		for i := range l.experiment.Clients.Objects/2 + 1 {
			s.cached[fmt.Sprintf("%016x/0", i+1)] = cachedCopy{since: time.Now()}
		}
	}
}

func membersEvent(n int, snapshot bool, list ...*server) string {
	text := ""
	for i, s := range list {
		if i > 0 {
			text += ","
		}
		since := int64(0)
		if s.cold {
			since = s.startedAt.UnixMilli()
		}
		text += fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":0,"status":%q,"weight":%v,"since_ms":%d}`,
			s.name, s.addr.String(), s.zone, kindNames[s.tier], s.state, s.spec.Weight, since)
	}
	return fmt.Sprintf(`{"n":%d,"members":{"index":%d,"snapshot":%v,"endpoints":[%s]}}`, n, n, snapshot, text)
}

// directorSettings is what a director is told of the site.
func (l *Testbed) directorSettings(me int) map[string]any {
	const ms = 1e6
	x := l.experiment
	seats, hubs := make([]int, x.Hubs+x.Branches), make([]int, x.Hubs+x.Branches)
	for i := range seats {
		hubs[i] = i
		if b := i - x.Hubs; b >= 0 {
			seats[i], hubs[i] = (x.Directors-b+x.Branches-1)/x.Branches, b%x.Hubs
		}
	}
	return map[string]any{"balancers": x.Directors, "me": me, "zone": x.Hubs + me%x.Branches, "dcs": x.siteNames(),
		"kinds": kindNames, "quantum": 2 * ms, "registryMode": "automatic", "weights": "rough",
		"report": map[string]any{"fields": []string{"active"}, "via": "inline"},
		"services": []any{
			map[string]any{"name": "media", "aim": 500 * ms, "deadline": 2000 * ms, "worth": 2, "effect": "read_like", "group": "all"},
			map[string]any{"name": "repayment", "aim": 700 * ms, "deadline": 2000 * ms, "worth": 3, "effect": "non_idempotent", "group": "all"}},
		"ceilings": map[string]any{"cancel": true, "connectTimeout": 400 * ms, "keepalive": 15000 * ms, "maxAttempts": 6,
			"maxRetryAfter": 500 * ms, "openCap": 20000, "retryAfter": true, "secondCopies": true, "streamsPerConn": 100},
		"guarantees": map[string]any{"askWithin": 10000 * ms, "cold": x.Caches.RampMS * ms, "coldFrom": x.Caches.ColdFrom,
			"drainGrace": 2000 * ms, "fall": x.Caches.FallMS * ms, "graceToAnswer": 8 * ms, "tipMultiple": x.Caches.Multiple},
		"familyInfo": map[string]any{"bypassAllowed": false, "classFresh": []int{0, 0}, "staleFor": []int{0, 0},
			"passOn": []bool{false, true}, "flowKbPerS": 100 / (x.Clients.TransferMS / 1000), "mergesFills": x.Caches.CoalescesFills,
			"masterKind": 2, "secondTierKind": 1, "parentColdFrom": x.Parents.ColdFrom,
			"parentFallMultiple": x.Parents.Multiple, "parentRamp": x.Parents.RampMS * ms, "purgeSlack": 500 * ms,
			"purgeTakes": purgeRetention.Nanoseconds(), "lateral": "location", "notesGiven": "all", "seatsByZone": seats,
			"hubByZone": hubs}}
}

// openIdleConns opens connections to directors that say nothing, and leaves them so. One that is turned away stays away.
func (l *Testbed) openIdleConns(ids []int, count int) (held []net.Conn) {
	for _, id := range ids {
		for range count {
			if c, err := net.DialTimeout("tcp", l.directors[id].addr(), time.Second); err == nil {
				held = append(held, c)
			}
		}
	}
	return held
}

// objectSize is how large an object is, as times of the mean: lognormal, by its name alone, so that all agree on it.
func (l *Testbed) objectSize(object string) float64 {
	sigma := l.experiment.Clients.SizeSigma
	if sigma == 0 {
		return 1
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, object)
	rng := rand.New(rand.NewPCG(h.Sum64(), 11))
	return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
}

// transferWork is the time that a transfer of an object takes at full pace, in seconds.
func (l *Testbed) transferWork(object string) float64 {
	return l.experiment.Clients.TransferMS / 1000 * l.objectSize(object)
}

// all starts every director at once.
func (l *Testbed) startDirectors(ids []int, last bool) error {
	var wg sync.WaitGroup
	errs := make([]error, len(ids))
	for i, id := range ids {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = l.directors[id].start(last)
		}()
	}
	wg.Wait()
	return errors.Join(errs...)
}

// play runs the load and the script.
func (l *Testbed) play(ctx context.Context, progress func(float64)) error {
	everyone := make([]int, l.experiment.Directors)
	for i := range everyone {
		everyone[i] = i
	}
	if b := l.experiment.Discovery.Begin; b != "" && b != "well" {
		l.discovery.setMode(b, 1, 0)
	}
	l.history.record(Event{Kind: "capacity", Who: originName, Value: l.experiment.Origin.PerSecond})
	for b := range l.experiment.Branches {
		l.history.record(Event{Kind: "home", Who: branchName(b), What: hubName(b % l.experiment.Hubs)})
	}
	l.history.record(Event{Kind: "meta", What: l.experiment.Name, Number: l.experiment.Directors, Value: 2000, TimeoutMS: 500})
	if err := l.startDirectors(everyone, false); err != nil {
		return err
	}
	for _, p := range l.directors {
		select {
		case <-p.listening:
		case <-p.exited:
			return fmt.Errorf("%s ended at its start; its log is in %s", directorName(p.id), l.dir)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	// The front takes some in before clients come.
	for ready := 0; ready < (l.experiment.Directors+1)/2; {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(5 * time.Millisecond):
		}
		ready = 0
		for _, p := range l.directors {
			if p.isInRotation() {
				ready++
			}
		}
	}
	l.load = newLoadGenerator(l, l.experiment.Seed)
	lagging, stop := context.WithCancel(ctx)
	defer stop()
	go l.recordLag(lagging)
	begin := time.Now()
	end := begin.Add(time.Duration(l.experiment.Seconds * float64(time.Second)))
	l.history.record(Event{Kind: "load", What: "begin"})
	done := make(chan struct{})
	go func() { l.load.run(end); close(done) }()
	type due struct {
		at time.Time
		do func() error
	}
	var script []due
	for i, s := range l.experiment.FaultEvents {
		at := begin.Add(time.Duration(s.At * float64(time.Second)))
		do, undo := l.faultActions(s, rand.New(rand.NewPCG(l.experiment.Seed, uint64(i)+100)))
		noted := func(what string, f func() error) func() error {
			return func() error {
				err := f()
				l.history.record(Event{Kind: "step", Who: s.Action, What: what, Number: i})
				return err
			}
		}
		script = append(script, due{at, noted("done", do)})
		if s.Duration > 0 && undo != nil {
			script = append(script, due{at.Add(time.Duration(s.Duration * float64(time.Second))), noted("undone", undo)})
		}
	}
	slices.SortStableFunc(script, func(a, b due) int { return a.at.Compare(b.at) })
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		var next <-chan time.Time
		if len(script) > 0 {
			next = time.After(time.Until(script[0].at))
		}
		select {
		case <-next:
			if err := script[0].do(); err != nil {
				return err
			}
			script = script[1:]
		case <-tick.C:
			if progress != nil {
				progress(time.Since(begin).Seconds())
			}
		case <-done:
			if len(script) > 0 {
				done = nil
				continue
			}
			l.history.record(Event{Kind: "load", What: "end"})
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.err
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if done == nil && len(script) == 0 {
			l.history.record(Event{Kind: "load", What: "end"})
			return nil
		}
	}
}

// recordLag records how late the lab itself is: on a machine with too much to do, neither it nor the directors can keep
// their times, and the checker allows for what was seen here.
func (l *Testbed) recordLag(ctx context.Context) {
	const step = 20 * time.Millisecond
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(step)
		if late := time.Since(began) - step; late > 5*time.Millisecond {
			l.history.record(Event{Kind: "lag", Value: float64(late.Microseconds()) / 1000})
		}
	}
}

// pickShare picks a share of n, by the seed of its step.
func pickShare(rng *rand.Rand, n int, share float64) []int {
	if share == 0 {
		share = 1
	}
	ids := rng.Perm(n)[:max(1, int(share*float64(n)+0.5))]
	slices.Sort(ids)
	return ids
}

// faultActions is what a faultActions does, and what undoes it; nil: nothing does.
func (l *Testbed) faultActions(s FaultEvent, rng *rand.Rand) (do, undo func() error) {
	plain := func(f func()) func() error { return func() error { f(); return nil } }
	each := func(ids []int, f func(*process)) func() error {
		return plain(func() {
			for _, i := range ids {
				f(l.directors[i])
			}
		})
	}
	on := faultTargets[s.Action]
	var ids []int
	switch {
	case on == "site":
		return l.siteFaultActions(s, rng)
	case s.OnlyDirector > 0:
		ids = []int{s.OnlyDirector - 1}
	case on == "directors" || on == "link":
		ids = l.pickDirectors(rng, s)
	}
	factor := s.Factor
	if factor == 0 {
		factor = 1
	}
	well := plain(func() { l.discovery.setMode("well", 1, 0) })
	switch s.Action {
	case "idle":
		var held []net.Conn
		return plain(func() { held = l.openIdleConns(ids, s.Count) }), plain(func() {
			for _, c := range held {
				c.Close()
			}
		})
	case "kill":
		return each(ids, func(p *process) { p.signal(syscall.SIGKILL, "kill") }), func() error { return l.restart(ids) }
	case "term":
		return each(ids, func(p *process) { p.signal(syscall.SIGTERM, "term") }), func() error { return l.restart(ids) }
	case "start":
		return func() error { return l.restart(ids) }, nil
	case "stop":
		return each(ids, func(p *process) { p.signal(syscall.SIGSTOP, "stop") }),
			each(ids, func(p *process) { p.signal(syscall.SIGCONT, "cont") })
	case "cont":
		return each(ids, func(p *process) { p.signal(syscall.SIGCONT, "cont") }), nil
	case "list-well", "list-slow":
		return plain(func() { l.discovery.setMode("well", factor, 0) }), well
	case "list-down", "list-hang", "list-half":
		return plain(func() { l.discovery.setMode(s.Action[len("list-"):], 1, 0) }), plain(func() { l.discovery.setMode("well", factor, 0) })
	case "list-older":
		return plain(func() { l.discovery.setMode("older", 1, max(s.ForgottenEvents, 1)) }), well
	case "list-flap":
		f := &flap{seed: l.experiment.Seed, modes: s.StreamEnds, minAge: time.Duration(s.MinStreamAge * float64(time.Second)),
			maxAge: time.Duration(s.MaxStreamAge * float64(time.Second))}
		return plain(func() { l.discovery.startFlap(ids, f) }), plain(func() { l.discovery.stopFlap(ids, f) })
	case "list-break":
		return plain(l.discovery.breakStreams), nil
	case "replace", "replace-parents":
		return func() error { return l.replaceServers(s, rng) }, nil
	case "drain":
		return plain(func() {
			for _, c := range l.cachesAt(pickShare(rng, len(l.caches), s.Share)) {
				l.publishState(c, "draining")
			}
		}), nil
	case "kill-caches":
		return plain(func() {
			for _, c := range l.cachesAt(pickShare(rng, len(l.caches), s.Share)) {
				c.stop("down")
			}
		}), nil
	case "silence-caches":
		drawn := pickShare(rng, len(l.caches), s.Share)
		var were []*server // let go are those that were silenced, also where they have been replaced
		set := func(on bool) func() error {
			return plain(func() {
				if on {
					were = l.cachesAt(drawn)
				}
				for _, c := range were {
					c.mu.Lock()
					c.silent = on
					c.mu.Unlock()
				}
			})
		}
		return set(true), set(false)
	case "purge":
		return plain(func() {
			keep := time.Duration(s.RetainCopies * float64(time.Second))
			if keep == 0 {
				keep = 2 * time.Second
			}
			gap := time.Duration(s.Duration / float64(max(s.Count, 1)) * float64(time.Second))
			for i := range max(s.Count, 1) { // drawn now: the same ones every time
				object := fmt.Sprintf("%016x", 1+rng.IntN(8))
				time.AfterFunc(time.Duration(i)*gap, func() { l.purge(object, keep) })
			}
		}), nil
	case "origin-slow":
		return plain(func() { l.origin.setCapacityFactor(factor) }), plain(func() { l.origin.setCapacityFactor(1) })
	case "burst":
		return plain(func() { l.load.setFactor(factor) }), plain(func() { l.load.setFactor(1) })
	}
	x := fault{s.Action, time.Duration(s.DelayMS * float64(time.Millisecond))}
	return plain(func() {
			l.history.record(Event{Kind: "link", Who: s.Link, What: s.Action, Number: len(ids)})
			l.faults.set(s.Link, ids, x)
		}), plain(func() {
			l.history.record(Event{Kind: "link", Who: s.Link, What: "well", Number: len(ids)})
			l.faults.set(s.Link, ids, fault{})
		})
}

// restart starts directors with the list that they had, once their old processes are gone.
func (l *Testbed) restart(ids []int) error {
	for _, i := range ids {
		p := l.directors[i]
		p.mu.Lock()
		gone := p.exited
		p.mu.Unlock()
		<-gone
	}
	return l.startDirectors(ids, true)
}

func (l *Testbed) publishState(s *server, state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	l.discovery.publish(func(n int) string { return membersEvent(n, false, s) }, Event{Who: s.name, What: state})
}

// cachesAt are the caches now in these places of the list.
func (l *Testbed) cachesAt(ids []int) (list []*server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range ids {
		list = append(list, l.caches[i])
	}
	return list
}

// replaceServers drains servers in turn, ends each, and starts a cold one in its place: every other at the old address.
func (l *Testbed) replaceServers(s FaultEvent, rng *rand.Rand) error {
	group, t, spec := &l.caches, cacheTier, l.experiment.Caches
	if s.Action == "replace-parents" {
		group, t, spec = &l.parents, parentTier, l.experiment.Parents
	}
	ids := pickShare(rng, len(*group), s.Share)
	gap := time.Duration(s.ReplaceOver / float64(len(ids)) * float64(time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, i := range ids {
		old := (*group)[i]
		time.AfterFunc(time.Duration(k)*gap, func() {
			l.publishState(old, "draining")
			time.AfterFunc(min(gap, 300*time.Millisecond), func() {
				old.stop("down")
				l.publishState(old, "gone")
				var addr *net.TCPAddr
				if k%2 == 0 {
					addr = old.addr
				}
				fresh, err := l.addServer(t, old.zone, spec, addr, true)
				if err != nil {
					l.fail(fmt.Errorf("replace %s: %w", old.name, err))
					return
				}
				l.mu.Lock()
				(*group)[i] = fresh
				l.mu.Unlock()
				l.publishState(fresh, "ready")
			})
		})
	}
	return nil
}

// purgeRetention is how long servers may keep a copy from before a purge (settings: familyInfo.purgeRetention).
const purgeRetention = 6 * time.Second

// purge purges an object.
func (l *Testbed) purge(object string, keep time.Duration) {
	at := time.Now()
	l.discovery.publish(func(n int) string {
		return fmt.Sprintf(`{"n":%d,"purge":{"key":%q,"at":%d}}`, n, object, at.UnixMilli())
	}, Event{Object: object, What: "purge", Since: l.history.sinceStart(at.UnixMilli())})
	// Caches drop it in their own time; until then the directors' word must hold.
	time.AfterFunc(keep, func() {
		l.mu.Lock()
		all := slices.Concat(l.caches, l.parents)
		l.mu.Unlock()
		for _, s := range all {
			s.purge(object, at)
		}
	})
}

// shutDown leaves nothing behind.
func (l *Testbed) shutDown() {
	var wg sync.WaitGroup
	for _, p := range l.directors {
		wg.Add(1)
		go func() { defer wg.Done(); p.kill() }()
	}
	wg.Wait()
	if l.discovery != nil {
		l.discovery.close()
	}
	l.mu.Lock()
	servers := l.servers
	l.mu.Unlock()
	for _, s := range servers {
		s.mu.Lock()
		s.listener.Close()
		for c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
	}
}
