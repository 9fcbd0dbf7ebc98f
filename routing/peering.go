package routing

import (
	"slices"
)

// Questions to routers of other locations, where the settings allow any.

// askPeers asks the routers zero of other locations who holds the object, when no parent is up, peers may
// talk and any cache may be a source. The request waits for the class's aim at the longest.
func (d *Router) askPeers(r *requestState) bool {
	if r.askedPeers || r.uncacheable || !d.settings.SiteLimits.PeerMessagesAllowed || d.settings.Tiers.SiblingFills != "any" ||
		slices.ContainsFunc(d.upstreams, func(s *serverState) bool { return s.tier == parentTier && d.isUsable(s) }) {
		return false
	}
	d.awaitingPeers = slices.DeleteFunc(d.awaitingPeers, func(o *requestState) bool { return !o.waiting || d.requests[o.ID] != o })
	d.awaitingPeers = append(d.awaitingPeers, r)
	r.askedPeers, r.waiting = true, true
	key := objectKey{r.Object, r.Part}
	d.emit(SendPeerMessage{To: AllPeers, Data: locationMessage{locationQuery, d.settings.Zone, key, 0}.encode()})
	d.emit(SetTimer{Token: requestTimer | uint64(r.ID), At: min(d.now+d.settings.Classes[r.Class].LatencyObjective, r.Deadline)})
	return true
}

// handlePeerMessage answers a query as the location's router zero (none lower was heard of), or takes a reply.
func (d *Router) handlePeerMessage(m PeerMessage) {
	q, ok := decodeLocationMessage(m.Data)
	switch {
	case !ok || m.From == d.settings.ID:
	case q.zone == d.settings.Zone:
		d.lowerPeerSeen = d.lowerPeerSeen || m.From < d.settings.ID
	case q.kind == locationQuery && !d.lowerPeerSeen:
		asked := &requestState{Request: Request{Object: q.key.object, Group: -1}, location: d.recordUse(q.key)}
		if h := d.hintedSource(asked, nil); h != nil {
			q.holder = h.Host
		}
		d.emit(SendPeerMessage{To: m.From, Data: locationMessage{locationReply, d.settings.Zone, q.key, q.holder}.encode()})
	case q.kind == locationReply && q.holder != 0:
		for _, r := range slices.Clone(d.awaitingPeers) {
			if r.waiting && d.requests[r.ID] == r && q.key == (objectKey{r.Object, r.Part}) {
				r.remoteSource, r.waiting = q.holder, false
				d.advance(r)
			}
		}
	}
}
