package discovery

import "encoding/json"

// Counters count what a Watcher has seen since its start. They are logged by their field names.
type Counters struct {
	Connects         uint64 // watches opened
	ConnectFailures  uint64 // dials that failed
	Disconnects      uint64 // watches that the service closed
	SilenceTimeouts  uint64 // watches given up because nothing came for too long
	Redirects        uint64 // changes of the service's address by a new configuration
	Lines            uint64 // complete lines received
	Events           uint64 // events applied, those of the configuration included
	BadLines         uint64 // lines that could not be used
	SkippedEndpoints uint64 // endpoints in a zone or of a kind that the settings do not know
	WatchEnds        EndCounts
	RevisionBehind   uint64 // watches whose revision was behind ours
	FullResyncs      uint64 // requests for everything, from a service that numbers its events anew
	RetainedDrains   uint64 // endpoints kept draining or gone against an older list
}

// EndCounts counts the ends of calls and watches, indexed by WatchEnd.
type EndCounts [numWatchEnds]uint64

// MarshalJSON encodes the counts as an object whose keys are the names of the ends.
func (c EndCounts) MarshalJSON() ([]byte, error) {
	byName := make(map[string]uint64, len(c))
	for end, count := range c {
		byName[WatchEnd(end).String()] = count
	}
	return json.Marshal(byName)
}
