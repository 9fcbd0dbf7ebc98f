package testbed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// branchOfDirector is the branch that a director serves.
func (l *Testbed) branchOfDirector(director int) int { return director % l.experiment.Branches }

// pickDirectors picks a share of the directors, or of those of a site: of a hub the ones whose branches are attached
// to it.
func (l *Testbed) pickDirectors(rng *rand.Rand, s FaultEvent) (ids []int) {
	var of []int
	for i := range l.experiment.Directors {
		b := l.branchOfDirector(i)
		if s.Site == "" || s.Site == branchName(b) || s.Site == hubName(b%l.experiment.Hubs) {
			of = append(of, i)
		}
	}
	for _, k := range pickShare(rng, len(of), s.Share) {
		ids = append(ids, of[k])
	}
	return ids
}

// serversOfSite are the places of a site's servers in their group.
func (l *Testbed) serversOfSite(site string) (group *[]*server, t tier, places []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range []struct {
		list *[]*server
		t    tier
	}{{&l.caches, cacheTier}, {&l.parents, parentTier}} {
		for i, s := range *g.list {
			if s.zone == site {
				group, t, places = g.list, g.t, append(places, i)
			}
		}
	}
	return group, t, places
}

// siteFaultActions breaks a share of a site's servers: their processes die, they say nothing, or turn all away. What died comes
// back as new servers, cold and empty, at the old addresses. The list tells of a death, and of the return, late.
func (l *Testbed) siteFaultActions(s FaultEvent, rng *rand.Rand) (do, undo func() error) {
	var broken []*server
	var places []int
	var group *[]*server
	var t tier
	late := time.Duration(s.ListDelay * float64(time.Second))
	tell := func(f func()) {
		if late == 0 {
			f()
			return
		}
		time.AfterFunc(late, f)
	}
	do = func() error {
		var all []int
		group, t, all = l.serversOfSite(s.Site)
		places = nil
		for _, k := range pickShare(rng, len(all), s.Share) {
			places = append(places, all[k])
		}
		l.mu.Lock()
		broken = nil
		for _, i := range places {
			broken = append(broken, (*group)[i])
		}
		l.mu.Unlock()
		l.history.record(Event{Kind: "site", Who: s.Site, What: s.Action, Number: len(broken), Value: float64(len(broken)) / float64(len(all))})
		for _, b := range broken {
			switch s.Action {
			case "site-kill":
				b.stop("down")
			case "site-silent":
				b.update(func() { b.silent = true })
			case "site-busy":
				b.update(func() { b.busy = true })
			}
		}
		if s.Action == "site-kill" {
			gone := slices.Clone(broken)
			tell(func() {
				for _, b := range gone {
					l.publishState(b, "gone")
				}
			})
		}
		return nil
	}
	undo = func() error {
		spec := l.experiment.Caches
		if t == parentTier {
			spec = l.experiment.Parents
		}
		var fresh []*server
		for k, b := range broken {
			if s.Action != "site-kill" {
				b.update(func() { b.silent, b.busy = false, false })
				continue
			}
			n, err := l.addServer(t, s.Site, spec, b.addr, true)
			if err != nil {
				return fmt.Errorf("%s comes back: %w", s.Site, err)
			}
			l.mu.Lock()
			(*group)[places[k]] = n
			l.mu.Unlock()
			fresh = append(fresh, n)
		}
		l.history.record(Event{Kind: "site", Who: s.Site, What: "back", Number: len(broken)})
		tell(func() {
			for _, n := range fresh {
				l.publishState(n, "ready")
			}
		})
		return nil
	}
	return do, undo
}

func (s *server) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}
