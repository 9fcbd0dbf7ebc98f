package routing

import (
	"slices"

	"shaleyard/internal/overload"
)

// Outlier ejection: servers that fail get no work until a single request, the half-open probe, finds them
// alive.

// mayProbe tells that the next request may probe an ejected server.
func (r *Router) mayProbe(server *serverState) bool {
	return server.ejected && r.now >= server.probeAfter && !server.probing
}

// probedServer is the ejected server that a half-open probe is about.
func probedServer(attempt *attemptState) *serverState {
	if attempt.target.ejected || attempt.source == nil {
		return attempt.target
	}
	return attempt.source
}

// eject takes a server out until a half-open probe finds it alive. The time to the next probe doubles while
// probes fail. The origin is never ejected, as nothing stands in for it.
func (r *Router) eject(server *serverState, cause string) {
	if server.tier == originTier {
		return
	}
	if server.ejected && r.now < server.probeAfter {
		return
	}
	if !server.ejected {
		server.ejected = true
		server.ejectedAt = r.now
		server.ejectionBackoff = initialEjection / 2
		inFlight := len(server.asTarget.inFlight)
		r.logf("eject server %x: %s, %d attempts in flight", uint64(server.Host), cause, inFlight)
	}
	server.ejectionBackoff = min(2*server.ejectionBackoff, maxEjection, r.sites.ProbeInterval())
	server.probeAfter = r.now + server.ejectionBackoff
	r.cancelRetriable(server)
}

// cancelRetriable cancels what waits for a server and may be sent elsewhere.
func (r *Router) cancelRetriable(server *serverState) {
	for _, attempt := range slices.Concat(server.asTarget.inFlight, server.asSource.inFlight) {
		request := r.requests[attempt.requestID]
		if request == nil || request.streaming || len(request.attempts) >= r.settings.SiteLimits.MaxAttempts {
			continue
		}
		if r.settings.Classes[attempt.class].Idempotency == IdempotencyReadLike {
			r.cancelAttempt(attempt)
		}
	}
}

// readmit takes an ejected server back. Servers that were lost together often come back together, so that the
// others of its tier may be probed at once.
func (r *Router) readmit(server *serverState) {
	r.logf("readmit server %x after %v", uint64(server.Host), r.now-server.ejectedAt)
	server.ejected = false
	server.failedFills = overload.FailureStreak{}
	server.ejectionBackoff = 0
	for _, other := range r.sameTier(server) {
		other.probeAfter = min(other.probeAfter, r.now)
	}
}
