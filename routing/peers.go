package routing

import "slices"

// Location queries to directors of other zones, where the settings allow them.

// askPeers asks all other directors which cache holds the requested part of an object, and reports whether it
// did. In each other zone, the director with the lowest ID replies. A request causes at most one query, and only
// while no parent is usable. The request then waits for a reply for at most the latency objective of its class.
func (r *Router) askPeers(request *requestState) bool {
	if request.askedPeers || request.uncacheable || !r.settings.SiteLimits.PeerMessagesAllowed ||
		r.settings.Tiers.SiblingFills != SiblingFillsAny {
		return false
	}
	isUsableParent := func(server *serverState) bool {
		return server.tier == parentTier && r.isUsable(server)
	}
	if slices.ContainsFunc(r.upstreams, isUsableParent) {
		return false
	}
	r.awaitingPeers = slices.DeleteFunc(r.awaitingPeers, func(other *requestState) bool {
		return !r.awaitsPeers(other)
	})
	r.awaitingPeers = append(r.awaitingPeers, request)
	request.askedPeers = true
	request.waiting = true
	query := locationMessage{kind: locationQuery, zone: r.settings.Zone, key: request.key()}
	r.emit(SendPeerMessage{To: AllPeers, Data: query.encode()})
	r.setRequestTimer(request, r.now+r.latencyObjective(request))
	return true
}

// awaitsPeers reports whether a request of awaitingPeers is still open and waiting.
func (r *Router) awaitsPeers(request *requestState) bool {
	return request.waiting && r.requests[request.ID] == request
}

func (s *requestState) key() objectKey { return objectKey{s.Object, s.Part} }

// handlePeerMessage handles a location query or reply from a director of another zone. It ignores data that
// cannot be decoded and messages from the director itself. A message from the director's own zone is used
// only to find out whether the sender has a lower ID: the first director of a zone, the one with the lowest
// ID, replies for the zone.
func (r *Router) handlePeerMessage(event PeerMessage) {
	message, ok := decodeLocationMessage(event.Data)
	switch {
	case !ok || event.From == r.settings.ID:
	case message.zone == r.settings.Zone:
		r.lowerIDPeerSeen = r.lowerIDPeerSeen || event.From < r.settings.ID
	case message.kind == locationQuery:
		r.answerLocationQuery(event.From, message)
	case message.kind == locationReply:
		r.handleLocationReply(message)
	}
}

func (r *Router) answerLocationQuery(from uint32, query locationMessage) {
	if r.lowerIDPeerSeen {
		return
	}
	lookup := &requestState{
		Request:  Request{Object: query.key.object, Group: -1}, // -1: a query names no group
		location: r.recordUse(query.key),
	}
	reply := locationMessage{kind: locationReply, zone: r.settings.Zone, key: query.key, holder: query.holder}
	if holder := r.hintedSource(lookup, nil); holder != nil {
		reply.holder = holder.Host
	}
	r.emit(SendPeerMessage{To: from, Data: reply.encode()})
}

// handleLocationReply resumes all requests that wait for a reply about the part of an object that the reply
// names, with the cache that the reply names as their source. A reply that names no cache is ignored.
func (r *Router) handleLocationReply(reply locationMessage) {
	if reply.holder == 0 {
		return
	}
	for _, request := range slices.Clone(r.awaitingPeers) {
		if r.awaitsPeers(request) && request.key() == reply.key {
			request.remoteSource = reply.holder
			request.waiting = false
			r.advance(request)
		}
	}
}
