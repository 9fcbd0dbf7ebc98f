package routing

import (
	"slices"

	"shaleyard/internal/overload"
)

// Servers that are out of use, and the single requests that look whether they are back.

func (r *Router) mayProbe(server *serverState) bool {
	return server.ejected && r.now >= server.probeAfter && !server.probing
}

// eject takes a server out until a look finds it alive; the time doubles while looks fail.
func (r *Router) eject(server *serverState, cause string) {
	if server.tier == originTier {
		return
	}
	if !server.ejected {
		server.ejected, server.ejectedAt, server.ejectionBackoff = true, r.now, initialEjection/2
		r.logf("eject %x: %s, %d attempts out", uint64(server.Host), cause, len(server.asTarget.inFlight))
	} else if r.now < server.probeAfter {
		return
	}
	server.ejectionBackoff = min(2*server.ejectionBackoff, maxEjection, r.sites.ProbeInterval())
	server.probeAfter = r.now + server.ejectionBackoff
	for _, attempt := range slices.Concat(server.asTarget.inFlight, server.asSource.inFlight) { // what may be sent again elsewhere is called off
		request, safe := r.requests[attempt.requestID], r.settings.Classes[attempt.class].Idempotency == "read_like"
		if request != nil && !request.streaming && safe && len(request.attempts) < r.settings.SiteLimits.MaxAttempts {
			r.cancelAttempt(attempt)
		}
	}
}

func (r *Router) readmit(server *serverState) {
	r.logf("readmit %x after %v", uint64(server.Host), r.now-server.ejectedAt)
	server.ejected, server.failedFills, server.ejectionBackoff = false, overload.FailureStreak{}, 0
	for _, other := range r.sameTier(server) { // what was lost together often comes back so
		other.probeAfter = min(other.probeAfter, r.now)
	}
}
