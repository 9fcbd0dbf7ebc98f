package downstream

import (
	"time"

	"shaleyard/internal/director"
	"shaleyard/routing"
)

// This file holds requests back while more input of their client is unread. What is unread may revoke them or be the
// client's close; until it has been read, a request of a client that has left long ago looks like any other.

// maxHoldTime is the longest time for which a request is held back. It is reached only by a client that sends faster
// than its input is read.
const maxHoldTime = 500 * time.Millisecond

// heldRequest is an open request that has not been submitted yet.
type heldRequest struct {
	seqID   int32
	request director.Request
	heldAt  routing.Time
	due     routing.Time // when it is submitted even if input is still unread
}

// hold holds a request back, for half of its timeout at most.
func (c *Connection) hold(seqID int32, request director.Request) {
	now := c.server.now()
	due := now + min(maxHoldTime, request.Timeout/2)
	c.enterRequest(seqID, &request)
	c.held = append(c.held, heldRequest{seqID: seqID, request: request, heldAt: now, due: due})
	c.scheduleHeld()
}

// scheduleHeld sets the timer for the held request that is due first.
func (c *Connection) scheduleHeld() {
	if len(c.held) == 0 {
		c.server.timers.Cancel(&c.heldTimer)
		return
	}
	due := c.held[0].due
	for i := range c.held {
		due = min(due, c.held[i].due)
	}
	c.server.timers.Schedule(&c.heldTimer, due, c.submitHeld)
}

// submitHeld submits all held requests. The time for which they were held is a part of their timeouts.
func (c *Connection) submitHeld() {
	held := c.held
	c.held = nil
	c.server.timers.Cancel(&c.heldTimer)
	for i := range held {
		entry := &held[i]
		if _, open := c.openRequests[entry.seqID]; !open || c.phase == phaseClosed {
			entry.request.Body.Release()
			continue
		}
		entry.request.Timeout = max(0, entry.request.Timeout-(c.server.now()-entry.heldAt))
		c.submitEntered(entry.seqID, entry.request)
	}
}

// dropHeld removes a held request that its client has revoked. It reports whether the request was held.
func (c *Connection) dropHeld(seqID int32) bool {
	for i := range c.held {
		if c.held[i].seqID != seqID {
			continue
		}
		c.held[i].request.Body.Release()
		c.held = append(c.held[:i], c.held[i+1:]...)
		c.scheduleHeld()
		return true
	}
	return false
}

// releaseHeld drops all held requests.
func (c *Connection) releaseHeld() {
	for i := range c.held {
		c.held[i].request.Body.Release()
	}
	c.held = nil
	c.server.timers.Cancel(&c.heldTimer)
}
