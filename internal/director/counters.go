package director

import (
	"encoding/json"

	"shaleyard/routing"
)

// Counters count requests, attempts and discovery events since the start. They are logged under the names of their
// fields.
type Counters struct {
	// RequestsAccepted counts the requests that Submit took, however they ended.
	RequestsAccepted uint64
	// RequestsServed, RequestsRejected and RequestsFailed count responses by their outcome, RequestsCancelled the
	// requests whose clients no longer waited.
	RequestsServed, RequestsRejected, RequestsFailed, RequestsCancelled uint64
	// RequestsOverdue counts the failed requests that the deadline guard ended.
	RequestsOverdue uint64
	// RejectedNotAccepting counts the requests that were rejected as the process was starting or draining.
	RejectedNotAccepting uint64
	// RejectedByAdmission counts the requests that were rejected as too many were in flight after a start or a pause.
	RejectedByAdmission uint64

	// AttemptsSent and AttemptsEnded count the attempts given to the upstream side, and those of them that have ended.
	AttemptsSent, AttemptsEnded uint64
	// AttemptsCancelled counts the attempts that the router, or the end of their request, cancelled.
	AttemptsCancelled uint64
	// AttemptsCancelledUnwritten counts the attempts that were cancelled with nothing written, as a discovery event or
	// the end of their client had overtaken them.
	AttemptsCancelledUnwritten uint64
	// AttemptsTimedOut counts the attempts that ended at their deadline.
	AttemptsTimedOut uint64
	// AttemptsAbandoned counts the attempts that were not sent, as their request had ended or had no time left.
	AttemptsAbandoned uint64
	// AttemptsEndedLate counts the results that came after the attempt had ended.
	AttemptsEndedLate uint64
	// Results and FillStatuses count the attempts that have ended, by how they ended and how a miss was filled.
	Results      ResultCounters
	FillStatuses FillStatusCounters

	// EndpointEvents and EndpointEntries count the events of the endpoint list, and the entries in them.
	EndpointEvents, EndpointEntries uint64
	// PurgeEvents counts purges.
	PurgeEvents uint64
	// UnknownActions counts actions of the router that name no request, or that this deployment has no use for.
	UnknownActions uint64
}

// ResultCounters count attempts by result.
type ResultCounters [routing.ResultCount]uint64

// resultReport is the form in which ResultCounters are logged.
type resultReport struct {
	OK                      uint64 `json:"ok"`
	Errored                 uint64 `json:"errored"`
	Rejected                uint64 `json:"rejected"`
	TimedOut                uint64 `json:"timed_out"`
	ConnectFailed           uint64 `json:"connect_failed"`
	Reset                   uint64 `json:"reset"`
	Cancelled               uint64 `json:"cancelled"`
	Abandoned               uint64 `json:"abandoned"`
	Miss                    uint64 `json:"miss"`
	LocalResourcesExhausted uint64 `json:"local_resources_exhausted"`
	Unreachable             uint64 `json:"unreachable"`
}

// MarshalJSON implements json.Marshaler: an object with a key for each result.
func (c ResultCounters) MarshalJSON() ([]byte, error) {
	return json.Marshal(resultReport{
		OK:                      c[routing.OK],
		Errored:                 c[routing.Errored],
		Rejected:                c[routing.Rejected],
		TimedOut:                c[routing.TimedOut],
		ConnectFailed:           c[routing.ConnectFailed],
		Reset:                   c[routing.Reset],
		Cancelled:               c[routing.Cancelled],
		Abandoned:               c[routing.Abandoned],
		Miss:                    c[routing.Miss],
		LocalResourcesExhausted: c[routing.LocalResourcesExhausted],
		Unreachable:             c[routing.Unreachable],
	})
}

// FillStatusCounters count attempts by how a miss was filled.
type FillStatusCounters [routing.FillStatusOriginFailed + 1]uint64

// fillStatusReport is the form in which FillStatusCounters are logged.
type fillStatusReport struct {
	Unknown           uint64 `json:"unknown"`
	Hit               uint64 `json:"hit"`
	Filled            uint64 `json:"filled"`
	FilledByOrigin    uint64 `json:"filled_by_origin"`
	Coalesced         uint64 `json:"coalesced"`
	Stale             uint64 `json:"stale"`
	SourceRejected    uint64 `json:"source_rejected"`
	SourceUnreachable uint64 `json:"source_unreachable"`
	SourceMiss        uint64 `json:"source_miss"`
	NoFillSlot        uint64 `json:"no_fill_slot"`
	OriginFailed      uint64 `json:"origin_failed"`
}

// MarshalJSON implements json.Marshaler: an object with a key for each status.
func (c FillStatusCounters) MarshalJSON() ([]byte, error) {
	return json.Marshal(fillStatusReport{
		Unknown:           c[routing.FillStatusUnknown],
		Hit:               c[routing.FillStatusHit],
		Filled:            c[routing.FillStatusFilled],
		FilledByOrigin:    c[routing.FillStatusFilledByOrigin],
		Coalesced:         c[routing.FillStatusCoalesced],
		Stale:             c[routing.FillStatusStale],
		SourceRejected:    c[routing.FillStatusSourceRejected],
		SourceUnreachable: c[routing.FillStatusSourceUnreachable],
		SourceMiss:        c[routing.FillStatusSourceMiss],
		NoFillSlot:        c[routing.FillStatusNoFillSlot],
		OriginFailed:      c[routing.FillStatusOriginFailed],
	})
}
