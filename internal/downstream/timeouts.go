package downstream

import (
	"shaleyard/internal/flightrecorder"
	"shaleyard/routing"
)

// scheduleTimeout sets the timer for the connection's next timeout: that of the message that is due, or the idle
// timeout.
func (c *Connection) scheduleTimeout() {
	c.server.timers.Schedule(&c.timeout, c.nextTimeout(), c.timeoutExpired)
}

// nextTimeout is when the connection is to be looked at. The time for a message counts from where it began, not from
// its last byte, so that a client that sends a byte now and then can't hold a connection.
func (c *Connection) nextTimeout() routing.Time {
	limits := c.server.limits
	if c.receivingFrame() { // not idle: its client is writing
		return c.messageStarted + limits.MessageTimeout
	}
	due := c.lastActivity + limits.ClientIdleTimeout
	if len(c.openRequests) > 0 {
		due = c.server.now() + limits.ClientIdleTimeout
	}
	if c.messageStarted != 0 {
		due = min(due, c.messageStarted+limits.MessageTimeout)
	}
	return due
}

// timeoutExpired ends the connection if a message has been due for too long, or if it has been idle for too long.
// Else the timer was set before the last activity, and is set anew.
func (c *Connection) timeoutExpired() {
	limits := c.server.limits
	now := c.server.now()
	messageOverdue := c.messageStarted != 0 && now-c.messageStarted >= limits.MessageTimeout
	idle := len(c.openRequests) == 0 && !c.receivingFrame() && now-c.lastActivity >= limits.ClientIdleTimeout
	switch {
	case messageOverdue:
		c.server.Counters.MessageTimeouts++
		c.drain(flightrecorder.ReasonMessageTimeout)
	case idle:
		c.server.Counters.IdleTimeouts++
		c.closeIdle()
	default:
		c.scheduleTimeout()
	}
}

// closeIdle closes a connection that waits for nothing: in good order, unless its client has not read the last answer
// in all that time.
func (c *Connection) closeIdle() {
	if c.owesAnswer() {
		c.closeNow(flightrecorder.ReasonAnswerNotRead)
		return
	}
	c.drain(flightrecorder.ReasonIdleTimeout)
}
