package discovery

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"shaleyard/routing"
)

// A call is overdue if its dial takes longer than ConnectTimeout, or if its connection brings no usable line for
// WatchSilenceTimeout. The service may still bring events on an overdue call, at the moment at which they must be
// applied, so the call is kept and further calls are made beside it. All calls in progress are equal: whichever brings
// an event first, the event is applied once. A call that has caught up with the service replaces the others.
//
// Either a call to the current address is in time, or the next call is scheduled.

// scheduleDial schedules the next dial, in place of one that is scheduled already.
func (w *Watcher) scheduleDial(at routing.Time) {
	w.nextDial = at
	w.timers.Schedule(&w.redialTimer, at, w.dial)
}

// dial starts a new call, to the new address if one is pending. After a redirect the watch of the old service stays up
// until the new one is open, because its events count as notified and the new service may be down or slow.
func (w *Watcher) dial() {
	if w.pendingAddress != "" {
		w.address = w.pendingAddress
		w.pendingAddress = ""
		w.discardWhere(func(call *watch) bool { return call.conn == nil })
	}
	for len(w.calls) >= w.limits.MaxWatchCalls {
		w.discard(w.leastPromisingCall())
	}
	w.lastDial = w.now()
	w.backoff.RecordCall(w.lastDial)
	call := &watch{watcher: w, address: w.address}
	w.calls = append(w.calls, call)
	call.awaitProgress()
	// The dial may take longer than the time after which it is overdue, as the service may have a full backlog.
	call.cancelDial = w.dialer.Dial(w.address, w.limits.MaxEventDelay, call)
}

// leastPromisingCall returns the oldest call that has brought no usable line, or if there is none, the call whose
// latest usable line is the oldest.
func (w *Watcher) leastPromisingCall() *watch {
	return slices.MinFunc(w.calls, func(a, b *watch) int { return cmp.Compare(a.lastUsableLine, b.lastUsableLine) })
}

// discard ends a call that is not needed any more.
func (w *Watcher) discard(call *watch) {
	w.Counters.DiscardedCalls++
	w.remove(call)
}

// discardWhere discards all calls for which the condition holds.
func (w *Watcher) discardWhere(condition func(*watch) bool) {
	for _, call := range slices.Clone(w.calls) {
		if condition(call) {
			w.discard(call)
		}
	}
}

// remove closes the connection of a call, or cancels its dial, and removes it from the calls in progress.
func (w *Watcher) remove(call *watch) {
	call.ended = true
	w.timers.Cancel(&call.progressTimer)
	w.calls = slices.DeleteFunc(w.calls, func(other *watch) bool { return other == call })
	if call.conn == nil {
		call.cancelDial()
		return
	}
	_ = call.conn.Close() // The call has ended, so an error of Close does not matter.
}

// endCall ends a call that has failed, and schedules the next call if none is in time. A call that has already ended is
// ignored. For an overdue call, the next call is scheduled already; if the service has closed its connection, it may be
// working again, and the next call is made as soon as after a break.
func (w *Watcher) endCall(call *watch, end WatchEnd) {
	if call.ended {
		return
	}
	w.remove(call)
	switch {
	case !call.overdue:
		w.Counters.WatchEnds[end]++
		w.callAgain("discovery watch ended", end)
	case call.conn != nil && w.nextDial-w.now() > w.backoff.MaxWaitAfterBreak():
		w.callAgain("overdue discovery watch ended", EndBroken)
	}
}

// handleOverdue handles that a call has made no progress in time. The call is kept, and the next one is scheduled if no
// other call is in time.
func (w *Watcher) handleOverdue(call *watch) {
	call.overdue = true
	cause := call.endOnSilence()
	w.Counters.WatchEnds[cause]++
	if call.conn != nil {
		w.Counters.SilenceTimeouts++
	}
	w.callAgain("discovery call is overdue", cause)
}

// callAgain schedules the next call, unless a call to the current address is in time. It never postpones a call that is
// scheduled already.
func (w *Watcher) callAgain(message string, cause WatchEnd) {
	if slices.ContainsFunc(w.calls, func(call *watch) bool { return call.address == w.address && !call.overdue }) {
		return
	}
	now := w.now()
	at := w.backoff.NextCall(now, cause)
	if w.redialTimer.Pending() {
		at = min(at, w.nextDial)
	}
	w.log.Info(message, zap.String("address", w.address), zap.Stringer("cause", cause),
		zap.Duration("retry_in", at-now), zap.Uint64("revision", w.revision), zap.Int("failures", w.backoff.Failures()),
		zap.Int("calls", len(w.calls)))
	w.scheduleDial(at)
}

// recordUsableLine handles that a call has brought a usable line. If the call is one to the current address, no further
// call is needed, and if it has caught up with the service, no other call is. Lines of the service at another address
// are no evidence about the one at the current address.
func (w *Watcher) recordUsableLine(call *watch) {
	now := w.now()
	w.lastUsableLine = now
	if call.overdue {
		w.Counters.ResumedCalls++
		call.overdue = false
	}
	call.lastUsableLine = now
	call.awaitProgress()
	if call.address != w.address {
		return
	}
	w.backoff.RecordUsableLine(now)
	if w.pendingAddress == "" {
		w.timers.Cancel(&w.redialTimer)
	}
	if call.caughtUp {
		w.discardWhere(func(other *watch) bool { return other != call })
	}
}

// limitBufferedBytes discards the other calls with the longest incomplete lines until the incomplete lines of all calls
// together are at most MaxWatchLineBytes long, with added bytes more in a call whose own line is shorter than that.
func (w *Watcher) limitBufferedBytes(call *watch, added int) {
	for {
		total := added
		longest := call
		for _, other := range w.calls {
			total += len(other.partial)
			if other != call && (longest == call || len(other.partial) > len(longest.partial)) {
				longest = other
			}
		}
		if total <= w.limits.MaxWatchLineBytes || longest == call {
			return
		}
		w.discard(longest)
	}
}

// timeForProgress returns the time after which a call without progress is overdue.
func (w *Watcher) timeForProgress(call *watch) time.Duration {
	if call.conn == nil {
		return w.limits.ConnectTimeout
	}
	return w.limits.WatchSilenceTimeout
}
