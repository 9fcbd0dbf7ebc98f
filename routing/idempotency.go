package routing

// maySend tells whether the idempotency of the request's class allows another attempt at target (nil: at any
// server). It sets idempotencyWindowEnd to the time by which that attempt must have been written.
//
// An attempt that provably never executed binds nothing. After one that may have executed, only read-like
// requests may be repeated freely; a keyed one may be within the window of the first such attempt, where its
// repeat is recognised.
func (r *Router) maySend(request *requestState, target *serverState) bool {
	class := &r.settings.Classes[request.Class]
	request.idempotencyWindowEnd = 0
	if class.Idempotency == IdempotencyReadLike {
		return true
	}
	for _, earlier := range request.attempts {
		if !earlier.mayHaveExecuted {
			continue
		}
		if class.Idempotency != IdempotencyKeyed {
			return false
		}
		windowEnd := class.windowEnd(earlier.sentAt)
		if r.now >= windowEnd || (target != nil && !class.shareDedup(earlier.target, target)) {
			return false
		}
		if request.idempotencyWindowEnd == 0 { // the first to be sent ends first
			request.idempotencyWindowEnd = windowEnd
		}
	}
	return true
}

// windowEnd is the end of the deduplication window of an attempt, less a margin for the delay of the network.
func (c *Class) windowEnd(sentAt Time) Time {
	return sentAt + c.DedupWindow - min(windowSafetyMargin, c.DedupWindow/4)
}

// shareDedup tells whether one server recognises a repeat of a keyed request that another has executed.
func (c *Class) shareDedup(a, b *serverState) bool {
	switch c.DedupScope {
	case DedupScopeZone:
		return a.Zone == b.Zone
	case DedupScopeCell:
		return a.Cell == b.Cell
	}
	return true
}
