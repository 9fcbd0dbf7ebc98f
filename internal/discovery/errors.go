package discovery

import (
	"errors"
	"fmt"
)

var (
	errWatchReplaced    = errors.New("watch is not followed any more")
	errLineTooLong      = errors.New("line too long")
	errNoRevision       = errors.New("no revision")
	errNotFullList      = errors.New("first event after a request for everything is not revision 1 with a full list")
	errTooManyEndpoints = errors.New("too many endpoints")
)

// InvalidFieldError says that a field of an event has a value that can't be used.
type InvalidFieldError struct {
	Field string // path within the event, with dots
	Value string
}

// Error names the field and the start of its value.
func (e *InvalidFieldError) Error() string { return fmt.Sprintf("%s: %.40q", e.Field, e.Value) }

// RevisionError says that an event, or the revision in a heartbeat, does not follow the last event that was applied:
// events between the two are missing.
type RevisionError struct {
	Got  uint64
	Last uint64 // last event that was applied
}

// Error names both revisions.
func (e *RevisionError) Error() string { return fmt.Sprintf("revision %d after %d", e.Got, e.Last) }
