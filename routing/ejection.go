package routing

import (
	"slices"

	"shaleyard/internal/overload"
)

// Servers that are out of use, and the single requests that look whether they are back.

func (d *Router) mayProbe(s *serverState) bool {
	return s.ejected && d.now >= s.probeAfter && !s.probing
}

// eject takes a server out until a look finds it alive; the time doubles while looks fail.
func (d *Router) eject(s *serverState, why string) {
	if s.tier == originTier {
		return
	}
	if !s.ejected {
		s.ejected, s.ejectedAt, s.ejectionBackoff = true, d.now, initialEjection/2
		d.logf("eject %x: %s, %d attempts out", uint64(s.Host), why, len(s.asTarget.inFlight))
	} else if d.now < s.probeAfter {
		return
	}
	s.ejectionBackoff = min(2*s.ejectionBackoff, maxEjection, d.sites.ProbeInterval())
	s.probeAfter = d.now + s.ejectionBackoff
	for _, a := range slices.Concat(s.asTarget.inFlight, s.asSource.inFlight) { // what may be sent again elsewhere is called off
		r, safe := d.requests[a.requestID], d.settings.Classes[a.class].Idempotency == "read_like"
		if r != nil && !r.streaming && safe && len(r.attempts) < d.settings.SiteLimits.MaxAttempts {
			d.cancelAttempt(a)
		}
	}
}

func (d *Router) readmit(s *serverState) {
	d.logf("readmit %x after %v", uint64(s.Host), d.now-s.ejectedAt)
	s.ejected, s.failedFills, s.ejectionBackoff = false, overload.FailureStreak{}, 0
	for _, o := range d.sameTier(s) { // what was lost together often comes back so
		o.probeAfter = min(o.probeAfter, d.now)
	}
}
