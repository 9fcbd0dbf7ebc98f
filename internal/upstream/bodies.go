package upstream

import (
	"cmp"
	"slices"

	"shaleyard/internal/buffer"
	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// This file bounds the memory of responses that are being received. Their bodies share a pool of buffers. If it is
// used up, one body is dropped; its response is read to the end and fails only its own attempt.

// WantsBody implements resp.Owner: only the body of a response that answers an attempt is kept.
func (c *conn) WantsBody(id string) bool {
	attempt := c.inFlight[id]
	return attempt != nil && attempt.written
}

// MoreArrived implements resp.Owner.
func (c *conn) MoreArrived() bool { return c.socket.Unread() > 0 }

// FreeBuffers implements resp.Owner. It drops the body that has made no progress for longest. The body that is being
// read right now makes progress, and so does one of which more has arrived than has been read; if there is no other,
// the one that is being read is dropped.
func (c *conn) FreeBuffers() {
	now := c.pools.now()
	for _, candidate := range c.pools.stalledBodies(c, now) {
		if candidate.socket.Unread() == 0 {
			candidate.dropBody()
			return
		}
		candidate.bodyProgress.Renew(now)
	}
	c.dropBody()
}

// stalledBodies returns the connections other than reading whose bodies hold buffers and have made no progress in this
// moment, the one that has made none for longest first.
func (p *Pools) stalledBodies(reading *conn, now routing.Time) []*conn {
	var stalled []*conn
	p.conns.All(func(_ handle.Handle, other *conn) bool {
		if other != reading && other.parser.BodyBuffers() > 0 && other.bodyProgress.Stalled(now) > 0 {
			stalled = append(stalled, other)
		}
		return true
	})
	slices.SortStableFunc(stalled, func(a, b *conn) int {
		return cmp.Compare(b.bodyProgress.Stalled(now), a.bodyProgress.Stalled(now))
	})
	return stalled
}

// dropBody drops the body that is being received.
func (c *conn) dropBody() {
	c.parser.DropBody()
	c.bodyProgress = buffer.Progress{}
}
