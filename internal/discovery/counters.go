package discovery

import "encoding/json"

// Counters holds the event counts of a Watcher since its start. The counts are logged under their field names.
type Counters struct {
	Connects         uint64 // watches opened
	ConnectFailures  uint64 // dials that failed
	Disconnects      uint64 // watches closed by the service
	SilenceTimeouts  uint64 // times that a watch received no usable line for WatchSilenceTimeout
	ResumedCalls     uint64 // overdue calls that brought a usable line after all
	DiscardedCalls   uint64 // calls closed because another one had caught up, replaced them or took their place
	Redirects        uint64 // changes of the service's address by a new configuration
	Lines            uint64 // complete lines received
	Events           uint64 // events applied, including those of the configuration
	BadLines         uint64 // lines that are invalid, too long or out of sequence
	SkippedEndpoints uint64 // endpoints whose zone or kind is not in the settings
	WatchEnds        EndCounts
	RevisionBehind   uint64 // watches on which the service's revision was before the last applied event
	FullResyncs      uint64 // requests for all events, after the service began again at revision 1
	RetainedDrains   uint64 // endpoints kept draining or gone although an older list has them as ready
}

// EndCounts holds the number of times that a call or a watch ended or became overdue in each way, indexed by WatchEnd.
type EndCounts [numWatchEnds]uint64

// MarshalJSON encodes the counts as an object whose keys are the names of the ends.
func (c EndCounts) MarshalJSON() ([]byte, error) {
	byName := make(map[string]uint64, len(c))
	for end, count := range c {
		byName[WatchEnd(end).String()] = count
	}
	return json.Marshal(byName)
}
