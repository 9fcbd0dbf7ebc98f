package routing

// Result is the way in which an attempt ended.
type Result uint8

// Results of an attempt.
const (
	OK       Result = iota
	Errored         // the server answered with an error
	Rejected        // the server did not execute the attempt, or its source rejected the fill or was unreachable
	TimedOut
	ConnectFailed
	Reset                   // the connection broke while the attempt was in flight
	Cancelled               // cancelled by a Cancel of the Router
	Abandoned               // given up by the caller before the attempt was written
	Miss                    // the attempt allowed only a cached copy, and there was none
	LocalResourcesExhausted // the director's host had no descriptor, buffer or memory for a connection
	Unreachable             // the director's host had no route to the server or no local port
)

var resultNames = [...]string{
	OK:                      "ok",
	Errored:                 "errored",
	Rejected:                "rejected",
	TimedOut:                "timed_out",
	ConnectFailed:           "connect_failed",
	Reset:                   "reset",
	Cancelled:               "cancelled",
	Abandoned:               "abandoned",
	Miss:                    "miss",
	LocalResourcesExhausted: "local_resources_exhausted",
	Unreachable:             "unreachable",
}

// ResultCount is the number of results.
const ResultCount = len(resultNames)

// String returns the name of the result, or "unknown".
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

// MayHaveExecuted reports whether a server may have executed an attempt that ended with this result.
func (r Result) MayHaveExecuted() bool {
	switch r {
	case Rejected, ConnectFailed, Abandoned, Miss, LocalResourcesExhausted, Unreachable:
		return false
	}
	return true
}

// suggestsOverload reports whether the result is one that overloaded servers cause, so that a retry could add
// to an overload.
func (r Result) suggestsOverload() bool {
	return r == Rejected || r == ConnectFailed || r == TimedOut
}

// FillStatus is how a cache obtained its answer, where the deployment reports it.
type FillStatus uint8

// Fill statuses.
const (
	FillStatusUnknown           FillStatus = iota // not reported
	FillStatusHit                                 // served from the cache
	FillStatusFilled                              // filled from the source, which had a copy
	FillStatusFilledByOrigin                      // filled from the origin, directly or through a parent
	FillStatusCoalesced                           // waited for, or reported, a fill in progress
	FillStatusStale                               // served a stale copy
	FillStatusSourceRejected                      // the source rejected the fill
	FillStatusSourceUnreachable                   // the source could not be reached
	FillStatusSourceMiss                          // the source has no copy and may not fill one
	FillStatusNoFillSlot                          // the cache has no capacity for another fill
	FillStatusOriginFailed                        // the source was reached, but the origin behind it failed
)

// sourceAnswered reports whether the status proves that the source of the fill has answered the cache.
func (s FillStatus) sourceAnswered() bool {
	switch s {
	case FillStatusFilled, FillStatusFilledByOrigin, FillStatusCoalesced,
		FillStatusSourceRejected, FillStatusSourceMiss, FillStatusOriginFailed:
		return true
	}
	return false
}
