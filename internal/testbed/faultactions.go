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
	defaultRetention = 2 * time.Second        // for which servers keep copies from before a purge
	popularObjects   = 8                      // number of most popular objects from which purged ones are drawn
	maxDrainTime     = 300 * time.Millisecond // between publishing a server as draining and stopping it
)

// action injects a fault or undoes it.
type action = func() error

// noError returns an action that runs f and never fails.
func noError(f func()) action {
	return func() error {
		f()
		return nil
	}
}

// faultActions returns the actions that inject a fault event's fault and undo it. undo is nil if the fault can't be
// undone. rng draws the affected targets and objects.
func (t *Testbed) faultActions(event FaultEvent, rng *rand.Rand) (inject, undo action) {
	switch faultTargets[event.Action] {
	case targetSite:
		return t.siteFaultActions(event, rng)
	case targetDirectors:
		return t.directorActions(event, t.selectDirectors(event, rng))
	case targetLink:
		return t.linkActions(event, t.selectDirectors(event, rng))
	case targetList:
		return t.listActions(event)
	case targetCaches, targetParents:
		return t.serverActions(event, rng)
	}
	return t.otherActions(event, rng)
}

// selectDirectors returns the numbers of the directors that an event affects: the only one that it names, or those that
// drawDirectors draws.
func (t *Testbed) selectDirectors(event FaultEvent, rng *rand.Rand) []int {
	if event.OnlyDirector > 0 {
		return []int{event.OnlyDirector - 1}
	}
	return t.drawDirectors(rng, event)
}

// drawDirectors draws the event's share of all directors or, if the event has a site, of the site's directors. The
// directors of a hub are those whose branch is attached to the hub.
func (t *Testbed) drawDirectors(rng *rand.Rand, event FaultEvent) []int {
	var candidates []int
	for i := range t.experiment.Directors {
		branch := t.branchOfDirector(i)
		if event.Site == "" || event.Site == branchName(branch) || event.Site == hubName(branch%t.experiment.Hubs) {
			candidates = append(candidates, i)
		}
	}
	ids := drawShare(rng, len(candidates), event.Share)
	for i, k := range ids {
		ids[i] = candidates[k]
	}
	return ids
}

// drawShare draws a share of the numbers from 0 to n-1, at least one, and returns them in ascending order. A share of 0
// means all.
func drawShare(rng *rand.Rand, n int, share float64) []int {
	if share == 0 {
		share = 1
	}
	ids := rng.Perm(n)[:max(1, int(share*float64(n)+0.5))]
	slices.Sort(ids)
	return ids
}

// directorActions returns the actions on directors: idle connections, signals, restarts and flaps of their streams.
// undo starts killed and terminated directors again, continues stopped ones, closes the connections or stops the flap;
// start and cont have no undo action.
func (t *Testbed) directorActions(event FaultEvent, ids []int) (inject, undo action) {
	signal := func(s syscall.Signal, what string) action {
		return noError(func() {
			for _, id := range ids {
				t.directors[id].signal(s, what)
			}
		})
	}
	restart := func() error { return t.restart(ids) }
	switch event.Action {
	case "idle":
		var conns []net.Conn
		return noError(func() { conns = t.openIdleConns(ids, event.Count) }), noError(func() {
			for _, conn := range conns {
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
	return noError(func() { t.discovery.startFlap(ids, f) }), noError(func() { t.discovery.stopFlap(ids, f) })
}

// openIdleConns opens count connections to each director and returns them. Nothing is sent on them. A connection that
// can't be opened within a second is not retried.
func (t *Testbed) openIdleConns(ids []int, count int) []net.Conn {
	var conns []net.Conn
	for _, id := range ids {
		for range count {
			if conn, err := net.DialTimeout("tcp", t.directors[id].addr(), time.Second); err == nil {
				conns = append(conns, conn)
			}
		}
	}
	return conns
}

// linkActions returns the actions that put a fault on an event's link to the directors and remove it. Both record it.
func (t *Testbed) linkActions(event FaultEvent, ids []int) (inject, undo action) {
	set := func(what string, newFault fault) action {
		return noError(func() {
			t.history.record(Event{Kind: "link", Who: event.Link, What: what, Number: len(ids)})
			t.faults.set(event.Link, ids, newFault)
		})
	}
	delay := time.Duration(event.DelayMS * float64(time.Millisecond))
	return set(event.Action, fault{kind: event.Action, delay: delay}), set("well", fault{})
}

// listActions returns the actions on the discovery service: changes of its mode or capacity, and a reset of all
// streams, which has no undo action. The others are undone by setting modeWell: with the event's factor as the
// capacity after modeDown, modeHang, modeTruncated and modeStopped, otherwise with the full capacity.
func (t *Testbed) listActions(event FaultEvent) (inject, undo action) {
	factor := factorOf(event)
	setMode := func(mode string, factor float64, forgotten int) action {
		return noError(func() { t.discovery.setMode(mode, factor, forgotten) })
	}
	switch event.Action {
	case "list-well", "list-slow":
		return setMode(modeWell, factor, 0), setMode(modeWell, 1, 0)
	case "list-down", "list-hang", "list-half", "list-stop":
		return setMode(strings.TrimPrefix(event.Action, "list-"), 1, 0), setMode(modeWell, factor, 0)
	case "list-older":
		return setMode(modeRolledBack, 1, max(event.ForgottenEvents, 1)), setMode(modeWell, 1, 0)
	}
	return noError(t.discovery.breakStreams), nil
}

// serverActions returns the actions on a drawn share of the caches, or of the parents with replace-parents. Only
// silence-caches has an undo action.
func (t *Testbed) serverActions(event FaultEvent, rng *rand.Rand) (inject, undo action) {
	drawCaches := func() []*server { return t.cachesAt(drawShare(rng, len(t.caches), event.Share)) }
	switch event.Action {
	case "replace", "replace-parents":
		return func() error { return t.replaceServers(event, rng) }, nil
	case "drain":
		return noError(func() {
			for _, cache := range drawCaches() {
				t.publishState(cache, "draining")
			}
		}), nil
	case "kill-caches":
		return noError(func() {
			for _, cache := range drawCaches() {
				cache.stop("down")
			}
		}), nil
	}
	drawn := drawShare(rng, len(t.caches), event.Share)
	// The undo action applies to the servers that were silenced, even if others have replaced them in the group.
	var silenced []*server
	setSilent := func(silent bool) {
		for _, cache := range silenced {
			cache.update(func() { cache.silent = silent })
		}
	}
	return noError(func() {
		silenced = t.cachesAt(drawn)
		setSilent(true)
	}), noError(func() { setSilent(false) })
}

// otherActions returns the actions that draw no directors, links or servers: origin-slow, burst (a change of the load)
// and purge, which has no undo action.
func (t *Testbed) otherActions(event FaultEvent, rng *rand.Rand) (inject, undo action) {
	factor := factorOf(event)
	switch event.Action {
	case "origin-slow":
		return noError(func() { t.origin.setCapacityFactor(factor) }), noError(func() { t.origin.setCapacityFactor(1) })
	case "burst":
		return noError(func() { t.load.setFactor(factor) }), noError(func() { t.load.setFactor(1) })
	}
	return noError(func() { t.purgeRepeatedly(event, rng) }), nil
}

// factorOf returns an event's factor of the capacity or the load, 1 if the event sets none.
func factorOf(event FaultEvent) float64 {
	if event.Factor == 0 {
		return 1
	}
	return event.Factor
}

// purgeRepeatedly schedules the event's count of purges (at least one) evenly over its duration. Each purges an object
// drawn from the most popular ones.
func (t *Testbed) purgeRepeatedly(event FaultEvent, rng *rand.Rand) {
	retention := seconds(event.RetainCopies)
	if retention == 0 {
		retention = defaultRetention
	}
	count := max(event.Count, 1)
	gap := seconds(event.Duration / float64(count))
	for i := range count {
		// Drawn before the timers run, so that each run with the same seed purges the same objects in the same order.
		object := fmt.Sprintf("%016x", 1+rng.IntN(popularObjects))
		time.AfterFunc(time.Duration(i)*gap, func() { t.purge(object, retention) })
	}
}

// purge publishes the purge of an object. The caches and parents drop their older copies only after the retention.
// Until then, directors must prevent by themselves that clients get such a copy.
func (t *Testbed) purge(object string, retention time.Duration) {
	at := time.Now()
	t.discovery.publish(func(revision int) string {
		return fmt.Sprintf(`{"n":%d,"purge":{"key":%q,"at":%d}}`, revision, object, at.UnixMilli())
	}, Event{Object: object, What: "purge", Since: t.history.sinceStart(at.UnixMilli())})
	time.AfterFunc(retention, func() {
		t.mu.Lock()
		servers := slices.Concat(t.caches, t.parents)
		t.mu.Unlock()
		for _, standIn := range servers {
			standIn.purge(object, at)
		}
	})
}

// cachesAt returns the caches that are at these indexes of the group of caches now.
func (t *Testbed) cachesAt(indexes []int) []*server {
	t.mu.Lock()
	defer t.mu.Unlock()
	caches := make([]*server, 0, len(indexes))
	for _, i := range indexes {
		caches = append(caches, t.caches[i])
	}
	return caches
}

// replaceServers schedules the replacement of a drawn share of the caches or parents, one after another over the time
// that the event sets. Each server is published as draining, then stopped and replaced by a cold one. Every second
// replacement has the old server's address, the others a new one.
func (t *Testbed) replaceServers(event FaultEvent, rng *rand.Rand) error {
	group, spec := &t.caches, t.experiment.Caches
	if event.Action == "replace-parents" {
		group, spec = &t.parents, t.experiment.Parents
	}
	indexes := drawShare(rng, len(*group), event.Share)
	gap := seconds(event.ReplaceOver / float64(len(indexes)))
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, index := range indexes {
		old := (*group)[index]
		keepAddress := k%2 == 0
		time.AfterFunc(time.Duration(k)*gap, func() {
			t.publishState(old, "draining")
			time.AfterFunc(min(gap, maxDrainTime), func() { t.replaceServer(old, group, index, spec, keepAddress) })
		})
	}
	return nil
}

// replaceServer stops a server, publishes it as gone, starts a cold one at its index of the group and publishes that as
// ready. An error of the start ends the run.
func (t *Testbed) replaceServer(old *server, group *[]*server, index int, spec ServerSpec, keepAddress bool) {
	old.stop("down")
	t.publishState(old, "gone")
	var addr *net.TCPAddr
	if keepAddress {
		addr = old.addr
	}
	replacement, err := t.addServer(old.tier, old.zone, spec, addr, true)
	if err != nil {
		t.fail(fmt.Errorf("replace %s: %w", old.name, err))
		return
	}
	t.mu.Lock()
	(*group)[index] = replacement
	t.mu.Unlock()
	t.publishState(replacement, "ready")
}
