package main

import (
	"time"

	"go.uber.org/zap"
)

// pauseHandler suspends routing decisions after a pause of the process, which was stopped by a signal or got no
// processor time.
type pauseHandler struct {
	program   *program
	count     uint64
	longPause bool // whether a pause since the last call of onSettled exceeded LongPauseThreshold
}

// onPause handles a pause of length gap. The event loop calls it before it handles anything else after the pause.
// Routing decisions are suspended until the input that arrived during the pause is read: it may hold the drain of a
// cache or the purge of an object, and this director counts as notified of both.
func (h *pauseHandler) onPause(gap time.Duration) {
	h.count++
	if gap > h.program.limits.LongPauseThreshold {
		h.longPause = true
	}
	if h.longPause {
		h.program.log.Warn("paused: suspended until pending input is read", zap.Duration("for", gap),
			zap.Int("open_requests", h.program.director.OpenRequests()))
	}
	h.program.director.Suspend(gap)
	h.program.discovery.HandlePause()
}

// onSettled resumes routing decisions. The event loop calls it when the settle time after a pause is over, in which the
// input that arrived during the pause is read.
func (h *pauseHandler) onSettled() {
	h.program.director.Resume(h.longPause)
	h.longPause = false
}
