package downstream

// This file divides places for open requests and buffers for their bodies among the clients.

// share is something bounded that the open requests of all clients share: places in a table, or buffers.
type share struct {
	limit     int // in all
	free      int
	perClient int // what each client's first request takes at most
}

// The parts of a share. They are powers of two, and have no other meaning than to leave enough to others.
const (
	// firstRequestDivisor is the divisor of the limit that gives how much is at most kept for first requests.
	firstRequestDivisor = 2
	// clientDivisor is the divisor of what is free that gives how much of it one client may hold.
	clientDivisor = 4
)

// allows reports whether a client that holds something of the share may take more. A client that holds nothing may take
// whatever is free. The others leave enough for the first request of each client that can be connected, or half of all,
// and hold less the more of them there are: a dynamic threshold as in HasRoom. So hundreds of clients with all their
// requests open still leave room to those that have one.
func (s share) allows(holds, needed, clients int) bool {
	if needed == 0 || holds == 0 {
		return needed <= s.free
	}
	kept := min(clients*s.perClient, s.limit/firstRequestDivisor)
	return s.free-needed >= kept && holds+needed <= s.free/clientDivisor
}

// hasPlaceForRequest reports whether one more request may take a place in the director's table.
func (c *Connection) hasPlaceForRequest() bool {
	limits := c.server.limits
	places := share{limit: limits.MaxOpenRequests, free: c.server.handler.FreeRequests(), perClient: 1}
	return places.allows(len(c.openRequests), 1, limits.MaxClientConns)
}

// hasRoomForBody reports whether there are buffers for the body of one more request, if it has one.
func (c *Connection) hasRoomForBody(size int) bool {
	limits, pool := c.server.limits, c.server.bodyPool
	buffers := share{limit: pool.Limit(), free: pool.Free(), perClient: pool.BuffersFor(limits.MaxRequestBodyBytes)}
	return buffers.allows(c.bodyBuffers, pool.BuffersFor(size), limits.MaxClientConns)
}
