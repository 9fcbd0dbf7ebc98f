package routing

// maySend reports whether the idempotency of the request's class allows another attempt at target, or at any
// server if target is nil. It sets the request's idempotencyWindowEnd to the time by which the attempt must
// have been written, or to 0 if there is no such bound.
//
// An earlier attempt that cannot have executed is no restriction. After an attempt that may have executed, a
// read-like request may be repeated at any time, and a non-idempotent one must not be repeated. A keyed
// request may be repeated within the deduplication window of the first such attempt, at servers that
// recognise the repeat.
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
		if request.idempotencyWindowEnd == 0 { // the window of the earliest attempt ends first
			request.idempotencyWindowEnd = windowEnd
		}
	}
	return true
}

// windowEnd returns the end of the deduplication window of an attempt sent at sentAt, minus a margin for
// network delay: windowSafetyMargin, but at most a quarter of the window.
func (c *Class) windowEnd(sentAt Time) Time {
	return sentAt + c.DedupWindow - min(windowSafetyMargin, c.DedupWindow/4)
}

// shareDedup reports whether server b recognises a repeat of a keyed request that server a has executed. A
// DedupScope other than DedupScopeZone and DedupScopeCell counts as DedupScopeAll.
func (c *Class) shareDedup(a, b *serverState) bool {
	switch c.DedupScope {
	case DedupScopeZone:
		return a.Zone == b.Zone
	case DedupScopeCell:
		return a.Cell == b.Cell
	}
	return true
}
