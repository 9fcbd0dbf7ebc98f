package director

import (
	"encoding/json"

	"shaleyard/routing"
)

// Counters holds the numbers of requests, attempts and discovery events since the start of the process. They are logged
// under the names of the fields.
type Counters struct {
	// RequestsAccepted counts the requests that Submit accepted, however they ended.
	RequestsAccepted uint64
	// RequestsServed, RequestsRejected and RequestsFailed count responses by their outcome. RequestsCancelled counts
	// the requests that ended without a response because their clients no longer waited.
	RequestsServed, RequestsRejected, RequestsFailed, RequestsCancelled uint64
	// RequestsOverdue counts the requests that the deadline guard failed.
	RequestsOverdue uint64
	// RepeatedReferences counts the requests that were failed because their reference had come before.
	RepeatedReferences uint64
	// RejectedNotAccepting counts the requests that were rejected because the process was starting, draining or
	// stopping.
	RejectedNotAccepting uint64
	// RejectedByAdmission counts the requests that admission control rejected because too many others were in flight
	// after a start or a long pause.
	RejectedByAdmission uint64
	// AnswersWithoutRoom counts the answers with a body that were replaced by a rejection or a failure, because the
	// client had left too many answers unread.
	AnswersWithoutRoom uint64

	// AttemptsSent counts the attempts passed to the upstream side. AttemptsEnded counts those of them that have ended.
	AttemptsSent, AttemptsEnded uint64
	// AttemptsCancelled counts the attempts that were cancelled by the router or at the end of their request.
	AttemptsCancelled uint64
	// AttemptsCancelledUnwritten counts the attempts that were cancelled before anything of them was written, because
	// of a discovery event or because the client cancelled the request.
	AttemptsCancelledUnwritten uint64
	// AttemptsTimedOut counts the attempts that ended at their deadline.
	AttemptsTimedOut uint64
	// AttemptsAbandoned counts the attempts that were not sent because their request was finished or had no time left,
	// or because the table of attempts was full.
	AttemptsAbandoned uint64
	// AttemptsEndedLate counts the results that arrived after their attempt had ended, for example at its deadline.
	AttemptsEndedLate uint64
	// Results and FillStatuses count the ended attempts by their result and by how a miss was filled.
	Results      ResultCounters
	FillStatuses FillStatusCounters

	// EndpointEvents counts the updates of the endpoint list. EndpointEntries counts the entries in these updates.
	EndpointEvents, EndpointEntries uint64
	// PurgeEvents counts the purges that service discovery reported.
	PurgeEvents uint64
	// UnknownActions counts the attempts that the router ordered for a request that is not open, and the actions of
	// types that this deployment does not support.
	UnknownActions uint64
}

// ResultCounters holds the number of attempts by result.
type ResultCounters [routing.ResultCount]uint64

// resultReport is the JSON form in which ResultCounters is logged.
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

// MarshalJSON implements json.Marshaler. It returns an object with one key for each result.
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

// FillStatusCounters holds the number of attempts by fill status.
type FillStatusCounters [routing.FillStatusOriginFailed + 1]uint64

// fillStatusReport is the JSON form in which FillStatusCounters is logged.
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

// MarshalJSON implements json.Marshaler. It returns an object with one key for each fill status.
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
