package testbed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Actions on the servers of a site, as experiments and histories name them.
const (
	siteKill   = "site-kill"
	siteSilent = "site-silent"
	siteBusy   = "site-busy"
)

// siteFault is a fault of a drawn share of a site's servers. The servers are killed (siteKill), don't answer
// (siteSilent) or reject all requests (siteBusy). Undoing siteKill starts new servers, cold and empty, at the
// addresses of the killed ones. The discovery service publishes the kill and the return only after the event's
// ListDelay.
type siteFault struct {
	testbed *Testbed
	event   FaultEvent
	rng     *rand.Rand

	group    *[]*server // caches or parents, the group that the site's servers are in
	indexes  []int      // of the affected servers in the group
	affected []*server
}

// siteFaultActions returns the actions that inject a site's fault and undo it.
func (t *Testbed) siteFaultActions(event FaultEvent, rng *rand.Rand) (inject, undo action) {
	f := &siteFault{testbed: t, event: event, rng: rng}
	return noError(f.inject), f.undo
}

// inject draws the affected servers, records the fault with their number and share, and applies it to them.
func (f *siteFault) inject() {
	testbed := f.testbed
	group, all := testbed.serversOfSite(f.event.Site)
	f.group, f.indexes, f.affected = group, nil, nil
	for _, k := range drawShare(f.rng, len(all), f.event.Share) {
		f.indexes = append(f.indexes, all[k])
	}
	testbed.mu.Lock()
	for _, index := range f.indexes {
		f.affected = append(f.affected, (*group)[index])
	}
	testbed.mu.Unlock()
	share := float64(len(f.affected)) / float64(len(all))
	testbed.history.record(
		Event{Kind: "site", Who: f.event.Site, What: f.event.Action, Number: len(f.affected), Value: share},
	)
	for _, standIn := range f.affected {
		switch f.event.Action {
		case siteKill:
			standIn.stop("down")
		case siteSilent:
			standIn.update(func() { standIn.silent = true })
		case siteBusy:
			standIn.update(func() { standIn.busy = true })
		}
	}
	if f.event.Action == siteKill {
		f.publishDelayed(slices.Clone(f.affected), "gone")
	}
}

// undo replaces killed servers, or lets the affected servers answer and accept requests again, and records it. An error
// means that a server could not be started.
func (f *siteFault) undo() error {
	var replacements []*server
	if f.event.Action == siteKill {
		var err error
		if replacements, err = f.replaceKilled(); err != nil {
			return err
		}
	} else {
		for _, standIn := range f.affected {
			standIn.update(func() { standIn.silent, standIn.busy = false, false })
		}
	}
	f.testbed.history.record(Event{Kind: "site", Who: f.event.Site, What: "back", Number: len(f.affected)})
	f.publishDelayed(replacements, "ready")
	return nil
}

// replaceKilled starts a cold server at the address of each killed one and returns the new servers.
func (f *siteFault) replaceKilled() ([]*server, error) {
	testbed := f.testbed
	var replacements []*server
	for i, killed := range f.affected {
		standIn, err := testbed.addServer(killed.tier, f.event.Site, killed.spec, killed.addr, true)
		if err != nil {
			return nil, fmt.Errorf("restart the servers of %s: %w", f.event.Site, err)
		}
		testbed.mu.Lock()
		(*f.group)[f.indexes[i]] = standIn
		testbed.mu.Unlock()
		replacements = append(replacements, standIn)
	}
	return replacements, nil
}

// publishDelayed has the discovery service publish servers' new state after the event's ListDelay.
func (f *siteFault) publishDelayed(servers []*server, state string) {
	publish := func() {
		for _, standIn := range servers {
			f.testbed.publishState(standIn, state)
		}
	}
	if f.event.ListDelay == 0 {
		publish()
		return
	}
	time.AfterFunc(seconds(f.event.ListDelay), publish)
}

// serversOfSite returns the group that a site's servers are in, caches or parents, and their indexes in it.
func (t *Testbed) serversOfSite(site string) (group *[]*server, indexes []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, candidate := range []*[]*server{&t.caches, &t.parents} {
		for i, standIn := range *candidate {
			if standIn.zone == site {
				group, indexes = candidate, append(indexes, i)
			}
		}
	}
	return group, indexes
}
