package downstream

import (
	"shaleyard/internal/flightrecorder"
	"shaleyard/routing"
)

// scheduleTimeout sets the timer to the connection's next timeout: the message timeout or the idle timeout. The message
// timeout applies from the accept until the connection's first message is complete, and later from the first byte of
// each message until that message is complete.
func (c *Connection) scheduleTimeout() {
	c.server.timers.Schedule(&c.timeout, c.nextTimeout(), c.timeoutExpired)
}

// nextTimeout returns the time at which the timer has to expire. The message timeout counts from the beginning of a
// message, not from its last received byte, so that a client cannot keep a connection open by sending a byte now and
// then.
func (c *Connection) nextTimeout() routing.Time {
	limits := c.server.limits
	if c.receivingFrame() { // not idle: the client is sending a message
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

// timeoutExpired ends the connection if a message is not complete within Limits.MessageTimeout, or if the connection
// was idle for Limits.ClientIdleTimeout. Otherwise there was activity since the timer was set, and timeoutExpired sets
// it again.
func (c *Connection) timeoutExpired() {
	limits := c.server.limits
	now := c.server.now()
	messageOverdue := c.messageStarted != 0 && now-c.messageStarted >= limits.MessageTimeout
	idle := len(c.openRequests) == 0 && !c.receivingFrame() && now-c.lastActivity >= limits.ClientIdleTimeout
	switch {
	case messageOverdue:
		c.server.Counters.MessageTimeouts++
		c.rejectUnfinished(flightrecorder.ReasonMessageTimeout)
		c.drain(flightrecorder.ReasonMessageTimeout)
	case idle && c.socket.Unread() > 0: // a message has arrived that the loop has not passed on yet
		c.server.timers.Schedule(&c.timeout, now+limits.FlushCheckInterval, c.timeoutExpired)
	case idle:
		c.closeIdle()
	default:
		c.scheduleTimeout()
	}
}

// closeIdle closes an idle connection: by a half-close, or at once if the client has read nothing of the last answers
// during the whole idle timeout. A client that is still reading gets as much time again.
func (c *Connection) closeIdle() {
	acknowledged := c.acknowledged()
	switch {
	case acknowledged == c.output.written:
		c.server.Counters.IdleTimeouts++
		c.drain(flightrecorder.ReasonIdleTimeout)
	case c.hasIdleBaseline && acknowledged == c.idleBaseline:
		c.server.Counters.IdleTimeouts++
		c.closeNow(flightrecorder.ReasonAnswerNotRead)
	default:
		c.idleBaseline, c.hasIdleBaseline = acknowledged, true
		c.lastActivity = c.server.now()
		c.scheduleTimeout()
	}
}
