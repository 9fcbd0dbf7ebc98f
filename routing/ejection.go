package routing

import (
	"slices"

	"shaleyard/internal/overload"
)

// Servers that are out of use, and the single requests that look whether they are back.

func (d *Router) mayLook(s *server) bool { return s.ejected && d.now >= s.until && !s.looking }

// eject takes a server out until a look finds it alive; the time doubles while looks fail.
func (d *Router) eject(s *server, why string) {
	if s.role == origin {
		return
	}
	if !s.ejected {
		s.ejected, s.ejectedAt, s.backoff = true, d.now, ejectFirst/2
		d.log("eject %x: %s, %d attempts out", uint64(s.Host), why, len(s.to.out))
	} else if d.now < s.until {
		return
	}
	s.backoff = min(2*s.backoff, ejectMost, d.sites.ProbeInterval())
	s.until = d.now + s.backoff
	for _, a := range slices.Concat(s.to.out, s.from.out) { // what may be sent again elsewhere is called off
		r, safe := d.reqs[a.id], d.s.Classes[a.class].Idempotency == "read_like"
		if r != nil && !r.stream && safe && len(r.tries) < d.s.SiteLimits.MaxAttempts {
			d.cancel(a)
		}
	}
}

func (d *Router) readmit(s *server) {
	d.log("readmit %x after %v", uint64(s.Host), d.now-s.ejectedAt)
	s.ejected, s.missed, s.backoff = false, overload.FailureStreak{}, 0
	for _, o := range d.like(s) { // what was lost together often comes back so
		o.until = min(o.until, d.now)
	}
}
