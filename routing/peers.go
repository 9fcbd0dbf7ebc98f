package routing

import "slices"

// Questions to directors of other zones, where the settings allow them.

// askPeers asks the first director of each other zone who holds the object, and tells whether it did. It does
// so once for a request, when no parent is usable. The request then waits for the class's latency objective
// at the longest.
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

func (r *Router) awaitsPeers(request *requestState) bool {
	return request.waiting && r.requests[request.ID] == request
}

func (s *requestState) key() objectKey { return objectKey{s.Object, s.Part} }

// handlePeerMessage takes a question or an answer of a director of another zone. What can't be decoded is
// ignored. A message of the own zone only shows whether this director is its first, which answers for the
// zone.
func (r *Router) handlePeerMessage(event PeerMessage) {
	message, ok := decodeLocationMessage(event.Data)
	switch {
	case !ok || event.From == r.settings.ID:
	case message.zone == r.settings.Zone:
		r.lowerPeerSeen = r.lowerPeerSeen || event.From < r.settings.ID
	case message.kind == locationQuery:
		r.answerLocationQuery(event.From, message)
	case message.kind == locationReply:
		r.handleLocationReply(message)
	}
}

func (r *Router) answerLocationQuery(from uint32, query locationMessage) {
	if r.lowerPeerSeen {
		return
	}
	asked := &requestState{
		Request:  Request{Object: query.key.object, Group: -1}, // no group: a peer's question names none
		location: r.recordUse(query.key),
	}
	reply := locationMessage{kind: locationReply, zone: r.settings.Zone, key: query.key, holder: query.holder}
	if holder := r.hintedSource(asked, nil); holder != nil {
		reply.holder = holder.Host
	}
	r.emit(SendPeerMessage{To: from, Data: reply.encode()})
}

// handleLocationReply takes up all requests that wait for the object.
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
