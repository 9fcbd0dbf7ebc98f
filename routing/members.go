package routing

import (
	"cmp"
	"slices"
	"time"
)

// What the list of servers tells.

// members follows the list. Draining and gone servers are dropped at once, as targets and as sources.
func (d *Router) members(m EndpointUpdate) {
	if m.Kind == UpdateFailed {
		again := d.s.Guarantees.PollWithin/8 + time.Duration(d.rng.Int64N(int64(time.Second)))
		d.do(SetTimer{Token: subscribeTimer, At: d.now + again})
		return
	}
	if m.Kind != UpdateDelta {
		for _, s := range d.order {
			s.listed = false
		}
	}
	for _, e := range m.Endpoints {
		d.member(e)
	}
	slices.SortFunc(d.order, func(a, b *server) int { return cmp.Compare(a.Host, b.Host) })
	d.caches, d.upper = d.caches[:0], d.upper[:0]
	d.order = slices.DeleteFunc(d.order, func(s *server) bool {
		switch {
		case !s.listed || s.State != Ready:
			if s.listed || len(s.to.out) > 0 || len(s.from.out) > 0 {
				return false
			}
			delete(d.servers, s.Host)
			s.seen.Remove()
			return true
		case s.role != edge:
			d.upper = append(d.upper, s)
		case s.Zone == d.s.Zone:
			d.caches = append(d.caches, s)
		}
		return false
	})
}

// member takes one entry; a new start time voids holdings and health of the old life.
func (d *Router) member(e Endpoint) {
	s := d.servers[e.Host]
	if s == nil {
		if e.State == Gone || e.Zone < 0 || e.Zone >= len(d.s.Tiers.DirectorsByZone) {
			return
		}
		s = &server{}
		d.servers[e.Host] = s
		d.order = append(d.order, s)
	} else if e.Started != s.Started && e.State != Gone {
		s.ejected, s.backoff, s.looking, s.pace = false, 0, false, 0
		s.void = d.now
	}
	if e.Started != 0 && e.Started != s.Started {
		s.cold = e.Started
		owes := max(d.largest(), d.slowest) // all hear at once; who is new has not seen what a call takes
		s.spent.Spend(d.rng.Float64()*owes - s.spent.Spent(d.now, 0))
	}
	f, g := &d.s.Tiers, &d.s.Guarantees
	s.Endpoint, s.listed, s.seats = e, e.State != Gone, float64(max(d.s.Directors, 1))
	s.coldFrom, s.ramp, s.multiple = g.SlowStartFraction, g.SlowStartDuration, g.OverloadMultiple
	s.sized = (d.s.WeightMode == "nominal" || d.s.WeightMode == "rough") && s.Weight > 0
	switch {
	case e.Kind == f.OriginKind:
		s.role = origin
	case e.Kind == f.ParentKind:
		s.role = parent
		s.coldFrom, s.ramp, s.multiple = f.ParentSlowStartFraction, f.ParentSlowStartDuration, f.ParentOverloadMultiple
	case e.Zone == d.s.Zone:
		s.seats = float64(max(f.DirectorsByZone[e.Zone], 1))
	}
	if s.role != origin {
		s.seen = d.sites.UpdateMember(d.now, s.seen, e.Zone, e.Weight, e.State == Ready, e.Started)
	}
}

// like are the servers of the same part: caches of our location, or parents.
func (d *Router) like(s *server) []*server {
	if s.role == edge {
		return d.caches
	}
	return slices.DeleteFunc(slices.Clone(d.upper), func(o *server) bool { return o.role != s.role })
}

func (d *Router) usable(s *server) bool {
	return s != nil && s.listed && s.State == Ready && !s.ejected && d.servers[s.Host] == s
}
