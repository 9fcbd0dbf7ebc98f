package director

import (
	"encoding/json"

	"shaleyard/routing"
)

// Counters of what passed through.

// Counters count what passed through.
type Counters struct {
	Taken, Served, Refused, Failed, Withdrawn, Overdue       uint64
	Closed                                                   uint64 // refused, as no work was taken
	NotAdmitted                                              uint64 // refused, as too much was in hand after a start
	Attempts, Cancelled, Moot, Ended, LateEnds, TimedOut     uint64
	Recalled                                                 uint64 // unwritten, and overtaken by news or by the client
	MemberEvents, MemberEntries, PurgeEvents, UnknownActions uint64
	Results                                                  Results
	Notes                                                    Notes
}

// Results count the ends of attempts by kind.
type Results [routing.Results]uint64

// MarshalJSON names the kinds.
func (r Results) MarshalJSON() ([]byte, error) {
	named := map[string]uint64{}
	for result, n := range r {
		named[routing.Result(result).String()] = n
	}
	return json.Marshal(named)
}

// Notes count what the ends of attempts told of their fills.
type Notes [routing.NoteOriginFailed + 1]uint64

// MarshalJSON names the notes.
func (n Notes) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]uint64{"none": n[routing.NoNote], "hit": n[routing.NoteHit],
		"filled": n[routing.NoteFilled], "filled_by_origin": n[routing.NoteFilledByOrigin],
		"joined": n[routing.NoteJoined], "stale": n[routing.NoteStale], "source_refused": n[routing.NoteSourceRefused],
		"source_unreached": n[routing.NoteSourceUnreached], "source_lacks": n[routing.NoteSourceLacks],
		"no_fill_slot": n[routing.NoteNoFillSlot], "origin_failed": n[routing.NoteOriginFailed]})
}
