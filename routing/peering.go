package routing

import (
	"slices"
)

// Questions to routers of other locations, where the settings allow any.

// askPeers asks the routers zero of other locations who holds the object, when no parent is up, peers may
// talk and any cache may be a source. The request waits for the class's aim at the longest.
func (r *Router) askPeers(request *requestState) bool {
	if request.askedPeers || request.uncacheable || !r.settings.SiteLimits.PeerMessagesAllowed || r.settings.Tiers.SiblingFills != "any" ||
		slices.ContainsFunc(r.upstreams, func(server *serverState) bool { return server.tier == parentTier && r.isUsable(server) }) {
		return false
	}
	r.awaitingPeers = slices.DeleteFunc(r.awaitingPeers, func(other *requestState) bool { return !other.waiting || r.requests[other.ID] != other })
	r.awaitingPeers = append(r.awaitingPeers, request)
	request.askedPeers, request.waiting = true, true
	key := objectKey{request.Object, request.Part}
	r.emit(SendPeerMessage{To: AllPeers, Data: locationMessage{locationQuery, r.settings.Zone, key, 0}.encode()})
	r.emit(SetTimer{Token: requestTimer | uint64(request.ID), At: min(r.now+r.settings.Classes[request.Class].LatencyObjective, request.Deadline)})
	return true
}

// handlePeerMessage answers a query as the location's router zero (none lower was heard of), or takes a reply.
func (r *Router) handlePeerMessage(received PeerMessage) {
	message, ok := decodeLocationMessage(received.Data)
	switch {
	case !ok || received.From == r.settings.ID:
	case message.zone == r.settings.Zone:
		r.lowerPeerSeen = r.lowerPeerSeen || received.From < r.settings.ID
	case message.kind == locationQuery && !r.lowerPeerSeen:
		asked := &requestState{Request: Request{Object: message.key.object, Group: -1}, location: r.recordUse(message.key)}
		if holder := r.hintedSource(asked, nil); holder != nil {
			message.holder = holder.Host
		}
		r.emit(SendPeerMessage{To: received.From, Data: locationMessage{locationReply, r.settings.Zone, message.key, message.holder}.encode()})
	case message.kind == locationReply && message.holder != 0:
		for _, request := range slices.Clone(r.awaitingPeers) {
			if request.waiting && r.requests[request.ID] == request && message.key == (objectKey{request.Object, request.Part}) {
				request.remoteSource, request.waiting = message.holder, false
				r.advance(request)
			}
		}
	}
}
