package downstream

import (
	"slices"
	"time"

	"shaleyard/internal/thrift"
	"shaleyard/routing"
)

// This file handles revokes. A server may go on for a moment with a request that was revoked, so the request keeps its
// place among the client's open ones for as long. Clients that revoke what they have just sent could otherwise have
// servers begin any number of requests, at the cost of other clients.

// revokeSettleTime is the time for which a revoked request still counts towards Limits.MaxRequestsPerConn: attempts may
// be out for that long after their client has left.
const revokeSettleTime = 100 * time.Millisecond

// recentRevokes returns the number of submitted requests that were revoked within revokeSettleTime.
func (c *Connection) recentRevokes() int {
	settled := c.server.now() - revokeSettleTime
	c.revokedAt = slices.DeleteFunc(c.revokedAt, func(at routing.Time) bool { return at <= settled })
	return len(c.revokedAt)
}

// handleRevoke cancels the request that a client no longer waits for.
func (c *Connection) handleRevoke(r *thrift.Reader) error {
	counters := &c.server.Counters
	counters.Revokes++
	seqID := readRevokeArgs(r)
	if err := r.Err(); err != nil {
		counters.BadMessage++
		return err
	}
	request, open := c.openRequests[seqID]
	if !open {
		return nil
	}
	c.forgetRequest(seqID)
	if !c.dropHeld(seqID) {
		c.server.handler.Cancel(request.handle)
		c.revokedAt = append(c.revokedAt, c.server.now())
	}
	return nil
}
