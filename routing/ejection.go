package routing

import (
	"slices"

	"shaleyard/internal/overload"
)

// Outlier ejection: a server that has failed is ejected, as is a local cache while the director's branch is
// unavailable. Until its ejection ends, it receives only half-open probes, which are requests that test it.

// mayProbe reports whether a server is ejected and the next request may be its half-open probe.
func (r *Router) mayProbe(server *serverState) bool {
	return server.ejected && r.now >= server.probeAfter && !server.probing
}

// probedServer returns the server that a half-open probe is taken to test: the target if it is ejected now or
// the attempt has no source, otherwise the source. The result may change while the probe is in flight.
func probedServer(attempt *attemptState) *serverState {
	if attempt.target.ejected || attempt.source == nil {
		return attempt.target
	}
	return attempt.source
}

// eject ejects a server or extends its ejection, and cancels the attempts that cancelRetriable selects. The
// ejection ends when the server answers a half-open probe as the target, when any attempt with it as the
// target ends with OK, when it answers as a source (see recordSourceHealth), or when it restarts. The first
// probe is allowed after initialEjection, unless readmit allows it earlier. A failure of an ejected server
// before the next probe is allowed has no effect. Each later failure, of a probe or of another attempt,
// doubles the time to the next probe, up to maxEjection and, while the director's branch is unavailable, up to
// the shorter sitehealth.Monitor.MaxProbeInterval. The origin is never ejected, because no other server can
// replace it.
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
// may be retried: the request has not ended, its class is read-like, it has attempts left, and its answer is
// not being streamed.
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
// ejected servers that sameTier returns may be probed at once, unless a probe of them is in flight.
func (r *Router) readmit(server *serverState) {
	r.logf("readmit server %x after %v", uint64(server.Host), r.now-server.ejectedAt)
	server.ejected = false
	server.failedFills = overload.FailureStreak{}
	server.ejectionBackoff = 0
	for _, other := range r.sameTier(server) {
		other.probeAfter = min(other.probeAfter, r.now)
	}
}
