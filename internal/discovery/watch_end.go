package discovery

// WatchEnd represents the way in which a call to the discovery service, or the resulting watch, ended or became
// overdue, so that the service is called again.
type WatchEnd uint8

// The ends differ in the load that the call put on the service and in whether events may have been missed. Both
// determine the wait until the next call.
const (
	// EndRefused means that the connection was refused or reset. The call put almost no load on the service, which is
	// most likely down and may be up again at any moment, so the next call follows soon.
	EndRefused WatchEnd = iota
	// EndTimedOut means that no connection was established in time, or that no usable line was received on it in time.
	// The service is most likely overloaded, and each further call adds to the overload.
	EndTimedOut
	// EndUnusable means that the watch failed or was closed before its first usable line. An immediate call may fail in
	// the same way.
	EndUnusable
	// EndBroken means that a watch that had received usable lines was closed or received an invalid line. The director
	// misses events from then on.
	EndBroken
	// EndSilent means that a watch that had received usable lines received none for BackoffConfig.SilenceTimeout. That
	// time counts toward the time within which events must be applied.
	EndSilent
	// EndBehind means that the service's revision stayed behind the last applied event. The service needs time to catch
	// up.
	EndBehind

	numWatchEnds = iota
)

// String returns the name of the end that logs and counters use.
func (e WatchEnd) String() string {
	return [...]string{"refused", "timed out", "unusable", "broken", "silent", "behind"}[e]
}
