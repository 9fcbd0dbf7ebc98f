package main

import (
	"time"

	"go.uber.org/zap"
)

// pauseHandler suspends decisions after the process was paused: stopped, or kept from the processor.
type pauseHandler struct {
	program *program
	count   uint64
	long    bool // the pause that is settling was long, or one of several that settle together
}

// onPause is called before anything else happens after a pause. Nothing is decided until what came meanwhile is read: a
// cache may be draining or an object purged, and both count as notified.
func (h *pauseHandler) onPause(gap time.Duration) {
	h.count++
	if gap > h.program.limits.LongPauseThreshold {
		h.long = true
	}
	if h.long {
		h.program.log.Warn("paused: suspended until pending input is read", zap.Duration("for", gap),
			zap.Int("open_requests", h.program.director.OpenRequests()))
	}
	h.program.director.Suspend(gap)
	h.program.discovery.HandlePause()
}

// onSettled is called once what had come during the pause is read.
func (h *pauseHandler) onSettled() {
	h.program.director.Resume(h.long)
	h.long = false
}
