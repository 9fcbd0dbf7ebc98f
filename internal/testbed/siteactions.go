package testbed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// What is done to the servers of a site.
const (
	siteKill   = "site-kill"
	siteSilent = "site-silent"
	siteBusy   = "site-busy"
)

// siteFault breaks a share of a site's servers: their processes die, they say nothing, or reject all requests. What
// died comes back as new servers, cold and empty, at the old addresses. The list tells of a death, and of the return,
// late.
type siteFault struct {
	testbed *Testbed
	event   FaultEvent
	rng     *rand.Rand

	group  *[]*server // of the site's servers
	places []int      // in the group, of those that are broken
	broken []*server
}

func (t *Testbed) siteFaultActions(event FaultEvent, rng *rand.Rand) (inject, undo action) {
	f := &siteFault{testbed: t, event: event, rng: rng}
	return always(f.inject), f.undo
}

func (f *siteFault) inject() {
	testbed := f.testbed
	group, all := testbed.serversOfSite(f.event.Site)
	f.group, f.places, f.broken = group, nil, nil
	for _, k := range pickShare(f.rng, len(all), f.event.Share) {
		f.places = append(f.places, all[k])
	}
	testbed.mu.Lock()
	for _, place := range f.places {
		f.broken = append(f.broken, (*group)[place])
	}
	testbed.mu.Unlock()
	share := float64(len(f.broken)) / float64(len(all))
	testbed.history.record(
		Event{Kind: "site", Who: f.event.Site, What: f.event.Action, Number: len(f.broken), Value: share},
	)
	for _, standIn := range f.broken {
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
		f.publishLate(slices.Clone(f.broken), "gone")
	}
}

func (f *siteFault) undo() error {
	var fresh []*server
	if f.event.Action == siteKill {
		var err error
		if fresh, err = f.replaceBroken(); err != nil {
			return err
		}
	} else {
		for _, standIn := range f.broken {
			standIn.update(func() { standIn.silent, standIn.busy = false, false })
		}
	}
	f.testbed.history.record(Event{Kind: "site", Who: f.event.Site, What: "back", Number: len(f.broken)})
	f.publishLate(fresh, "ready")
	return nil
}

// replaceBroken starts cold servers at the addresses of those that died.
func (f *siteFault) replaceBroken() ([]*server, error) {
	testbed := f.testbed
	var fresh []*server
	for i, dead := range f.broken {
		standIn, err := testbed.addServer(dead.tier, f.event.Site, dead.spec, dead.addr, true)
		if err != nil {
			return nil, fmt.Errorf("%s comes back: %w", f.event.Site, err)
		}
		testbed.mu.Lock()
		(*f.group)[f.places[i]] = standIn
		testbed.mu.Unlock()
		fresh = append(fresh, standIn)
	}
	return fresh, nil
}

// publishLate has the list tell of servers' states, as late as the event says.
func (f *siteFault) publishLate(servers []*server, state string) {
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

// serversOfSite are the places of a site's servers in their group.
func (t *Testbed) serversOfSite(site string) (group *[]*server, places []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, candidate := range []*[]*server{&t.caches, &t.parents} {
		for i, standIn := range *candidate {
			if standIn.zone == site {
				group, places = candidate, append(places, i)
			}
		}
	}
	return group, places
}
