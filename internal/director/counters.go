package director

import (
	"encoding/json"

	"shaleyard/routing"
)

// Counters of what passed through.

// Counters count what passed through.
type Counters struct {
	RequestsAccepted, RequestsServed, RequestsRejected, RequestsFailed, RequestsCancelled, RequestsOverdue uint64
	RejectedNotAccepting                                                                                   uint64 // refused, as no work was taken
	RejectedByAdmission                                                                                    uint64 // refused, as too much was in hand after a start
	AttemptsSent, AttemptsCancelled, AttemptsAbandoned, AttemptsEnded, AttemptsEndedLate, AttemptsTimedOut uint64
	AttemptsCancelledUnwritten                                                                             uint64 // unwritten, and overtaken by news or by the client
	EndpointEvents, EndpointEntries, PurgeEvents, UnknownActions                                           uint64
	Results                                                                                                ResultCounters
	FillStatuses                                                                                           FillStatusCounters
}

// ResultCounters count the ends of attempts by kind.
type ResultCounters [routing.ResultCount]uint64

// MarshalJSON names the kinds.
func (r ResultCounters) MarshalJSON() ([]byte, error) {
	named := map[string]uint64{}
	for result, n := range r {
		named[routing.Result(result).String()] = n
	}
	return json.Marshal(named)
}

// FillStatusCounters count what the ends of attempts told of their fills.
type FillStatusCounters [routing.FillStatusOriginFailed + 1]uint64

// MarshalJSON names the notes.
func (n FillStatusCounters) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]uint64{"none": n[routing.FillStatusUnknown], "hit": n[routing.FillStatusHit],
		"filled": n[routing.FillStatusFilled], "filled_by_origin": n[routing.FillStatusFilledByOrigin],
		"joined": n[routing.FillStatusCoalesced], "stale": n[routing.FillStatusStale], "source_refused": n[routing.FillStatusSourceRejected],
		"source_unreached": n[routing.FillStatusSourceUnreachable], "source_lacks": n[routing.FillStatusSourceMiss],
		"no_fill_slot": n[routing.FillStatusNoFillSlot], "origin_failed": n[routing.FillStatusOriginFailed]})
}
