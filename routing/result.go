package routing

// Result is how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	OK       Result = iota
	Errored         // the server answered with an error
	Rejected        // the server rejected it unseen, or its source rejected the fill or could not be reached
	TimedOut
	ConnectFailed
	Reset                   // the connection broke under it
	Cancelled               // the router cancelled it
	Abandoned               // given up by the caller before it was written
	Miss                    // asked for a cached copy only, and there was none
	LocalResourcesExhausted // this host had no descriptor, buffer or memory for a connection
	Unreachable             // this host had no route or port towards the server
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

// String is the result's name.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

// mayHaveExecuted tells whether a server may have executed an attempt that ended so.
func (r Result) mayHaveExecuted() bool {
	switch r {
	case Rejected, ConnectFailed, Abandoned, Miss, LocalResourcesExhausted, Unreachable:
		return false
	}
	return true
}

// suggestsOverload tells that an attempt failed in a way in which attempts fail under overload, so that a
// retry adds to it.
func (r Result) suggestsOverload() bool {
	return r == Rejected || r == ConnectFailed || r == TimedOut
}

// FillStatus tells how an answer came about, where the site reports it.
type FillStatus uint8

// Fill statuses.
const (
	FillStatusUnknown           FillStatus = iota // not reported
	FillStatusHit                                 // served from the cache
	FillStatusFilled                              // filled from its source, which had a copy
	FillStatusFilledByOrigin                      // filled by the origin, if need be through a parent
	FillStatusCoalesced                           // waited for a fill that was under way, or was told of one
	FillStatusStale                               // served stale
	FillStatusSourceRejected                      // the source rejected the fill
	FillStatusSourceUnreachable                   // the source could not be reached
	FillStatusSourceMiss                          // the source has no copy and may not fill one
	FillStatusNoFillSlot                          // the cache has no capacity for a further fill
	FillStatusOriginFailed                        // the origin failed behind the source
)

// sourceAnswered tells that an answer with this status proves that the source of the fill has answered.
func (s FillStatus) sourceAnswered() bool {
	switch s {
	case FillStatusFilled, FillStatusFilledByOrigin, FillStatusCoalesced,
		FillStatusSourceRejected, FillStatusSourceMiss, FillStatusOriginFailed:
		return true
	}
	return false
}
