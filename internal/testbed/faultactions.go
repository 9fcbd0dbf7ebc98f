package testbed

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	defaultRetention = 2 * time.Second // of copies from before a purge
	popularObjects   = 8               // that purges are drawn from
	maxDrainTime     = 300 * time.Millisecond
)

// action injects a fault or takes it back.
type action = func() error

// always is an action that can't fail.
func always(f func()) action {
	return func() error {
		f()
		return nil
	}
}

// faultActions are what a fault event does, and what takes it back; nil: nothing does.
func (t *Testbed) faultActions(event FaultEvent, rng *rand.Rand) (inject, undo action) {
	switch faultTargets[event.Action] {
	case targetSite:
		return t.siteFaultActions(event, rng)
	case targetDirectors:
		return t.directorActions(event, t.targetDirectors(event, rng))
	case targetLink:
		return t.linkActions(event, t.targetDirectors(event, rng))
	case targetList:
		return t.listActions(event)
	case targetCaches, targetParents:
		return t.serverActions(event, rng)
	}
	return t.otherActions(event, rng)
}

// targetDirectors are the directors that an event is done to.
func (t *Testbed) targetDirectors(event FaultEvent, rng *rand.Rand) []int {
	if event.OnlyDirector > 0 {
		return []int{event.OnlyDirector - 1}
	}
	return t.pickDirectors(rng, event)
}

// pickDirectors draws a share of the directors, or of those of a site: of a hub, those whose branches are attached to
// it.
func (t *Testbed) pickDirectors(rng *rand.Rand, event FaultEvent) []int {
	var candidates []int
	for i := range t.experiment.Directors {
		branch := t.branchOfDirector(i)
		if event.Site == "" || event.Site == branchName(branch) || event.Site == hubName(branch%t.experiment.Hubs) {
			candidates = append(candidates, i)
		}
	}
	ids := pickShare(rng, len(candidates), event.Share)
	for i, k := range ids {
		ids[i] = candidates[k]
	}
	return ids
}

// pickShare draws a share of n, by the seed of its event; a share of 0 means all.
func pickShare(rng *rand.Rand, n int, share float64) []int {
	if share == 0 {
		share = 1
	}
	ids := rng.Perm(n)[:max(1, int(share*float64(n)+0.5))]
	slices.Sort(ids)
	return ids
}

func (t *Testbed) directorActions(event FaultEvent, ids []int) (inject, undo action) {
	signal := func(s syscall.Signal, what string) action {
		return always(func() {
			for _, id := range ids {
				t.directors[id].signal(s, what)
			}
		})
	}
	restart := func() error { return t.restart(ids) }
	switch event.Action {
	case "idle":
		var held []net.Conn
		return always(func() { held = t.openIdleConns(ids, event.Count) }), always(func() {
			for _, conn := range held {
				_ = conn.Close()
			}
		})
	case "kill":
		return signal(syscall.SIGKILL, "kill"), restart
	case "term":
		return signal(syscall.SIGTERM, "term"), restart
	case "start":
		return restart, nil
	case "stop":
		return signal(syscall.SIGSTOP, "stop"), signal(syscall.SIGCONT, "cont")
	case "cont":
		return signal(syscall.SIGCONT, "cont"), nil
	}
	f := &flap{
		seed:   t.experiment.Seed,
		modes:  event.StreamEnds,
		minAge: seconds(event.MinStreamAge),
		maxAge: seconds(event.MaxStreamAge),
	}
	return always(func() { t.discovery.startFlap(ids, f) }), always(func() { t.discovery.stopFlap(ids, f) })
}

// openIdleConns opens connections to directors that say nothing, and leaves them so. One that is rejected stays away.
func (t *Testbed) openIdleConns(ids []int, count int) []net.Conn {
	var held []net.Conn
	for _, id := range ids {
		for range count {
			if conn, err := net.DialTimeout("tcp", t.directors[id].addr(), time.Second); err == nil {
				held = append(held, conn)
			}
		}
	}
	return held
}

func (t *Testbed) linkActions(event FaultEvent, ids []int) (inject, undo action) {
	set := func(what string, new fault) action {
		return always(func() {
			t.history.record(Event{Kind: "link", Who: event.Link, What: what, Number: len(ids)})
			t.faults.set(event.Link, ids, new)
		})
	}
	delay := time.Duration(event.DelayMS * float64(time.Millisecond))
	return set(event.Action, fault{kind: event.Action, delay: delay}), set("well", fault{})
}

func (t *Testbed) listActions(event FaultEvent) (inject, undo action) {
	factor := factorOf(event)
	setMode := func(mode string, factor float64, forgotten int) action {
		return always(func() { t.discovery.setMode(mode, factor, forgotten) })
	}
	switch event.Action {
	case "list-well", "list-slow":
		return setMode(modeWell, factor, 0), setMode(modeWell, 1, 0)
	case "list-down", "list-hang", "list-half":
		return setMode(strings.TrimPrefix(event.Action, "list-"), 1, 0), setMode(modeWell, factor, 0)
	case "list-older":
		return setMode(modeOlder, 1, max(event.ForgottenEvents, 1)), setMode(modeWell, 1, 0)
	}
	return always(t.discovery.breakStreams), nil
}

func (t *Testbed) serverActions(event FaultEvent, rng *rand.Rand) (inject, undo action) {
	drawnCaches := func() []*server { return t.cachesAt(pickShare(rng, len(t.caches), event.Share)) }
	switch event.Action {
	case "replace", "replace-parents":
		return func() error { return t.replaceServers(event, rng) }, nil
	case "drain":
		return always(func() {
			for _, cache := range drawnCaches() {
				t.publishState(cache, "draining")
			}
		}), nil
	case "kill-caches":
		return always(func() {
			for _, cache := range drawnCaches() {
				cache.stop("down")
			}
		}), nil
	}
	drawn := pickShare(rng, len(t.caches), event.Share)
	var silenced []*server // released are those that were silenced, also where they have been replaced
	setSilent := func(silent bool) {
		for _, cache := range silenced {
			cache.update(func() { cache.silent = silent })
		}
	}
	return always(func() {
		silenced = t.cachesAt(drawn)
		setSilent(true)
	}), always(func() { setSilent(false) })
}

// otherActions are those that are done to nothing that is drawn, or to the origin.
func (t *Testbed) otherActions(event FaultEvent, rng *rand.Rand) (inject, undo action) {
	factor := factorOf(event)
	switch event.Action {
	case "origin-slow":
		return always(func() { t.origin.setCapacityFactor(factor) }), always(func() { t.origin.setCapacityFactor(1) })
	case "burst":
		return always(func() { t.load.setFactor(factor) }), always(func() { t.load.setFactor(1) })
	}
	return always(func() { t.purgeRepeatedly(event, rng) }), nil
}

// factorOf is an event's factor, of capacity or of load; 1 unless set.
func factorOf(event FaultEvent) float64 {
	if event.Factor == 0 {
		return 1
	}
	return event.Factor
}

// purgeRepeatedly purges popular objects, as many as the event says, spread over its duration.
func (t *Testbed) purgeRepeatedly(event FaultEvent, rng *rand.Rand) {
	retention := seconds(event.RetainCopies)
	if retention == 0 {
		retention = defaultRetention
	}
	count := max(event.Count, 1)
	gap := seconds(event.Duration / float64(count))
	for i := range count { // drawn now: the same objects every time
		object := fmt.Sprintf("%016x", 1+rng.IntN(popularObjects))
		time.AfterFunc(time.Duration(i)*gap, func() { t.purge(object, retention) })
	}
}

// purge purges an object. Caches drop it after the retention; until then the directors' decisions must hold.
func (t *Testbed) purge(object string, retention time.Duration) {
	at := time.Now()
	t.discovery.publish(func(revision int) string {
		return fmt.Sprintf(`{"n":%d,"purge":{"key":%q,"at":%d}}`, revision, object, at.UnixMilli())
	}, Event{Object: object, What: "purge", Since: t.history.sinceStart(at.UnixMilli())})
	time.AfterFunc(retention, func() {
		t.mu.Lock()
		all := slices.Concat(t.caches, t.parents)
		t.mu.Unlock()
		for _, standIn := range all {
			standIn.purge(object, at)
		}
	})
}

// cachesAt are the caches that are now in these places of the list.
func (t *Testbed) cachesAt(places []int) []*server {
	t.mu.Lock()
	defer t.mu.Unlock()
	caches := make([]*server, 0, len(places))
	for _, i := range places {
		caches = append(caches, t.caches[i])
	}
	return caches
}

// replaceServers drains servers in turn, ends each, and starts a cold one in its place: every other one at the old
// address.
func (t *Testbed) replaceServers(event FaultEvent, rng *rand.Rand) error {
	group, spec := &t.caches, t.experiment.Caches
	if event.Action == "replace-parents" {
		group, spec = &t.parents, t.experiment.Parents
	}
	places := pickShare(rng, len(*group), event.Share)
	gap := seconds(event.ReplaceOver / float64(len(places)))
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, place := range places {
		old := (*group)[place]
		keepAddress := k%2 == 0
		time.AfterFunc(time.Duration(k)*gap, func() {
			t.publishState(old, "draining")
			time.AfterFunc(min(gap, maxDrainTime), func() { t.replaceServer(old, group, place, spec, keepAddress) })
		})
	}
	return nil
}

// replaceServer ends a server and starts a cold one in its place of the group.
func (t *Testbed) replaceServer(old *server, group *[]*server, place int, spec ServerSpec, keepAddress bool) {
	old.stop("down")
	t.publishState(old, "gone")
	var addr *net.TCPAddr
	if keepAddress {
		addr = old.addr
	}
	fresh, err := t.addServer(old.tier, old.zone, spec, addr, true)
	if err != nil {
		t.fail(fmt.Errorf("replace %s: %w", old.name, err))
		return
	}
	t.mu.Lock()
	(*group)[place] = fresh
	t.mu.Unlock()
	t.publishState(fresh, "ready")
}
