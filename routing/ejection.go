package routing

import (
	"slices"

	"shaleyard/internal/overload"
)

// Outlier ejection: a server that has failed receives no requests until a single request, the half-open
// probe, is answered.

// mayProbe reports whether a server is ejected and the next request may be its half-open probe.
func (r *Router) mayProbe(server *serverState) bool {
	return server.ejected && r.now >= server.probeAfter && !server.probing
}

// probedServer returns the ejected server that a half-open probe tests: the target or the source of the
// attempt.
func probedServer(attempt *attemptState) *serverState {
	if attempt.target.ejected || attempt.source == nil {
		return attempt.target
	}
	return attempt.source
}

// eject ejects a server until a half-open probe is answered, and cancels the attempts that cancelRetriable
// selects. The first probe is allowed after initialEjection. Each failed probe doubles the time to the next
// one, up to maxEjection and, while the director's branch is unavailable, up to the shorter
// sitehealth.Monitor.MaxProbeInterval. A failure before the next probe is allowed has no effect. The origin
// is never ejected, because no other server can replace it.
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
		server.ejectionBackoff = initialEjection / 2 // doubled below
		inFlight := len(server.asTarget.inFlight)
		r.logf("eject server %x: %s, %d attempts in flight", uint64(server.Host), cause, inFlight)
	}
	server.ejectionBackoff = min(2*server.ejectionBackoff, maxEjection, r.sites.MaxProbeInterval())
	server.probeAfter = r.now + server.ejectionBackoff
	r.cancelRetriable(server)
}

// cancelRetriable cancels the attempts in flight that have the server as target or source and whose requests
// may be retried: the class of the request is read-like, the request has attempts left, and its answer is not
// being streamed.
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

// readmit ends the ejection of a server. Servers that failed together often recover together, so the other
// ejected servers of its tier may be probed at once.
func (r *Router) readmit(server *serverState) {
	r.logf("readmit server %x after %v", uint64(server.Host), r.now-server.ejectedAt)
	server.ejected = false
	server.failedFills = overload.FailureStreak{}
	server.ejectionBackoff = 0
	for _, other := range r.sameTier(server) {
		other.probeAfter = min(other.probeAfter, r.now)
	}
}
