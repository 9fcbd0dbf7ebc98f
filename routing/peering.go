package routing

import (
	"slices"
)

// Questions to routers of other locations, where the settings allow any.

// askMasters asks the routers zero of other locations who holds the object, when no parent is up, peers may
// talk and any cache may be a source. The request waits for the class's aim at the longest.
func (d *Router) askMasters(r *request) bool {
	if r.asked || r.passOn || !d.s.SiteLimits.PeerMessagesAllowed || d.s.Tiers.SiblingFills != "any" ||
		slices.ContainsFunc(d.upper, func(s *server) bool { return s.role == parent && d.usable(s) }) {
		return false
	}
	d.asking = slices.DeleteFunc(d.asking, func(o *request) bool { return !o.waiting || d.reqs[o.ID] != o })
	d.asking = append(d.asking, r)
	r.asked, r.waiting = true, true
	key := objectPart{r.Object, r.Part}
	d.do(SendPeerMessage{To: AllPeers, Data: peerMessage{peerQuery, d.s.Zone, key, 0}.encode()})
	d.do(SetTimer{Token: requestTimer | uint64(r.ID), At: min(d.now+d.s.Classes[r.Class].LatencyObjective, r.Deadline)})
	return true
}

// peer answers a query as the location's router zero (none lower was heard of), or takes a reply.
func (d *Router) peer(m PeerMessage) {
	q, ok := decodePeer(m.Data)
	switch {
	case !ok || m.From == d.s.ID:
	case q.zone == d.s.Zone:
		d.notZero = d.notZero || m.From < d.s.ID
	case q.kind == peerQuery && !d.notZero:
		asked := &request{Request: Request{Object: q.key.object, Group: -1}, held: d.use(q.key)}
		if h := d.holder(asked, nil); h != nil {
			q.holder = h.Host
		}
		d.do(SendPeerMessage{To: m.From, Data: peerMessage{peerReply, d.s.Zone, q.key, q.holder}.encode()})
	case q.kind == peerReply && q.holder != 0:
		for _, r := range slices.Clone(d.asking) {
			if r.waiting && d.reqs[r.ID] == r && q.key == (objectPart{r.Object, r.Part}) {
				r.far, r.waiting = q.holder, false
				d.advance(r)
			}
		}
	}
}
