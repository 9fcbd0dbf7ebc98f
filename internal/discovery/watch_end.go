package discovery

// WatchEnd says how a call of the list service, or the watch that came of it, has ended.
type WatchEnd uint8

// Ends differ in what the call cost the service and in whether events may have been missed, and so in the time until
// the next call.
const (
	// EndRefused: the connection was refused or reset. That cost the service next to nothing, and it is most likely
	// down: the next call is soon, as it may be up again at any moment.
	EndRefused WatchEnd = iota
	// EndTimedOut: no connection was made in time, or no complete line came on it in time. The service is there but
	// overloaded, and each further call adds to that.
	EndTimedOut
	// EndUnusable: a line could not be used, the first list broke off, or the service's revision stayed behind ours.
	// The call was served in vain, and the next one would hardly go better at once.
	EndUnusable
	// EndBroken: a watch that had brought usable lines was closed. Events go on without us from now on.
	EndBroken
	// EndSilent: such a watch brought nothing for BackoffConfig.SilenceTimeout. That time is lost from the time in
	// which events must be applied.
	EndSilent

	numWatchEnds = iota
)

// String names the end, for logs and counters.
func (e WatchEnd) String() string {
	return [...]string{"refused", "timed out", "unusable", "broken", "silent"}[e]
}
