package discovery

import (
	"errors"
	"fmt"
)

var (
	errWatchReplaced    = errors.New("watch has been replaced")
	errLineTooLong      = errors.New("line exceeds the maximum length")
	errNoRevision       = errors.New("event has no revision")
	errNotSnapshot      = errors.New("first event after a request for all events must be a snapshot with revision 1")
	errTooManyEndpoints = errors.New("too many endpoints")
)

// InvalidFieldError reports that a field of an event has an invalid value.
type InvalidFieldError struct {
	Field string // name of an endpoint's field, or dotted path of another field of the event
	Value string
}

// Error returns the field and the first 40 characters of its value.
func (e *InvalidFieldError) Error() string {
	return fmt.Sprintf("%s: %.40q is invalid", e.Field, e.Value)
}

// RevisionError reports a gap in the revisions of a watch: events between the last event that the watch brought and the
// revision of the received event or heartbeat are missing.
type RevisionError struct {
	Got  uint64 // revision of the received event or heartbeat
	Last uint64 // revision of the watch's last event, or of its subscription before the first one
}

// Error returns a message with both revisions.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("gap in revisions: received %d, last of the watch %d", e.Got, e.Last)
}
